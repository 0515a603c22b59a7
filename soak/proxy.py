"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import asyncio
import contextlib
import enum
import socket
import struct

from primroseglade.addresses import join_address, parse_address

CHUNK_BYTES = 64 * 1024
# Closing with this option resets the connection (SO_LINGER, on, 0 seconds).
RESET = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """What the proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Open connections carry nothing any more, new ones work.
    SILENCE = "silence"
    # Nothing comes back, what is sent arrives.
    ONE_WAY = "one way"


class Proxy:
    """Forwards TCP to a target.

    Args:
        listen: ``IP:PORT``.
        target: ``IP:PORT``.
    """

    def __init__(self, listen: str, target: str):
        self.listen = listen
        self._target = parse_address(target)
        self._fault = Fault.NONE
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._accept, *parse_address(self.listen))

    def set_fault(self, fault: Fault) -> None:
        """Do this to connections from now on."""
        self._fault = fault
        if fault is Fault.SILENCE:
            self._silent |= self._open
        if fault is Fault.RESET:
            for writer in list(self._open):
                _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is Fault.RESET:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # Nothing listens there: the caller sees the same as without a proxy.
            _reset(writer)
            return
        self._open.add(writer)
        there = asyncio.create_task(self._pump(reader, far_writer, writer, False))
        back = asyncio.create_task(self._pump(far_reader, writer, writer, True))
        # Cancelled when the soak ends: asyncio would print each as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        there.cancel()
        back.cancel()
        self._open.discard(writer)
        self._silent.discard(writer)
        writer.close()
        far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: asyncio.StreamWriter,
        back: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._fault is Fault.DELAY:
                    await asyncio.sleep(0.2)
                lost = back and self._fault is Fault.ONE_WAY
                if lost or connection in self._silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other end is gone; both directions end.
            return


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def build_proxy(host: str, port: int, target: str) -> Proxy:
    """Return a proxy that is not started."""
    return Proxy(join_address(host, port), target)
