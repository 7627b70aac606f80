"""Metrics and log lines about the latencies of an owner."""

import time
from typing import Any
from unittest.mock import patch

import msgspec
from testtools import TestCase

from lentilrill.execution import OrderAnswer, StartOrder, Verdict
from lentilrill.execution._latency import (
    BOUND_S_BY_KIND,
    REPORT_INTERVAL_S,
    LatencyKind,
    LatencyMonitor,
)
from lentilrill.ids import PoolId, Revision
from lentilrill.telemetry import Event
from tests.builders import a_job, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually


class RecordingMetrics:
    """Records timings and counts by name."""

    def __init__(self) -> None:
        self.timings: dict[str, list[float]] = {}
        self.counts: dict[str, int] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        self.counts[stat] = self.counts.get(stat, 0) + count

    def gauge(self, stat: str, value: float) -> None:
        pass

    def timing(self, stat: str, delta: float) -> None:
        self.timings.setdefault(stat, []).append(delta)


class LatencyTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = RecordingMetrics()
        self.latency = LatencyMonitor(PoolId("notices"), Revision(7), self.metrics)
        self.began = time.monotonic()
        self.lines: list[dict[str, Any]] = []
        patched = patch("lentilrill.execution._latency.log", self.record_line)
        patched.start()
        self.addCleanup(patched.stop)

    def record_line(self, event: Event, **fields: Any) -> None:
        self.assertIs(Event.OWNER_LATE, event)
        self.lines.append(fields)

    def report(self, after_s: float) -> None:
        self.latency.report(self.began + after_s, jobs=3, endpoints=39)

    def test_an_owner_within_its_bounds_is_not_logged(self) -> None:
        for kind, bound_s in BOUND_S_BY_KIND.items():
            self.latency.record(kind, bound_s)
        self.report(REPORT_INTERVAL_S + 1)
        self.assertEqual([], self.lines)

    def test_each_kind_is_logged_with_its_maximum(self) -> None:
        for kind in LatencyKind:
            self.lines.clear()
            self.latency.record(kind, 4.0)
            self.latency.record(kind, 9.0)
            self.latency.record(kind, 1.0)
            self.report((len(self.metrics.timings) + 1) * (REPORT_INTERVAL_S + 1))
            self.assertEqual([9.0], [line[f"{kind.value}_s"] for line in self.lines])
            self.assertEqual(39, self.lines[0]["endpoints"])

    def test_lines_are_few_and_count_from_the_last_one(self) -> None:
        for number in range(1, 9):
            self.latency.record(LatencyKind.ROUND, 5.0)
            self.latency.record_resent()
            self.report(number * 0.6 * REPORT_INTERVAL_S)
        self.assertEqual([2, 2, 2, 2], [line["resent"] for line in self.lines])
        self.report(60.0)
        self.assertEqual(4, len(self.lines))

    def test_metrics_name_kind_and_pool(self) -> None:
        self.latency.record(LatencyKind.START, 0.25)
        self.latency.record_resent()
        self.assertEqual({"owner.start.notices": [250.0]}, self.metrics.timings)
        self.assertEqual({"owner.resent.notices": 1}, self.metrics.counts)


class UnansweringEndpoint(FakeEndpoint):
    """Executes a start only when it is sent the third time."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = 0

    def start(self, order: StartOrder) -> OrderAnswer:
        self.sent += 1
        return OrderAnswer(Verdict.UNKNOWN) if self.sent < 3 else super().start(order)


class OwnerTest(TestCase):
    def test_rounds_starts_and_polls_are_measured(self) -> None:
        """End to end: a start is sent three times, and its wait counts once."""
        metrics = RecordingMetrics()
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        pool.endpoints["e1"] = UnansweringEndpoint()
        pool.register(an_endpoint("e1"))
        owner = pool.new_owner()
        self.patch(owner._latency, "_metrics", metrics)
        owner.start()
        job = a_job("a")
        value = msgspec.msgpack.encode(job)
        owner.add_job(value, pool.kv.put(f"in/notices/j/{job.id}", value))
        self.assertTrue(eventually(lambda: len(pool.starts()) == 2))
        self.assertTrue(eventually(lambda: "owner.look.notices" in metrics.timings))
        self.assertEqual(2, len(metrics.timings["owner.start.notices"]))
        self.assertEqual(2, metrics.counts["owner.resent.notices"])
        self.assertIn("owner.round.notices", metrics.timings)
        self.assertIn("owner.news.notices", metrics.timings)


class RenewalTest(TestCase):
    def test_the_first_renewal_counts_from_the_take_over(self) -> None:
        """An owner that renews leases late after its take-over must show in its latencies."""
        pool = OwnedPool("e1")
        self.addCleanup(pool.close)
        pool.register(an_endpoint("e1"))
        job = a_job()
        pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))
        first = pool.take_over()
        self.assertTrue(eventually(lambda: len(pool.starts()) == 2))
        first.close()
        metrics = RecordingMetrics()
        second = pool.new_owner()
        second._latency._metrics = metrics
        second.start()
        self.assertTrue(eventually(lambda: "owner.renewal.notices" in metrics.timings))
