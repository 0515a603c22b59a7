"""Calls to each service that requests cause."""

import itertools
import time

from primroseglade.sidecar.call_graph import CallGraph
from primroseglade.sidecar.model import Route, RouteKind, WeightedService

# Traversing all paths of the dense graph below takes hours, summing it level by level
# takes milliseconds; the limit is far from both.
MAX_SECONDS = 2.0


def build_routes(**services: str) -> dict[str, Route]:
    """Return routes by name, each served by one service."""
    return {
        name: Route(
            name,
            "host",
            f"/{name}/",
            RouteKind.SAFE,
            [WeightedService(service, 1.0)],
            1.0,
            0.5,
            0,
            1,
            True,
        )
        for name, service in services.items()
    }


def test_dense_graph_is_summed_quickly():
    """Guards against traversing every path of the call graph. For some seconds after a
    configuration has moved routes, each service seems to call most others. A node that
    traverses all paths of such a graph four times a second does little else, and
    answers take seconds although no service is busy.
    """
    names = [f"service-{number}" for number in range(9)]
    graph = CallGraph()
    ratios = dict.fromkeys(names, 0.1)
    routes = build_routes(**{name: name for name in names})
    graph.rebuild([(name, {"": ratios, name: ratios}) for name in names], routes)
    started = time.monotonic()
    for name in names:
        graph.get_expected_calls(name, name)
    assert time.monotonic() - started < MAX_SECONDS


def test_visits_add_up_over_all_paths():
    """A service that is called on two paths gets the calls of both."""
    graph = CallGraph()
    graph.rebuild(
        [
            ("root", {"root": {"left": 1.0, "right": 2.0}}),
            ("left", {"left": {"deep": 4.0}}),
            ("right", {"right": {"deep": 1.0}}),
            ("deep", {"deep": {}}),
        ],
        build_routes(left="left", right="right", deep="deep"),
    )
    assert graph.get_expected_calls("root", "root") == {
        "root": 1.0,
        "left": 1.0,
        "right": 2.0,
        "deep": 6.0,
    }


def test_cycle_of_services_terminates():
    """The traversal of a cycle ends at the maximum depth."""
    graph = CallGraph()
    graph.rebuild(
        [("a", {"a": {"b": 1.0}}), ("b", {"b": {"a": 1.0}})],
        build_routes(a="a", b="b"),
    )
    expected_calls = graph.get_expected_calls("a", "a")
    assert set(expected_calls) == {"a", "b"}
    assert all(count < 100 for count in itertools.chain(expected_calls.values()))


def test_routes_of_one_service_have_separate_call_trees():
    """Guards against refusing an upload because look-ups at the same service call an
    overloaded one. Each route must have a call tree of its own.
    """
    graph = CallGraph()
    reported_ratios = {"": {"lookup": 3.2}, "index": {"lookup": 4.0}, "upload": {}}
    graph.rebuild([("images", reported_ratios)], build_routes(lookup="deep"))
    assert graph.get_expected_calls("upload", "images") == {"images": 1.0}
    assert graph.get_expected_calls("index", "images")["deep"] == 4.0


def test_new_route_gets_the_average_of_its_service():
    """Before the first run of a route, the average of its service is used."""
    graph = CallGraph()
    reported_ratios = {"": {"lookup": 3.2}, "index": {"lookup": 4.0}}
    graph.rebuild([("images", reported_ratios)], build_routes(lookup="deep"))
    assert graph.get_expected_calls("moved", "images")["deep"] == 3.2


def test_calls_of_a_split_route_are_divided_by_weight():
    """A service with a quarter of the weight gets a quarter of the calls."""
    graph = CallGraph()
    routes = build_routes(lookup="old")
    routes["lookup"].services = [
        WeightedService("old", 3.0),
        WeightedService("new", 1.0),
    ]
    graph.rebuild([("images", {"index": {"lookup": 4.0}})], routes)
    expected_calls = graph.get_expected_calls("index", "images")
    assert expected_calls == {"images": 1.0, "old": 3.0, "new": 1.0}
