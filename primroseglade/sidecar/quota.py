"""The rates of all workspaces at one node; each has an account (`account.py`)."""

import random

from .account import Account, Allowance
from .account_snapshot import AccountSnapshot
from .model import Tenant, Usage
from .other_nodes import FORGET_SECONDS, SILENT_SECONDS


class Quotas:
    """All workspaces' accounts at this node.

    Args:
        first_start: Whether the whole fleet starts for the first time.
        allowance: Beyond the rates.
        started: When this node started, on the loop's clock.
        rng: Draws which calls pass where a share is less than one call.
    """

    def __init__(
        self,
        first_start: bool,
        allowance: Allowance | None = None,
        started: float = 0.0,
        rng: random.Random | None = None,
    ):
        self._full = first_start
        self._allowance = allowance or Allowance()
        self._started = started
        self._rng = rng or random.Random()
        self._accounts: dict[str, Account] = {}
        self._heard_at: dict[str, float] = {}
        self._silent: set[str] = set()

    def take(
        self, tenant: Tenant, nodes: int, now: float, settled: bool = True
    ) -> bool:
        """Whether one more call of a workspace may go; it is counted if so."""
        allowed = self.check(tenant, nodes, now, settled)
        if allowed:
            self.spend(tenant, now)
        return allowed

    def check(
        self, tenant: Tenant, nodes: int, now: float, settled: bool = True
    ) -> bool:
        """Whether one more call of a workspace may go; nothing is spent yet."""
        return self._get(tenant.name, now).check(tenant, nodes, now, settled)

    def weigh(self, tenant: Tenant, now: float) -> float:
        """Return which part of its calls a workspace may ask for.

        By that part of its calls it is demand; the rest is over its rate, whether or
        not those that passed were let through in the end.
        """
        return self._get(tenant.name, now).weigh(tenant, now)

    def spend(self, tenant: Tenant, now: float) -> None:
        """Count a call of a workspace that goes."""
        self._get(tenant.name, now).spend()

    def give_back(self, tenant: Tenant, now: float) -> None:
        """Take back one call that did not run after all."""
        self._get(tenant.name, now).give_back(tenant)

    def note_remote(
        self, node: str, usage: dict[str, Usage], now: float, whole: bool
    ) -> None:
        """Take in what another node told.

        Args:
            node: Its name.
            usage: By workspace.
            now: Seconds on the loop's clock.
            whole: Whether it is all that the node knows, not only what changed. A
                node that was started again has forgotten what it told before.
        """
        self._heard_at[node] = now
        if node in self._silent:
            self._silent.remove(node)
            for name, account in self._accounts.items():
                if name not in usage:
                    account.note_heard(node)
        if whole:
            for name, account in self._accounts.items():
                if name not in usage:
                    account.forget(node)
        # In a large fleet this is most of what a node does for its quotas.
        accounts = self._accounts
        for name, told in usage.items():
            account = accounts.get(name) or self._get(name, now)
            account.note_remote(node, told)

    def forget_silent(self, now: float) -> None:
        """Mark nodes that stopped reporting as silent; forget them after a while."""
        for node, heard_at in list(self._heard_at.items()):
            if now - heard_at > FORGET_SECONDS:
                del self._heard_at[node]
                self._silent.discard(node)
                for account in self._accounts.values():
                    account.forget(node)
            elif now - heard_at > SILENT_SECONDS and node not in self._silent:
                self._silent.add(node)
                for account in self._accounts.values():
                    account.note_silent(node)

    def describe(self, now: float) -> dict[str, Usage]:
        """Return what to tell a node that knows nothing yet."""
        return {
            name: account.describe(now)
            for name, account in self._accounts.items()
            if account.admitted or account.get_demand(now) > 0
        }

    def describe_changes(self, now: float) -> dict[str, Usage]:
        """Return what to tell all nodes now, of workspaces whose use has changed."""
        changes = {
            name: account.describe_change(now)
            for name, account in self._accounts.items()
        }
        return {name: usage for name, usage in changes.items() if usage is not None}

    def build_snapshots(self, nodes: int, now: float) -> dict[str, AccountSnapshot]:
        """Return snapshots of all accounts with a rate limit, by workspace."""
        snapshots = {
            name: account.build_snapshot(nodes, now)
            for name, account in self._accounts.items()
        }
        return {name: item for name, item in snapshots.items() if item is not None}

    def _get(self, name: str, now: float) -> Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(
                now, self._full, self._allowance, self._started, self._rng
            )
        return account
