"""Stand-in for a NAT or firewall that forgets open connections and drops their data."""

import asyncio

from ..addresses import join_address, parse_address


class TcpForwarder:
    """Forwards TCP connections to a target and can blackhole the open ones.

    Args:
        target: ``IP:PORT`` to forward to.

    Attributes:
        address: ``IP:PORT`` that it listens on, empty before the start.
    """

    def __init__(self, target: str):
        self._host, self._port = parse_address(target)
        self._blackholed: set[asyncio.Event] = set()
        # An event for each open connection, set when its data is to be dropped.
        self._blackhole_events: set[asyncio.Event] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    @property
    def connection_count(self) -> int:
        """Number of open connections that are forwarded."""
        return len(self._blackhole_events)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = join_address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def blackhole_connections(self) -> int:
        """Drop all further data on the open connections and return their number.

        The connections stay open, so that neither end gets an error.
        """
        count = len(self._blackhole_events)
        for blackholed in self._blackhole_events:
            blackholed.set()
        self._blackhole_events.clear()
        return count

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        blackholed = asyncio.Event()
        self._blackhole_events.add(blackholed)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host, self._port
            )
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(_forward(reader, upstream_writer, blackholed))
                    group.create_task(_forward(upstream_reader, writer, blackholed))
            finally:
                upstream_writer.transport.abort()
        except OSError:
            return
        except asyncio.CancelledError:
            # Raised by stop(). If it propagated, asyncio would log it as an error.
            return
        finally:
            self._blackhole_events.discard(blackholed)
            writer.transport.abort()


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    blackholed: asyncio.Event,
) -> None:
    while True:
        data = await reader.read(65536)
        if blackholed.is_set():
            # Unlike at a real blackhole, the sender gets TCP acknowledgments for the
            # data that is dropped here.
            if not data:
                return
            continue
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()
