"""What a node tells the others of itself, and what it hands on.

A small fleet tells everybody directly. In a larger one a node tells one node in each
availability zone, its own too, which hands it on to its neighbours together with all
that it heard in the meantime. Waking up for a message costs a node more than what is
in it: so it gets some a second, however many nodes there are.
"""

import time
from collections.abc import Callable

from .call_ratios import CallRatioEstimator
from .fleet import Fleet
from .frames import State, States
from .model import NodeEntry, NodeState
from .peer_server import PeerServer

# Every node tells its state this often, so that it is younger than what it decides.
BROADCAST_SECONDS = 0.5
# Up to so many nodes tell each other directly: it is faster by the time of gathering,
# and costs little processor time in a fleet of this size.
MAX_DIRECT_NODES = 24
# What calls a route makes changes with the configuration and is told this often.
CALL_RATIOS_INTERVAL_SECONDS = 2.0


class RelayBuffer:
    """States of other nodes that wait to be handed on."""

    def __init__(self) -> None:
        self._pending: dict[str, NodeState] = {}

    def add(self, name: str, state: NodeState) -> None:
        """Keep a node's state; what it said before in addition stays."""
        previous = self._pending.get(name)
        if previous is not None:
            if state.downstream_calls is None:
                state.downstream_calls = previous.downstream_calls
        self._pending[name] = state

    def take(self) -> list[tuple[str, NodeState]]:
        """Return what waits, and forget it."""
        pending = list(self._pending.items())
        self._pending = {}
        return pending


class StateBroadcaster:
    """Tells this node's state.

    Args:
        entry: Of this node.
        fleet: The other nodes.
        server: Holds the streams on which the others listen.
        build_load: Returns the state but for calls and use.
        call_ratios: What the own backend server calls.
    """

    def __init__(
        self,
        entry: NodeEntry,
        fleet: Fleet,
        server: PeerServer,
        build_load: Callable[[], NodeState],
        call_ratios: CallRatioEstimator,
    ):
        self._entry = entry
        self._fleet = fleet
        self._server = server
        self._build_load = build_load
        self._call_ratios = call_ratios
        self._relay_buffer = RelayBuffer()
        # Above all that a former life of this node told, as its entry is newer.
        self._sequence = entry.started
        self._call_ratios_sent_at = 0.0

    def build_full_state(self) -> NodeState:
        """Return all that this node tells, for one that knows nothing yet."""
        now = time.monotonic()
        state = self._build_load()
        state.sequence = self._sequence
        state.downstream_calls = self._call_ratios.get_ratios(now)
        state.is_full = True
        return state

    def broadcast_now(self) -> None:
        """Tell every node directly and at once: a change that must not wait."""
        self._server.send(State(self._build_update(), relay=False))

    def relay_state(self, name: str, state: NodeState) -> None:
        """Tell this node's zone what another node told."""
        # A copy: what waits is added to, and the original is what this node knows.
        self._relay_buffer.add(name, state.copy())

    def relay_pending(self, now: float) -> None:
        """Hand on what other nodes told since the last time."""
        pending = self._relay_buffer.take()
        if pending:
            self._server.send(States(pending), self._is_same_zone)

    def broadcast(self, now: float) -> None:
        """Tell the state."""
        if len(self._fleet) <= MAX_DIRECT_NODES:
            self.broadcast_now()
            return
        state = self._build_update()
        readers = set(self._fleet.list_readers())
        if self._entry.name in readers:
            self._relay_buffer.add(self._entry.name, state.copy())
        self._server.send(State(state, relay=True), lambda other: other.name in readers)

    def _is_same_zone(self, other: NodeEntry) -> bool:
        return other.zone == self._entry.zone

    def _build_update(self) -> NodeState:
        """Return what changed since it was told last."""
        now = time.monotonic()
        self._sequence += 1
        state = self._build_load()
        state.sequence = self._sequence
        if now - self._call_ratios_sent_at > CALL_RATIOS_INTERVAL_SECONDS:
            self._call_ratios_sent_at = now
            state.downstream_calls = self._call_ratios.get_ratios(now)
        return state
