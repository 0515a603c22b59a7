"""Shares of workspaces in the throughput of a backend server while calls wait there.

Each workspace has a share in proportion to its weight among those that are active. A
workspace whose calls take more than that is delayed by the time that its share would
need to catch up. The delay is bounded. Shares are computed over active workspaces, so
that the share of an inactive one goes to the others.
"""

# Time without a call after which a workspace is no longer active.
ACTIVE_SECONDS = 2.0
# Maximum delay: about two latency targets of a look-up.
MAX_DELAY_SECONDS = 0.5


class _Share:
    """State of one workspace.

    Attributes:
        weight: Weight among the active workspaces.
        served_until: Time until which its share of the throughput is used.
        seen_at: Time of its last call.
    """

    __slots__ = ("seen_at", "served_until", "weight")

    def __init__(self, weight: float, now: float):
        self.weight = weight
        self.served_until = now
        self.seen_at = now


class WorkspaceShares:
    """Delays calls of workspaces that take more than their shares."""

    def __init__(self) -> None:
        self._shares: dict[int, _Share] = {}
        self._total_weight = 0.0
        self._pruned_at = 0.0

    def get_delay(self, workspace: int, now: float) -> float:
        """Return by how many seconds a call of a workspace is delayed."""
        share = self._shares.get(workspace)
        return max(0.0, share.served_until - now) if share is not None else 0.0

    def record_call(
        self, workspace: int, weight: float, call_seconds: float, now: float
    ) -> None:
        """Record a call that is queued.

        Args:
            workspace: Hash of the workspace's name.
            weight: Its weight.
            call_seconds: Time that the backend server needs for one call, if it works
                on nothing else: the service time divided by the slots.
            now: Seconds on the loop's clock.
        """
        if now - self._pruned_at > ACTIVE_SECONDS:
            self._prune(now)
        share = self._shares.get(workspace)
        if share is None:
            share = self._shares[workspace] = _Share(0.0, now)
        self._total_weight += weight - share.weight
        share.weight = weight
        share.seen_at = now
        served_from = max(now, share.served_until)
        share.served_until = min(
            served_from + call_seconds * self._total_weight / share.weight,
            now + MAX_DELAY_SECONDS,
        )

    def _prune(self, now: float) -> None:
        """Remove workspaces that are no longer active."""
        self._pruned_at = now
        self._shares = {
            workspace: share
            for workspace, share in self._shares.items()
            if now - share.seen_at <= ACTIVE_SECONDS
        }
        self._total_weight = sum(share.weight for share in self._shares.values())
