"""Admission to a backend server: admitted, queued and refused calls, and throttling."""

import asyncio
import time

import pytest

from primroseglade.calls.call import Context
from primroseglade.limits.admission import AdmissionQueue
from primroseglade.limits.concurrency import ConcurrencyLimit
from primroseglade.limits.importance import Importance
from primroseglade.limits.throttle import Throttle
from primroseglade.observe.traces import TraceParent
from primroseglade.verdicts import Reason, Refusal, Verdict


def make_context(
    workspace: str = "north",
    importance: Importance = Importance.NORMAL,
    root: int = 1,
    seconds: float = 60.0,
) -> Context:
    trace = TraceParent(f"{root:032x}", "b" * 16, False)
    deadline = time.monotonic() + seconds
    return Context("c", trace, workspace, "k", importance, deadline, 0, 0, True)


def build_queue(slots: int = 1, capacity: int = 10, wait: float = 30.0):
    return AdmissionQueue(ConcurrencyLimit(slots, slots), capacity, wait)


async def enqueue(queue: AdmissionQueue, contexts: list[Context]) -> list[asyncio.Task]:
    """Acquire the only slot, and queue the calls in this order."""
    await queue.acquire(make_context("first"))
    tasks = []
    for context in contexts:
        tasks.append(asyncio.create_task(queue.acquire(context)))
        await asyncio.sleep(0)
    return tasks


async def serve_all(queue: AdmissionQueue, tasks: list[asyncio.Task]) -> list[int]:
    """Release the slot until the queue is empty; return the order of admission."""
    order = []
    while queue.size:
        queue.release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        order += [n for n, t in enumerate(tasks) if t.done() and n not in order]
    return order


async def test_critical_call_is_admitted_before_calls_queued_earlier():
    """An emergency dispatch must not wait behind less important calls."""
    queue = build_queue()
    contexts = [make_context() for _ in range(5)]
    contexts.append(make_context("dispatch", Importance.CRITICAL))
    tasks = await enqueue(queue, contexts)
    assert (await serve_all(queue, tasks))[0] == 5


async def test_full_queue_sheds_the_least_important_call():
    queue = build_queue(capacity=2)
    contexts = [make_context(importance=Importance.LOW, root=n) for n in (1, 2)]
    tasks = await enqueue(queue, contexts)
    critical = asyncio.create_task(
        queue.acquire(make_context("x", Importance.CRITICAL))
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    refused = [task for task in tasks if task.done()]
    assert len(refused) == 1
    assert refused[0].exception().reason is Reason.OVERLOADED
    assert refused[0].exception().verdict is Verdict.NOT_RUN
    assert not critical.done()
    with pytest.raises(Refusal):
        await queue.acquire(make_context("y", Importance.LOW, root=9))
    queue.release()
    await critical


async def test_workspaces_are_served_round_robin():
    """Guards against a workspace that sends many calls starving the others."""
    queue = build_queue()
    names = ["greedy"] * 6 + ["one", "two"]
    tasks = await enqueue(queue, [make_context(name) for name in names])
    order = [names[n] for n in await serve_all(queue, tasks)]
    assert set(order[:3]) == {"greedy", "one", "two"}


async def test_full_queue_sheds_a_call_of_the_workspace_with_most_calls():
    queue = build_queue(capacity=4)
    names = ["greedy"] * 3 + ["one"]
    tasks = await enqueue(queue, [make_context(name) for name in names])
    other = asyncio.create_task(queue.acquire(make_context("two")))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert sum(task.done() for task in tasks[:3]) == 1
    assert not tasks[3].done()
    assert not other.done()
    for task in (*tasks, other):
        task.cancel()


async def test_standing_queue_admits_calls_in_the_shedding_order_of_all_hops():
    """If each hop of a chain shed calls at random, few would pass all hops."""
    queue = build_queue(wait=0.0)
    queue._max_wait_seconds = 0.0
    contexts = [make_context(root=root) for root in (50, 10, 40, 20)]
    queue._get_max_wait = lambda _: 30.0
    tasks = await enqueue(queue, contexts)
    await asyncio.sleep(0.01)
    assert await serve_all(queue, tasks) == [1, 3, 2, 0]


async def test_call_past_its_deadline_is_refused_as_not_run():
    queue = build_queue()
    tasks = await enqueue(queue, [make_context(seconds=0.05)])
    with pytest.raises(Refusal) as caught:
        await tasks[0]
    assert caught.value.verdict is Verdict.NOT_RUN
    assert queue.size == 0
    with pytest.raises(Refusal):
        await queue.acquire(make_context(seconds=-1))


async def test_refusal_of_a_full_queue_has_retry_after():
    queue = build_queue(capacity=1)
    await enqueue(queue, [make_context("a")])
    with pytest.raises(Refusal) as caught:
        await queue.acquire(make_context("a", root=99))
    assert 0.1 <= caught.value.retry_after <= 10


async def test_slot_goes_to_the_next_call_if_a_queued_caller_disconnects():
    queue = build_queue()
    tasks = await enqueue(queue, [make_context(), make_context()])
    tasks[0].cancel()
    await asyncio.sleep(0)
    queue.release()
    await tasks[1]
    assert queue.in_flight == 1


async def test_slot_assigned_to_a_disconnecting_caller_is_released():
    """The caller disconnects after its call got the slot, but before it continues."""
    queue = build_queue()
    tasks = await enqueue(queue, [make_context(), make_context()])
    queue.release()
    tasks[0].cancel()
    await asyncio.gather(tasks[0], return_exceptions=True)
    await tasks[1]
    assert queue.in_flight == 1


def test_limit_drops_on_shed_calls_and_never_exceeds_announced_slots():
    limit = ConcurrencyLimit(20, max_limit=10)
    for second in range(100):
        limit.record_served(0.01, in_flight=limit.value, now=float(second))
    assert limit.value == 10
    limit.record_shed(now=200.0)
    limit.record_shed(now=200.01)
    assert limit.value == 9
    for second in range(1000):
        limit.record_shed(now=300.0 + second)
    assert limit.value == 1


def test_limit_without_announced_slots_follows_latency():
    """A backend server with 5 slots announces none; more calls queue inside it."""
    limit = ConcurrencyLimit(4)
    for step in range(2000):
        in_flight = limit.value
        seconds = 0.01 * max(1.0, in_flight / 5)
        limit.record_served(seconds, in_flight, step * 0.1)
    assert 4 <= limit.value <= 14


def test_throttle_admits_probes_while_no_call_is_accepted():
    """All calls are shed for a minute; after that, calls must be admitted again."""
    now = 0.0
    throttle = Throttle(lambda: now)
    admitted = 0
    for step in range(6000):
        now = step * 0.01
        context = make_context(root=step * 2654435761 % 2**32)
        if throttle.admits("s", context):
            admitted += 1
            throttle.record_shed("s", context)
    assert 50 < admitted < 600
    for step in range(6000, 6300):
        now = step * 0.01
        context = make_context(root=step * 2654435761 % 2**32)
        if throttle.admits("s", context):
            throttle.record_accepted("s", context)
    assert throttle.get_admitted_fraction("s", "north", Importance.NORMAL) == 1.0


def test_calls_in_flight_do_not_count_as_shed():
    """A slow service has twenty calls in flight and sheds none."""
    throttle = Throttle(lambda: 0.0)
    contexts = [make_context(root=(1 << 32) - 1 - n) for n in range(20)]
    for context in contexts:
        throttle.record_accepted("s", context)
    assert all(throttle.admits("s", context) for context in contexts * 5)


def test_throttle_refuses_calls_in_the_shedding_order_of_all_hops():
    throttle = Throttle(lambda: 0.0)
    for _ in range(75):
        throttle.record_shed("s", make_context())
    for _ in range(25):
        throttle.record_accepted("s", make_context())
    low, high = make_context(root=1 << 20), make_context(root=(1 << 32) - 1)
    assert throttle.admits("s", low)
    assert not throttle.admits("s", high)
    assert throttle.admits("s", make_context("other", root=(1 << 32) - 1))
