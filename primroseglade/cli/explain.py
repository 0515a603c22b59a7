"""Implements ``primroseglade explain``."""

import argparse
import contextlib
import json
from pathlib import Path

from ..environment import Environment
from ..errors import PrimrosegladeError
from ..exits import ExitStatus
from ..observe.events import format_entry
from ..observe.explain import explain, Explanation
from ..observe.log_lines import count_dropped_lines, LogLine, read_lines
from .registry import command


class RequestNotLoggedError(PrimrosegladeError):
    """No log line names the request."""

    status = ExitStatus.FAILURE


@command("explain")
async def explain_request(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Print the log lines of a request and the cause of its outcome."""
    lines = _read_logs(options.logs)
    explanation = explain(options.request, lines)
    if explanation is None:
        raise RequestNotLoggedError(
            f"none of {len(lines)} events names request {options.request}: "
            "it was served, did not reach these nodes, or is in one of "
            f"{count_dropped_lines(lines)} dropped log lines"
        )
    if options.json:
        environment.print(json.dumps(_describe(explanation)))
    else:
        _print_explanation(explanation, environment)
    return ExitStatus.SUCCESS


def _read_logs(names: list[str]) -> list[LogLine]:
    with contextlib.ExitStack() as files:
        return read_lines(
            files.enter_context(Path(name).open(encoding="utf-8", errors="replace"))
            for name in names
        )


def _describe(explanation: Explanation) -> dict[str, object]:
    return {
        "request": explanation.request_id,
        "lines": [line.fields for line in explanation.lines],
        "context": [line.fields for line in explanation.context],
        "cause": explanation.cause,
    }


def _print_explanation(explanation: Explanation, environment: Environment) -> None:
    for line in explanation.lines:
        environment.print(format_entry(line.fields))
    for line in explanation.context:
        environment.print(f"  context: {format_entry(line.fields)}")
    environment.print(explanation.cause)
