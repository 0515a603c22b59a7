"""An emulated backend server: slots, a queue, a warm-up, and calls of its own."""

import asyncio
import collections
import math
import random
import time
from collections.abc import Awaitable, Callable

from ..sidecar.client_connection import ExchangeError, Response
from ..sidecar.frames import Call
from .deployment import DownstreamCalls, EmulatedRoute, EmulatedService

# Status of an answer, and whether the run was refused before it began.
REFUSED_STATUS = 503
ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
# A cold backend server crashes at this multiple of the rate that it tolerates, plus the
# slack, within a second.
COLD_CRASH_RATIO = 1.5
COLD_CRASH_SLACK = 8.0
RESTART_SECONDS = 1.0

# Headers of answers: what the backend server states about itself.
LIMIT_HEADER = b"limit"
LEAVING_HEADER = b"leaving"
# Makes a call to a route within some seconds, and returns the status of the answer.
MakeCall = Callable[[bytes, str, float], Awaitable[int]]


class EmulatedBackendServer:
    """Runs calls with the service's slots and speed, and can crash or shed calls.

    Args:
        instance: Prefix of its instance IDs.
        service: Its service.
        routes: All routes by name.
        speed: Its speed.
        make_call: Makes a call through the node beside it.
        rng: Draws times of work and failures.

    Attributes:
        shed_ratio: Fraction of the calls that it refuses whatever its load.
        slowdown: Factor by which its runs take longer.
        request_limit: Requests per second that its answers state that it takes; 0 if
            they state no limit.
        leaving: Whether its answers state that it leaves.
        arrived_at: Times at which calls reached it.
        crash_count: Number of crashes because of too many calls while cold.
        max_cold_starts: Most calls that reached it within a second while it was cold.
    """

    def __init__(
        self,
        instance: str,
        service: EmulatedService,
        routes: dict[str, EmulatedRoute],
        speed: float,
        make_call: MakeCall,
        rng: random.Random,
    ):
        self._name = instance
        self._service = service
        self._routes = routes
        self._speed = speed
        self._make_call = make_call
        self._rng = rng
        self._slots = asyncio.Semaphore(service.slots)
        self._running = 0
        self._queued = 0
        self._lives = 0
        self._cold_until = 0.0
        self._recent_arrivals: collections.deque[float] = collections.deque()
        self._tasks: set[asyncio.Task[Response]] = set()
        self._down = False
        self.on_crash: Callable[[], None] = lambda: None
        self.on_start: Callable[[], None] = lambda: None
        self.shed_ratio = 0.0
        self.slowdown = 1.0
        self.request_limit = 0.0
        self.leaving = False
        self.arrived_at: list[float] = []
        self.crash_count = 0
        self.max_cold_starts = 0

    @property
    def instance(self) -> str:
        """Instance ID of the current life."""
        return f"{self._name}-{self._lives}"

    @property
    def lives(self) -> int:
        """Number of starts after the first."""
        return self._lives

    @property
    def cold_seconds(self) -> float:
        """Seconds for which it stays cold."""
        return max(0.0, self._cold_until - time.monotonic())

    @property
    def down(self) -> bool:
        """Whether it does not run."""
        return self._down

    async def answer(self, call: Call, remaining: float) -> Response:
        """Return the response to a call.

        Raises:
            ExchangeError: It is down, or crashed before it answered.
        """
        if self._down:
            raise ExchangeError("connection refused", sent=False, refused=True)
        if call.instance != self.instance:
            return Response(MISDIRECTED_STATUS, [])
        self.arrived_at.append(time.monotonic())
        self._count_cold_arrival()
        if self._down:
            raise ExchangeError("connection lost", sent=True)
        task = asyncio.create_task(self._run(call, remaining))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            response = await task
            response.headers.extend(self._list_statements())
            return response
        except asyncio.CancelledError:
            if self._down or call.instance != self.instance:
                raise ExchangeError("connection lost", sent=True) from None
            raise

    def crash(self, down_seconds: float = RESTART_SECONDS) -> None:
        """Lose all runs, and come back cold under a new instance ID."""
        self._down = True
        for task in list(self._tasks):
            task.cancel()
        self.on_crash()
        loop = asyncio.get_running_loop()
        loop.call_later(down_seconds, self._start)

    def turn_cold(self) -> None:
        """Become cold without a restart."""
        self._cold_until = time.monotonic() + self._service.warm_up_seconds
        self._recent_arrivals.clear()

    def _start(self) -> None:
        self._down = False
        self._lives += 1
        self.request_limit = 0.0
        self.leaving = False
        self._slots = asyncio.Semaphore(self._service.slots)
        self._running = self._queued = 0
        self.turn_cold()
        self.on_start()

    def _list_statements(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that state something about the backend server."""
        headers = []
        if self.request_limit:
            headers.append((LIMIT_HEADER, str(self.request_limit).encode()))
        if self.leaving:
            headers.append((LEAVING_HEADER, b""))
        return headers

    def _count_cold_arrival(self) -> None:
        rate = self._service.cold_calls_per_second
        if not rate or not self.cold_seconds:
            return
        now = time.monotonic()
        arrivals = self._recent_arrivals
        arrivals.append(now)
        while arrivals[0] <= now - 1.0:
            arrivals.popleft()
        self.max_cold_starts = max(self.max_cold_starts, len(arrivals))
        if len(arrivals) > rate * COLD_CRASH_RATIO + COLD_CRASH_SLACK:
            self.crash_count += 1
            self.crash()

    async def _run(self, call: Call, remaining: float) -> Response:
        if self._rng.random() < self.shed_ratio:
            return Response(REFUSED_STATUS, [])
        slots = self._slots
        if slots.locked():
            if self._queued >= self._service.queue:
                return Response(REFUSED_STATUS, [])
            self._queued += 1
            try:
                async with asyncio.timeout(remaining):
                    await slots.acquire()
            except TimeoutError:
                return Response(REFUSED_STATUS, [])
            finally:
                self._queued -= 1
        else:
            await slots.acquire()
        self._running += 1
        try:
            return await self._work(call, remaining)
        finally:
            self._running -= 1
            slots.release()

    async def _work(self, call: Call, remaining: float) -> Response:
        route = self._routes[call.route]
        ends_at = time.monotonic() + remaining
        seconds = self._draw_work_seconds(route)
        await asyncio.sleep(seconds / 2)
        for calls in route.downstream_calls:
            if not await self._make_calls(call.request_id, calls, ends_at):
                return Response(ERROR_STATUS, [])
        await asyncio.sleep(seconds / 2)
        failed = self._rng.random() < route.error_ratio
        return Response(ERROR_STATUS if failed else 200, [])

    async def _make_calls(
        self, request_id: bytes, calls: DownstreamCalls, ends_at: float
    ) -> bool:
        """Make the downstream calls of a run; return whether all succeeded."""
        if calls.parallel:
            remaining = ends_at - time.monotonic()
            made = [
                self._make_call(request_id, calls.route, remaining)
                for _ in range(calls.count)
            ]
            return all(status == 200 for status in await asyncio.gather(*made))
        for _ in range(calls.count):
            remaining = ends_at - time.monotonic()
            if await self._make_call(request_id, calls.route, remaining) != 200:
                return False
        return True

    def _draw_work_seconds(self, route: EmulatedRoute) -> float:
        variance = math.log(1 + route.spread**2)
        factor = self._rng.lognormvariate(-variance / 2, math.sqrt(variance))
        service = self._service
        seconds = route.work_ms / 1000 * factor / self._speed * self.slowdown
        if service.knee and self._running > service.knee * service.slots:
            seconds *= service.knee_slowdown
        if self.cold_seconds:
            seconds *= service.cold_slowdown
        return seconds
