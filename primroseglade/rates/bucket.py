"""A zone's token bucket for one workspace, which never grants a token twice.

The tokens in the bucket and the outstanding ones, which were granted and may still be
spent, never exceed the burst together. So the tokens spent in any window are at most
those that were in the bucket or outstanding at its start, plus those that accrued
during it: burst + rate × time.
"""

import itertools
import math


class Grant:
    """Granted tokens, and the time until which they may be spent."""

    __slots__ = ("expires_at", "id", "tokens")

    def __init__(self, id: int, tokens: float, expires_at: float):
        self.id = id
        self.tokens = tokens
        self.expires_at = expires_at


class Bucket:
    """Token bucket whose outstanding grants count against the burst.

    Args:
        rate: Tokens per second.
        burst: Maximum number of tokens, in the bucket and outstanding.
        now: Seconds on the caller's clock.
        blocked_until: Time at which a previous holder's last grant expires. Until then
            nothing is granted, as the previous grants may be for the whole burst.
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
        """Tokens available to grant, as of the last accrual."""
        return self._level

    @property
    def outstanding(self) -> float:
        """Tokens that were granted and may still be spent."""
        return sum(grant.tokens for grant in self._outstanding.values())

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    def is_unblocked(self, now: float) -> bool:
        """Whether all grants of a previous holder have expired."""
        return now > self._blocked_until

    def update(self, rate: float, burst: float, now: float) -> None:
        """Accrue up to now at the old rate, then apply the new rate and burst."""
        self.accrue(now)
        self._rate = rate
        self._burst = burst
        self._level = max(0.0, min(self._level, burst - self.outstanding))

    def accrue(self, now: float) -> None:
        """Add the tokens that accrued up to now, and drop expired grants."""
        expired_ids = [g.id for g in self._outstanding.values() if g.expires_at <= now]
        for grant_id in expired_ids:
            del self._outstanding[grant_id]
        start = max(self._updated_at, self._blocked_until)
        self._updated_at = max(self._updated_at, now)
        if now <= start:
            return
        free_capacity = max(0.0, self._burst - self.outstanding)
        self._level = min(free_capacity, self._level + self._rate * (now - start))

    def grant(self, requested: float, lifetime: float, now: float) -> Grant | None:
        """Grant up to ``requested`` tokens for ``lifetime`` seconds.

        Returns:
            The grant, or None if there is nothing to grant.
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
        """Record that some or all tokens of a grant were spent.

        Otherwise spent tokens would count against the burst until their grant expires,
        and a burst smaller than the tokens spent in a grant's lifetime would limit the
        rate.
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
        """Return a grant id that is unique in this process."""
        return next(cls._ids)

    def get_wait_seconds(self, tokens: float) -> float:
        """Return seconds until this many tokens are available, infinite at rate 0."""
        missing = tokens - self._level
        blocked_seconds = max(0.0, self._blocked_until - self._updated_at)
        return (
            blocked_seconds + max(0.0, missing) / self._rate if self._rate else math.inf
        )
