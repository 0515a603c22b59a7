"""The periodic duties of a node."""

import random

import pytest

from primroseglade.sidecar.periodic_scheduler import PeriodicScheduler, STEP_SECONDS


def test_duties_run_in_their_order_as_often_as_asked():
    """What is told is what was looked at in the same step."""
    scheduler = PeriodicScheduler(random.Random(1))
    done: list[str] = []
    scheduler.add(lambda _: done.append("look"))
    scheduler.add(lambda _: done.append("tell"), 2 * STEP_SECONDS)
    for step in range(4):
        scheduler.step(step * STEP_SECONDS)
    assert done == ["look", "look", "tell", "look", "look", "tell"]


def test_a_duty_that_fails_keeps_no_other_from_its_work():
    """A fault in what is told of bytes must not stop a node from telling its state,
    after which all others would take it for idle.
    """
    scheduler = PeriodicScheduler(random.Random(1))
    done: list[float] = []

    def fail(now: float) -> None:
        raise ValueError("broken")

    scheduler.add(fail)
    scheduler.add(done.append)
    with pytest.raises(ValueError, match="broken"):
        scheduler.step(1.0)
    with pytest.raises(ValueError, match="broken"):
        scheduler.step(2.0)
    assert done == [1.0, 2.0]
