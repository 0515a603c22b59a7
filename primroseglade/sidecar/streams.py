"""Streams of frames between two nodes, and the calls under way on them."""

import asyncio
import time
from collections.abc import Callable

from ..sockets import set_dead_peer_options
from .cross_zone_bytes import CrossZoneBytes
from .frame_compression import FrameCompressor
from .frames import (
    Call,
    CallAnswer,
    encode_compressed_frame,
    encode_frame,
    Frame,
    FrameError,
    FrameReader,
    State,
    States,
)
from .http_client import KEEP_ALIVE_IDLE_SECONDS, UNACKNOWLEDGED_MS

# Bytes that may wait unsent on a stream; a peer that does not read for as long as
# they fill is cut off, so that it cannot take this process's memory.
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# Both ends of a packed stream keep memory for it, which is most of what a peer takes.
# Most streams of a large fleet carry hardly any of the frames that get much smaller.
MAX_UNCOMPRESSED_FRAMES = 8
COMPRESSIBLE_FRAMES = (Call, CallAnswer, State, States)


class FrameStream(asyncio.Protocol):
    """One connection to another node.

    The loop of the platform's node sends what was written in one turn with one system
    call: under load most of a frame's cost is waking up and calling the kernel.

    Args:
        receive: Called with each frame.
        lost: Called once, with the reason, when the connection is gone.
    """

    __slots__ = (
        "_compressor",
        "_cross_zone_bytes",
        "_on_frame",
        "_on_lost",
        "_protocol_error",
        "_reader",
        "_transport",
        "_uncompressed_frames",
        "last_received_at",
    )

    def __init__(
        self,
        on_frame: "Callable[[FrameStream, Frame], None]",
        on_lost: "Callable[[FrameStream, str], None]",
    ):
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._protocol_error = ""
        self._compressor: FrameCompressor | None = None
        self._uncompressed_frames = 0
        self._cross_zone_bytes: CrossZoneBytes | None = None
        self.last_received_at = time.monotonic()

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the options that find a dead peer."""
        self._transport = transport
        set_dead_peer_options(transport, KEEP_ALIVE_IDLE_SECONDS, UNACKNOWLEDGED_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that it is gone."""
        self._transport = None
        reason = self._protocol_error or (
            str(exc) if exc else "closed by the other end"
        )
        self._on_lost(self, reason)

    def eof_received(self) -> bool:
        """Close."""
        return False

    def data_received(self, data: bytes) -> None:
        """Hand on each frame that is whole."""
        self.last_received_at = time.monotonic()
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            self._protocol_error = str(error)
            self.close()
            return
        for frame in frames:
            self._on_frame(self, frame)

    @property
    def is_cross_zone(self) -> bool:
        """Whether the other end is in another availability zone."""
        return self._cross_zone_bytes is not None

    def mark_cross_zone(self, cross_zone_bytes: CrossZoneBytes) -> None:
        """Count what is sent from now on, and pack it if it is worth while."""
        self._cross_zone_bytes = cross_zone_bytes

    def send(self, frame: Frame, route: str = "") -> None:
        """Send a frame; without effect once the connection is gone.

        Args:
            frame: To send.
            route: That it belongs to, as it is counted.
        """
        if self._cross_zone_bytes is None:
            self.send_encoded(encode_frame(frame))
            return
        compressor = self._get_compressor(frame)
        data = (
            encode_frame(frame)
            if compressor is None
            else encode_compressed_frame(frame, compressor)
        )
        self._cross_zone_bytes.record(type(frame).__name__, route, len(data))
        self.send_encoded(data)

    def _get_compressor(self, frame: Frame) -> FrameCompressor | None:
        """Return the packer, once there is enough to pack on this stream."""
        if self._compressor is None and isinstance(frame, COMPRESSIBLE_FRAMES):
            self._uncompressed_frames += 1
            if self._uncompressed_frames > MAX_UNCOMPRESSED_FRAMES:
                self._compressor = FrameCompressor()
        return self._compressor

    def send_encoded(self, data: bytes) -> None:
        """Send a frame that is encoded already, as for many streams at once."""
        if self._transport is None:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()

    def finish(self) -> None:
        """Close it when all is sent."""
        if self._transport is not None:
            self._transport.close()
