import json
import unittest

from bilberryramp.telemetry import explain


def log_line(name, timestamp, request_id="q1", **fields):
    event = {
        "message_type": name,
        "timestamp": timestamp,
        "request_id": request_id,
        "instance": "n1",
    }
    return f"  3.1 n1 {json.dumps(event | fields)}\n"


class ExplainTest(unittest.TestCase):
    def test_events_of_several_logs_are_ordered_by_time(self):
        lines = [
            log_line("call.attempt", 11.5, end="broken", upstream="u1"),
            log_line("call.placed", 11.0, upstream="u1", heard_ms_ago=300),
            log_line("call.placed", 11.2, request_id="q2"),
            "not a log line",
        ]
        timeline = list(
            explain.format_timeline(explain.read_events(lines, "q1"))
        )
        self.assertEqual(len(timeline), 2)
        self.assertIn("call.placed", timeline[0])
        self.assertIn("heard_ms_ago=300", timeline[0])
        self.assertIn("500 ms", timeline[1])

    def test_missing_stages_are_reported(self):
        lines = [log_line("call.placed", 11.0)]
        timeline = list(
            explain.format_timeline(explain.read_events(lines, "q1"))
        )
        self.assertEqual(timeline[-1], "missing: outcome of the request")
        self.assertIn("no line", next(explain.format_timeline([])))
