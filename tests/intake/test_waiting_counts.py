"""Counts of waiting jobs, over all pools in which a queue has jobs."""

import time
from typing import Any

from msgspec.structs import replace
from testtools import TestCase

from lentilrill.ids import PoolId, QueueId
from lentilrill.inner import MAX_STATUS_AGE_S, PoolPressure
from lentilrill.intake import WaitingCounts, _waiting_counts
from lentilrill.intake._waiting_counts import SETTLED_S
from tests.builders import a_pressure
from tests.intake.fakes import NEW_POOL, NEW_QUEUE, POOL, QUEUE

OTHER = QueueId("others")
LEFT_OUT = PoolId("left-out")


class WaitingCountsTest(TestCase):
    """The queue has been sent from ``POOL`` to ``NEW_POOL``, long ago unless a test says so."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        self.patch(time, "monotonic", lambda: self.now)
        self.configured_at = 0.0
        self.pools = {POOL, NEW_POOL}
        self.reports: dict[PoolId, tuple[float, PoolPressure]] = {}
        self.counts = WaitingCounts(
            lambda: self.pools, lambda: self.reports, lambda: self.configured_at
        )

    def report(self, pool: PoolId, waiting: int | None, age_s: float = 0.1, **others: int) -> None:
        """Have an owner report its waiting jobs; ``None`` if it may not know all of them."""
        by_queue: dict[QueueId, int] | None = None
        if waiting is not None:
            by_queue = {QueueId(name): count for name, count in others.items()}
            by_queue |= {QUEUE.id: waiting} if waiting else {}
        values: dict[str, Any] = {"pool": pool, "waiting_by_queue": by_queue}
        self.reports[pool] = (self.now - age_s, a_pressure(**values))

    def count(self) -> int | None:
        return self.counts.count(NEW_QUEUE)

    def test_one_pool(self) -> None:
        self.pools = {POOL}
        self.assertIsNone(self.counts.count(QUEUE))
        self.report(POOL, 3)
        self.assertEqual(3, self.counts.count(QUEUE))
        self.report(POOL, None)
        self.assertIsNone(self.counts.count(QUEUE))
        self.report(POOL, 3, age_s=2 * MAX_STATUS_AGE_S)
        self.assertIsNone(self.counts.count(QUEUE))

    def test_jobs_that_wait_in_the_former_pool(self) -> None:
        """Guards against a queue that is shown as empty while jobs wait in its former pool."""
        self.report(POOL, 5)
        self.report(NEW_POOL, 2, others=7)
        self.assertEqual(7, self.count())

    def test_a_pool_that_the_configuration_leaves_out(self) -> None:
        """Guards against jobs that aren't counted in a pool that is not configured any more."""
        self.pools = {NEW_POOL}
        self.report(NEW_POOL, 0)
        self.report(LEFT_OUT, 4)
        self.assertEqual(4, self.count())

    def test_a_pool_that_is_left_out_and_has_no_owner_now(self) -> None:
        """Guards against a number that is too low at a host that never had the pool configured."""
        self.pools = {NEW_POOL}
        self.report(NEW_POOL, 2)
        self.report(LEFT_OUT, 4, age_s=2 * MAX_STATUS_AGE_S)
        self.assertIsNone(self.count())
        self.report(LEFT_OUT, 0, age_s=2 * MAX_STATUS_AGE_S, others=7)
        self.assertEqual(2, self.count())

    def test_a_former_pool_without_a_report(self) -> None:
        """Guards against a number that is too low while the former pool has no owner."""
        self.report(NEW_POOL, 2)
        self.assertIsNone(self.count())
        self.report(POOL, None)
        self.assertIsNone(self.count())
        self.report(POOL, 5, age_s=2 * MAX_STATUS_AGE_S)
        self.assertIsNone(self.count())

    def test_an_old_report_soon_after_the_change(self) -> None:
        """Guards against a number that is too low: jobs were accepted there after the report."""
        self.report(NEW_POOL, 2)
        self.report(POOL, 0, age_s=2 * MAX_STATUS_AGE_S)
        self.configured_at = self.now - SETTLED_S
        self.assertIsNone(self.count())

    def test_a_take_over_of_a_pool_without_jobs_of_the_queue(self) -> None:
        """Guards against all queues being unknown whenever any pool has no owner."""
        self.report(NEW_POOL, 2)
        self.report(POOL, 0, age_s=2 * MAX_STATUS_AGE_S, others=7)
        self.assertEqual(2, self.count())

    def test_the_present_pool_needs_a_recent_report(self) -> None:
        """Guards against a number that is too low: jobs are accepted there all the time."""
        self.report(POOL, 3)
        self.report(NEW_POOL, 0, age_s=2 * MAX_STATUS_AGE_S)
        self.assertIsNone(self.count())

    def test_a_log_line_names_the_pool_that_does_not_tell(self) -> None:
        """Guards against unknown numbers that no log line explains."""
        told: list[dict[str, Any]] = []
        self.patch(_waiting_counts, "log", lambda event, **fields: told.append(fields))
        self.report(NEW_POOL, 2)
        self.assertIsNone(self.count())
        self.report(POOL, 5, age_s=7.0)
        self.assertIsNone(self.count())
        ages = [(fields["pool"], fields.get("report_age_s")) for fields in told]
        self.assertEqual([(POOL, None), (POOL, 7.0)], ages)

    def test_other_queues_do_not_count(self) -> None:
        """Guards against jobs of one queue that are shown for another."""
        self.report(POOL, 0, others=4)
        self.report(NEW_POOL, 1)
        self.assertEqual(1, self.count())
        self.assertEqual(4, self.counts.count(replace(NEW_QUEUE, id=OTHER)))
