"""The command line as one definition: every command with its arguments."""

import argparse
from typing import Any

from .. import __version__
from ..exits import ExitStatus

EXIT_STATUS_HELP = "exit status: " + ", ".join(
    f"{status.value} {status.name.lower().replace('_', ' ')}" for status in ExitStatus
)


class Argument:
    """One argument, as argparse takes it."""

    __slots__ = ("flags", "options")

    def __init__(self, *flags: str, **options: Any):
        self.flags = flags
        self.options = options


class Command:
    """One command.

    Args:
        name: Its words, such as ``config check``.
        text: What it does.
        arguments: What it takes.
    """

    __slots__ = ("arguments", "name", "summary")

    def __init__(self, name: str, summary: str, *arguments: Argument):
        self.name = name
        self.summary = summary
        self.arguments = arguments


JSON_OPTION = Argument(
    "--json", action="store_true", help="print one JSON value for programs to read"
)
NODE_OPTION = Argument(
    "--node",
    required=True,
    metavar="IP:PORT",
    help="operator address of any node",
)
TOKEN_OPTION = Argument(
    "--token", default="", help="operator token, where nodes ask for one"
)
DOCUMENT_ARGUMENT = Argument(
    "document", metavar="FILE", help="document, JSON with comments"
)
DEPLOYMENT_OPTION = Argument(
    "--deployment",
    choices=("split", "lagos"),
    default="split",
    help="whose services and zones (default: %(default)s)",
)
SECONDS_OPTION = Argument(
    "--seconds",
    type=float,
    default=20.0,
    help="how long to run (default: %(default)s)",
)
SEED_OPTION = Argument(
    "--seed", type=int, default=1, help="of what is random (default: %(default)s)"
)

COMMAND_GROUPS = {
    "config": "check, publish and follow the operators' document",
    "stand-in": "small stand-ins for the outside systems",
}

COMMANDS = (
    Command(
        "node",
        "run one node beside a backend server, until SIGTERM or SIGINT",
        Argument(
            "--settings",
            required=True,
            metavar="FILE",
            help="settings, JSON with comments; see docs/SETTINGS.md",
        ),
    ),
    Command(
        "explain",
        "tell from the nodes' logs why a request ended as it did",
        Argument("request", metavar="REQUEST_ID", help="its id, as the caller has it"),
        Argument("logs", nargs="+", metavar="LOGFILE", help="logs of all nodes"),
        JSON_OPTION,
    ),
    Command(
        "config check",
        "check a document without publishing it",
        DOCUMENT_ARGUMENT,
        JSON_OPTION,
    ),
    Command(
        "config show",
        "print the document in force, as a node has it",
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
            help="the platform's log service",
        ),
        Argument("--author", required=True, help="name to publish under"),
        Argument(
            "--section",
            action="append",
            metavar="KIND/NAME",
            help="publish only this section (may be given again)",
        ),
        Argument(
            "--remove",
            action="append",
            default=[],
            metavar="KIND/NAME",
            help="take this section out (may be given again)",
        ),
        Argument(
            "--as-of",
            type=int,
            metavar="OFFSET",
            help="refuse if a section has changed since this offset of config show",
        ),
        Argument(
            "--wait",
            type=float,
            default=10.0,
            metavar="SECONDS",
            help="for the verdict, and with --everywhere for all instances "
            "(default: %(default)s)",
        ),
        Argument(
            "--everywhere",
            action="store_true",
            help="wait until every instance has confirmed; name those that have not",
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
    Command("key", "make a new key and print it with its digest", JSON_OPTION),
    Command(
        "demo",
        "run a whole deployment in this process, with failures, and check its promises",
        DEPLOYMENT_OPTION,
        SECONDS_OPTION,
        SEED_OPTION,
        JSON_OPTION,
    ),
    Command(
        "load",
        "call a service at a fixed rate and report answers and latencies",
        Argument(
            "--nodes",
            required=True,
            metavar="IP:PORT,...",
            help="callers' addresses of some nodes",
        ),
        Argument("--key", required=True, help="the workspace's key"),
        Argument("--service", required=True, help="service to call"),
        Argument("--path", default="/", help="path within it (default: %(default)s)"),
        Argument("--method", default="GET", help="HTTP method (default: %(default)s)"),
        Argument("--rate", type=float, default=50.0, help="calls a second"),
        Argument("--timeout", type=float, default=2.0, help="seconds a call may take"),
        SECONDS_OPTION,
        SEED_OPTION,
        JSON_OPTION,
    ),
    Command(
        "stand-in log",
        "run a stand-in for the platform's log",
        Argument("--listen", default="127.0.0.1:9092", metavar="IP:PORT"),
        Argument(
            "--retention", type=int, default=100_000, help="records that a topic keeps"
        ),
    ),
    Command(
        "stand-in backend",
        "run a stand-in for a backend server, announced to its node",
        Argument("--service", required=True, help="what it serves"),
        Argument(
            "--node",
            required=True,
            metavar="IP:PORT",
            help="backend listener of its node",
        ),
        Argument("--listen", default="127.0.0.1:0", metavar="IP:PORT"),
        Argument("--work", type=float, default=0.005, help="seconds of work a call"),
        Argument("--slots", type=int, default=20, help="calls at work at once"),
        Argument(
            "--nested",
            action="append",
            default=[],
            metavar="/SERVICE/PATH",
            help="call this first, in each call (may be given again)",
        ),
    ),
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser; the chosen command's name is in ``command``."""
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
