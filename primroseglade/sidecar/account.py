"""A workspace's rate and burst over the whole fleet, with nobody to ask.

Each node keeps its own estimate of one token bucket for the fleet. The bucket is
refilled at the workspace's rate, and drained by the calls that the node admits, by
those that other nodes reported with their last states, and by those that they are
expected to have admitted since. While the bucket has tokens, any node may spend them,
except those reserved for calls that other nodes may have admitted beyond expectation.
When it is empty, each node admits its share of the rate, and shares follow reported
demand. Shares add up to one as long as the nodes' views agree, and views differ only
by what changed since the last reports. A node that the others cannot reach continues
with its last share, and the others keep that share allotted to it (`other_nodes.py`).
"""

import math
import random

from .account_snapshot import AccountSnapshot
from .model import Tenant, Usage
from .other_nodes import FEW_CALLS, OtherNodes
from .retry_budget import SlidingCount

# Demand is counted over this span: longer than two states are apart, short against the
# window in which the rate must hold.
DEMAND_SECONDS = 2.0
# For this time after its start, a node may lack reports from the other nodes.
STARTUP_SECONDS = 6.0
# With this part of a burst let through too much, shares let nothing through until the
# rate has made up for it; with more of it, a window may hold more than is allowed.
MOST_DEBT = 0.3
# What was let through beyond a burst is remembered up to this many seconds of the rate.
MOST_OWED_SECONDS = 3.0
# Calls that a workspace may ask for, by its rate. Where a service is overloaded, calls
# are refused without a token, and a workspace far over its rate would take far more
# than its part of what is let through. Ordinary callers that come back once stay below.
MOST_ASKED = 1.5
# So long ago, on average and a little more, others told what they let through. Where a
# workspace asks several times its rate, that many calls of it are reckoned as spent;
# else many nodes spend each token of the fleet's bucket several times over.
LAG_SECONDS = 0.3
# While a workspace is calm, the others hear of its use this often: they reckon with
# what they were told, and many workspaces at many nodes are costly to tell of.
CALM_TELL_SECONDS = 2.0
# Calm is a workspace with this part of its burst left, the demand of which is what was
# told, give or take a part, or some calls a second where there are few.
CALM_TOKENS = 0.5
CALM_DEMAND = 0.25
# A rise of demand is reckoned with up to this many times what was told.
MOST_RISE = 10.0
# This node's excess is reset after this time even without a report. Unless a workspace
# is calm, its calls are reported to the other nodes sooner.
OWN_EXCESS_RESET_SECONDS = 0.6
# Unreported calls assumed for each call that others reported beyond expectation.
UNREPORTED_RATIO = 2.0
# Time constant of the exponential decay of the excess that others reported.
REPORTED_EXCESS_DECAY_SECONDS = 0.5
# A share's own bucket holds the tokens of so many seconds: short, as the fleet's
# bucket is what smooths demand.
SHARE_BURST_SECONDS = 0.5


class Allowance:
    """What the fleet may let through beyond a workspace's rate.

    Operators allow something, since nodes cannot agree on each call. Half of it is left
    for that; the other half goes to callers, who would be refused for nothing.

    Args:
        overshoot: Part of rate and burst.
        slack: Calls in a window besides.
    """

    USED = 0.5

    __slots__ = ("_part", "_slack")

    def __init__(self, overshoot: float = 0.0, slack: float = 0.0):
        self._part = 1.0 + overshoot * self.USED
        self._slack = slack * self.USED

    def widen(self, tenant: Tenant) -> Tenant:
        """Return the limits to keep to.

        >>> wide = Allowance(0.1, 20).widen(Tenant("north", 1, 100.0, 50.0))
        >>> wide.rate, wide.burst
        (105.0, 62.5)
        """
        if tenant.rate <= 0:
            return tenant
        burst = tenant.burst * self._part + self._slack
        return Tenant(tenant.name, tenant.priority, tenant.rate * self._part, burst)


class Account:
    """One workspace's tokens as this node sees them.

    Args:
        now: Seconds on the loop's clock.
        full: Whether a burst may be spent at once: not after a restart, since the
            tokens may have been spent just before it.
        allowance: Beyond the rate.
        started: When this node started, on the loop's clock.
        rng: Draws which calls pass where a share is less than one call.
    """

    def __init__(
        self,
        now: float,
        full: bool,
        allowance: Allowance,
        started: float,
        rng: random.Random,
    ):
        self._allowance = allowance
        self._full = full
        self._started = started
        self._rng = rng
        self._drawn = False
        self._tenant: Tenant | None = None
        self._demand = SlidingCount(DEMAND_SECONDS)
        self._since = now
        self._refilled_at = now
        self._fleet_tokens: float | None = None if full else 0.0
        self._share_tokens = 0.0
        self._others = OtherNodes()
        # Calls beyond their shares that the others may have let through and not told.
        self._unseen = 0.0
        self._told = Usage(0.0, 0)
        self._told_at = -math.inf
        # Calls that other nodes reported beyond expectation, decaying over time.
        self._reported_excess = 0.0
        # Calls admitted here beyond what the others expect, since the last reset.
        self._own_excess = 0.0
        self._own_excess_since = now
        self._limits: Tenant | None = None
        self._first_refill = True
        self.admitted = 0

    def get_demand(self, now: float) -> float:
        """Return calls a second that came here lately."""
        span = min(DEMAND_SECONDS, max(0.25, now - self._since))
        return self._demand.total(now) / span

    def build_snapshot(self, nodes: int, now: float) -> AccountSnapshot | None:
        """Return the state, tokens as of the last call; None without a rate limit."""
        limits = self._limits
        if limits is None or limits.rate <= 0 or self._fleet_tokens is None:
            return None
        return AccountSnapshot(
            limits.rate,
            limits.burst,
            self.get_demand(now),
            self._others.reported_demand,
            len(self._others),
            self._fleet_tokens,
            self._unseen,
            self._get_share(nodes, now),
            self.admitted,
        )

    def describe(self, now: float) -> Usage:
        """Return what to tell the others."""
        return Usage(round(self.get_demand(now), 2), self.admitted)

    def describe_change(self, now: float) -> Usage | None:
        """Return what to tell the others now; None where they know.

        While there is any demand they reckon with a share of it, and must hear what
        came of it, also where that was nothing; but not at once while it is calm.
        """
        self._others.record_fleet_demand()
        usage = self.describe(now)
        if usage == self._told and not usage.demand:
            return None
        if now - self._told_at < CALM_TELL_SECONDS and self._is_calm(usage):
            return None
        self._told = usage
        self._told_at = now
        self._others.note_own_report(usage.demand)
        self._deduct_silent_excess(self._own_excess)
        self._reset_own_excess(now)
        return usage

    def _is_calm(self, usage: Usage) -> bool:
        """Whether the others need not hear of the use at once."""
        change = abs(usage.demand - self._told.demand)
        if change > max(FEW_CALLS, CALM_DEMAND * self._told.demand):
            return False
        if self._limits is None or self._limits.rate <= 0:
            return True
        left = (self._fleet_tokens or 0.0) - self._unseen
        return left >= CALM_TOKENS * self._limits.burst

    def note_remote(self, node: str, told: Usage) -> None:
        """Take in what another node told."""
        unexpected = self._others.note_report(node, told)
        if unexpected is None:
            self._note_past(min(told.admitted, told.demand))
        elif self._fleet_tokens is not None:
            self._fleet_tokens -= unexpected
            self._reported_excess += unexpected
            self._deduct_silent_excess(unexpected)

    def note_silent(self, node: str) -> None:
        """Assume that a node that stopped reporting still admits calls."""
        self._others.note_silent(node)

    def note_heard(self, node: str) -> None:
        """Treat a silent node as reporting again."""
        self._others.note_heard(node)

    def forget(self, node: str) -> None:
        """Reckon with no further calls of a node that is not heard of any more."""
        self._others.forget(node)

    def _deduct_silent_excess(self, excess: float) -> None:
        if self._fleet_tokens is not None:
            self._fleet_tokens -= self._others.assume_silent_excess(excess)

    def _note_past(self, calls: float) -> None:
        """Deduct calls that a node admitted before its first report.

        Only recent calls still matter: the debt is limited to one burst.
        """
        if self._fleet_tokens is None or self._limits is None:
            return
        least = min(self._fleet_tokens, -self._limits.burst)
        self._fleet_tokens = max(least, self._fleet_tokens - calls)

    def check(
        self, tenant: Tenant, nodes: int, now: float, settled: bool = True
    ) -> bool:
        """Whether one more call may go; it counts as demand, but spends nothing yet.

        Args:
            tenant: With its rate and burst in force.
            nodes: Nodes that are known, this one too.
            now: Seconds on the loop's clock.
            settled: Whether all nodes have the configuration by now. Before, a lower
                rate would be kept by some and not by others, and calls be refused
                that were within the rate when they were sent.
        """
        tenant = self._choose_limits(tenant, settled)
        if tenant.rate > 0:
            # Before this call counts as demand. Where calls are rare, a share that
            # includes the call at hand is several times the true one, and so is the
            # sum over many nodes.
            self._refill(tenant, nodes, now)
        self._demand.add(now)
        if tenant.rate <= 0:
            return True
        assert self._fleet_tokens is not None
        self._drawn = False
        if self._fleet_tokens - self._unseen >= 1.0 or self._share_tokens >= 1.0:
            return True
        if self._is_new(now):
            # A share of less than one call passes as often as it is worth. After a
            # restart of the whole fleet no node knows of tokens, and many nodes that
            # each wait for a whole one refuse most calls of a workspace.
            self._drawn = self._rng.random() < self._share_tokens
        return self._drawn

    def weigh(self, tenant: Tenant, now: float) -> float:
        """Return which part of its calls a workspace may ask for."""
        asked = self.get_demand(now) + self._others.reported_demand
        if tenant.rate <= 0 or asked <= 0:
            return 1.0
        return min(1.0, tenant.rate * MOST_ASKED / asked)

    def spend(self) -> None:
        """Count a call that goes."""
        self.admitted += 1
        self._own_excess += 1.0
        if self._fleet_tokens is not None:
            self._fleet_tokens -= 1.0
        # What was drawn is owed.
        least = -1.0 if self._drawn else min(0.0, self._share_tokens)
        self._share_tokens = max(least, self._share_tokens - 1.0)

    def give_back(self, tenant: Tenant) -> None:
        """Take back one call that did not run after all."""
        self.admitted = max(0, self.admitted - 1)
        self._own_excess -= 1.0
        if self._fleet_tokens is not None and tenant.rate > 0:
            self._fleet_tokens += 1.0

    def _choose_limits(self, tenant: Tenant, settled: bool) -> Tenant:
        if tenant is not self._tenant or self._limits is None:
            wide = self._allowance.widen(tenant)
            if not settled and self._limits is not None and self._limits.allows(wide):
                return self._limits
            self._tenant = tenant
            self._limits = wide
        return self._limits

    def _refill(self, tenant: Tenant, nodes: int, now: float) -> None:
        span = now - self._refilled_at
        self._refilled_at = now
        share = self._get_share(nodes, now)
        most = max(1.0, tenant.rate * share * SHARE_BURST_SECONDS)
        if self._fleet_tokens is None:
            self._fleet_tokens = tenant.burst
        elif self._first_refill:
            # Since this node started, its share has accrued with nobody to spend it.
            before = tenant.rate * (now - self._started) / max(1, nodes)
            self._share_tokens = min(most, before)
        self._first_refill = False
        others_demand = self._others.demand
        demand = self.get_demand(now) + others_demand
        # What the others let through until they tell: all of their demand, or their
        # share of the rate if the demand is higher. Reckoned by what they let through
        # last, all nodes would take the same tokens after each pause, and then none.
        part = min(1.0, tenant.rate / max(demand, 1e-9))
        self._others.advance_flow(part * span)
        surplus = others_demand * (1.0 - part) * LAG_SECONDS
        rise = others_demand * self._estimate_rise(now) * LAG_SECONDS
        self._own_excess -= self._told.demand * part * span
        if now - self._own_excess_since > OWN_EXCESS_RESET_SECONDS:
            self._reset_own_excess(now)
        unseen_excess = self._estimate_unseen_excess(tenant, nodes)
        self._reported_excess *= math.exp(-span / REPORTED_EXCESS_DECAY_SECONDS)
        unreported = UNREPORTED_RATIO * self._reported_excess
        self._unseen = surplus + max(rise, unseen_excess, unreported)
        gained = tenant.rate * span - others_demand * part * span
        # A debt is paid back within the window in which the rate must hold, and not
        # kept for ever: part of it may be an error.
        most_owed = tenant.burst
        if not self._is_new(now):
            most_owed += MOST_OWED_SECONDS * tenant.rate
        self._fleet_tokens += gained
        self._fleet_tokens = min(tenant.burst, max(-most_owed, self._fleet_tokens))
        # What was let through too much, before nodes knew of each other's calls, is
        # paid back by all shares; else the window after it would be over the rate.
        most_debt = max(1.0, tenant.burst * MOST_DEBT)
        debt = min(1.0, max(0.0, -self._fleet_tokens / most_debt))
        self._share_tokens += span * tenant.rate * share * (1.0 - debt)
        self._share_tokens = min(most, self._share_tokens)

    def _is_new(self, now: float) -> bool:
        """Whether this node was started again so lately that it knows little."""
        return now - self._started < STARTUP_SECONDS and not self._full

    def _estimate_rise(self, now: float) -> float:
        """Return by how much demand rose since it was told, as a part of that.

        A workspace's callers are spread over the nodes: what rises here rises at the
        others, too, and each of many nodes would spend the same tokens of the fleet
        until they hear of each other. A node that was just started has told nothing.
        """
        if self._is_new(now):
            return 0.0
        told = self._told.demand
        rise = max(0.0, self.get_demand(now) - told)
        return min(MOST_RISE, rise / max(FEW_CALLS, told))

    def _reset_own_excess(self, now: float) -> None:
        self._own_excess = 0.0
        self._own_excess_since = now

    def _estimate_unseen_excess(self, tenant: Tenant, nodes: int) -> float:
        """Estimate unreported calls that other nodes admitted beyond expectation.

        Assumes that callers are spread over the nodes, so that the other nodes exceed
        expectation as this node does, in proportion to demand. This limits each node to
        its share of the remaining tokens until the others report their calls.
        """
        total_demand = self._told.demand + self._others.demand
        share = max(1.0 / max(1, nodes), self._told.demand / max(total_demand, 1e-9))
        # Calls of the other nodes assumed for each call of this node.
        others_ratio = (1.0 - share) / share
        # Ignores up to one call of excess as this ratio approaches the burst: a single
        # call would otherwise reserve the whole bucket.
        tolerance = min(1.0, others_ratio / max(1.0, tenant.burst))
        return max(0.0, self._own_excess - tolerance) * others_ratio

    def _get_share(self, nodes: int, now: float) -> float:
        if len(self._others) * 2 < nodes - 1 and now - self._since < STARTUP_SECONDS:
            # Just started: most have not told yet what they spend.
            return 1.0 / nodes
        # Uses the last reported demand, as for the other nodes. With newer figures,
        # shares would add up to more than one while demand rises on all nodes.
        own = self._told.demand or self.get_demand(now)
        return own / max(own + self._others.demand, 1e-9)
