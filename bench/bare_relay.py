"""The floor: the least a relay in this language costs. Bytes in, bytes out."""

import asyncio
import socket
import sys


class Side(asyncio.Protocol):
    """One of two connections that are joined."""

    def __init__(self) -> None:
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.transport = transport
        for data in self.waiting:
            transport.write(data)

    def data_received(self, data: bytes) -> None:
        assert self.other is not None
        if self.other.transport is None:
            self.other.waiting.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def main(port: int, target: int) -> None:
    """Relay between a port and a target on loopback."""
    loop = asyncio.get_running_loop()

    def accept() -> Side:
        near, far = Side(), Side()
        near.other, far.other = far, near
        loop.create_task(loop.create_connection(lambda: far, "127.0.0.1", target))
        return near

    server = await loop.create_server(accept, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
