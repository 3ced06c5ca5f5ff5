"""Connections of callers: what is answered, refused, streamed and cut."""

from __future__ import annotations

import unittest

import anyio

from cardamomtack.helpers.clock import SystemClock
from cardamomtack_daemon.http1.client import BrokenAnswerError
from cardamomtack_daemon.http1.limits import ConnectionLimits
from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.server import AnswerSource, CallerServer
from cardamomtack_standins.fleet import find_free_ports

BODY_BYTES_MAX = 1000
GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n"
)
UPGRADE = GET.replace(b"host", b"connection: upgrade\r\nupgrade: h\r\nhost")


class LongAnswer:
    """The rest of an answer that may be cut."""

    def __init__(self, parts: list[bytes], is_cut: bool) -> None:
        self._parts = parts
        self._is_cut = is_cut
        self.is_released = False

    async def async_receive_more(self) -> bytes | None:
        """Return the next part, or the end."""
        if self._parts:
            return self._parts.pop(0)
        if self._is_cut:
            raise BrokenAnswerError("cut", True)
        return None

    async def async_release(self) -> None:
        """Note the release."""
        self.is_released = True


class EchoHandler:
    """Answers with the body of the request, or with a long answer."""

    def __init__(self, answer: HttpAnswer | None = None, source=None) -> None:
        self._answer = answer
        self._source = source

    async def async_handle(
        self, request: HttpRequest
    ) -> tuple[HttpAnswer, AnswerSource | None]:
        """Return the answer."""
        if self._answer is not None:
            return self._answer, self._source
        return HttpAnswer(200, [], request.target + b":" + request.body), None


async def async_talk(handler: EchoHandler, data: bytes) -> bytes:
    """Return all that a server sends until it closes or falls silent."""
    limits = ConnectionLimits(BODY_BYTES_MAX, 10, 5.0)
    server = CallerServer(handler, limits, SystemClock())
    (port,) = find_free_ports(1)
    received = b""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.async_serve, "127.0.0.1", port)
        stream = None
        while stream is None:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.sleep(0.005)
        async with stream:
            await stream.send(data)
            with anyio.move_on_after(0.3):
                while True:
                    try:
                        received += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        received += b"<closed>"
                        break
        tasks.cancel_scope.cancel()
    return received


class OrderTest(unittest.TestCase):
    """What a request tells of its place on the connection."""

    def test_only_the_first_request_of_a_connection_is_its_first(self):
        seen: list[bool] = []

        class Handler(EchoHandler):
            async def async_handle(self, request):
                seen.append(request.is_first)
                return await super().async_handle(request)

        anyio.run(async_talk, Handler(), GET + POST + CHUNKED)
        anyio.run(async_talk, Handler(), POST + GET)
        self.assertEqual(seen, [True, False, False, True, False])


class TrailerTest(unittest.TestCase):
    """Fields that follow a body."""

    def test_fields_of_a_trailer_are_taken_for_those_of_the_head(self):
        seen: list[list[tuple[bytes, bytes]]] = []

        class Handler(EchoHandler):
            async def async_handle(self, request):
                seen.append(list(request.headers))
                return await super().async_handle(request)

        trailer = b"0\r\nhost: y\r\ntest-id: 2\r\n\r\n"
        anyio.run(async_talk, Handler(), CHUNKED.replace(b"0\r\n\r\n", trailer) + GET)
        head = [(b"host", b"x"), (b"transfer-encoding", b"chunked")]
        self.assertEqual(seen, [head, [(b"host", b"x")]])


class CallerContractTest(unittest.TestCase):
    """The contract with callers, fault by fault."""

    def test_a_request_for_an_upgrade_gets_two_answers(self):
        for request in (UPGRADE, UPGRADE.replace(b"GET", b"POST") + b"GET /b"):
            received = anyio.run(async_talk, EchoHandler(), request)
            self.assertEqual(received.count(b"HTTP/1.1 "), 1)
        body = b"connection: upgrade\r\nupgrade: h\r\nhost"
        smuggled = POST.replace(b"host", body).replace(b"abc", GET).replace(b"3", b"26")
        received = anyio.run(async_talk, EchoHandler(), smuggled)
        self.assertEqual(received.count(b"HTTP/1.1 "), 1)

    def test_requests(self):
        cases = [
            ("whole", GET, [b"200 OK", b"/a:"], False),
            ("with body", POST, [b"200 OK", b"/a:abc"], False),
            ("chunked", CHUNKED, [b"200 OK", b"/a:abc"], False),
            ("two at once", GET + POST, [b"/a:HTTP/1.1 200", b"/a:abc"], False),
            ("HTTP/1.0", GET.replace(b"1.1", b"1.0"), [b"200 OK"], True),
            (
                "closing",
                GET.replace(b"host", b"connection: close\r\nhost"),
                [b"200 OK", b"connection: close"],
                True,
            ),
            ("not HTTP", b"hello there\r\n\r\n", [b"400", b"not-run"], True),
            (
                "two lengths",
                POST.replace(b"host: x", b"content-length: 4"),
                [b"400", b"not-run"],
                True,
            ),
            (
                "length and chunks",
                CHUNKED.replace(b"host: x", b"content-length: 3"),
                [b"400", b"not-run"],
                True,
            ),
            (
                "upgrade",
                UPGRADE,
                [b"200 OK", b"/a:"],
                False,
            ),
            (
                "two behind an upgrade",
                UPGRADE + POST + GET,
                [b"/a:HTTP/1.1 200", b"/a:abcHTTP/1.1 200", b"/a:"],
                False,
            ),
            (
                "upgrade with a body",
                POST.replace(b"host", b"connection: upgrade\r\nupgrade: h\r\nhost")
                + GET,
                [b"HTTP/1.1 400", b"not-run"],
                True,
            ),
            ("too large", POST + b"x" * 80_000, [b"/a:abc", b"400"], True),
            ("half a request", POST[:-1], [], False),
        ]
        for name, data, wanted, closes in cases:
            with self.subTest(name):
                received = anyio.run(async_talk, EchoHandler(), data)
                for part in wanted:
                    self.assertIn(part, received)
                self.assertEqual(received.endswith(b"<closed>"), closes, received)
                if not wanted:
                    self.assertEqual(received, b"")

    def test_body_over_the_bound_is_refused(self):
        head = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 900000\r\n\r\n"
        received = anyio.run(async_talk, EchoHandler(), head + b"x" * 100_000)
        self.assertIn(b"413", received)
        self.assertIn(b"not-run", received)

    def test_long_answers_are_whole_or_broken(self):
        cases = [
            ("whole with length", 9, False, b"abcdefghi", False),
            ("cut with length", 9, True, b"abcdefghi"[:6], True),
            ("whole in chunks", None, False, b"0\r\n\r\n", False),
            ("cut in chunks", None, True, b"3\r\ndef\r\n", True),
        ]
        for name, length, is_cut, ending, closes in cases:
            with self.subTest(name):
                parts = [b"def"] if is_cut else [b"def", b"ghi"]
                source = LongAnswer(parts, is_cut)
                answer = HttpAnswer(200, [], b"abc", is_whole=False, length=length)
                received = anyio.run(async_talk, EchoHandler(answer, source), GET)
                body = received.removesuffix(b"<closed>")
                self.assertTrue(body.endswith(ending), received)
                self.assertEqual(received.endswith(b"<closed>"), closes)
                self.assertTrue(source.is_released)


if __name__ == "__main__":
    unittest.main()
