"""The limit on requests that the local backend server states in its answers.

A backend server that is short of resources states how many requests per second it takes
from all nodes together. All its calls pass through the node beside it, which is thus
the only one that has to count them. This module does no network I/O.
"""

from collections.abc import Callable

from ..verdicts import Reason
from .statements import StatedLimit

# Calls that may start at once after a pause, in seconds of the limit. Callers' requests
# do not arrive evenly.
BURST_SECONDS = 0.25
# The end of a limit shows only in answers: with a lower rate it would go unnoticed.
MIN_CALLS_PER_SECOND = 0.5
# A node that has just started does not know what its backend server stated before.
# Until the first answer, this many calls may start, and further ones at the given rate.
UNKNOWN_LIMIT_BURST = 8.0
UNKNOWN_LIMIT_CALLS_PER_SECOND = 4.0
# A limited backend server without calls for this long is to be sent one, which shows
# whether its limit is still in force.
PROBE_INTERVAL_SECONDS = 1.0
# A token that lacks less than this is whole: sums of fractions are inexact.
TOKEN_TOLERANCE = 1e-6


class RequestLimit:
    """Tracks the limit that the local backend server states, and when calls may start.

    Calls spend the tokens of a bucket that fills at the limit's rate. It is a
    `StartLimit`.

    Args:
        clock: Returns monotonic seconds.
        assume_limited: Whether the backend server may have stated a limit before this
            node started.
    """

    __slots__ = (
        "_assumed",
        "_clock",
        "_filled_at",
        "_rate",
        "_reserved",
        "_sent_at",
        "_sent_count",
        "_stated_at",
        "_tokens",
    )

    def __init__(self, clock: Callable[[], float], assume_limited: bool = False):
        self._clock = clock
        self._rate = 0.0
        self._assumed = assume_limited
        self._tokens = UNKNOWN_LIMIT_BURST
        self._filled_at = clock()
        # When the last answer that stated a limit arrived.
        self._stated_at = 0.0
        # Slots of calls that spent a token and have not been sent yet.
        self._reserved: set[int] = set()
        self._sent_at = 0.0
        self._sent_count = 0

    @property
    def rate(self) -> float:
        """Calls per second that the backend server takes; 0 for no limit."""
        return self._rate

    @property
    def sent_count(self) -> int:
        """Number of requests that were sent to the backend server."""
        return self._sent_count

    @property
    def is_probe_due(self) -> bool:
        """Whether a call is needed to show if the limit is still in force."""
        if not self._rate:
            return False
        return self._clock() - self._sent_at > PROBE_INTERVAL_SECONDS

    @property
    def reason(self) -> Reason:
        """Reason of a refusal because of the limit."""
        return Reason.BACKEND_LIMITED

    @property
    def _fill_rate(self) -> float:
        """Calls per second that may start; 0 if starts are not limited."""
        return UNKNOWN_LIMIT_CALLS_PER_SECOND if self._assumed else self._rate

    @property
    def _capacity(self) -> float:
        if self._assumed:
            return UNKNOWN_LIMIT_BURST
        return max(1.0, self._rate * BURST_SECONDS)

    def describe(self) -> str:
        """Return why starts are limited."""
        if self._assumed:
            return "the backend server may limit its requests"
        return f"the backend server takes {self._rate:g} requests per second"

    def reset(self) -> None:
        """Forget the limit of a former incarnation of the backend server.

        What is assumed after a start of this node stays: the incarnation that is
        reported first may have stated a limit before.
        """
        self._rate = 0.0

    def record_statement(self, stated: StatedLimit | None, sent_at: float) -> bool:
        """Record what an answer states, and return whether the limit has changed.

        An answer without a limit ends the limit only if its call was sent after the
        last limit was stated: other answers may be older than that statement.

        Args:
            stated: The stated limit; None if the answer states none.
            sent_at: Time at which the answered call was sent, on this object's clock.
        """
        now = self._clock()
        self._fill(now)
        previous_rate = self._fill_rate
        self._assumed = False
        if stated is None:
            if sent_at > self._stated_at:
                self._rate = 0.0
        else:
            self._stated_at = now
            if stated.calls_per_second is not None:
                self._rate = max(MIN_CALLS_PER_SECOND, stated.calls_per_second)
        if not previous_rate:
            # What was just sent without a limit leaves nothing for a burst.
            self._tokens = 0.0
        self._tokens = min(self._tokens, self._capacity)
        return self._fill_rate != previous_rate

    def get_start_delay(self, calls_ahead: int = 0) -> float:
        """Return the seconds until a call may start; 0 if it may start now.

        Args:
            calls_ahead: Number of calls that start before it.
        """
        rate = self._fill_rate
        if not rate:
            return 0.0
        self._fill(self._clock())
        missing_tokens = calls_ahead + 1 - self._tokens
        return missing_tokens / rate if missing_tokens > TOKEN_TOLERANCE else 0.0

    def reserve_start(self, slot: int) -> None:
        """Spend a token on the call that holds a slot."""
        if self._fill_rate:
            self._reserved.add(slot)
            self._tokens -= 1.0

    def cancel_start(self, slot: int) -> None:
        """Return the token of a call that was not sent, if it spent one."""
        if slot in self._reserved:
            self._reserved.discard(slot)
            self._tokens += 1.0

    def record_start(self, slot: int | None = None) -> None:
        """Record that a request is sent.

        Args:
            slot: ID of the call's slot, whose reservation ends; None without one.
        """
        self._sent_count += 1
        self._sent_at = self._clock()
        if slot is not None:
            self._reserved.discard(slot)
        elif self._fill_rate:
            self._tokens -= 1.0

    def _fill(self, now: float) -> None:
        """Add the tokens that have accrued since the last time."""
        accrued = (now - self._filled_at) * self._fill_rate
        self._tokens = min(self._capacity, self._tokens + accrued)
        self._filled_at = now
