"""``primroseglade explain``."""

import argparse
import contextlib
import json
from pathlib import Path

from ..environment import Environment
from ..errors import PrimrosegladeError
from ..exits import ExitStatus
from ..observe.events import format_text
from ..observe.explain import (
    count_left_out,
    explain,
    LogLine,
    read_lines,
    Story,
)
from .registry import command


class NotLoggedError(PrimrosegladeError):
    """No line names the request."""

    status = ExitStatus.FAILURE


@command("explain")
async def explain_request(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Print what the logs tell of a request, and why it ended as it did."""
    lines = _read_logs(options.logs)
    story = explain(options.request, lines)
    if story is None:
        raise NotLoggedError(
            f"no line names request {options.request} among {len(lines)} events: "
            "it was served, did not come to these nodes, or is one of "
            f"{count_left_out(lines)} lines that were left out"
        )
    if options.json:
        environment.print(json.dumps(_describe(story)))
    else:
        _print(story, environment)
    return ExitStatus.SUCCESS


def _read_logs(names: list[str]) -> list[LogLine]:
    with contextlib.ExitStack() as files:
        return read_lines(
            files.enter_context(Path(name).open(encoding="utf-8", errors="replace"))
            for name in names
        )


def _describe(story: Story) -> dict[str, object]:
    return {
        "request": story.request,
        "lines": [line.fields for line in story.lines],
        "context": [line.fields for line in story.context],
        "cause": story.cause,
    }


def _print(story: Story, environment: Environment) -> None:
    for line in story.lines:
        environment.print(format_text(line.fields))
    for line in story.context:
        environment.print(f"  beside it: {format_text(line.fields)}")
    environment.print(story.cause)
