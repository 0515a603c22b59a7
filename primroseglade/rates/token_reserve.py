"""Tokens that a node was granted or a holder borrowed, until they expire."""

import collections

# Sums of fractions have rounding errors up to this many tokens.
ROUNDING_TOLERANCE = 1e-6
MAX_SPENT_BATCHES = 256


class TokenBatch:
    """Tokens of one grant.

    Args:
        grant: Its id, to report it spent; a loan is a grant of the lender.
        tokens: How many are left.
        expires_at: When they expire.
        source: Control address of the granting holder, or the lending zone.
    """

    __slots__ = ("expires_at", "grant", "source", "tokens")

    def __init__(self, grant: int, tokens: float, expires_at: float, source: str = ""):
        self.grant = grant
        self.tokens = tokens
        self.expires_at = expires_at
        self.source = source


class TokenReserve:
    """Batches of tokens, spent first in, first out."""

    def __init__(self) -> None:
        self._batches: collections.deque[TokenBatch] = collections.deque()
        self._spent: collections.deque[TokenBatch] = collections.deque(
            maxlen=MAX_SPENT_BATCHES
        )

    def add(self, batch: TokenBatch) -> None:
        """Add tokens."""
        self._batches.append(batch)

    def count(self, now: float) -> float:
        """Return how many tokens can be spent."""
        self._drop_expired(now)
        return sum(batch.tokens for batch in self._batches)

    def spend(self, tokens: float, now: float) -> bool:
        """Spend all the tokens or none, from several batches if needed."""
        if self.count(now) + ROUNDING_TOLERANCE < tokens:
            return False
        while tokens > ROUNDING_TOLERANCE:
            batch = self._batches[0]
            part = min(batch.tokens, tokens)
            batch.tokens -= part
            tokens -= part
            if batch.tokens <= ROUNDING_TOLERANCE:
                self._spent.append(self._batches.popleft())
        return True

    def take_spent(self, source: str) -> list[int]:
        """Return the used-up grants of a source, each only once."""
        ids = [b.grant for b in self._spent if b.source == source and b.grant]
        kept = (batch for batch in self._spent if batch.source != source)
        self._spent = collections.deque(kept, maxlen=MAX_SPENT_BATCHES)
        return ids

    def take_oldest(self, now: float) -> TokenBatch | None:
        """Remove and return the oldest batch, or None."""
        self._drop_expired(now)
        return self._batches.popleft() if self._batches else None

    def _drop_expired(self, now: float) -> None:
        self._batches = collections.deque(
            batch for batch in self._batches if batch.expires_at > now
        )
