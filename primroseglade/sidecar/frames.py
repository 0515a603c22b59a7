"""Messages between nodes: length-prefixed msgpack frames, multiplexed on one stream.

A unary gRPC call costs both ends several times the processor time of a message on an
open stream. Each call crosses two nodes, and a request can cause many calls.
"""

import struct

import msgspec

from .ended_servers import EndedServer
from .frame_compression import DecompressionError, FrameCompressor, FrameDecompressor
from .model import NodeEntry, NodeState
from .request_context import ContextFields

LENGTH_PREFIX = struct.Struct(">I")
# Exceeds the maximum size of a request body plus headers.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# Set in the length prefix of a compressed frame.
COMPRESSED_FLAG = 1 << 31


class Hello(msgspec.Struct, array_like=True, tag=1):
    """First message in each direction of a stream; introduces the sender.

    Attributes:
        entry: Name, address and location of the sender.
        state: Full state of the node that accepted the stream; None from the node
            that opened the stream.
        drains: Backend servers that the sender has recorded as draining: start times in
            Unix milliseconds, by instance id.
    """

    entry: NodeEntry
    state: NodeState | None = None
    drains: dict[str, int] = {}


class Ping(msgspec.Struct, array_like=True, tag=2):
    """Asks how stale the receiver's configuration may be; can also carry a lease.

    Attributes:
        id: Id of the ping, repeated in the answer.
        sent_ms: When the ping was sent, in milliseconds on the sender's clock, which
            differs from the receiver's.
        lease_end_ms: End of the lease by which the receiver gets the sender's share of
            the workspaces' rate limits, in milliseconds on the receiver's clock; 0 for
            no lease.
    """

    id: int
    sent_ms: int = 0
    lease_end_ms: int = 0


class Pong(msgspec.Struct, array_like=True, tag=3):
    """Answers a ping.

    Attributes:
        id: Id of the ping.
        policy_version: Version of the configuration in force at the sender.
        policy_age_ms: Milliseconds from when that version was last known to be the
            newest until the answer.
        clock_ms: When the answer was sent, in milliseconds on the sender's clock.
        evacuated_zones: Availability zones that the operator has evacuated.
        operator_offset: Offset up to which ``evacuated_zones`` includes the operator's
            records in the platform's store.
    """

    id: int
    policy_version: int
    policy_age_ms: int
    clock_ms: int = 0
    evacuated_zones: tuple[str, ...] = ()
    operator_offset: int = 0


class State(msgspec.Struct, array_like=True, tag=12):
    """A node's broadcast state, sent on the streams that other nodes opened to it.

    Attributes:
        state: The state.
        relay: Whether the receiver is to relay the state to its availability zone.
    """

    state: NodeState
    relay: bool


class States(msgspec.Struct, array_like=True, tag=13):
    """Relayed states of other nodes, each with the node's name."""

    states: list[tuple[str, NodeState]]


class Call(msgspec.Struct, array_like=True, tag=4):
    """A request for the backend server beside the receiver.

    Attributes:
        id: Id of the call on this stream.
        instance: Id of the expected backend server.
        route: Name of the call's route.
        request_id: Request id, repeated by the backend server in its answer.
        remaining_ms: Milliseconds left until the caller's deadline.
        latency_target_ms: Milliseconds left to the latency target; negative if missed.
        idempotent: Whether the call may run more than once.
        nested: Whether a backend server makes the call while serving another call.
        head: Request line and headers, except those that the receiver sets.
        body: The complete body.
        sent_ms: When the call was sent, in milliseconds on the sender's clock, which
            differs from the receiver's.
        context: The request of a caller that the call belongs to; None if unknown.
        remaining_calls: Expected number of further calls on the same route in the same
            run of the backend server that makes them.
        ended_servers: Backend servers that ended under the call's request; the receiver
            is to run one such call at a time.
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
    context: ContextFields | None = None
    remaining_calls: int = 0
    ended_servers: tuple[EndedServer, ...] = ()


class Cancel(msgspec.Struct, array_like=True, tag=5):
    """Cancels a call whose answer nobody waits for any longer."""

    id: int


class CallAnswer(msgspec.Struct, array_like=True, tag=6):
    """A backend server's complete answer, with its current load.

    Attributes:
        id: Id of the call.
        status: HTTP status code.
        head: Status line and headers, except hop-by-hop ones.
        body: The complete body.
        signed: Whether the answer carries the backend server's signature.
        in_flight: Calls running and queued at the backend server.
        draining: Whether the answer states that the backend server is about to stop.
        start_time_ms: Start time of the backend server that answered, in Unix
            milliseconds; only if it is draining.
        slowdown_percent: How long work takes there at this moment, in percent of the
            average, as it states itself.
        ended_servers: Other backend servers that ended under calls made for the call.
    """

    id: int
    status: int
    head: bytes
    body: bytes
    signed: bool
    in_flight: int
    draining: bool = False
    start_time_ms: int = 0
    slowdown_percent: int = 100
    ended_servers: tuple[EndedServer, ...] = ()


class CallRefused(msgspec.Struct, array_like=True, tag=7):
    """Reports that a call got no answer from a backend server.

    Attributes:
        id: Id of the call.
        reason: Code of a ``verdicts.Reason``.
        may_have_run: Whether the call may have run.
        refused_by_backend: Whether the backend server itself refused the call.
        detail: Explanation in one sentence, for logs and error messages.
        in_flight: Calls running and queued at the backend server.
        ended_servers: Backend servers that ended under the call's request.
        ended_server: Hash of the one that ended under this call; 0 if none did.
    """

    id: int
    reason: str
    may_have_run: bool
    refused_by_backend: bool
    detail: str
    in_flight: int
    ended_servers: tuple[EndedServer, ...] = ()
    ended_server: int = 0


class PolicyRequest(msgspec.Struct, array_like=True, tag=8):
    """Requests the configuration in force at the receiver."""

    id: int


class PolicyAnswer(msgspec.Struct, array_like=True, tag=9):
    """The configuration in force at the sender.

    Attributes:
        id: Id of the request.
        version: Version of the configuration; 0 if the sender has none.
        age_ms: Milliseconds since that version was last known to be the newest.
        record: The configuration as the platform's store holds it; empty if the sender
            has none.
    """

    id: int
    version: int
    age_ms: int
    record: bytes


class DrainNote(msgspec.Struct, array_like=True, tag=10):
    """Asks the receiver to record that a backend server is draining.

    Attributes:
        id: Id of the request on this stream.
        instance: Id of the backend server.
        start_time_ms: Unix time of its start, in milliseconds.
    """

    id: int
    instance: str
    start_time_ms: int


class DrainNoted(msgspec.Struct, array_like=True, tag=11):
    """Acknowledges a ``DrainNote``."""

    id: int


class TokenLimits(msgspec.Struct, array_like=True, frozen=True):
    """Rate limits of a workspace, enforced over the whole fleet.

    Attributes:
        workspace: Name of the workspace.
        rate: Calls per second over the whole fleet.
        burst: Token bucket capacity over the whole fleet, in calls.
        version: Version of the configuration that defines the limits.
        initial_tokens: Tokens that all token holders (see ``TokenRequest``) together
            have after the whole fleet restarts.
    """

    workspace: str
    rate: float
    burst: float
    version: int
    initial_tokens: float = 0.0


class TokenRequest(msgspec.Struct, array_like=True, tag=14):
    """Requests tokens of a workspace from a token holder.

    A token admits one call. The token holders are the nodes to which the other nodes
    lend their shares of the rate limits; they keep the token buckets.

    Attributes:
        id: Id of the request on this stream.
        limits: Limits of the workspace.
        waiting_calls: Number of waiting calls.
        expected_calls: Number of further calls expected soon.
        unspent_tokens: Tokens that the sender was granted ahead of need and still has.
        returned_tokens: Tokens granted earlier that will not be spent.
        loan_tokens: Tokens, possibly a fraction, that the sender wants to borrow if it
            is itself a token holder; else 0. The lender keeps the tokens that it needs
            soon itself and, if no calls wait at the sender, at least half of its
            capacity.
    """

    id: int
    limits: TokenLimits
    waiting_calls: int
    expected_calls: int = 0
    unspent_tokens: int = 0
    returned_tokens: int = 0
    loan_tokens: float = 0.0


class TokenGrant(msgspec.Struct, array_like=True, tag=15):
    """Answers a request for tokens.

    Attributes:
        id: Id of the request.
        tokens: Granted tokens, one per call; a loan between token holders may include
            a fraction.
        remaining_tokens: Tokens left at the sender of the grant.
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
    """Received bytes are not a valid frame; the stream cannot be read any further."""


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded bytes of a frame."""
    payload = _encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(payload)) + payload


def encode_compressed_frame(frame: Frame, compressor: FrameCompressor) -> bytes:
    """Return the compressed bytes of a frame for a cross-zone stream.

    The body of a call or an answer stays uncompressed.
    """
    body = b""
    if isinstance(frame, Call | CallAnswer):
        body = frame.body
        frame.body = b""
    payload = compressor.compress_frame(_encoder.encode(frame), body)
    if body:
        frame.body = body  # type: ignore[union-attr]
    return LENGTH_PREFIX.pack(len(payload) | COMPRESSED_FLAG) + payload


class FrameReader:
    """Splits a byte stream into frames and decodes them."""

    __slots__ = ("_buffer", "_decompressor")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._decompressor: FrameDecompressor | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes, and return the frames that are now complete.

        Raises:
            FrameError: The bytes are not a valid frame.

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
            is_compressed = bool(length & COMPRESSED_FLAG)
            length &= ~COMPRESSED_FLAG
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
                )
            end = start + LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            payload = bytes(memoryview(buffer)[start + LENGTH_PREFIX.size : end])
            frames.append(self._decode(payload, is_compressed))
            start = end
        if start:
            del buffer[:start]
        return frames

    def _decode(self, payload: bytes, is_compressed: bool) -> Frame:
        try:
            if not is_compressed:
                return _decoder.decode(payload)
            if self._decompressor is None:
                self._decompressor = FrameDecompressor()
            head, body = self._decompressor.decompress_frame(payload)
            frame = _decoder.decode(head)
        except (msgspec.MsgspecError, DecompressionError) as error:
            raise FrameError(str(error)) from error
        if body:
            if not isinstance(frame, Call | CallAnswer):
                raise FrameError("frame has a body, but its type does not carry one")
            frame.body = body
        return frame
