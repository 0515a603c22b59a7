"""What the choices cost that leave the house style: framework and client library."""

import argparse
import asyncio
import time
from typing import Any

import aiohttp
from blacksheep import Content, Request, Response

from primroseglade.calls.call import Body
from primroseglade.calls.connections import build_head
from primroseglade.calls.pool import Pool
from primroseglade.listener import build_application
from primroseglade.stand_ins.backend import BackendStandIn, Behaviour

from .registry import bench

CALLS = 3000
ROUNDS = 5
BODY = b"x" * 300
HEADERS = [(b"content-type", b"application/json")]


async def answer_plain(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Answer as the listeners of calls do."""
    await receive()
    headers = [*HEADERS, (b"content-length", b"%d" % len(BODY))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY})


def build_framework() -> Any:
    """Return the same as a blacksheep application."""
    app = build_application()

    async def answer(request: Request) -> Response:
        await request.read()
        return Response(200, content=Content(b"application/json", BODY))

    app.router.add_post("/archive/*", answer)
    return app


async def measure_app(app: Any) -> float:
    """Return microseconds of processor time a request, without a socket."""

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": BODY, "more_body": False}

    async def send(_: dict[str, Any]) -> None:
        return None

    started = time.process_time()
    for _ in range(CALLS):
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/archive/x",
            "raw_path": b"/archive/x",
            "query_string": b"",
            "headers": [(b"host", b"n"), (b"content-length", b"300")],
        }
        await app(scope, receive, send)
    return (time.process_time() - started) / CALLS * 1e6


async def measure_own(address: str) -> float:
    """Return microseconds a call by the project's own connections."""
    pool = Pool(address, 4, 1.0, 65536)
    body = Body(BODY)
    started = time.process_time()
    for _ in range(CALLS):
        connection = await pool.acquire()
        head = build_head("POST", b"/x", address, HEADERS, body)
        await connection.exchange(head, body, False)
        connection.take_buffered()
        pool.release(connection)
    cost = (time.process_time() - started) / CALLS * 1e6
    pool.close_idle()
    return cost


async def measure_library(address: str) -> float:
    """Return microseconds a call by aiohttp's client."""
    async with aiohttp.ClientSession() as session:
        started = time.process_time()
        for _ in range(CALLS):
            async with session.post(f"http://{address}/x", data=BODY) as response:
                await response.read()
        return (time.process_time() - started) / CALLS * 1e6


@bench("choices")
async def measure_choices(options: argparse.Namespace) -> dict[str, Any]:
    """Measure each choice and its alternative in turn; medians of five rounds."""
    backend = BackendStandIn("x", behaviour=Behaviour(work=0, slots=1000), seen_kept=1)
    running = asyncio.create_task(backend.run())
    await backend.wait_started()
    framework = build_framework()
    await framework.start()
    figures: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        for name, cost in (
            ("listener, plain ASGI, us", await measure_app(answer_plain)),
            ("listener, blacksheep, us", await measure_app(framework)),
            ("client and server, own, us", await measure_own(backend.address)),
            ("client and server, aiohttp, us", await measure_library(backend.address)),
        ):
            figures.setdefault(name, []).append(cost)
    backend.kill()
    await running
    return {name: sorted(costs)[ROUNDS // 2] for name, costs in figures.items()}
