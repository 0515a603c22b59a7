"""Publishes an edit to the log and follows it until its verdict, and everywhere."""

import asyncio
from typing import Any

from .document.records import Edit, SectionEdit
from .errors import RefusedError, UnreachableError
from .operator_client import OperatorClient
from .platform.log import CONFIGURATION, LogClient, LogUnavailableError

POLL_INTERVAL_SECONDS = 0.05
APPEND_RETRY_SECONDS = 0.5


class Published:
    """What became of an edit.

    Args:
        record: Its id.
        offset: Where it stands in the log.
        accepted: Whether the document took it.
        reason: Why not.
        sections: What it changed.
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
        """Return it for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


def build_edit(
    changes: dict[str, Any], view: dict[str, Any], author: str, as_of: int | None
) -> Edit | None:
    """Build an edit of the sections that differ from those in force.

    Args:
        changes: Section to its new value, None to take it out.
        view: A node's ``/document``.
        author: Who publishes.
        as_of: Refuse where a section has changed at or after this offset.

    Returns:
        The edit, or None where nothing differs.

    Raises:
        RefusedError: Somebody changed a section since.
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
) -> Published:
    """Append an edit and wait for the node's verdict on it.

    An append without an answer may have taken effect. The edit is then looked for by
    its id, and appended again if it does not show: should both stand in the log, the
    second is based on versions that the first has changed, and changes nothing.

    Raises:
        UnreachableError: No verdict in time; the edit may yet come into force.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + wait
    while clock() < deadline:
        try:
            await log.append(CONFIGURATION, edit.to_value())
            outcome_timeout = deadline - clock()
        except LogUnavailableError:
            outcome_timeout = min(APPEND_RETRY_SECONDS, deadline - clock())
        published = await _wait_for_outcome(client, edit.id, outcome_timeout)
        if published is not None:
            return published
    raise UnreachableError(
        f"no verdict on record {edit.id} within {wait:g} s: it may yet come into force"
    )


async def wait_everywhere(
    client: OperatorClient, published: Published, wait: float
) -> None:
    """Wait until all instances confirmed, and note those that did not."""
    clock = asyncio.get_running_loop().time
    deadline = clock() + wait
    while True:
        view = await client.get("/confirmations")
        offsets = view["offsets"]
        confirmed = {name for name, n in offsets.items() if n > published.offset}
        published.confirmed = sorted(confirmed)
        published.behind = sorted(set(offsets) - confirmed)
        published.silent = view["silent"]
        published.everywhere = not published.behind and not published.silent
        if published.everywhere or clock() > deadline:
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _wait_for_outcome(
    client: OperatorClient, record: str, wait: float
) -> Published | None:
    clock = asyncio.get_running_loop().time
    deadline = clock() + wait
    while True:
        try:
            outcome = await client.get(f"/outcomes/{record}")
        except RefusedError:
            if clock() > deadline:
                return None
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            continue
        return Published(
            outcome["record"],
            outcome["offset"],
            outcome["accepted"],
            outcome["reason"],
            outcome["sections"],
        )
