"""Retry budgets of the nodes of a fleet."""

from primroseglade.sidecar.retry_budget import RetryBudget


def test_downstream_calls_of_a_retry_count_as_retries():
    """Guards against more retries at a service deep in the call graph than the operator
    allows. If a request makes four calls to the service, each retry of the request
    makes them again, although none of these calls is itself retried.
    """
    budget = RetryBudget(ratio=0.2, fixed=50, window=10.0)
    for number in range(100):
        budget.record_first_attempt("front", number * 0.01)
        budget.record_first_attempt("deep", number * 0.01)
    retries = sum(
        budget.try_spend({"front": 1.0, "deep": 4.0}, nodes=10, now=1.0)
        for _ in range(100)
    )
    assert 0 < retries * 4 <= 0.2 * 100 + 50 / 10


def test_retries_of_all_nodes_stay_within_the_budget():
    """The retries of ten nodes together stay within the limit of the fleet."""
    nodes = [RetryBudget(ratio=0.2, fixed=50, window=10.0) for _ in range(10)]
    for node in nodes:
        for _ in range(30):
            node.record_first_attempt("front", 1.0)
    retries = sum(
        node.try_spend({"front": 1.0}, nodes=10, now=2.0)
        for node in nodes
        for _ in range(50)
    )
    assert 0 < retries <= 0.2 * 300 + 50
