"""The queue in front of a backend server."""

import asyncio

import pytest

from primroseglade.sidecar.backend_queue import BackendQueue
from primroseglade.verdicts import Refusal, Verdict


async def fill(queue: BackendQueue) -> list[int]:
    """Take every slot, and return the turns."""
    for _ in range(queue.concurrency_limit):
        slot = await queue.acquire(0.1, 1.0, nested=False)
        queue.release(slot, 0.01)
    return [
        await queue.acquire(0.1, 1.0, nested=False)
        for _ in range(queue.concurrency_limit)
    ]


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
    assert queue.in_flight == queue.concurrency_limit


async def test_a_short_target_goes_first():
    """A hazard check does not wait behind look-ups that have three times its time."""
    queue = BackendQueue(2)
    turns = await fill(queue)
    order: list[str] = []

    async def wait(name: str, target: float) -> None:
        slot = await queue.acquire(target, 5.0, nested=True)
        order.append(name)
        queue.release(slot, 0.01)

    waits = [asyncio.create_task(wait(f"look-up {n}", 0.3)) for n in range(3)]
    await asyncio.sleep(0.05)
    waits.append(asyncio.create_task(wait("hazard", 0.1)))
    await asyncio.sleep(0.01)
    queue.release(turns.pop(), 0.01)
    await asyncio.gather(*waits)
    assert order[0] == "hazard"


async def test_callers_that_leave_give_their_place_back():
    """Whoever leaves, waiting or just let go, takes no slot with them."""
    queue = BackendQueue(4)
    turns = await fill(queue)
    waits = [
        asyncio.create_task(queue.acquire(0.1, 5.0, nested=True)) for _ in range(6)
    ]
    await asyncio.sleep(0)
    queue.release(turns.pop(), 0.01)
    for wait in waits:
        wait.cancel()
    await asyncio.gather(*waits, return_exceptions=True)
    for slot in turns:
        queue.release(slot, 0.01)
    assert queue.in_flight == 0


async def test_a_backend_server_slower_than_its_callers_wait_looks_slow():
    """Two of five backend servers became twelve times slower. All calls to them were
    given up at their timeout, none ended, and only calls that end were measured: they
    looked as fast as before and got their full share for nine seconds.
    """
    queue = BackendQueue(20)
    slot = await queue.acquire(0.5, 5.0, nested=False)
    queue.release(slot, 0.1)
    for _ in range(32):
        slot = await queue.acquire(0.5, 5.0, nested=False)
        queue.release(slot, 0.8, completed=False)
    assert queue.service_seconds > 0.4
    before = queue.service_seconds
    slot = await queue.acquire(0.5, 5.0, nested=False)
    queue.release(slot, 0.01, completed=False)
    # One whose caller left early says nothing of the work.
    assert queue.service_seconds == before


async def test_calls_whose_answers_are_lost_do_not_keep_others_out():
    """Three of ten answers of a backend server got lost, and each of these calls held a
    slot until its caller's time was up, a hundred times as long as the work. Callers
    were refused while the backend server stood idle.
    """
    queue = BackendQueue(4)
    turns = await fill(queue)
    waiting = asyncio.create_task(queue.acquire(0.1, 5.0, nested=True))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    # The work takes 0.01 s: ten times that is a lost answer.
    queue.take_average_in_flight()
    await asyncio.sleep(0)
    assert waiting.done()
    for slot in [*turns, waiting.result()]:
        queue.release(slot, 0.5, completed=False)
    assert queue.running == 0


async def test_lost_answers_count_as_slow_but_not_as_occupation():
    """What a slot is held for tells what a service can do; what callers wait for tells
    whether to choose it.
    """
    queue = BackendQueue(20)
    for number in range(200):
        slot = await queue.acquire(0.1, 5.0, nested=False)
        if number % 10 < 3:
            queue.release(slot, 0.7, completed=False)
        else:
            queue.release(slot, 0.01)
    assert queue.slot_seconds < 0.03
    assert queue.service_seconds > 0.1


async def test_look_ups_of_one_page_do_not_wait_for_all_of_their_time():
    """After a restart of everything a timetable had twenty calls waiting for each slot,
    and for six seconds hardly a page was served. Each page looks four times into it,
    one after the other; each look-up waited for nearly all of its 0.7 s, and pages with
    two seconds ended at the fourth. Whoever comes when the wait is too long for its
    target hears so at once.
    """
    queue = BackendQueue(16)
    slot = await queue.acquire(0.3, 0.7, nested=True)
    queue.release(slot, 0.1)
    for _ in range(queue.concurrency_limit):
        await queue.acquire(0.3, 0.7, nested=True)
    calls = [
        asyncio.create_task(queue.acquire(0.3, 0.7, nested=True)) for _ in range(100)
    ]
    await asyncio.sleep(0)
    refused = [call for call in calls if call.done()]
    # A third of a second of work for all slots, with the call's own.
    assert 65 <= len(refused) <= 75
    for call in refused:
        error = call.exception()
        assert isinstance(error, Refusal)
        assert error.verdict is Verdict.NOT_RUN
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
