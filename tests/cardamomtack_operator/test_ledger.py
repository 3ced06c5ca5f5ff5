"""What became of requests, and why, as the logs of all VMs tell."""

from __future__ import annotations

import io
import json
import unittest
from contextlib import redirect_stdout

from msgspec import to_builtins

from cardamomtack.generated.logs import LogLine, RequestDecision, SendRecord
from cardamomtack_operator.ledger import (
    Cause,
    build_ledger,
    find_cause,
    format_ledger,
    parse_told_load,
)
from cardamomtack_operator.story import read_lines

QUICK = "1 running, 0 waiting, 6 slots, 1 times as slow as usual"
SLOW = "1 running, 0 waiting, 6 slots, 4 times as slow as usual"
FULL = "4 running, 1 waiting, 6 slots, 1 times as slow as usual"
NO_SERVER = "no server can answer in time"
NOT_RUN = "server proved that it did not run the request"
UNKNOWN = "no whole answer of the server; it may have run the request"


def make_decision(
    status=200,
    reason="answered",
    sends=(),
    duration_ms=100,
    objective_left_ms=300,
    waited_ms=0,
    service="desk",
):
    """Return how a request ended."""
    return RequestDecision(
        "r",
        "lookup",
        service,
        status,
        reason,
        duration_ms=duration_ms,
        objective_left_ms=objective_left_ms,
        waited_ms=waited_ms,
        asked=2,
        sends=[SendRecord("s", "answered", ms, load) for ms, load in sends],
    )


def make_line(at_s, decision):
    """Return a log line of a time in one minute."""
    time = f"2026-01-01T00:00:{at_s:06.3f}+00:00"
    return LogLine(time, "INFO", "request decided", "vm-1", {}, decision)


class CauseTest(unittest.TestCase):
    """The cause under which a request counts."""

    def test_causes(self):
        late = {"duration_ms": 400}
        cases = (
            (make_decision(sends=[(90, QUICK)]), Cause.IN_TIME),
            (make_decision(sends=[(400, SLOW)], **late), Cause.LATE_SLOW),
            (make_decision(sends=[(400, FULL)], **late), Cause.LATE_BUSY),
            (make_decision(sends=[(400, QUICK)], **late), Cause.LATE_SERVER),
            (
                make_decision(sends=[(250, QUICK)], waited_ms=150, **late),
                Cause.LATE_WAITED,
            ),
            (
                make_decision(sends=[(90, QUICK)], objective_left_ms=-5),
                Cause.LATE_RETURNED,
            ),
            (
                make_decision(sends=[(200, QUICK), (200, QUICK)], **late),
                Cause.LATE_RESENT,
            ),
            (make_decision(503, NO_SERVER), Cause.REFUSED_UNPLACED),
            (
                make_decision(503, NO_SERVER, objective_left_ms=-5),
                Cause.REFUSED_RETURNED,
            ),
            (
                make_decision(503, "retry budget is spent", [(2, QUICK)]),
                Cause.REFUSED_BUDGET,
            ),
            (make_decision(503, NOT_RUN, [(2, QUICK)]), Cause.REFUSED_BY_SERVERS),
            (make_decision(503, "no configuration yet"), Cause.REFUSED_OTHER),
            (make_decision(500, "server answered with a failure"), Cause.FAILED),
            (make_decision(401, "request has no key"), Cause.REFUSED_KEY),
            (make_decision(401, "answered", [(2, QUICK)]), Cause.FAILED),
            (make_decision(0, "caller has gone"), Cause.GONE),
        )
        for decision, cause in cases:
            with self.subTest(cause):
                self.assertIs(find_cause(decision), cause)

    def test_an_answer_that_was_lost(self):
        decision = make_decision(502, UNKNOWN, [(90, QUICK)])
        decision.sends[0].outcome = UNKNOWN
        self.assertIs(find_cause(decision), Cause.LOST)

    def test_load_of_a_log_line(self):
        self.assertEqual(parse_told_load(SLOW).slowness, 4.0)
        self.assertEqual(parse_told_load(FULL).busy, 5.0)
        self.assertIsNone(parse_told_load(""))


class LedgerTest(unittest.TestCase):
    """Counts by window, and the slots that servers had to spare."""

    def test_counts_by_window_from_lines_in_any_order(self):
        lines = [
            make_line(5.0, make_decision(503, NO_SERVER)),
            make_line(0.1, make_decision(sends=[(90, QUICK)])),
            make_line(1.9, make_decision(sends=[(90, QUICK)])),
        ]
        ledger = build_ledger(lines, 2.0)
        self.assertEqual(ledger.windows[0.0][Cause.IN_TIME], 2)
        self.assertEqual(ledger.windows[4.0][Cause.REFUSED_UNPLACED], 1)
        self.assertEqual(ledger.probes, {0.0: 4, 4.0: 2})

    def test_slots_to_spare_are_those_of_quick_servers_of_the_service(self):
        for load, service, spare in (
            (QUICK, "desk", 3.0),
            (SLOW, "desk", 0.0),
            (QUICK, "parts", 0.0),
        ):
            lines = [
                make_line(1.0, make_decision(503, NO_SERVER)),
                make_line(1.05, make_decision(sends=[(100, load)], service=service)),
            ]
            ledger = build_ledger(lines, 2.0)
            with self.subTest(load=load, service=service):
                self.assertEqual(ledger.compute_spare_slots(0.0), spare)

    def test_table_from_real_lines(self):
        decision = make_decision(sends=[(90, QUICK)])
        text = json.dumps(to_builtins(make_line(0.1, decision)))
        lines = list(read_lines([f"0.1 vm-1 {text}", "no line", '{"time": 1}']))
        rows = format_ledger(build_ledger(lines, 2.0))
        self.assertEqual(rows[1].split(), ["in", "time", "1", "1"])
        self.assertEqual(format_ledger(build_ledger([], 2.0))[0].split()[-1], "all")


class CommandTest(unittest.TestCase):
    """The command on a file that is missing, and on one without requests."""

    def test_exit_codes(self):
        from cardamomtack_operator.commands import OperatorCommands

        commands = OperatorCommands()
        for logs, window_s, code in (
            (("/nonexistent.log",), 2.0, 2),
            (("/dev/null",), 2.0, 1),
            (("/dev/null",), 0.0, 2),
        ):
            with (
                self.subTest(logs=logs, window_s=window_s),
                redirect_stdout(io.StringIO()),
                self.assertRaises(SystemExit) as ended,
            ):
                commands.ledger(*logs, window_s=window_s)
            self.assertEqual(ended.exception.code, code)
