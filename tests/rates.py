"""An entry node and its token holder, connected without a network."""

import random

from primroseglade.sidecar.frames import TokenRequest
from primroseglade.sidecar.model import Tenant
from primroseglade.sidecar.quota import Quotas, TokenDecision
from primroseglade.sidecar.rate_tolerance import RateTolerance
from primroseglade.sidecar.share_leases import LeaseTable
from primroseglade.sidecar.token_broker import GrantHandler, TokenBroker
from primroseglade.sidecar.token_pool import TokenPool


class OneHolder:
    """Token holder with one node's share of all rates, and its entry node's network.

    Args:
        nodes: Number of nodes among which rates are divided.
        first_start: Whether the fleet starts for the first time.
        rate_tolerance: Calls that are allowed beyond the rates.
    """

    def __init__(
        self,
        nodes: int = 1,
        first_start: bool = True,
        rate_tolerance: RateTolerance | None = None,
    ):
        self.now = 0.0
        self.silent = False
        self.requests: list[TokenRequest] = []
        self.leases = LeaseTable(lambda: nodes, 0.0)
        self.leases.renew("here", 1e9, 0.0)
        self.pool = TokenPool(self.leases, first_start)
        rng = random.Random(1)
        self.broker = TokenBroker("there", self.pool, self, self.read_clock, rng)
        self.quotas = Quotas(
            "here",
            self.broker,
            self,
            rate_tolerance or RateTolerance(),
            self.read_clock,
            rng,
        )

    def read_clock(self) -> float:
        """Return the time that the test has set."""
        return self.now

    def get_holder(self) -> str:
        """Return the name of the only holder."""
        return "there"

    def list_holders(self) -> list[str]:
        """Return the name of the only holder."""
        return ["there"]

    def request_tokens(
        self, node: str, request: TokenRequest, done: GrantHandler
    ) -> None:
        """Answer at once; fail if the holder is silent."""
        self.requests.append(request)
        if self.silent:
            done(None)
        else:
            self.broker.handle_request("here", request, done)

    def decide(
        self, tenant: Tenant, version: int = 1, rolled_out: bool = True
    ) -> TokenDecision:
        """Return the decision on one more call."""
        decisions: list[TokenDecision] = []

        def take(decision: TokenDecision) -> bool:
            decisions.append(decision)
            return True

        self.quotas.acquire(tenant, version, rolled_out, take)
        (decision,) = decisions
        return decision

    def take(self, tenant: Tenant, version: int = 1, rolled_out: bool = True) -> bool:
        """Return whether one more call is granted a token."""
        return self.decide(tenant, version, rolled_out).granted
