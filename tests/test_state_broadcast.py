"""Broadcast and relay of node states."""

import time

from primroseglade.sidecar.call_ratios import CallRatioEstimator
from primroseglade.sidecar.frames import Frame, State, States
from primroseglade.sidecar.model import NodeEntry, NodeState
from primroseglade.sidecar.state_broadcast import (
    MAX_DIRECT_NODES,
    RelayBuffer,
    StateBroadcaster,
)

ZONES = ("a", "b", "c", "d")


class FakeFleet:
    """A fleet of a given size; the first node of each zone is its reader."""

    def __init__(self, size: int):
        self.entries = [
            NodeEntry(f"{ZONES[n % 4]}-{n:02}", "", ZONES[n % 4], "deep", 1)
            for n in range(size)
        ]

    def __len__(self) -> int:
        return len(self.entries)

    def list_readers(self) -> list[str]:
        return ["a-00", "b-01", "c-02", "d-03"]


class FakeServer:
    """Records each frame with the name of its recipient."""

    def __init__(self, fleet: FakeFleet):
        self.fleet = fleet
        self.sent: list[tuple[str, Frame]] = []

    def send(self, frame: Frame, is_recipient=lambda _: True) -> None:
        self.sent += [(e.name, frame) for e in self.fleet.entries if is_recipient(e)]


def build_broadcaster(
    size: int, name: str = "a-99"
) -> tuple[StateBroadcaster, FakeServer]:
    """Return the broadcaster of a node in zone a, by default not the zone's reader."""
    fleet = FakeFleet(size)
    fleet.entries = [entry for entry in fleet.entries if entry.name != name]
    server = FakeServer(fleet)
    broadcaster = StateBroadcaster(
        NodeEntry(name, "", "a", "deep", 1),
        fleet,
        server,
        NodeState,
        CallRatioEstimator(),
    )
    return broadcaster, server


def test_small_fleet_broadcasts_directly():
    """Every other node receives the state, and none relays it."""
    broadcaster, server = build_broadcaster(MAX_DIRECT_NODES)
    broadcaster.broadcast(0.0)
    assert len(server.sent) == MAX_DIRECT_NODES
    assert not any(frame.relay for _, frame in server.sent)


def test_large_fleet_broadcasts_through_one_relay_per_zone():
    """Guards against the cost of waking a node for each message. If each of 88 nodes
    sends its state to all others, states take more processor time than requests of
    callers; if all nodes of a zone relay states to each other, still half of it. So one
    node in each zone, including the sender's, relays them.
    """
    broadcaster, server = build_broadcaster(88)
    broadcaster.broadcast(0.0)
    assert [name for name, _ in server.sent] == ["a-00", "b-01", "c-02", "d-03"]
    assert all(frame.relay for _, frame in server.sent)


def test_relay_includes_its_own_state():
    """A reader sends to the other zones' readers; its own zone gets one batch."""
    broadcaster, server = build_broadcaster(88, name="a-00")
    broadcaster.relay_state("b-05", NodeState(in_flight=2.0))
    broadcaster.broadcast(0.0)
    relayed = [name for name, frame in server.sent if isinstance(frame, State)]
    assert relayed == ["b-01", "c-02", "d-03"]
    server.sent.clear()
    broadcaster.relay_pending(0.25)
    assert {name[0] for name, _ in server.sent} == {"a"}
    assert len(server.sent) == 21
    update = server.sent[0][1]
    assert isinstance(update, States)
    assert [name for name, _ in update.states] == ["b-05", "a-00"]


def test_urgent_change_is_broadcast_to_all_nodes():
    """A drain must not wait for the next batch: no more requests may be sent there."""
    broadcaster, server = build_broadcaster(88)
    broadcaster.broadcast_now()
    assert len(server.sent) == 88


def test_relay_buffer_keeps_call_ratios_of_an_earlier_state():
    """Of two states of a node in one batch only the first has call ratios."""
    buffer = RelayBuffer()
    buffer.add("b-01", NodeState(downstream_calls={"": {"x": 1.0}}))
    buffer.add("b-01", NodeState(in_flight=3.0))
    ((name, state),) = buffer.take_all()
    assert name == "b-01"
    assert state.in_flight == 3.0
    assert state.downstream_calls == {"": {"x": 1.0}}
    assert buffer.take_all() == []


def test_states_round_trip_through_frames():
    """Decoded frames equal those sent."""
    from primroseglade.sidecar.frames import encode_frame, FrameReader

    frames = [State(NodeState("i-1", 5), relay=True), States([("n", NodeState())])]
    data = b"".join(encode_frame(frame) for frame in frames)
    assert FrameReader().feed(data) == frames


def test_call_ratios_of_new_routes_are_sent_at_once():
    """Guards against three seconds without load shedding after a restart of all nodes:
    until the call ratios are known, requests are admitted that the services they need
    cannot serve.
    """
    broadcaster, server = build_broadcaster(MAX_DIRECT_NODES)
    ratios = broadcaster._call_ratios
    now = time.monotonic()
    broadcaster.broadcast(now)
    for _ in range(10):
        ratios.record_call("look-up", now, attributed=True)
        ratios.record_end("index", now, now, True, {"look-up": 4})
    for _ in range(2):
        broadcaster.broadcast(now)
    states = [frame.state for name, frame in server.sent if name == "a-00"]
    sent = [state.downstream_calls for state in states]
    assert sent[-2]["index"] == {"look-up": 4.0}
    assert sent[-1] is None
