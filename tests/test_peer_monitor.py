"""Looks for streams on which nothing comes any more."""

import asyncio
import contextlib
import time

from primroseglade.sidecar.peer_monitor import PeerMonitor


class FakeFleet:
    """Notes for which moments silence was looked for."""

    has_pending_calls = True

    def __init__(self) -> None:
        self.looked_at: list[float] = []

    def check_silence(self, now: float) -> None:
        self.looked_at.append(now)


async def test_a_node_that_is_always_late_still_looks_for_silence():
    """On a machine with too little processor each look came a fifth of a second late,
    and none was taken: calls to a zone that was cut off waited out their two seconds.
    Time in which this process stood still counts against nobody.
    """
    fleet = FakeFleet()
    late: list[bool] = []
    monitor = PeerMonitor("a", fleet, None, late.append)
    running = asyncio.create_task(monitor.run_silence_checks())
    await asyncio.sleep(0)
    for _ in range(4):
        asked = time.monotonic()
        time.sleep(0.3)  # noqa: ASYNC251, the loop is to stand still
        await asyncio.sleep(0.02)
        assert fleet.looked_at[-1] < asked + 0.25
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    assert len(fleet.looked_at) >= 4
    assert all(late)
