"""Registry of commands by name; each command module registers its own."""

import argparse
from collections.abc import Awaitable, Callable

from ..environment import Environment
from ..exits import ExitStatus

CommandFunction = Callable[[argparse.Namespace, Environment], Awaitable[ExitStatus]]

_commands: dict[str, CommandFunction] = {}


def command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Register the decorated function under a command's name."""

    def register(run_command: CommandFunction) -> CommandFunction:
        _commands[name] = run_command
        return run_command

    return register


def find_command(name: str) -> CommandFunction:
    """Return the function registered under a command's name."""
    return _commands[name]
