"""Cost of the project's listener and client against blacksheep and aiohttp."""

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
from primroseglade.stand_ins.backend import BackendBehavior, BackendStandIn

from .registry import benchmark

CALLS_PER_ROUND = 3000
ROUNDS = 5
BODY = b"x" * 300
HEADERS = [(b"content-type", b"application/json")]


async def answer_asgi(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Answer as plain ASGI, like the node's listeners for calls."""
    await receive()
    headers = [*HEADERS, (b"content-length", b"%d" % len(BODY))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY})


def build_blacksheep_app() -> Any:
    """Return a blacksheep application that sends the response of ``answer_asgi``."""
    app = build_application()

    async def answer(request: Request) -> Response:
        await request.read()
        return Response(200, content=Content(b"application/json", BODY))

    app.router.add_post("/archive/*", answer)
    return app


async def measure_asgi_app(app: Any) -> float:
    """Return microseconds of CPU time per request, without a socket."""

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": BODY, "more_body": False}

    async def send(_: dict[str, Any]) -> None:
        return None

    started = time.process_time()
    for _ in range(CALLS_PER_ROUND):
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/archive/x",
            "raw_path": b"/archive/x",
            "query_string": b"",
            "headers": [(b"host", b"n"), (b"content-length", b"300")],
        }
        await app(scope, receive, send)
    return (time.process_time() - started) / CALLS_PER_ROUND * 1e6


async def measure_own_client(address: str) -> float:
    """Return microseconds of CPU time per call with the project's own client."""
    pool = Pool(address, 4, 1.0, 65536)
    body = Body(BODY)
    started = time.process_time()
    for _ in range(CALLS_PER_ROUND):
        connection = await pool.acquire()
        head = build_head("POST", b"/x", address, HEADERS, body)
        await connection.exchange(head, body, False)
        connection.take_buffered()
        pool.release(connection)
    microseconds = (time.process_time() - started) / CALLS_PER_ROUND * 1e6
    pool.close_idle()
    return microseconds


async def measure_aiohttp_client(address: str) -> float:
    """Return microseconds of CPU time per call with aiohttp's client."""
    async with aiohttp.ClientSession() as session:
        started = time.process_time()
        for _ in range(CALLS_PER_ROUND):
            async with session.post(f"http://{address}/x", data=BODY) as response:
                await response.read()
        return (time.process_time() - started) / CALLS_PER_ROUND * 1e6


@benchmark("choices")
async def measure_choices(options: argparse.Namespace) -> dict[str, Any]:
    """Measure listeners and clients, each with its alternative; return medians."""
    backend = BackendStandIn(
        "x",
        behavior=BackendBehavior(processing_seconds=0, slots=1000),
        max_seen_requests=1,
    )
    backend_task = asyncio.create_task(backend.run())
    await backend.wait_started()
    blacksheep_app = build_blacksheep_app()
    await blacksheep_app.start()
    figures: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        for name, microseconds in (
            ("listener, plain ASGI, us", await measure_asgi_app(answer_asgi)),
            ("listener, blacksheep, us", await measure_asgi_app(blacksheep_app)),
            ("client and server, own, us", await measure_own_client(backend.address)),
            (
                "client and server, aiohttp, us",
                await measure_aiohttp_client(backend.address),
            ),
        ):
            figures.setdefault(name, []).append(microseconds)
    backend.kill()
    await backend_task
    return {name: sorted(values)[ROUNDS // 2] for name, values in figures.items()}
