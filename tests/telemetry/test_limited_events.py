"""Events that callers can cause at will."""

from unittest import mock

from testtools import TestCase

from lentilrill.telemetry import Event, _events, log


class LimitedEventsTest(TestCase):
    def test_a_flood_of_refused_requests_fills_no_log(self) -> None:
        """Guards against a log that grows with each request of callers who need no key."""
        clock = self.a_clock()
        with mock.patch.object(_events.logging, "log") as lines:
            for _ in range(1000):
                log(Event.QUEUE_UNKNOWN, path="/")
                log(Event.PROCESS_STARTED)
            clock.return_value += 1.0
            log(Event.QUEUE_UNKNOWN, path="/")
        limited = [
            call.kwargs["extra"]["fields"]
            for call in lines.call_args_list
            if call.args[3] == "queue_unknown"
        ]
        self.assertEqual(_events.MAX_LINES_PER_S + 1, len(limited))
        self.assertEqual(1000 - _events.MAX_LINES_PER_S, limited[-1]["dropped"])
        self.assertEqual(1011, len(lines.call_args_list))

    def a_clock(self) -> mock.MagicMock:
        patch = mock.patch.object(_events.time, "monotonic", return_value=1e9)
        self.addCleanup(patch.stop)
        return patch.start()
