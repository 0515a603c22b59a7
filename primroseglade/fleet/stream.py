"""Discovery of nodes through the membership stream, a topic of the platform's log.

Gossip only connects nodes that know each other. Nodes that start at the same moment
may find the stream empty, and after a long network partition each side has removed the
other side's nodes from its member tables. Every node therefore repeats discovery.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from ..addresses import parse_address
from ..platform.log import (
    LogClient,
    LogUnavailableError,
    MEMBERSHIP_TOPIC,
    OffsetOutOfRangeError,
)
from .members import Member

ENTRY_FORMAT_VERSION = 1
# The newest entries suffice: each node that answers sends all members that
# this node lacks.
MAX_RECORDS_READ = 200
INITIAL_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
INITIAL_DISCOVERY_SECONDS = 0.5
MAX_CONTACTS_PER_ROUND = 3


JoinPeers = Callable[[list[str]], Awaitable[int]]


class MembershipStream:
    """Writes join and leave entries of this node, and reads those of others.

    Args:
        log: Client of the platform's log.
        renewal_seconds: Average interval between join entries of a running node.
        discovery_seconds: Maximum interval between discovery rounds, before jitter.
    """

    def __init__(
        self, log: LogClient, renewal_seconds: float, discovery_seconds: float
    ):
        self._log = log
        self._renewal_interval_seconds = renewal_seconds
        self._max_discovery_interval_seconds = discovery_seconds

    async def find_contacts(self) -> list[str]:
        """Return the control addresses of nodes with recent entries, newest first.

        Raises:
            LogUnavailableError: The log does not answer.
        """
        try:
            first, end = await self._log.get_range(MEMBERSHIP_TOPIC)
            start = max(first, end - MAX_RECORDS_READ)
            if start >= end:
                return []
            records = await self._log.read(MEMBERSHIP_TOPIC, start, 0.0)
        except OffsetOutOfRangeError:
            return []
        contacts: dict[str, str] = {}
        for record in records:
            entry = _read_entry(record.value)
            if entry is None:
                continue
            instance, control, has_left = entry
            contacts.pop(instance, None)
            if not has_left:
                contacts[instance] = control
        return list(reversed(contacts.values()))

    async def run(self, own: Member) -> None:
        """Write a join entry now, and again at each renewal interval."""
        while True:
            await self._append_with_retries(_build_entry(own, "join"))
            await asyncio.sleep(
                self._renewal_interval_seconds * random.uniform(0.8, 1.2)
            )

    async def run_discovery(self, join_peers: JoinPeers) -> None:
        """Contact random nodes of the stream, at intervals that double up to a maximum.

        Args:
            join_peers: Exchanges member tables with nodes at these control addresses.
        """
        pause = INITIAL_DISCOVERY_SECONDS
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause)
            pause = min(self._max_discovery_interval_seconds, pause * 2)
            try:
                contacts = await self.find_contacts()
            except LogUnavailableError:
                continue
            chosen = random.sample(contacts, min(MAX_CONTACTS_PER_ROUND, len(contacts)))
            await join_peers(chosen)

    async def leave(self, own: Member) -> None:
        """Write a leave entry once, so that an outage does not delay the shutdown."""
        try:
            await self._log.append(MEMBERSHIP_TOPIC, _build_entry(own, "leave"))
        except LogUnavailableError:
            return

    async def _append_with_retries(self, entry: dict[str, Any]) -> None:
        delay = INITIAL_RETRY_SECONDS
        while True:
            try:
                await self._log.append(MEMBERSHIP_TOPIC, entry)
                return
            except LogUnavailableError:
                await asyncio.sleep(random.uniform(delay / 2, delay))
                delay = min(MAX_RETRY_SECONDS, delay * 2)


def _build_entry(own: Member, kind: str) -> dict[str, Any]:
    return {
        "format": ENTRY_FORMAT_VERSION,
        "kind": kind,
        "instance": own.instance,
        "zone": own.zone,
        "control": own.control,
    }


def _read_entry(value: Any) -> tuple[str, str, bool] | None:
    """Return instance, control address and whether it left; None if it is invalid."""
    if not isinstance(value, dict) or value.get("format") != ENTRY_FORMAT_VERSION:
        return None
    instance, control = value.get("instance"), value.get("control")
    if not isinstance(instance, str) or not isinstance(control, str):
        return None
    try:
        parse_address(control)
    except ValueError:
        return None
    return instance, control, value.get("kind") == "leave"
