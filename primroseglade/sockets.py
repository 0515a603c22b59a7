"""Socket options that both kinds of connections need."""

import asyncio
import socket

KEEP_ALIVE_PROBES = 2


def set_dead_peer_options(
    transport: asyncio.Transport, idle_seconds: int, unacknowledged_ms: int
) -> None:
    """Have the kernel close a connection whose other end no longer answers.

    Args:
        transport: Of the connection.
        idle_seconds: Without data, after which the other end is probed.
        unacknowledged_ms: For which sent data may go without an acknowledgement.
    """
    sock = transport.get_extra_info("socket")
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ):
        sock.setsockopt(level, option, value)


def was_reset(transport: asyncio.Transport) -> bool:
    """Whether the other end broke the connection off, to be asked at its end.

    Where data and a reset come in one turn, uvloop tells of the data and then of an
    ordinary end, without looking for the error. It is still to be had of the socket.
    """
    sock = transport.get_extra_info("socket")
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
