"""Messages between nodes: msgpack in frames with a length, many calls on one stream.

A unary call of gRPC costs both ends several times the processor time of a message on an
open stream; a call crosses two nodes, and a tree of calls many times that.
"""

import struct

import msgspec

from .frame_compression import DecompressionError, FrameCompressor, FrameDecompressor
from .model import NodeEntry, NodeState

LENGTH_PREFIX = struct.Struct(">I")
# Larger than any body that callers may send, with its head.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# Added to the length of a frame that is packed.
COMPRESSED_FLAG = 1 << 31


class Hello(msgspec.Struct, array_like=True, tag=1):
    """First on each stream: who opened it, or who accepted it.

    Attributes:
        entry: How the sender is found.
        state: What the one who accepts tells of itself.
        drains: Backend servers that leave, by id, with the start of their lifetime.
    """

    entry: NodeEntry
    state: NodeState | None = None
    drains: dict[str, int] = {}


class Ping(msgspec.Struct, array_like=True, tag=2):
    """Asks at once how old the receiver's knowledge of the configuration is.

    Attributes:
        id: Repeated by the answer.
        sent_ms: Milliseconds on the sender's clock; it agrees with no other.
        lease_ms: Time on the receiver's clock until which the sender lends its share of
            all rates to the receiver; 0 if it does not.
    """

    id: int
    sent_ms: int = 0
    lease_ms: int = 0


class Pong(msgspec.Struct, array_like=True, tag=3):
    """Answers a ping; the age is as of now.

    Attributes:
        id: Of the ping.
        policy_version: Version of the configuration in force at the sender.
        policy_age_ms: Milliseconds for which a newer version may exist unseen.
        clock_ms: Milliseconds on the sender's clock.
    """

    id: int
    policy_version: int
    policy_age_ms: int
    clock_ms: int = 0


class State(msgspec.Struct, array_like=True, tag=12):
    """What a node tells of itself on the streams that others hold to it.

    Attributes:
        state: What changed.
        relay: Whether the receiver hands it on to its availability zone.
    """

    state: NodeState
    relay: bool


class States(msgspec.Struct, array_like=True, tag=13):
    """What other nodes told, handed on, by their names."""

    states: list[tuple[str, NodeState]]


class Call(msgspec.Struct, array_like=True, tag=4):
    """A request for the backend server beside the receiver.

    Attributes:
        id: Of this call on this stream.
        instance: Id of the backend server that is meant.
        route: Name of the route that it takes.
        request_id: Repeated by the backend server in its answer.
        remaining_ms: Milliseconds for which its caller still waits.
        latency_target_ms: Milliseconds until its answer is late; below 0 if it is.
        idempotent: Whether it may run more than once.
        nested: Whether a backend server makes it while it serves another.
        head: Request line and headers, but for those that the receiver sets.
        body: The whole body.
        sent_ms: Milliseconds on the sender's clock; it agrees with no other.
    """

    id: int
    instance: str
    route: str
    request_id: bytes
    remaining_ms: float
    latency_target_ms: float
    idempotent: bool
    nested: bool
    head: bytes
    body: bytes
    sent_ms: int = 0


class Cancel(msgspec.Struct, array_like=True, tag=5):
    """Nobody waits for a call any more."""

    id: int


class CallAnswer(msgspec.Struct, array_like=True, tag=6):
    """A backend server's whole answer, and how busy it is.

    Attributes:
        id: Of the call.
        status: HTTP status.
        head: Status line and headers, but for those of the connection.
        body: The whole body.
        signed: Whether the answer bears the backend server's signature.
        in_flight: Calls at work and waiting there.
    """

    id: int
    status: int
    head: bytes
    body: bytes
    signed: bool
    in_flight: int


class CallRefused(msgspec.Struct, array_like=True, tag=7):
    """A call that got no answer of a backend server.

    Attributes:
        id: Of the call.
        reason: Code of a ``verdicts.Reason``.
        may_have_run: Whether it may have run.
        reached_backend: Whether the backend server saw it, and refused it itself.
        detail: One sentence.
        in_flight: Calls at work and waiting there.
    """

    id: int
    reason: str
    may_have_run: bool
    reached_backend: bool
    detail: str
    in_flight: int


class PolicyRequest(msgspec.Struct, array_like=True, tag=8):
    """Asks for the configuration in force at the receiver."""

    id: int


class PolicyAnswer(msgspec.Struct, array_like=True, tag=9):
    """The configuration as the platform's store holds it, empty if there is none."""

    id: int
    version: int
    age_ms: int
    record: bytes


class DrainNote(msgspec.Struct, array_like=True, tag=10):
    """Asks the receiver to remember that a backend server leaves."""

    id: int
    instance: str
    start_time_ms: int


class DrainNoted(msgspec.Struct, array_like=True, tag=11):
    """The receiver remembers it."""

    id: int


class TokenLimits(msgspec.Struct, array_like=True, frozen=True):
    """Limits of a workspace that the fleet enforces.

    Attributes:
        workspace: Its name.
        rate: Calls a second over the whole fleet.
        burst: Calls that it may have saved up.
        version: Version of the configuration that they are from.
        initial: Tokens that holders have after a restart of the whole fleet.
    """

    workspace: str
    rate: float
    burst: float
    version: int
    initial: float = 0.0


class TokenRequest(msgspec.Struct, array_like=True, tag=14):
    """Asks the receiver for tokens of a workspace.

    Attributes:
        id: Of this request on this stream.
        limits: Of the workspace.
        needed: Calls that wait.
        ahead: Further calls that are expected soon.
        unspent: Tokens granted ahead of need that the entry still has.
        returned: Tokens that were granted before and will not be spent.
        loan: Tokens that another token holder borrows, in parts if need be: spare ones
            if calls wait, else only those above half of the capacity. 0 for a request
            of an entry.
    """

    id: int
    limits: TokenLimits
    needed: int
    ahead: int = 0
    unspent: int = 0
    returned: int = 0
    loan: float = 0.0


class TokenGrant(msgspec.Struct, array_like=True, tag=15):
    """Answers a request for tokens.

    Attributes:
        id: Of the request.
        tokens: Granted; each is good for one call. Holders lend parts of tokens to
            each other.
        remaining_tokens: Tokens that the sender has left.
    """

    id: int
    tokens: float
    remaining_tokens: float


Frame = (
    Hello
    | Ping
    | Pong
    | State
    | States
    | Call
    | Cancel
    | CallAnswer
    | CallRefused
    | PolicyRequest
    | PolicyAnswer
    | DrainNote
    | DrainNoted
    | TokenRequest
    | TokenGrant
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class FrameError(Exception):
    """Bytes that are no frame: the stream cannot be read any further."""


def encode_frame(frame: Frame) -> bytes:
    """Return a frame's bytes."""
    payload = _encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(payload)) + payload


def encode_compressed_frame(frame: Frame, compressor: FrameCompressor) -> bytes:
    """Return a frame's bytes for a stream between availability zones."""
    body = b""
    if isinstance(frame, Call | CallAnswer):
        body = frame.body
        frame.body = b""
    payload = compressor.compress_frame(_encoder.encode(frame), body)
    if body:
        frame.body = body  # type: ignore[union-attr]
    return LENGTH_PREFIX.pack(len(payload) | COMPRESSED_FLAG) + payload


class FrameReader:
    """Cuts a stream of bytes into frames."""

    __slots__ = ("_buffer", "_decompressor")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._decompressor: FrameDecompressor | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are whole by now.

        Raises:
            FrameError: The bytes are no frames of this protocol.

        >>> reader = FrameReader()
        >>> data = encode_frame(Cancel(1)) + encode_compressed_frame(
        ...     Cancel(2), FrameCompressor()
        ... )
        >>> reader.feed(data[:5])
        []
        >>> reader.feed(data[5:])
        [Cancel(id=1), Cancel(id=2)]
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(buffer, start)
            compressed = bool(length & COMPRESSED_FLAG)
            length &= ~COMPRESSED_FLAG
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = start + LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            payload = bytes(memoryview(buffer)[start + LENGTH_PREFIX.size : end])
            frames.append(self._decode(payload, compressed))
            start = end
        if start:
            del buffer[:start]
        return frames

    def _decode(self, payload: bytes, compressed: bool) -> Frame:
        try:
            if not compressed:
                return _decoder.decode(payload)
            if self._decompressor is None:
                self._decompressor = FrameDecompressor()
            head, body = self._decompressor.decompress_frame(payload)
            frame = _decoder.decode(head)
        except (msgspec.MsgspecError, DecompressionError) as error:
            raise FrameError(str(error)) from error
        if body:
            if not isinstance(frame, Call | CallAnswer):
                raise FrameError("a body of a frame that has none")
            frame.body = body
        return frame
