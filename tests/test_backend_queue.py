"""The queue in front of a backend server."""

import asyncio

import pytest

from primroseglade.emulator.virtual_time import run_in_virtual_time
from primroseglade.sidecar.backend_queue import BackendQueue
from primroseglade.sidecar.loop import build_loop
from primroseglade.verdicts import Reason, Refusal, Verdict


async def take_all_slots(queue: BackendQueue) -> list[int]:
    """Take and return all slots of a queue, after service times of 0.01 s."""
    for _ in range(queue.concurrency_limit):
        slot = await queue.acquire(0.1, 1.0, nested=False)
        queue.release(slot, 0.01)
    return [
        await queue.acquire(0.1, 1.0, nested=False)
        for _ in range(queue.concurrency_limit)
    ]


def test_queued_call_is_refused_as_not_run_before_its_deadline():
    """Guards against a timeout at the caller's node just before the queue refuses a
    call. The caller would get a 504, which does not say whether the call ran, and could
    not retry. The queue must refuse the call earlier, as not run.
    """

    async def run() -> None:
        queue = BackendQueue(4)
        await take_all_slots(queue)
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(Refusal) as refused:
            await queue.acquire(0.1, 0.2, nested=True)
        assert refused.value.verdict is Verdict.NOT_RUN
        assert loop.time() - started < 0.2
        assert queue.in_flight == queue.concurrency_limit

    run_in_virtual_time(run())


async def test_call_with_a_short_latency_target_goes_first():
    """A call overtakes queued calls whose latency target is three times as long."""
    queue = BackendQueue(2)
    slots = await take_all_slots(queue)
    order: list[str] = []

    async def acquire_and_release(name: str, target: float) -> None:
        slot = await queue.acquire(target, 5.0, nested=True)
        order.append(name)
        queue.release(slot, 0.01)

    tasks = [
        asyncio.create_task(acquire_and_release(f"look-up {n}", 0.3)) for n in range(3)
    ]
    await asyncio.sleep(0.05)
    tasks.append(asyncio.create_task(acquire_and_release("hazard", 0.1)))
    await asyncio.sleep(0.01)
    queue.release(slots.pop(), 0.01)
    await asyncio.gather(*tasks)
    assert order[0] == "hazard"


async def test_canceled_callers_keep_no_slot():
    """A canceled call keeps no slot, whether it is queued or has just got a slot."""
    queue = BackendQueue(4)
    slots = await take_all_slots(queue)
    tasks = [
        asyncio.create_task(queue.acquire(0.1, 5.0, nested=True)) for _ in range(6)
    ]
    await asyncio.sleep(0)
    queue.release(slots.pop(), 0.01)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for slot in slots:
        queue.release(slot, 0.01)
    assert queue.in_flight == 0


async def test_unanswered_calls_raise_the_service_time():
    """Guards against recording only the service times of answered calls. A backend
    server that becomes so slow that all calls to it time out would look as fast as
    before and get its full share of calls: with two of five twelve times slower, for
    nine seconds.
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
    # A call canceled early says nothing about the service time.
    assert queue.service_seconds == before


async def test_slots_of_lost_answers_are_reclaimed():
    """Guards against refusals while a backend server is idle. If three of ten answers
    get lost and each of these calls holds its slot until its deadline, a hundred times
    the service time, no slot is free for others.
    """
    queue = BackendQueue(4)
    slots = await take_all_slots(queue)
    waiting = asyncio.create_task(queue.acquire(0.1, 5.0, nested=True))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    # The service time is 0.01 s: after ten times that the answer counts as lost.
    queue.take_average_in_flight()
    await asyncio.sleep(0)
    assert waiting.done()
    for slot in [*slots, waiting.result()]:
        queue.release(slot, 0.5, completed=False)
    assert queue.running == 0


async def test_lost_answers_raise_the_service_time_but_not_the_slot_time():
    """Capacity is estimated from the slot time. Load balancing uses the service time,
    which includes the wait for lost answers.
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


async def test_nested_calls_are_refused_when_the_queue_exceeds_their_latency_target():
    """Guards against long waits that let the requests above fail. If a service has
    twenty calls queued per slot, as after a restart of all services, and a request
    makes four calls to it in sequence, each waits for nearly all of its 0.7 s, and the
    request exceeds its deadline of two seconds at the fourth. For six seconds hardly
    any request would succeed. A call whose expected wait is too long for its latency
    target must be refused on arrival.
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
    # Calls are accepted up to a response time of 0.3 s, their service time included.
    assert 65 <= len(refused) <= 75
    for call in refused:
        error = call.exception()
        assert isinstance(error, Refusal)
        assert error.verdict is Verdict.NOT_RUN
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)


class EndingLimit:
    """A limit on starts that ends while a call is being refused because of it."""

    reason = Reason.BACKEND_LIMITED

    def __init__(self) -> None:
        self._delays = [5.0, 5.0, 5.0]

    def describe(self) -> str:
        """Return why starts are limited."""
        return "limited"

    def get_start_delay(self, calls_ahead: int = 0) -> float:
        """Return a delay three times, and none from then on."""
        return self._delays.pop() if self._delays else 0.0


async def test_limit_that_ends_during_a_refusal_does_not_fail_the_call():
    """Guards against an error instead of a refusal: the delay is computed again for the
    reason, and has passed on a machine short of processor time.
    """
    queue = BackendQueue(4, (EndingLimit(),))
    with pytest.raises(Refusal) as refused:
        await queue.acquire(0.1, 1.0, nested=False)
    assert refused.value.verdict is Verdict.NOT_RUN


class TinyDelayLimit(EndingLimit):
    """A limit that lets the next call start in less than a millisecond."""

    def get_start_delay(self, calls_ahead: int = 0) -> float:
        """Return a delay that a timer rounds down to nothing."""
        return 0.0001


def test_tiny_delay_of_a_start_does_not_fail_calls():
    """Guards against an error instead of a wait: uvloop returns no timer for a delay of
    less than a millisecond, so that its handle has no time.
    """

    async def run() -> None:
        queue = BackendQueue(4, (TinyDelayLimit(),))
        waiting = [
            asyncio.create_task(queue.acquire(0.1, 1.0, nested=False)) for _ in range(2)
        ]
        await asyncio.sleep(0)
        assert not any(task.done() for task in waiting)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    with asyncio.Runner(loop_factory=build_loop) as runner:
        runner.run(run())
