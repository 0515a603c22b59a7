"""The queue in front of a backend server."""

import asyncio

import pytest

from primroseglade.sidecar.backend_queue import BackendQueue
from primroseglade.verdicts import Refusal, Verdict


async def fill(queue: BackendQueue) -> None:
    """Take every slot."""
    for _ in range(queue.limit):
        await queue.acquire(0.1, 1.0, nested=False)
        queue.release(0.01)
    for _ in range(queue.limit):
        await queue.acquire(0.1, 1.0, nested=False)


async def test_a_call_whose_time_passes_is_told_that_it_did_not_run():
    """Payouts that had waited in vain were answered 504, which promises nothing, and
    their callers could not try again: the caller's node gave up a moment before the
    queue looked at them. The queue now refuses them while there is time to say so.
    """
    queue = BackendQueue(4)
    await fill(queue)
    loop = asyncio.get_running_loop()
    started = loop.time()
    with pytest.raises(Refusal) as refused:
        await queue.acquire(0.1, 0.2, nested=True)
    assert refused.value.verdict is Verdict.NOT_RUN
    assert loop.time() - started < 0.2
    assert queue.occupied == queue.limit


async def test_a_short_target_goes_first():
    """A hazard check does not wait behind look-ups that have three times its time."""
    queue = BackendQueue(2)
    await fill(queue)
    order: list[str] = []

    async def wait(name: str, target: float) -> None:
        await queue.acquire(target, 5.0, nested=True)
        order.append(name)
        queue.release(0.01)

    waits = [asyncio.create_task(wait(f"look-up {n}", 0.3)) for n in range(3)]
    await asyncio.sleep(0.05)
    waits.append(asyncio.create_task(wait("hazard", 0.1)))
    await asyncio.sleep(0.01)
    queue.release(0.01)
    await asyncio.gather(*waits)
    assert order[0] == "hazard"


async def test_callers_that_leave_give_their_place_back():
    """Whoever leaves, waiting or just let go, takes no slot with them."""
    queue = BackendQueue(4)
    await fill(queue)
    waits = [
        asyncio.create_task(queue.acquire(0.1, 5.0, nested=True)) for _ in range(6)
    ]
    await asyncio.sleep(0)
    queue.release(0.01)
    for wait in waits:
        wait.cancel()
    await asyncio.gather(*waits, return_exceptions=True)
    for _ in range(queue.limit - 1):
        queue.release(0.01)
    assert queue.occupied == 0


async def test_a_backend_server_slower_than_its_callers_wait_looks_slow():
    """Two of five backend servers became twelve times slower. All calls to them were
    given up at their timeout, none ended, and only calls that end were measured: they
    looked as fast as before and got their full share for nine seconds.
    """
    queue = BackendQueue(20)
    await queue.acquire(0.5, 5.0, nested=False)
    queue.release(0.1)
    for _ in range(32):
        await queue.acquire(0.5, 5.0, nested=False)
        queue.release(0.8, whole=False)
    assert queue.service_seconds > 0.4
    before = queue.service_seconds
    await queue.acquire(0.5, 5.0, nested=False)
    queue.release(0.01, whole=False)
    # One whose caller left early says nothing of the work.
    assert queue.service_seconds == before
