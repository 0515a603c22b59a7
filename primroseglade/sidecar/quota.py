"""A workspace's rate and burst over the whole fleet, with nobody to ask.

Each node reckons with one bucket of tokens for the fleet: filled at the workspace's
rate, emptied by its own calls, by those that the others told of with their last
heartbeats, and by what they will have let through since. While that bucket has
tokens, any node may use them, whatever its share of the demand. When it is empty,
each node lets through its share of the rate, and shares follow demand. They add up
to one as long as views agree, and views differ only by what changed within a
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
# Calls that a node may take back between two heartbeats; a number that is smaller by
# more shows a restart.
GIVEN_BACK = 50
# With this part of a burst let through too much, shares let nothing through until the
# rate has made up for it. With a whole burst, a window of 5 s came to 7.2 s of the
# rate where 6.8 are allowed (three nodes, five times the rate at once).
MOST_DEBT = 0.3
# A share's own bucket holds the tokens of so many seconds: short, as the fleet's
# bucket is what smooths demand.
SHARE_BURST_SECONDS = 0.5


class RemoteUsage:
    """What another node told of a workspace's calls, and when."""

    __slots__ = ("admitted", "demand", "expected", "heard_at")

    def __init__(self, demand: float, admitted: int, heard_at: float):
        self.demand = demand
        self.admitted = admitted
        self.heard_at = heard_at
        self.expected = 0.0

    def update(self, demand: float, admitted: int, now: float) -> float:
        """Take in what it tells now; return calls that were not reckoned with."""
        passed = admitted - self.admitted
        if passed < -GIVEN_BACK:
            # So much smaller than before: the node was started again.
            passed = admitted
        unexpected = passed - self.expected
        self.demand = demand
        self.admitted = admitted
        self.heard_at = now
        self.expected = 0.0
        return unexpected


class Account:
    """One workspace's tokens as this node sees them.

    Args:
        now: Seconds on the loop's clock.
        full: Whether a burst may be spent at once: not after a restart, since the
            tokens may have been spent just before it.
    """

    def __init__(self, now: float, full: bool):
        self._demand = SlidingCount(DEMAND_SECONDS)
        self._since = now
        self._refilled_at = now
        self._fleet_tokens: float | None = None if full else 0.0
        self._share_tokens = 0.0
        self._others: dict[str, RemoteUsage] = {}
        self.admitted = 0

    def get_demand(self, now: float) -> float:
        """Return calls a second that came here lately."""
        span = min(DEMAND_SECONDS, max(0.25, now - self._since))
        return self._demand.total(now) / span

    def note_remote(self, node: str, told: Usage, now: float) -> None:
        """Take in what another node told."""
        known = self._others.get(node)
        if known is None:
            self._others[node] = RemoteUsage(told.demand, told.admitted, now)
            # What it let through before it was first heard of; of a long history
            # only the newest part can still matter.
            if self._fleet_tokens is not None:
                self._fleet_tokens -= min(told.admitted, told.demand)
            return
        unexpected = known.update(told.demand, told.admitted, now)
        if self._fleet_tokens is not None:
            self._fleet_tokens -= unexpected

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
        self._refill(tenant, nodes, now)
        assert self._fleet_tokens is not None
        if self._fleet_tokens < 1.0 and self._share_tokens < 1.0:
            return False
        self._fleet_tokens -= 1.0
        self._share_tokens = max(0.0, self._share_tokens - 1.0)
        self.admitted += 1
        return True

    def give_back(self, tenant: Tenant) -> None:
        """Take back one call that did not run after all."""
        self.admitted = max(0, self.admitted - 1)
        if self._fleet_tokens is not None and tenant.rate > 0:
            self._fleet_tokens += 1.0

    def _refill(self, tenant: Tenant, nodes: int, now: float) -> None:
        span = now - self._refilled_at
        self._refilled_at = now
        if self._fleet_tokens is None:
            self._fleet_tokens = tenant.burst
        self._forget_silent(now)
        demand = self.get_demand(now) + sum(u.demand for u in self._others.values())
        # What the others let through until they tell: all of their demand, or their
        # share of the rate if the demand is higher. Reckoned by what they let through
        # last, all nodes took the same tokens after each pause, and then none did.
        part = min(1.0, tenant.rate / max(demand, 1e-9))
        used = 0.0
        for usage in self._others.values():
            expected = usage.demand * part * span
            usage.expected += expected
            used += expected
        gained = tenant.rate * span - used
        # Below zero by a burst at the most: a debt is paid back, not kept for ever.
        self._fleet_tokens += gained
        self._fleet_tokens = min(tenant.burst, max(-tenant.burst, self._fleet_tokens))
        share = self._get_share(nodes, now)
        most = max(1.0, tenant.rate * share * SHARE_BURST_SECONDS)
        # What was let through too much, before nodes knew of each other's calls, is
        # paid back by all shares; else the window after it would be over the rate.
        most_debt = max(1.0, tenant.burst * MOST_DEBT)
        debt = min(1.0, max(0.0, -self._fleet_tokens / most_debt))
        self._share_tokens += span * tenant.rate * share * (1.0 - debt)
        self._share_tokens = min(most, self._share_tokens)

    def _forget_silent(self, now: float) -> None:
        silent = [
            name
            for name, usage in self._others.items()
            if now - usage.heard_at > FORGET_SECONDS
        ]
        for name in silent:
            del self._others[name]

    def _get_share(self, nodes: int, now: float) -> float:
        if len(self._others) * 2 < nodes - 1 and now - self._since < FORGET_SECONDS:
            # Just started: most have not told yet what they spend.
            return 1.0 / nodes
        others = sum(usage.demand for usage in self._others.values())
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

    def give_back(self, tenant: Tenant, now: float) -> None:
        """Take back one call that did not run after all."""
        self._get(tenant.name, now).give_back(tenant)

    def note_remote(self, node: str, usage: dict[str, Usage], now: float) -> None:
        """Take in what another node told of all workspaces."""
        for name, told in usage.items():
            self._get(name, now).note_remote(node, told, now)

    def describe(self, now: float) -> dict[str, Usage]:
        """Return what to tell the others."""
        return {
            name: Usage(round(account.get_demand(now), 2), account.admitted)
            for name, account in self._accounts.items()
            if account.admitted or account.get_demand(now) > 0
        }

    def _get(self, name: str, now: float) -> Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(now, self._full)
        return account
