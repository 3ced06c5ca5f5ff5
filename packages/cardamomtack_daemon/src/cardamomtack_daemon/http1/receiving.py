"""Bounds what one connection takes in memory at the kernel, and at one read."""

from __future__ import annotations

from socket import (
    AF_INET,
    AF_INET6,
    SO_RCVBUF,
    SO_SNDBUF,
    SOL_SOCKET,
    create_server,
    socket,
)

from cardamomtack_daemon.http1.body import READ_BYTES_MAX

RECEIVE_BUFFER = memoryview(bytearray(READ_BYTES_MAX))
"""Shared by all connections: each read is copied from it before the next one."""

SOCKET_BUFFER_BYTES = 131_072
"""100 Mbit/s with 8 ms of delay have 100 kB under way; the kernel doubles it."""


def bound_socket_buffers(one: socket) -> None:
    """Bound what the kernel holds of a connection; it grows to several MB otherwise."""
    one.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
    one.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)


def open_listener(address: str, port: int) -> socket:
    """Return a bound socket; accepted sockets inherit the sizes of its buffers."""
    family = AF_INET6 if ":" in address else AF_INET
    listener = create_server((address, port), family=family)
    bound_socket_buffers(listener)
    listener.setblocking(False)
    return listener
