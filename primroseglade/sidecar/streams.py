"""The connection between two nodes, which carries frames."""

import asyncio
import time
from collections.abc import Callable

from ..sockets import set_dead_peer_options
from .client_connection import KEEP_ALIVE_IDLE_SECONDS, MAX_UNACKNOWLEDGED_MS
from .cross_zone_bytes import CrossZoneBytes
from .frame_compression import FrameCompressor
from .frames import (
    Call,
    CallAnswer,
    CallRefused,
    encode_compressed_frame,
    encode_frame,
    Frame,
    FrameError,
    FrameReader,
    State,
    States,
)

# A stream with more unsent bytes is closed, so that a peer that does not read cannot
# exhaust this process's memory.
MAX_UNSENT_BYTES = 64 * 1024 * 1024
# Answers wait while more bytes are unsent. They leave room for the other frames: the
# largest answer is smaller than the difference.
MAX_UNSENT_BEFORE_ANSWER_BYTES = 8 * 1024 * 1024
MAX_WAITING_ANSWER_BYTES = 48 * 1024 * 1024
ROOM_POLL_SECONDS = 0.01
# Number of compressible frames that a stream sends uncompressed before it creates a
# compressor. Compressor and decompressor take most of the memory that a node keeps for
# a peer, and most streams of a large fleet carry hardly any compressible frames.
MAX_UNCOMPRESSED_FRAMES = 8
COMPRESSIBLE_FRAMES = (Call, CallAnswer, State, States)


class StreamFullError(Exception):
    """Too many answers wait already until the peer has read those before them."""


class FrameStream(asyncio.Protocol):
    """Sends and receives frames on one connection to another node.

    Writes are not batched here: uvloop sends all writes of a loop iteration with one
    system call. Under load, wake-ups and system calls are most of a frame's cost.

    Args:
        on_frame: Called with each received frame.
        on_lost: Called once, with the reason, when the connection is lost.
    """

    __slots__ = (
        "_answers_end",
        "_compressor",
        "_cross_zone_bytes",
        "_frame_reader",
        "_on_frame",
        "_on_lost",
        "_protocol_error",
        "_transport",
        "_uncompressed_frame_count",
        "_waiting_bytes",
        "_written_bytes",
        "last_received_at",
    )

    def __init__(
        self,
        on_frame: "Callable[[FrameStream, Frame], None]",
        on_lost: "Callable[[FrameStream, str], None]",
    ):
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._frame_reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._protocol_error = ""
        self._compressor: FrameCompressor | None = None
        self._uncompressed_frame_count = 0
        self._cross_zone_bytes: CrossZoneBytes | None = None
        self._written_bytes = 0
        # Value of `_written_bytes` after the last answer to a call.
        self._answers_end = 0
        self._waiting_bytes = 0
        self.last_received_at = time.monotonic()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._transport is None or self._transport.is_closing()

    @property
    def has_unsent_answers(self) -> bool:
        """Whether this process still holds answers that the peer is slow to read."""
        if self._transport is None:
            return False
        sent_bytes = self._written_bytes - self._transport.get_write_buffer_size()
        return sent_bytes < self._answers_end

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options that detect a dead peer."""
        self._transport = transport
        set_dead_peer_options(transport, KEEP_ALIVE_IDLE_SECONDS, MAX_UNACKNOWLEDGED_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss with its reason."""
        self._transport = None
        reason = self._protocol_error or (
            str(exc) if exc else "closed by the other end"
        )
        self._on_lost(self, reason)

    def eof_received(self) -> bool:
        """Close the connection when the peer has closed its end."""
        return False

    def data_received(self, data: bytes) -> None:
        """Call ``on_frame`` with each complete frame; close on invalid data."""
        self.last_received_at = time.monotonic()
        try:
            frames = self._frame_reader.feed(data)
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
        """Count the bytes of frames sent from now on, and allow their compression.

        Args:
            cross_zone_bytes: Counter of the bytes.
        """
        self._cross_zone_bytes = cross_zone_bytes

    def send(self, frame: Frame, route: str = "") -> None:
        """Send a frame; do nothing once the connection is lost.

        Args:
            frame: The frame.
            route: Route under which the frame's bytes are counted if it crosses zones.
        """
        compressor = None
        if self._cross_zone_bytes is not None:
            compressor = self._get_compressor(frame)
        data = (
            encode_frame(frame)
            if compressor is None
            else encode_compressed_frame(frame, compressor)
        )
        if self._cross_zone_bytes is not None:
            self._cross_zone_bytes.record(type(frame).__name__, route, len(data))
        self.send_encoded(data)
        if isinstance(frame, CallAnswer | CallRefused):
            self._answers_end = self._written_bytes

    def _get_compressor(self, frame: Frame) -> FrameCompressor | None:
        """Return the compressor, or None until enough compressible frames were sent."""
        if self._compressor is None and isinstance(frame, COMPRESSIBLE_FRAMES):
            self._uncompressed_frame_count += 1
            if self._uncompressed_frame_count > MAX_UNCOMPRESSED_FRAMES:
                self._compressor = FrameCompressor()
        return self._compressor

    async def wait_for_room(self, answer_bytes: int) -> None:
        """Wait until an answer can be sent without holding too much in this process.

        Args:
            answer_bytes: Size of the answer.

        Raises:
            StreamFullError: Too many answers wait already.
        """
        if not self._is_full:
            return
        if self._waiting_bytes + answer_bytes > MAX_WAITING_ANSWER_BYTES:
            raise StreamFullError(
                f"{self._waiting_bytes} bytes of answers wait already"
            )
        self._waiting_bytes += answer_bytes
        try:
            while self._is_full:
                await asyncio.sleep(ROOM_POLL_SECONDS)
        finally:
            self._waiting_bytes -= answer_bytes

    @property
    def _is_full(self) -> bool:
        transport = self._transport
        return (
            transport is not None
            and transport.get_write_buffer_size() > MAX_UNSENT_BEFORE_ANSWER_BYTES
        )

    def send_encoded(self, data: bytes) -> None:
        """Send a frame encoded by the caller, who may send it on several streams."""
        if self._transport is None:
            return
        self._written_bytes += len(data)
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Close the connection at once, dropping unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def finish(self) -> None:
        """Close the connection after sending what is buffered."""
        if self._transport is not None:
            self._transport.close()
