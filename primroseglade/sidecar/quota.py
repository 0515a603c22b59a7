"""Tokens of workspaces at one entry: which calls may go, and asking for more tokens."""

import collections
import random
from collections.abc import Callable, Iterator

from .frames import TokenGrant, TokenLimits, TokenRequest
from .model import Tenant
from .rate_tolerance import RateTolerance
from .retry_budget import SlidingCount
from .token_broker import TokenBroker, TokenNetwork
from .token_pool import DEMAND_SECONDS, GRANT_SECONDS

# Tokens are asked for calls expected within this time, and fetched when half are left.
AHEAD_SECONDS = 0.25
# After a refusal no tokens are asked for during this time.
REFUSED_SECONDS = 0.05
# A token holder that did not answer is not asked during this time.
SUSPECT_SECONDS = 1.0
# Part of the calls refused by admission that get their token back. A workspace far over
# its rate would otherwise take part in admission with all of its calls.
RETURNED_PART = 1.0 / 3.0


class TokenDecision:
    """Whether a call may go, as far as its workspace's rate is concerned.

    Args:
        granted: Whether it may go.
        holder: Node that was asked for a token last; empty if none was.
        remaining_tokens: Tokens that it had left.
    """

    __slots__ = ("granted", "holder", "remaining_tokens")

    def __init__(self, granted: bool, holder: str = "", remaining_tokens: float = 0.0):
        self.granted = granted
        self.holder = holder
        self.remaining_tokens = remaining_tokens


# Called with the decision; returns whether the call is still there to use it.
DecisionHandler = Callable[[TokenDecision], bool]


class Stock:
    """Tokens of one workspace at one entry.

    Attributes:
        tenant: With the limits that the operator set; rate 0 for none.
        limits: Those that are enforced.
        tokens: Expiry and number of unspent tokens.
        lapsed: Expired and returned tokens that go back to a holder with the next
            request.
        waiting: Calls that wait for an answer of the holder.
        asking: Whether a request is under way.
        refused_until: Until then, calls are refused without asking.
        refusal: The last refusal.
        demand: Calls that came lately.
        admitted: Calls that were granted a token, less those that did not run.
    """

    __slots__ = (
        "admitted",
        "asking",
        "demand",
        "lapsed",
        "limits",
        "refusal",
        "refused_until",
        "tenant",
        "tokens",
        "waiting",
    )

    def __init__(self, tenant: Tenant, limits: TokenLimits):
        self.set_limits(tenant, limits)
        self.tokens: collections.deque[list[float]] = collections.deque()
        self.lapsed = 0
        self.waiting: collections.deque[DecisionHandler] = collections.deque()
        self.asking = False
        self.refusal = TokenDecision(False)
        self.demand = SlidingCount(DEMAND_SECONDS)
        self.admitted = 0

    def set_limits(self, tenant: Tenant, limits: TokenLimits) -> None:
        """Set the limits in force."""
        self.tenant = tenant
        self.limits = limits
        self.refused_until = 0.0

    def count(self, now: float) -> int:
        """Return the unspent tokens."""
        while self.tokens and self.tokens[0][0] <= now:
            self.lapsed += int(self.tokens.popleft()[1])
        return int(sum(count for _, count in self.tokens))

    def add(self, count: int, until: float) -> None:
        """Add tokens that expire."""
        if count > 0:
            self.tokens.append([until, count])

    def return_one(self) -> None:
        """Return the token of a call that did not run.

        It goes back to the holder, whose capacity bounds what is stored: calls that
        were held for seconds and then did not run would otherwise be let through again
        beside those of the following seconds.
        """
        self.admitted -= 1
        self.lapsed += 1

    def spend(self, now: float) -> bool:
        """Spend one token, if there is any."""
        if not self.count(now):
            return False
        self.tokens[0][1] -= 1
        if not self.tokens[0][1]:
            self.tokens.popleft()
        self.admitted += 1
        return True

    def count_expected(self, now: float) -> int:
        """Return the calls expected within `AHEAD_SECONDS`."""
        return int(self.demand.total(now) / DEMAND_SECONDS * AHEAD_SECONDS)


class Quotas:
    """Tokens of all workspaces at this entry.

    Args:
        name: Of this node.
        broker: Answers where this node is the token holder.
        network: The token holders.
        rate_tolerance: Beyond the rates.
        clock: Returns seconds on the monotonic clock.
        rng: Draws which calls refused by admission get their token back.
    """

    def __init__(
        self,
        name: str,
        broker: TokenBroker,
        network: TokenNetwork,
        rate_tolerance: RateTolerance,
        clock: Callable[[], float],
        rng: random.Random,
    ):
        self._name = name
        self._broker = broker
        self._network = network
        self._rate_tolerance = rate_tolerance
        self._clock = clock
        self._rng = rng
        self._stocks: dict[str, Stock] = {}
        self._suspects: dict[str, float] = {}

    def list_admitted(self) -> Iterator[tuple[str, int]]:
        """Yield each rate-limited workspace and the calls that were granted a token."""
        for name, stock in self._stocks.items():
            yield name, stock.admitted

    def acquire(
        self, tenant: Tenant, version: int, settled: bool, done: DecisionHandler
    ) -> None:
        """Get a token for one call.

        Args:
            tenant: With its rate and burst in force.
            version: Version of the configuration that they are from.
            settled: Whether all nodes have that configuration by now. Before, a lower
                rate would be enforced by some nodes and not by others.
            done: Called once, now or when the holder has answered.
        """
        stock = self._get_stock(tenant, version, settled)
        if stock.tenant.rate <= 0:
            done(TokenDecision(True))
            return
        now = self._clock()
        stock.demand.add(now)
        if not stock.waiting and stock.spend(now):
            self._confirm(stock, done)
            expected = stock.count_expected(now)
            if expected > 1 and stock.count(now) * 2 <= expected:
                self._ask(stock, now)
        elif now < stock.refused_until:
            done(stock.refusal)
        else:
            stock.waiting.append(done)
            self._ask(stock, now)

    def refund(self, tenant: Tenant) -> None:
        """Take back the token of a call that did not run."""
        stock = self._stocks.get(tenant.name)
        if stock is not None and stock.tenant.rate > 0:
            stock.return_one()

    def refund_refused(self, tenant: Tenant) -> None:
        """Take back the token of a call that admission refused, or void it."""
        stock = self._stocks.get(tenant.name)
        if stock is None or stock.tenant.rate <= 0:
            return
        if self._rng.random() < RETURNED_PART:
            self.refund(tenant)
        else:
            stock.admitted -= 1

    def _get_stock(self, tenant: Tenant, version: int, settled: bool) -> Stock:
        stock = self._stocks.get(tenant.name)
        if stock is not None and version == stock.limits.version:
            return stock
        limits = self._rate_tolerance.compute_enforced_limits(tenant, version)
        if stock is None:
            stock = self._stocks[tenant.name] = Stock(tenant, limits)
        elif settled or not stock.tenant.has_higher_rate_than(tenant):
            stock.set_limits(tenant, limits)
        return stock

    def _ask(self, stock: Stock, now: float) -> None:
        """Ask a holder for tokens, unless a request is under way."""
        if stock.asking:
            return
        holder = self._choose_holder(now)
        if not holder:
            self._take_refusal(stock, TokenDecision(False), now)
            return
        stock.asking = True
        returned, stock.lapsed = stock.lapsed, 0
        unspent = stock.count(now)
        request = TokenRequest(
            0,
            stock.limits,
            len(stock.waiting),
            max(0, stock.count_expected(now) - unspent),
            unspent,
            returned,
        )

        def take(grant: TokenGrant | None) -> None:
            self._take_grant(stock, holder, request, now, grant)

        if holder == self._name:
            self._broker.handle(self._name, request, take)
        else:
            self._network.ask(holder, request, take)

    def _choose_holder(self, now: float) -> str:
        """Return whom to ask; empty if no holder has answered lately."""
        for name in (self._network.get_holder(), *self._network.list_holders()):
            if self._suspects.get(name, 0.0) <= now:
                return name
        return ""

    def _take_grant(
        self,
        stock: Stock,
        holder: str,
        request: TokenRequest,
        asked_at: float,
        grant: TokenGrant | None,
    ) -> None:
        now = self._clock()
        stock.asking = False
        if grant is None:
            self._suspects[holder] = now + SUSPECT_SECONDS
            if stock.waiting:
                self._ask(stock, now)
            return
        stock.add(int(grant.tokens), asked_at + GRANT_SECONDS)
        while stock.waiting and stock.spend(now):
            self._confirm(stock, stock.waiting.popleft())
        if not stock.waiting:
            return
        if grant.tokens > 0 or not request.needed:
            self._ask(stock, now)
        else:
            self._take_refusal(
                stock, TokenDecision(False, holder, grant.remaining_tokens), now
            )

    def _take_refusal(self, stock: Stock, refusal: TokenDecision, now: float) -> None:
        """Refuse the calls that wait, and those that come in a moment."""
        stock.refusal = refusal
        stock.refused_until = now + REFUSED_SECONDS
        waiting, stock.waiting = stock.waiting, collections.deque()
        for done in waiting:
            done(refusal)

    def _confirm(self, stock: Stock, done: DecisionHandler) -> None:
        if not done(TokenDecision(True)):
            # Its caller has left in the meantime.
            stock.return_one()
