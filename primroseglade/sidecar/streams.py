"""Streams of frames between two nodes, and the calls under way on them."""

import asyncio
import time
from collections.abc import Callable

from ..sockets import set_dead_peer_options
from .frames import encode_frame, Frame, FrameError, FrameReader
from .http_client import KEEP_ALIVE_IDLE_SECONDS, UNACKNOWLEDGED_MS

# Bytes that may wait unsent on a stream; a peer that does not read for as long as
# they fill is cut off, so that it cannot take this process's memory.
UNSENT_BYTES = 32 * 1024 * 1024


class FrameStream(asyncio.Protocol):
    """One connection to another node.

    Frames written in one turn of the loop leave in one system call: under load most
    of a frame's cost is waking up and calling the kernel.

    Args:
        receive: Called with each frame.
        lost: Called once, with the reason, when the connection is gone.
    """

    __slots__ = (
        "_broken",
        "_buffer",
        "_flush_later",
        "_lost",
        "_reader",
        "_receive",
        "_transport",
        "heard_at",
    )

    def __init__(
        self,
        receive: "Callable[[FrameStream, Frame], None]",
        lost: "Callable[[FrameStream, str], None]",
    ):
        self._receive = receive
        self._lost = lost
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._buffer: list[bytes] = []
        self._broken = ""
        loop = asyncio.get_running_loop()
        # Loops of tests and other programs flush in their next turn.
        self._flush_later = getattr(loop, "flush_later", loop.call_soon)
        self.heard_at = time.monotonic()

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that find a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_options(transport, KEEP_ALIVE_IDLE_SECONDS, UNACKNOWLEDGED_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that it is gone."""
        self._transport = None
        reason = self._broken or (str(exc) if exc else "closed by the other end")
        self._lost(self, reason)

    def eof_received(self) -> bool:
        """Close."""
        return False

    def data_received(self, data: bytes) -> None:
        """Hand on each frame that is whole."""
        self.heard_at = time.monotonic()
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            self._broken = str(error)
            self.close()
            return
        for frame in frames:
            self._receive(self, frame)

    def send(self, frame: Frame) -> None:
        """Send a frame with the others of this turn of the loop."""
        if not self._buffer:
            self._flush_later(self._flush)
        self._buffer.append(encode_frame(frame))

    def close(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()

    def finish(self) -> None:
        """Close it when all is sent."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def _flush(self) -> None:
        buffer = self._buffer
        self._buffer = []
        if self._transport is None or not buffer:
            return
        self._transport.write(buffer[0] if len(buffer) == 1 else b"".join(buffer))
        if self._transport.get_write_buffer_size() > UNSENT_BYTES:
            self.close()
