"""Frames packed on the streams between availability zones, where bytes are dear.

Heads of calls and answers repeat from frame to frame on a stream, and states repeat
names: they take a quarter of their bytes where each frame is packed with what went
before in mind. Bodies are sent as they are; callers that want them smaller compress
them themselves.
"""

import struct
import zlib

LENGTH_PREFIX = struct.Struct(">I")
# What went before is remembered for some heads, as raw deflate; each end of a stream
# keeps memory for it.
WINDOW_BITS = -11
ZLIB_MEMORY_LEVEL = 4
COMPRESSION_LEVEL = 3
# Ends each piece in the same way, and is not sent (RFC 7692, section 7.2.1).
SYNC_FLUSH_MARKER = b"\x00\x00\xff\xff"
# The largest head of a frame that is unpacked: a configuration's, many times over.
MAX_HEAD_BYTES = 16 * 1024 * 1024


class DecompressionError(Exception):
    """Bytes that cannot be unpacked."""


class FrameCompressor:
    """The sending end of a stream."""

    __slots__ = ("_compressor",)

    def __init__(self) -> None:
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, ZLIB_MEMORY_LEVEL
        )

    def compress_frame(self, head: bytes, body: bytes = b"") -> bytes:
        """Return a frame's bytes, but for its length."""
        compressed = self._compressor.compress(head) + self._compressor.flush(
            zlib.Z_SYNC_FLUSH
        )
        compressed = compressed[: -len(SYNC_FLUSH_MARKER)]
        return LENGTH_PREFIX.pack(len(compressed)) + compressed + body


class FrameDecompressor:
    """The receiving end of a stream.

    >>> compressor = FrameCompressor()
    >>> decompressor = FrameDecompressor()
    >>> decompressor.decompress_frame(compressor.compress_frame(b"head", b"body"))
    (b'head', b'body')
    """

    __slots__ = ("_decompressor",)

    def __init__(self) -> None:
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def decompress_frame(self, payload: bytes) -> tuple[bytes, bytes]:
        """Return a frame's head and body.

        Raises:
            DecompressionError: The bytes are none of a packer's.
        """
        if len(payload) < LENGTH_PREFIX.size:
            raise DecompressionError("a packed frame without a length")
        (length,) = LENGTH_PREFIX.unpack_from(payload)
        end = LENGTH_PREFIX.size + length
        if end > len(payload):
            raise DecompressionError("a packed frame that is cut short")
        try:
            compressed = payload[LENGTH_PREFIX.size : end] + SYNC_FLUSH_MARKER
            head = self._decompressor.decompress(compressed, MAX_HEAD_BYTES)
        except zlib.error as error:
            raise DecompressionError(str(error)) from error
        if self._decompressor.unconsumed_tail or self._decompressor.eof:
            raise DecompressionError(
                "a packed frame that is too large, or ends the stream"
            )
        return head, payload[end:]
