"""Tokens of workspaces at one entry: which calls may go, and asking for more tokens."""

import collections
import random
from collections.abc import Callable, Iterator

from .frames import TokenGrant, TokenLimits, TokenRequest
from .model import Tenant
from .rate_tolerance import RateTolerance
from .retry_budget import SlidingCount
from .token_broker import TokenBroker, TokenNetwork
from .token_pool import DEMAND_WINDOW_SECONDS, PREFETCHED_TOKEN_SECONDS

# Tokens are asked for calls expected within this time, and fetched when half are left.
PREFETCH_SECONDS = 0.25
# After a refusal no tokens are asked for during this time.
REFUSAL_CACHE_SECONDS = 0.05
# A token holder that did not answer is not asked during this time.
HOLDER_BACKOFF_SECONDS = 1.0
# Part of the calls refused by admission that get their token back. A workspace far over
# its rate would otherwise take part in admission with all of its calls.
REFUNDED_RATIO = 1.0 / 3.0


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


class TokenCache:
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
        "demand",
        "limits",
        "pending_returns",
        "refusal",
        "refused_until",
        "request_in_flight",
        "tenant",
        "tokens",
        "waiting",
    )

    def __init__(self, tenant: Tenant, limits: TokenLimits):
        self.set_limits(tenant, limits)
        self.tokens: collections.deque[list[float]] = collections.deque()
        self.pending_returns = 0
        self.waiting: collections.deque[DecisionHandler] = collections.deque()
        self.request_in_flight = False
        self.refusal = TokenDecision(False)
        self.demand = SlidingCount(DEMAND_WINDOW_SECONDS)
        self.admitted = 0

    def set_limits(self, tenant: Tenant, limits: TokenLimits) -> None:
        """Set the limits in force."""
        self.tenant = tenant
        self.limits = limits
        self.refused_until = 0.0

    def count_unspent(self, now: float) -> int:
        """Return the unspent tokens."""
        while self.tokens and self.tokens[0][0] <= now:
            self.pending_returns += int(self.tokens.popleft()[1])
        return int(sum(count for _, count in self.tokens))

    def add(self, count: int, until: float) -> None:
        """Add tokens that expire."""
        if count > 0:
            self.tokens.append([until, count])

    def return_token(self) -> None:
        """Return the token of a call that did not run.

        It goes back to the holder, whose capacity bounds what is stored: calls that
        were held for seconds and then did not run would otherwise be let through again
        beside those of the following seconds.
        """
        self.admitted -= 1
        self.pending_returns += 1

    def try_spend(self, now: float) -> bool:
        """Spend one token, if there is any."""
        if not self.count_unspent(now):
            return False
        self.tokens[0][1] -= 1
        if not self.tokens[0][1]:
            self.tokens.popleft()
        self.admitted += 1
        return True

    def estimate_upcoming_calls(self, now: float) -> int:
        """Return the calls expected within `AHEAD_SECONDS`."""
        return int(self.demand.total(now) / DEMAND_WINDOW_SECONDS * PREFETCH_SECONDS)


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
        self._caches: dict[str, TokenCache] = {}
        self._backoff_until: dict[str, float] = {}

    def list_admitted(self) -> Iterator[tuple[str, int]]:
        """Yield each rate-limited workspace and the calls that were granted a token."""
        for name, cache in self._caches.items():
            yield name, cache.admitted

    def acquire(
        self, tenant: Tenant, version: int, rolled_out: bool, done: DecisionHandler
    ) -> None:
        """Get a token for one call.

        Args:
            tenant: With its rate and burst in force.
            version: Version of the configuration that they are from.
            settled: Whether all nodes have that configuration by now. Before, a lower
                rate would be enforced by some nodes and not by others.
            done: Called once, now or when the holder has answered.
        """
        cache = self._get_cache(tenant, version, rolled_out)
        if cache.tenant.rate <= 0:
            done(TokenDecision(True))
            return
        now = self._clock()
        cache.demand.add(now)
        if not cache.waiting and cache.try_spend(now):
            self._deliver_token(cache, done)
            expected = cache.estimate_upcoming_calls(now)
            if expected > 1 and cache.count_unspent(now) * 2 <= expected:
                self._request_tokens(cache, now)
        elif now < cache.refused_until:
            done(cache.refusal)
        else:
            cache.waiting.append(done)
            self._request_tokens(cache, now)

    def refund(self, tenant: Tenant) -> None:
        """Take back the token of a call that did not run."""
        cache = self._caches.get(tenant.name)
        if cache is not None and cache.tenant.rate > 0:
            cache.return_token()

    def refund_refused(self, tenant: Tenant) -> None:
        """Take back the token of a call that admission refused, or void it."""
        cache = self._caches.get(tenant.name)
        if cache is None or cache.tenant.rate <= 0:
            return
        if self._rng.random() < REFUNDED_RATIO:
            self.refund(tenant)
        else:
            cache.admitted -= 1

    def _get_cache(self, tenant: Tenant, version: int, rolled_out: bool) -> TokenCache:
        cache = self._caches.get(tenant.name)
        if cache is not None and version == cache.limits.version:
            return cache
        limits = self._rate_tolerance.compute_enforced_limits(tenant, version)
        if cache is None:
            cache = self._caches[tenant.name] = TokenCache(tenant, limits)
        elif rolled_out or not cache.tenant.is_higher_than(tenant):
            cache.set_limits(tenant, limits)
        return cache

    def _request_tokens(self, cache: TokenCache, now: float) -> None:
        """Ask a holder for tokens, unless a request is under way."""
        if cache.request_in_flight:
            return
        holder = self._choose_holder(now)
        if not holder:
            self._refuse_waiting(cache, TokenDecision(False), now)
            return
        cache.request_in_flight = True
        returned, cache.pending_returns = cache.pending_returns, 0
        unspent = cache.count_unspent(now)
        request = TokenRequest(
            0,
            cache.limits,
            len(cache.waiting),
            max(0, cache.estimate_upcoming_calls(now) - unspent),
            unspent,
            returned,
        )

        def handle(grant: TokenGrant | None) -> None:
            self._handle_grant(cache, holder, request, now, grant)

        if holder == self._name:
            self._broker.handle(self._name, request, handle)
        else:
            self._network.request_tokens(holder, request, handle)

    def _choose_holder(self, now: float) -> str:
        """Return whom to ask; empty if no holder has answered lately."""
        for name in (self._network.get_holder(), *self._network.list_holders()):
            if self._backoff_until.get(name, 0.0) <= now:
                return name
        return ""

    def _handle_grant(
        self,
        cache: TokenCache,
        holder: str,
        request: TokenRequest,
        requested_at: float,
        grant: TokenGrant | None,
    ) -> None:
        now = self._clock()
        cache.request_in_flight = False
        if grant is None:
            self._backoff_until[holder] = now + HOLDER_BACKOFF_SECONDS
            if cache.waiting:
                self._request_tokens(cache, now)
            return
        cache.add(int(grant.tokens), requested_at + PREFETCHED_TOKEN_SECONDS)
        while cache.waiting and cache.try_spend(now):
            self._deliver_token(cache, cache.waiting.popleft())
        if not cache.waiting:
            return
        if grant.tokens > 0 or not request.needed:
            self._request_tokens(cache, now)
        else:
            self._refuse_waiting(
                cache, TokenDecision(False, holder, grant.remaining_tokens), now
            )

    def _refuse_waiting(
        self, cache: TokenCache, refusal: TokenDecision, now: float
    ) -> None:
        """Refuse the calls that wait, and those that come in a moment."""
        cache.refusal = refusal
        cache.refused_until = now + REFUSAL_CACHE_SECONDS
        waiting, cache.waiting = cache.waiting, collections.deque()
        for done in waiting:
            done(refusal)

    def _deliver_token(self, cache: TokenCache, done: DecisionHandler) -> None:
        if not done(TokenDecision(True)):
            # Its caller has left in the meantime.
            cache.return_token()
