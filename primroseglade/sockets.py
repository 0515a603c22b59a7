"""Socket options and socket state of TCP connections."""

import asyncio
import socket

KEEP_ALIVE_PROBES = 2


def set_dead_peer_options(
    transport: asyncio.Transport, idle_seconds: int, unacknowledged_ms: int
) -> None:
    """Have the kernel close a connection whose peer no longer responds.

    Args:
        transport: Transport of the connection.
        idle_seconds: Idle time in seconds after which the peer is probed.
        unacknowledged_ms: Time in ms that sent data may remain unacknowledged.
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


def set_unacknowledged_limit(transport: asyncio.Transport, milliseconds: int) -> None:
    """Set the time in ms that sent data may remain unacknowledged.

    0 stands for the kernel's default, which is minutes. The time for which the peer's
    receive window is closed counts, too.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def was_reset(transport: asyncio.Transport) -> bool:
    """Whether the peer reset a connection that has ended.

    If data and a reset arrive in the same loop iteration, uvloop reports the data and
    then a regular end of stream. The error can still be read from the socket.
    """
    sock = transport.get_extra_info("socket")
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
