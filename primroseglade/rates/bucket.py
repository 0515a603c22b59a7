"""A zone's token bucket for one workspace, which never makes a token twice.

The sum of what stands in the bucket and of what was granted and may yet be spent is
never over the burst. In any window, then, the tokens spent are at most those that
stood or were out at its start, and those that accrued in it: burst + rate × time.
"""

import itertools
import math


class Grant:
    """Tokens that went out, and until when they may be spent."""

    __slots__ = ("expires_at", "id", "tokens")

    def __init__(self, id: int, tokens: float, expires_at: float):
        self.id = id
        self.tokens = tokens
        self.expires_at = expires_at


class Bucket:
    """Tokens that accrue with time, less what is out.

    Args:
        rate: Tokens a second.
        burst: Most tokens that stand or are out together.
        now: Seconds on the caller's clock.
        blocked_until: Up to this time a predecessor's grants may be spent; they
            count as if they were the whole burst.
    """

    _ids = itertools.count(1)

    def __init__(self, rate: float, burst: float, now: float, blocked_until: float):
        self._rate = rate
        self._burst = burst
        self._level = 0.0
        self._updated_at = now
        self._blocked_until = blocked_until
        self._outstanding: dict[int, Grant] = {}

    @property
    def level(self) -> float:
        """Tokens that may be granted, as of the last accrual."""
        return self._level

    @property
    def outstanding(self) -> float:
        """Tokens that were granted and may yet be spent."""
        return sum(grant.tokens for grant in self._outstanding.values())

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self._rate

    def is_unblocked(self, now: float) -> bool:
        """Whether a predecessor's grants have all ended."""
        return now > self._blocked_until

    def update(self, rate: float, burst: float, now: float) -> None:
        """Go on with another rate and burst from now on."""
        self.accrue(now)
        self._rate = rate
        self._burst = burst
        self._level = max(0.0, min(self._level, burst - self.outstanding))

    def accrue(self, now: float) -> None:
        """Bring the level up to date."""
        expired = [g.id for g in self._outstanding.values() if g.expires_at <= now]
        for grant in expired:
            del self._outstanding[grant]
        start = max(self._updated_at, self._blocked_until)
        self._updated_at = max(self._updated_at, now)
        if now <= start:
            return
        free_capacity = max(0.0, self._burst - self.outstanding)
        self._level = min(free_capacity, self._level + self._rate * (now - start))

    def grant(self, requested: float, lifetime: float, now: float) -> Grant | None:
        """Take up to ``wanted`` tokens out, for ``life`` seconds.

        Returns:
            The grant, or None where there is nothing to grant.
        """
        self.accrue(now)
        tokens = min(requested, self._level)
        if tokens <= 0 or not math.isfinite(tokens):
            return None
        self._level -= tokens
        grant = Grant(self.make_id(), tokens, now + lifetime)
        self._outstanding[grant.id] = grant
        return grant

    def record_spent(self, grant_id: int, now: float, tokens: float = math.inf) -> None:
        """Note that tokens of a grant are spent, or all that it had.

        Without this a spent token would count as out until its grant's end, and a
        burst smaller than what is spent in a grant's life would throttle the rate.
        """
        self.accrue(now)
        grant = self._outstanding.get(grant_id)
        if grant is None:
            return
        grant.tokens -= tokens
        if grant.tokens <= 0:
            del self._outstanding[grant_id]

    @classmethod
    def make_id(cls) -> int:
        """Return a number that no grant of any bucket in this process has."""
        return next(cls._ids)

    def get_wait_seconds(self, tokens: float) -> float:
        """Return seconds until that many tokens have accrued."""
        missing = tokens - self._level
        blocked_seconds = max(0.0, self._blocked_until - self._updated_at)
        return (
            blocked_seconds + max(0.0, missing) / self._rate if self._rate else math.inf
        )
