"""Liveness checks of peers."""

import asyncio
import contextlib
import time

from primroseglade.sidecar.peer_monitor import PeerMonitor


class FakeFleet:
    """Records the times as of which liveness is checked."""

    has_pending_requests = True

    def __init__(self) -> None:
        self.checked_at: list[float] = []

    def check_liveness(self, now: float) -> None:
        self.checked_at.append(now)


async def test_liveness_is_checked_although_each_check_is_late():
    """Guards against skipping late checks: on an overloaded machine each one runs 0.2 s
    late, and calls to an unreachable zone wait for their timeout of 2 s. Time in which
    this process is stalled must not count against peers.
    """
    fleet = FakeFleet()
    stalls: list[bool] = []
    monitor = PeerMonitor("a", fleet, None, stalls.append)
    task = asyncio.create_task(monitor.run_liveness_checks())
    await asyncio.sleep(0)
    for _ in range(4):
        block_started_at = time.monotonic()
        time.sleep(0.3)  # noqa: ASYNC251, blocks the event loop on purpose
        await asyncio.sleep(0.02)
        assert fleet.checked_at[-1] < block_started_at + 0.25
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    assert len(fleet.checked_at) >= 4
    assert all(stalls)
