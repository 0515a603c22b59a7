"""Choice of nodes for calls in a large fleet."""

import collections
import random

import pytest

from primroseglade.observe.events import Journal
from primroseglade.sidecar.cross_zone_bytes import CrossZoneBytes
from primroseglade.sidecar.fleet import Fleet
from primroseglade.sidecar.frames import Hello
from primroseglade.sidecar.model import NodeEntry, NodeState
from primroseglade.sidecar.peer import Peer


class PeerHost:
    """The node that chooses among the fleet."""

    entry = NodeEntry("here", "127.0.0.1:1", "a", "front", 1)
    cross_zone_bytes = CrossZoneBytes()

    def __init__(self) -> None:
        self.fleet: Fleet | None = None

    def handle_entry_change(self) -> None:
        """Tell the fleet, as the node does."""
        assert self.fleet is not None
        self.fleet.invalidate_index()

    def apply_drains(self, drains: dict[str, int]) -> None:
        """Do nothing."""


class FakeSupervisor:
    """Supervisor that starts no tasks, so that no stream is opened."""

    def start(self, name: str, work: object) -> None:
        """Do nothing."""


@pytest.fixture
async def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    """Twelve backend servers of a service in each of three zones, all idle."""
    monkeypatch.setattr(Peer, "connected", property(lambda self: True))
    host = PeerHost()
    fleet = Fleet(host, FakeSupervisor(), Journal("here", "error"), random.Random(1))
    host.fleet = fleet
    for number in range(36):
        name = f"deep-{number:02}"
        fleet.update_node(NodeEntry(name, "127.0.0.1:2", "abc"[number % 3], "deep", 1))
        peer = fleet.get(name)
        assert peer is not None
        peer.state = NodeState("i", 32, 2.0, 20.0)
    return fleet


async def test_all_backend_servers_of_a_zone_get_calls(fleet: Fleet):
    """Guards against comparing only the first eight of a zone's twelve nodes by name:
    the other four are idle while calls queue at those eight or cross zones.
    """
    chosen = collections.Counter(
        candidate.name
        for _ in range(6000)
        if (candidate := fleet.choose("deep", None, (), 40.0, 600.0, {}))
    )
    assert len(chosen) == 12
    assert min(chosen.values()) > 0.6 * 6000 / 12


async def test_each_node_is_tried_once_same_zone_first(fleet: Fleet):
    """Tried nodes are skipped; other zones follow once the same zone is exhausted."""
    tried: list[str] = []
    zones = []
    while candidate := fleet.choose("deep", None, tried, 40.0, 600.0, {}):
        tried.append(candidate.name)
        zones.append(candidate.same_zone)
    assert len(set(tried)) == 36
    assert zones == [True] * 12 + [False] * 24


async def test_calls_cross_zones_when_the_whole_zone_queues(fleet: Fleet):
    """All backend servers of the zone have two calls queued per slot."""
    for number in range(0, 36, 3):
        peer = fleet.get(f"deep-{number:02}")
        assert peer is not None
        peer.record_in_flight(96.0)
    candidate = fleet.choose("deep", None, (), 40.0, 600.0, {})
    assert candidate is not None
    assert not candidate.same_zone


async def test_node_that_returns_with_another_service_gets_no_calls_of_the_former(
    fleet: Fleet,
):
    """Guards against requests that the wrong service runs: the Hello of the returned
    node changed its entry, and the nodes stayed sorted by their former services.
    """
    for number in range(36):
        peer = fleet.get(f"deep-{number:02}")
        assert peer is not None
        if number:
            peer.state = NodeState()
    assert fleet.choose("deep", None, (), 40.0, 600.0, {}) is not None
    returned = fleet.get("deep-00")
    assert returned is not None
    entry = NodeEntry("deep-00", "127.0.0.1:2", "a", "other", 2)
    returned._handle_hello(Hello(entry))
    fleet.update_node(entry)
    assert fleet.choose("deep", None, (), 40.0, 600.0, {}) is None
    chosen = fleet.choose("other", None, (), 40.0, 600.0, {})
    assert chosen is not None
    assert chosen.name == "deep-00"
