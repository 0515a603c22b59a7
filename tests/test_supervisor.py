"""The supervisor: failed children are restarted, and all can be ended."""

import asyncio

import pytest

from primroseglade import supervisor
from primroseglade.observe.events import Journal
from primroseglade.supervisor import Supervisor


async def test_child_that_swallows_a_cancellation_is_still_ended():
    """A child is cancelled in the moment in which it gets what it waited for.

    The cancellation is lost and the child goes on. A stop that waits for it would hang
    until the process is killed.
    """
    swallowed = []

    async def work() -> None:
        while True:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                if swallowed:
                    raise
                swallowed.append(True)

    tree = Supervisor("test", Journal("a", "error"))
    tree.start("stubborn", work)
    await asyncio.sleep(0)
    async with asyncio.timeout(10):
        await tree.close()
    assert swallowed
    assert tree.children == []


async def test_failed_child_is_restarted(monkeypatch):
    monkeypatch.setattr(supervisor, "MIN_RESTART_DELAY_SECONDS", 0.001)
    done = asyncio.Event()
    runs = []

    async def work() -> None:
        runs.append(True)
        if len(runs) < 3:
            raise ValueError("no luck")
        done.set()

    journal = Journal("a", "error")
    tree = Supervisor("test", journal)
    tree.start("unlucky", work)
    async with asyncio.timeout(10):
        await done.wait()
    assert [entry["event"] for entry in journal.recent] == [110, 110]


async def test_child_that_always_fails_makes_wait_failed_raise(monkeypatch):
    monkeypatch.setattr(supervisor, "MAX_RESTART_DELAY_SECONDS", 0.001)

    async def work() -> None:
        raise ValueError("never")

    tree = Supervisor("test", Journal("a", "error"))
    tree.start("hopeless", work)
    async with asyncio.timeout(10):
        with pytest.raises(ExceptionGroup):
            await tree.wait_failed()
