"""Where a tree of calls crosses to another availability zone."""

from primroseglade.sidecar.call_graph import CallGraph
from primroseglade.sidecar.model import Route, RouteKind, WeightedService
from primroseglade.sidecar.zone_costs import ZoneCosts, ZoneCostsMs

PRICE = 40.0


def build_route(name: str, service: str) -> Route:
    """Return a route to one service."""
    services = [WeightedService(service, 1.0)]
    return Route(name, "h", "/", RouteKind.SAFE, services, 1, 1, 0, 1, False)


def build_costs(min_costs: dict[str, ZoneCostsMs]) -> ZoneCosts:
    """Return the costs of a page that asks for a seat, which asks for one status, which
    looks four times into a timetable.
    """
    names = {"page": "pages", "seat": "seats", "status": "desk", "look": "timetable"}
    routes = {name: build_route(name, service) for name, service in names.items()}
    graph = CallGraph()
    told = [
        ("pages", {"page": {"seat": 1.0}}),
        ("seats", {"seat": {"status": 1.0}}),
        ("desk", {"status": {"look": 4.0}}),
    ]
    graph.rebuild(told, routes)
    costs = ZoneCosts(graph, lambda name: PRICE)
    costs.refresh(min_costs)
    return costs


def find_crossing(costs: ZoneCosts, min_costs: dict[str, ZoneCostsMs]) -> list[str]:
    """Return which of a page's calls leave zone ``a`` for another."""
    names = {"page": "pages", "seat": "seats", "status": "desk"}
    crossing = []
    for name, service in names.items():
        below = costs.get_downstream_costs(name, service)
        totals = {
            zone: cost + below[zone] + (PRICE if zone != "a" else 0.0)
            for zone, cost in min_costs[service].items()
        }
        if min(totals, key=totals.__getitem__) != "a":
            crossing.append(name)
    return crossing


def test_one_call_crosses_in_place_of_the_four_below_it():
    """One zone had lost its only backend server of the timetable. Each status that was
    asked for there sent four look-ups to another zone, a thousand a second; the status
    itself could have gone there, once.
    """
    whole = {"a": 20.0, "b": 20.0, "c": 20.0}
    min_costs = {
        "pages": whole,
        "seats": whole,
        "desk": whole,
        "timetable": {"b": 20.0, "c": 20.0},
    }
    costs = build_costs(min_costs)
    assert find_crossing(costs, min_costs) == ["status"]
    below = costs.get_downstream_costs("status", "desk")
    assert below == {"a": 4 * (20.0 + PRICE), "b": 80.0, "c": 80.0}


def test_a_timetable_with_a_queue_moves_the_status_that_asks_for_it():
    """The same where the zone's timetable has a queue: look-ups wait there, but not so
    long that one of them would cross by itself.
    """
    whole = {"a": 0.0, "b": 0.0}
    min_costs = {
        "pages": whole,
        "seats": whole,
        "desk": whole,
        "timetable": {"a": 30.0, "b": 0.0},
    }
    assert find_crossing(build_costs(min_costs), min_costs) == ["status"]


def test_everything_stays_where_zones_are_alike():
    """On a quiet day a tenth more time elsewhere is no reason to go there."""
    min_costs = {
        service: {"a": 22.0, "b": 20.0}
        for service in ("pages", "seats", "desk", "timetable")
    }
    assert find_crossing(build_costs(min_costs), min_costs) == []


def test_a_service_that_nobody_serves_decides_nothing():
    """With no timetable left anywhere, no zone is better than another."""
    whole = {"a": 20.0, "b": 20.0}
    costs = build_costs({"pages": whole, "seats": whole, "desk": whole})
    assert costs.get_downstream_costs("status", "desk") == {"a": 0.0, "b": 0.0}


def test_calls_in_a_circle_end():
    """Routes that move leave a few calls in circles for some seconds."""
    routes = {"x": build_route("x", "one"), "y": build_route("y", "two")}
    graph = CallGraph()
    graph.rebuild(
        [("one", {"x": {"y": 1.0}}), ("two", {"y": {"x": 1.0}})],
        routes,
    )
    costs = ZoneCosts(graph, lambda name: PRICE)
    costs.refresh({"one": {"a": 10.0}, "two": {"a": 10.0}})
    assert costs.get_downstream_costs("x", "one")["a"] >= 10.0


def test_costs_follow_a_change_over_some_looks():
    """All nodes of a zone saw a queue elsewhere end at the same moment; they moved
    their calls there at once, and back half a second later.
    """
    whole = {"a": 20.0, "b": 20.0}
    costs = build_costs({"desk": whole, "timetable": {"a": 20.0, "b": 50.0}})
    costs.refresh({"desk": whole, "timetable": {"a": 20.0, "b": 20.0}})
    between = costs.get_downstream_costs("status", "desk")["b"]
    assert 80.0 < between < 200.0
