"""Endpoints that work slower than the others of their pool."""

from testtools import TestCase

from lentilrill.ids import EndpointId, JobId, QueueId
from lentilrill.scheduling import EndpointKind, EndpointSpeeds, Speed, SpeedChange, hosts_for
from lentilrill.scheduling._speeds import MAX_EJECTED_SHARE, MAX_PAUSE_S
from lentilrill.workloads import Resources, TaskId

KIND = EndpointKind((), Resources(4000, 8000))
QUEUE = QueueId("q")


class SpeedCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.speeds = EndpointSpeeds()
        self.kinds = {EndpointId(f"e{number}"): KIND for number in range(10)}
        self.now = 0.0
        self.first = EndpointId("e0")
        self.jobs = 0

    def work(self, seconds: float, **factors: float) -> list[SpeedChange]:
        """Let two tasks of different jobs end on each endpoint every second, and judge."""
        changes = []
        for _ in range(round(seconds * 2)):
            self.now += 0.5
            for id in self.kinds:
                if self.speeds.speed(id) is not Speed.EJECTED:
                    self.end(id, factors.get(id, 1.0))
            changes += self.review()
        return changes

    def end(
        self, id: EndpointId, slowdown: float, *, job: str = "", queue: QueueId = QUEUE
    ) -> None:
        self.jobs += 1
        task = TaskId(JobId(job or f"j{self.jobs}"), 0, 0, self.jobs)
        usual = 0.9 + self.jobs % 3 / 10
        self.speeds.observe(id, task, queue, usual * slowdown, self.now)

    def review(self) -> list[SpeedChange]:
        return self.speeds.review(self.kinds, self.kinds, self.now)

    def not_normal(self) -> list[EndpointId]:
        return [id for id in self.kinds if self.speeds.speed(id) is not Speed.NORMAL]


class VerdictTest(SpeedCase):
    def test_an_endpoint_slows_and_recovers(self) -> None:
        """Guards against an endpoint that keeps getting tasks while it is four times slower."""
        self.assertEqual([], self.work(3))
        changes = self.work(4, e0=4.0)
        self.assertEqual({self.first}, {change.endpoint for change in changes})
        ejection = next(change for change in changes if change.after is Speed.EJECTED)
        self.assertGreater(ejection.slowdown, 3)
        self.assertGreaterEqual(ejection.jobs, 2)
        self.work(MAX_PAUSE_S + 1)
        self.assertEqual(Speed.NORMAL, self.speeds.speed(self.first))

    def test_each_ejection_lasts_longer_up_to_a_bound(self) -> None:
        changes = self.work(60, e0=6.0)
        pauses = [change.pause_s for change in changes if change.after is Speed.EJECTED]
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], pauses[1])
        self.assertEqual(MAX_PAUSE_S, pauses[-1])

    def test_a_little_slower_is_only_used_last(self) -> None:
        self.work(4, e0=2.6)
        self.assertEqual(Speed.SLOW, self.speeds.speed(self.first))
        self.assertAlmostEqual(1 / 2.6, self.speeds.capacity_share(self.first), delta=0.1)

    def test_all_endpoints_slow_at_once_are_no_outliers(self) -> None:
        """Guards against a pool that takes its endpoints out of use as the work gets harder."""
        self.work(3)
        self.work(6, **dict.fromkeys(self.kinds, 4.0))
        self.assertEqual([], self.not_normal())

    def test_a_queue_whose_tasks_take_longer_marks_no_endpoint(self) -> None:
        """Guards against endpoints that pass for slow because of the queue that they run."""
        for id in list(self.kinds)[:4]:
            for _ in range(4):
                self.end(id, 5.0, queue=QueueId("longer"))
        self.work(0.5)
        self.assertEqual([], self.not_normal())

    def test_one_long_task_is_no_slow_endpoint(self) -> None:
        """Guards against an ejection for each of the tasks that take seven times as long."""
        for _ in range(8):
            self.end(self.first, 7.0)
            self.work(1)
            self.assertEqual([], self.not_normal())

    def test_one_job_of_long_tasks_is_no_slow_endpoint(self) -> None:
        for _ in range(8):
            self.end(self.first, 7.0, job="wide")
        for id in list(self.kinds)[1:]:
            for _ in range(4):
                self.end(id, 1.0)
        self.review()
        self.assertEqual([], self.not_normal())

    def test_old_evidence_counts_no_more(self) -> None:
        """Guards against an endpoint that stays out of use while nothing is known of it."""
        self.work(4, e0=2.6)
        self.now += 10
        self.review()
        self.assertEqual([], self.not_normal())

    def test_a_restart_forgets(self) -> None:
        self.work(4, e0=4.0)
        self.speeds.forget(self.first)
        self.assertEqual(Speed.NORMAL, self.speeds.speed(self.first))
        self.assertEqual((1.0, 0, 0), self.speeds.evidence(self.first))


class EjectionBoundsTest(SpeedCase):
    def test_the_last_endpoint_that_fits_stays_in_use(self) -> None:
        """Guards against labelled tasks that wait because the only endpoint for them is slow."""
        self.kinds[self.first] = EndpointKind(("tape",), KIND.capacity)
        changes = self.work(4, e0=6.0)
        self.assertEqual([Speed.SLOW], [change.after for change in changes])

    def test_an_ejected_endpoint_returns_when_the_others_that_fit_are_lost(self) -> None:
        self.work(4, e0=6.0)
        while self.speeds.speed(self.first) is not Speed.EJECTED:
            self.work(0.5, e0=6.0)
        self.speeds.review(self.kinds, [self.first], self.now)
        self.assertEqual(Speed.SLOW, self.speeds.speed(self.first))

    def test_a_bounded_share_of_the_pool_is_ejected(self) -> None:
        for _ in range(20):
            self.work(0.5, e0=6.0, e1=6.0, e2=6.0, e3=6.0)
            ejected = [id for id in self.kinds if self.speeds.speed(id) is Speed.EJECTED]
            self.assertLessEqual(len(ejected), MAX_EJECTED_SHARE * len(self.kinds))


class HostsTest(TestCase):
    def test_slow_hosts_are_made_up_for_once_the_fast_ones_do_not_suffice(self) -> None:
        shares = [1.0] * 8 + [0.25, 0.0]
        self.assertEqual(8.0, hosts_for(8.0, shares))
        self.assertAlmostEqual(8.4, hosts_for(8.1, shares))
        self.assertAlmostEqual(13.75, hosts_for(12.0, shares))

    def test_a_pool_of_normal_hosts_needs_what_it_needed(self) -> None:
        for needed in (0.0, 0.3, 2.0, 7.25, 12.5):
            self.assertEqual(needed, hosts_for(needed, [1.0] * 8))
