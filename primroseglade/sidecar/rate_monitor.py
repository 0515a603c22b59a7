"""Logs token buckets that are low on tokens: their workspaces are near their rates."""

from ..observe.events import Journal, WORKSPACES_AT_RATE
from .bucket_snapshot import build_snapshots
from .token_pool import TokenPool

RATE_LOG_INTERVAL_SECONDS = 1.0
# Only the workspaces with the highest demand are logged, to limit the line's length.
MAX_LOGGED_WORKSPACES = 8


class RateMonitor:
    """Logs the buckets of a token holder that are filled to less than half.

    Args:
        pool: Buckets of this node.
        journal: Receives the events.
    """

    def __init__(self, pool: TokenPool, journal: Journal):
        self._pool = pool
        self._journal = journal

    def log_buckets(self, now: float) -> None:
        """Log all buckets that are low on tokens as one event, if there are any."""
        snapshots = build_snapshots(self._pool, now)
        low = {name: item for name, item in snapshots.items() if item.low_on_tokens}
        if not low:
            return
        names = sorted(low, key=lambda name: low[name].demand, reverse=True)
        self._journal.emit(
            WORKSPACES_AT_RATE,
            workspaces={
                name: low[name].to_fields() for name in names[:MAX_LOGGED_WORKSPACES]
            },
        )
