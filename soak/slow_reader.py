"""A caller on a slow link."""

import asyncio
import socket

from primroseglade.addresses import parse_address

from .checks import SlowRead

READ_BYTES = 8_192
READ_PAUSE_SECONDS = 0.02
# Segments as on Ethernet, and a small window: the kernel of the node buffers as much of
# an answer as it does on a network, and not the megabytes of the loopback interface.
SEGMENT_BYTES = 1_400
WINDOW_BYTES = 4_096


async def read_slowly(address: str, request: bytes, read: SlowRead) -> None:
    """Send a request, and read its answer slowly.

    Args:
        address: ``IP:PORT`` of the node.
        request: The request.
        read: Receives how far the answer arrived.

    Raises:
        OSError: The connection was refused or reset.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, parse_address(address))
        await loop.sock_sendall(sock, request)
        data = b""
        while part := await loop.sock_recv(sock, READ_BYTES):
            data += part
            read.begun = True
            head, end, body = data.partition(b"\r\n\r\n")
            if end and len(body) == _read_length(head):
                read.complete = True
                return
            await asyncio.sleep(READ_PAUSE_SECONDS)


def _read_length(head: bytes) -> int:
    """Return the length of the body that the head of an answer announces."""
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0
