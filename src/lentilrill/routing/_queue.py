"""Queue of asks: by urgency, with fair shares between plans, earliest deadline first."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator

import msgspec

from lentilrill.ids import HostId, Incarnation, PlanId, ProcessId, RequestId
from lentilrill.settings import Urgency

__all__ = ["AskKey", "AskQueue", "FairShares", "GatewayInstance", "QueuedAsk"]

URGENCY_CLASSES = len(Urgency)


class GatewayInstance(msgspec.Struct, frozen=True):
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


class QueuedAsk(msgspec.Struct):
    """One queued ask.

    :param urgency: rank of the urgency class, 0 first.
    :param deadline: monotonic seconds by which the job must start.
    :param answer_by: monotonic seconds until which the job may run.
    :param sequence: arrival number, the tie-breaker between equal deadlines.
    """

    key: AskKey
    gateway: GatewayInstance
    plan: PlanId
    urgency: int
    deadline: float
    sequence: int
    asked_at: float
    answer_by: float
    avoid: tuple[HostId, ...] = ()


def _sort_key(queued: QueuedAsk) -> tuple[float, int]:
    # Lists are sorted by descending deadline, so that the earliest is popped from the end.
    return (-queued.deadline, -queued.sequence)


class FairShares:
    """Slot seconds that each plan has used, divided by its weight; the lowest plan is served next.

    A plan that was idle starts at the lowest value of the plans with queued asks, so that idle
    time earns no credit for later.
    """

    def __init__(self) -> None:
        self._usage_by_plan: dict[PlanId, float] = {}

    def usage(self, plan: PlanId) -> float:
        """Return the weighted slot seconds that the plan has used."""
        return self._usage_by_plan.get(plan, 0.0)

    def charge(self, plan: PlanId, seconds: float, weight: float) -> None:
        """Add ``seconds`` of one slot; a negative value corrects an earlier charge."""
        self._usage_by_plan[plan] = self.usage(plan) + seconds / weight

    def raise_to_lowest(self, plan: PlanId, busy: list[PlanId]) -> None:
        """Raise the usage of ``plan`` to the lowest usage of the plans in ``busy``."""
        if busy:
            lowest = min(self.usage(other) for other in busy)
            self._usage_by_plan[plan] = max(self.usage(plan), lowest)

    def retain_plans(self, plans: set[PlanId]) -> None:
        """Remove all plans except ``plans``."""
        for plan in self._usage_by_plan.keys() - plans:
            del self._usage_by_plan[plan]


class _UrgencyClass:
    """Asks of one urgency class: by plan in order of deadline, and by key in order of arrival."""

    def __init__(self) -> None:
        self.by_plan: dict[PlanId, list[QueuedAsk]] = {}
        self.by_key: dict[AskKey, QueuedAsk] = {}


class AskQueue:
    """The queue of one pool. Not thread-safe.

    Adding and removing an ask cost a binary search and a shift within one list.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._classes = [_UrgencyClass() for _ in range(URGENCY_CLASSES)]
        self._by_key: dict[AskKey, QueuedAsk] = {}
        self._waiting_by_plan: dict[PlanId, int] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[QueuedAsk]:
        return iter(list(self._by_key.values()))

    def get(self, key: AskKey) -> QueuedAsk | None:
        """Return the queued ask of ``key``, or ``None``."""
        return self._by_key.get(key)

    def count(self, plan: PlanId) -> int:
        """Return the number of queued asks of ``plan``."""
        return self._waiting_by_plan.get(plan, 0)

    def add(self, queued: QueuedAsk) -> None:
        """Add an ask."""
        urgency_class = self._classes[queued.urgency]
        if queued.plan not in urgency_class.by_plan:
            self._shares.raise_to_lowest(queued.plan, list(urgency_class.by_plan))
            urgency_class.by_plan[queued.plan] = []
        insort(urgency_class.by_plan[queued.plan], queued, key=_sort_key)
        urgency_class.by_key[queued.key] = queued
        self._by_key[queued.key] = queued
        self._waiting_by_plan[queued.plan] = self.count(queued.plan) + 1

    def remove(self, key: AskKey) -> QueuedAsk | None:
        """Remove and return the ask of ``key``, or return ``None`` if it is not queued."""
        queued = self._by_key.get(key)
        if queued is not None:
            asks = self._classes[queued.urgency].by_plan[queued.plan]
            del asks[bisect_left(asks, _sort_key(queued), key=_sort_key)]
            self._unindex(queued, asks)
        return queued

    def pop_next(self, may_run: Callable[[PlanId], bool]) -> QueuedAsk | None:
        """Remove and return the next ask among the plans for which ``may_run`` is true."""
        for urgency_class in self._classes:
            plans = [plan for plan in urgency_class.by_plan if may_run(plan)]
            if plans:
                plan = min(plans, key=self._shares.usage)
                asks = urgency_class.by_plan[plan]
                queued = asks.pop()
                self._unindex(queued, asks)
                return queued
        return None

    def evict_below(self, urgency: int) -> QueuedAsk | None:
        """Remove and return the newest ask of the least urgent class below ``urgency``."""
        for rank in range(URGENCY_CLASSES - 1, urgency, -1):
            by_key = self._classes[rank].by_key
            if by_key:
                # reversed(by_key) would step over every entry deleted before; popitem does not.
                key, queued = by_key.popitem()
                by_key[key] = queued
                return self.remove(key)
        return None

    def pop_expired(self, now: float) -> list[QueuedAsk]:
        """Remove and return the asks whose deadline has passed."""
        expired: list[QueuedAsk] = []
        for urgency_class in self._classes:
            for asks in list(urgency_class.by_plan.values()):
                while asks and asks[-1].deadline <= now:
                    expired.append(asks.pop())
                    self._unindex(expired[-1], asks)
        return expired

    def count_ahead(self, plan: PlanId, urgency: int, deadline: float) -> int:
        """Return how many queued asks of the plan in this class would precede a new one."""
        asks = self._classes[urgency].by_plan.get(plan, [])
        return len(asks) - bisect_left(asks, -deadline, key=lambda queued: -queued.deadline)

    def counts_by_plan(self, urgency: int) -> dict[PlanId, int]:
        """Return the number of queued asks of an urgency class by plan."""
        return {plan: len(asks) for plan, asks in self._classes[urgency].by_plan.items()}

    def find_inconsistency(self) -> str:
        """Return a description of counts that disagree, or an empty string."""
        in_lists = sum(sum(self.counts_by_plan(rank).values()) for rank in range(URGENCY_CLASSES))
        in_classes = sum(len(urgency_class.by_key) for urgency_class in self._classes)
        in_plans = sum(self._waiting_by_plan.values())
        if in_lists == in_classes == in_plans == len(self._by_key):
            return ""
        return f"queue counts {in_lists}, {in_classes}, {in_plans}, {len(self._by_key)}"

    def _unindex(self, queued: QueuedAsk, asks: list[QueuedAsk]) -> None:
        urgency_class = self._classes[queued.urgency]
        if not asks:
            del urgency_class.by_plan[queued.plan]
        del urgency_class.by_key[queued.key]
        del self._by_key[queued.key]
        remaining = self._waiting_by_plan[queued.plan] - 1
        if remaining:
            self._waiting_by_plan[queued.plan] = remaining
        else:
            del self._waiting_by_plan[queued.plan]
