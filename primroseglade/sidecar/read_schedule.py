"""When a node reads the platform's store to confirm that its policy is the newest.

One node in each availability zone is its reader (``Fleet.list_readers``). To keep calls
to the store few, only the first reader of the fleet reads the store often. The other
readers ask the first reader whether its policy is the same, and all other nodes ask
the reader of their zone. A node reads the store itself only if its policy has not been
confirmed in time. The policy age is the time since the policy was last known to be the
newest.
"""

import random

# Policy age at which a node that is not a reader reads the store, as a fraction of the
# time within which a policy must be active. The rest of that time is for the read.
# The fraction is drawn from this range, so that nodes do not all read at once.
READ_DUE_AGE_RATIO_RANGE = (0.8, 0.92)
# Maximum difference between the policy ages of the first reader and another node:
# readers poll the first reader four times a second, other nodes poll their reader twice
# a second.
MAX_PROPAGATION_SECONDS = 0.85
# If the policy stays unconfirmed, the second reader reads the store this long after the
# first reader should have, and each further reader one step after the previous one.
FAILOVER_DELAY_SECONDS = 0.4
FAILOVER_STEP_SECONDS = 0.1
MIN_READ_DUE_AGE_SECONDS = 0.3
# Number of readers that long-poll the store. The other nodes fetch a new version from a
# node whose state broadcast shows it.
LONG_POLLING_READER_COUNT = 2
# Backoff between reads while the store fails.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_READER_BACKOFF_SECONDS = 1.0
MAX_NON_READER_BACKOFF_SECONDS = 2.0
# How long a node that just started waits for a peer's policy. The wait is longer while
# the whole fleet starts for the first time, because hardly any node has a policy then.
INITIAL_WAIT_RANGE_SECONDS = (0.15, 0.6)
FLEET_START_WAIT_RANGE_SECONDS = (0.6, 1.8)


class ReadSchedule:
    """Decides at which policy age a node reads the store, and how failures back off.

    Args:
        apply_seconds: Seconds within which a published policy must be active.
        rng: Spreads the reads of many nodes.
    """

    __slots__ = (
        "_apply_seconds",
        "_backoff_seconds",
        "_read_due_age_seconds",
        "_reader_rank",
        "_rng",
    )

    def __init__(self, apply_seconds: float, rng: random.Random):
        self._apply_seconds = apply_seconds
        self._rng = rng
        self._reader_rank: int | None = None
        self._backoff_seconds = 0.0
        self._read_due_age_seconds = self._draw_read_due_age_seconds()

    @property
    def read_due_age_seconds(self) -> float:
        """Policy age, in seconds, at which to read the store."""
        return self._read_due_age_seconds

    @property
    def overdue_age_seconds(self) -> float:
        """Policy age, in seconds, above which this node polls all readers."""
        first_reader_due_age_seconds = self._compute_first_reader_due_age_seconds()
        if self._reader_rank is None:
            return first_reader_due_age_seconds + MAX_PROPAGATION_SECONDS
        return first_reader_due_age_seconds + FAILOVER_DELAY_SECONDS

    @property
    def uses_long_polling(self) -> bool:
        """Whether this node long-polls the store for updates."""
        return (
            self._reader_rank is not None
            and self._reader_rank < LONG_POLLING_READER_COUNT
        )

    @property
    def max_sleep_seconds(self) -> float:
        """Longest sleep, in seconds, before the policy age is checked again."""
        return READ_DUE_AGE_RATIO_RANGE[0] * self._apply_seconds

    def set_reader_rank(self, rank: int | None) -> None:
        """Set this node's rank among the readers; None if it is not a reader."""
        if rank != self._reader_rank:
            self._reader_rank = rank
            self._read_due_age_seconds = self._draw_read_due_age_seconds()

    def draw_initial_wait(self, first_start: bool) -> float:
        """Return for how many seconds to wait for a peer's policy after the start."""
        wait_range = (
            FLEET_START_WAIT_RANGE_SECONDS
            if first_start
            else INITIAL_WAIT_RANGE_SECONDS
        )
        return self._rng.uniform(*wait_range)

    def record_success(self) -> None:
        """Reset the backoff after a successful read, and draw when the next is due."""
        self._backoff_seconds = 0.0
        self._read_due_age_seconds = self._draw_read_due_age_seconds()

    def record_failure(self) -> float:
        """Double the backoff after a failed read; return it in seconds, jittered."""
        max_backoff_seconds = MAX_READER_BACKOFF_SECONDS
        if self._reader_rank is None:
            max_backoff_seconds = MAX_NON_READER_BACKOFF_SECONDS
        self._backoff_seconds = min(
            max_backoff_seconds,
            max(INITIAL_BACKOFF_SECONDS, 2.0 * self._backoff_seconds),
        )
        return self._rng.uniform(0.75, 1.0) * self._backoff_seconds

    def _draw_read_due_age_seconds(self) -> float:
        if self._reader_rank is None:
            min_age, max_age = (
                ratio * self._apply_seconds for ratio in READ_DUE_AGE_RATIO_RANGE
            )
            return self._rng.uniform(min_age, max_age)
        first_reader_due_age_seconds = self._compute_first_reader_due_age_seconds()
        if self._reader_rank == 0:
            return first_reader_due_age_seconds
        return (
            first_reader_due_age_seconds
            + FAILOVER_DELAY_SECONDS
            + (self._reader_rank - 1) * FAILOVER_STEP_SECONDS
        )

    def _compute_first_reader_due_age_seconds(self) -> float:
        """Return the policy age, in seconds, at which the first reader reads."""
        earliest_age = READ_DUE_AGE_RATIO_RANGE[0] * self._apply_seconds
        return max(MIN_READ_DUE_AGE_SECONDS, earliest_age - MAX_PROPAGATION_SECONDS)
