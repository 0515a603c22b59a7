"""Compresses frames between availability zones, where traffic is expensive.

A frame consists of a head and, for a call or its answer, a body. The heads of calls and
answers on a stream resemble each other, and states repeat names.
Compressed with the preceding frames as context, heads shrink to a quarter. Bodies are
sent as they are; callers that want smaller bodies compress them themselves.
"""

import struct
import zlib

LENGTH_PREFIX = struct.Struct(">I")
# Raw deflate with a window of 2 KiB, which holds a few heads. Both ends of each stream
# keep such a window in memory.
WINDOW_BITS = -11
ZLIB_MEMORY_LEVEL = 4
COMPRESSION_LEVEL = 3
# Ends the output of every sync flush; removed before sending and added again before
# decompression (RFC 7692, section 7.2.1).
SYNC_FLUSH_MARKER = b"\x00\x00\xff\xff"
# Maximum size of a decompressed head, many times the size of a large policy.
MAX_HEAD_BYTES = 16 * 1024 * 1024


class DecompressionError(Exception):
    """The payload is not a valid compressed frame."""


class FrameCompressor:
    """Compresses the frames of one stream, in the order in which they are sent."""

    __slots__ = ("_compressor",)

    def __init__(self) -> None:
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, ZLIB_MEMORY_LEVEL
        )

    def compress_frame(self, head: bytes, body: bytes = b"") -> bytes:
        """Return the payload: length of the compressed head, compressed head, body."""
        compressed_head = self._compressor.compress(head) + self._compressor.flush(
            zlib.Z_SYNC_FLUSH
        )
        compressed_head = compressed_head[: -len(SYNC_FLUSH_MARKER)]
        return LENGTH_PREFIX.pack(len(compressed_head)) + compressed_head + body


class FrameDecompressor:
    """Decompresses the frames of one stream, in the order in which they were sent.

    >>> compressor = FrameCompressor()
    >>> decompressor = FrameDecompressor()
    >>> decompressor.decompress_frame(compressor.compress_frame(b"head", b"body"))
    (b'head', b'body')
    """

    __slots__ = ("_decompressor",)

    def __init__(self) -> None:
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def decompress_frame(self, payload: bytes) -> tuple[bytes, bytes]:
        """Return the head and body of a compressed frame.

        Raises:
            DecompressionError: The payload is not a valid compressed frame.
        """
        if len(payload) < LENGTH_PREFIX.size:
            raise DecompressionError(
                f"compressed frame of {len(payload)} bytes lacks its length prefix"
            )
        (head_length,) = LENGTH_PREFIX.unpack_from(payload)
        end = LENGTH_PREFIX.size + head_length
        if end > len(payload):
            raise DecompressionError(
                f"compressed frame truncated: {len(payload)} of at least {end} bytes"
            )
        try:
            compressed_head = payload[LENGTH_PREFIX.size : end] + SYNC_FLUSH_MARKER
            head = self._decompressor.decompress(compressed_head, MAX_HEAD_BYTES)
        except zlib.error as error:
            raise DecompressionError(str(error)) from error
        if self._decompressor.unconsumed_tail or self._decompressor.eof:
            raise DecompressionError(
                f"frame head exceeds {MAX_HEAD_BYTES} bytes or ends the deflate stream"
            )
        return head, payload[end:]
