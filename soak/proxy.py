"""A TCP proxy that injects faults: delay, reset, silence and one-way loss."""

import asyncio
import contextlib
import enum
import socket
import struct

from primroseglade.addresses import join_address, parse_address

CHUNK_BYTES = 64 * 1024
TARGET_POLL_SECONDS = 0.03
# SO_LINGER on with 0 seconds: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class LinkFault(enum.Enum):
    """A fault that the proxy injects into connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Connections open at the fault's start stay open but carry no more data; new
    # connections work.
    SILENCE = "silence"
    # Data reaches the target; data from the target is dropped.
    ONE_WAY = "one way"


class FaultProxy:
    """Forwards TCP connections to a target and injects faults.

    Args:
        listen: ``IP:PORT`` to listen on.
        target: ``IP:PORT`` to connect to.
    """

    def __init__(self, listen: str, target: str):
        self.listen = listen
        self._target = parse_address(target)
        self._fault = LinkFault.NONE
        self._server: asyncio.Server | None = None
        self._reopening: asyncio.Task[None] | None = None
        self._client_writers: set[asyncio.StreamWriter] = set()
        self._silenced_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._accept, *parse_address(self.listen)
        )

    def set_fault(self, fault: LinkFault) -> None:
        """Inject this fault from now on, instead of the previous one."""
        self._fault = fault
        if fault is LinkFault.SILENCE:
            self._silenced_writers |= self._client_writers
        if fault is LinkFault.RESET:
            for writer in list(self._client_writers):
                _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # Nothing listens at the target.
            _reset(writer)
            self._refuse_until_target_listens()
            return
        self._client_writers.add(writer)
        to_target = asyncio.create_task(
            self._forward(reader, target_writer, writer, False)
        )
        from_target = asyncio.create_task(
            self._forward(target_reader, writer, writer, True)
        )
        # Cancelled at the end of the run; asyncio would log each cancellation as an
        # error.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(
                {to_target, from_target}, return_when=asyncio.FIRST_COMPLETED
            )
        to_target.cancel()
        from_target.cancel()
        self._client_writers.discard(writer)
        self._silenced_writers.discard(writer)
        writer.close()
        target_writer.close()

    def _refuse_until_target_listens(self) -> None:
        """Refuse connections, as the target does without the proxy."""
        if self._reopening is None or self._reopening.done():
            assert self._server is not None
            self._server.close()
            self._reopening = asyncio.create_task(self._reopen())

    async def _reopen(self) -> None:
        while True:
            await asyncio.sleep(TARGET_POLL_SECONDS)
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self._target)
                writer.close()
                break
        await self.start()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client_writer: asyncio.StreamWriter,
        from_target: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(0.2)
                is_dropped = from_target and self._fault is LinkFault.ONE_WAY
                if is_dropped or client_writer in self._silenced_writers:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # One end is gone: on return `_accept` closes both connections.
            return


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def build_fault_proxy(host: str, port: int, target: str) -> FaultProxy:
    """Return a proxy on a host and port, not yet started."""
    return FaultProxy(join_address(host, port), target)
