"""The scheduler of a node's periodic tasks."""

import random

import pytest

from primroseglade.sidecar.periodic_scheduler import PeriodicScheduler, TICK_SECONDS


def test_tasks_run_in_order_at_their_intervals():
    """A broadcast must send the load that was measured in the same tick."""
    scheduler = PeriodicScheduler(random.Random(1))
    done: list[str] = []
    scheduler.add(lambda _: done.append("look"))
    scheduler.add(lambda _: done.append("tell"), 2 * TICK_SECONDS)
    for tick in range(4):
        scheduler.tick(tick * TICK_SECONDS)
    assert done == ["look", "look", "tell", "look", "look", "tell"]


def test_a_failing_task_does_not_stop_the_others():
    """Guards against a failing log task that stops a node's state broadcasts, so that
    all other nodes take it for idle.
    """
    scheduler = PeriodicScheduler(random.Random(1))
    done: list[float] = []

    def fail(now: float) -> None:
        raise ValueError("broken")

    scheduler.add(fail)
    scheduler.add(done.append)
    with pytest.raises(ValueError, match="broken"):
        scheduler.tick(1.0)
    with pytest.raises(ValueError, match="broken"):
        scheduler.tick(2.0)
    assert done == [1.0, 2.0]
