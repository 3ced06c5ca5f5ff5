"""A server stops inside the head or the body of its answer, and closes."""

from __future__ import annotations

import unittest
from itertools import product

from cardamomtack.routing.policy import Repeatability
from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.memory import make_configuration, make_route
from tests.cardamomtack_daemon.forwarding.servers import write_answer

BODY = b"the whole history"
ROUTES = (
    make_route("read", Repeatability.IDEMPOTENT, attempts_max=1),
    make_route("book", Repeatability.ONCE_PER_SEND, attempts_max=1),
)


def write_chunked(request) -> bytes:
    """Return a whole answer whose body comes in chunks."""
    head, _, body = write_answer(request, 200, BODY).partition(b"\r\n\r\n")
    head = head.replace(
        b"content-length: %d" % len(BODY), b"transfer-encoding: chunked"
    )
    return head + b"\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def write_unframed(request) -> bytes:
    """Return a whole answer that ends with its connection."""
    return write_answer(request, 200, BODY, content_length="")


def write_framed(request) -> bytes:
    """Return a whole answer that names its length."""
    return write_answer(request, 200, BODY)


class CutAnswerTest(ForwardingCase):
    """What a caller gets of an answer that was not whole."""

    def check(self, write, route, is_kept, cuts_head_only=False):
        """Check each cut point of an answer with one call for each."""

        def prepare(servers):
            for server in servers:
                server.load = "0,0,4" if is_kept else None

        async def scenario(vm, servers):
            (server,) = servers
            cut = 0

            async def script(server, request, stream):
                whole = write(request)
                await stream.send(whole[:cut])
                await stream.aclose()

            server.script = script
            sample = write_answer_sample(write)
            end = sample.index(b"\r\n\r\n") + 4 if cuts_head_only else len(sample)
            for cut in range(end):
                request_id = f"{cut:03d}"
                answer = await vm.async_call(route, request_id, b"", 1000)
                with self.subTest(cut=cut, sent=sample[:cut][-20:]):
                    self.assertFalse(answer.status == 200 and answer.is_whole)
                vm.unregister("server-0")
                vm.register(server.make_entry(incarnation=cut + 2))
            self.assertEqual(len(server.requests), end)

        self.play(
            scenario,
            servers=1,
            prepare=prepare,
            configuration=make_configuration(1, ROUTES),
        )

    def test_cut_answer_never_looks_whole(self):
        for write, route, is_kept in product(
            (write_framed, write_chunked), ("book", "read"), (True, False)
        ):
            with self.subTest(write=write.__name__, route=route, is_kept=is_kept):
                self.check(write, route, is_kept)

    def test_cut_head_of_an_answer_without_a_length_never_looks_whole(self):
        for route, is_kept in product(("book", "read"), (True, False)):
            with self.subTest(route=route, is_kept=is_kept):
                self.check(write_unframed, route, is_kept, cuts_head_only=True)


def write_answer_sample(write) -> bytes:
    """Return the answer to a request whose id has the length of those of the test."""

    class Sample:
        headers = {b"test-id": b"000"}  # noqa: RUF012

    return write(Sample())


if __name__ == "__main__":
    unittest.main()
