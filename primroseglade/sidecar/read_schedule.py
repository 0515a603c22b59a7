"""When a node asks the platform's store itself how new its configuration is.

Calls to the store are few: the first reader of the fleet asks often, the others ask
readers, and a node asks the store itself when nobody whom it asks knows better.
"""

import random

# Part of the time within which a configuration must be in force, after which a node
# that hears nothing asks the store itself. The rest is for the answer; drawn from this
# range, so that not all ask at once.
UNCONFIRMED_READ_AGE_RATIOS = (0.8, 0.92)
# What is known grows older by this much on the way from the first reader to a node:
# readers ask it four times a second, nodes ask readers twice a second.
PROPAGATION_SECONDS = 0.85
# Each further reader takes over from the first one a step later.
FAILOVER_DELAY_SECONDS = 0.4
FAILOVER_STEP_SECONDS = 0.1
MIN_READ_AGE_SECONDS = 0.3
# Readers that wait in the store for news. The others are told.
LONG_POLLING_READERS = 2
# Pauses between questions while the store fails.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_READER_BACKOFF_SECONDS = 1.0
MAX_NON_READER_BACKOFF_SECONDS = 2.0
# A node that was just started gives others this long to tell it a configuration; longer
# while the whole fleet starts for the first time and hardly any node has one.
INITIAL_WAIT_RANGE_SECONDS = (0.15, 0.6)
FLEET_START_WAIT_RANGE_SECONDS = (0.6, 1.8)


class ReadSchedule:
    """Ages and pauses at one node.

    Args:
        apply_seconds: Within which a configuration must be in force.
        rng: Spreads the questions of many nodes.
    """

    __slots__ = ("_apply_seconds", "_backoff", "_rank", "_read_age", "_rng")

    def __init__(self, apply_seconds: float, rng: random.Random):
        self._apply_seconds = apply_seconds
        self._rng = rng
        self._rank: int | None = None
        self._backoff = 0.0
        self._read_age = self._draw_read_age()

    @property
    def read_age(self) -> float:
        """Age of what is known, in seconds, at which to ask the store."""
        return self._read_age

    @property
    def overdue_age(self) -> float:
        """Age above which all readers are asked, not only the usual ones."""
        first_reader_age = self._compute_first_reader_age()
        if self._rank is None:
            return first_reader_age + PROPAGATION_SECONDS
        return first_reader_age + FAILOVER_DELAY_SECONDS

    @property
    def uses_long_polling(self) -> bool:
        """Whether this node waits in the store for news."""
        return self._rank is not None and self._rank < LONG_POLLING_READERS

    @property
    def max_sleep_seconds(self) -> float:
        """Seconds in which what is known can grow old enough to ask."""
        return UNCONFIRMED_READ_AGE_RATIOS[0] * self._apply_seconds

    def set_reader_rank(self, rank: int | None) -> None:
        """Take in this node's place among the readers; None if it is none."""
        if rank != self._rank:
            self._rank = rank
            self._read_age = self._draw_read_age()

    def draw_initial_wait(self, first_start: bool) -> float:
        """Return for how long to wait for a configuration of another node."""
        waits = (
            FLEET_START_WAIT_RANGE_SECONDS
            if first_start
            else INITIAL_WAIT_RANGE_SECONDS
        )
        return self._rng.uniform(*waits)

    def record_success(self) -> None:
        """Take in that the store answered."""
        self._backoff = 0.0
        self._read_age = self._draw_read_age()

    def record_failure(self) -> float:
        """Take in that the store failed; return how long not to ask it."""
        max_backoff = MAX_READER_BACKOFF_SECONDS
        if self._rank is None:
            max_backoff = MAX_NON_READER_BACKOFF_SECONDS
        self._backoff = min(
            max_backoff, max(INITIAL_BACKOFF_SECONDS, 2.0 * self._backoff)
        )
        return self._rng.uniform(0.75, 1.0) * self._backoff

    def _draw_read_age(self) -> float:
        if self._rank is None:
            min_age, max_age = (
                ratio * self._apply_seconds for ratio in UNCONFIRMED_READ_AGE_RATIOS
            )
            return self._rng.uniform(min_age, max_age)
        first_reader_age = self._compute_first_reader_age()
        if self._rank == 0:
            return first_reader_age
        return (
            first_reader_age
            + FAILOVER_DELAY_SECONDS
            + (self._rank - 1) * FAILOVER_STEP_SECONDS
        )

    def _compute_first_reader_age(self) -> float:
        """Return the age at which the first reader asks."""
        earliest_age = UNCONFIRMED_READ_AGE_RATIOS[0] * self._apply_seconds
        return max(MIN_READ_AGE_SECONDS, earliest_age - PROPAGATION_SECONDS)
