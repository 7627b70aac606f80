"""Which tasks with checkpoints are moved away from slow endpoints."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.scheduling import (
    RelocatableRun,
    RelocationCost,
    is_worth_relocating,
    may_relocate_again,
)

SECONDS = st.floats(0, 200)


def a_run(**changes: float) -> RelocatableRun:
    values = {"left_s": 20.0, "slowdown": 4.0, "since_checkpoint_s": 1.0, "cost_s": 2.0}
    return RelocatableRun(**values | changes)


class RelocationTest(TestCase):
    def test_a_long_task_leaves_a_slow_endpoint(self) -> None:
        """A task that may run once only stayed for its whole length where it took four times it."""
        self.assertTrue(is_worth_relocating(a_run()))

    def test_a_task_that_is_nearly_done_stays(self) -> None:
        """A stop and a restore took longer than the rest of the task."""
        self.assertFalse(is_worth_relocating(a_run(left_s=3.0)))

    def test_a_long_task_on_a_usual_endpoint_stays(self) -> None:
        """A task that is itself long was moved, and took as long elsewhere."""
        self.assertFalse(is_worth_relocating(a_run(slowdown=1.2, left_s=100.0)))

    def test_work_since_the_checkpoint_counts(self) -> None:
        """A task without a checkpoint began anew elsewhere."""
        self.assertFalse(is_worth_relocating(a_run(since_checkpoint_s=60.0)))

    @given(SECONDS, st.floats(0.1, 20), SECONDS, st.floats(0, 20))
    def test_no_to_and_fro(
        self, left_s: float, slowdown: float, since_checkpoint_s: float, cost_s: float
    ) -> None:
        """A task that had just been moved would have been moved back."""
        run = a_run(
            left_s=left_s, slowdown=slowdown, since_checkpoint_s=since_checkpoint_s, cost_s=cost_s
        )
        if is_worth_relocating(run):
            back = a_run(left_s=run.elsewhere_s, slowdown=1 / slowdown, cost_s=cost_s)
            self.assertFalse(is_worth_relocating(back))
            self.assertGreater(left_s, 2 * cost_s)

    def test_a_task_is_moved_rarely(self) -> None:
        """A task on endpoints that are slow by turns made no progress between its moves."""
        self.assertTrue(may_relocate_again(0, 0.0))
        self.assertFalse(may_relocate_again(1, 1.0))
        self.assertTrue(may_relocate_again(1, 60.0))
        self.assertFalse(may_relocate_again(2, 60.0))

    def test_the_cost_follows_what_is_observed(self) -> None:
        """A platform that restores slowly was taken for a quick one."""
        cost = RelocationCost()
        first_s = cost.seconds
        cost.observe(10.0)
        self.assertGreater(cost.seconds, first_s)
        for _ in range(60):
            cost.observe(0.5)
        self.assertLess(cost.seconds, 1.0)
