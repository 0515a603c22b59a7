"""What requests lead to."""

import itertools
import time

from primroseglade.sidecar.call_graph import CallGraph

# Walking the paths of the graph below took hours, adding up levels takes
# milliseconds; this is far from both.
SECONDS = 2.0


def test_a_dense_graph_is_added_up_in_no_time():
    """Callers saw answers take seconds although no service was busy: a configuration
    had moved routes, and for some seconds each service had called most others. Nodes
    walked every path through that graph four times a second, and did little else.
    """
    names = [f"service-{number}" for number in range(9)]
    graph = CallGraph()
    graph.rebuild([(name, dict.fromkeys(names, 0.1)) for name in names])
    started = time.monotonic()
    for name in names:
        graph.get_visits(name)
    assert time.monotonic() - started < SECONDS


def test_visits_add_up_over_all_paths():
    """A service that is reached on two ways is visited by both."""
    graph = CallGraph()
    graph.rebuild(
        [
            ("root", {"left": 1.0, "right": 2.0}),
            ("left", {"deep": 4.0}),
            ("right", {"deep": 1.0}),
            ("deep", {}),
        ]
    )
    assert graph.get_visits("root") == {
        "root": 1.0,
        "left": 1.0,
        "right": 2.0,
        "deep": 6.0,
    }


def test_services_that_call_each_other_end():
    """A cycle is followed for as long as calls remain, and not for ever."""
    graph = CallGraph()
    graph.rebuild([("a", {"b": 1.0}), ("b", {"a": 1.0})])
    visits = graph.get_visits("a")
    assert set(visits) == {"a", "b"}
    assert all(count < 100 for count in itertools.chain(visits.values()))
