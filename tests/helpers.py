"""Helpers of several tests: command line runs, a document and fast fleet settings."""

import io
from typing import Any

from primroseglade.core import main
from primroseglade.document.document import digest_key
from primroseglade.environment import Environment
from primroseglade.exits import ExitStatus

KEY = "the key of workspace north"
FAST_SETTINGS = {
    "fleet": {"period": 0.2, "suspicion": 0.6, "lease": 0.3, "grant": 0.2},
    "timeouts": {"lame_duck": 0.3, "connect": 0.5, "silence": 0.3},
    "log": {"level": "error"},
}


class ProgramResult:
    """Exit status and output of a run of the command line."""

    def __init__(self, status: ExitStatus, stdout: str, stderr: str):
        self.status = status
        self.stdout = stdout
        self.stderr = stderr


def run_program(*arguments: str) -> ProgramResult:
    """Run the command line in this process and return its result."""
    environment = Environment(io.StringIO(), io.StringIO())
    status = main(list(arguments), environment)
    return ProgramResult(
        status, environment.stdout.getvalue(), environment.stderr.getvalue()
    )


def build_workspace(name: str, key: str, batch: str = "first") -> dict[str, Any]:
    """Return a workspace's value in the document, with one key."""
    return {"keys": [{"id": f"{name}-key", "digest": digest_key(key), "batch": batch}]}


def build_document(
    zones: tuple[str, ...] = ("a", "b"),
    per_second: float = 1000.0,
    burst: float = 1000.0,
    services: tuple[str, ...] = ("archive",),
) -> dict[str, Any]:
    """Return the sections of a small document, by kind and name."""
    return {
        "zones": {zone: {"share": 1 / len(zones)} for zone in zones},
        "workspaces": {"north": build_workspace("north", KEY)},
        "rates": {"north": {"per_second": per_second, "burst": burst}},
        "services": {
            name: {"backend_servers": [{"network": "127.0.0.0/8", "batch": "one"}]}
            for name in services
        },
    }
