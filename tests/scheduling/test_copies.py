"""Which runs get a copy, and how many at once."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.ids import QueueId
from lentilrill.scheduling import (
    CopyBudget,
    CopyResults,
    StragglingRun,
    copy_key,
    is_worth_a_copy,
)

QUEUE = QueueId("proofs")
SECONDS = st.floats(-20, 60)


def a_straggler(**changes: float) -> StragglingRun:
    values = {"left_s": 7.0, "fresh_s": 1.0, "later_s": 0.0, "deadline_s": 3.0}
    return StragglingRun(**values | changes)


class CopyTest(TestCase):
    def test_one_straggler_of_a_job_is_copied(self) -> None:
        """One task on a slow endpoint held a job of sixteen tasks for seven times their length."""
        self.assertTrue(is_worth_a_copy(a_straggler(), 1.0))

    def test_a_job_that_is_in_time_gets_no_copy(self) -> None:
        """Copies for jobs that lose nothing took room and processors."""
        self.assertFalse(is_worth_a_copy(a_straggler(deadline_s=8.0), 1.0))
        self.assertTrue(is_worth_a_copy(a_straggler(deadline_s=8.0, later_s=2.0), 1.0))

    @given(SECONDS, st.floats(0.01, 60), SECONDS, st.floats(0.0, 1.0))
    def test_a_copy_gains_more_than_it_costs(
        self, left_s: float, fresh_s: float, deadline_s: float, win_share: float
    ) -> None:
        """A run that was nearly done was copied, and the copy always lost."""
        run = a_straggler(left_s=left_s, fresh_s=fresh_s, deadline_s=deadline_s)
        if is_worth_a_copy(run, win_share):
            self.assertGreater(run.left_s, 2 * run.fresh_s)

    def test_copies_that_lose_become_rarer_and_return(self) -> None:
        """Tasks that are themselves long were copied all day, and no copy ever ended first."""
        results = CopyResults()
        for _ in range(30):
            results.record(QUEUE, has_won=False)
        self.assertFalse(is_worth_a_copy(a_straggler(), results.win_share(QUEUE)))
        self.assertTrue(is_worth_a_copy(a_straggler(), results.win_share(QueueId("other"))))
        for _ in range(30):
            results.record(QUEUE, has_won=True)
        self.assertTrue(is_worth_a_copy(a_straggler(), results.win_share(QUEUE)))

    def test_jobs_that_a_copy_saves_go_first(self) -> None:
        """The budget went to a job that was overdue by far."""
        saved, overdue = a_straggler(), a_straggler(left_s=30.0, deadline_s=-5.0)
        self.assertEqual([saved, overdue], sorted([overdue, saved], key=copy_key))

    @given(
        st.lists(st.integers(0, 8000), max_size=300), st.lists(st.integers(0, 8000), max_size=300)
    )
    def test_a_surge_of_stragglers_stays_within_the_budget(
        self, running_cpu: list[int], wanted: list[int]
    ) -> None:
        """A slow rack in a surge doubled the load of its pool by copies of all of its tasks."""
        budget = CopyBudget(running_cpu, [])
        taken: list[int] = []
        for cpu in wanted:
            if budget.has_room(cpu):
                budget.take(cpu)
                taken.append(cpu)
        self.assertTrue(len(taken) <= 2 or sum(taken) <= 0.1 * sum(running_cpu))
        self.assertLessEqual(len(taken), max(2, 0.1 * len(running_cpu)))
        self.assertEqual(min(2, len(wanted)), min(2, len(taken)))
