"""Implements ``primroseglade stand-in``."""

import argparse
import asyncio

from ..environment import Environment
from ..exits import ExitStatus
from ..stand_ins.backend import BackendBehavior, BackendStandIn
from ..stand_ins.log import LogStandIn
from .node import build_stop_event
from .registry import command


@command("stand-in log")
async def run_log(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Run the stand-in for the log until SIGTERM or SIGINT."""
    log = LogStandIn(options.listen, options.retention)
    environment.warn(f"log on {log.address}")
    await _run_until_stopped(log)
    return ExitStatus.SUCCESS


@command("stand-in backend")
async def run_backend(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Run the stand-in for a backend server until SIGTERM or SIGINT."""
    behavior = BackendBehavior(
        processing_seconds=options.work,
        slots=options.slots,
        nested=tuple(options.nested),
    )
    backend = BackendStandIn(
        options.service, options.node, behavior, options.listen, max_seen_requests=1000
    )
    environment.warn(f"{options.service} on {backend.address}")
    await _run_until_stopped(backend)
    return ExitStatus.SUCCESS


async def _run_until_stopped(stand_in: LogStandIn | BackendStandIn) -> None:
    stop_requested = build_stop_event()
    run_task = asyncio.create_task(stand_in.run())
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({run_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if isinstance(stand_in, BackendStandIn) and not run_task.done():
        await stand_in.drain()
    stand_in.stop()
    stop_task.cancel()
    await run_task
