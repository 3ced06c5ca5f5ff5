"""TCP keep-alive probes, which find out that the other end has gone silent."""

from __future__ import annotations

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)

KEEPALIVE_PROBES_MAX = 2
KEEPALIVE_S = 1
UNACKNOWLEDGED_MS_MAX = 2500


def enable_tcp_keepalive(connected: socket) -> None:
    """Have the kernel end a connection whose other end has gone silent."""
    connected.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    connected.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S)
    connected.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S)
    connected.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES_MAX)
    connected.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS_MAX)
    connected.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
