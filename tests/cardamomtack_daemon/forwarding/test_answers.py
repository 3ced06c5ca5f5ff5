"""Whole own answers: what callers get when servers answer wrongly."""

from __future__ import annotations

from dataclasses import replace

import anyio

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import write_answer, write_not_run

FOREIGN = (
    b"HTTP/1.1 200 X\r\ntest-id: other\r\ntest-signature: s\r\n"
    b"content-length: 5\r\n\r\nother"
)


def answer_with(make, closes=False):
    """Return a script that runs a request and sends bytes."""

    async def script(server, request, stream):
        server.ran.append(request.headers[b"test-id"].decode())
        await stream.send(make(request))
        if closes:
            await stream.aclose()

    return script


class AnswerTest(ForwardingCase):
    """Each fault of an answer, for a request that may not run twice."""

    def check(self, make, status, body, closes=False):
        """Check what the caller of a booking gets, and that it ran once."""

        async def scenario(vm, servers):
            for server in servers:
                server.script = answer_with(make, closes)
            answer = await vm.async_call("book", "b-1", b"van")
            self.assertEqual(answer.status, status)
            if body is not None:
                self.assertEqual((answer.body, answer.is_whole), (body, True))
            else:
                self.assertNotIn("test-signature", answer.headers)
            runs = [one for server in servers for one in server.ran]
            self.assertEqual(runs, ["b-1"])

        self.play(scenario)

    def test_whole(self):
        self.check(write_answer, 200, b"done")

    def test_whole_of_any_size(self):
        for size in (250_000, 300_000, 900_000, 1_100_000, 5_000_000):
            with self.subTest(size):
                body = b"x" * size
                self.check(
                    lambda request, body=body: write_answer(request, 200, body),
                    200,
                    body,
                )

    def test_foreign_answer_first(self):
        self.check(lambda request: FOREIGN + write_answer(request), 200, b"done")

    def test_two_foreign_answers_first(self):
        self.check(lambda request: FOREIGN * 2 + write_answer(request), 200, b"done")

    def test_foreign_answer_alone(self):
        self.check(lambda request: FOREIGN, 502, None, closes=True)

    def test_answer_sent_twice(self):
        self.check(lambda request: write_answer(request) * 2, 200, b"done")

    def test_unsigned_success(self):
        make = lambda request: write_answer(request, test_signature="")  # noqa: E731
        self.check(make, 502, None)

    def test_cut_body(self):
        self.check(lambda request: write_answer(request)[:-1], 502, None, closes=True)

    def test_cut_head(self):
        self.check(lambda request: write_answer(request)[:20], 502, None, closes=True)

    def test_nothing(self):
        self.check(lambda request: b"", 502, None, closes=True)

    def test_no_http(self):
        self.check(lambda request: b"hello\r\n\r\n", 502, None, closes=True)

    def test_no_length_ends_with_connection(self):
        make = lambda request: write_answer(request, content_length="")  # noqa: E731
        self.check(make, 200, b"done", closes=True)

    def test_failure_of_the_server_is_passed_on(self):
        self.check(lambda request: write_answer(request, 500, b"no"), 500, b"no")

    def test_extra_answer_never_reaches_the_next_caller(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                await stream.send(write_answer(request, body=b"mine"))
                await anyio.sleep(0.05)
                await stream.send(write_answer(request, body=b"late"))

            servers[0].script = script
            for number in range(6):
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual((answer.status, answer.body), (200, b"mine"))
                self.assertEqual(answer.headers["test-id"], f"r-{number}")
                await anyio.sleep(0.03 * (number % 3))

        self.play(scenario, servers=1)


class RepeatTest(ForwardingCase):
    """What is sent to a second server, and what never is."""

    def count(self, route, script, status, sends):
        """Check the status of a call and how often it reached a server."""

        async def scenario(vm, servers):
            for server in servers:
                server.script = script
            answer = await vm.async_call(route, "x-1")
            self.assertEqual(answer.status, status)
            reached = sum(len(server.requests) for server in servers)
            self.assertEqual(reached, sends)
            if status == 503:
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)

        self.play(scenario, servers=4)

    def test_refused_booking_goes_to_another_server_and_then_back(self):
        async def script(server, request, stream):
            await stream.send(write_not_run(request))

        self.count("book", script, 503, 2)

    def test_misdirected_booking_goes_to_another_server(self):
        async def script(server, request, stream):
            await stream.send(write_not_run(request, 421))

        self.count("book", script, 503, 2)

    def test_booking_without_an_answer_is_never_sent_again(self):
        async def script(server, request, stream):
            await stream.aclose()

        self.count("book", script, 502, 1)

    def test_read_without_an_answer_is_sent_again(self):
        async def script(server, request, stream):
            await stream.aclose()

        self.count("read", script, 502, 2)

    def test_failed_read_is_sent_again(self):
        async def script(server, request, stream):
            await stream.send(write_answer(request, 500, b"no"))

        self.count("read", script, 500, 2)

    def test_failed_booking_is_not_sent_again(self):
        async def script(server, request, stream):
            await stream.send(write_answer(request, 500, b"no"))

        self.count("book", script, 500, 1)

    def play_in_turn(self, first, second, status, body=None):
        """Check a read whose two sends end differently."""

        async def scenario(vm, servers):
            scripts = [first, second]

            async def script(server, request, stream):
                await scripts.pop(0)(server, request, stream)

            for server in servers:
                server.script = script
            answer = await vm.async_call("read", "x-1")
            self.assertEqual(answer.status, status)
            if body is not None:
                self.assertEqual(answer.body, body)
            self.assertEqual(scripts, [])

        self.play(scenario, servers=4)

    def test_refusal_after_a_lost_answer_is_not_called_not_run(self):
        async def lose(server, request, stream):
            await stream.aclose()

        async def refuse(server, request, stream):
            await stream.send(write_not_run(request))

        self.play_in_turn(lose, refuse, 502)

    def test_refusal_after_a_failure_leaves_the_answer_of_the_failure(self):
        async def fail(server, request, stream):
            await stream.send(write_answer(request, 500, b"no"))

        async def refuse(server, request, stream):
            await stream.send(write_not_run(request))

        self.play_in_turn(fail, refuse, 500, b"no")

    def test_one_attempt_is_one_send(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                await stream.send(write_not_run(request))

            for server in servers:
                server.script = script
            answer = await vm.async_call("read", "x-1")
            self.assertEqual(answer.status, 503)
            self.assertEqual(sum(len(one.requests) for one in servers), 1)

        routes = tuple(
            replace(route, attempts_max=1) for route in make_configuration().routes
        )
        self.play(scenario, configuration=make_configuration(1, routes))

    def test_unreachable_servers_mean_not_run(self):
        async def scenario(vm, servers):
            for server in servers:
                server.stop()
            await anyio.sleep(0.05)
            answer = await vm.async_call("book", "x-1", b"van")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
            self.assertLess(answer.duration_s, 1.0)

        self.play(scenario)

    def test_another_server_at_the_address_runs_nothing(self):
        async def scenario(vm, servers):
            servers[0].server_id = "stranger"
            answer = await vm.async_call("book", "x-1", b"van")
            self.assertEqual(answer.status, 503)
            self.assertEqual(servers[0].requests, [])

        self.play(scenario, servers=1)

    def test_target_and_deadline_are_passed_on(self):
        async def scenario(vm, servers):
            await vm.async_call("book", "x-1", b"van", deadline_ms=1500)
            (request,) = [one for server in servers for one in server.requests]
            (server,) = [one for one in servers if one.requests]
            self.assertEqual(request.headers[b"test-target"], server.server_id.encode())
            self.assertLessEqual(int(request.headers[b"test-deadline"]), 1500)
            self.assertGreater(int(request.headers[b"test-deadline"]), 1000)
            self.assertEqual((request.method, request.body), (b"POST", b"van"))

        self.play(scenario)

    def test_odd_deadline_of_a_caller_is_an_internal_error(self):
        async def scenario(vm, servers):
            for deadline_ms in (10**300, 10**1500, -1):
                answer = await vm.async_call("read", "x-1", deadline_ms=deadline_ms)
                self.assertEqual(answer.status, 200)

        self.play(scenario)


class TimeTest(ForwardingCase):
    """Deadlines, callers that leave, and long waits."""

    def test_final_answer_at_the_deadline(self):
        async def scenario(vm, servers):
            async def script(server, request, stream):
                await anyio.sleep_forever()

            for server in servers:
                server.script = script
            answer = await vm.async_call("book", "x-1", b"van", deadline_ms=300)
            self.assertEqual(answer.status, 504)
            self.assertLess(answer.duration_s, 0.6)

        self.play(scenario)

    def test_work_ends_when_the_caller_leaves(self):
        async def scenario(vm, servers):
            ended = anyio.Event()

            async def script(server, request, stream):
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    ended.set()
                    raise

            for server in servers:
                server.script = script
            async with vm.open_caller() as caller:
                await caller.async_send("read", "x-1")
                await anyio.sleep(0.1)
            with anyio.fail_after(0.5):
                await ended.wait()

        self.play(scenario)

    def test_server_that_tells_no_load_is_used_without_asking(self):
        def prepare(servers):
            for server in servers:
                server.load = None

        async def scenario(vm, servers):
            for number in range(8):
                answer = await vm.async_call("read", f"r-{number}")
                self.assertEqual(answer.status, 200)
            self.assertLessEqual(sum(server.checks for server in servers), 4)

        self.play(scenario, prepare=prepare)
