"""Order of jobs among workspaces while a pool has too little room."""

import math
from collections.abc import Mapping

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.ids import WorkspaceId
from lentilrill.scheduling import DominantShares, FairOrder, ShareClass, class_of
from lentilrill.workloads import Resources
from tests.builders import a_job_timing

TASK = Resources(1000, 1000)
CLASS = ShareClass(1)


class Waiting(msgspec.Struct, frozen=True):
    """A waiting job of the slot model: one task that takes one slot."""

    workspace: WorkspaceId
    arrives: int = 0
    lasts: int = 1
    number: int = 0
    job_class: ShareClass = CLASS


def shares_of(slots: int, weights: Mapping[str, float], **used: int) -> DominantShares:
    return DominantShares(
        {WorkspaceId(id): TASK.times(count) for id, count in used.items()},
        {WorkspaceId(id): weight for id, weight in weights.items()},
        TASK.times(slots),
    )


def started(jobs: list[Waiting], shares: DominantShares, room: int) -> list[Waiting]:
    """Return the jobs that start in one round with room for some of them."""
    order = FairOrder(jobs, lambda j: j.workspace, lambda j: (j.job_class, j.arrives))
    chosen: list[Waiting] = []
    for job in order.by(shares):
        if len(chosen) < room:
            shares.add(job.workspace, TASK)
            chosen.append(job)
    return chosen


def names(jobs: list[Waiting]) -> str:
    return "".join(job.workspace for job in jobs)


def some_jobs(workspaces: str) -> list[Waiting]:
    return [Waiting(WorkspaceId(id), number=n) for n, id in enumerate(workspaces)]


def start_times(
    jobs: list[Waiting], slots: int, weights: Mapping[str, float]
) -> dict[Waiting, int]:
    """Play jobs on some slots, one second a round, and return when each job started."""
    starts: dict[Waiting, int] = {}
    running: list[tuple[int, WorkspaceId]] = []
    waiting = list(jobs)
    now = 0
    while waiting:
        running = [(end, id) for end, id in running if end > now]
        used = {id: sum(other == id for _, other in running) for id in weights}
        shares = shares_of(slots, weights, **used)
        arrived = [job for job in waiting if job.arrives <= now]
        for job in started(arrived, shares, slots - len(running)):
            starts[job] = now
            running.append((now + job.lasts, job.workspace))
            waiting.remove(job)
        now += 1
    return starts


GAPS_AND_DURATIONS = st.lists(st.tuples(st.integers(0, 4), st.integers(1, 6)), max_size=8)
SLOTS = st.lists(GAPS_AND_DURATIONS, min_size=1, max_size=3)
BURSTS = st.lists(
    st.tuples(st.sampled_from("bc"), st.integers(0, 20), st.integers(1, 6), st.integers(1, 30)),
    max_size=8,
)


def within_share(slots: list[list[tuple[int, int]]]) -> list[Waiting]:
    """Return jobs of ``a`` that never wait on so many slots of their own."""
    jobs = []
    for slot in slots:
        now = 0
        for gap, lasts in slot:
            jobs.append(Waiting(WorkspaceId("a"), now + gap, lasts, len(jobs)))
            now += gap + lasts
    return jobs


class ShareTest(TestCase):
    def test_room_is_shared_by_weight(self) -> None:
        """Guards against a surge of one workspace that takes the room of all others."""
        jobs = some_jobs("a" * 30 + "b" * 30 + "c" * 2)
        chosen = names(started(jobs, shares_of(12, {"a": 1, "b": 2, "c": 1}), 12))
        self.assertEqual((4, 6, 2), tuple(chosen.count(id) for id in "abc"))

    def test_what_runs_counts(self) -> None:
        """Guards against an owner that shares anew by what waits, after a take-over too."""
        shares = shares_of(10, {"a": 1, "b": 1}, a=4)
        self.assertEqual("bbbbab", names(started(some_jobs("aaabbbbb"), shares, 6)))

    def test_alone_a_workspace_may_use_all(self) -> None:
        shares = shares_of(4, {"a": 1, "b": 9})
        self.assertEqual("aaaa", names(started(some_jobs("aaaaa"), shares, 4)))

    def test_the_scarcest_resource_decides(self) -> None:
        """Guards against a workspace that fills all memory with tasks of few cores."""
        used = {WorkspaceId("a"): Resources(100, 4000), WorkspaceId("b"): Resources(2000, 1000)}
        shares = DominantShares(used, {}, Resources(8000, 8000))
        self.assertGreater(shares.rank(WorkspaceId("a")), shares.rank(WorkspaceId("b")))

    def test_without_weight_after_all_others(self) -> None:
        """Guards against a division by a weight of 0, or of no number."""
        for odd in (0.0, -1.0, math.nan, math.inf):
            shares = shares_of(4, {"a": odd, "b": 0.5}, b=2)
            self.assertEqual("bbba", names(started(some_jobs("aaabbb"), shares, 4)))
        tiny = shares_of(4, {"a": 5e-324, "b": 1.0})
        self.assertEqual("abbb", names(started(some_jobs("aaabbb"), tiny, 4)))

    def test_only_odd_weights(self) -> None:
        shares = shares_of(0, {"a": 0.0, "b": 0.0}, a=1)
        self.assertEqual("bab", names(started(some_jobs("aabb"), shares, 3)))

    def test_a_removed_workspace_counts_with_the_smallest_weight(self) -> None:
        """Guards against jobs that starve, or gain, once their workspace is removed or renamed."""
        shares = shares_of(12, {"b": 1, "c": 5})
        chosen = names(started(some_jobs("a" * 12 + "b" * 12 + "c" * 12), shares, 7))
        self.assertEqual((1, 1, 5), tuple(chosen.count(id) for id in "abc"))

    def test_public_jobs_count_with_the_mean_weight(self) -> None:
        shares = shares_of(12, {"b": 1, "c": 3})
        self.assertEqual(2.0, shares.weight(WorkspaceId("")))

    def test_changed_weights_count_at_once(self) -> None:
        """Guards against an order by weights that were in force when the jobs arrived."""
        jobs = some_jobs("a" * 9 + "b" * 9)
        for weight, expected in ((1, 2), (3, 4)):
            shares = shares_of(8, {"a": weight, "b": 1}, a=2, b=2)
            self.assertEqual(expected, names(started(jobs, shares, 4)).count("a"))

    def test_a_job_that_can_not_start_holds_up_no_other_workspace(self) -> None:
        jobs = some_jobs("aab")
        order = FairOrder(jobs, lambda j: j.workspace, lambda j: (CLASS, 0.0))
        self.assertEqual("aab", names(list(order.by(shares_of(2, {}, b=1)))))

    @settings(max_examples=200, deadline=None)
    @given(SLOTS, BURSTS, st.integers(1, 3), st.integers(1, 3))
    def test_within_its_share_a_workspace_waits_for_one_longest_task(
        self,
        slots: list[list[tuple[int, int]]],
        bursts: list[tuple[str, int, int, int]],
        b: int,
        c: int,
    ) -> None:
        """Guards against a surge that a workspace feels which sends no more than its share."""
        own = within_share(slots)
        others = [
            Waiting(WorkspaceId(id), at, lasts, 100 * burst + number)
            for burst, (id, at, lasts, count) in enumerate(bursts)
            for number in range(count)
        ]
        weights = {"a": len(slots), "b": b, "c": c}
        starts = start_times([*others, *own], len(slots) + b + c, weights)
        longest = max((job.lasts for job in [*others, *own]), default=0)
        for job in own:
            self.assertLessEqual(starts[job] - job.arrives, longest)


class ClassTest(TestCase):
    def test_beyond_the_rate_after_what_is_owed(self) -> None:
        """Guards against a flood beyond the rate that delays the others' overdue jobs."""
        soon, overdue = a_job_timing(), a_job_timing(age_s=9.0)
        classes = [
            class_of(timing, beyond_rate=beyond)[0]
            for beyond in (False, True)
            for timing in (soon, overdue)
        ]
        self.assertEqual(sorted(classes), classes)
        self.assertEqual(4, len(set(classes)))

    def test_priority_and_long_running_jobs_come_first_as_ever(self) -> None:
        lasting = class_of(a_job_timing(long_running=True, priority=3), beyond_rate=True)[0]
        urgent = class_of(a_job_timing(age_s=9.0), beyond_rate=True)[0]
        later = class_of(a_job_timing(priority=1), beyond_rate=False)[0]
        self.assertEqual([lasting, urgent, later], sorted([later, urgent, lasting]))

    def test_long_running_jobs_are_ordered_by_age_alone(self) -> None:
        lasting = ShareClass(0)
        jobs = [Waiting(WorkspaceId(id), n, 1, n, lasting) for n, id in enumerate("abab")]
        shares = shares_of(9, {"a": 1, "b": 9}, a=5)
        self.assertEqual("abab", names(started(jobs, shares, 4)))
