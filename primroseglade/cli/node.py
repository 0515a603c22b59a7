"""Implements ``primroseglade node``."""

import argparse
import asyncio
import signal

from ..environment import Environment
from ..exits import ExitStatus
from ..node import Node
from ..observe.events import EventHandler
from ..settings.node import load_node_settings
from .registry import command


@command("node")
async def run_node(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Run a node until SIGTERM or SIGINT."""
    settings = load_node_settings(options.settings)
    stop_requested = build_stop_event()
    with EventHandler(environment.stderr, settings.log.format).applicationbound():
        await Node(settings).run(stop_requested)
    return ExitStatus.SUCCESS


def build_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    return stop_requested
