"""Broadcast of this node's state, and relay of other nodes' states.

In a small fleet every node sends its state to all other nodes. In a larger fleet it
sends the state to one relay node in each availability zone, including its own zone. The
relay node sends the states that it has received to the nodes of its zone, several in
one batch. Waking up for a message costs a node more than processing it; with batches,
each node receives only a few messages per second, regardless of the size of the fleet.
"""

import time
from collections.abc import Callable

from .call_ratios import CallRatioEstimator
from .fleet import Fleet
from .frames import State, States
from .model import NodeEntry, NodeState
from .peer_server import PeerServer

# Interval of broadcasts, short enough that decisions do not rest on outdated states.
BROADCAST_SECONDS = 0.5
# Fleets of up to this size broadcast without relays: this saves the delay of batching,
# and the additional messages cost little processor time.
MAX_DIRECT_NODES = 24
# Interval at which the state includes the call ratios (``NodeState.downstream_calls``).
# They change rarely, mostly with the configuration. Ratios of routes that were not sent
# before are included at once: until other nodes know these, they cannot refuse the
# requests that cause the calls.
CALL_RATIOS_INTERVAL_SECONDS = 2.0


class RelayBuffer:
    """States of other nodes that wait to be relayed."""

    def __init__(self) -> None:
        self._pending_states: dict[str, NodeState] = {}

    def add(self, name: str, state: NodeState) -> None:
        """Replace a node's pending state; keep its call ratios if the new one has none.

        Args:
            name: Name of the node.
            state: The node's newest state. The buffer may modify it.
        """
        previous_state = self._pending_states.get(name)
        if previous_state is not None:
            if state.downstream_calls is None:
                state.downstream_calls = previous_state.downstream_calls
        self._pending_states[name] = state

    def take_all(self) -> list[tuple[str, NodeState]]:
        """Return the pending states with the names of their nodes; clear the buffer."""
        pending = list(self._pending_states.items())
        self._pending_states = {}
        return pending


class StateBroadcaster:
    """Broadcasts this node's state, and relays states within its zone.

    Args:
        entry: Entry of this node.
        fleet: The other nodes.
        peer_server: Sends on the streams that other nodes opened to this one.
        build_load_state: Returns this node's state without sequence number and call
            ratios.
        call_ratios: Estimates how many calls the local backend server makes per call
            that it serves.
    """

    def __init__(
        self,
        entry: NodeEntry,
        fleet: Fleet,
        peer_server: PeerServer,
        build_load_state: Callable[[], NodeState],
        call_ratios: CallRatioEstimator,
    ):
        self._entry = entry
        self._fleet = fleet
        self._peer_server = peer_server
        self._build_load_state = build_load_state
        self._call_ratios = call_ratios
        self._relay_buffer = RelayBuffer()
        # Sequence numbers begin at the start time in milliseconds, above all those of
        # this node's earlier processes.
        self._sequence = entry.start_time_ms
        self._call_ratios_sent_at = 0.0
        self._sent_routes: frozenset[str] = frozenset()

    def build_full_state(self) -> NodeState:
        """Return the full state, with call ratios, for a node that just connected."""
        now = time.monotonic()
        state = self._build_load_state()
        state.sequence = self._sequence
        state.downstream_calls = self._call_ratios.get_ratios(now)
        state.is_full = True
        return state

    def broadcast_now(self) -> None:
        """Send the state to every node immediately; for urgent changes."""
        self._peer_server.send(State(self._build_update(), relay=False))

    def relay_state(self, name: str, state: NodeState) -> None:
        """Add another node's state to the next batch for this node's zone."""
        # A copy, because the buffer may modify a state, and the original is in use.
        self._relay_buffer.add(name, state.copy())

    def relay_pending(self, now: float) -> None:
        """Relay the pending states to this node's zone."""
        pending = self._relay_buffer.take_all()
        if pending:
            self._peer_server.send(States(pending), self._is_same_zone)

    def broadcast(self, now: float) -> None:
        """Broadcast the state, directly or through one relay node in each zone."""
        if len(self._fleet) <= MAX_DIRECT_NODES:
            self.broadcast_now()
            return
        state = self._build_update()
        # The readers (``Fleet.list_readers``) serve as relays: one node per zone, on
        # which all nodes agree.
        relays = set(self._fleet.list_readers())
        if self._entry.name in relays:
            self._relay_buffer.add(self._entry.name, state.copy())
        self._peer_server.send(
            State(state, relay=True), lambda other: other.name in relays
        )

    def _is_same_zone(self, other: NodeEntry) -> bool:
        return other.zone == self._entry.zone

    def _build_update(self) -> NodeState:
        """Return the next state to send, with call ratios if they are due."""
        now = time.monotonic()
        self._sequence += 1
        state = self._build_load_state()
        state.sequence = self._sequence
        ratios = self._call_ratios.get_ratios(now)
        if (
            now - self._call_ratios_sent_at > CALL_RATIOS_INTERVAL_SECONDS
            or not ratios.keys() <= self._sent_routes
        ):
            self._call_ratios_sent_at = now
            self._sent_routes = frozenset(ratios)
            state.downstream_calls = ratios
        return state
