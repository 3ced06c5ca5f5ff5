"""A server answers with a status that HTTP doesn't have."""

from __future__ import annotations

import unittest

import anyio

from cardamomtack_daemon.forwarding.const import ANSWER_BUFFER_BYTES_MAX
from tests.cardamomtack_daemon.forwarding.callers import HOST
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.servers import async_answer, write_answer
from tests.cardamomtack_daemon.forwarding.test_late import script_in_turn

LONG_BYTES = 2 * ANSWER_BUFFER_BYTES_MAX
STATUSES = ("000", "001", "099", "600", "999")


def answer_with(status, form):
    """Return a script that runs a request and answers it in one of several forms."""

    async def script(server, request, stream):
        server.ran.append(request.headers[b"test-id"].decode())
        body = b"x" * (LONG_BYTES if form == "long" else 10)
        if form == "unframed":
            await stream.send(write_answer(request, status, body, content_length=""))
            await stream.send_eof()
        elif form == "chunked":
            fields = {"content_length": "", "transfer_encoding": "chunked"}
            head = write_answer(request, status, b"", **fields)
            await stream.send(head + b"a\r\n" + body + b"\r\n0\r\n\r\n")
        elif form == "head":
            await stream.send(write_answer(request, status, b"", content_length="10"))
        elif form == "not run":
            await stream.send(write_answer(request, status, body, test_not_run="1"))
        else:
            await stream.send(write_answer(request, status, body))

    return script


class UnknownStatusTest(ForwardingCase):
    """Guards against statuses such as 000 that were passed on as answers."""

    def play_statuses(self, call, forms, status, runs):
        """Have the first server give each status in each form; check what follows."""
        for unknown in STATUSES:
            for form in forms:
                with self.subTest(status=unknown, form=form):

                    async def scenario(vm, servers, unknown=unknown, form=form):
                        scripts = [answer_with(unknown, form), async_answer]
                        script = script_in_turn(*scripts)
                        for server in servers:
                            server.script = script
                        answer = await call(vm)
                        self.assertEqual(answer.status, status)
                        if status != 200:
                            self.assertNotIn("test-signature", answer.headers)
                        self.assertEqual(sum(len(one.ran) for one in servers), runs)

                    self.play(scenario)

    def test_what_may_be_sent_again_is_answered_by_another_server(self):
        forms = ("framed", "chunked", "unframed", "long", "not run")
        self.play_statuses(lambda vm: vm.async_call("read", "r-1"), forms, 200, 2)

    def test_what_may_not_be_sent_again_ends_without_a_promise(self):
        forms = ("framed", "chunked", "unframed", "long", "not run")
        self.play_statuses(
            lambda vm: vm.async_call("book", "b-1", b"van"), forms, 502, 1
        )

    def test_answer_to_head(self):
        async def call(vm):
            stream = await anyio.connect_tcp("127.0.0.1", vm.settings.port)
            async with stream:
                head = f"HEAD /read/x HTTP/1.1\r\nHost: {HOST}\r\ntest-id: h-1\r\n\r\n"
                await stream.send(head.encode())
                return _Head(await stream.receive())

        self.play_statuses(call, ("head",), 200, 2)

    def test_statuses_that_http_has_are_passed_on(self):
        for status in (200, 204, 299, 304, 404, 499, 500, 599):
            with self.subTest(status):

                async def scenario(vm, servers, status=status):
                    for server in servers:
                        server.script = answer_with(str(status), "framed")
                    answer = await vm.async_call("book", "b-1", b"van")
                    self.assertEqual(answer.status, status)

                self.play(scenario)

    def test_health_check_with_an_unknown_status_is_no_answer(self):
        async def check(server, request, stream):
            fields = {"test_load": "0,0,4", "test_server": server.server_id}
            await stream.send(write_answer(request, "000", b"", **fields))

        async def scenario(vm, servers):
            servers[0].check_script = check
            await anyio.sleep(0.2)
            for number in range(4):
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 200)
            self.assertEqual(servers[0].ran, [])

        self.play(scenario)


class _Head:
    """The status of an answer without a body."""

    def __init__(self, data):
        self.status = int(data.split(b" ", 2)[1])


if __name__ == "__main__":
    unittest.main()
