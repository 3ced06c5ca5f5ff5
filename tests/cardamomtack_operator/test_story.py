"""The story of a request, from the lines that a daemon really writes."""

from __future__ import annotations

import os
import tempfile
import unittest

import anyio

from cardamomtack.generated.logs import RequestDecision
from cardamomtack.helpers.clock import ManualClock
from cardamomtack_daemon.logs import (
    DECISIONS_PER_S_MAX,
    FIRST_SEND_SUCCESSES_PER_S_MAX,
    DecisionLog,
    LogLineWriter,
)
from cardamomtack_operator.story import find_decisions, tell_story
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import make_configuration
from tests.cardamomtack_daemon.forwarding.servers import ScriptedServer, write_not_run


async def async_refuse(server, request, stream):
    """Refuse a request."""
    await stream.send(write_not_run(request))


async def async_lose(server, request, stream):
    """Lose the answer to a request."""
    await stream.aclose()


class StoryTest(unittest.TestCase):
    """Three kinds of failed request, walked from their id to their cause."""

    def tell(self, script, load="0,0,4", deadline_ms=2000):
        """Return the story of a booking that a scripted server fails."""

        async def run(descriptor):
            writer = LogLineWriter(descriptor, "vm-1")
            vm = EntryVm(writer=writer)
            server = ScriptedServer("server-0")
            server.script = script
            server.load = load
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.async_serve)
                vm.register(server.make_entry())
                vm.publish(make_configuration(7))
                tasks.start_soon(vm.daemon.async_serve, vm.stopping)
                await vm.async_wait_ready()
                await vm.async_call("book", "b-1", b"van", deadline_ms)
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()

        with tempfile.TemporaryFile("w+b") as file:
            anyio.run(run, file.fileno())
            file.seek(0)
            lines = file.read().decode().splitlines()
        return " ".join(tell_story(find_decisions(lines, "b-1"), "b-1"))

    def test_refused_by_the_server(self):
        story = self.tell(async_refuse)
        self.assertIn("Send 1 went to server-0", story)
        self.assertIn("proved that it did not run", story)
        self.assertIn("It has not run", story)
        self.assertIn("version 7", story)

    def test_refused_for_want_of_room(self):
        story = self.tell(async_refuse, load="4,40,4")
        self.assertNotIn("Send 1", story)
        self.assertIn("no server can answer in time", story)
        self.assertIn("expected to take", story)

    def test_unknown_after_it_was_sent(self):
        story = self.tell(async_lose)
        self.assertIn("may have run", story)
        self.assertIn("The caller got 502", story)

    def test_timed_out(self):
        async def hang(server, request, stream):
            await anyio.sleep_forever()

        story = self.tell(hang, deadline_ms=300)
        self.assertIn("no answer before the deadline", story)
        self.assertIn("The caller got 504", story)

    def test_request_without_a_line(self):
        lines = ["{broken", "no brace", '{"b-1": 1}']
        (sentence,) = tell_story(find_decisions(lines, "b-1"), "b-1")
        self.assertIn("No line on request b-1", sentence)


class VolumeTest(unittest.TestCase):
    """Logs are bounded and never make a request wait."""

    def test_lines_a_second_are_bounded_and_counted(self):
        clock = ManualClock()
        with tempfile.TemporaryFile("w+b") as file:
            log = DecisionLog(LogLineWriter(file.fileno(), "vm-1"), clock)
            for number in range(1000):
                decision = RequestDecision(str(number), "r", "s", 200, "answered")
                log.record_decision(decision, number < 500)
            clock.advance(1.0)
            log.record_decision(RequestDecision("x", "r", "s", 200, "answered"), True)
            file.seek(0)
            lines = file.read().decode().splitlines()
        self.assertEqual(len(lines), DECISIONS_PER_S_MAX + 2)
        self.assertLess(FIRST_SEND_SUCCESSES_PER_S_MAX, DECISIONS_PER_S_MAX)
        omitted = 1000 - DECISIONS_PER_S_MAX
        self.assertIn(f'"lines":"{omitted}"', lines[-2])

    def test_reader_that_stops_does_not_stop_the_writer(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        writer = LogLineWriter(writing, "vm-1")
        for _ in range(10_000):
            writer.write_event("INFO", "something", {"text": "x" * 100})
        self.assertGreater(writer.dropped, 0)
        # What was written is whole lines.
        self.assertTrue(os.read(reading, 10_000_000).endswith(b"}\n"))


if __name__ == "__main__":
    unittest.main()
