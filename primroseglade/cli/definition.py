"""Definition of the command line: all commands with their arguments."""

import argparse
from typing import Any

from .. import __version__
from ..exits import ExitStatus

EXIT_STATUS_HELP = "exit status: " + ", ".join(
    f"{status.value} {status.name.lower().replace('_', ' ')}" for status in ExitStatus
)


class Argument:
    """One argument, with the parameters of ``ArgumentParser.add_argument``."""

    __slots__ = ("flags", "options")

    def __init__(self, *flags: str, **options: Any):
        self.flags = flags
        self.options = options


class Command:
    """One command.

    Args:
        name: Words of the command, such as ``config check``.
        summary: Help text.
        arguments: Arguments of the command.
    """

    __slots__ = ("arguments", "name", "summary")

    def __init__(self, name: str, summary: str, *arguments: Argument):
        self.name = name
        self.summary = summary
        self.arguments = arguments


JSON_OPTION = Argument(
    "--json", action="store_true", help="print the result as one JSON value"
)
NODE_OPTION = Argument(
    "--node",
    required=True,
    metavar="IP:PORT",
    help="operator address of any node",
)
METRICS_NODE_OPTION = Argument(
    "--node",
    required=True,
    metavar="IP:PORT",
    help="metrics address of any node on the users' platform",
)
TOKEN_OPTION = Argument(
    "--token", default="", help="operator token, if nodes require one"
)
DOCUMENT_ARGUMENT = Argument(
    "document", metavar="FILE", help="document file, JSON with comments"
)
DEPLOYMENT_OPTION = Argument(
    "--deployment",
    choices=("split", "lagos"),
    default="split",
    help="deployment to run: its services and zones (default: %(default)s)",
)
SECONDS_OPTION = Argument(
    "--seconds",
    type=float,
    default=20.0,
    help="duration of the run (default: %(default)s)",
)
SEED_OPTION = Argument(
    "--seed", type=int, default=1, help="seed of random choices (default: %(default)s)"
)

COMMAND_GROUPS = {
    "config": "check, publish and track the configuration document",
    "stand-in": "run small stand-ins for external systems",
    "suspects": "requests under which backend servers have ended",
}

COMMANDS = (
    Command(
        "node",
        "run one node beside a backend server until SIGTERM or SIGINT",
        Argument(
            "--settings",
            required=True,
            metavar="FILE",
            help="settings file, JSON with comments; see docs/SETTINGS.md",
        ),
    ),
    Command(
        "explain",
        "explain the outcome of a request from the nodes' logs",
        Argument(
            "request", metavar="REQUEST_ID", help="request id, as the caller has it"
        ),
        Argument("logs", nargs="+", metavar="LOGFILE", help="log files of all nodes"),
        JSON_OPTION,
    ),
    Command(
        "suspects list",
        "print the requests under which backend servers have ended",
        METRICS_NODE_OPTION,
        JSON_OPTION,
    ),
    Command(
        "suspects release",
        "let a blocked request run again, at all nodes",
        Argument("hash", metavar="HASH", help="hash of the request, as in the logs"),
        METRICS_NODE_OPTION,
    ),
    Command(
        "config check",
        "check a document without publishing it",
        DOCUMENT_ARGUMENT,
        JSON_OPTION,
    ),
    Command(
        "config show",
        "print the document in force at a node",
        NODE_OPTION,
        TOKEN_OPTION,
        JSON_OPTION,
    ),
    Command(
        "config diff",
        "print which sections of a document differ from those in force",
        DOCUMENT_ARGUMENT,
        NODE_OPTION,
        TOKEN_OPTION,
        JSON_OPTION,
    ),
    Command(
        "config publish",
        "publish sections of a document and wait for the verdict",
        DOCUMENT_ARGUMENT,
        NODE_OPTION,
        TOKEN_OPTION,
        Argument(
            "--platform",
            required=True,
            metavar="IP:PORT",
            help="address of the platform's log service",
        ),
        Argument("--author", required=True, help="name to publish under"),
        Argument(
            "--section",
            action="append",
            metavar="KIND/NAME",
            help="publish only this section (repeatable)",
        ),
        Argument(
            "--remove",
            action="append",
            default=[],
            metavar="KIND/NAME",
            help="remove this section (repeatable)",
        ),
        Argument(
            "--as-of",
            type=int,
            metavar="OFFSET",
            help="refuse if a section changed since this offset, as in config show",
        ),
        Argument(
            "--wait",
            type=float,
            default=10.0,
            metavar="SECONDS",
            help="maximum wait for the verdict and, with --everywhere, all instances "
            "(default: %(default)s)",
        ),
        Argument(
            "--everywhere",
            action="store_true",
            help="wait until all instances have confirmed; list those that have not",
        ),
        JSON_OPTION,
    ),
    Command(
        "config status",
        "print which instances have confirmed the configuration, and which have not",
        NODE_OPTION,
        TOKEN_OPTION,
        JSON_OPTION,
    ),
    Command(
        "key", "generate a workspace key and print it with its digest", JSON_OPTION
    ),
    Command(
        "demo",
        "run a deployment in this process, with failures, and check its guarantees",
        DEPLOYMENT_OPTION,
        SECONDS_OPTION,
        SEED_OPTION,
        JSON_OPTION,
    ),
    Command(
        "load",
        "call a service at a fixed rate and report outcomes and latencies",
        Argument(
            "--nodes",
            required=True,
            metavar="IP:PORT,...",
            help="callers' listeners of one or more nodes",
        ),
        Argument("--key", required=True, help="key of the workspace"),
        Argument("--service", required=True, help="service to call"),
        Argument(
            "--path", default="/", help="path within the service (default: %(default)s)"
        ),
        Argument("--method", default="GET", help="HTTP method (default: %(default)s)"),
        Argument("--rate", type=float, default=50.0, help="calls per second"),
        Argument(
            "--timeout", type=float, default=2.0, help="timeout of a call in seconds"
        ),
        SECONDS_OPTION,
        SEED_OPTION,
        JSON_OPTION,
    ),
    Command(
        "stand-in log",
        "run a stand-in for the platform's log",
        Argument("--listen", default="127.0.0.1:9092", metavar="IP:PORT"),
        Argument(
            "--retention", type=int, default=100_000, help="maximum records per topic"
        ),
    ),
    Command(
        "stand-in backend",
        "run a stand-in for a backend server, which announces itself to its node",
        Argument("--service", required=True, help="service that it serves"),
        Argument(
            "--node",
            required=True,
            metavar="IP:PORT",
            help="backend listener of its node",
        ),
        Argument("--listen", default="127.0.0.1:0", metavar="IP:PORT"),
        Argument("--work", type=float, default=0.005, help="seconds of work per call"),
        Argument("--slots", type=int, default=20, help="maximum concurrent calls"),
        Argument(
            "--nested",
            action="append",
            default=[],
            metavar="/SERVICE/PATH",
            help="nested call to make in each call (repeatable)",
        ),
    ),
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser; it sets ``command`` to the name of the chosen command."""
    parser = argparse.ArgumentParser(
        prog="primroseglade",
        description="Overload control for service call graphs.",
        epilog=EXIT_STATUS_HELP,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(
        title="commands", metavar="COMMAND", required=True
    )
    groups: dict[str, Any] = {}
    for command in COMMANDS:
        *group, name = command.name.split()
        parent = subparsers
        if group:
            parent = groups.get(group[0])
            if parent is None:
                parent = groups[group[0]] = _add_group(subparsers, group[0])
        _add_command(parent, name, command)
    return parser


def _add_group(subparsers: Any, name: str) -> Any:
    summary = COMMAND_GROUPS[name]
    group = subparsers.add_parser(
        name, help=summary, description=summary, epilog=EXIT_STATUS_HELP
    )
    return group.add_subparsers(title="commands", metavar="COMMAND", required=True)


def _add_command(parent: Any, name: str, command: Command) -> None:
    parser = parent.add_parser(
        name, help=command.summary, description=command.summary, epilog=EXIT_STATUS_HELP
    )
    for argument in command.arguments:
        parser.add_argument(*argument.flags, **argument.options)
    parser.set_defaults(command=command.name)
