"""Calls that exceed their deadline, and calls that their callers cancel."""

import asyncio

import pytest

from primroseglade.sidecar.deadlines import Deadlines


async def run_with_deadline(deadlines: Deadlines, seconds: float, work: float) -> str:
    """Sleep for `work` seconds with a deadline after `seconds`; return how it ended."""
    deadline = deadlines.start(asyncio.get_running_loop().time() + seconds)
    try:
        await asyncio.sleep(work)
    except asyncio.CancelledError:
        if not deadline.take_back_cancellation():
            raise
        return "time is up"
    finally:
        deadlines.end(deadline)
    return "done"


@pytest.fixture
async def deadlines():
    """Return deadlines that are closed after the test."""
    deadlines = Deadlines()
    yield deadlines
    deadlines.close()


async def test_call_is_canceled_at_its_deadline(deadlines: Deadlines):
    """The call ends soon after its deadline, and its task goes on."""
    async with asyncio.timeout(1.0):
        assert await run_with_deadline(deadlines, 0.05, 5.0) == "time is up"
        assert await run_with_deadline(deadlines, 0.5, 0.01) == "done"
    assert not asyncio.current_task().cancelling()


async def test_cancellation_by_the_caller_is_not_a_timeout(deadlines: Deadlines):
    """If the caller cancels a call just as its deadline passes, the task must end as
    canceled. Otherwise it would write an answer to a closed connection.
    """
    task = asyncio.create_task(run_with_deadline(deadlines, 0.01, 5.0))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.sleep(0.1)
    assert task.cancelled()


async def test_ended_call_is_not_canceled(deadlines: Deadlines):
    """The task is not canceled at the deadline of a call that has ended, because it
    then serves the next request.
    """
    assert await run_with_deadline(deadlines, 0.03, 0.0) == "done"
    await asyncio.sleep(0.1)
    assert not asyncio.current_task().cancelling()


async def test_deadline_and_caller_cancellation_together_end_as_canceled(
    deadlines: Deadlines,
):
    """The deadline passes and, before the task runs again, the caller cancels too."""
    task = asyncio.create_task(run_with_deadline(deadlines, 5.0, 5.0))
    await asyncio.sleep(0)
    (deadline,) = deadlines._active
    deadline.expired = True
    task.cancel()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


async def test_calls_that_end_in_time_cause_no_sweep(
    deadlines: Deadlines, monkeypatch: pytest.MonkeyPatch
):
    """Guards against checking deadlines at a fixed interval. At twenty times a second,
    a nearly idle node would spend more processor time on the checks than on its calls.
    A later call with an earlier deadline must still end in time.
    """
    sweeps = 0
    sweep = Deadlines._sweep

    def count_sweep(self: Deadlines) -> None:
        nonlocal sweeps
        sweeps += 1
        sweep(self)

    monkeypatch.setattr(Deadlines, "_sweep", count_sweep)
    await asyncio.gather(*[run_with_deadline(deadlines, 5.0, 0.3) for _ in range(20)])
    assert sweeps == 0
    async with asyncio.timeout(0.5):
        assert await run_with_deadline(deadlines, 0.05, 5.0) == "time is up"
    assert sweeps == 1


async def test_later_calls_do_not_postpone_an_earlier_deadline(
    deadlines: Deadlines,
):
    """Guards against rescheduling the only timer for each new call. As its deadline is
    slightly later, an earlier call would hang for as long as others arrive.
    """
    first_call = asyncio.create_task(run_with_deadline(deadlines, 0.2, 5.0))
    later_calls = []
    for _ in range(40):
        later_calls.append(asyncio.create_task(run_with_deadline(deadlines, 0.2, 0.0)))
        await asyncio.sleep(0.01)
    assert first_call.done()
    assert first_call.result() == "time is up"
    await asyncio.gather(*later_calls)
