"""When nodes read the platform's store to confirm their policy."""

import random

import pytest

from primroseglade.sidecar.read_schedule import (
    MAX_NON_READER_BACKOFF_SECONDS,
    MAX_PROPAGATION_SECONDS,
    ReadSchedule,
)


def build_schedule(rank: int | None, apply_seconds: float = 2.0) -> ReadSchedule:
    """Return the schedule of a reader, or of another node if the rank is None."""
    schedule = ReadSchedule(apply_seconds, random.Random(1))
    schedule.set_reader_rank(rank)
    return schedule


@pytest.mark.parametrize("apply_seconds", [1.0, 2.0, 3.0])
def test_nodes_never_read_the_store_while_readers_answer(apply_seconds: float):
    """Guards against reads by every node although the readers confirm the policy."""
    first_reader_age = build_schedule(0, apply_seconds).read_due_age_seconds
    if apply_seconds >= 2.0:
        node_read_ages = [
            build_schedule(None, apply_seconds).read_due_age_seconds for _ in range(20)
        ]
        assert first_reader_age + MAX_PROPAGATION_SECONDS <= min(node_read_ages)
    assert all(
        first_reader_age + 0.35 < build_schedule(n, apply_seconds).read_due_age_seconds
        for n in range(1, 6)
    )


@pytest.mark.parametrize("apply_seconds", [2.0, 3.0])
def test_a_node_without_updates_reads_the_store_in_time(apply_seconds: float):
    """Guards against a policy that becomes active too late at a node that no peer
    updates: the node must read the store before the time allowed has passed.
    """
    for _ in range(50):
        assert (
            build_schedule(None, apply_seconds).read_due_age_seconds
            <= 0.93 * apply_seconds
        )


def test_reads_of_a_failing_store_back_off():
    """Guards against five calls a second by every node while the store is down."""
    schedule = build_schedule(None)
    backoffs = [schedule.record_failure() for _ in range(10)]
    assert sum(backoffs) > 12.0
    assert max(backoffs) <= MAX_NON_READER_BACKOFF_SECONDS
    schedule.record_success()
    assert schedule.record_failure() < 0.25


def test_only_two_readers_use_long_polling():
    """Guards against one long poll per zone for each version of the policy."""
    assert [build_schedule(rank).uses_long_polling for rank in (0, 1, 2, None)] == [
        True,
        True,
        False,
        False,
    ]
