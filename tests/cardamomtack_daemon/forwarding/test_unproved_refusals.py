"""A server answers with a status that promises 'not run', without saying so."""

from __future__ import annotations

import unittest

from tests.cardamomtack_daemon.forwarding.case import ForwardingCase
from tests.cardamomtack_daemon.forwarding.servers import write_answer

PROMISES = (408, 429, 503)


class UnprovedRefusalTest(ForwardingCase):
    """What callers of a request hear that may have run."""

    def test_booking_that_may_have_run_is_not_called_not_run(self):
        for status in PROMISES:
            with self.subTest(status=status):

                async def script(server, request, stream, status=status):
                    server.ran.append(request.headers[b"test-id"].decode())
                    await stream.send(write_answer(request, status, b"no"))

                async def scenario(vm, servers, script=script):
                    for server in servers:
                        server.script = script
                    answer = await vm.async_call("book", "b-1", b"van")
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn("test-signature", answer.headers)
                    runs = [one for server in servers for one in server.ran]
                    self.assertEqual(runs, ["b-1"])

                self.play(scenario)


if __name__ == "__main__":
    unittest.main()
