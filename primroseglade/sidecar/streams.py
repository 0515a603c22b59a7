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
UNSENT_BYTES = 32 * 1024 * 1024
# Both ends of a packed stream keep memory for it, which is most of what a peer takes.
# Most streams of a large fleet carry hardly any of the frames that get much smaller.
MAX_PLAIN_FRAMES = 8
PACKED_FRAMES = (Call, CallAnswer, State, States)


class FrameStream(asyncio.Protocol):
    """One connection to another node.

    The loop of the platform's node sends what was written in one turn with one system
    call: under load most of a frame's cost is waking up and calling the kernel.

    Args:
        receive: Called with each frame.
        lost: Called once, with the reason, when the connection is gone.
    """

    __slots__ = (
        "_broken",
        "_cross_zone_bytes",
        "_lost",
        "_packer",
        "_plain_frames",
        "_reader",
        "_receive",
        "_transport",
        "last_received_at",
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
        self._broken = ""
        self._packer: FrameCompressor | None = None
        self._plain_frames = 0
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
        reason = self._broken or (str(exc) if exc else "closed by the other end")
        self._lost(self, reason)

    def eof_received(self) -> bool:
        """Close."""
        return False

    def data_received(self, data: bytes) -> None:
        """Hand on each frame that is whole."""
        self.last_received_at = time.monotonic()
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            self._broken = str(error)
            self.close()
            return
        for frame in frames:
            self._receive(self, frame)

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
        compressor = self._get_packer(frame)
        data = (
            encode_frame(frame)
            if compressor is None
            else encode_compressed_frame(frame, compressor)
        )
        self._cross_zone_bytes.record(type(frame).__name__, route, len(data))
        self.send_encoded(data)

    def _get_packer(self, frame: Frame) -> FrameCompressor | None:
        """Return the packer, once there is enough to pack on this stream."""
        if self._packer is None and isinstance(frame, PACKED_FRAMES):
            self._plain_frames += 1
            if self._plain_frames > MAX_PLAIN_FRAMES:
                self._packer = FrameCompressor()
        return self._packer

    def send_encoded(self, data: bytes) -> None:
        """Send a frame that is encoded already, as for many streams at once."""
        if self._transport is None:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()

    def finish(self) -> None:
        """Close it when all is sent."""
        if self._transport is not None:
            self._transport.close()
