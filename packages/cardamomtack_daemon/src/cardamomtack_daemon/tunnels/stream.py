"""A connection to a server of which little is held while nobody takes it."""

from __future__ import annotations

from asyncio import StreamReader, StreamWriter, open_connection

from anyio import EndOfStream

from cardamomtack_daemon.http1.receiving import bound_socket_buffers

WINDOW_BYTES = 65_536
"""What is read ahead; the connection waits at twice as much."""


class BoundedStream:
    """The bytes of a connection, read no further than they are taken.

    Parameters
    ----------
    reader : StreamReader
        What arrives.
    writer : StreamWriter
        What is sent.
    """

    __slots__ = ("_reader", "_writer")

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def __aenter__(self) -> BoundedStream:
        """Return the connection, which is closed afterwards."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connection; what is still under way is dropped."""
        self._writer.transport.abort()

    async def receive(self) -> bytes:
        """Return what has arrived.

        Raises
        ------
        EndOfStream
            When the other end has closed.
        OSError
            When the connection is lost.
        """
        data = await self._reader.read(WINDOW_BYTES)
        if not data:
            raise EndOfStream
        return data

    async def send(self, data: bytes) -> None:
        """Send bytes, and wait until the other end has taken most of them.

        Raises
        ------
        OSError
            When the connection is lost.
        """
        # The event loop raises no OSError where the connection is closed already.
        if self._writer.transport.is_closing():
            raise ConnectionResetError
        self._writer.write(data)
        await self._writer.drain()


async def async_connect_stream(address: str, port: int) -> BoundedStream:
    """Open a connection.

    Raises
    ------
    OSError
        When the other end refuses or can't be reached.
    """
    reader, writer = await open_connection(address, port, limit=WINDOW_BYTES)
    bound_socket_buffers(writer.get_extra_info("socket"))
    return BoundedStream(reader, writer)
