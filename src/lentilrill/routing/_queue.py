"""Asks that wait for a slot: by urgency, fair between plans, earliest deadline first."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator

import msgspec

from lentilrill.ids import HostId, Incarnation, PlanId, ProcessId, RequestId
from lentilrill.settings import Urgency

__all__ = ["AskKey", "AskQueue", "Caller", "FairShares", "Waiting"]

CLASSES = len(Urgency)


class Caller(msgspec.Struct, frozen=True):
    """One incarnation of a gateway that asks.

    :param address: its inner address.
    """

    process: ProcessId
    incarnation: Incarnation
    address: str


class AskKey(msgspec.Struct, frozen=True):
    """Names one ask over all gateways."""

    address: str
    request: RequestId


class Waiting(msgspec.Struct):
    """One queued ask.

    :param urgency: rank of its class, 0 first.
    :param deadline: monotonic seconds by which it must start.
    :param answer_by: monotonic seconds until which its job may run.
    :param order: arrival number, which decides between equal deadlines.
    """

    key: AskKey
    caller: Caller
    plan: PlanId
    urgency: int
    deadline: float
    order: int
    asked: float
    answer_by: float
    avoid: tuple[HostId, ...] = ()


def _rank(waiting: Waiting) -> tuple[float, int]:
    # Lists are kept latest first, so that the earliest deadline is popped from the end.
    return (-waiting.deadline, -waiting.order)


class FairShares:
    """Slot seconds that each plan had, over its weight; the least served plan is next.

    A plan that was idle starts level with the least served busy one: an idle hour is no claim
    on the next hour's slots.
    """

    def __init__(self) -> None:
        self._served_by_plan: dict[PlanId, float] = {}

    def served(self, plan: PlanId) -> float:
        """Return the plan's weighted slot seconds."""
        return self._served_by_plan.get(plan, 0.0)

    def charge(self, plan: PlanId, seconds: float, weight: float) -> None:
        """Add ``seconds`` of one slot, negative to correct an earlier charge."""
        self._served_by_plan[plan] = self.served(plan) + seconds / weight

    def level(self, plan: PlanId, busy: list[PlanId]) -> None:
        """Bring a plan that becomes busy up to the least served of ``busy``."""
        if busy:
            floor = min(self.served(other) for other in busy)
            self._served_by_plan[plan] = max(self.served(plan), floor)

    def keep(self, plans: set[PlanId]) -> None:
        """Forget all plans but ``plans``."""
        for plan in self._served_by_plan.keys() - plans:
            del self._served_by_plan[plan]


class _UrgencyClass:
    """Asks of one urgency: each plan's in order of deadline, and all in order of arrival."""

    def __init__(self) -> None:
        self.by_plan: dict[PlanId, list[Waiting]] = {}
        self.by_key: dict[AskKey, Waiting] = {}


class AskQueue:
    """The queue of one pool. Not thread-safe.

    Adding and removing cost a binary search and the shift of a list of pointers.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._classes = [_UrgencyClass() for _ in range(CLASSES)]
        self._by_key: dict[AskKey, Waiting] = {}
        self._waiting_by_plan: dict[PlanId, int] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_key.values()))

    def get(self, key: AskKey) -> Waiting | None:
        """Return the waiting ask of ``key``."""
        return self._by_key.get(key)

    def count(self, plan: PlanId) -> int:
        """Return how many asks of ``plan`` wait."""
        return self._waiting_by_plan.get(plan, 0)

    def add(self, waiting: Waiting) -> None:
        """Add an ask."""
        group = self._classes[waiting.urgency]
        if waiting.plan not in group.by_plan:
            self._shares.level(waiting.plan, list(group.by_plan))
            group.by_plan[waiting.plan] = []
        insort(group.by_plan[waiting.plan], waiting, key=_rank)
        group.by_key[waiting.key] = waiting
        self._by_key[waiting.key] = waiting
        self._waiting_by_plan[waiting.plan] = self.count(waiting.plan) + 1

    def remove(self, key: AskKey) -> Waiting | None:
        """Remove and return the ask of ``key``, if it waits."""
        waiting = self._by_key.get(key)
        if waiting is not None:
            asks = self._classes[waiting.urgency].by_plan[waiting.plan]
            del asks[bisect_left(asks, _rank(waiting), key=_rank)]
            self._forget(waiting, asks)
        return waiting

    def take(self, may_run: Callable[[PlanId], bool]) -> Waiting | None:
        """Remove and return the next ask among the plans for which ``may_run`` is true."""
        for group in self._classes:
            plans = [plan for plan in group.by_plan if may_run(plan)]
            if plans:
                plan = min(plans, key=self._shares.served)
                asks = group.by_plan[plan]
                waiting = asks.pop()
                self._forget(waiting, asks)
                return waiting
        return None

    def displace(self, urgency: int) -> Waiting | None:
        """Remove and return the newest ask of the lowest class, if that is below ``urgency``."""
        for rank in range(CLASSES - 1, urgency, -1):
            by_key = self._classes[rank].by_key
            if by_key:
                # popitem, as a look at the last key would step over each one removed before.
                key, waiting = by_key.popitem()
                by_key[key] = waiting
                return self.remove(key)
        return None

    def expired(self, now: float) -> list[Waiting]:
        """Remove and return the asks whose deadline has passed."""
        late: list[Waiting] = []
        for group in self._classes:
            for asks in list(group.by_plan.values()):
                while asks and asks[-1].deadline <= now:
                    late.append(asks.pop())
                    self._forget(late[-1], asks)
        return late

    def ahead(self, plan: PlanId, urgency: int, deadline: float) -> int:
        """Return how many asks of the plan's own class would go before a new one of it."""
        asks = self._classes[urgency].by_plan.get(plan, [])
        return len(asks) - bisect_left(asks, -deadline, key=lambda waiting: -waiting.deadline)

    def counts(self, urgency: int) -> dict[PlanId, int]:
        """Return how many asks of each plan wait in a class."""
        return {plan: len(asks) for plan, asks in self._classes[urgency].by_plan.items()}

    def contradiction(self) -> str:
        """Return how the counts contradict each other; empty if they don't."""
        in_lists = sum(sum(self.counts(rank).values()) for rank in range(CLASSES))
        in_classes = sum(len(group.by_key) for group in self._classes)
        in_plans = sum(self._waiting_by_plan.values())
        if in_lists == in_classes == in_plans == len(self._by_key):
            return ""
        return f"queue counts {in_lists}, {in_classes}, {in_plans}, {len(self._by_key)}"

    def _forget(self, waiting: Waiting, asks: list[Waiting]) -> None:
        group = self._classes[waiting.urgency]
        if not asks:
            del group.by_plan[waiting.plan]
        del group.by_key[waiting.key]
        del self._by_key[waiting.key]
        left = self._waiting_by_plan[waiting.plan] - 1
        if left:
            self._waiting_by_plan[waiting.plan] = left
        else:
            del self._waiting_by_plan[waiting.plan]
