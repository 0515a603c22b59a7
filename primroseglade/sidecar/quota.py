"""A workspace's rate and burst over the whole fleet, with nobody to ask.

Each node lets through its share of the rate, and shares follow demand: a node's own
calls against those that the others told of with their last heartbeats. The shares add
up to one as long as views agree, and views differ only by what changed within a
heartbeat. A node that the others cannot reach goes on with the share that it had,
and they go on reckoning with it for as long as it may.
"""

from .model import Tenant, Usage
from .retry_budget import SlidingCount

# Demand is counted over this span: longer than two heartbeats, short against the
# window in which the rate must hold.
DEMAND_SECONDS = 2.0
# A node that was not heard of for so long is taken to spend nothing. Without peers
# and store it may serve no keys any more by then.
FORGET_SECONDS = 6.0
# What a refused caller is told at the least; tokens of a small share come seldom.
LEAST_RETRY_SECONDS = 0.2


class RemoteUsage:
    """What another node told of a workspace's calls, and when."""

    __slots__ = ("demand", "heard_at")

    def __init__(self, demand: float, heard_at: float):
        self.demand = demand
        self.heard_at = heard_at


class Account:
    """One workspace's tokens at this node.

    Args:
        now: Seconds on the loop's clock.
        full: Whether a burst may be spent at once: not after a restart, since the
            tokens may have been spent just before it.
    """

    def __init__(self, now: float, full: bool):
        self._demand = SlidingCount(DEMAND_SECONDS)
        self._since = now
        self._refilled_at = now
        self._tokens: float | None = None if full else 0.0
        self._others: dict[str, RemoteUsage] = {}
        self.admitted = 0

    def get_demand(self, now: float) -> float:
        """Return calls a second that came here lately."""
        span = min(DEMAND_SECONDS, max(0.25, now - self._since))
        return self._demand.total(now) / span

    def note_remote(self, node: str, demand: float, now: float) -> None:
        """Take in what another node told."""
        self._others[node] = RemoteUsage(demand, now)

    def take(self, tenant: Tenant, nodes: int, now: float) -> bool:
        """Whether one more call may go; it is counted if so.

        Args:
            tenant: With its rate and burst in force.
            nodes: Nodes that are known, this one too.
            now: Seconds on the loop's clock.
        """
        self._demand.add(now)
        if tenant.rate <= 0:
            self.admitted += 1
            return True
        share = self._get_share(nodes, now)
        most = max(1.0, tenant.burst * share)
        if self._tokens is None:
            self._tokens = most
        gained = (now - self._refilled_at) * tenant.rate * share
        self._refilled_at = now
        self._tokens = min(most, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.admitted += 1
        return True

    def _get_share(self, nodes: int, now: float) -> float:
        others = 0.0
        heard = 1
        for name, usage in list(self._others.items()):
            if now - usage.heard_at > FORGET_SECONDS:
                del self._others[name]
                continue
            others += usage.demand
            heard += 1
        if heard * 2 < nodes and now - self._since < FORGET_SECONDS:
            # Just started: most have not told yet what they spend.
            return 1.0 / nodes
        own = self.get_demand(now)
        return own / max(own + others, 1e-9)


class Quotas:
    """All workspaces' accounts at this node.

    Args:
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(self, first_start: bool):
        self._full = first_start
        self._accounts: dict[str, Account] = {}

    def take(self, tenant: Tenant, nodes: int, now: float) -> bool:
        """Whether one more call of a workspace may go; it is counted if so."""
        return self._get(tenant.name, now).take(tenant, nodes, now)

    def note_remote(self, node: str, usage: dict[str, Usage], now: float) -> None:
        """Take in what another node told of all workspaces."""
        for name, told in usage.items():
            self._get(name, now).note_remote(node, told.demand, now)

    def describe(self, now: float) -> dict[str, Usage]:
        """Return what to tell the others."""
        told = {}
        for name, account in self._accounts.items():
            demand = account.get_demand(now)
            if demand > 0:
                told[name] = Usage(round(demand, 2), account.admitted)
        return told

    def _get(self, name: str, now: float) -> Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(now, self._full)
        return account
