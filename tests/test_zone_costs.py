"""Which calls of a call graph go to another availability zone."""

from primroseglade.sidecar.call_graph import CallGraph
from primroseglade.sidecar.model import Route, RouteKind, WeightedService
from primroseglade.sidecar.zone_costs import ZoneCosts, ZoneCostsMs

CROSS_ZONE_COST_MS = 40.0


def build_route(name: str, service: str) -> Route:
    """Return a route to one service."""
    services = [WeightedService(service, 1.0)]
    return Route(name, "h", "/", RouteKind.SAFE, services, 1, 1, 0, 1, False)


def build_costs(min_costs: dict[str, ZoneCostsMs]) -> ZoneCosts:
    """Return the costs for a call graph in which a page makes one seat call, a seat one
    status call, and a status four look calls to the timetable service.
    """
    names = {"page": "pages", "seat": "seats", "status": "desk", "look": "timetable"}
    routes = {name: build_route(name, service) for name, service in names.items()}
    graph = CallGraph()
    downstream_calls = [
        ("pages", {"page": {"seat": 1.0}}),
        ("seats", {"seat": {"status": 1.0}}),
        ("desk", {"status": {"look": 4.0}}),
    ]
    graph.rebuild(downstream_calls, routes)
    costs = ZoneCosts(graph, lambda name: CROSS_ZONE_COST_MS)
    costs.refresh(min_costs)
    return costs


def list_cross_zone_calls(
    costs: ZoneCosts, min_costs: dict[str, ZoneCostsMs]
) -> list[str]:
    """Return which calls of a page leave zone ``a`` for another zone."""
    names = {"page": "pages", "seat": "seats", "status": "desk"}
    cross_zone_calls = []
    for name, service in names.items():
        downstream_costs = costs.get_downstream_costs(name, service)
        totals = {
            zone: cost
            + downstream_costs[zone]
            + (CROSS_ZONE_COST_MS if zone != "a" else 0.0)
            for zone, cost in min_costs[service].items()
        }
        if min(totals, key=totals.__getitem__) != "a":
            cross_zone_calls.append(name)
    return cross_zone_calls


def test_one_call_goes_cross_zone_instead_of_its_four_downstream_calls():
    """Guards against sending four downstream calls cross-zone instead of the call that
    makes them. If a zone loses its only backend server of the timetable, each status
    call there would send four look-ups to another zone, 1000 per second in all, while
    the one status call can go there instead.
    """
    equal_costs = {"a": 20.0, "b": 20.0, "c": 20.0}
    min_costs = {
        "pages": equal_costs,
        "seats": equal_costs,
        "desk": equal_costs,
        "timetable": {"b": 20.0, "c": 20.0},
    }
    costs = build_costs(min_costs)
    assert list_cross_zone_calls(costs, min_costs) == ["status"]
    downstream_costs = costs.get_downstream_costs("status", "desk")
    assert downstream_costs == {
        "a": 4 * (20.0 + CROSS_ZONE_COST_MS),
        "b": 80.0,
        "c": 80.0,
    }


def test_queue_at_downstream_service_moves_its_caller():
    """If the timetable of a zone has a queue that is too short for a single look-up to
    go cross-zone, the waits of four look-ups still send the status call cross-zone.
    """
    equal_costs = {"a": 0.0, "b": 0.0}
    min_costs = {
        "pages": equal_costs,
        "seats": equal_costs,
        "desk": equal_costs,
        "timetable": {"a": 30.0, "b": 0.0},
    }
    assert list_cross_zone_calls(build_costs(min_costs), min_costs) == ["status"]


def test_calls_stay_in_zone_if_costs_are_similar():
    """Calls do not go to another zone where costs are only a tenth lower."""
    min_costs = {
        service: {"a": 22.0, "b": 20.0}
        for service in ("pages", "seats", "desk", "timetable")
    }
    assert list_cross_zone_calls(build_costs(min_costs), min_costs) == []


def test_service_without_backend_servers_adds_no_cost():
    """Without any backend server of the timetable, no zone is better than another."""
    equal_costs = {"a": 20.0, "b": 20.0}
    costs = build_costs(
        {"pages": equal_costs, "seats": equal_costs, "desk": equal_costs}
    )
    assert costs.get_downstream_costs("status", "desk") == {"a": 0.0, "b": 0.0}


def test_call_cycles_terminate():
    """After routes are moved, stale call ratios can form a cycle for some seconds."""
    routes = {"x": build_route("x", "one"), "y": build_route("y", "two")}
    graph = CallGraph()
    graph.rebuild(
        [("one", {"x": {"y": 1.0}}), ("two", {"y": {"x": 1.0}})],
        routes,
    )
    costs = ZoneCosts(graph, lambda name: CROSS_ZONE_COST_MS)
    costs.refresh({"one": {"a": 10.0}, "two": {"a": 10.0}})
    assert costs.get_downstream_costs("x", "one")["a"] >= 10.0


def test_cost_changes_are_smoothed():
    """Guards against nodes that move their calls back and forth together. All nodes of
    a zone learn at the same time that a queue in another zone has drained. Without
    smoothing they would move their calls there at once, and back half a second later.
    """
    equal_costs = {"a": 20.0, "b": 20.0}
    costs = build_costs({"desk": equal_costs, "timetable": {"a": 20.0, "b": 50.0}})
    costs.refresh({"desk": equal_costs, "timetable": {"a": 20.0, "b": 20.0}})
    smoothed_cost = costs.get_downstream_costs("status", "desk")["b"]
    assert 80.0 < smoothed_cost < 200.0
