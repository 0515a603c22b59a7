"""Compression of the frames sent between availability zones."""

import os
import random

import pytest
from hypothesis import given, strategies as st

from primroseglade.sidecar.cross_zone_bytes import CrossZoneBytes
from primroseglade.sidecar.frame_compression import FrameCompressor
from primroseglade.sidecar.frames import (
    Call,
    CallAnswer,
    Cancel,
    COMPRESSED_FLAG,
    encode_compressed_frame,
    encode_frame,
    FrameError,
    FrameReader,
    LENGTH_PREFIX,
    Ping,
    State,
)
from primroseglade.sidecar.model import NodeState
from primroseglade.sidecar.streams import FrameStream


def build_call(number: int, body: bytes = b"") -> Call:
    """Return a small lookup, as backend servers send it."""
    request_id = os.urandom(8).hex().encode()
    head = (
        b"GET /timetable/%06x HTTP/1.1\r\nHost: api.example\r\n"
        b"User-Agent: sdk/1.9.3\r\n"
        b"Accept: */*\r\nAccept-Encoding: identity\r\nX-Request-Id: %b\r\n"
        b"x-caller: desk\r\n"
    ) % (number, request_id)
    return Call(number, "i-1", "look", request_id, 640, 290, True, True, head, body)


def build_state_frame(rng: random.Random) -> State:
    """Return a state as nodes broadcast it twice a second."""
    names = [f"service-{number}" for number in range(8)]
    demand = {name: rng.random() * 30 for name in names}
    state = NodeState("i-1", 28, rng.random() * 28, 21.3, demand=demand)
    return State(state, False)


def test_small_calls_are_compressed_to_a_third():
    """Guards against cross-zone traffic that is mostly heads: a zone without a backend
    server of some service may send a thousand small calls a second to another zone,
    with nearly equal heads.
    """
    compressor = FrameCompressor()
    calls = [build_call(number) for number in range(200)]
    uncompressed = sum(len(encode_frame(call)) for call in calls)
    compressed = sum(len(encode_compressed_frame(call, compressor)) for call in calls)
    assert compressed < uncompressed / 3


def test_states_are_compressed_to_sixty_percent():
    """Under low load, state broadcasts are a quarter of all cross-zone bytes."""
    rng = random.Random(1)
    compressor = FrameCompressor()
    states = [build_state_frame(rng) for _ in range(50)]
    uncompressed = sum(len(encode_frame(state)) for state in states)
    compressed = sum(
        len(encode_compressed_frame(state, compressor)) for state in states
    )
    assert compressed < 0.6 * uncompressed


@given(
    st.lists(
        st.one_of(
            st.builds(Cancel, st.integers(0, 2**40)),
            st.builds(build_call, st.integers(0, 2**20), st.binary(max_size=3000)),
            st.builds(
                CallAnswer,
                st.integers(0, 2**40),
                st.integers(200, 599),
                st.binary(max_size=300),
                st.binary(max_size=3000),
                st.booleans(),
                st.integers(0, 99),
            ),
        ),
        max_size=12,
    ),
    st.integers(1, 999),
)
def test_compressed_frames_round_trip(frames: list, size: int):
    """Frames are decoded whole and in order, however the bytes are split."""
    compressor = FrameCompressor()
    data = b"".join(encode_compressed_frame(frame, compressor) for frame in frames)
    reader = FrameReader()
    read = []
    for start in range(0, len(data), size):
        read += reader.feed(data[start : start + size])
    assert read == frames


@pytest.mark.parametrize(
    "payload",
    [b"", b"\x00\x00", b"\x00\x00\xff\x00abc", LENGTH_PREFIX.pack(3) + b"abc"],
)
def test_invalid_compressed_payload_ends_the_stream(payload: bytes):
    """Guards against reading on after a payload that no compressor wrote."""
    with pytest.raises(FrameError):
        FrameReader().feed(LENGTH_PREFIX.pack(len(payload) | COMPRESSED_FLAG) + payload)


def test_decompression_bomb_ends_the_stream():
    """Guards against some kilobytes that decompress to gigabytes and exhaust memory."""
    compressor = FrameCompressor()
    frame = LENGTH_PREFIX.pack(0)
    payload = compressor.compress_frame(frame + bytes(64 * 1024 * 1024))
    with pytest.raises(FrameError):
        FrameReader().feed(LENGTH_PREFIX.pack(len(payload) | COMPRESSED_FLAG) + payload)


class FakeTransport:
    """Collects what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0


def test_streams_without_compressible_frames_create_no_compressor():
    """Guards against a compressor and a decompressor for each node of other zones: with
    195 nodes they take a third of a node's memory, and nearly all of these streams
    carry only pings.
    """
    stream = FrameStream(lambda *_: None, lambda *_: None)
    transport = FakeTransport()
    stream._transport = transport
    stream.mark_cross_zone(CrossZoneBytes())
    for number in range(1000):
        stream.send(Ping(number))
    assert stream._compressor is None
    calls = [build_call(number) for number in range(100)]
    for call in calls:
        stream.send(call)
    assert stream._compressor is not None
    frames = FrameReader().feed(transport.written)
    assert frames[1000:] == calls
    uncompressed = sum(len(encode_frame(call)) for call in calls)
    assert len(transport.written) < 1000 * 10 + uncompressed / 2
