"""Periodic checks of other nodes: liveness, and the age of their configuration.

The age is the time since the configuration was last known to be the newest. One node in
each availability zone is its reader (``Fleet.list_readers``); other nodes poll readers
for the age, instead of reading the platform's store.
"""

import asyncio
import time
from collections.abc import Callable

from .fleet import Fleet
from .policy_tracker import PolicyTracker

# Intervals at which nodes poll the configuration's age: readers ask the first reader,
# all other nodes ask the reader of their zone.
READER_POLL_SECONDS = 0.25
NON_READER_POLL_SECONDS = 0.5
# Interval between liveness checks of peers while requests are pending, and while none
# are. In the latter case the checks mainly detect stalls of this process.
LIVENESS_CHECK_SECONDS = 0.1
IDLE_LIVENESS_CHECK_SECONDS = 0.25
# A check that runs this late shows that this process was stalled.
STALL_THRESHOLD_SECONDS = 0.1
# Data read from sockets within this time after a stall may have arrived long before.
STALL_RECOVERY_SECONDS = 0.5


class PeerMonitor:
    """Polls the configuration's age, and checks the liveness of peers.

    Args:
        node_name: Name of this node.
        fleet: The other nodes.
        policy_tracker: Receives this node's rank among the readers.
        report_stall: Called after each check with whether this process was stalled
            recently.
    """

    def __init__(
        self,
        node_name: str,
        fleet: Fleet,
        policy_tracker: PolicyTracker,
        report_stall: Callable[[bool], None],
    ):
        self._node_name = node_name
        self._fleet = fleet
        self._policy_tracker = policy_tracker
        self._report_stall = report_stall
        self._stall_recovery_ends_at = 0.0
        self._poll_count = 0

    def poll_policy_age(self, now: float) -> None:
        """Ping readers for the age of their configuration.

        While this node's configuration has been unconfirmed for too long, the readers
        of all zones are asked.

        Args:
            now: Unused; the periodic scheduler passes the time to every task.
        """
        readers = self._fleet.list_readers()
        rank = readers.index(self._node_name) if self._node_name in readers else None
        self._policy_tracker.set_reader_rank(rank)
        self._poll_count += 1
        if rank is None and self._poll_count % (
            NON_READER_POLL_SECONDS / READER_POLL_SECONDS
        ):
            return
        overdue = self._policy_tracker.is_confirmation_overdue
        for position, name in enumerate(readers):
            peer = self._fleet.get(name)
            if peer is None:
                continue
            polls_first_reader = position == 0 and rank is not None
            if overdue or polls_first_reader or peer.entry.zone == self._fleet.zone:
                peer.send_ping()

    async def run_liveness_checks(self) -> None:
        """Check the liveness of peers until cancelled, and report stalls."""
        while True:
            interval_seconds = (
                LIVENESS_CHECK_SECONDS
                if self._fleet.has_pending_requests
                else IDLE_LIVENESS_CHECK_SECONDS
            )
            due_at = time.monotonic() + interval_seconds
            await asyncio.sleep(interval_seconds)
            now = time.monotonic()
            # Liveness is checked as of the time when the check was due. If the check
            # runs late, this process was stalled, not the peers, and frames that they
            # sent since are still unread. Skipping late checks instead would disable
            # them on a machine that is always slow, and calls to an unreachable zone
            # would wait for their timeouts.
            self._fleet.check_liveness(due_at)
            if now - due_at >= STALL_THRESHOLD_SECONDS:
                self._stall_recovery_ends_at = now + STALL_RECOVERY_SECONDS
            self._report_stall(now < self._stall_recovery_ends_at)
