"""Responses delimited by the end of the connection, and resets within them."""

import asyncio
import socket
import struct
import threading
import time

import pytest

from primroseglade.sidecar.client_connection import ExchangeError
from primroseglade.sidecar.http_client import ConnectionPool

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
UNFRAMED_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Kind: unframed\r\n\r\nhalf of it"
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class TruncatingServer:
    """Sends one response without a length, then closes or resets the connection."""

    def __init__(self, reset: bool):
        self._reset = reset
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Wait for the server thread and stop listening."""
        self._thread.join(5.0)
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        connection.recv(1000)
        connection.sendall(UNFRAMED_RESPONSE)
        if self._reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        connection.close()


@pytest.mark.parametrize("busy", [0.0, 0.2])
async def test_reset_within_an_unframed_response_is_an_error(busy: float):
    """Guards against forwarding half of a response as a complete one.

    The backend server crashes while it sends a response delimited by the end of its
    connection. A busy node finds the data and the reset in one iteration of its event
    loop.
    """
    server = TruncatingServer(reset=True)
    connection = await ConnectionPool(server.address, 1.0).acquire()
    asyncio.get_running_loop().call_later(0.0, time.sleep, busy)
    with pytest.raises(ExchangeError) as error_info:
        await connection.exchange(REQUEST)
    assert error_info.value.sent
    server.close()


@pytest.mark.parametrize("busy", [0.0, 0.2])
async def test_unframed_response_ends_with_its_connection(busy: float):
    """An orderly close completes the response."""
    server = TruncatingServer(reset=False)
    connection = await ConnectionPool(server.address, 1.0).acquire()
    asyncio.get_running_loop().call_later(0.0, time.sleep, busy)
    response = await connection.exchange(REQUEST)
    assert response.body == b"half of it"
    server.close()
