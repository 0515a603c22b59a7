"""Broadcast of this node's state, and relay of other nodes' states.

In a small fleet every node sends its state to all others. In a larger one it sends the
state to one node in each availability zone, including its own, which relays it to its
zone in a batch with all others received meanwhile. Waking up for a message costs a node
more than processing it, so each node receives only a few messages per second,
regardless of the size of the fleet.
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
# Fleets of up to this size broadcast directly: it saves the delay of batching, and the
# additional messages cost little processor time.
MAX_DIRECT_NODES = 24
# Call ratios change rarely, with the configuration, and are sent at this interval.
CALL_RATIOS_INTERVAL_SECONDS = 2.0


class RelayBuffer:
    """States of other nodes that wait to be relayed."""

    def __init__(self) -> None:
        self._pending_states: dict[str, NodeState] = {}

    def add(self, name: str, state: NodeState) -> None:
        """Add a node's newest state, with call ratios of a pending one if it has none.

        Args:
            name: Name of the node.
            state: Its state; may be modified.
        """
        previous = self._pending_states.get(name)
        if previous is not None:
            if state.downstream_calls is None:
                state.downstream_calls = previous.downstream_calls
        self._pending_states[name] = state

    def take(self) -> list[tuple[str, NodeState]]:
        """Return the pending states with their nodes' names, and clear the buffer."""
        pending = list(self._pending_states.items())
        self._pending_states = {}
        return pending


class StateBroadcaster:
    """Broadcasts this node's state, and relays states within its zone.

    Args:
        entry: Entry of this node.
        fleet: The other nodes.
        server: Sends on the streams that other nodes opened to this one.
        build_load: Returns the state without sequence and call ratios.
        call_ratios: Estimates which calls the local backend server makes.
    """

    def __init__(
        self,
        entry: NodeEntry,
        fleet: Fleet,
        server: PeerServer,
        build_load_state: Callable[[], NodeState],
        call_ratios: CallRatioEstimator,
    ):
        self._entry = entry
        self._fleet = fleet
        self._server = server
        self._build_load_state = build_load_state
        self._call_ratios = call_ratios
        self._relay_buffer = RelayBuffer()
        # The start time exceeds all sequences of this node's earlier processes.
        self._sequence = entry.start_time_ms
        self._call_ratios_sent_at = 0.0

    def build_full_state(self) -> NodeState:
        """Return the complete state, for a node that has just connected."""
        now = time.monotonic()
        state = self._build_load_state()
        state.sequence = self._sequence
        state.downstream_calls = self._call_ratios.get_ratios(now)
        state.is_full = True
        return state

    def broadcast_now(self) -> None:
        """Send the state to every node immediately; for urgent changes."""
        self._server.send(State(self._build_update(), relay=False))

    def relay_state(self, name: str, state: NodeState) -> None:
        """Add another node's state to those that are relayed to this node's zone."""
        # A copy, since the buffer modifies states and the original is in use here.
        self._relay_buffer.add(name, state.copy())

    def relay_pending(self, now: float) -> None:
        """Relay the pending states to this node's zone."""
        pending = self._relay_buffer.take()
        if pending:
            self._server.send(States(pending), self._is_same_zone)

    def broadcast(self, now: float) -> None:
        """Broadcast the state, directly or through one relay node in each zone."""
        if len(self._fleet) <= MAX_DIRECT_NODES:
            self.broadcast_now()
            return
        state = self._build_update()
        relays = set(self._fleet.list_readers())
        if self._entry.name in relays:
            self._relay_buffer.add(self._entry.name, state.copy())
        self._server.send(State(state, relay=True), lambda other: other.name in relays)

    def _is_same_zone(self, other: NodeEntry) -> bool:
        return other.zone == self._entry.zone

    def _build_update(self) -> NodeState:
        """Return the next state to send, with call ratios if those are due."""
        now = time.monotonic()
        self._sequence += 1
        state = self._build_load_state()
        state.sequence = self._sequence
        if now - self._call_ratios_sent_at > CALL_RATIOS_INTERVAL_SECONDS:
            self._call_ratios_sent_at = now
            state.downstream_calls = self._call_ratios.get_ratios(now)
        return state
