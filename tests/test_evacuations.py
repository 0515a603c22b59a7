"""Which zones a node takes for evacuated, and where it sends calls then."""

from primroseglade.observe.events import EVACUATION_STARTED, Journal, VALUE_IGNORED
from primroseglade.sidecar.evacuations import Evacuations
from primroseglade.sidecar.model import Route, RouteKind
from primroseglade.sidecar.zone_rules import ZoneRules

ZONES = ("a", "b", "c")
ROUTE = Route("deep", "h", "/", RouteKind.SAFE, [], 1, 1, 0, 1, False)


def build_evacuations() -> tuple[Evacuations, Journal, list[str]]:
    """Return evacuations, their journal, and a list of the sources of changes."""
    journal = Journal("n-1", "info")
    sources: list[str] = []
    return Evacuations(ZONES, journal, sources.append), journal, sources


def test_late_message_does_not_undo_an_evacuation():
    """Guards against a state of another node that was sent before the evacuation."""
    evacuations, _, sources = build_evacuations()
    evacuations.replace(["b"], 7, "store")
    evacuations.replace([], 5, "n-2")
    assert evacuations.zones == {"b"}
    evacuations.replace([], 8, "n-2")
    assert not evacuations.zones
    assert sources == ["store", "n-2"]


def test_changes_apply_to_what_a_peer_reported_meanwhile():
    """Guards against an evacuation that is lost because the node reads the store from
    an older offset than that of the set which it has from a peer.
    """
    evacuations, _, _ = build_evacuations()
    evacuations.replace(["a"], 20, "n-2")
    # Read from offset 15: the record at 16 evacuated zone a, that at 22 zone c.
    evacuations.apply_changes({"a": True, "c": True}, 23, "store")
    assert evacuations.zones == {"a", "c"}
    evacuations.apply_changes({"a": False}, 24, "store")
    assert evacuations.zones == {"c"}


def test_unknown_zone_is_ignored_and_logged_once():
    """Guards against a typing error that stops the evacuation of another zone."""
    evacuations, journal, _ = build_evacuations()
    for offset in range(1, 4):
        evacuations.replace(["b", "mars"], offset, "store")
    assert evacuations.zones == {"b"}
    events = [entry["event"] for entry in journal.recent]
    assert events.count(VALUE_IGNORED.number) == 1
    assert events.count(EVACUATION_STARTED.number) == 1
    ignored = [entry for entry in journal.recent if "reason" in entry]
    assert "mars" in ignored[0]["reason"]


def test_all_zones_may_be_evacuated():
    """With nowhere left to run, calls are refused rather than sent to a zone."""
    evacuations, _, _ = build_evacuations()
    rules = ZoneRules(dict.fromkeys(ZONES, "r"), evacuations, Journal("n-1", "error"))
    assert rules.get_allowed_zones(ROUTE, "north") is None
    evacuations.replace(["b"], 1, "store")
    assert rules.get_allowed_zones(ROUTE, "north") == {"a", "c"}
    evacuations.replace(ZONES, 2, "store")
    assert rules.get_allowed_zones(ROUTE, "north") == frozenset()
