"""When nodes ask the platform's store how new their configuration is."""

import random

import pytest

from primroseglade.sidecar.read_schedule import (
    MAX_NON_READER_PAUSE_SECONDS,
    PROPAGATION_SECONDS,
    ReadSchedule,
)


def build_schedule(rank: int | None, apply_seconds: float = 2.0) -> ReadSchedule:
    """Return the schedule of a reader, or of a node that is none."""
    schedule = ReadSchedule(apply_seconds, random.Random(1))
    schedule.set_reader_rank(rank)
    return schedule


@pytest.mark.parametrize("apply_seconds", [1.0, 2.0, 3.0])
def test_nodes_that_are_told_never_ask_the_store(apply_seconds: float):
    """Guards against a call to the store by each node although readers answer."""
    first = build_schedule(0, apply_seconds).age
    if apply_seconds >= 2.0:
        nodes = [build_schedule(None, apply_seconds).age for _ in range(20)]
        assert first + PROPAGATION_SECONDS <= min(nodes)
    assert all(first + 0.35 < build_schedule(n, apply_seconds).age for n in range(1, 6))


@pytest.mark.parametrize("apply_seconds", [2.0, 3.0])
def test_a_node_that_nobody_tells_is_in_time(apply_seconds: float):
    """Guards against a configuration that comes into force too late where a node hears
    nothing: it asks the store before the time is over.
    """
    for _ in range(50):
        assert build_schedule(None, apply_seconds).age <= 0.93 * apply_seconds


def test_a_store_that_fails_is_asked_less_and_less():
    """Guards against five calls a second of every node while the store is down."""
    schedule = build_schedule(None)
    pauses = [schedule.record_failure() for _ in range(10)]
    assert sum(pauses) > 12.0
    assert max(pauses) <= MAX_NON_READER_PAUSE_SECONDS
    schedule.record_success()
    assert schedule.record_failure() < 0.25


def test_two_readers_wait_in_the_store_for_news():
    """Guards against a call of each zone's reader for each version."""
    assert [build_schedule(rank).long_polls for rank in (0, 1, 2, None)] == [
        True,
        True,
        False,
        False,
    ]
