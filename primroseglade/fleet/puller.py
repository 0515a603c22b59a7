"""Transfers configuration records and snapshots between peers."""

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
    """Pulls records from peers that are ahead, and serves records to those behind.

    Args:
        configuration: The configuration of this instance.
        client: Client for messages to other nodes.
        on_records: Called after a pull that advanced the configuration.
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
        """Register the handler that serves records to peers."""
        server.register("Records", self._answer)

    def handle_peer_offset(self, next_offset: int, age: float, control: str) -> None:
        """Schedule a pull if a peer's configuration is newer than this node's.

        If both are the same, this node adopts the peer's age if that is lower.

        Args:
            next_offset: Next offset of the peer's configuration.
            age: Age of the peer's configuration in seconds.
            control: Control address of the peer.
        """
        own_offset = self._configuration.next_offset
        if next_offset > own_offset or (
            next_offset == 0 and not self._configuration.ready
        ):
            if not self._peers_ahead.full():
                self._peers_ahead.put_nowait(control)
        elif next_offset == own_offset and age < self._configuration.age:
            # The configurations are the same, so that the peer's later confirmation
            # holds here too.
            self._configuration.update_age(age)

    async def run(self) -> None:
        """Pull from the peers that ``handle_peer_offset`` finds to be ahead."""
        while True:
            control = await self._peers_ahead.get()
            try:
                await self.pull(control)
            except (PeerError, InputError):
                continue

    async def pull(self, control: str) -> None:
        """Pull the records that this instance lacks, or a snapshot, from a node.

        Args:
            control: Control address of the node.

        Raises:
            PeerError: The node does not answer.
            InputError: The node answered with an invalid snapshot.
        """
        offset_before = self._configuration.next_offset
        request = pb.RecordsRequest(from_offset=offset_before)
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
        if self._configuration.next_offset > offset_before:
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
