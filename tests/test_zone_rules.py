"""Regions to which routes and workspaces are restricted."""

import pytest

from primroseglade.observe.events import Journal, VALUE_IGNORED
from primroseglade.platform.operator_config import decode_policy
from primroseglade.sidecar.evacuations import Evacuations
from primroseglade.sidecar.model import (
    CallerLimits,
    Policy,
    Route,
    RouteKind,
    Tenant,
)
from primroseglade.sidecar.zone_rules import ZoneRules

ZONES = {"a": "r", "b": "r", "c": "s", "d": "t"}
JOURNAL = Journal("n-1", "error")


def build_route(*regions: str) -> Route:
    """Return a route that is restricted to some regions."""
    return Route(
        "deep", "h", "/", RouteKind.SAFE, [], 1, 1, 0, 1, False, frozenset(regions)
    )


def build_policy(version: int, route: Route, *regions: str) -> Policy:
    """Return a policy with one route, and one workspace restricted to some regions."""
    tenant = Tenant("north", None, 0, 0, frozenset(regions))
    return Policy(version, [route], {b"key": tenant}, CallerLimits(), {}, {})


def build_rules(journal: Journal = JOURNAL) -> ZoneRules:
    """Return rules for the zones of this module, without evacuations."""
    return ZoneRules(ZONES, Evacuations(ZONES, journal, lambda _: None), journal)


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "expected"),
    [
        ((), (), None),
        (("r",), (), {"a", "b"}),
        ((), ("s",), {"c"}),
        (("r", "s"), ("s", "t"), {"c"}),
        (("r",), ("s",), set()),
    ],
)
def test_regions_of_route_and_workspace_both_bind(of_route, of_workspace, expected):
    """Guards against calls to a region that only one of the two allows."""
    rules = build_rules()
    route = build_route(*of_route)
    rules.apply_policy(build_policy(1, route, *of_workspace))
    assert rules.get_allowed_zones(route, "north") == expected


def test_evacuated_zone_of_an_allowed_region_is_left_out():
    """Guards against calls to an evacuated zone because its region is allowed."""
    evacuations = Evacuations(ZONES, JOURNAL, lambda _: None)
    rules = ZoneRules(ZONES, evacuations, JOURNAL)
    route = build_route("r")
    rules.apply_policy(build_policy(1, route))
    evacuations.replace(["b"], 1, "store")
    assert rules.get_allowed_zones(route, "north") == {"a"}


def test_calls_of_backend_servers_are_bound_by_their_route():
    """They have no workspace."""
    rules = build_rules()
    route = build_route("s")
    rules.apply_policy(build_policy(1, route, "r"))
    assert rules.get_allowed_zones(route, "") == {"c"}


def test_unknown_region_leaves_the_last_state_in_force():
    """Guards against refusals of all calls of a route because of a typing error."""
    journal = Journal("n-1", "info")
    rules = build_rules(journal)
    rules.apply_policy(build_policy(1, build_route("r")))
    mistyped = build_route("moon")
    rules.apply_policy(build_policy(2, mistyped))
    assert rules.get_allowed_zones(mistyped, "north") == {"a", "b"}
    partly_known = build_route("moon", "s")
    rules.apply_policy(build_policy(3, partly_known))
    assert rules.get_allowed_zones(partly_known, "north") == {"c"}
    rules.apply_policy(build_policy(4, build_route()))
    rules.apply_policy(build_policy(5, mistyped))
    assert rules.get_allowed_zones(mistyped, "north") is None
    events = [entry["event"] for entry in journal.recent]
    assert events.count(VALUE_IGNORED.number) == 3
    assert "moon" in journal.recent[0]["reason"]


def test_new_route_of_an_unknown_region_runs_nowhere():
    """Guards against data that leaves the regions to which it is restricted."""
    rules = build_rules()
    route = build_route("moon")
    rules.apply_policy(build_policy(1, route))
    assert rules.get_allowed_zones(route, "north") == frozenset()
    assert rules.is_restricted(route, "north")


def test_regions_are_decoded_from_the_configuration():
    """Routes and workspaces may name regions; a list that is empty means all."""
    record = b"""{"version": 1, "tenants": [
        {"name": "north", "api_keys": ["k"], "allowed_regions": ["r"]}],
        "virtual_hosts": [{"host": "h", "paths": [
        {"name": "x", "path_prefix": "/x/", "service": "deep", "allowed_regions": []},
        {"name": "y", "path_prefix": "/y/", "service": "deep",
         "allowed_regions": ["r", "s"]}]}]}"""
    policy = decode_policy(record)
    assert policy.tenants is not None
    assert policy.tenants[b"k"].regions == {"r"}
    assert [set(route.regions) for route in policy.routes] == [set(), {"r", "s"}]
