"""Lets one call at a time of each suspect request run on the local backend server.

If the server ends under several trials, any of their requests may be to blame. So the
one that may block a request runs without any other trial beside it.
"""

import asyncio

from ..verdicts import not_run, Reason
from .suspect_requests import Standing
from .suspect_tracker import format_request, SuspectTracker

# A call waits at most this long, or this fraction of the time until its deadline.
MAX_WAIT_SECONDS = 1.0
MAX_WAIT_RATIO = 0.5
# Maximum wait at a node that is not to run the request now. It waits for news that the
# request is cleared, which the sender may have had earlier.
MAX_NEWS_WAIT_SECONDS = 0.2
# Time from an end to the next trial, in which ends at other nodes become known.
TRIAL_DELAY_SECONDS = 0.05


class TrialGate:
    """Orders the calls of suspect requests that reach this node.

    Args:
        tracker: Knows which requests are suspect.
    """

    __slots__ = ("_exclusive", "_running", "_tracker")

    def __init__(self, tracker: SuspectTracker):
        self._tracker = tracker
        # The requests of which a trial runs, and whether it has run alone so far.
        self._running: dict[int, bool] = {}
        self._exclusive = False

    async def enter(
        self, request: int, may_try: bool, limit: int, remaining: float
    ) -> bool:
        """Wait until a call may run.

        Args:
            request: Hash of its request.
            may_try: Whether a trial of the request may run at this node.
            limit: Number of ended backend servers at which the request is blocked.
            remaining: Seconds until the call's deadline.

        Returns:
            Whether the run is a trial, which ends with `leave`.

        Raises:
            Refusal: The request is blocked, or other trials take too long; the verdict
                is `NOT_RUN`.
        """
        max_wait = MAX_WAIT_SECONDS if may_try else MAX_NEWS_WAIT_SECONDS
        wait = min(max_wait, remaining * MAX_WAIT_RATIO)
        while True:
            standing = await self._tracker.wait_while_fresh(request, limit, remaining)
            if standing is Standing.CLEAR:
                return False
            if standing is Standing.BLOCKED:
                raise self._tracker.build_block(request, limit)
            settling = TRIAL_DELAY_SECONDS - self._tracker.requests.get_last_end_age(
                request
            )
            if may_try and settling > 0:
                await asyncio.sleep(settling)
                wait -= settling
                continue
            if may_try and self._try_begin(request, limit):
                return True
            wait = await self._tracker.wait_for_change(request, wait)
            if wait <= 0:
                detail = (
                    f"backend servers ended under the same request "
                    f"({format_request(request)}), and another call runs first"
                )
                raise not_run(Reason.REQUEST_SUSPECT, detail)

    def runs_alone(self, request: int) -> bool:
        """Return whether a trial runs, and no other has run beside it."""
        return self._running.get(request, False)

    def leave(self, request: int) -> None:
        """End a trial, and let the next ones begin."""
        self._running.pop(request, None)
        self._exclusive = False
        self._tracker.wake_all()

    def _try_begin(self, request: int, limit: int) -> bool:
        """Begin a trial if no other one is in its way."""
        exclusive = self._tracker.requests.count_ends(request) >= limit - 1
        if self._exclusive or request in self._running:
            return False
        if exclusive and self._running:
            return False
        self._running[request] = True
        self._exclusive = exclusive
        if len(self._running) > 1:
            self._running = dict.fromkeys(self._running, False)
        return True
