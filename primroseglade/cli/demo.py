"""Implements ``primroseglade demo``."""

import argparse
import json
import time

from rich.console import Console

from ..demo.deployments import DEPLOYMENTS
from ..demo.run import Demo
from ..environment import Environment
from ..exits import ExitStatus
from ..observe.events import EventHandler
from .registry import command


@command("demo")
async def run_demo(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Run the demo and print its report."""
    started_at = time.monotonic()
    console = Console(file=environment.stderr, highlight=False)

    def print_progress(text: str) -> None:
        console.print(f"{time.monotonic() - started_at:6.1f} s  {text}", markup=False)

    demo = Demo(
        DEPLOYMENTS[options.deployment], options.seconds, options.seed, print_progress
    )
    with EventHandler(environment.stderr, "text").applicationbound():
        report = await demo.run()
    if options.json:
        environment.print(json.dumps(report.to_dict()))
    else:
        environment.print("\n".join(report.to_lines()))
    return ExitStatus.SUCCESS if report.passed else ExitStatus.CHECK_FAILED
