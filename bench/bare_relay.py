"""A minimal TCP relay: the lower bound of what a relay in Python costs."""

import asyncio
import socket
import sys


class RelaySide(asyncio.Protocol):
    """One of the two connections of a relayed stream."""

    def __init__(self) -> None:
        self.peer: RelaySide | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the data that arrived before the connection was open."""
        assert isinstance(transport, asyncio.Transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.transport = transport
        for data in self.pending:
            transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Forward data to the peer, or keep it until the peer is connected."""
        assert self.peer is not None
        if self.peer.transport is None:
            self.peer.pending.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the peer's connection."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def main(port: int, target: int) -> None:
    """Relay connections from one loopback port to another."""
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
