"""Takes records from peers that are ahead, and gives them to those behind."""

import asyncio
import json
from collections.abc import Callable

from ..errors import InputError
from ..platform.log import LogRecord
from ..proto import control_pb2 as pb
from .configuration import Configuration
from .control import ControlClient, ControlServer, PeerError

PULL_TIMEOUT_SECONDS = 2.0


class PeerPuller:
    """Takes records from a peer that is ahead, and gives them to those behind.

    Args:
        configuration: The state.
        client: Asks peers.
        on_news: Called after records came in, to tell others at once.
    """

    def __init__(
        self,
        configuration: Configuration,
        client: ControlClient,
        on_records: Callable[[], None],
    ):
        self._configuration = configuration
        self._client = client
        self._on_records = on_records
        self._peers_ahead: asyncio.Queue[str] = asyncio.Queue(maxsize=1)

    def register(self, server: ControlServer) -> None:
        """Answer peers that are behind."""
        server.register("Records", self._answer)

    def note_offset(self, next_offset: int, age: float, control: str) -> None:
        """Take a neighbour's word on how far and how fresh it is."""
        own_offset = self._configuration.next_offset
        if next_offset > own_offset or (
            next_offset == 0 and not self._configuration.ready
        ):
            if not self._peers_ahead.full():
                self._peers_ahead.put_nowait(control)
        elif next_offset == own_offset and age < self._configuration.age:
            # Equal states: what the neighbour knows of their age holds here too.
            self._configuration.update_age(age)

    async def run(self) -> None:
        """Pull from whoever is ahead."""
        while True:
            control = await self._peers_ahead.get()
            try:
                await self.pull(control)
            except (PeerError, InputError):
                continue

    async def pull(self, control: str) -> None:
        """Take what a node has and this one has not.

        Raises:
            PeerError: It does not answer.
            InputError: What it answered is not to be trusted.
        """
        before = self._configuration.next_offset
        request = pb.RecordsRequest(from_offset=before)
        reply = await self._client.call(
            control, "Records", request, PULL_TIMEOUT_SECONDS
        )
        if reply.snapshot:
            values = json.loads(reply.snapshot)
            parts = self._configuration.parse_snapshot(values)
            self._configuration.load(parts)
        records = [
            LogRecord(item.offset, json.loads(item.value)) for item in reply.records
        ]
        self._configuration.apply(records)
        if self._configuration.next_offset > before:
            self._on_records()

    async def _answer(self, request: pb.RecordsRequest, _: str) -> pb.RecordsReply:
        records = self._configuration.get_records(request.from_offset)
        if records is None:
            values = self._configuration.build_snapshot()
            return pb.RecordsReply(snapshot=json.dumps(values).encode())
        messages = [
            pb.Record(offset=record.offset, value=json.dumps(record.value).encode())
            for record in records
        ]
        return pb.RecordsReply(records=messages)
