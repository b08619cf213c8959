"""Tests of `borageworks explain`."""

import orjson
from click.testing import CliRunner
from testtools import TestCase

from borageworks.__main__ import cli
from borageworks.events import Event


def log_line(event, timestamp, instance="edge-1", **fields):
    """Return a log line."""
    return orjson.dumps(
        {
            "instance": instance,
            "event": event.number,
            "message_type": f"borageworks:{event.message_type}",
            "timestamp": timestamp,
            **fields,
        }
    )


LOG_LINES = [
    log_line(Event.STORE_DOWN, 9.0, error="silent"),
    log_line(Event.STORE_DOWN, 1.0, error="long before"),
    log_line(
        Event.REQUEST_PLACED, 10.1, request_id="r1", endpoint="i-1", waited_s=0.01
    ),
    log_line(Event.REQUEST_PLACED, 10.1, request_id="r2", endpoint="i-1"),
    log_line(Event.ATTEMPT_FAILED, 10.3, request_id="r1", endpoint="i-1", code="lost"),
    log_line(Event.ENDPOINT_LISTED, 10.2, "edge-2", endpoint="i-1", leaving=True),
    log_line(Event.REQUEST_ENDED, 10.4, request_id="r1", outcome="lost", taken_s=0.4),
]


class ExplainTest(TestCase):
    def run_explain(self, request, data):
        return CliRunner().invoke(cli, ["explain", request], input=data)

    def test_timeline_has_the_requests_events_and_context_in_order(self):
        """Guards against a timeline that misses the cause or mixes requests."""
        result = self.run_explain("r1", b"\n".join(reversed(LOG_LINES)))
        event_names = [
            row.split()[4] for row in result.stdout.splitlines() if row[0] == "*"
        ]
        self.assertEqual(
            ["request_placed", "attempt_failed", "request_ended"], event_names
        )
        self.assertIn("silent", result.stdout)
        self.assertIn("leaving=True", result.stdout)
        self.assertNotIn("long before", result.stdout)
        self.assertEqual(3, result.stdout.count("*"))

    def test_timeline_of_a_resumed_stream_has_the_attempt_that_began_it(self):
        """Guards against a stream whose version cannot be explained."""
        lines = [
            log_line(Event.REQUEST_PLACED, 1.0, request_id="r1", software_version="v7"),
            log_line(Event.STREAM_RESOLVED, 20.0, "edge-2", stream="ab", source="own"),
            log_line(Event.STREAM_RESOLVED, 20.0, "edge-2", stream="cd", source="x"),
            log_line(Event.REQUEST_PLACED, 20.1, request_id="r2", stream="ab"),
            log_line(Event.REQUEST_ENDED, 20.4, request_id="r2", resumed_attempt="r1"),
        ]
        result = self.run_explain("r2", b"\n".join(lines))
        self.assertIn("software_version=v7", result.stdout)
        self.assertIn("source=own", result.stdout)
        self.assertNotIn("source=x", result.stdout)

    def test_truncated_and_foreign_lines_are_counted(self):
        """Guards against a traceback for a truncated log."""
        data = (
            b"noise\n\xff\xfe\n"
            + LOG_LINES[2][:20]
            + b"\n"
            + b"\n".join(LOG_LINES)
            + b"\n[1]\n"
        )
        result = self.run_explain("r1", data)
        self.assertEqual(0, result.exit_code)
        self.assertIn("skipped 4 lines that are not log events", result.stderr)

    def test_unknown_request_fails(self):
        """Guards against success without output for a mistyped ID."""
        result = self.run_explain("r9", b"\n".join(LOG_LINES))
        self.assertEqual(1, result.exit_code)
        self.assertIn("no log event found for request 'r9'", result.stderr)

    def test_prefix_added_by_a_collector_is_ignored(self):
        """Guards against lines skipped because a log collector added a prefix."""
        result = self.run_explain("r1", b"10.1 edge-1| " + LOG_LINES[2] + b"\n")
        self.assertIn("request_placed", result.stdout)
