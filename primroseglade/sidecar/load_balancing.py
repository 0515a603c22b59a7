"""Where a call goes: the least expected time, with the own availability zone first."""

import random
from collections.abc import Callable

# What a call to another availability zone has to be better by: the way there and back,
# and a part of the time in which its answer has its full use. Bytes between zones are
# dear, and a caller does not see a small part of its target, not even for several
# calls one after the other.
CROSS_ZONE_BASE_COST_MS = 2.0
CROSS_ZONE_TARGET_RATIO = 0.1
# And for each kilobyte, of the call and of its answer: where a zone is short of backend
# servers, its small calls go elsewhere and make room for the large ones. A part of the
# target, too: a caller with much time loses nothing by waiting for a part of it.
CROSS_ZONE_TARGET_RATIO_PER_KB = 0.05
# A failed call costs as much as an answer that is late by so many targets: its caller
# gets nothing, or begins anew.
FAILURE_COST_TARGET_RATIO = 2.0
# Among the calls below a call, a failure counts as so many calls' time.
DOWNSTREAM_FAILURE_COST_RATIO = 6.0
# Nodes with the same view would all choose the same place: each sees the others'
# calls only with its next answer.
COST_JITTER_RATIO = 0.1
# So much more or less does another zone cost for a single call: where a zone fills up,
# nodes send a growing part of its calls away, and not all of them at one moment.
CROSS_ZONE_COST_JITTER_RATIO = 0.15
# This part of calls is sent wherever there is room. A backend server that has been slow
# or failing gets no others, and would never be seen to have recovered.
EXPLORATION_RATIO = 0.02
# Part of its slots in use up to which a backend server has room for such a call.
EXPLORATION_MAX_UTILIZATION = 0.7


class Candidate:
    """A node whose backend server serves a service, as seen from here.

    Args:
        name: The node's.
        same_zone: Whether it is in this node's availability zone.
        slots: Calls that its backend server works on at once.
        in_flight: Calls at work and waiting there.
        service_ms: Usual milliseconds of work; 0 before the first call, which makes
            a new backend server be tried until its first answer.
        failure_ratio: Share of failed calls.
        downstream_ms: What the calls below a call cost from there (`zone_costs.py`).
    """

    __slots__ = (
        "downstream_ms",
        "failure_ratio",
        "in_flight",
        "name",
        "same_zone",
        "service_ms",
        "slots",
    )

    def __init__(
        self,
        name: str,
        same_zone: bool,
        slots: int,
        in_flight: float,
        service_ms: float,
        failure_ratio: float,
        downstream_ms: float = 0.0,
    ):
        self.name = name
        self.same_zone = same_zone
        self.slots = slots
        self.in_flight = in_flight
        self.service_ms = service_ms
        self.failure_ratio = failure_ratio
        self.downstream_ms = downstream_ms


def compute_cross_zone_cost_ms(latency_target: float, size_bytes: float) -> float:
    """Return by how many milliseconds another availability zone has to be better.

    Args:
        target: Seconds within which the answer has its full use.
        size: Bytes of the call and of its answer.
    """
    target_ratio = (
        CROSS_ZONE_TARGET_RATIO + size_bytes / 1000 * CROSS_ZONE_TARGET_RATIO_PER_KB
    )
    return CROSS_ZONE_BASE_COST_MS + target_ratio * latency_target * 1000


def compute_failure_cost_ms(latency_target: float) -> float:
    """Return how many milliseconds a failed call costs.

    Args:
        target: Seconds within which the answer has its full use.
    """
    return FAILURE_COST_TARGET_RATIO * latency_target * 1000


def estimate_cost_ms(candidate: Candidate) -> float:
    """Return the expected milliseconds of a call at a backend server.

    >>> idle = Candidate("a", True, 20, 10, 15.0, 0.0)
    >>> full = Candidate("b", True, 20, 90, 15.0, 0.0)
    >>> estimate_cost_ms(full) > 2 * estimate_cost_ms(idle)
    True
    """
    utilization = (candidate.in_flight + 1) / max(1, candidate.slots)
    queued_per_slot = max(0.0, utilization - 1.0)
    return max(1.0, candidate.service_ms) * (
        1.0 + min(utilization, 1.0) ** 2 + queued_per_slot
    )


def estimate_penalty_ms(candidate: Candidate) -> float:
    """Return the milliseconds that a call costs there beyond its work.

    Waiting and failures: callers see nothing of a backend server that is slower than
    others, as long as their answers come within the target.

    >>> estimate_penalty_ms(Candidate("slow", True, 20, 10, 40.0, 0.0))
    0.0
    >>> estimate_penalty_ms(Candidate("full", True, 20, 39, 15.0, 0.0))
    15.0
    """
    utilization = (candidate.in_flight + 1) / max(1, candidate.slots)
    work_ms = max(1.0, candidate.service_ms)
    cost_ms = work_ms * max(1.0, utilization)
    return (
        cost_ms * (1.0 + DOWNSTREAM_FAILURE_COST_RATIO * candidate.failure_ratio)
        - work_ms
    )


def choose(
    same_zone_candidates: list[Candidate],
    list_cross_zone_candidates: Callable[[], list[Candidate]],
    cross_zone_cost_ms: float,
    min_cross_zone_downstream_ms: float,
    failure_cost_ms: float,
    rng: random.Random,
) -> Candidate | None:
    """Return where the next attempt goes, or None if nothing is left to try.

    Args:
        same_zone_candidates: Nodes in the own availability zone that may be asked.
        list_cross_zone_candidates: Returns those in others; not called where none
            can be better.
        cross_zone_cost_ms: Of `compute_cross_zone_cost_ms`.
        min_cross_zone_downstream_ms: What the calls below the call cost elsewhere, at
            the least.
        failure_cost_ms: Of `compute_failure_cost_ms`.
        rng: Breaks ties.
    """
    if len(same_zone_candidates) > 1 and rng.random() < EXPLORATION_RATIO:
        # Nodes of other zones hear what becomes of it.
        available = [
            i
            for i in same_zone_candidates
            if i.in_flight < EXPLORATION_MAX_UTILIZATION * i.slots
        ]
        if available:
            return rng.choice(available)
    best, min_cost_ms = _find_cheapest(same_zone_candidates, failure_cost_ms, rng)
    penalty_ms = cross_zone_cost_ms * rng.uniform(
        1.0 - CROSS_ZONE_COST_JITTER_RATIO, 1.0 + CROSS_ZONE_COST_JITTER_RATIO
    )
    if best is not None and min_cost_ms <= penalty_ms + min_cross_zone_downstream_ms:
        return best
    best_cross_zone, cost_ms = _find_cheapest(
        list_cross_zone_candidates(), failure_cost_ms, rng
    )
    if best is None or (
        best_cross_zone is not None and cost_ms + penalty_ms < min_cost_ms
    ):
        return best_cross_zone
    return best


def _find_cheapest(
    candidates: list[Candidate], failure_cost_ms: float, rng: random.Random
) -> tuple[Candidate | None, float]:
    """Return the cheapest place for a call, and what the call costs there."""
    best: Candidate | None = None
    min_cost_ms = 0.0
    for candidate in candidates:
        cost_ms = estimate_cost_ms(candidate) * (1.0 + COST_JITTER_RATIO * rng.random())
        cost_ms += failure_cost_ms * candidate.failure_ratio + candidate.downstream_ms
        if best is None or cost_ms < min_cost_ms:
            best = candidate
            min_cost_ms = cost_ms
    return best, min_cost_ms
