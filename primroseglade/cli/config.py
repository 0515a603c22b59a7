"""Implements ``primroseglade config``."""

import argparse
import json
from typing import Any

from ..document.checks import check_changes
from ..document.document import Document
from ..document.schema import flatten_document
from ..environment import Environment
from ..errors import RefusedError
from ..exits import ExitStatus
from ..operator_client import OperatorClient
from ..platform.log import LogClient
from ..publishing import build_edit, publish, PublishedEdit, wait_for_confirmations
from ..settings.reader import read_file
from .registry import command


def read_sections(path: str) -> dict[str, Any]:
    """Read a document file and check it on its own, not against the one in force.

    Raises:
        InputError: The file cannot be read, or the document is not valid.
    """
    sections = flatten_document(read_file(path), path)
    check_changes(Document(), dict(sections))
    return sections


@command("config check")
async def check(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Check a document file."""
    sections = read_sections(options.document)
    if options.json:
        environment.print(json.dumps({"valid": True, "sections": sorted(sections)}))
    else:
        environment.print(f"{options.document}: {len(sections)} sections, all valid")
    return ExitStatus.SUCCESS


@command("config show")
async def show(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Print the document in force."""
    async with OperatorClient(options.node, options.token) as client:
        view = await client.get("/document")
    if options.json:
        environment.print(json.dumps(view))
        return ExitStatus.SUCCESS
    environment.print(f"// as of offset {view['next_offset']}")
    environment.print(json.dumps(_group_by_kind(view["sections"]), indent=2))
    return ExitStatus.SUCCESS


@command("config diff")
async def diff(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Print which sections differ from those in force."""
    proposed = read_sections(options.document)
    async with OperatorClient(options.node, options.token) as client:
        view = await client.get("/document")
    current = _get_sections_in_force(view["sections"])
    changes = {
        "added": sorted(set(proposed) - set(current)),
        "changed": sorted(
            name
            for name, value in proposed.items()
            if name in current and current[name] != value
        ),
        "only in force": sorted(set(current) - set(proposed)),
    }
    if options.json:
        environment.print(json.dumps(changes))
        return ExitStatus.SUCCESS
    for kind, names in changes.items():
        for name in names:
            environment.print(f"{kind:<14}{name}")
    if not any(changes.values()):
        environment.print("no differences: the document is in force")
    return ExitStatus.SUCCESS


@command("config publish")
async def publish_sections(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Publish sections; wait for the verdict and, if asked, for all instances."""
    sections = read_sections(options.document)
    if options.section:
        missing = sorted(set(options.section) - set(sections))
        if missing:
            raise RefusedError(f"{options.document} has no section {missing[0]}")
        sections = {name: sections[name] for name in options.section}
    changes = sections | dict.fromkeys(options.remove)
    log = LogClient(options.platform)
    try:
        async with OperatorClient(options.node, options.token) as client:
            view = await client.get("/document")
            edit = build_edit(changes, view, options.author, options.as_of)
            if edit is None:
                return _print_unchanged(options, environment)
            published = await publish(log, client, edit, options.wait)
            if published.accepted and options.everywhere:
                await wait_for_confirmations(client, published, options.wait)
    finally:
        await log.close()
    return _print_published(published, options, environment)


@command("config status")
async def show_status(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    """Print which instances have confirmed the configuration."""
    async with OperatorClient(options.node, options.token) as client:
        view = await client.get("/confirmations")
    if options.json:
        environment.print(json.dumps(view))
    else:
        environment.print(f"next offset {view['next_offset']}")
        environment.print(f"confirmed   {len(view['confirmed'])} instances")
        for name in view["behind"]:
            environment.print(f"behind      {name} at {view['offsets'][name]}")
        for name in view["silent"]:
            environment.print(f"silent      {name}: no answer")
    return ExitStatus.SUCCESS if view["everywhere"] else ExitStatus.REFUSED


def _print_unchanged(
    options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    if options.json:
        environment.print(json.dumps({"accepted": True, "sections": []}))
    else:
        environment.print("nothing to publish: the sections are already in force")
    return ExitStatus.SUCCESS


def _print_published(
    published: PublishedEdit, options: argparse.Namespace, environment: Environment
) -> ExitStatus:
    if options.json:
        environment.print(json.dumps(published.to_dict()))
    elif published.accepted:
        names = ", ".join(published.sections)
        environment.print(f"accepted at offset {published.offset}: {names}")
        if options.everywhere:
            environment.print(_describe_confirmations(published))
    else:
        environment.warn(f"primroseglade: refused: {published.reason}")
    if not published.accepted:
        return ExitStatus.REFUSED
    unconfirmed = options.everywhere and not published.everywhere
    return ExitStatus.REFUSED if unconfirmed else ExitStatus.SUCCESS


def _describe_confirmations(published: PublishedEdit) -> str:
    if published.everywhere:
        return f"in force on all {len(published.confirmed)} instances"
    names = ", ".join([*published.behind, *published.silent])
    return f"in force on {len(published.confirmed)} instances; not confirmed by {names}"


def _get_sections_in_force(sections: dict[str, Any]) -> dict[str, Any]:
    return {
        name: section["value"]
        for name, section in sections.items()
        if section["value"] is not None
    }


def _group_by_kind(sections: dict[str, Any]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for section, value in sorted(_get_sections_in_force(sections).items()):
        kind, _, name = section.partition("/")
        document.setdefault(kind, {})[name] = value
    return document
