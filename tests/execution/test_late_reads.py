"""What an owner makes of answers that endpoints gave in time and that it reads late."""

from unittest.mock import patch

from lentilrill.execution import EndKind, Look, RunEnd, RunSeen, Verdict
from lentilrill.execution._book import Run, RunPhase
from lentilrill.execution._link import Order, OrderKind
from tests.builders import a_step
from tests.execution.test_reconcile import BookCase, a_planner

BEGAN_S = 50.0
"""The owner's clock when a run's start is answered."""
BEGAN_MS = 1000
"""The endpoint's clock at that moment."""
LATE_S = 4.0


class LateReadsTest(BookCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = BEGAN_S
        clock = patch("time.monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.run_ = self.started()

    def started(self) -> Run:
        """Return a run whose start was just carried out."""
        run = self.run_of(self.add(a_step(1)), confirmed=False)
        self.link.note_clock(BEGAN_MS, self.now)
        self.reconciler.take_answer(self.link, Order.of(OrderKind.START, run), Verdict.DONE)
        self.assertIs(RunPhase.UNDER_WAY, run.phase)
        return run

    def read(self, look: Look, late_s: float) -> None:
        """Take over a look that the endpoint answered at its clock's time, read so much later."""
        sent = self.now
        self.now = BEGAN_S + (look.clock_ms - BEGAN_MS) / 1000 + late_s
        self.link.heard = self.now
        self.reconciler.take_look(self.link, look, sent)

    def see(self, after_ms: int, late_s: float) -> int:
        """Read a look at the run, at which it still stands at its beginning; return the stops."""
        running = RunSeen(self.run_.task.id, self.run_.number, "", 0, 0.0)
        self.read(Look(Verdict.DONE, BEGAN_MS + after_ms, 0, (running,)), late_s)
        return len(a_planner().stuck(self.link))

    def test_a_run_is_not_stuck_since_a_look_at_it_is_read_late(self) -> None:
        """A slow owner stopped tasks that ran well, and counted a failure of their endpoint."""
        self.assertEqual(0, self.see(after_ms=10, late_s=LATE_S))

    def test_a_run_that_stands_still_is_stuck(self) -> None:
        """Tasks that hung on an endpoint kept their room for as long as it liked."""
        self.assertEqual(0, self.see(after_ms=10, late_s=0.0))
        self.assertEqual(1, self.see(after_ms=4000, late_s=0.0))

    def test_the_owners_lateness_is_not_its_tasks_duration(self) -> None:
        """A slow owner's pool asked for more hosts, as its tasks seemed to take seconds longer."""
        end = RunEnd(1, self.run_.task.id, self.run_.number, EndKind.DONE, "")
        self.read(Look(Verdict.DONE, BEGAN_MS + 200, 0, (), (end,)), LATE_S)
        self.assertTrue(self.run_.task.step.ran)
        self.assertAlmostEqual(200.0, self.run_.task.step.ran_ms, delta=1.0)

    def test_a_start_whose_answer_is_read_late_began_when_it_was_given(self) -> None:
        """A slow owner took tasks for shorter than they are, and placed more than fits in time."""
        run = self.run_of(self.add(a_step(1), name="b"), confirmed=False)
        order = Order.of(OrderKind.START, run)
        self.now += LATE_S
        self.reconciler.take_answer(self.link, order, Verdict.DONE, BEGAN_MS)
        self.assertAlmostEqual(BEGAN_S, run.began_at or 0.0, delta=0.001)

    def test_a_start_whose_answer_is_read_after_a_look_is_not_stuck(self) -> None:
        """A slow owner read a start's answer last, and stopped a task that it had seen at work."""
        run = self.run_of(self.add(a_step(1), name="b"), confirmed=False)
        running = RunSeen(run.task.id, run.number, "", 50, 0.0)
        self.read(Look(Verdict.DONE, BEGAN_MS + 3000, 0, (running,)), late_s=0.0)
        order = Order.of(OrderKind.START, run)
        self.reconciler.take_answer(self.link, order, Verdict.DONE, BEGAN_MS)
        a_planner().stuck(self.link)
        self.assertIs(RunPhase.UNDER_WAY, run.phase)

    def test_a_slow_clock_is_followed(self) -> None:
        """An endpoint's tasks seemed to have begun seconds ago as its clock fell behind."""
        for second in range(1000):
            self.now = BEGAN_S + second
            self.link.note_clock(BEGAN_MS + int(980 * second), self.now)
        self.assertAlmostEqual(self.now, self.link.told_at, delta=0.2)

    def test_a_new_life_has_a_clock_of_its_own(self) -> None:
        """Nothing was stuck on an endpoint that was born again: its clock began anew."""
        self.now += 100.0
        self.link.reborn(2)
        self.link.note_clock(5, self.now)
        self.assertEqual(self.now, self.link.told_at)
