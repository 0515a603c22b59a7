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

from primroseglade.sidecar.http_messages import render_status_line, Reply, Request
from primroseglade.stand_ins.mesh_backend import MeshBackend

# Names the start of the instance in answers, for the checks.
LIFETIME_HEADER = "X-Soak-Lifetime"
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
# The backend server serves for this long after its drain was acknowledged. A report
# that it sent before arrives meanwhile.
LINGER_SECONDS = 5.0
MAX_REPORT_DELAY_SECONDS = 3.0
# In the target of a request that is answered with a large body.
LARGE_MARK = b"large-"
LARGE_BODY_BYTES = 750_000
# While it spoils answers: fractions of requests that it rejects, that fail, and of
# answers that it spoils.
REJECTED_RATIO = 0.1
FAILED_RATIO = 0.2
SPOILED_RATIO = 0.2
BODY_BYTES = 2000
NOT_EXECUTED = "X-Primroseglade-Not-Executed"
SEAL = "X-Primroseglade-Upstream-Seal"
# More than any sound head.
LONG_HEAD_BYTES = 300_000


def write_event(**fields: object) -> None:
    """Write an event to stdout as one JSON line, with the time in ``at``."""
    sys.stdout.write(json.dumps({"at": time.monotonic()} | fields) + "\n")
    sys.stdout.flush()


def build_body(request_id: str, size: int = BODY_BYTES) -> bytes:
    """Return the body of a successful answer."""
    return f"{request_id} {'x' * size} end".encode()


def build_head(status: int, request_id: str, name: str, value: str) -> bytes:
    """Return the head of an answer that is no success, with one further header."""
    lines = f"X-Primroseglade-Request-Id: {request_id}\r\n{name}: {value}\r\n"
    return render_status_line(status) + lines.encode()


def render(reply: Reply) -> bytes:
    """Return the bytes of an answer."""
    return reply.head + b"Content-Length: %d\r\n\r\n" % len(reply.body) + reply.body


def spoil(reply: Reply, previous: bytes) -> Reply:
    """Return an answer with bytes that belong to no request, or a part of one.

    Args:
        reply: The answer.
        previous: An answer to an earlier request.
    """
    answer = render(reply)
    # Most of the bytes are those of the body.
    cut = random.randrange(1, random.choice((len(reply.head), len(answer))))
    long_head = render_status_line(200) + b"X-Long: " + b"x" * LONG_HEAD_BYTES
    spoiled = random.choice(
        (
            answer + answer[:cut],
            answer + answer,
            previous + answer,
            previous[: random.randrange(len(previous))] + answer,
            answer + b"\r\n" * 3 + b"HTTP/1.1 103 Early",
            answer + random.randbytes(30),
            answer[:cut],
            long_head,
        )
    )
    closes = spoiled is not long_head and random.random() < 0.2
    return Reply(spoiled, b"", close=closes, framed=False)


class SoakBackend(MeshBackend):
    """Writes an event for each execution; responds with the request id in the body.

    Attributes:
        spoiling: Whether it rejects and fails some requests, and spoils some answers.
    """

    spoiling = False
    _previous = b"HTTP/1.1 200 OK\r\n\r\n"

    @property
    def lifetime(self) -> str:
        """Names this start of the instance."""
        return f"{self.instance}/{self.start_time_ms}"

    async def _handle(self, request: Request) -> Reply:
        headers = {name.decode().lower(): v.decode() for name, v in request.headers}
        request_id = headers.get("x-primroseglade-request-id", "")
        rejects = fails = False
        if self.spoiling and request_id:
            rejects = random.random() < REJECTED_RATIO
            fails = random.random() < FAILED_RATIO
        is_addressed = headers.get("x-primroseglade-expected-instance") == self.instance
        if is_addressed and not rejects:
            write_event(
                ran=request_id,
                instance=self.instance,
                lifetime=self.lifetime,
                failed=fails,
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
        if rejects and is_addressed:
            reply = Reply(build_head(503, request_id, NOT_EXECUTED, "1"), b"")
        else:
            reply = await super()._handle(request)
            if is_addressed:
                reply = self._build_answer(request, request_id, reply, fails)
        previous, self._previous = self._previous, render(reply)
        if self.spoiling and random.random() < SPOILED_RATIO:
            return spoil(reply, previous)
        return reply

    def _build_answer(
        self, request: Request, request_id: str, reply: Reply, fails: bool
    ) -> Reply:
        if fails:
            head = build_head(500, request_id, SEAL, request_id)
            return Reply(head, f"{request_id} failed".encode())
        head = reply.head.replace(b"Seal: s1", f"Seal: {request_id}".encode())
        head += f"{LIFETIME_HEADER}: {self.lifetime}\r\n".encode()
        size = LARGE_BODY_BYTES if LARGE_MARK in request.target else BODY_BYTES
        return Reply(head, build_body(request_id, size))

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
        write_event(lifetime=self.lifetime, limit=limit)

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
        elif "spoiling" in command:
            backend.spoiling = command["spoiling"]
        elif command.get("leaving"):
            backend.state_leaving()


async def serve(backend: SoakBackend, leaves_first: bool) -> None:
    """Serve until SIGTERM, then leave as the platform's backend servers do.

    Args:
        backend: The backend server.
        leaves_first: Whether it deregisters at once, without reporting its drain.
    """
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    serving = asyncio.create_task(backend.run())
    reading = asyncio.create_task(read_commands(backend))
    await stop_requested.wait()
    late_report = backend.build_report()
    backend.state = "draining"
    backend.reporting = not leaves_first
    status = await (backend.deregister() if leaves_first else backend.report_status())
    write_event(draining=backend.lifetime, acknowledged=status == 200)
    delay = random.uniform(0.0, MAX_REPORT_DELAY_SECONDS)
    await asyncio.sleep(delay)
    await backend.send_control_request("PUT", late_report)
    await asyncio.sleep(LINGER_SECONDS - delay)
    if not leaves_first:
        await backend.deregister()
    serving.cancel()
    reading.cancel()


def main() -> None:
    """Run one backend server until SIGTERM."""
    parser = argparse.ArgumentParser()
    for name in ("instance", "service", "address", "reached", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--leaves-first", action="store_true")
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
            ),
            options.leaves_first,
        )
    )


if __name__ == "__main__":
    main()
