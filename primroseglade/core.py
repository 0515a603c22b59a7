"""Entry point of the program: parses arguments, runs a command, prints errors."""

import asyncio

from .cli import commands, definition
from .environment import Environment
from .errors import PrimrosegladeError
from .exits import ExitStatus


def main(
    arguments: list[str] | None = None, environment: Environment | None = None
) -> ExitStatus:
    """Run the command line.

    Args:
        arguments: Arguments without the program name; those of the process if None.
        environment: Output streams; those of the process if None.
    """
    environment = environment or Environment()
    parser = definition.build_parser()
    try:
        options = parser.parse_args(arguments)
    except SystemExit as exit_request:
        # argparse has already printed the help or the error.
        return ExitStatus.USAGE if exit_request.code else ExitStatus.SUCCESS
    try:
        return asyncio.run(commands.run(options, environment))
    except PrimrosegladeError as error:
        environment.warn(f"primroseglade: {error}")
        return error.status
    except BrokenPipeError:
        return ExitStatus.SUCCESS
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except OSError as error:
        environment.warn(f"primroseglade: {error}")
        return ExitStatus.FAILURE
    except ExceptionGroup as group:
        for error in group.exceptions:
            environment.warn(f"primroseglade: {type(error).__name__}: {error}")
        return ExitStatus.FAILURE
