"""Connections of other VMs that can't be accepted."""

from __future__ import annotations

import errno
import unittest
from functools import partial

import anyio

from cardamomtack_daemon.peers.accepting import async_accept


class ScarceListener:
    """Has no free descriptor for every second connection."""

    def __init__(self, listener):
        self._listener = listener
        self._turn = 0

    async def serve(self, handle, tasks):
        """Accept one connection, or fail."""
        self._turn += 1
        if self._turn % 2:
            raise ExceptionGroup("accept", [OSError(errno.EMFILE, "no descriptor")])
        with anyio.CancelScope() as scope:

            async def serve_one(stream):
                tasks.start_soon(handle, stream)
                scope.cancel()

            await self._listener.serve(serve_one)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self._listener.aclose()


class AcceptTest(unittest.TestCase):
    """Guards against a process that ends because it has no free descriptor."""

    def test_failed_accept_ends_the_listener_and_its_streams(self):
        async def echo(stream):
            async with stream:
                async for data in stream:
                    await stream.send(data)

        async def scenario():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(async_accept, ScarceListener(listener), echo)
                connect = partial(anyio.connect_tcp, "127.0.0.1", port)
                with anyio.fail_after(5.0):
                    async with await connect() as first, await connect() as second:
                        for stream in (first, second, first):
                            await stream.send(b"ping")
                            self.assertEqual(await stream.receive(), b"ping")
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
