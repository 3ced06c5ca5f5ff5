"""Traces, logs, metrics and counts of a daemon."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any, ClassVar

import httpx

from tests.fleet.case import FleetCase

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"


class RecordsTest(FleetCase):
    """What is left of requests after the fact."""

    trace_file: ClassVar[Path] = (
        Path(tempfile.gettempdir()) / f"cardamomtack-spans-{os.getpid()}.json"
    )
    settings: ClassVar[dict[str, Any]] = {"trace_file": str(trace_file)}

    @classmethod
    def setUpClass(cls):
        cls.trace_file.unlink(missing_ok=True)
        super().setUpClass()

    @classmethod
    def tearDownClass(cls):
        super().tearDownClass()
        cls.trace_file.unlink(missing_ok=True)

    def test_records_of_a_request(self):
        request = self.make_lookup()
        request.headers["traceparent"] = f"00-{TRACE_ID}-00f067aa0ba902b7-01"
        self.assertTrue(self.call(request).is_good)
        self.check_metrics()
        vm_id = self.fleet.entry_ids[0]
        self.fleet.stop_daemon(vm_id)
        self.check_spans(vm_id)
        self.check_logs(vm_id)
        self.check_counts()

    def check_metrics(self) -> None:
        """Check that the request stands in the metrics."""
        port = self.fleet.vms[self.fleet.entry_ids[0]].admin_port
        text = httpx.get(f"http://127.0.0.1:{port}/metrics").text
        self.assertIn("cardamomtack_request_duration_seconds_bucket", text)
        self.assertIn('kind="history"', text)

    def check_spans(self, vm_id: str) -> None:
        """Check that the span stands under the trace of the caller."""
        spans = [json.loads(line) for line in self.trace_file.read_text().splitlines()]
        (span,) = [one for one in spans if TRACE_ID in one["context"]["trace_id"]]
        self.assertEqual(span["name"], "history")
        self.assertEqual(span["resource"]["attributes"]["host.id"], vm_id)
        self.assertTrue(span["attributes"]["server.id"].startswith("dispatch-"))

    def check_logs(self, vm_id: str) -> None:
        """Check that every line of the log is JSON with its VM."""
        text = (self.fleet.directory / f"{vm_id}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        self.assertIn("graceful shutdown done", [line["message"] for line in lines])
        self.assertEqual({line["vm_id"] for line in lines}, {vm_id})

    def check_counts(self) -> None:
        """Check that the request is counted once for the fleet."""
        code, output = self.fleet.run_operator("counts", "--json")
        self.assertEqual(code, 0)
        history = [one for one in json.loads(output) if one["kind"] == "history"]
        self.assertEqual([one["requests"] for one in history], [1])


if __name__ == "__main__":
    unittest.main()
