"""Enforces the rates of workspaces with tokens requested from a token holder.

A token allows one call. The token holders are the nodes that keep the token buckets.
The entry node, at which a call enters the fleet, requests the tokens. It also
prefetches tokens for the calls that it expects soon, so that these calls need not wait
for the holder.
"""

import collections
import random
from collections.abc import Callable, Iterator

from .frames import TokenGrant, TokenLimits, TokenRequest
from .model import Tenant
from .rate_tolerance import RateTolerance
from .retry_budget import SlidingCount
from .token_broker import TokenBroker, TokenNetwork
from .token_pool import DEMAND_WINDOW_SECONDS, PREFETCHED_TOKEN_TTL_SECONDS

# Tokens are prefetched for the calls expected within this time, once the unspent tokens
# are enough for at most half of these calls.
PREFETCH_HORIZON_SECONDS = 0.25
# After a refusal, further calls of the workspace are refused for this time without a
# request to a holder.
REFUSAL_CACHE_SECONDS = 0.05
# No requests are sent for this time to a token holder that did not answer one.
HOLDER_BACKOFF_SECONDS = 1.0
# Fraction of the calls refused by admission control whose token is refunded. If all
# tokens were refunded, a workspace far over its rate would get tokens for all of its
# calls, and admission control would have to refuse them.
REFUNDED_RATIO = 1.0 / 3.0


class TokenDecision:
    """Whether a call is within its workspace's rate.

    Args:
        granted: Whether the call got a token.
        holder: Name of the token holder that refused the request; empty if the call got
            a token or no holder could be asked.
        remaining_tokens: Tokens that the refusing holder had left.
    """

    __slots__ = ("granted", "holder", "remaining_tokens")

    def __init__(self, granted: bool, holder: str = "", remaining_tokens: float = 0.0):
        self.granted = granted
        self.holder = holder
        self.remaining_tokens = remaining_tokens


# Called with the decision; returns False if the call was canceled in the meantime.
DecisionHandler = Callable[[TokenDecision], bool]


class TokenCache:
    """Unspent tokens and waiting calls of one workspace at this entry node.

    Attributes:
        tenant: The workspace with its configured limits; a rate of 0 means no limit.
        limits: Limits to enforce, computed by `RateTolerance`.
        token_batches: Pairs of expiry time and number of unspent tokens, oldest
            first.
        pending_returned_tokens: Number of expired or refunded tokens that go back to a
            holder with the next request.
        waiting_handlers: Handlers of the calls that wait for the holder's answer.
        request_in_flight: Whether a request for tokens is in flight.
        refused_until: Time until which calls are refused without a request.
        refusal: Decision on the calls that are refused without a request.
        demand: Calls received within the last `DEMAND_WINDOW_SECONDS`.
        admitted_calls: Number of calls that got a token, less those that did not run.
    """

    __slots__ = (
        "admitted_calls",
        "demand",
        "limits",
        "pending_returned_tokens",
        "refusal",
        "refused_until",
        "request_in_flight",
        "tenant",
        "token_batches",
        "waiting_handlers",
    )

    def __init__(self, tenant: Tenant, limits: TokenLimits):
        self.set_limits(tenant, limits)
        self.token_batches: collections.deque[list[float]] = collections.deque()
        self.pending_returned_tokens = 0
        self.waiting_handlers: collections.deque[DecisionHandler] = collections.deque()
        self.request_in_flight = False
        self.refusal = TokenDecision(False)
        self.demand = SlidingCount(DEMAND_WINDOW_SECONDS)
        self.admitted_calls = 0

    def set_limits(self, tenant: Tenant, limits: TokenLimits) -> None:
        """Replace the limits, and end refusals due to the former limits."""
        self.tenant = tenant
        self.limits = limits
        self.refused_until = 0.0

    def count_unspent_tokens(self, now: float) -> int:
        """Return the number of unspent tokens, after removing expired ones."""
        while self.token_batches and self.token_batches[0][0] <= now:
            self.pending_returned_tokens += int(self.token_batches.popleft()[1])
        return int(sum(count for _, count in self.token_batches))

    def add_tokens(self, count: int, expires_at: float) -> None:
        """Add tokens that expire at a time on the monotonic clock, in seconds."""
        if count > 0:
            self.token_batches.append([expires_at, count])

    def return_token(self) -> None:
        """Return the token of a call that did not run.

        The token goes back to the holder, which stores tokens only up to its capacity.
        If tokens were kept here, calls that wait for seconds and then do not run would
        leave many behind, which would admit as many calls beyond the rate.
        """
        self.admitted_calls -= 1
        self.pending_returned_tokens += 1

    def try_spend(self, now: float) -> bool:
        """Spend one token; return False if there is none."""
        if not self.count_unspent_tokens(now):
            return False
        self.token_batches[0][1] -= 1
        if not self.token_batches[0][1]:
            self.token_batches.popleft()
        self.admitted_calls += 1
        return True

    def estimate_expected_calls(self, now: float) -> int:
        """Return the number of calls expected in `PREFETCH_HORIZON_SECONDS`."""
        return int(
            self.demand.total(now) / DEMAND_WINDOW_SECONDS * PREFETCH_HORIZON_SECONDS
        )


class Quotas:
    """Enforces the rates of all workspaces at this entry node.

    Args:
        name: Name of this node.
        broker: Answers the requests if this node itself is the token holder.
        network: Finds the token holders and sends requests to them.
        rate_tolerance: Computes the limits to enforce from the configured ones.
        clock: Returns seconds on the monotonic clock.
        rng: Decides at random whether a token is refunded if admission control refuses
            its call.
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
        """Yield the name and the number of admitted calls of each workspace."""
        for name, cache in self._caches.items():
            yield name, cache.admitted_calls

    def acquire(
        self, tenant: Tenant, version: int, rolled_out: bool, done: DecisionHandler
    ) -> None:
        """Acquire a token for one call.

        Args:
            tenant: The workspace with its configured rate and burst.
            version: Version of the configuration that has these limits.
            rolled_out: Whether all nodes have that configuration. Until then, a lower
                rate is not applied here, because other nodes still use the higher one.
            done: Called once with the decision, at once or after the holder's answer.
        """
        cache = self._get_cache(tenant, version, rolled_out)
        if cache.tenant.rate <= 0:
            done(TokenDecision(True))
            return
        now = self._clock()
        cache.demand.add(now)
        if not cache.waiting_handlers and cache.try_spend(now):
            self._deliver_token(cache, done)
            expected_calls = cache.estimate_expected_calls(now)
            if (
                expected_calls > 1
                and cache.count_unspent_tokens(now) * 2 <= expected_calls
            ):
                self._request_tokens(cache, now)
        elif now < cache.refused_until:
            done(cache.refusal)
        else:
            cache.waiting_handlers.append(done)
            self._request_tokens(cache, now)

    def refund(self, tenant: Tenant) -> None:
        """Refund the token of a call that did not run."""
        cache = self._caches.get(tenant.name)
        if cache is not None and cache.tenant.rate > 0:
            cache.return_token()

    def refund_refused(self, tenant: Tenant) -> None:
        """Refund or discard the token of a call that admission control refused."""
        cache = self._caches.get(tenant.name)
        if cache is None or cache.tenant.rate <= 0:
            return
        if self._rng.random() < REFUNDED_RATIO:
            self.refund(tenant)
        else:
            cache.admitted_calls -= 1

    def _get_cache(self, tenant: Tenant, version: int, rolled_out: bool) -> TokenCache:
        cache = self._caches.get(tenant.name)
        if cache is not None and version == cache.limits.version:
            return cache
        limits = self._rate_tolerance.compute_enforced_limits(tenant, version)
        if cache is None:
            cache = self._caches[tenant.name] = TokenCache(tenant, limits)
        elif rolled_out or not cache.tenant.has_higher_rate_than(tenant):
            cache.set_limits(tenant, limits)
        return cache

    def _request_tokens(self, cache: TokenCache, now: float) -> None:
        """Request tokens from a holder, unless a request is in flight."""
        if cache.request_in_flight:
            return
        holder = self._choose_holder(now)
        if not holder:
            self._refuse_waiting(cache, TokenDecision(False), now)
            return
        cache.request_in_flight = True
        returned_tokens, cache.pending_returned_tokens = (
            cache.pending_returned_tokens,
            0,
        )
        unspent_tokens = cache.count_unspent_tokens(now)
        request = TokenRequest(
            0,
            cache.limits,
            len(cache.waiting_handlers),
            max(0, cache.estimate_expected_calls(now) - unspent_tokens),
            unspent_tokens,
            returned_tokens,
        )

        def handle(grant: TokenGrant | None) -> None:
            self._handle_grant(cache, holder, request, now, grant)

        if holder == self._name:
            self._broker.handle_request(self._name, request, handle)
        else:
            self._network.request_tokens(holder, request, handle)

    def _choose_holder(self, now: float) -> str:
        """Return the first holder that is not in backoff; empty if there is none.

        The holder to which this node sends its requests is tried before the others.
        """
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
            if cache.waiting_handlers:
                self._request_tokens(cache, now)
            return
        cache.add_tokens(int(grant.tokens), requested_at + PREFETCHED_TOKEN_TTL_SECONDS)
        while cache.waiting_handlers and cache.try_spend(now):
            self._deliver_token(cache, cache.waiting_handlers.popleft())
        if not cache.waiting_handlers:
            return
        if grant.tokens > 0 or not request.waiting_calls:
            self._request_tokens(cache, now)
        else:
            self._refuse_waiting(
                cache, TokenDecision(False, holder, grant.remaining_tokens), now
            )

    def _refuse_waiting(
        self, cache: TokenCache, refusal: TokenDecision, now: float
    ) -> None:
        """Refuse the waiting calls, and new ones for `REFUSAL_CACHE_SECONDS`."""
        cache.refusal = refusal
        cache.refused_until = now + REFUSAL_CACHE_SECONDS
        waiting_handlers, cache.waiting_handlers = (
            cache.waiting_handlers,
            collections.deque(),
        )
        for done in waiting_handlers:
            done(refusal)

    def _deliver_token(self, cache: TokenCache, done: DecisionHandler) -> None:
        if not done(TokenDecision(True)):
            # The call was canceled while it waited.
            cache.return_token()
