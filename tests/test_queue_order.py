"""Which calls wait at a backend server while many look-ups of other requests arrive."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from primroseglade.sidecar.backend_queue import BackendQueue
from primroseglade.sidecar.queue_order import compute_sort_time
from primroseglade.sidecar.request_context import RequestContext
from primroseglade.sidecar.workspace_shares import MAX_DELAY_SECONDS, WorkspaceShares
from primroseglade.verdicts import Refusal

CLAIM_RANK, HISTORY_RANK = 0, 1
LOOK_UP_TARGET, CLAIM_TARGET, DEADLINE = 0.3, 0.5, 2.0


def build_context(rank: int, seconds_left: float, workspace: int = 1) -> RequestContext:
    """Return the context of a request with some time left to its target."""
    target_at = asyncio.get_running_loop().time() + seconds_left
    return RequestContext(rank, workspace, target_at)


async def fill(queue: BackendQueue) -> list[int]:
    """Take and return all slots of a queue, after service times of 0.01 s."""
    for _ in range(queue.concurrency_limit):
        queue.release(await queue.acquire(0.1, 1.0, False), 0.01)
    return [
        await queue.acquire(0.1, 1.0, False) for _ in range(queue.concurrency_limit)
    ]


async def enqueue(
    queue: BackendQueue,
    order: list[str],
    name: str,
    context: RequestContext | None,
    target: float = LOOK_UP_TARGET,
    nested: bool = True,
    remaining_calls: int = 0,
) -> "asyncio.Task[None]":
    """Queue a call, which adds its name to ``order`` when it starts."""

    async def run() -> None:
        slot = await queue.acquire(target, DEADLINE, nested, context, remaining_calls)
        order.append(name)
        queue.release(slot, 0.01)

    task = asyncio.create_task(run())
    await asyncio.sleep(0)
    return task


async def test_a_claim_overtakes_the_look_ups_of_less_urgent_requests():
    """Guards against late answers to the most urgent requests: a claim that needs one
    call waited behind every look-up that arrived in the next 0.6 s, because look-ups
    have a shorter latency target.
    """
    queue = BackendQueue(2)
    slots = await fill(queue)
    order: list[str] = []
    tasks = [
        await enqueue(
            queue,
            order,
            f"look-up {n}",
            build_context(HISTORY_RANK, 1.0),
            remaining_calls=3,
        )
        for n in range(5)
    ]
    claim = build_context(CLAIM_RANK, CLAIM_TARGET)
    tasks.append(await enqueue(queue, order, "claim", claim, CLAIM_TARGET, False))
    queue.release(slots.pop(), 0.01)
    await asyncio.gather(*tasks)
    assert order[0] == "claim"


async def test_look_ups_do_not_fill_the_queue_for_a_claim():
    """Guards against refusing the most urgent requests because of a long queue of
    look-ups: calls of callers are refused at a shorter queue than nested ones.
    """
    queue = BackendQueue(2)
    slots = await fill(queue)
    order: list[str] = []
    look_up = build_context(HISTORY_RANK, 1.0)
    tasks = [
        await enqueue(queue, order, f"look-up {n}", look_up, remaining_calls=3)
        for n in range(4 * queue.concurrency_limit)
    ]
    claim = build_context(CLAIM_RANK, CLAIM_TARGET)
    tasks.append(await enqueue(queue, order, "claim", claim, CLAIM_TARGET, False))
    with pytest.raises(Refusal, match="queue is full"):
        await queue.acquire(CLAIM_TARGET, DEADLINE, False, build_context(2, 0.5))
    queue.release(slots.pop(), 0.01)
    await asyncio.gather(*tasks)
    assert order[0] == "claim"


async def test_a_request_near_its_end_starts_before_one_that_has_just_begun():
    """Guards against losing work that is done: the last look-up of a request starts
    before the first of four of another, and both before one that is late already.
    """
    queue = BackendQueue(2)
    slots = await fill(queue)
    order: list[str] = []
    tasks = [
        await enqueue(
            queue,
            order,
            name,
            build_context(HISTORY_RANK, seconds_left),
            remaining_calls=remaining_calls,
        )
        for name, seconds_left, remaining_calls in (
            ("late", -0.1, 3),
            ("first", 1.0, 3),
            ("last", 1.0, 0),
        )
    ]
    queue.release(slots.pop(), 0.01)
    await asyncio.gather(*tasks)
    assert order == ["last", "first", "late"]


@given(
    st.integers(0, 99),
    st.floats(-5.0, 5.0),
    st.integers(0, 100),
    st.floats(0.0, 1.0),
)
def test_no_call_waits_for_ever_behind_more_urgent_ones(
    rank: int, seconds_left: float, remaining_calls: int, target: float
):
    """Guards against starving the least urgent requests: a call of the most urgent one
    that arrives five seconds later does not overtake them, the delay of their workspace
    included.
    """
    context = RequestContext(rank, 1, 10.0 + seconds_left)
    urgent = RequestContext(0, 2, 15.0)
    sort_time = compute_sort_time(10.0, target, context, remaining_calls)
    latest_time = sort_time + MAX_DELAY_SECONDS
    assert latest_time < compute_sort_time(15.0, 0.0, urgent)


async def test_a_burst_of_one_workspace_does_not_displace_the_others():
    """Guards against a workspace at six times its usual rate that takes all slots of
    the scarce service: the calls of five others start before most of its 25, which
    arrived earlier.
    """
    queue = BackendQueue(2)
    slots = await fill(queue)
    order: list[str] = []
    tasks = []
    for workspace in [1] * 25 + [2, 3, 4, 5, 6]:
        name = "burst" if workspace == 1 else "other"
        context = build_context(HISTORY_RANK, 1.0, workspace)
        tasks.append(await enqueue(queue, order, name, context, 5.0))
    for slot in slots:
        queue.release(slot, 0.01)
    await asyncio.gather(*tasks)
    assert order[:10].count("other") == 5


def test_a_workspace_within_its_share_is_not_delayed():
    """A workspace alone is not delayed, and one of two within its share neither."""
    shares = WorkspaceShares()
    for number in range(50):
        assert shares.get_delay(1, 0.02 * number) == 0.0
        shares.record_call(1, 5.0, 0.01, 0.02 * number)
    shares = WorkspaceShares()
    for number in range(100):
        now = 0.02 * number
        for workspace in (1, 1, 2):
            delay = shares.get_delay(workspace, now)
            shares.record_call(workspace, 1.0, 0.01, now)
    assert delay == pytest.approx(0.0, abs=0.011)
    assert shares.get_delay(1, now) > 0.3


async def test_calls_that_were_refused_are_not_counted_as_ahead():
    """Guards against refusing calls because of a queue of calls that are gone: those of
    less urgent requests that expired stay in the heap for long.
    """
    queue = BackendQueue(2)
    slots = await fill(queue)
    expired = [
        asyncio.create_task(queue.acquire(0.3, 0.05, True, build_context(42, 1.0), 3))
        for _ in range(25)
    ]
    await asyncio.gather(*expired, return_exceptions=True)
    order: list[str] = []
    task = await enqueue(queue, order, "claim", build_context(52, 0.5), 0.5, False)
    assert not task.done()
    queue.release(slots.pop(), 0.01)
    await task
    assert order == ["claim"]


async def test_a_call_of_an_unknown_request_is_not_put_last():
    """Guards against starving calls that older nodes send, without a context."""
    queue = BackendQueue(2)
    slots = await fill(queue)
    order: list[str] = []
    tasks = [
        await enqueue(queue, order, "alert", build_context(42, 1.0), remaining_calls=3),
        await enqueue(queue, order, "unknown", None),
    ]
    queue.release(slots.pop(), 0.01)
    await asyncio.gather(*tasks)
    assert order[0] == "unknown"
