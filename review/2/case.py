"""A drain that was acknowledged is forgotten when the node is killed."""

import asyncio
import pathlib
import time

from ..lib.backend import Backend, build_answer, ServerRequest
from ..lib.case import main
from ..lib.client import call
from ..lib.deployment import (
    build_configuration,
    build_route,
    CannotRunError,
    Deployment,
    Record,
    RESTART_DELAY_SECONDS,
)

WORK_SECONDS = 0.1
SETTLE_SECONDS = 4.0
# Bounds of the settings.
DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
# The backend server serves for this long after the acknowledgement: "serving for
# `drain` after the acknowledgement and a little longer (at times many seconds)".
LINGER_SECONDS = 10.0
FIRST_LINGER_SECONDS = 2.5
RESTART_SECONDS = 1.0
# From the acknowledgement to the kill, and to the arrival of the report that was sent
# before it: "A status report may arrive seconds late."
KILL_AFTER_SECONDS = 0.1
REPORT_ARRIVES_SECONDS = 3.0
CLIENTS = 3
CLIENT_PAUSE_SECONDS = 0.02
INSTANCE = "i-shop-1"


async def work(backend: Backend, request: ServerRequest) -> bytes:
    """Run a request as a sound server does."""
    backend.record_run(request)
    await asyncio.sleep(WORK_SECONDS)
    seal = {"X-Primroseglade-Upstream-Seal": f"{backend.instance}.{request.id}"}
    return build_answer("200 OK", request.id, seal, b"done")


class Clients:
    """Clients of one node, which send unsafe requests until they are stopped.

    Attributes:
        sent_at: When each request was sent, by ID.
        statuses: Status of each answer, by ID; 0 for none.
    """

    def __init__(self, deployment: Deployment, record: Record):
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self._deployment = deployment
        self._record = record

    async def run(self) -> None:
        """Send requests one after the other to a node that nothing disturbs."""
        while True:
            reply = await call(
                self._deployment.nodes[3], "POST", "/shop/1", self._record, "shop"
            )
            self.sent_at[reply.request_id] = reply.sent_at
            self.statuses[reply.request_id] = reply.status
            await asyncio.sleep(CLIENT_PAUSE_SECONDS)


async def leave(backend: Backend, linger: float) -> None:
    """Deregister, serve on for a while and exit."""
    backend.heartbeats = False
    if await backend.deregister() != 200:
        raise CannotRunError("the leaving was not acknowledged")
    await asyncio.sleep(linger)
    await backend.close()


async def restart_node(deployment: Deployment, record: Record) -> None:
    """Kill the node beside the leaving server; the platform starts it again."""
    await asyncio.sleep(KILL_AFTER_SECONDS)
    node = deployment.nodes[1]
    record.write(f"SIGKILL {node.name}")
    await node.kill()
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    record.write(f"start {node.name}")
    await node.start()


async def play(record: Record, disturb: bool) -> list[str]:
    """Let a server leave, start again under its ID, and leave again."""
    deployment = Deployment(["front", "shop", "shop", "front"])
    nodes = deployment.nodes
    front, other, last = (
        Backend(f"i-{number}", nodes[number], record, work) for number in (0, 2, 3)
    )
    first = Backend(INSTANCE, nodes[1], record, work)
    clients = Clients(deployment, record)
    tasks: list[asyncio.Task[None]] = []
    running = [front, other, last, first]
    route = build_route("shop", "shop", kind="unsafe")
    try:
        await deployment.start(build_configuration(1, route))
        for backend in running:
            await backend.start()
        await asyncio.sleep(SETTLE_SECONDS)
        tasks += [asyncio.create_task(clients.run()) for _ in range(CLIENTS)]
        await asyncio.sleep(1.0)
        await leave(first, FIRST_LINGER_SECONDS)
        await asyncio.sleep(RESTART_SECONDS)
        second = Backend(INSTANCE, nodes[1], record, work)
        running.append(second)
        await second.start()
        await asyncio.sleep(STABLE_SECONDS + 1.0)
        if not second.runs:
            raise CannotRunError("the server got no requests after it started again")
        late_report = second.build_report()
        leaving = asyncio.create_task(leave(second, LINGER_SECONDS))
        tasks.append(leaving)
        await asyncio.sleep(0.05)
        acknowledged_at = time.monotonic()
        record.write(f"{INSTANCE} has its acknowledgement")
        in_touch_at = acknowledged_at
        if disturb:
            await restart_node(deployment, record)
            in_touch_at = time.monotonic() + STABLE_SECONDS
        await asyncio.sleep(acknowledged_at + REPORT_ARRIVES_SECONDS - time.monotonic())
        status = await second.send(late_report)
        record.write(f"{INSTANCE}: late report arrives -> {status}")
        await leaving
        await asyncio.sleep(1.0)
    finally:
        for task in tasks:
            task.cancel()
        for backend in running:
            await backend.close()
        await deployment.close()
    if 200 not in clients.statuses.values():
        raise CannotRunError("no request was served")
    counts_from = max(acknowledged_at + DRAIN_SECONDS, in_touch_at)
    return [
        f"{run.request_id} reaches {INSTANCE} {run.at - acknowledged_at:.2f} s after "
        f"the acknowledgement; answered {clients.statuses.get(run.request_id)}"
        for run in second.runs
        if run.at > counts_from and clients.sent_at.get(run.request_id, 0) > counts_from
    ]


if __name__ == "__main__":
    main(play, pathlib.Path(__file__).parent)
