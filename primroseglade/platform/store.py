"""The one client of the platform's store: a log with topics, and newest records."""

import asyncio
import base64
import json
import struct
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..observe.events import ENTRY_UNREADABLE, Journal
from ..sidecar.http_client import Answer, ConnectionPool, ExchangeError
from ..sidecar.model import NodeEntry, Policy
from ..sidecar.policy_tracker import OffsetExpiredError, PolicyRecord, StoreError
from .operator_config import decode_policy

CONNECT_SECONDS = 1.0
# The records that a read asks for have been deleted.
GONE_STATUS = 410
# Written by operators; nodes may only read it.
OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
# The nodes' own topics. The newest record of a key is kept for good.
NODES_TOPIC = "keyed.primroseglade-nodes"
DRAINS_TOPIC = "keyed.primroseglade-drains"

OFFSETS = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class KeyedRecord:
    """The newest record of a key."""

    __slots__ = ("key", "value")

    def __init__(self, key: str, value: bytes):
        self.key = key
        self.value = value


class NewestRecords:
    """The newest records of a topic, and the position after them."""

    __slots__ = ("items", "next_offset")

    def __init__(self, items: list[KeyedRecord], next_offset: int):
        self.items = items
        self.next_offset = next_offset


class StoreClient:
    """Calls the platform's store.

    Args:
        address: ``IP:PORT``.
        journal: Where unreadable entries are told.
    """

    def __init__(self, address: str, journal: Journal):
        self._address = address
        self._journal = journal
        self._pool = ConnectionPool(address, CONNECT_SECONDS)

    def decode(self, record: bytes) -> Policy:
        """Return the meaning of a record of the operator's configuration.

        Raises:
            InputError: It has none.
        """
        return decode_policy(record)

    async def read_newest(self, timeout: float) -> PolicyRecord:
        """Return the operator's newest configuration.

        Raises:
            StoreError: No usable answer.
        """
        newest = await self._read_newest_items(OPERATOR_TOPIC, timeout)
        for item in newest.items:
            if item.key == CONFIG_KEY:
                return PolicyRecord(item.value, newest.next_offset)
        return PolicyRecord(None, newest.next_offset)

    async def read_since(
        self, offset: int, wait: float, timeout: float
    ) -> PolicyRecord | None:
        """Return what the operator published since a position, None if nothing.

        Raises:
            PositionGoneError: What came since is not there any more.
            StoreError: No usable answer.
        """
        query = {
            "topic": OPERATOR_TOPIC,
            "part": 0,
            "from": offset,
            "wait_ms": int(wait * 1000),
        }
        answer = await self._call("GET", "/log-read", query, b"", timeout)
        data = answer.body
        if len(data) < OFFSETS.size:
            raise StoreError("a read of less than its positions")
        end_offset, first_offset = OFFSETS.unpack_from(data)
        if end_offset < offset or first_offset > offset:
            detail = f"position {offset} is not between {first_offset} and {end_offset}"
            raise OffsetExpiredError(detail)
        records = split_records(data[OFFSETS.size :])
        if not records:
            return None
        newest: bytes | None = None
        for record in records:
            key, value = split_key(record)
            if key == CONFIG_KEY and value:
                newest = value
        return PolicyRecord(newest, offset + len(records))

    async def list_nodes(self, timeout: float) -> list[NodeEntry]:
        """Return the nodes that made themselves known.

        Raises:
            StoreError: No usable answer.
        """
        newest = await self._read_newest_items(NODES_TOPIC, timeout)
        entries = []
        for item in newest.items:
            try:
                entries.append(msgspec.json.decode(item.value, type=NodeEntry))
            except msgspec.MsgspecError as error:
                # Of another version, or foreign: it names no node to use.
                self._journal.emit(ENTRY_UNREADABLE, key=item.key, reason=str(error))
        return entries

    async def write_node(self, entry: NodeEntry, timeout: float) -> None:
        """Make a node known.

        Raises:
            StoreError: It may not be kept.
        """
        await self._write(NODES_TOPIC, entry.name, msgspec.json.encode(entry), timeout)

    async def write_drain(
        self, instance: str, start_time_ms: int, timeout: float
    ) -> None:
        """Keep that a backend server leaves.

        Raises:
            StoreError: It may not be kept.
        """
        await self._write(DRAINS_TOPIC, instance, str(start_time_ms).encode(), timeout)

    async def list_drains(self, timeout: float) -> dict[str, int]:
        """Return the backend servers that leave, with the start of their lifetime.

        Raises:
            StoreError: No usable answer.
        """
        newest = await self._read_newest_items(DRAINS_TOPIC, timeout)
        return {
            item.key: int(item.value) for item in newest.items if item.value.isdigit()
        }

    async def close(self) -> None:
        """Close the connections."""
        self._pool.close_idle()

    async def _write(self, topic: str, key: str, value: bytes, timeout: float) -> None:
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = RECORD_LENGTH.pack(len(record)) + record
        query = {"topic": topic, "part": 0}
        await self._call("POST", "/log-append", query, body, timeout)

    async def _read_newest_items(self, topic: str, timeout: float) -> NewestRecords:
        items: list[KeyedRecord] = []
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            answer = await self._call("GET", "/log-newest", query, b"", timeout)
            try:
                page = json.loads(answer.body)
                for item in page["items"]:
                    value = base64.b64decode(item["value"])
                    items.append(KeyedRecord(item["key"], value))
                has_more = page.get("truncated") and items
                end_offset = int(page["end"])
            except (ValueError, KeyError, TypeError) as error:
                raise StoreError(f"an answer that cannot be read: {error}") from error
            if not has_more:
                return NewestRecords(items, end_offset)
            query["after"] = items[-1].key

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout: float
    ) -> Answer:
        head = (
            f"{method} {path}?{urlencode(query)} HTTP/1.1\r\n"
            f"Host: {self._address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout):
                connection = await self._pool.acquire()
                try:
                    answer = await connection.exchange(head.encode() + body)
                finally:
                    self._pool.release(connection)
        except TimeoutError as error:
            raise StoreError(f"{path}: no answer within {timeout:.1f} s") from error
        except ExchangeError as error:
            raise StoreError(f"{path}: {error.detail}") from error
        if answer.status == GONE_STATUS:
            raise OffsetExpiredError(f"{path}: status {answer.status}")
        if answer.status != 200:
            raise StoreError(f"{path}: status {answer.status}")
        return answer


def split_records(data: bytes) -> list[bytes]:
    """Return the records of a read; one that is cut short at the end is left out.

    >>> split_records(bytes([0, 0, 0, 2]) + b"ab" + bytes([0, 0, 0, 3]) + b"c")
    [b'ab']
    """
    records = []
    start = 0
    while start + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, start)
        start += RECORD_LENGTH.size
        if start + length > len(data):
            break
        records.append(data[start : start + length])
        start += length
    return records


def split_key(record: bytes) -> tuple[str, bytes]:
    """Return a keyed record's key and value.

    Raises:
        StoreError: It is none.

    >>> split_key(bytes([2]) + b"abc")
    ('ab', b'c')
    """
    if not record or len(record) < 1 + record[0]:
        raise StoreError("a record without a key")
    end = 1 + record[0]
    return record[1:end].decode("utf-8", "replace"), record[end:]
