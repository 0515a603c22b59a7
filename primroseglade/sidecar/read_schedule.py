"""When a node asks the platform's store itself how new its configuration is.

Calls to the store are few: the first reader of the fleet asks often, the others ask
readers, and a node asks the store itself when nobody whom it asks knows better.
"""

import random

# Part of the time within which a configuration must be in force, after which a node
# that hears nothing asks the store itself. The rest is for the answer; drawn from this
# range, so that not all ask at once.
LONE_PARTS = (0.8, 0.92)
# What is known grows older by this much on the way from the first reader to a node:
# readers ask it four times a second, nodes ask readers twice a second.
PROPAGATION_SECONDS = 0.85
# Each further reader takes over from the first one a step later.
FIRST_STEP_SECONDS = 0.4
STEP_SECONDS = 0.1
LEAST_AGE_SECONDS = 0.3
# Readers that wait in the store for news. The others are told.
FOLLOWERS = 2
# Pauses between questions while the store fails.
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.0
MAX_NON_READER_PAUSE_SECONDS = 2.0
# A node that was just started gives others this long to tell it a configuration; longer
# while the whole fleet starts for the first time and hardly any node has one.
FIRST_WAIT_SECONDS = (0.15, 0.6)
FIRST_START_WAIT_SECONDS = (0.6, 1.8)


class ReadSchedule:
    """Ages and pauses at one node.

    Args:
        apply_seconds: Within which a configuration must be in force.
        rng: Spreads the questions of many nodes.
    """

    __slots__ = ("_age", "_apply_seconds", "_pause", "_rank", "_rng")

    def __init__(self, apply_seconds: float, rng: random.Random):
        self._apply_seconds = apply_seconds
        self._rng = rng
        self._rank: int | None = None
        self._pause = 0.0
        self._age = self._draw_age()

    @property
    def age(self) -> float:
        """Age of what is known, in seconds, at which to ask the store."""
        return self._age

    @property
    def overdue_age(self) -> float:
        """Age above which all readers are asked, not only the usual ones."""
        first = self._count_first_age()
        if self._rank is None:
            return first + PROPAGATION_SECONDS
        return first + FIRST_STEP_SECONDS

    @property
    def long_polls(self) -> bool:
        """Whether this node waits in the store for news."""
        return self._rank is not None and self._rank < FOLLOWERS

    @property
    def max_sleep(self) -> float:
        """Seconds in which what is known can grow old enough to ask."""
        return LONE_PARTS[0] * self._apply_seconds

    def set_reader_rank(self, rank: int | None) -> None:
        """Take in this node's place among the readers; None if it is none."""
        if rank != self._rank:
            self._rank = rank
            self._age = self._draw_age()

    def draw_initial_wait(self, first_start: bool) -> float:
        """Return for how long to wait for a configuration of another node."""
        waits = FIRST_START_WAIT_SECONDS if first_start else FIRST_WAIT_SECONDS
        return self._rng.uniform(*waits)

    def record_success(self) -> None:
        """Take in that the store answered."""
        self._pause = 0.0
        self._age = self._draw_age()

    def record_failure(self) -> float:
        """Take in that the store failed; return how long not to ask it."""
        longest = LONGEST_PAUSE_SECONDS
        if self._rank is None:
            longest = MAX_NON_READER_PAUSE_SECONDS
        self._pause = min(longest, max(FIRST_PAUSE_SECONDS, 2.0 * self._pause))
        return self._rng.uniform(0.75, 1.0) * self._pause

    def _draw_age(self) -> float:
        if self._rank is None:
            least, most = (part * self._apply_seconds for part in LONE_PARTS)
            return self._rng.uniform(least, most)
        first = self._count_first_age()
        if self._rank == 0:
            return first
        return first + FIRST_STEP_SECONDS + (self._rank - 1) * STEP_SECONDS

    def _count_first_age(self) -> float:
        """Return the age at which the first reader asks."""
        lone = LONE_PARTS[0] * self._apply_seconds
        return max(LEAST_AGE_SECONDS, lone - PROPAGATION_SECONDS)
