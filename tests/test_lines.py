"""Logging must never block the process."""

import asyncio
import json
import os

from primroseglade.observe.events import CALL_REFUSED, Journal, LINES_DROPPED
from primroseglade.observe.lines import (
    LineHandler,
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_SECOND,
)


async def test_stopped_log_reader_does_not_block_the_node():
    """Nodes hung when their log collector stopped reading: the pipe of standard output
    was full, and each write blocked. Lines are dropped and counted instead.
    """
    read_end, write_end = os.pipe()
    handler = LineHandler(write_end)
    journal = Journal("node-1", "debug")
    with handler.applicationbound():
        for number in range(5000):
            journal.emit(CALL_REFUSED, request=f"r{number}", text_of_it="x" * 500)
    await asyncio.sleep(0.2)
    assert len(handler._buffer) < 2 * MAX_BUFFERED_BYTES
    os.close(read_end)
    os.close(write_end)


async def test_lines_over_the_rate_limit_are_counted(monkeypatch):
    """Lines dropped in one second are reported in the next."""
    read_end, write_end = os.pipe()
    handler = LineHandler(write_end)
    journal = Journal("node-1", "debug")
    clock = [100.0]
    monkeypatch.setattr("primroseglade.observe.events.time.time", lambda: clock[0])
    with handler.applicationbound():
        for number in range(MAX_LINES_PER_SECOND + 7):
            journal.emit(CALL_REFUSED, request=f"r{number}")
        clock[0] = 101.0
        journal.emit(CALL_REFUSED, request="last")
    handler.flush()
    lines = [json.loads(line) for line in os.read(read_end, 1 << 20).splitlines()]
    counted = [line for line in lines if line["event"] == LINES_DROPPED.number]
    assert [line["counts"] for line in counted] == [{str(CALL_REFUSED.number): 7}]
    assert lines[-1]["request"] == "last"
    os.close(read_end)
    os.close(write_end)
