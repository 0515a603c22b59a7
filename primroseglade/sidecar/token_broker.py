"""Answers requests for tokens, and borrows tokens from other holders."""

import collections
import math
import random
from collections.abc import Callable
from typing import Protocol

from .frames import TokenGrant, TokenLimits, TokenRequest
from .token_pool import TokenPool

# Called with the answer; None if the request failed or timed out.
GrantHandler = Callable[[TokenGrant | None], None]

# Time for which a holder that lent nothing or did not answer is not asked again. The
# time doubles with each further failure.
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.5
# Maximum number of holders asked one after another to lend tokens for the waiting
# requests of one workspace.
MAX_TRIED_LENDERS = 3


class TokenNetwork(Protocol):
    """Finds the token holders and sends requests to them."""

    def get_holder(self) -> str:
        """Return the name of the holder that this node requests tokens from."""

    def list_holders(self) -> list[str]:
        """Return the names of the reachable holders of all availability zones."""

    def request_tokens(
        self, node: str, request: TokenRequest, done: GrantHandler
    ) -> None:
        """Send a request; ``done`` is called once, with None after a timeout."""


class LenderState:
    """One other holder, or all of them, as a lender of one workspace's tokens.

    Attributes:
        remaining_tokens: Tokens left there after its last loan; infinite if it has lent
            none yet or did not lend when last asked.
        backoff_until: Time before which it is not asked again, in seconds on the
            monotonic clock.
        backoff_seconds: Duration of the last backoff; 0 after a loan.
    """

    __slots__ = ("backoff_seconds", "backoff_until", "remaining_tokens")

    def __init__(self) -> None:
        self.remaining_tokens = math.inf
        self.backoff_until = 0.0
        self.backoff_seconds = 0.0

    def record_grant(self, grant: TokenGrant | None, now: float) -> None:
        """Record the holder's answer to a request; None if there was none."""
        if grant is not None and grant.tokens > 0:
            self.remaining_tokens = grant.remaining_tokens
            self.backoff_seconds = 0.0
            return
        # Infinite, so that this holder is tried before the others after the backoff.
        self.remaining_tokens = math.inf
        doubled = max(INITIAL_BACKOFF_SECONDS, 2.0 * self.backoff_seconds)
        self.backoff_seconds = min(MAX_BACKOFF_SECONDS, doubled)
        self.backoff_until = now + self.backoff_seconds


class WaitingRequests:
    """Requests for tokens of one workspace that wait until tokens are borrowed."""

    __slots__ = ("limits", "requests", "tried_lenders")

    def __init__(self, limits: TokenLimits):
        self.limits = limits
        self.tried_lenders: set[str] = set()
        self.requests: collections.deque[tuple[str, TokenRequest, GrantHandler]] = (
            collections.deque()
        )

    @property
    def waiting_calls(self) -> int:
        """Number of calls that wait for tokens."""
        return sum(request.waiting_calls for _, request, _ in self.requests)


class TokenBroker:
    """Answers requests for tokens at one holder.

    Args:
        name: Name of this node.
        pool: Buckets of this node.
        network: Finds the other holders and sends requests to them.
        clock: Returns seconds on the monotonic clock.
        rng: Chooses among the other holders.
    """

    def __init__(
        self,
        name: str,
        pool: TokenPool,
        network: TokenNetwork,
        clock: Callable[[], float],
        rng: random.Random,
    ):
        self._name = name
        self._pool = pool
        self._network = network
        self._clock = clock
        self._rng = rng
        self._waiting: dict[str, WaitingRequests] = {}
        self._lenders: dict[tuple[str, str], LenderState] = {}

    def handle_request(
        self, sender: str, request: TokenRequest, reply: GrantHandler
    ) -> None:
        """Answer a node's request, at once or after borrowing tokens."""
        limits = request.limits
        now = self._clock()
        if request.loan_tokens > 0:
            urgent = request.waiting_calls > 0
            lent_tokens = self._pool.lend(limits, request.loan_tokens, urgent, now)
            reply(self._build_grant(request, lent_tokens))
            return
        self._pool.record_request(sender, request, now)
        waiting = self._waiting.get(limits.workspace)
        if waiting is not None:
            waiting.requests.append((sender, request, reply))
            return
        granted_tokens = self._pool.take(
            limits, request.waiting_calls, request.expected_calls, now, sender
        )
        if granted_tokens or not request.waiting_calls:
            reply(self._build_grant(request, granted_tokens))
            self._top_up_reserve(limits, now)
            return
        waiting = WaitingRequests(limits)
        waiting.requests.append((sender, request, reply))
        self._borrow(waiting, now)

    def _borrow(self, waiting: WaitingRequests, now: float) -> None:
        workspace = waiting.limits.workspace
        lender = self._choose_lender(waiting, now)
        if lender is None:
            self._waiting.pop(workspace, None)
            for _, request, reply in waiting.requests:
                reply(self._build_grant(request, 0))
            return
        self._waiting[workspace] = waiting
        waiting.tried_lenders.add(lender)
        loan_tokens = self._pool.count_tokens_to_borrow(
            waiting.limits, waiting.waiting_calls, now
        )
        request = TokenRequest(
            0, waiting.limits, waiting.waiting_calls, loan_tokens=loan_tokens
        )
        self._network.request_tokens(
            lender, request, lambda grant: self._handle_loan(waiting, lender, grant)
        )

    def _handle_loan(
        self, waiting: WaitingRequests, lender: str, grant: TokenGrant | None
    ) -> None:
        now = self._clock()
        limits = waiting.limits
        tokens = grant.tokens if grant is not None else 0.0
        key = (limits.workspace, lender)
        self._lenders.setdefault(key, LenderState()).record_grant(grant, now)
        self._pool.deposit(limits, tokens, now, waiting.waiting_calls)
        while waiting.requests:
            sender, request, reply = waiting.requests[0]
            granted_tokens = self._pool.take(
                limits, request.waiting_calls, request.expected_calls, now, sender
            )
            if not granted_tokens and request.waiting_calls:
                break
            waiting.requests.popleft()
            reply(self._build_grant(request, granted_tokens))
        if waiting.requests:
            self._borrow(waiting, now)
        else:
            del self._waiting[limits.workspace]

    def _top_up_reserve(self, limits: TokenLimits, now: float) -> None:
        """Fill the reserve here with tokens that would overflow at another holder."""
        loan_tokens = self._pool.get_reserve_shortfall(limits, now)
        # The empty name stands for all other holders. One of them is chosen at random
        # for each of these requests, and all share one backoff.
        key = (limits.workspace, "")
        state = self._lenders.get(key)
        if loan_tokens <= 0 or (state is not None and now < state.backoff_until):
            return
        others = [name for name in self._network.list_holders() if name != self._name]
        if not others:
            return
        if state is None:
            state = self._lenders[key] = LenderState()
        state.backoff_until = now + INITIAL_BACKOFF_SECONDS

        def handle(grant: TokenGrant | None) -> None:
            state.record_grant(grant, self._clock())
            if grant is not None:
                self._pool.deposit(limits, grant.tokens, self._clock())

        request = TokenRequest(0, limits, 0, loan_tokens=loan_tokens)
        self._network.request_tokens(self._rng.choice(others), request, handle)

    def _choose_lender(self, waiting: WaitingRequests, now: float) -> str | None:
        if len(waiting.tried_lenders) >= MAX_TRIED_LENDERS:
            return None
        workspace = waiting.limits.workspace
        candidates: list[tuple[float, float, str]] = []
        for name in self._network.list_holders():
            if name == self._name or name in waiting.tried_lenders:
                continue
            lender = self._lenders.get((workspace, name))
            if lender is None:
                candidates.append((math.inf, self._rng.random(), name))
            elif lender.backoff_until <= now:
                candidates.append((lender.remaining_tokens, self._rng.random(), name))
        return max(candidates)[2] if candidates else None

    def _build_grant(self, request: TokenRequest, tokens: float) -> TokenGrant:
        remaining_tokens = round(
            self._pool.get_remaining_tokens(request.limits.workspace), 2
        )
        return TokenGrant(request.id, tokens, remaining_tokens)
