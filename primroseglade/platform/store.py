"""Client of the platform's store: a log with topics, some of them compacted by key."""

import asyncio
import base64
import json
import struct
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..observe.events import ENTRY_UNREADABLE, Journal
from ..sidecar.client_connection import ExchangeError, Response
from ..sidecar.http_client import ConnectionPool
from ..sidecar.model import NodeEntry, Policy
from ..sidecar.policy_tracker import OffsetExpiredError, OperatorRecords, StoreError
from .operator_config import decode_policy

CONNECT_TIMEOUT_SECONDS = 1.0
# HTTP status of a read whose records have been deleted.
GONE_STATUS = 410
# Written by operators, read-only for nodes.
OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
# The zone's name follows. The key is removed when the evacuation is taken back.
EVACUATION_KEY_PREFIX = "evacuate/"
# Written by nodes. The store never deletes the newest record of a key.
NODES_TOPIC = "keyed.primroseglade-nodes"
DRAINS_TOPIC = "keyed.primroseglade-drains"

# Head of a read's response: the offset after the newest record, then the offset of the
# oldest.
READ_HEAD = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class KeyedRecord:
    """A key and its newest value."""

    __slots__ = ("key", "value")

    def __init__(self, key: str, value: bytes):
        self.key = key
        self.value = value


class NewestRecords:
    """The newest record of each key of a topic, and the topic's next offset."""

    __slots__ = ("items", "next_offset")

    def __init__(self, items: list[KeyedRecord], next_offset: int):
        self.items = items
        self.next_offset = next_offset


class StoreClient:
    """Reads and writes the topics that nodes use.

    Args:
        address: ``IP:PORT`` of the store.
        journal: Logs entries that cannot be decoded.
    """

    def __init__(self, address: str, journal: Journal):
        self._address = address
        self._journal = journal
        self._pool = ConnectionPool(address, CONNECT_TIMEOUT_SECONDS)

    def decode(self, record: bytes) -> Policy:
        """Decode a record of the operator's configuration.

        Raises:
            InputError: The record is not a valid configuration.
        """
        return decode_policy(record)

    async def read_newest(self, timeout: float) -> OperatorRecords:
        """Return the operator's newest configuration and all evacuations in force.

        Args:
            timeout: Seconds to wait for a response.

        Raises:
            StoreError: The store gave no valid response.
        """
        newest = await self._read_newest_items(OPERATOR_TOPIC, timeout)
        records = [(item.key, item.value) for item in newest.items]
        return read_operator_records(records, newest.next_offset)

    async def read_since(
        self, offset: int, wait: float, timeout: float
    ) -> OperatorRecords | None:
        """Return what the operator wrote since an offset, or None if nothing.

        Args:
            offset: Offset of the first record to read.
            wait: Seconds that the store may wait for a record.
            timeout: Seconds to wait for the store's response.

        Raises:
            OffsetExpiredError: The store does not have all records since the offset.
            StoreError: The store gave no valid response.
        """
        query = {
            "topic": OPERATOR_TOPIC,
            "part": 0,
            "from": offset,
            "wait_ms": int(wait * 1000),
        }
        response = await self._call("GET", "/log-read", query, b"", timeout)
        data = response.body
        if len(data) < READ_HEAD.size:
            raise StoreError(
                f"log read of {len(data)} bytes, less than its "
                f"{READ_HEAD.size}-byte head"
            )
        end_offset, first_offset = READ_HEAD.unpack_from(data)
        if end_offset < offset or first_offset > offset:
            detail = f"offset {offset} is not between {first_offset} and {end_offset}"
            raise OffsetExpiredError(detail)
        records = split_records(data[READ_HEAD.size :])
        if not records:
            return None
        return read_operator_records(map(split_key, records), offset + len(records))

    async def list_nodes(self, timeout: float) -> list[NodeEntry]:
        """Return the entries of all registered nodes.

        Raises:
            StoreError: The store gave no valid response.
        """
        newest = await self._read_newest_items(NODES_TOPIC, timeout)
        entries = []
        for item in newest.items:
            try:
                entries.append(msgspec.json.decode(item.value, type=NodeEntry))
            except msgspec.MsgspecError as error:
                # Written by another version or another program; skip it.
                self._journal.emit(ENTRY_UNREADABLE, key=item.key, reason=str(error))
        return entries

    async def write_node(self, entry: NodeEntry, timeout: float) -> None:
        """Register a node.

        Raises:
            StoreError: The write was not confirmed; it may have succeeded.
        """
        await self._write(NODES_TOPIC, entry.name, msgspec.json.encode(entry), timeout)

    async def write_drain(
        self, instance: str, start_time_ms: int, timeout: float
    ) -> None:
        """Record that a backend server is draining.

        Args:
            instance: Id of the backend server.
            start_time_ms: Start time of the backend server in Unix ms; 0 if unknown.
            timeout: Seconds to wait for a response.

        Raises:
            StoreError: The write was not confirmed; it may have succeeded.
        """
        # One key for each lifetime: the store may carry out an older write, whose
        # response was lost, after a newer one.
        key = f"{instance}/{start_time_ms}"
        await self._write(DRAINS_TOPIC, key, str(start_time_ms).encode(), timeout)

    async def list_drains(self, timeout: float) -> dict[str, int]:
        """Return the latest start times of draining backend servers, in Unix ms, by id.

        Raises:
            StoreError: The store gave no valid response.
        """
        newest = await self._read_newest_items(DRAINS_TOPIC, timeout)
        start_times: dict[str, int] = {}
        for item in newest.items:
            if not item.value.isdigit():
                continue
            # Keys of earlier versions are the instance ID alone.
            instance = item.key.removesuffix(f"/{item.value.decode()}")
            start_times[instance] = max(int(item.value), start_times.get(instance, 0))
        return start_times

    async def close(self) -> None:
        """Close idle connections."""
        self._pool.close_idle()

    async def _write(self, topic: str, key: str, value: bytes, timeout: float) -> None:
        encoded_key = key.encode()
        record = bytes([len(encoded_key)]) + encoded_key + value
        body = RECORD_LENGTH.pack(len(record)) + record
        query = {"topic": topic, "part": 0}
        await self._call("POST", "/log-append", query, body, timeout)

    async def _read_newest_items(self, topic: str, timeout: float) -> NewestRecords:
        items: list[KeyedRecord] = []
        query: dict[str, Any] = {"topic": topic, "part": 0}
        while True:
            response = await self._call("GET", "/log-newest", query, b"", timeout)
            try:
                page = json.loads(response.body)
                for item in page["items"]:
                    value = base64.b64decode(item["value"])
                    items.append(KeyedRecord(item["key"], value))
                has_more = page.get("truncated") and items
                end_offset = int(page["end"])
            except (ValueError, KeyError, TypeError) as error:
                raise StoreError(f"malformed store response: {error}") from error
            if not has_more:
                return NewestRecords(items, end_offset)
            query["after"] = items[-1].key

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout: float
    ) -> Response:
        head = (
            f"{method} {path}?{urlencode(query)} HTTP/1.1\r\n"
            f"Host: {self._address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout):
                connection = await self._pool.acquire()
                try:
                    response = await connection.exchange(head.encode() + body)
                finally:
                    self._pool.release(connection)
        except TimeoutError as error:
            raise StoreError(f"{path}: no response within {timeout:.1f} s") from error
        except ExchangeError as error:
            raise StoreError(f"{path}: {error.detail}") from error
        if response.status == GONE_STATUS:
            raise OffsetExpiredError(f"{path}: status {response.status}")
        if response.status != 200:
            raise StoreError(f"{path}: status {response.status}")
        return response


def read_operator_records(
    records: Iterable[tuple[str, bytes]], next_offset: int
) -> OperatorRecords:
    """Return what keys and values of the operator's topic say, the oldest first.

    A key without a value was removed.

    >>> records = [("config", b"{}"), ("evacuate/a", b"{}"), ("evacuate/b", b"")]
    >>> read_operator_records(records, 3).evacuations
    {'a': True, 'b': False}
    """
    policy: bytes | None = None
    evacuations: dict[str, bool] = {}
    for key, value in records:
        if key == CONFIG_KEY and value:
            policy = value
        elif key.startswith(EVACUATION_KEY_PREFIX):
            evacuations[key.removeprefix(EVACUATION_KEY_PREFIX)] = bool(value)
    return OperatorRecords(policy, evacuations, next_offset)


def split_records(data: bytes) -> list[bytes]:
    """Return the complete records in the data of a read; the last may be truncated.

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
    """Split a keyed record into key and value.

    Raises:
        StoreError: The record has no complete key.

    >>> split_key(bytes([2]) + b"abc")
    ('ab', b'c')
    """
    if not record or len(record) < 1 + record[0]:
        raise StoreError("store record without a complete key")
    end = 1 + record[0]
    return record[1:end].decode("utf-8", "replace"), record[end:]
