"""Logs the accounts of workspaces that are at their rates."""

from collections.abc import Callable

from ..observe.events import Journal, WORKSPACES_AT_RATE
from .account_snapshot import AccountSnapshot
from .quota import Quotas

RATE_LOG_SECONDS = 1.0
# Limits the length of a log line; workspaces with the highest demand come first.
WORKSPACES_LOGGED = 8


class RateWatch:
    """Logs accounts with less than half of their burst left.

    The calls admitted by all nodes together show whether a rate was exceeded. The
    other fields show the state on which each node based its decisions.

    Args:
        quotas: All accounts of this node.
        count_nodes: Returns the number of known nodes, including this one.
        journal: Receives the events.
    """

    def __init__(
        self, quotas: Quotas, count_nodes: Callable[[], int], journal: Journal
    ):
        self._quotas = quotas
        self._count_nodes = count_nodes
        self._journal = journal

    def log_accounts(self, now: float) -> None:
        """Log the accounts that are low on tokens in one event, if there are any."""
        snapshots = self._quotas.build_snapshots(self._count_nodes(), now)
        low = {name: item for name, item in snapshots.items() if item.low_on_tokens}
        if not low:
            return
        names = sorted(low, key=lambda name: _get_total_demand(low[name]), reverse=True)
        self._journal.emit(
            WORKSPACES_AT_RATE,
            workspaces={
                name: low[name].to_fields() for name in names[:WORKSPACES_LOGGED]
            },
        )


def _get_total_demand(snapshot: AccountSnapshot) -> float:
    return snapshot.demand + snapshot.others_demand
