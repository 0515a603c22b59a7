"""One run: start everything, send requests, do the faults, check the promises."""

import asyncio
import contextlib
import pathlib
import random
import time
from collections.abc import Awaitable, Callable

from primroseglade.addresses import join_address
from primroseglade.sidecar.http_client import ConnectionPool, ExchangeError
from primroseglade.stand_ins.store import StoreStandIn

from .checks import find_broken, Ran, Record, Sent
from .places import OUTBOUND, Place
from .proxy import Fault, Proxy
from .schedule import draw_schedule, FaultAt

STORE_PORT = 8546
HOST = "api.example"
CALLERS_A_PLACE = 4
CALLER_PAUSE_SECONDS = 0.05
REQUEST_SECONDS = 3.0
WARM_UP_SECONDS = 3.0
# After the last fault everything has to be served again.
RECOVERY_SECONDS = 10.0
LEAST_SERVED_AT_THE_END = 0.9
KEYS = {"key-a": "north", "key-b": "north", "key-c": "south"}
ROUTES = {"front": "safe", "deep": "safe", "once": "unsafe"}


class Soak:
    """A run of one seed.

    Args:
        seed: Of faults and callers.
        seconds: For which faults are done.
        places: Nodes, each with a backend server.
        folder: For settings and logs.
    """

    def __init__(self, seed: int, seconds: float, places: int, folder: pathlib.Path):
        self._rng = random.Random(seed)
        self._seconds = seconds
        # Of this run alone, so that several may run on one machine.
        chance = random.SystemRandom()
        network = f"127.{chance.randrange(10, 250)}.{chance.randrange(250)}"
        store = join_address(f"{network}.1", STORE_PORT)
        self._store = StoreStandIn(store)
        self._places = [
            Place(number, network, store, folder) for number in range(places)
        ]
        self.faults = draw_schedule(seed, seconds, places)
        self.record = Record()
        self.record.tenants = dict(KEYS)
        self._keys = dict(KEYS)
        self._version = 0
        self._rate = 10_000
        self._number = 0

    async def run(self) -> list[str]:
        """Return the promises that were broken."""
        store = asyncio.create_task(self._store.run())
        self._publish()
        tasks = [store]
        try:
            for place in self._places:
                await place.start()
                tasks.append(asyncio.create_task(self._collect(place)))
            await asyncio.sleep(WARM_UP_SECONDS)
            tasks += [
                asyncio.create_task(self._call(place))
                for place in self._places
                for _ in range(CALLERS_A_PLACE)
            ]
            await self._do_faults()
            await asyncio.sleep(RECOVERY_SECONDS)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for place in self._places:
                await place.close()
        return find_broken(self.record) + self._check_recovery()

    def _check_recovery(self) -> list[str]:
        end = max((sent.at for sent in self.record.sent.values()), default=0.0)
        last = [
            sent
            for sent in self.record.sent.values()
            if end - 4.0 < sent.at < end - REQUEST_SECONDS / 3
            and sent.key in self._keys
        ]
        served = sum(sent.status == 200 for sent in last)
        if served < LEAST_SERVED_AT_THE_END * len(last) or not last:
            return [f"{served} of {len(last)} were served at the end"]
        return []

    async def _do_faults(self) -> None:
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in self.faults:
                delay = started + fault.at - time.monotonic()
                await asyncio.sleep(max(0.0, delay))
                group.create_task(_faults[fault.kind](self, fault))
            rest = started + self._seconds - time.monotonic()
            await asyncio.sleep(max(0.0, rest))

    async def _call(self, place: Place) -> None:
        """Send requests on kept connections, one after the other."""
        pool = ConnectionPool(place.address(OUTBOUND), 1.0)
        while True:
            await asyncio.sleep(CALLER_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))
            self._number += 1
            route = self._rng.choice(list(ROUTES))
            key = self._rng.choice(list(KEYS))
            idempotent = ROUTES[route] == "safe"
            sent = Sent(f"r{self._number}", key, idempotent, time.monotonic())
            self.record.sent[sent.request] = sent
            with contextlib.suppress(ExchangeError, TimeoutError):
                # No answer is an answer too: it promises nothing.
                async with asyncio.timeout(REQUEST_SECONDS):
                    await self._exchange(pool, sent, route)

    async def _exchange(self, pool: ConnectionPool, sent: Sent, route: str) -> None:
        method = "GET" if sent.idempotent else "POST"
        head = (
            f"{method} /{route}/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Primroseglade-Request-Id: {sent.request}\r\n"
            f"X-Primroseglade-Deadline-Ms: {REQUEST_SECONDS * 1000:.0f}\r\n"
            f"Authorization: Token {sent.key}\r\nContent-Length: 0\r\n\r\n"
        )
        connection = await pool.acquire()
        try:
            answer = await connection.exchange(head.encode())
        finally:
            pool.release(connection)
        sent.status = answer.status
        sent.whole = answer.body == f"{sent.request} {'x' * 2000} end".encode()

    async def _collect(self, place: Place) -> None:
        """Note what a backend server tells."""
        while True:
            told = await place.told.get()
            at = float(str(told["at"]))
            if "ran" in told:
                run = Ran(
                    str(told["ran"]),
                    str(told["instance"]),
                    str(told["tenant"]),
                    bool(told["key_seen"]),
                    at,
                )
                self.record.ran.setdefault(run.request, []).append(run)
            elif told.get("acknowledged"):
                self.record.drained[str(told["draining"])] = at

    def _publish(self) -> None:
        """Write the configuration, as the operator does."""
        self._version += 1
        tenants: dict[str, list[str]] = {"north": [], "south": []}
        for key, tenant in self._keys.items():
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
            for name, kind in ROUTES.items()
        ]
        self._store.publish(
            {
                "version": self._version,
                "services": [],
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
                        "rate_per_s": self._rate,
                        "burst": self._rate,
                    }
                    for name, keys in tenants.items()
                ],
                "virtual_hosts": [{"host": HOST, "paths": paths}],
            }
        )

    def get_place(self, fault: FaultAt) -> Place:
        """Return where a fault is done."""
        return self._places[fault.place]

    def withdraw_key(self, variant: int) -> None:
        """Take a key away, but never the last one."""
        if len(self._keys) > 1:
            key = sorted(self._keys)[variant % len(self._keys)]
            del self._keys[key]
            self._publish()
            self.record.withdrawn[key] = time.monotonic()

    def change_rate(self, variant: int) -> None:
        """Set other rates, far above what callers send."""
        self._rate = 5_000 + variant
        self._publish()

    @property
    def store(self) -> StoreStandIn:
        """The store's stand-in."""
        return self._store


DoFault = Callable[[Soak, FaultAt], Awaitable[None]]
_faults: dict[str, DoFault] = {}


def _fault(kind: str) -> Callable[[DoFault], DoFault]:
    """Register what a kind of fault does."""

    def register(do_fault: DoFault) -> DoFault:
        _faults[kind] = do_fault
        return do_fault

    return register


async def _harm(link: Proxy, fault: FaultAt) -> None:
    """Do one of the harms to a link for a while."""
    harms = [harm for harm in Fault if harm is not Fault.NONE]
    link.set_fault(harms[fault.variant % len(harms)])
    await asyncio.sleep(fault.seconds)
    link.set_fault(Fault.NONE)


@_fault("node-pause")
async def _pause(soak: Soak, fault: FaultAt) -> None:
    await soak.get_place(fault).pause_node(fault.seconds)


@_fault("node-kill")
async def _kill(soak: Soak, fault: FaultAt) -> None:
    await soak.get_place(fault).kill_node()


@_fault("node-stop")
async def _stop(soak: Soak, fault: FaultAt) -> None:
    await soak.get_place(fault).stop_node()


@_fault("backend-leave")
async def _leave(soak: Soak, fault: FaultAt) -> None:
    await soak.get_place(fault).leave_backend()


@_fault("backend-kill")
async def _kill_backend(soak: Soak, fault: FaultAt) -> None:
    await soak.get_place(fault).kill_backend()


@_fault("backend-link")
async def _harm_backend_link(soak: Soak, fault: FaultAt) -> None:
    await _harm(soak.get_place(fault).backend_link, fault)


@_fault("store-link")
async def _harm_store_link(soak: Soak, fault: FaultAt) -> None:
    await _harm(soak.get_place(fault).store_link, fault)


@_fault("store-down")
async def _take_store_down(soak: Soak, fault: FaultAt) -> None:
    soak.store.faults.down = 503
    await asyncio.sleep(fault.seconds)
    soak.store.faults.down = 0


@_fault("store-slow")
async def _slow_store(soak: Soak, fault: FaultAt) -> None:
    soak.store.faults.slow = 0.3
    await asyncio.sleep(fault.seconds)
    soak.store.faults.slow = 0.0


@_fault("store-loses-answers")
async def _lose_answers(soak: Soak, fault: FaultAt) -> None:
    soak.store.faults.lose_answers = True
    await asyncio.sleep(fault.seconds)
    soak.store.faults.lose_answers = False


@_fault("store-forgets")
async def _forget(soak: Soak, fault: FaultAt) -> None:
    soak.store.forget_history()


@_fault("key-withdrawn")
async def _withdraw(soak: Soak, fault: FaultAt) -> None:
    soak.withdraw_key(fault.variant)


@_fault("rate-changed")
async def _change_rate(soak: Soak, fault: FaultAt) -> None:
    soak.change_rate(fault.variant)
