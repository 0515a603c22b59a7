"""In-memory stand-in for the platform's store, with injected faults."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.http_server import HttpServer

JSON_CONTENT_TYPE = b"Content-Type: application/json\r\n"
BINARY_CONTENT_TYPE = b"Content-Type: application/octet-stream\r\n"
OFFSET_PAIR = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
KEYED_TOPIC_PREFIX = "keyed."


class Partition:
    """Records of one partition of a topic.

    Attributes:
        records: Retained records, the oldest first.
        first_offset: Offset of the oldest retained record.
        newest: In keyed topics, the latest value of each key and its offset.
    """

    __slots__ = ("first_offset", "newest", "records")

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.newest: dict[str, tuple[bytes, int]] = {}

    @property
    def end_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self.records)


class StoreFaults:
    """Faults that the store injects until they are reset.

    Attributes:
        error_status: Status of all responses, such as 503; 0 for no such fault.
        silent: Whether requests get no response.
        delay_seconds: Delay of each response.
        lose_answers: Whether writes are applied but never answered.
    """

    __slots__ = ("delay_seconds", "error_status", "lose_answers", "silent")

    def __init__(self) -> None:
        self.error_status = 0
        self.silent = False
        self.delay_seconds = 0.0
        self.lose_answers = False


class StoreStandIn:
    """Keeps topics in memory and serves them over the platform store's HTTP protocol.

    Args:
        address: ``IP:PORT`` to listen on.
    """

    def __init__(self, address: str):
        self.faults = StoreFaults()
        self.calls = 0
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._changed = asyncio.Condition()
        self._server = HttpServer(address, self._handle)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    def publish(self, configuration: dict[str, object]) -> None:
        """Write a new configuration to the operator's topic."""
        self.append("keyed.op", "config", json.dumps(configuration).encode())

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a keyed topic."""
        name = key.encode()
        self._append_records(
            self._get_partition(topic, 0), [bytes([len(name)]) + name + value], True
        )

    def delete_history(self) -> None:
        """Delete all records; the latest value of each key can still be read."""
        for partition in self._partitions.values():
            partition.first_offset = partition.end_offset
            partition.records = []

    def read_newest(self, topic: str) -> dict[str, bytes]:
        """Return the latest value of each key."""
        partition = self._get_partition(topic, 0)
        return {key: value for key, (value, _) in partition.newest.items()}

    async def _handle(self, request: Request) -> Reply:
        self.calls += 1
        faults = self.faults
        if faults.silent:
            await asyncio.Event().wait()
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if faults.error_status:
            return Reply(render_status_line(faults.error_status), b"")
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-append":
            return await self._handle_append(query, request.body)
        if parts.path == "/log-read":
            return await self._handle_read(query)
        if parts.path == "/log-newest":
            return self._handle_read_newest(query)
        return Reply(render_status_line(404), b"")

    def _get_partition(self, topic: str, part: int) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    def _append_records(
        self, partition: Partition, records: list[bytes], keyed: bool
    ) -> int:
        offset = partition.end_offset
        for number, record in enumerate(records):
            partition.records.append(record)
            if keyed:
                end = 1 + record[0]
                key = record[1:end].decode()
                partition.newest[key] = (record[end:], offset + number)
                if not record[end:]:
                    del partition.newest[key]
        asyncio.ensure_future(self._notify())
        return offset

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _handle_append(self, query: dict[str, str], body: bytes) -> Reply:
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return Reply(render_status_line(403), b"")
        partition = self._get_partition(topic, int(query["part"]))
        if "as_of" in query and int(query["as_of"]) != partition.end_offset:
            body = json.dumps({"end": partition.end_offset}).encode()
            return Reply(render_status_line(412) + JSON_CONTENT_TYPE, body)
        records = []
        start = 0
        while start < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, start)
            start += RECORD_LENGTH.size
            records.append(body[start : start + length])
            start += length
        offset = self._append_records(
            partition, records, topic.startswith(KEYED_TOPIC_PREFIX)
        )
        if self.faults.lose_answers:
            await asyncio.Event().wait()
        answer = json.dumps({"offset": offset, "end": partition.end_offset}).encode()
        return Reply(render_status_line(200) + JSON_CONTENT_TYPE, answer)

    async def _handle_read(self, query: dict[str, str]) -> Reply:
        partition = self._get_partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait = int(query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: partition.end_offset > start)
        except TimeoutError:
            # No new records: the response holds only the offsets.
            pass
        if start < partition.first_offset:
            body = json.dumps({"first": partition.first_offset}).encode()
            return Reply(render_status_line(410) + JSON_CONTENT_TYPE, body)
        records = partition.records[start - partition.first_offset :]
        data = OFFSET_PAIR.pack(partition.end_offset, partition.first_offset)
        data += b"".join(RECORD_LENGTH.pack(len(item)) + item for item in records)
        return Reply(render_status_line(200) + BINARY_CONTENT_TYPE, data)

    def _handle_read_newest(self, query: dict[str, str]) -> Reply:
        partition = self._get_partition(query["topic"], int(query["part"]))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(partition.newest.items())
            if key > query.get("after", "")
        ]
        page = {"items": items[:500], "truncated": len(items) > 500}
        body = json.dumps(page | {"end": partition.end_offset}).encode()
        return Reply(render_status_line(200) + JSON_CONTENT_TYPE, body)
