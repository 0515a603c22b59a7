"""Rate limits at a node whose process pauses, or whose token holders change."""

import asyncio
import time

import pytest

from primroseglade.proto import control_pb2 as pb
from primroseglade.rates.limiter import DENIAL_CACHE_SECONDS, RateLimiter
from primroseglade.rates.running_clock import RunningClock
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Reason, Refusal

from .helpers import build_document, FAST_SETTINGS

PAUSE_SECONDS = 1.2


def pause_process() -> None:
    """Stand still for longer than a call waits for a new holder."""
    time.sleep(PAUSE_SECONDS)


async def charge_at_once(limiter: RateLimiter, count: int) -> list[Reason]:
    """Charge calls at once; return the reasons of those that are refused."""
    charges = [limiter.charge("north", 5.0) for _ in range(count)]
    results = await asyncio.gather(*charges, return_exceptions=True)
    assert all(result is None or isinstance(result, Refusal) for result in results)
    return [result.reason for result in results if result is not None]


async def test_pause_of_a_node_is_not_taken_for_the_loss_of_a_holder(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against refusals as rate-unavailable after a pause of the whole process:
    the lease has lapsed, and the pause counts as time in which there was no holder.
    """
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        await fleet.publish(**build_document(("a",), per_second=2.0, burst=2.0))
        for _ in range(2):
            await fleet.add("a", "archive")
        await fleet.wait_ready()
        entry = next(n for n in fleet.nodes if not n.rates.holder.holds("north"))
        limiter = entry.rates.limiter
        # The bucket is empty from here on.
        await charge_at_once(limiter, 4)
        await asyncio.sleep(2 * DENIAL_CACHE_SECONDS)
        call = limiter._client.call

        async def call_after_pause(*arguments):
            monkeypatch.undo()
            pause_process()
            return await call(*arguments)

        monkeypatch.setattr(limiter._client, "call", call_after_pause)
        assert Reason.RATE_UNAVAILABLE not in await charge_at_once(limiter, 10)


async def test_running_clock_stands_still_during_a_pause():
    """Guards against waits for others that end because this process stood still."""
    clock = RunningClock()
    running = asyncio.create_task(clock.run())
    await asyncio.sleep(0.02)
    before = clock.read()
    pause_process()
    # Read before the clock's own task has run again.
    assert clock.read() - before < 0.2
    await asyncio.sleep(0.3)
    assert 0.2 < clock.read() - before < 0.6
    running.cancel()


async def test_denial_that_is_reused_keeps_its_reason(monkeypatch: pytest.MonkeyPatch):
    """Guards against refusals as rate-unavailable of calls that reuse a denial: another
    refill finds no holder meanwhile, as while one is replaced.
    """
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        await fleet.publish(**build_document(("a",), per_second=2.0, burst=2.0))
        await fleet.add("a", "archive")
        await fleet.wait_ready()
        node = fleet.nodes[0]
        limiter = node.rates.limiter
        assert Reason.RATE_EXCEEDED in await charge_at_once(limiter, 10)
        await asyncio.sleep(2 * DENIAL_CACHE_SECONDS)
        assert set(await charge_at_once(limiter, 10)) == {Reason.RATE_EXCEEDED}

        async def find_no_holder(request):
            return pb.GrantReply(holder=False)

        monkeypatch.setattr(node.rates.holder, "grant", find_no_holder)
        # The refill of a call that was waiting before the denial.
        await limiter._refill("north", limiter._states["north"])
        monkeypatch.undo()
        assert Reason.RATE_UNAVAILABLE not in await charge_at_once(limiter, 10)
