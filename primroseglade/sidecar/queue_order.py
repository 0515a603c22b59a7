"""In which order queued calls start at the backend server.

Each call gets a sort time, and the earliest starts first. The sort time is the arrival
time plus delays for what can wait: a latency target that is further away, a request
that is less urgent, a request that needs more calls after this one, and one that is
late already. Workspaces that take more than their shares are delayed, too
(`workspace_shares.py`). A call is overtaken only by calls that arrive within these
delays after it, so that none waits for ever while more urgent ones arrive.
"""

from .model import LOWEST_PRIORITY
from .request_context import RequestContext

# Delay of a call whose request is unknown, in latency targets: after the most urgent
# and before the least urgent. Calls of older nodes carry no request context.
UNKNOWN_DELAY_TARGETS = 3.0
# Delay for each level of urgency that a request is below the most urgent one. A level
# is worth about one latency target of a look-up.
URGENCY_LEVEL_DELAY_SECONDS = 0.25
# Levels of urgency of a workspace's priority, which counts more than a route's.
LEVELS_PER_WORKSPACE_PRIORITY = 3
MAX_URGENCY_DELAY_SECONDS = 2.0
# Delay for each further call on the same route that the run is expected to make.
# Requests that have begun are finished first: their work is lost if they fail.
REMAINING_CALL_DELAY_SECONDS = 0.1
MAX_REMAINING_CALLS_DELAY_SECONDS = 1.0
# Delay of a call whose request has missed its latency target.
LATE_DELAY_SECONDS = 0.5


def compute_sort_time(
    now: float,
    latency_target: float,
    context: RequestContext | None,
    remaining_calls: int = 0,
) -> float:
    """Return the sort time of a call that is queued now; the earliest starts first.

    Args:
        now: Seconds on the loop's clock.
        latency_target: Seconds within which the answer should arrive.
        context: The request that the call belongs to; None if unknown.
        remaining_calls: Expected number of further calls on the same route in the same
            run of a backend server.

    >>> claim = RequestContext(0, 1, target_at=10.5)
    >>> history = RequestContext(1, 1, target_at=11.2)
    >>> look_up_at = compute_sort_time(9.8, 0.3, history, remaining_calls=3)
    >>> compute_sort_time(10.0, 0.5, claim) < look_up_at
    True
    >>> compute_sort_time(9.8, 0.3, history, remaining_calls=0) < look_up_at
    True
    """
    target_seconds = max(0.0, latency_target)
    if context is None:
        return now + UNKNOWN_DELAY_TARGETS * target_seconds
    seconds_left = context.target_at - now
    late_seconds = LATE_DELAY_SECONDS if seconds_left <= 0 else 0.0
    return (
        now
        + min(target_seconds, max(0.0, seconds_left))
        + late_seconds
        + min(
            MAX_URGENCY_DELAY_SECONDS,
            URGENCY_LEVEL_DELAY_SECONDS * get_urgency_level(context.rank),
        )
        + min(
            MAX_REMAINING_CALLS_DELAY_SECONDS,
            REMAINING_CALL_DELAY_SECONDS * remaining_calls,
        )
    )


def get_urgency_level(rank: int) -> int:
    """Return the urgency level of a request's rank; 0 is the most urgent."""
    workspace_priority, route_priority = divmod(rank, LOWEST_PRIORITY + 1)
    return workspace_priority * LEVELS_PER_WORKSPACE_PRIORITY + route_priority
