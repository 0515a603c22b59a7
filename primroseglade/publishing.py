"""Publishes edits to the configuration log and tracks their outcome in the fleet."""

import asyncio
from typing import Any

from .document.records import Edit, SectionEdit
from .errors import RefusedError, UnreachableError
from .operator_client import OperatorClient
from .platform.log import CONFIGURATION_TOPIC, LogClient, LogUnavailableError

POLL_INTERVAL_SECONDS = 0.05
APPEND_RETRY_SECONDS = 0.5


class PublishedEdit:
    """A published edit: its outcome, and which instances have confirmed it.

    Args:
        record: Id of the record.
        offset: Offset of the record in the log.
        accepted: Whether the edit was accepted.
        reason: Why the edit was rejected.
        sections: Names of the edited sections.

    Attributes:
        everywhere: Whether all instances have confirmed the edit.
        confirmed: Instances that have confirmed the edit.
        behind: Instances that have an older configuration.
        silent: Instances that did not respond.
    """

    __slots__ = (
        "accepted",
        "behind",
        "confirmed",
        "everywhere",
        "offset",
        "reason",
        "record",
        "sections",
        "silent",
    )

    def __init__(
        self,
        record: str,
        offset: int,
        accepted: bool,
        reason: str,
        sections: list[str],
    ):
        self.record = record
        self.offset = offset
        self.accepted = accepted
        self.reason = reason
        self.sections = sections
        self.everywhere = False
        self.confirmed: list[str] = []
        self.behind: list[str] = []
        self.silent: list[str] = []

    def to_dict(self) -> dict[str, Any]:
        """Return the attributes as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


def build_edit(
    changes: dict[str, Any], view: dict[str, Any], author: str, as_of: int | None
) -> Edit | None:
    """Build an edit of the sections whose value changes.

    Args:
        changes: Section name to its new value, or None to remove the section.
        view: The current document, as served at a node's ``/document``.
        author: Author of the edit.
        as_of: Refuse the edit if a section was changed at or after this offset.

    Returns:
        The edit, or None if no section changes.

    Raises:
        RefusedError: A section was changed at or after ``as_of``.
    """
    edits = []
    for name, value in changes.items():
        current = view["sections"].get(name)
        base = current["version"] if current else None
        if as_of is not None and base is not None and base >= as_of:
            raise RefusedError(f"{name} was changed at {base} by {current['author']}")
        if (current["value"] if current else None) != value:
            edits.append(SectionEdit(name, base, value))
    return Edit(edits, author) if edits else None


async def publish(
    log: LogClient, client: OperatorClient, edit: Edit, wait: float
) -> PublishedEdit:
    """Append an edit to the log and wait for its outcome on a node.

    An append without a response may have taken effect. The outcome is then looked up
    by the record id, and the edit is appended again if no outcome is found. If both
    copies are in the log, the second is rejected as a conflict with the first.

    Args:
        log: Client of the log.
        client: Client of the node that reports the outcome.
        edit: The edit.
        wait: Maximum wait for the outcome, in seconds.

    Raises:
        UnreachableError: There is no outcome in time; the edit may still be applied.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + wait
    while clock() < deadline:
        try:
            await log.append(CONFIGURATION_TOPIC, edit.to_value())
            outcome_timeout = deadline - clock()
        except LogUnavailableError:
            outcome_timeout = min(APPEND_RETRY_SECONDS, deadline - clock())
        published = await _wait_for_outcome(client, edit.id, outcome_timeout)
        if published is not None:
            return published
    raise UnreachableError(
        f"no outcome of record {edit.id} within {wait:g} s: it may still be applied"
    )


async def wait_for_confirmations(
    client: OperatorClient, published: PublishedEdit, wait: float
) -> None:
    """Wait until all instances have confirmed an edit, and store which have not.

    Args:
        client: Client of the node that collects the confirmations.
        published: The edit; its lists of instances are updated.
        wait: Maximum wait for the confirmations, in seconds.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + wait
    while True:
        view = await client.get("/confirmations")
        offsets = view["offsets"]
        confirmed = {
            name for name, offset in offsets.items() if offset > published.offset
        }
        published.confirmed = sorted(confirmed)
        published.behind = sorted(set(offsets) - confirmed)
        published.silent = view["silent"]
        published.everywhere = not published.behind and not published.silent
        if published.everywhere or clock() > deadline:
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _wait_for_outcome(
    client: OperatorClient, record_id: str, wait: float
) -> PublishedEdit | None:
    clock = asyncio.get_running_loop().time
    deadline = clock() + wait
    while True:
        try:
            outcome = await client.get(f"/outcomes/{record_id}")
        except RefusedError:
            if clock() > deadline:
                return None
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            continue
        return PublishedEdit(
            outcome["record"],
            outcome["offset"],
            outcome["accepted"],
            outcome["reason"],
            outcome["sections"],
        )
