"""Callers that hold connections without use."""

from __future__ import annotations

import unittest
from socket import SO_RCVBUF, SOL_SOCKET, socket

import anyio

from cardamomtack.helpers.clock import SystemClock
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.server import CallerServer
from cardamomtack_standins.fleet import find_free_ports

CLIENTS = 12
CONNECTIONS_MAX = 3
LONG_BYTES = 8_000_000
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
SHORT_BYTES = 4_000
WAIT_S = 10.0


class LongHandler:
    """Answers with a long body, or one of another length, and counts the requests."""

    def __init__(self):
        self.body_bytes = LONG_BYTES
        self.requests = 0

    async def async_handle(self, request):
        """Return the answer."""
        self.requests += 1
        return HttpAnswer(200, [], b"x" * self.body_bytes), None


class RecordingServer(CallerServer):
    """Records the connections that were made, also those that it has dropped."""

    def __init__(self, *args):
        super().__init__(*args)
        self.made = []

    def add_connection(self, connection):
        """Record a connection and take it."""
        self.made.append(connection)
        super().add_connection(connection)


class ConnectionBoundTest(unittest.TestCase):
    """Which connections are closed."""

    def play(self, scenario):
        """Run a scenario with a server of few connections."""

        async def run():
            limits = ConnectionLimits(0, CONNECTIONS_MAX, 1.0, True)
            handler = LongHandler()
            server = RecordingServer(handler, limits, SystemClock())
            (port,) = find_free_ports(1)
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.async_serve, "127.0.0.1", port)
                await scenario(server, handler, port)
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_the_longest_idle_connection_is_closed_for_a_new_one(self):
        async def scenario(server, handler, port):
            streams = []
            for _ in range(CONNECTIONS_MAX + 1):
                streams.append(await anyio.connect_tcp("127.0.0.1", port))
                await anyio.sleep(0.02)
            with anyio.fail_after(WAIT_S), self.assertRaises(anyio.EndOfStream):
                await streams[0].receive()
            self.assertEqual((server.closed_idle, server.refused), (1, 0))
            await streams[-1].send(REQUEST)
            self.assertTrue((await streams[-1].receive()).startswith(b"HTTP/1.1 200"))

        self.play(scenario)

    def test_a_caller_that_takes_nothing_is_closed_and_gets_one_response(self):
        async def scenario(server, handler, port):
            stream = await anyio.connect_tcp("127.0.0.1", port)
            await stream.send(REQUEST * 5)
            with anyio.fail_after(WAIT_S):
                while server.connections or server.closed_stalled == 0:
                    await anyio.sleep(0.05)
            self.assertEqual(handler.requests, 1)

        self.play(scenario)

    def test_callers_with_untaken_responses_do_not_exceed_the_bound(self):
        # They were closed as idle, but kept their descriptors until they read.
        async def scenario(server, handler, port):
            handler.body_bytes = SHORT_BYTES
            clients = []
            for _ in range(CLIENTS):
                client = socket()
                client.setsockopt(SOL_SOCKET, SO_RCVBUF, SHORT_BYTES)
                client.connect(("127.0.0.1", port))
                clients.append(client)
                with anyio.fail_after(WAIT_S):
                    while len(server.made) < len(clients):
                        await anyio.sleep(0.001)
                    while not server.made[-1].has_unsent:
                        client.send(REQUEST)
                        await anyio.sleep(0.001)
            self.assertGreater(server.closed_idle, 0)
            open_connections = sum(one.has_unsent for one in server.made)
            self.assertLessEqual(open_connections, CONNECTIONS_MAX)
            for client in clients:
                client.close()

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
