"""Backend servers and nodes that are slow to read what a node sends them."""

import asyncio
import socket
import threading
import time

from primroseglade.sidecar.frames import CallAnswer
from primroseglade.sidecar.http_client import ConnectionPool
from primroseglade.sidecar.http_messages import Reply, Request

from .mesh import build_call_frames, Mesh, RECEIVE_BUFFER_BYTES, SlowReader

PAUSE_SECONDS = 2.5
BODY_BYTES = 300_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nread"


class PausingServer:
    """Pauses before it reads a body, and answers once it has read all of it."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Wait for the server thread and stop listening."""
        self._thread.join(10.0)
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            received = connection.recv(1000)
            time.sleep(PAUSE_SECONDS)
            while len(received) - received.index(b"\r\n\r\n") - 4 < BODY_BYTES:
                data = connection.recv(1 << 16)
                if not data:
                    return
                received += data
            connection.sendall(ANSWER)


async def test_upload_to_a_server_that_pauses_in_reading_is_not_broken_off():
    """Guards against uploads that fail after 1.5 s, and can't be repeated: the time for
    which the server's receive window is closed counted as if the server were dead.
    """
    server = PausingServer()
    pool = ConnectionPool(server.address, 1.0)
    connection = await pool.acquire()
    head = f"POST / HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
    response = await connection.exchange(head + b"x" * BODY_BYTES)
    assert response.body == b"read"
    sock = connection._transport.get_extra_info("socket")
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) > 0
    connection.close()
    server.close()


LARGE_ANSWERS = 4
LARGE_ANSWER_BYTES = 12_000_000


async def test_large_answers_to_a_node_that_reads_slowly_all_arrive(mesh: Mesh):
    """Guards against answers that are all lost with the stream that carries them, as
    together they exceed what it may hold unsent.
    """
    instance = mesh.instances[0]

    def answer(request: Request, headers: dict[str, str]) -> Reply:
        return instance.backend.build_response(
            headers["x-primroseglade-request-id"], b"x" * LARGE_ANSWER_BYTES
        )

    instance.backend.answer = answer
    reader = SlowReader(instance.settings.peers, 16 * RECEIVE_BUFFER_BYTES)
    await reader.send(build_call_frames(instance, LARGE_ANSWERS))
    await asyncio.sleep(0.8)
    answered = 0
    async with asyncio.timeout(10.0):
        async for frame in reader.read_frames():
            if isinstance(frame, CallAnswer):
                assert len(frame.body) == LARGE_ANSWER_BYTES
                answered += 1
                if answered == LARGE_ANSWERS:
                    break
    assert answered == LARGE_ANSWERS
    reader.close()
