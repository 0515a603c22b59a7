"""When a refused caller should come back."""

import random

# Callers follow a Retry-After of up to this fraction of the time until their deadline.
MAX_REMAINING_RATIO = 1 / 3
# Range in which the time is drawn, as fractions of the longest that callers follow.
EARLIEST_RATIO = 0.25
LATEST_RATIO = 0.9


def draw_retry_after(
    remaining: float, rng: random.Random, not_before: float = 0.0
) -> float:
    """Return the seconds after which a refused caller should retry.

    The result is random, so that callers refused together do not retry together.

    Args:
        remaining: Seconds left until the caller's deadline.
        rng: Draws the result.
        not_before: Seconds for which a retry would be refused, too. If that is longer
            than callers wait, the result is the longest that they follow.
    """
    longest = LATEST_RATIO * remaining * MAX_REMAINING_RATIO
    earliest = max(EARLIEST_RATIO * remaining * MAX_REMAINING_RATIO, not_before)
    return rng.uniform(min(earliest, longest), longest)
