"""Tokens that a node or a holder has been given, each with its own end."""

import collections

# Sums of fractions miss whole numbers by rounding; this much is no token.
SMALLEST = 1e-6
SPENT_KEPT = 256


class Lot:
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


class Purse:
    """Lots, spent in the order in which they came."""

    def __init__(self) -> None:
        self._lots: collections.deque[Lot] = collections.deque()
        self._spent: collections.deque[Lot] = collections.deque(maxlen=SPENT_KEPT)

    def add(self, lot: Lot) -> None:
        """Put tokens in."""
        self._lots.append(lot)

    def count(self, now: float) -> float:
        """Return how many tokens can be spent."""
        self._drop_expired(now)
        return sum(lot.tokens for lot in self._lots)

    def spend(self, tokens: float, now: float) -> bool:
        """Spend tokens, all or none; fractions of several lots add up."""
        if self.count(now) + SMALLEST < tokens:
            return False
        while tokens > SMALLEST:
            lot = self._lots[0]
            part = min(lot.tokens, tokens)
            lot.tokens -= part
            tokens -= part
            if lot.tokens <= SMALLEST:
                self._spent.append(self._lots.popleft())
        return True

    def take_spent(self, source: str) -> list[int]:
        """Return once the grants from a source of which nothing is left."""
        ids = [lot.grant for lot in self._spent if lot.source == source and lot.grant]
        kept = (lot for lot in self._spent if lot.source != source)
        self._spent = collections.deque(kept, maxlen=SPENT_KEPT)
        return ids

    def take_oldest(self, now: float) -> Lot | None:
        """Take out the oldest lot whole, to settle its grant or to pass it on."""
        self._drop_expired(now)
        return self._lots.popleft() if self._lots else None

    def _drop_expired(self, now: float) -> None:
        self._lots = collections.deque(
            lot for lot in self._lots if lot.expires_at > now
        )
