"""Finds and runs what a command does."""

import argparse
from collections.abc import Awaitable, Callable

from ..environment import Environment
from ..exits import ExitStatus

Run = Callable[[argparse.Namespace, Environment], Awaitable[ExitStatus]]

_commands: dict[str, Run] = {}


def command(name: str) -> Callable[[Run], Run]:
    """Register what the command of this name does."""

    def register(run_command: Run) -> Run:
        _commands[name] = run_command
        return run_command

    return register


async def run(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Run the chosen command."""
    # Imported here: the commands register themselves with this module.
    from . import config, demo, key, load, node, stand_in  # noqa: F401

    return await _commands[options.command](options, environment)
