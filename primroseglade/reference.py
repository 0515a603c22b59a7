"""Generates the reference pages in ``docs/`` from the code.

Run ``python -m primroseglade.reference docs`` to update them; a test checks that they
are current.
"""

import pathlib
import sys
from typing import Any

from .document.schema import SECTION_SCHEMAS
from .observe.events import EVENT_CATALOG
from .observe.metrics import Metrics
from .platform.settings import OPTIONAL_SETTINGS
from .settings.node import SETTINGS_SCHEMA
from .verdicts import Reason

GENERATED_NOTE = "This page is written by `python -m primroseglade.reference docs`.\n"


def render_events() -> str:
    """Return the page that lists all events."""
    lines = ["# Events", "", GENERATED_NOTE]
    lines.append(
        "A node logs numbered events with fields, as text or as JSON lines (setting "
        "`log/format`). Numbers are stable.\n"
    )
    lines += ["| number | level | text | meaning |", "| --- | --- | --- | --- |"]
    for event in sorted(EVENT_CATALOG.values(), key=lambda item: item.number):
        lines.append(
            f"| {event.number} | {event.level} | {event.text} | {event.meaning} |"
        )
    return "\n".join(lines) + "\n"


def render_metrics() -> str:
    """Return the page that lists all metrics."""
    lines = ["# Metrics", "", GENERATED_NOTE]
    lines.append("Served at `/metrics` of a node's operator address.\n")
    lines += ["| name | type | meaning |", "| --- | --- | --- |"]
    for name, kind, text in sorted(Metrics().describe()):
        lines.append(f"| `{name}` | {kind} | {text} |")
    return "\n".join(lines) + "\n"


def render_settings() -> str:
    """Return the page of node settings and of the fields of the document."""
    lines = [
        "# Settings and the document",
        "",
        GENERATED_NOTE,
        "## Settings of a node",
        "",
    ]
    lines += ["| path | default | unit | meaning |", "| --- | --- | --- | --- |"]
    required = set(SETTINGS_SCHEMA["required"])
    lines += _render_fields("", SETTINGS_SCHEMA["properties"], required)
    lines += [
        "",
        "## Optional settings on the users' platform",
        "",
        "The platform states the others (docs/PLATFORM.md). A value out of range is "
        "refused at the start.",
        "",
        "| path | default | unit | meaning |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| `{path}` | {default} | {unit} | {text} |"
        for path, default, unit, text in OPTIONAL_SETTINGS
    ]
    lines += ["", "## Sections of the document", ""]
    for kind, schema in SECTION_SCHEMAS.items():
        lines += [f"### {kind}/NAME", "", schema["description"], ""]
        lines += ["| field | default | unit | meaning |", "| --- | --- | --- | --- |"]
        lines += _render_fields("", schema["properties"], set(schema["required"]))
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def render_refusals() -> str:
    """Return the page that lists the reasons of refusals."""
    lines = ["# Refusals", "", GENERATED_NOTE]
    lines += ["| reason | status | title |", "| --- | --- | --- |"]
    for reason in Reason:
        lines.append(f"| `{reason.code}` | {reason.status} | {reason.title} |")
    return "\n".join(lines) + "\n"


def _render_fields(path: str, fields: dict[str, Any], required: set[str]) -> list[str]:
    lines = []
    for name, field in fields.items():
        field_path = f"{path}/{name}"
        items = field.get("items", {})
        nested = field.get("properties") or items.get("properties")
        default = "required" if name in required else field.get("default", "")
        default_text = "" if nested and default in ({}, []) else default
        unit = field.get("unit", "")
        text = field.get("description", "")
        lines.append(f"| `{field_path}` | {default_text} | {unit} | {text} |")
        if nested:
            nested_required = set(field.get("required") or items.get("required") or ())
            lines += _render_fields(field_path, nested, nested_required)
    return lines


PAGES = {
    "EVENTS.md": render_events,
    "METRICS.md": render_metrics,
    "REFUSALS.md": render_refusals,
    "SETTINGS.md": render_settings,
}


def write_pages(folder: str) -> None:
    """Write all pages to a folder."""
    for name, render in PAGES.items():
        pathlib.Path(folder, name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    write_pages(sys.argv[1] if len(sys.argv) > 1 else "docs")
