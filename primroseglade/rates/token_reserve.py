"""Tokens that a node or a holder has been given, each with its own end."""

import collections

# Sums of fractions miss whole numbers by rounding; this much is no token.
ROUNDING_TOLERANCE = 1e-6
MAX_SPENT_BATCHES = 256


class TokenBatch:
    """Tokens of one grant.

    Args:
        grant: Its id, to give back what is left.
        tokens: How many are left.
        expires_at: When they lapse.
        source: Control address of who granted them.
    """

    __slots__ = ("expires_at", "grant", "source", "tokens")

    def __init__(self, grant: int, tokens: float, expires_at: float, source: str = ""):
        self.grant = grant
        self.tokens = tokens
        self.expires_at = expires_at
        self.source = source


class TokenReserve:
    """Lots, spent in the order in which they came."""

    def __init__(self) -> None:
        self._batches: collections.deque[TokenBatch] = collections.deque()
        self._spent_batches: collections.deque[TokenBatch] = collections.deque(
            maxlen=MAX_SPENT_BATCHES
        )

    def add(self, batch: TokenBatch) -> None:
        """Put tokens in."""
        self._batches.append(batch)

    def count_tokens(self, now: float) -> float:
        """Return how many tokens can be spent."""
        self._drop_expired(now)
        return sum(batch.tokens for batch in self._batches)

    def spend(self, tokens: float, now: float) -> bool:
        """Spend tokens, all or none; fractions of several lots add up."""
        if self.count_tokens(now) + ROUNDING_TOLERANCE < tokens:
            return False
        while tokens > ROUNDING_TOLERANCE:
            batch = self._batches[0]
            part = min(batch.tokens, tokens)
            batch.tokens -= part
            tokens -= part
            if batch.tokens <= ROUNDING_TOLERANCE:
                self._spent_batches.append(self._batches.popleft())
        return True

    def take_spent(self, source: str) -> list[int]:
        """Return once the grants from a source of which nothing is left."""
        ids = [
            batch.grant
            for batch in self._spent_batches
            if batch.source == source and batch.grant
        ]
        kept = (batch for batch in self._spent_batches if batch.source != source)
        self._spent_batches = collections.deque(kept, maxlen=MAX_SPENT_BATCHES)
        return ids

    def take_oldest(self, now: float) -> TokenBatch | None:
        """Take out the oldest lot whole, to settle its grant or to pass it on."""
        self._drop_expired(now)
        return self._batches.popleft() if self._batches else None

    def _drop_expired(self, now: float) -> None:
        self._batches = collections.deque(
            batch for batch in self._batches if batch.expires_at > now
        )
