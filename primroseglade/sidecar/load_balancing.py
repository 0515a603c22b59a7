"""Chooses the node for a call by expected cost, preferring nodes of the same zone."""

import random
from collections.abc import Callable

# Surcharge on a call to another availability zone: the round trip there, and a part of
# the latency tolerance (`Route.latency_tolerance`). Bytes between zones are expensive,
# and callers do not notice if a call waits for a small part of the tolerance in its own
# zone instead, even if they make several calls in sequence.
CROSS_ZONE_BASE_SURCHARGE_MS = 2.0
CROSS_ZONE_TOLERANCE_RATIO = 0.1
# Further surcharge for each kilobyte of the call and its answer, as a part of the
# latency tolerance. Because of it, a zone that is short of backend servers sends its
# small calls elsewhere and keeps the large ones; callers with a high tolerance lose
# nothing by the wait.
CROSS_ZONE_TOLERANCE_RATIO_PER_KB = 0.05
# A failed call costs this many latency targets, because its caller gets no answer or
# has to retry.
FAILURE_COST_TARGET_RATIO = 2.0
# Cost of a failed downstream call, as a multiple of its expected time. It is used in
# `estimate_penalty_ms`, which has no latency target to multiply: its result covers the
# calls of all routes.
DOWNSTREAM_FAILURE_COST_RATIO = 6.0
# Maximum random increase of a candidate's cost. Without it, nodes that see the same
# load would all choose the same backend server: a node sees the calls of other nodes
# only in the load that the next answer reports.
COST_JITTER_RATIO = 0.1
# Random variation of the cross-zone surcharge from call to call. With it, nodes of a
# zone that fills up send a growing part of their calls elsewhere, instead of all at
# once.
CROSS_ZONE_SURCHARGE_JITTER_RATIO = 0.15
# Fraction of calls sent to a random backend server of the same zone that has spare
# capacity, whatever its cost. Without them, a backend server that was slow or failing
# would get no calls, and its recovery would go unnoticed.
EXPLORATION_RATIO = 0.02
# Fraction of calls sent to a backend server of the same zone that needs one to show
# whether it still limits its requests. The first such call ends the need.
PROBE_RATIO = 0.1
# Utilization below which a backend server has spare capacity for calls sent at random.
EXPLORATION_MAX_UTILIZATION = 0.7
# Slowdown from which on a backend server gets no calls at random.
EXPLORATION_MAX_SLOWDOWN = 1.5


class Candidate:
    """A node whose backend server can take a call, as seen from this node.

    Args:
        name: Name of the node.
        same_zone: Whether the candidate is in this node's availability zone.
        slots: Calls that its backend server can run concurrently.
        in_flight: Calls that run or are queued there.
        service_ms: Average service time of a call in milliseconds; 0 before the first
            answer, so that a new backend server gets calls.
        failure_ratio: Fraction of recent calls that failed.
        downstream_cost_ms: Cost in milliseconds of the downstream calls that the call
            makes if it runs there (`zone_costs.py`).
        start_rate: Calls per second that may start there while the backend server is
            cold; 0 if starts are not limited.
        request_limit: Calls per second that the backend server takes; 0 for no limit.
        probe_due: Whether a call is needed to show if that limit is still in force.
        slowdown: How long work takes there at this moment, as a multiple of the average
            that ``service_ms`` shows.
    """

    __slots__ = (
        "downstream_cost_ms",
        "failure_ratio",
        "in_flight",
        "name",
        "probe_due",
        "request_limit",
        "same_zone",
        "service_ms",
        "slots",
        "slowdown",
        "start_rate",
    )

    def __init__(
        self,
        name: str,
        same_zone: bool,
        slots: int,
        in_flight: float,
        service_ms: float,
        failure_ratio: float,
        downstream_cost_ms: float = 0.0,
        start_rate: float = 0.0,
        request_limit: float = 0.0,
        probe_due: bool = False,
        slowdown: float = 1.0,
    ):
        self.name = name
        self.same_zone = same_zone
        self.slots = slots
        self.in_flight = in_flight
        self.service_ms = service_ms
        self.failure_ratio = failure_ratio
        self.start_rate = start_rate
        self.request_limit = request_limit
        self.probe_due = probe_due
        self.slowdown = slowdown
        self.downstream_cost_ms = downstream_cost_ms


def compute_cross_zone_surcharge_ms(
    latency_tolerance: float, size_bytes: float
) -> float:
    """Return the surcharge on a cross-zone call in milliseconds.

    A backend server in another availability zone is chosen only if its cost is lower by
    more than this.

    Args:
        latency_tolerance: Latency in seconds that usually costs the caller nothing.
        size_bytes: Total size of the call and its answer.
    """
    tolerance_ratio = (
        CROSS_ZONE_TOLERANCE_RATIO
        + size_bytes / 1000 * CROSS_ZONE_TOLERANCE_RATIO_PER_KB
    )
    return CROSS_ZONE_BASE_SURCHARGE_MS + tolerance_ratio * latency_tolerance * 1000


def compute_failure_cost_ms(latency_target: float) -> float:
    """Return the cost of a failed call in milliseconds.

    Args:
        latency_target: Seconds after which the answer is late.
    """
    return FAILURE_COST_TARGET_RATIO * latency_target * 1000


def estimate_cost_ms(candidate: Candidate) -> float:
    """Return the milliseconds that a call is expected to take at a backend server.

    >>> idle = Candidate("a", True, 20, 10, 15.0, 0.0)
    >>> full = Candidate("b", True, 20, 90, 15.0, 0.0)
    >>> estimate_cost_ms(full) > 2 * estimate_cost_ms(idle)
    True
    >>> estimate_cost_ms(Candidate("cold", True, 20, 2, 15.0, 0.0, start_rate=5.0))
    600.0
    >>> estimate_cost_ms(Candidate("limited", True, 1, 0, 15.0, 0.0, request_limit=8.0))
    125.0
    >>> slowed = Candidate("slowed", True, 20, 10, 15.0, 0.0, slowdown=2.5)
    >>> estimate_cost_ms(slowed) == 2.5 * estimate_cost_ms(idle)
    True
    """
    if candidate.start_rate:
        return (candidate.in_flight + 1) / candidate.start_rate * 1000
    utilization = (candidate.in_flight + 1) / max(1, candidate.slots)
    queued_per_slot = max(0.0, utilization - 1.0)
    work_ms = max(1.0, candidate.service_ms) * candidate.slowdown
    cost_ms = work_ms * (1.0 + min(utilization, 1.0) ** 2 + queued_per_slot)
    return max(cost_ms, _estimate_limited_ms(candidate))


def _estimate_limited_ms(candidate: Candidate) -> float:
    """Return the milliseconds until a call may start; 0 without a stated limit."""
    if not candidate.request_limit:
        return 0.0
    return (candidate.in_flight + 1) / candidate.request_limit * 1000


def estimate_penalty_ms(candidate: Candidate) -> float:
    """Return the cost in milliseconds of waiting and failures at a backend server.

    It is used to compare zones for downstream calls (`zone_costs.py`). The work itself
    is left out: callers do not notice that a backend server is slower than others as
    long as its answers come within the latency target.

    >>> estimate_penalty_ms(Candidate("slow", True, 20, 10, 40.0, 0.0))
    0.0
    >>> estimate_penalty_ms(Candidate("full", True, 20, 39, 15.0, 0.0))
    15.0
    """
    if candidate.start_rate:
        return estimate_cost_ms(candidate)
    utilization = (candidate.in_flight + 1) / max(1, candidate.slots)
    work_ms = max(1.0, candidate.service_ms)
    cost_ms = max(work_ms * max(1.0, utilization), _estimate_limited_ms(candidate))
    return (
        cost_ms * (1.0 + DOWNSTREAM_FAILURE_COST_RATIO * candidate.failure_ratio)
        - work_ms
    )


def choose(
    same_zone_candidates: list[Candidate],
    list_cross_zone_candidates: Callable[[], list[Candidate]],
    cross_zone_surcharge_ms: float,
    min_downstream_cost_ms: float,
    failure_cost_ms: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the node for the next attempt, or None if there is no candidate.

    Args:
        same_zone_candidates: Candidates in this node's availability zone.
        list_cross_zone_candidates: Returns the candidates in other zones. It is called
            only if a candidate there could be better.
        cross_zone_surcharge_ms: Result of `compute_cross_zone_surcharge_ms`.
        min_downstream_cost_ms: Lowest cost of the downstream calls over all zones, this
            one included; a lower bound for candidates in other zones.
        failure_cost_ms: Result of `compute_failure_cost_ms`.
        rng: Draws the jitter and the calls sent to a random backend server.
    """
    probe_candidates = [
        candidate for candidate in same_zone_candidates if candidate.probe_due
    ]
    if probe_candidates and rng.random() < PROBE_RATIO:
        return rng.choice(probe_candidates)
    if len(same_zone_candidates) > 1 and rng.random() < EXPLORATION_RATIO:
        # Only in this zone: nodes of other zones learn of a recovery from broadcasts.
        available = [
            candidate
            for candidate in same_zone_candidates
            if candidate.in_flight < EXPLORATION_MAX_UTILIZATION * candidate.slots
            and not candidate.start_rate
            and candidate.slowdown < EXPLORATION_MAX_SLOWDOWN
        ]
        if available:
            return rng.choice(available)
    best_same_zone, same_zone_cost_ms = _find_cheapest(
        same_zone_candidates, failure_cost_ms, rng
    )
    jittered_surcharge_ms = cross_zone_surcharge_ms * rng.uniform(
        1.0 - CROSS_ZONE_SURCHARGE_JITTER_RATIO, 1.0 + CROSS_ZONE_SURCHARGE_JITTER_RATIO
    )
    if (
        best_same_zone is not None
        and same_zone_cost_ms <= jittered_surcharge_ms + min_downstream_cost_ms
    ):
        return best_same_zone
    best_cross_zone, best_cross_zone_cost_ms = _find_cheapest(
        list_cross_zone_candidates(), failure_cost_ms, rng
    )
    if best_same_zone is None or (
        best_cross_zone is not None
        and best_cross_zone_cost_ms + jittered_surcharge_ms < same_zone_cost_ms
    ):
        return best_cross_zone
    return best_same_zone


def _find_cheapest(
    candidates: list[Candidate], failure_cost_ms: float, rng: random.Random
) -> tuple[Candidate | None, float]:
    """Return the candidate with the lowest cost and that cost in milliseconds."""
    best: Candidate | None = None
    min_cost_ms = 0.0
    for candidate in candidates:
        cost_ms = estimate_cost_ms(candidate) * (1.0 + COST_JITTER_RATIO * rng.random())
        cost_ms += (
            failure_cost_ms * candidate.failure_ratio + candidate.downstream_cost_ms
        )
        if best is None or cost_ms < min_cost_ms:
            best = candidate
            min_cost_ms = cost_ms
    return best, min_cost_ms
