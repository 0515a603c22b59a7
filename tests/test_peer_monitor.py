"""Looks for streams on which nothing comes any more."""

import asyncio
import contextlib
import time

from primroseglade.sidecar.peer_monitor import PeerMonitor


class FakeFleet:
    """Notes for which moments silence was looked for."""

    has_pending_calls = True

    def __init__(self) -> None:
        self.checked_at: list[float] = []

    def check_liveness(self, now: float) -> None:
        self.checked_at.append(now)


async def test_liveness_is_checked_although_each_check_is_late():
    """On a machine with too little processor each look came a fifth of a second late,
    and none was taken: calls to a zone that was cut off waited out their two seconds.
    Time in which this process stood still counts against nobody.
    """
    fleet = FakeFleet()
    stalls: list[bool] = []
    monitor = PeerMonitor("a", fleet, None, stalls.append)
    task = asyncio.create_task(monitor.run_silence_checks())
    await asyncio.sleep(0)
    for _ in range(4):
        block_started_at = time.monotonic()
        time.sleep(0.3)  # noqa: ASYNC251, the loop is to stand still
        await asyncio.sleep(0.02)
        assert fleet.checked_at[-1] < block_started_at + 0.25
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    assert len(fleet.checked_at) >= 4
    assert all(stalls)
