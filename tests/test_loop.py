"""The event loop of the platform's node."""

import subprocess
import sys

# Runs in a separate process: the library reads its variable once, at its first loop.
PROGRAM = """
import asyncio, os
from primroseglade.sidecar.loop import build_loop

async def serve():
    await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    await asyncio.sleep(0.05)
    for number in os.listdir("/proc/self/fd"):
        try:
            print(os.readlink(f"/proc/self/fd/{number}"))
        except FileNotFoundError:
            pass

with asyncio.Runner(loop_factory=build_loop) as runner:
    runner.run(serve())
"""


def test_the_loop_opens_no_io_uring_ring():
    """Guards against a version of uvloop that opens a ring despite its variable, for
    instances have no io_uring. Only an open descriptor shows the ring.
    """
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    assert "eventpoll" in done.stdout
    assert "io_uring" not in done.stdout
