"""Allowances: decisions, and every order of the steps of a small model."""

from collections.abc import Iterator

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.ids import PoolId
from lentilrill.scheduling import (
    Allowances,
    Budget,
    KnownAllowances,
    PoolAllowance,
    Usage,
    next_allowance,
)
from lentilrill.workloads import Resources
from tests.scheduling.allowance_model import (
    Decisions,
    Owner,
    State,
    canonical,
    initial_state,
    is_stuck,
    steps,
)

A, B, C = PoolId("a"), PoolId("b"), PoolId("c")
CAP = Resources(100, 1000)
CORE = Resources(1)
STUCK_SAMPLE = 7
"""Every so many states is followed until nothing changes any more."""
WALK_STEPS = 150
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def allowances(**held: int) -> Allowances:
    return Allowances({PoolId(p): PoolAllowance(Resources(cpu)) for p, cpu in held.items()})


class DecisionsTest(TestCase):
    def test_a_pool_far_below_the_cap_takes_more_than_it_needs(self) -> None:
        """Guards against one write for each start of a workspace that is far below its cap."""
        usage = Usage(Resources(2), lacking=Resources(4), first=Resources(1))
        self.assertEqual(Resources(9), next_allowance(Allowances(), A, CAP, usage, 0.0).held)

    def test_a_pool_near_the_cap_takes_what_is_left(self) -> None:
        usage = Usage(lacking=Resources(40), first=Resources(10))
        record = allowances(b=70)
        self.assertEqual(Resources(30), next_allowance(record, A, CAP, usage, 0.0).held)

    def test_a_pool_waits_if_its_first_task_does_not_fit(self) -> None:
        usage = Usage(Resources(5), lacking=Resources(40), first=Resources(20))
        found = next_allowance(allowances(a=8, b=85), A, CAP, usage, 0.0)
        self.assertEqual(PoolAllowance(Resources(5), is_waiting=True), found)

    def test_what_is_not_used_is_returned_once_another_pool_waits(self) -> None:
        """Guards against a cap that lies with a pool that has no work left."""
        record = allowances(a=100).replace(B, PoolAllowance(is_waiting=True))
        used = Usage(Resources(3))
        self.assertEqual(Resources(100), next_allowance(record, A, CAP, used, 0.1).held)
        self.assertEqual(Resources(3), next_allowance(record, A, CAP, used, 0.5).held)

    def test_it_is_kept_while_less_than_half_of_the_cap_is_held(self) -> None:
        record = allowances(a=30, b=20)
        self.assertEqual(Resources(30), next_allowance(record, A, CAP, Usage(), 60.0).held)
        record = allowances(a=30, b=40)
        self.assertEqual(Resources(), next_allowance(record, A, CAP, Usage(), 60.0).held)

    def test_a_lowered_cap_stops_starts_and_not_runs(self) -> None:
        record = allowances(a=60, b=60)
        budget = Budget(record, A, Resources(50), Resources(55))
        self.assertFalse(budget.take(CORE))
        found = next_allowance(record, A, Resources(50), Usage(Resources(55)), 0.0)
        self.assertEqual(Resources(55), found.held)

    def test_no_limit(self) -> None:
        usage = Usage(lacking=Resources(10**6), first=CORE)
        found = next_allowance(allowances(b=10**9), A, Resources(), usage, 0.0)
        self.assertTrue(Resources(10**6).fits(found.held))
        self.assertTrue(
            Budget(Allowances({A: found}), A, Resources(), Resources()).take(Resources(10**6))
        )

    def test_each_amount_is_limited_by_itself(self) -> None:
        record = Allowances({A: PoolAllowance(Resources(50, 10))})
        budget = Budget(record, A, CAP, Resources())
        self.assertTrue(budget.take(Resources(1, 10)))
        self.assertFalse(budget.take(Resources(1, 1)))

    def test_a_task_larger_than_the_rest_starts_below_half_of_the_cap(self) -> None:
        """Guards against a large task that waits for good while small ones of its workspace run."""
        usage = Usage(Resources(10), lacking=Resources(80), first=Resources(80))
        record = allowances(a=10, b=30)
        taken = next_allowance(record, A, CAP, usage, 0.0)
        self.assertEqual(Resources(90), taken.held)
        record = record.replace(A, taken)
        self.assertTrue(Budget(record, A, CAP, Resources(10)).take(Resources(80)))
        self.assertFalse(Budget(record, B, CAP, Resources(29)).take(CORE))
        gang = msgspec.structs.replace(usage, is_gang=True)
        self.assertTrue(next_allowance(allowances(a=10, b=30), A, CAP, gang, 0.0).is_waiting)

    def test_a_pool_above_its_fair_part_starts_nothing_while_another_waits(self) -> None:
        """Guards against a busy pool that never leaves any of the cap to another one."""
        record = allowances(a=90, c=10).replace(B, PoolAllowance(is_waiting=True))
        self.assertFalse(Budget(record, A, CAP, Resources(40)).take(CORE))
        self.assertTrue(Budget(record, A, CAP, Resources(20)).take(CORE))
        self.assertTrue(Budget(record, A, CAP, Resources()).take(Resources(80)))

    def test_the_least_that_is_held_counts_until_a_write_is_answered(self) -> None:
        """Guards against starts within an allowance that was returned by a write without answer."""
        known = KnownAllowances().on_read(allowances(a=50), 4)
        sent = known.on_sent(PoolAllowance(Resources(10)))
        self.assertEqual(Resources(10), sent.certain(A).of(A).held)
        again = sent.on_sent(PoolAllowance(Resources(70)))
        self.assertEqual(Resources(10), again.certain(A).of(A).held)
        self.assertEqual(Resources(10), again.on_read(allowances(a=50), 4).certain(A).of(A).held)
        self.assertEqual(Resources(50), sent.on_not_sent(sent.unresolved[0]).certain(A).of(A).held)
        self.assertEqual(Resources(70), again.on_read(allowances(a=70), 5).certain(A).of(A).held)


class ExplorerTest(TestCase):
    """Every order of steps of small models; the number of states is printed."""

    def explore(self, state: State, decisions: Decisions, *, follows: bool) -> str:
        """Return the steps to a state that breaks a promise, or an empty string.

        :param follows: whether to check that no task waits for good.
        """
        seen = {_ENCODER.encode(state)}
        reached = [(state, "")]
        for number, (current, path) in enumerate(reached):
            if follows and not number % STUCK_SAMPLE and is_stuck(current, decisions):
                return f"stuck after{path}"
            for name, following in steps(current, decisions):
                if following.over_cap:
                    return f"over the cap after{path}, {name}"
                following = canonical(following)
                key = _ENCODER.encode(following)
                if key not in seen:
                    seen.add(key)
                    reached.append((following, f"{path}, {name}"))
        print(f"{len(seen)} states of {state.caps}, {[o.waiting for o in state.owners]}")
        return ""

    def test_no_start_exceeds_the_cap_and_none_waits_for_good(self) -> None:
        """Guards against lost owners, lost answers and late writes that break a cap."""
        state = initial_state((2,), (1, 1), losses=1, lost_answers=1)
        self.assertEqual("", self.explore(state, Decisions(), follows=True))
        three = initial_state((1,), (1, 1, 1), losses=1)
        self.assertEqual("", self.explore(three, Decisions(), follows=True))

    def test_no_start_exceeds_a_cap_that_is_lowered(self) -> None:
        state = initial_state((2, 1), (1, 1))
        self.assertEqual("", self.explore(state, Decisions(), follows=False))
        lost = initial_state((2, 1), (1, 1), lost_answers=1)
        self.assertEqual("", self.explore(lost, Decisions(), follows=False))

    def test_an_unreadable_record_breaks_no_cap_and_lets_none_wait_for_good(self) -> None:
        """Guards against starts above a cap, or none, after a record that can't be decoded."""
        state = initial_state((2,), (1, 1), damages=1)
        self.assertEqual("", self.explore(state, Decisions(), follows=True))
        lost = initial_state((1,), (1, 1), losses=1, damages=1)
        self.assertEqual("", self.explore(lost, Decisions(), follows=True))
        lowered = initial_state((2, 1), (1, 1), damages=1)
        self.assertEqual("", self.explore(lowered, Decisions(), follows=False))

    def test_broken_copies_are_found(self) -> None:
        """Guards against a model that would not notice a broken decision."""

        def counts_no_stopping(owner: Owner) -> int:
            return max(owner.ordered + owner.running, owner.held_at_take_over)

        def counts_no_previous_owner(owner: Owner) -> int:
            return owner.ordered + owner.running + owner.stopping

        def never_returns(*arguments: object) -> PoolAllowance:
            wanted = next_allowance(*arguments)  # type: ignore[arg-type]
            record, pool = arguments[0], arguments[1]
            held = record.of(pool).held  # type: ignore[attr-defined]
            return PoolAllowance(held.at_least(wanted.held), wanted.is_waiting)

        one, two = initial_state((1,), (1, 1)), initial_state((2, 1), (1, 1))
        lost = initial_state((1,), (1, 1), losses=1)
        damaged = initial_state((1,), (1, 1), losses=1, damages=1)
        for state, broken, expected in (
            (one, Decisions(usage=counts_no_stopping), "over"),
            (lost, Decisions(usage=counts_no_previous_owner), "over"),
            (two, Decisions(compares_configuration=False), "over"),
            (two, Decisions(rereads=False), "over"),
            (one, Decisions(next_allowance=never_returns), "stuck"),
            (damaged, Decisions(assumes_most=False), "over"),
        ):
            self.assertTrue(self.explore(state, broken, follows=True).startswith(expected), broken)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(1, 6), min_size=1, max_size=4),
        st.lists(st.integers(0, 4), min_size=4, max_size=6),
        st.randoms(use_true_random=False),
    )
    def test_random_walks_of_larger_sizes(self, caps, waiting, random) -> None:
        """Guards against breaks of a cap that need more pools, tasks or changes."""
        state = initial_state(tuple(caps), tuple(waiting), losses=4, lost_answers=4, damages=2)
        for _ in range(WALK_STEPS):
            following: Iterator[tuple[str, State]] = steps(state, Decisions())
            choices = list(following)
            if not choices:
                break
            state = canonical(random.choice(choices)[1])
            self.assertFalse(state.over_cap)
        self.assertFalse(is_stuck(state, Decisions()))
