"""Calls that exceed their deadline, and calls that are canceled by others."""

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
    """A caller canceled just as its deadline passed. Its task must end as canceled, or
    it would write an answer to a closed connection.
    """
    task = asyncio.create_task(run_with_deadline(deadlines, 0.01, 5.0))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.sleep(0.1)
    assert task.cancelled()


async def test_ended_call_is_not_canceled(deadlines: Deadlines):
    """By the time of the deadline the task serves the next request."""
    assert await run_with_deadline(deadlines, 0.03, 0.0) == "done"
    await asyncio.sleep(0.1)
    assert not asyncio.current_task().cancelling()


async def test_deadline_and_caller_cancellation_together_end_as_canceled(
    deadlines: Deadlines,
):
    """The deadline passed and, before the task ran again, its caller canceled too."""
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
    """Idle nodes that checked their calls' deadlines twenty times a second spent more
    processor time on that than on the calls. A later call with an earlier deadline must
    still end in time.
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
    """A call hung for as long as other calls arrived: each of them had a slightly later
    deadline and rescheduled the only timer.
    """
    first_call = asyncio.create_task(run_with_deadline(deadlines, 0.2, 5.0))
    later_calls = []
    for _ in range(40):
        later_calls.append(asyncio.create_task(run_with_deadline(deadlines, 0.2, 0.0)))
        await asyncio.sleep(0.01)
    assert first_call.done()
    assert first_call.result() == "time is up"
    await asyncio.gather(*later_calls)
