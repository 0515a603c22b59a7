"""The floor: the least a relay in this language costs. Bytes in, bytes out."""

import asyncio
import socket
import sys


class RelaySide(asyncio.Protocol):
    """One of two connections that are joined."""

    def __init__(self) -> None:
        self.peer: RelaySide | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.transport = transport
        for data in self.pending:
            transport.write(data)

    def data_received(self, data: bytes) -> None:
        assert self.peer is not None
        if self.peer.transport is None:
            self.peer.pending.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def main(port: int, target: int) -> None:
    """Relay between a port and a target on loopback."""
    loop = asyncio.get_running_loop()

    def accept() -> RelaySide:
        client_side, target_side = RelaySide(), RelaySide()
        client_side.peer, target_side.peer = target_side, client_side
        loop.create_task(
            loop.create_connection(lambda: target_side, "127.0.0.1", target)
        )
        return client_side

    server = await loop.create_server(accept, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
