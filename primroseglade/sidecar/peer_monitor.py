"""Looks after the other nodes: who is silent, and who knows the configuration."""

import asyncio
import time
from collections.abc import Callable

from .fleet import Fleet
from .policy_tracker import PolicyTracker

# How often peers are asked how old the configuration is, in seconds: readers ask the
# first of them, nodes ask the reader of their zone.
READER_POLL_SECONDS = 0.25
NON_READER_POLL_SECONDS = 0.5
# How often streams are looked at for silence, in seconds, while calls wait for answers;
# and while none do, to see whether this process stood still.
LIVENESS_CHECK_SECONDS = 0.1
IDLE_LIVENESS_CHECK_SECONDS = 0.25
# A look that comes so late says that this process stood still.
STALL_THRESHOLD_SECONDS = 0.1
# For so long after that, what is read may be old.
STALL_RECOVERY_SECONDS = 0.5


class PeerMonitor:
    """Two duties of a node towards the others.

    Args:
        node: This node's name.
        fleet: The others.
        policies: Learns whether this node reads the store for others.
        report_stall: Told whether this process stood still a moment ago.
    """

    def __init__(
        self,
        node: str,
        fleet: Fleet,
        policies: PolicyTracker,
        report_stall: Callable[[bool], None],
    ):
        self._node = node
        self._fleet = fleet
        self._policies = policies
        self._report_stall = report_stall
        self._stalled_until = 0.0
        self._poll_count = 0

    def poll_policy_age(self, now: float) -> None:
        """Ask how old the configuration is: near, and farther where that is no use."""
        readers = self._fleet.list_readers()
        rank = readers.index(self._node) if self._node in readers else None
        self._policies.set_reader_rank(rank)
        self._poll_count += 1
        if rank is None and self._poll_count % (
            NON_READER_POLL_SECONDS / READER_POLL_SECONDS
        ):
            return
        overdue = self._policies.is_overdue
        for position, name in enumerate(readers):
            peer = self._fleet.get(name)
            if peer is None:
                continue
            polls_first_reader = position == 0 and rank is not None
            if overdue or polls_first_reader or peer.entry.zone == self._fleet.zone:
                peer.send_ping()

    async def run_silence_checks(self) -> None:
        """Look for streams on which nothing comes any more, again and again."""
        while True:
            interval = (
                LIVENESS_CHECK_SECONDS
                if self._fleet.has_pending_calls
                else IDLE_LIVENESS_CHECK_SECONDS
            )
            due = time.monotonic() + interval
            await asyncio.sleep(interval)
            now = time.monotonic()
            # As of the moment for which this look was planned: where it comes late,
            # this process stood still and not the others, and what they sent since is
            # still to be read. A process that is always a little late looks all the
            # same, or calls to a zone that is cut off would wait out their time.
            self._fleet.check_liveness(due)
            if now - due >= STALL_THRESHOLD_SECONDS:
                self._stalled_until = now + STALL_RECOVERY_SECONDS
            self._report_stall(now < self._stalled_until)
