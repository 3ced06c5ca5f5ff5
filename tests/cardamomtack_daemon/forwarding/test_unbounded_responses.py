"""Servers that send bytes without end, until the daemon closes the connection."""

from __future__ import annotations

import resource

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase, async_wait_for
from tests.cardamomtack_daemon.forwarding.servers import STREAM_ERRORS, write_answer

CALLS = 4
DEADLINE_MS = 800
GROWTH_KB_MAX = 60_000
PART = b"x" * 50_000
FOREIGN = b"HTTP/1.1 200 X\r\ntest-id: other\r\ncontent-length: 5\r\n\r\nother"
OWN = "HTTP/1.1 200 X\r\ntest-id: {id}\r\ntest-signature: s\r\n"

# What comes first, and what then comes without end.
PLACES = {
    "before a head": (b"", PART),
    "line of a header": (b"HTTP/1.1 200 X\r\nx-long: ", PART),
    "name of a header": (b"HTTP/1.1 200 X\r\n", PART),
    "header fields": (b"HTTP/1.1 200 X\r\n", b"x-field: y\r\n" * 500),
    "zero lines": (b"", b"\r\n" * 5000),
    "answers to others": (b"", FOREIGN * 100),
    "body of an answer to others": (
        b"HTTP/1.1 200 X\r\ntest-id: other\r\ncontent-length: 999999999\r\n\r\n",
        PART,
    ),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
}
BODY_PLACES = {
    "size of a chunk": (b"transfer-encoding: chunked\r\n\r\n", b"0" * 5000),
    "extension of a chunk": (b"transfer-encoding: chunked\r\n\r\n5;", PART),
    "trailer": (b"transfer-encoding: chunked\r\n\r\n0\r\n", b"x-field: y\r\n" * 500),
    "chunks": (b"transfer-encoding: chunked\r\n\r\n", b"5\r\nabcde\r\n" * 500),
    "body without a length": (b"\r\n", PART),
    "body with a great length": (b"content-length: 99999999999\r\n\r\n", PART),
}
LENGTH_PLACES = {
    "body past its length": PART,
    "whole answers": FOREIGN * 100,
}


def read_peak_kb() -> int:
    """Return the largest memory of this process so far, in kilobytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def send_without_end(make_first, part):
    """Return a script that sends bytes until its connection is closed."""

    async def script(server, request, stream):
        server.ran.append(request.headers.get(b"test-id", b"").decode())
        try:
            await stream.send(make_first(request))
            while True:
                await stream.send(part)
                await anyio.sleep(0)
        except STREAM_ERRORS:
            server.left += 1
            raise

    return script


class EndlessTest(ForwardingCase):
    """The request ends in time, the connection closes, and memory stays flat."""

    def check(self, make_first, part, is_answered):
        """Check what callers of servers get, one of which sends without end."""

        async def scenario(vm, servers):
            known_kb = read_peak_kb()
            servers[0].script = send_without_end(make_first, part)
            servers[1].load = "3,0,4"
            answers = []

            async def call(number):
                # What the caller would keep counts against the memory of the test.
                async with vm.open_caller(len(PART)) as caller:
                    answers.append(
                        await caller.async_call(
                            "book", f"b-{number}", b"v", DEADLINE_MS
                        )
                    )

            async with anyio.create_task_group() as tasks:
                for number in range(CALLS):
                    tasks.start_soon(call, number)
            self.assertIn(servers[0].ran[0], [f"b-{n}" for n in range(CALLS)])
            endless = len(servers[0].ran)
            good = [one for one in answers if (one.status, one.body) == (200, b"done")]
            self.assertEqual(len(good), CALLS if is_answered else CALLS - endless)
            for answer in answers:
                self.assertLess(answer.duration_s, 2.0)
                if answer not in good:
                    self.assertFalse(answer.is_whole and answer.status == 200)

            async def read_left():
                return servers[0].left

            await async_wait_for(read_left, lambda left: left == endless)
            self.assertLess(read_peak_kb() - known_kb, GROWTH_KB_MAX)
            # Other requests are untouched.
            servers[0].script = servers[1].script
            self.assertEqual((await vm.async_call("read", "r-1")).status, 200)

        self.play(scenario)

    def test_heads(self):
        for place, (first, part) in PLACES.items():
            with self.subTest(place):
                self.check(lambda request, first=first: first, part, False)

    def test_bodies(self):
        for place, (first, part) in BODY_PLACES.items():
            with self.subTest(place):

                def make(request, first=first):
                    request_id = request.headers[b"test-id"].decode()
                    return OWN.format(id=request_id).encode() + first

                self.check(make, part, False)

    def test_after_a_whole_answer(self):
        for place, part in LENGTH_PLACES.items():
            with self.subTest(place):
                self.check(write_answer, part, True)

    def test_answers_to_health_checks(self):
        places = {
            **PLACES,
            **{
                name: (OWN.encode() + first, part)
                for name, (first, part) in BODY_PLACES.items()
            },
        }
        for place, (first, part) in places.items():
            with self.subTest(place):

                async def scenario(vm, servers, first=first, part=part):
                    known_kb = read_peak_kb()
                    servers[0].check_script = send_without_end(
                        lambda request: first, part
                    )
                    for number in range(CALLS):
                        answer = await vm.async_call("book", f"b-{number}", b"v")
                        self.assertEqual(answer.status, 200)
                        self.assertLess(answer.duration_s, 1.0)
                    checked = servers[0].checks

                    async def read_left():
                        return servers[0].left

                    await async_wait_for(read_left, lambda left: left == checked)
                    self.assertLess(read_peak_kb() - known_kb, GROWTH_KB_MAX)

                self.play(scenario)
