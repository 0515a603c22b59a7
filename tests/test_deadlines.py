"""Calls whose time is up, and calls that somebody else cancels."""

import asyncio

import pytest

from primroseglade.sidecar.deadlines import Deadlines


async def run_with_deadline(deadlines: Deadlines, seconds: float, work: float) -> str:
    """Work for some time under a deadline and return how it ended."""
    deadline = deadlines.start(asyncio.get_running_loop().time() + seconds)
    try:
        await asyncio.sleep(work)
    except asyncio.CancelledError:
        if not deadline.caused_cancellation():
            raise
        return "time is up"
    finally:
        deadlines.end(deadline)
    return "done"


@pytest.fixture
async def deadlines():
    """Deadlines that are looked at."""
    deadlines = Deadlines()
    yield deadlines
    deadlines.close()


async def test_call_is_canceled_at_its_deadline(deadlines: Deadlines):
    """It ends within a sweep of its time, and its task goes on."""
    async with asyncio.timeout(1.0):
        assert await run_with_deadline(deadlines, 0.05, 5.0) == "time is up"
        assert await run_with_deadline(deadlines, 0.5, 0.01) == "done"
    assert not asyncio.current_task().cancelling()


async def test_cancellation_by_the_caller_is_not_a_timeout(deadlines: Deadlines):
    """A caller left in the moment in which its time was up. Its task must end as
    cancelled, or it would write an answer to a connection that is gone.
    """
    task = asyncio.create_task(run_with_deadline(deadlines, 0.01, 5.0))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.sleep(0.1)
    assert task.cancelled()


async def test_ended_call_is_not_canceled(deadlines: Deadlines):
    """The task serves the next request by then."""
    assert await run_with_deadline(deadlines, 0.03, 0.0) == "done"
    await asyncio.sleep(0.1)
    assert not asyncio.current_task().cancelling()


async def test_deadline_and_caller_cancellation_together_end_as_canceled(
    deadlines: Deadlines,
):
    """The deadline passed and, before the task ran, its caller left too."""
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
    """A fleet of idle nodes that looked at their calls twenty times a second spent
    more on that than on the calls. A later call with less time still ends in time.
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
    """A call hung for as long as others came: each of them, with a deadline a moment
    later, set the one timer anew.
    """
    first_call = asyncio.create_task(run_with_deadline(deadlines, 0.2, 5.0))
    later_calls = []
    for _ in range(40):
        later_calls.append(asyncio.create_task(run_with_deadline(deadlines, 0.2, 0.0)))
        await asyncio.sleep(0.01)
    assert first_call.done()
    assert first_call.result() == "time is up"
    await asyncio.gather(*later_calls)
