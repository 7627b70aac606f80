"""Queue of asks: by urgency, with fair shares between plans, earliest deadline first."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator

import msgspec

from lentilrill.ids import HostId, Incarnation, PlanId, ProcessId, RequestId
from lentilrill.settings import Urgency

__all__ = ["AskKey", "AskQueue", "Caller", "FairShares", "Waiting"]

CLASSES = len(Urgency)


class Caller(msgspec.Struct, frozen=True):
    """One incarnation of a gateway that requests slots.

    :param address: inner address of the gateway.
    """

    process: ProcessId
    incarnation: Incarnation
    address: str


class AskKey(msgspec.Struct, frozen=True):
    """Identifies one ask among those of all gateways."""

    address: str
    request: RequestId


class Waiting(msgspec.Struct):
    """One queued ask.

    :param urgency: rank of the urgency class, 0 first.
    :param deadline: monotonic seconds by which the job must start.
    :param answer_by: monotonic seconds until which the job may run.
    :param order: arrival number, the tie-breaker between equal deadlines.
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
    # Lists are sorted by descending deadline, so that the earliest is popped from the end.
    return (-waiting.deadline, -waiting.order)


class FairShares:
    """Slot seconds that each plan has used, divided by its weight; the lowest plan is served next.

    A plan that was idle starts at the lowest value of the plans with queued asks, so that idle
    time earns no credit for later.
    """

    def __init__(self) -> None:
        self._served_by_plan: dict[PlanId, float] = {}

    def served(self, plan: PlanId) -> float:
        """Return the weighted slot seconds that the plan has used."""
        return self._served_by_plan.get(plan, 0.0)

    def charge(self, plan: PlanId, seconds: float, weight: float) -> None:
        """Add ``seconds`` of one slot; a negative value corrects an earlier charge."""
        self._served_by_plan[plan] = self.served(plan) + seconds / weight

    def level(self, plan: PlanId, busy: list[PlanId]) -> None:
        """Raise the usage of ``plan`` to the lowest usage of the plans in ``busy``."""
        if busy:
            floor = min(self.served(other) for other in busy)
            self._served_by_plan[plan] = max(self.served(plan), floor)

    def keep(self, plans: set[PlanId]) -> None:
        """Remove all plans except ``plans``."""
        for plan in self._served_by_plan.keys() - plans:
            del self._served_by_plan[plan]


class _UrgencyClass:
    """Asks of one urgency class: by plan in order of deadline, and by key in order of arrival."""

    def __init__(self) -> None:
        self.by_plan: dict[PlanId, list[Waiting]] = {}
        self.by_key: dict[AskKey, Waiting] = {}


class AskQueue:
    """The queue of one pool. Not thread-safe.

    Adding and removing an ask cost a binary search and a shift within one list.
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
        """Return the queued ask of ``key``, or ``None``."""
        return self._by_key.get(key)

    def count(self, plan: PlanId) -> int:
        """Return the number of queued asks of ``plan``."""
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
        """Remove and return the ask of ``key``, or return ``None`` if it is not queued."""
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
        """Remove and return the newest ask of the least urgent class below ``urgency``."""
        for rank in range(CLASSES - 1, urgency, -1):
            by_key = self._classes[rank].by_key
            if by_key:
                # reversed(by_key) would step over every entry deleted before; popitem does not.
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
        """Return how many queued asks of the plan in this class would precede a new one."""
        asks = self._classes[urgency].by_plan.get(plan, [])
        return len(asks) - bisect_left(asks, -deadline, key=lambda waiting: -waiting.deadline)

    def counts(self, urgency: int) -> dict[PlanId, int]:
        """Return the number of queued asks of an urgency class by plan."""
        return {plan: len(asks) for plan, asks in self._classes[urgency].by_plan.items()}

    def contradiction(self) -> str:
        """Return a description of counts that disagree, or an empty string."""
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
