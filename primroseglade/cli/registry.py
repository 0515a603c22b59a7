"""Commands by name; each module of commands registers its own."""

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


def find_command(name: str) -> Run:
    """Return what the command of this name does."""
    return _commands[name]
