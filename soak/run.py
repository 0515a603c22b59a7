"""One run: start all processes, send requests, inject faults, check guarantees."""

import asyncio
import contextlib
import math
import pathlib
import random
import time
from collections.abc import Awaitable, Callable

from primroseglade.addresses import join_address
from primroseglade.sidecar.client_connection import (
    ExchangeError,
    MalformedResponseError,
)
from primroseglade.sidecar.http_client import ConnectionPool
from primroseglade.stand_ins.mesh_backend import HEALTH_PATH
from primroseglade.stand_ins.store import StoreStandIn

from .backend import build_body, FATAL_MARK, LARGE_MARK, LIFETIME_HEADER, SEAL
from .checks import (
    Execution,
    FatalRequest,
    find_violations,
    Record,
    SentRequest,
    SlowRead,
)
from .machines import Machine, OUTBOUND_PORT, SERVICES
from .proxy import FaultProxy, LinkFault
from .schedule import generate_faults, ScheduledFault
from .slow_reader import read_slowly

STORE_PORT = 8546
VIRTUAL_HOST = "api.example"
CALLERS_PER_MACHINE = 4
MEAN_CALLER_PAUSE_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 3.0
WARM_UP_SECONDS = 3.0
# Requests must succeed again within this time after the last fault.
RECOVERY_SECONDS = 10.0
# Fraction of the last requests of the run that must succeed.
MIN_RECOVERED_RATIO = 0.9
NODE_KILLS_IN_SERIES = 3
# Limits that backend servers state, in requests per second, below and above their load.
STATED_LIMITS = (2.0, 5.0, 8.5, 20.0)
# Time for which a limit, and a statement to leave, stand at least.
STATED_LIMIT_SECONDS = 5.0
STATED_DRAIN_SECONDS = 3.0
TENANTS_BY_KEY = {"key-a": "north", "key-b": "north", "key-c": "south"}
# Most requests are of one key, and demand rises and falls periodically, at other times
# on each machine.
KEY_WEIGHTS = (8, 1, 1)
SWING_RATIO = 0.6
SWING_PERIOD_SECONDS = 7.0
# Numbers of callers that send a request under which backend servers end at one moment.
FATAL_CALLERS = (1, 1, 2, 4)
FATAL_ATTEMPTS = 8
SLOW_READERS = 4
# Time for the answers to begin before the node is stopped.
SLOW_READERS_LEAD_SECONDS = 0.4
SLOW_READ_SECONDS = 8.0
KINDS_BY_ROUTE = {"front": "safe", "deep": "safe", "once": "unsafe"}


class Soak:
    """Runs one seed.

    Args:
        seed: Seed of the fault schedule and the callers.
        fault_seconds: Time during which faults are injected.
        machine_count: Number of machines, each with a node and a backend server.
        folder: Folder for settings and logs.
    """

    def __init__(
        self, seed: int, fault_seconds: float, machine_count: int, folder: pathlib.Path
    ):
        self._random = random.Random(seed)
        self._fault_seconds = fault_seconds
        # The addresses do not depend on the seed: concurrent runs on one host, also of
        # the same seed, need different ones.
        system_random = random.SystemRandom()
        network = (
            f"127.{system_random.randrange(10, 250)}.{system_random.randrange(250)}"
        )
        store = join_address(f"{network}.1", STORE_PORT)
        self._store = StoreStandIn(store)
        self._machines = [
            Machine(number, network, store, folder) for number in range(machine_count)
        ]
        self.faults = generate_faults(seed, fault_seconds, machine_count)
        self.record = Record()
        self.record.tenants_by_key = dict(TENANTS_BY_KEY)
        self._active_keys = dict(TENANTS_BY_KEY)
        self._configuration_version = 0
        self._rate_per_second = 10_000
        self._last_request_number = 0

    async def run(self) -> list[str]:
        """Run the test and return one sentence for each violated guarantee."""
        store = asyncio.create_task(self._store.run())
        self._publish()
        tasks = [store]
        try:
            for machine in self._machines:
                await machine.start()
                tasks.append(asyncio.create_task(self._record_events(machine)))
            await asyncio.sleep(WARM_UP_SECONDS)
            tasks += [
                asyncio.create_task(self._send_requests(machine))
                for machine in self._machines
                for _ in range(CALLERS_PER_MACHINE)
            ]
            await self._inject_faults()
            await asyncio.sleep(RECOVERY_SECONDS)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for machine in self._machines:
                await machine.close()
        for machine in self._machines:
            self.record.node_disturbed_at[machine.number] = machine.node_disturbed_at
            self.record.node_harmed_at[machine.number] = machine.node_harmed_at
        return find_violations(self.record) + self._check_recovery()

    def _check_recovery(self) -> list[str]:
        end = max(
            (request.sent_at for request in self.record.requests.values()), default=0.0
        )
        final_requests = [
            request
            for request in self.record.requests.values()
            if end - 4.0 < request.sent_at < end - REQUEST_TIMEOUT_SECONDS / 3
            and request.key in self._active_keys
        ]
        served = sum(request.status == 200 for request in final_requests)
        if served < MIN_RECOVERED_RATIO * len(final_requests) or not final_requests:
            return [f"{served} of {len(final_requests)} final requests succeeded"]
        return []

    async def _inject_faults(self) -> None:
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in self.faults:
                delay = started + fault.start_seconds - time.monotonic()
                await asyncio.sleep(max(0.0, delay))
                group.create_task(_injectors[fault.kind](self, fault))
            remaining = started + self._fault_seconds - time.monotonic()
            await asyncio.sleep(max(0.0, remaining))

    async def _send_requests(self, machine: Machine) -> None:
        """Send requests one after the other over pooled connections until cancelled."""
        pool = ConnectionPool(machine.address(OUTBOUND_PORT), 1.0)
        while True:
            phase = time.monotonic() / SWING_PERIOD_SECONDS + machine.number / 3
            swing = 1.0 + SWING_RATIO * math.sin(2 * math.pi * phase)
            pause = MEAN_CALLER_PAUSE_SECONDS * swing
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.5))
            self._last_request_number += 1
            route = self._random.choice(list(KINDS_BY_ROUTE))
            (key,) = self._random.choices(list(TENANTS_BY_KEY), KEY_WEIGHTS)
            idempotent = KINDS_BY_ROUTE[route] == "safe"
            request = SentRequest(
                f"r{self._last_request_number}",
                key,
                idempotent,
                time.monotonic(),
                machine.number,
            )
            self.record.requests[request.request_id] = request
            with contextlib.suppress(ExchangeError, TimeoutError):
                # A request without a response violates no guarantee.
                async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                    await self._send_request(pool, request, f"/{route}/x")

    async def send_fatal_requests(self, fault: ScheduledFault) -> None:
        """Send a request under which backend servers end to all machines in turn."""
        route = list(KINDS_BY_ROUTE)[fault.variant % len(KINDS_BY_ROUTE)]
        number = len(self.record.fatal_requests)
        target = f"/{route}/{FATAL_MARK.decode()}{fault.variant}-{number}"
        at_once = FATAL_CALLERS[fault.variant // 10 % len(FATAL_CALLERS)]
        key = next(iter(self._active_keys))
        self.record.fatal_requests[target] = FatalRequest(at_once, key)
        first = fault.machine_index
        async with asyncio.TaskGroup() as group:
            for number in range(at_once):
                group.create_task(self._send_fatal_request(target, first + number))
        for number in range(FATAL_ATTEMPTS):
            await asyncio.sleep(fault.duration_seconds / FATAL_ATTEMPTS)
            await self._send_fatal_request(target, first + at_once + number)

    async def _send_fatal_request(self, target: str, machine_number: int) -> None:
        machine = self._machines[machine_number % len(self._machines)]
        route, number = target.split("/")[1], target.rpartition("-")[2]
        fatal_request = self.record.fatal_requests[target]
        request = SentRequest(
            f"x{number}-{len(fatal_request.request_ids)}",
            fatal_request.key,
            KINDS_BY_ROUTE[route] == "safe",
            time.monotonic(),
            machine.number,
        )
        fatal_request.request_ids.append(request.request_id)
        self.record.requests[request.request_id] = request
        pool = ConnectionPool(machine.address(OUTBOUND_PORT), 1.0)
        with contextlib.suppress(ExchangeError, TimeoutError):
            # It has no answer if the node ends meanwhile.
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                await self._send_request(pool, request, target)
        pool.close_idle()

    def _build_head(self, request: SentRequest, target: str, seconds: float) -> bytes:
        method = "GET" if request.idempotent else "POST"
        return (
            f"{method} {target} HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n"
            f"X-Primroseglade-Request-Id: {request.request_id}\r\n"
            f"X-Primroseglade-Deadline-Ms: {seconds * 1000:.0f}\r\n"
            f"Authorization: Token {request.key}\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    async def _send_request(
        self, pool: ConnectionPool, request: SentRequest, target: str
    ) -> None:
        head = self._build_head(request, target, REQUEST_TIMEOUT_SECONDS)
        connection = await pool.acquire()
        try:
            answer = await connection.exchange(head)
        except MalformedResponseError:
            request.has_foreign_headers = True
            raise
        finally:
            pool.release(connection)
        request.status = answer.status
        own_id = request.request_id.encode()
        request.has_foreign_headers = any(
            value != own_id
            for name, value in answer.headers
            if name.lower() in (b"x-primroseglade-request-id", SEAL.lower().encode())
        )
        headers = {name.lower(): value.decode() for name, value in answer.headers}
        if headers.get(b"server-leaving") == "1":
            lifetime = headers[LIFETIME_HEADER.lower().encode()]
            self.record.leaving_passed_on_at.setdefault(
                (request.machine, lifetime), time.monotonic()
            )
        request.has_expected_body = answer.body == build_body(request.request_id)

    async def read_slowly(self, machine: Machine) -> None:
        """Request a large answer, and read it at the pace of a slow link."""
        self._last_request_number += 1
        read = SlowRead(
            f"s{self._last_request_number}", machine.number, time.monotonic()
        )
        self.record.slow_reads.append(read)
        key = next(iter(self._active_keys))
        request = SentRequest(read.request_id, key, True, read.sent_at, machine.number)
        self.record.requests[read.request_id] = request
        target = f"/{machine.service}/{LARGE_MARK.decode()}{read.request_id}"
        head = self._build_head(request, target, SLOW_READ_SECONDS)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SLOW_READ_SECONDS):
                await read_slowly(machine.address(OUTBOUND_PORT), head, read)
        read.ended_at = time.monotonic()

    async def _record_events(self, machine: Machine) -> None:
        """Record the events of a machine's backend server until cancelled."""
        while True:
            event = await machine.events.get()
            event_time = float(str(event["at"]))
            if "ran" in event:
                execution = Execution(
                    str(event["ran"]),
                    str(event["instance"]),
                    str(event["tenant"]),
                    bool(event["key_seen"]),
                    event_time,
                    str(event["lifetime"]),
                    bool(event["failed"]),
                )
                self.record.executions.setdefault(execution.request_id, []).append(
                    execution
                )
            elif "limit" in event:
                self.record.stated_limits.setdefault(str(event["lifetime"]), []).append(
                    (event_time, float(str(event["limit"])))
                )
            elif event.get("acknowledged"):
                self.record.drain_acknowledged_at[str(event["draining"])] = event_time

    def _publish(self) -> None:
        """Publish the next version of the configuration to the store."""
        self._configuration_version += 1
        tenants: dict[str, list[str]] = {"north": [], "south": []}
        for key, tenant in self._active_keys.items():
            tenants[tenant].append(key)
        paths = [
            {
                "name": name,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout": "2000ms",
                "target_latency": "500ms",
                "priority": 1,
                "service": "deep" if name != "front" else "front",
                "max_attempts": 2,
                "public": False,
            }
            for name, kind in KINDS_BY_ROUTE.items()
        ]
        self._store.publish(
            {
                "version": self._configuration_version,
                "services": [
                    {"name": name, "health_path": HEALTH_PATH.decode()}
                    for name in SERVICES
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 1_000_000,
                    "header_timeout": "3000ms",
                    "idle_timeout": "15000ms",
                },
                "tenants": [
                    {
                        "name": name,
                        "api_keys": keys,
                        "priority": 1,
                        "rate_per_s": self._rate_per_second,
                        "burst": self._rate_per_second,
                    }
                    for name, keys in tenants.items()
                ],
                "virtual_hosts": [{"host": VIRTUAL_HOST, "paths": paths}],
            }
        )

    def get_machine(self, fault: ScheduledFault) -> Machine:
        """Return the machine that a fault affects."""
        return self._machines[fault.machine_index]

    def withdraw_key(self, variant: int) -> None:
        """Withdraw an API key, unless it is the last one."""
        if len(self._active_keys) > 1:
            key = sorted(self._active_keys)[variant % len(self._active_keys)]
            del self._active_keys[key]
            self._publish()
            self.record.withdrawn_at[key] = time.monotonic()

    def change_rate(self, variant: int) -> None:
        """Change the rate of all tenants to another value far above the load."""
        self._rate_per_second = 5_000 + variant
        self._publish()

    @property
    def store(self) -> StoreStandIn:
        """The stand-in for the platform's store."""
        return self._store


FaultInjector = Callable[[Soak, ScheduledFault], Awaitable[None]]
_injectors: dict[str, FaultInjector] = {}


def _injects(kind: str) -> Callable[[FaultInjector], FaultInjector]:
    """Register the function that injects a kind of fault."""

    def register(injector: FaultInjector) -> FaultInjector:
        _injectors[kind] = injector
        return injector

    return register


async def _inject_link_fault(proxy: FaultProxy, fault: ScheduledFault) -> None:
    """Inject one of the link faults into a proxy for the fault's duration."""
    link_faults = [
        link_fault for link_fault in LinkFault if link_fault is not LinkFault.NONE
    ]
    proxy.set_fault(link_faults[fault.variant % len(link_faults)])
    await asyncio.sleep(fault.duration_seconds)
    proxy.set_fault(LinkFault.NONE)


@_injects("node-pause")
async def _pause_node(soak: Soak, fault: ScheduledFault) -> None:
    await soak.get_machine(fault).pause_node(fault.duration_seconds)


@_injects("node-kill")
async def _kill_node(soak: Soak, fault: ScheduledFault) -> None:
    await soak.get_machine(fault).kill_node()


@_injects("node-stop")
async def _stop_node(soak: Soak, fault: ScheduledFault) -> None:
    await soak.get_machine(fault).stop_node()


@_injects("node-stop-slow-readers")
async def _stop_node_with_slow_readers(soak: Soak, fault: ScheduledFault) -> None:
    """Stop a node while callers read large answers from it."""
    machine = soak.get_machine(fault)
    async with asyncio.TaskGroup() as group:
        for _ in range(SLOW_READERS):
            group.create_task(soak.read_slowly(machine))
        await asyncio.sleep(SLOW_READERS_LEAD_SECONDS)
        await machine.stop_node()


@_injects("backend-leave-twice")
async def _drain_backend_twice(soak: Soak, fault: ScheduledFault) -> None:
    await soak.get_machine(fault).drain_backend_twice(fault.duration_seconds)


@_injects("backend-spoils-answers")
async def _spoil_answers(soak: Soak, fault: ScheduledFault) -> None:
    machine = soak.get_machine(fault)
    machine.tell_backend(spoiling=True)
    await asyncio.sleep(fault.duration_seconds)
    machine.tell_backend(spoiling=False)


@_injects("backend-leave")
async def _drain_backend(soak: Soak, fault: ScheduledFault) -> None:
    await soak.get_machine(fault).drain_backend()


@_injects("backend-kill")
async def _kill_backend(soak: Soak, fault: ScheduledFault) -> None:
    await soak.get_machine(fault).kill_backend()


@_injects("node-kill-series")
async def _kill_node_repeatedly(soak: Soak, fault: ScheduledFault) -> None:
    for _ in range(NODE_KILLS_IN_SERIES):
        await soak.get_machine(fault).kill_node()
        await asyncio.sleep(fault.duration_seconds / NODE_KILLS_IN_SERIES)


@_injects("backend-limit")
async def _limit_backend(soak: Soak, fault: ScheduledFault) -> None:
    """Have a backend server state a limit, change it, and take it back."""
    machine = soak.get_machine(fault)
    first_limit = STATED_LIMITS[fault.variant % len(STATED_LIMITS)]
    second_limit = STATED_LIMITS[fault.variant // 10 % len(STATED_LIMITS)]
    for limit in (first_limit, second_limit, 0.0):
        machine.tell_backend(limit=limit)
        await asyncio.sleep(STATED_LIMIT_SECONDS + fault.duration_seconds)


@_injects("backend-states-leaving")
async def _state_leaving(soak: Soak, fault: ScheduledFault) -> None:
    """Have a backend server state that it leaves, without a report, and end it."""
    machine = soak.get_machine(fault)
    machine.tell_backend(leaving=True)
    await asyncio.sleep(STATED_DRAIN_SECONDS + fault.duration_seconds)
    await machine.kill_backend()


@_injects("fatal-request")
async def _send_fatal_requests(soak: Soak, fault: ScheduledFault) -> None:
    await soak.send_fatal_requests(fault)


@_injects("backend-link")
async def _fault_backend_link(soak: Soak, fault: ScheduledFault) -> None:
    await _inject_link_fault(soak.get_machine(fault).backend_proxy, fault)


@_injects("store-link")
async def _fault_store_link(soak: Soak, fault: ScheduledFault) -> None:
    await _inject_link_fault(soak.get_machine(fault).store_proxy, fault)


@_injects("store-down")
async def _make_store_unavailable(soak: Soak, fault: ScheduledFault) -> None:
    soak.store.faults.error_status = 503
    await asyncio.sleep(fault.duration_seconds)
    soak.store.faults.error_status = 0


@_injects("store-slow")
async def _delay_store(soak: Soak, fault: ScheduledFault) -> None:
    soak.store.faults.delay_seconds = 0.3
    await asyncio.sleep(fault.duration_seconds)
    soak.store.faults.delay_seconds = 0.0


@_injects("store-loses-answers")
async def _drop_store_answers(soak: Soak, fault: ScheduledFault) -> None:
    soak.store.faults.lose_answers = True
    await asyncio.sleep(fault.duration_seconds)
    soak.store.faults.lose_answers = False


@_injects("store-forgets")
async def _delete_store_history(soak: Soak, fault: ScheduledFault) -> None:
    soak.store.delete_history()


@_injects("key-withdrawn")
async def _withdraw_key(soak: Soak, fault: ScheduledFault) -> None:
    soak.withdraw_key(fault.variant)


@_injects("rate-changed")
async def _change_rate(soak: Soak, fault: ScheduledFault) -> None:
    soak.change_rate(fault.variant)
