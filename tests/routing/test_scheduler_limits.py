"""Limits and reserved slots of one pool's scheduler."""

import random

from lentilrill.inner import Refusal
from lentilrill.routing import _admission
from lentilrill.routing._pool_config import PlanLimits
from tests.routing.cases import GW, SchedulerCase
from tests.routing.site import an_ask, done, grants, refusals


class LimitsTest(SchedulerCase):
    def test_the_queue_of_a_plan_is_bounded(self) -> None:
        self.configure(schools=PlanLimits(queue=2))
        self.granted()
        self.assertEqual([[], []], [self.ask(), self.ask()])
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.PLAN_LIMIT, refused.refusal)
        self.assertGreater(refused.retry_after_s or 0.0, 0.0)

    def test_the_rate_of_a_plan_is_bounded(self) -> None:
        self.configure(slots=8, schools=PlanLimits(rate_per_s=2.0))
        self.assertEqual(2, len([self.granted(), self.granted()]))
        (refused,) = refusals(self.ask())
        self.assertEqual(Refusal.PLAN_LIMIT, refused.refusal)
        self.clock.now += 0.6
        self.granted()

    def test_the_concurrency_of_a_plan_is_bounded(self) -> None:
        # A plan at its concurrency limit must not block the jobs of other plans queued behind it.
        self.configure(slots=8, schools=PlanLimits(concurrency=1))
        first = self.granted()
        self.assertEqual([], self.ask(urgency=0))
        self.granted("library", urgency=2)
        self.assertEqual(1, len(grants(self.scheduler.on_done(done(first)))))

    def test_what_cannot_start_in_time_is_refused_at_once(self) -> None:
        # A job whose estimated wait exceeds its limit is refused at once; queued, it would be
        # refused only at its deadline.
        self.measure(1.0)
        self.granted()
        out = [self.ask(wait_s=5.0) for _ in range(10)]
        self.assertEqual([0, 0, 0, 0, 0, 1, 1, 1, 1, 1], [len(replies) for replies in out])
        (refused,) = refusals(out[-1])
        self.assertEqual(Refusal.TOO_LATE, refused.refusal)
        self.assertEqual([], self.ask(urgency=0, wait_s=5.0))

    def test_a_refusal_asks_for_a_retry_when_the_queue_is_shorter(self) -> None:
        # A surge causes hundreds of refusals. With a retry delay of tenths of a second, until
        # there is barely room, the callers would retry together and be refused again.
        self.measure(1.0)
        self.granted()
        waiting = [self.ask(wait_s=20.0) for _ in range(25)]
        after_s = [r.retry_after_s or 0.0 for out in waiting for r in refusals(out)]
        self.assertEqual(5, len(after_s))
        self.assertTrue(all(10.0 <= s <= 16.0 for s in after_s), after_s)
        self.assertEqual(5, len(set(after_s)))

    def test_one_hanging_job_does_not_cause_refusals(self) -> None:
        # One job hangs for ten minutes. Without the cap on outliers, the estimated wait would grow
        # so much that every ask is refused as too late, although the next jobs are short.
        self.measure(0.1)
        self.scheduler.on_done(done(self.granted(), run_s=600.0))
        self.granted()
        for _ in range(5):
            self.assertEqual([], self.ask(wait_s=2.0))

    def test_a_new_plan_is_estimated_by_the_average(self) -> None:
        self.measure(0.1, "other")
        self.granted()
        for _ in range(10):
            self.assertEqual([], self.ask("new", wait_s=2.0))

    def test_a_full_queue_evicts_the_lowest_class_first(self) -> None:
        # An urgent ask evicts the newest ask of the lowest class from a full queue. The evicted
        # ask must be refused at once, not at its deadline.
        self.patch(_admission, "MAX_QUEUE", 256)
        self.configure(ledgers=PlanLimits(queue=10_000))
        self.measure(0.001, "ledgers")
        self.granted("ledgers")
        newest = an_ask("ledgers", GW, urgency=2)
        while not refusals(self.ask("ledgers", urgency=2)):
            pass
        held = self.scheduler.waiting
        self.scheduler.cancel(next(reversed(list(self.scheduler._queue))).key.request, GW)
        self.scheduler.ask(newest, GW)
        (refused,) = refusals(self.ask("routes", urgency=0))
        self.assertEqual((newest.request, Refusal.QUEUE_FULL), (refused.request, refused.refusal))
        self.assertIsNotNone(refused.retry_after_s)
        self.assertEqual(held, self.scheduler.waiting)

    def test_a_late_ask_is_refused_at_its_deadline(self) -> None:
        self.granted()
        ask = an_ask(wait_s=5.0)
        self.scheduler.ask(ask, GW)
        self.clock.now += 5.0
        (refused,) = refusals(self.tick())
        self.assertEqual((ask.request, Refusal.TOO_LATE), (refused.request, refused.refusal))

    def test_no_grant_at_the_last_moment(self) -> None:
        # In an overload, the ask with the earliest deadline is always about to expire. Granted a
        # millisecond before its deadline, the job would start late and waste its slot time.
        running = self.granted()
        self.ask(wait_s=5.0)
        ask = an_ask(wait_s=9.0)
        self.scheduler.ask(ask, GW)
        self.clock.now += 4.999
        (granted,) = grants(self.scheduler.on_done(done(running)))
        self.assertEqual(ask.request, granted.request)

    def test_thousands_of_cancellations(self) -> None:
        # When a service restarts, all its callers disconnect. Their asks must leave the queue at
        # once, and the next slot must go to a caller that is still connected.
        self.configure(slots=128, schools=PlanLimits(queue=10_000))
        running = [self.granted() for _ in range(128)]
        asks = [an_ask("schools", GW, wait_s=600.0) for _ in range(5000)]
        for ask in asks:
            self.scheduler.ask(ask, GW)
        random.Random(1).shuffle(asks)
        for ask in asks[1:]:
            self.scheduler.cancel(ask.request, GW)
        self.assertEqual(1, self.scheduler.waiting)
        (granted,) = grants(self.scheduler.on_done(done(running[0])))
        self.assertEqual(asks[0].request, granted.request)


class ReserveTest(SchedulerCase):
    def setUp(self) -> None:
        super().setUp()
        self.configure(
            slots=8, hosts=2, volumes=PlanLimits(urgency=2), ballots=PlanLimits(urgency=0)
        )

    def volumes(self, count: int = 20) -> int:
        """Ask for slots for that many long jobs; return how many start."""
        return sum(len(grants(self.ask("volumes", urgency=2))) for _ in range(count))

    def test_long_volumes_leave_slots_for_a_ballot(self) -> None:
        # Jobs of an hour arrive while nothing else runs, and no run time of their plan has been
        # measured. In every slot they would delay urgent jobs for an hour, since running jobs are
        # never preempted.
        self.assertEqual(14, self.volumes())
        self.assertEqual(2, len([self.granted("ballots", urgency=0) for _ in range(2)]))

    def test_short_jobs_use_every_slot(self) -> None:
        self.scheduler.on_done(done(self.granted("volumes", urgency=2), run_s=0.2))
        self.assertEqual(16, self.volumes())

    def test_a_plan_whose_jobs_grow_long_is_noticed_while_they_run(self) -> None:
        # A plan's jobs were short and now run for an hour. If only completed jobs counted, the
        # scheduler would fill the reserved slots with long jobs for that hour.
        self.scheduler.on_done(done(self.granted("volumes", urgency=2), run_s=0.2))
        self.volumes(14)
        self.clock.now += 5.0
        self.tick()
        self.assertEqual(0, self.volumes())

    def test_one_slot_is_not_reserved(self) -> None:
        self.scheduler = self.a_scheduler()
        self.configure(volumes=PlanLimits(urgency=2), ballots=PlanLimits(urgency=0))
        self.assertEqual(1, self.volumes())
