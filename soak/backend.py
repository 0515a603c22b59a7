"""``python -m soak.backend``: a backend server process that reports what it executes.

It writes one JSON line to stdout for each request that it starts to execute, so that
the soak test knows what was executed whatever status the caller received. It reads JSON
lines from stdin that say what its answers are to state about it.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time

from primroseglade.sidecar.http_messages import Reply, Request
from primroseglade.stand_ins.mesh_backend import MeshBackend

# Names the instance in answers, for the checks.
INSTANCE_HEADER = "X-Soak-Instance"
# In the target of a request under which the process ends.
FATAL_MARK = b"fatal-"
FATAL_SECONDS = 0.01
PROCESSING_SECONDS_RANGE = (0.005, 0.06)
# The machine is shared: work takes longer in some intervals of this length.
SLOWDOWN_INTERVAL_SECONDS = 0.6
SLOW_INTERVAL_RATIO = 0.15
SLOWDOWN = 2.5
# Fraction of answers that state a load that cannot be true.
INVALID_LOAD_RATIO = 0.02
INVALID_LOADS = ("-1,0,8", "3,0,0,100", "1,2,3,4,5", "99999999999,0,8", "3,0,8,x")
# The backend server serves for this long after it has reported its drain.
LINGER_SECONDS = 2.5


def write_event(**fields: object) -> None:
    """Write an event to stdout as one JSON line, with the time in ``at``."""
    sys.stdout.write(json.dumps({"at": time.monotonic()} | fields) + "\n")
    sys.stdout.flush()


class SoakBackend(MeshBackend):
    """Writes an event for each execution; responds with the request id in the body."""

    async def _handle(self, request: Request) -> Reply:
        headers = {name.decode().lower(): v.decode() for name, v in request.headers}
        request_id = headers.get("x-primroseglade-request-id", "")
        if headers.get("x-primroseglade-expected-instance") == self.instance:
            write_event(
                ran=request_id,
                instance=self.instance,
                tenant=headers.get("x-primroseglade-tenant", ""),
                key_seen="authorization" in headers,
            )
        if FATAL_MARK in request.target:
            await asyncio.sleep(FATAL_SECONDS)
            os._exit(1)
        slowdown = self._get_slowdown()
        self.processing_seconds = random.uniform(*PROCESSING_SECONDS_RANGE) * slowdown
        self.load = (
            random.choice(INVALID_LOADS)
            if random.random() < INVALID_LOAD_RATIO
            else f"0,0,{self.slots},{slowdown * 100:.0f}"
        )
        reply = await super()._handle(request)
        head = reply.head + f"{INSTANCE_HEADER}: {self.instance}\r\n".encode()
        return Reply(head, f"{request_id} {'x' * 2000} end".encode())

    def _get_slowdown(self) -> float:
        """Return how long work takes in the current interval, by its number."""
        interval = int(time.monotonic() / SLOWDOWN_INTERVAL_SECONDS)
        slow = (
            random.Random(f"{self.instance} {interval}").random() < SLOW_INTERVAL_RATIO
        )
        return SLOWDOWN if slow else 1.0

    def state_limit(self, limit: float) -> None:
        """State a limit on requests from now on; 0 for none."""
        self.request_limit = f"{limit:g}" if limit else ""
        write_event(instance=self.instance, limit=limit)

    def state_leaving(self) -> None:
        """State in all answers from now on that it leaves, without a report."""
        self.leaving = "1"


async def read_commands(backend: SoakBackend) -> None:
    """Read from stdin what the answers are to state, until the end of the input."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        command = json.loads(line)
        if "limit" in command:
            backend.state_limit(command["limit"])
        elif command.get("leaving"):
            backend.state_leaving()


async def serve(backend: SoakBackend) -> None:
    """Serve until SIGTERM, then drain and deregister as the platform does."""
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    serving = asyncio.create_task(backend.run())
    reading = asyncio.create_task(read_commands(backend))
    await stop_requested.wait()
    backend.state = "draining"
    acknowledged = await backend.report_status() == 200
    write_event(draining=backend.instance, acknowledged=acknowledged)
    await asyncio.sleep(LINGER_SECONDS)
    await backend.deregister()
    serving.cancel()
    reading.cancel()


def main() -> None:
    """Run one backend server until SIGTERM."""
    parser = argparse.ArgumentParser()
    for name in ("instance", "service", "address", "reached", "control"):
        parser.add_argument(f"--{name}", required=True)
    options = parser.parse_args()
    asyncio.run(
        serve(
            SoakBackend(
                options.instance,
                options.service,
                options.address,
                options.control,
                start_time_ms=int(time.time() * 1000),
                reported_address=options.reached,
            )
        )
    )


if __name__ == "__main__":
    main()
