"""Runs a case and turns its result into an exit status."""

import argparse
import asyncio
import pathlib
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from .deployment import CannotRunError, Record

HELD_STATUS = 0
BROKEN_STATUS = 1
CANNOT_RUN_STATUS = 2
MAX_SECONDS = 110.0

# Plays the case; returns the breaches of the rule that it saw.
Case = Callable[[Record, bool], Awaitable[list[str]]]


def main(case: Case, folder: pathlib.Path) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 otherwise.

    Args:
        case: The case; receives the record, and whether to disturb.
        folder: Folder that receives ``record.txt``.
    """
    record = Record(folder / "record.txt")
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", default="1", help="0: without the disruption")
    disturb = parser.parse_args().trouble != "0"
    record.write(f"disruption: {'on' if disturb else 'off'}")

    async def play() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # So that no node is left behind.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(MAX_SECONDS):
            return await case(record, disturb)

    try:
        breaches = asyncio.run(play())
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(CANNOT_RUN_STATUS)
    except (Exception, asyncio.CancelledError):
        record.write(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
        sys.exit(CANNOT_RUN_STATUS)
    for breach in breaches:
        record.write(f"BROKEN {breach}")
        print(f"BROKEN {breach}")
    record.write("broken" if breaches else "held")
    print("broken" if breaches else "held")
    sys.exit(BROKEN_STATUS if breaches else HELD_STATUS)
