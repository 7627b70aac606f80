"""Client of the platform's key-value store."""

from typing import TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import LeaseId, Revision
from lentilrill.platform._kv_answers import StoreAnswers
from lentilrill.platform._kv_commits import CALL_TIMEOUT_S, Commits
from lentilrill.platform._kv_leases import LeaseCalls
from lentilrill.platform._kv_watch import PAGE_TIMEOUT_S, PlatformWatch
from lentilrill.platform._kv_wire import MAX_PAGE_BYTES, NOT_FOUND, RangePage, StoredItem
from lentilrill.settings import StoreSettings
from lentilrill.store import (
    CallBudget,
    CallGuard,
    Compare,
    DeleteRange,
    Effect,
    Item,
    Priority,
    Put,
    RangeAnswer,
    Transport,
    TxnAnswer,
)
from lentilrill.telemetry import Metrics

__all__ = ["PlatformKeyValue"]

DEADLINE_S = 1.5
"""Timeout of a call including its retries; callers of jobs wait 3 s for an answer."""

A = TypeVar("A", bound=msgspec.Struct)


class PlatformKeyValue:
    """A :class:`~lentilrill.store.KeyValue` on the platform's store.

    :param settings: address of the store and call budget of this process.
    """

    def __init__(self, settings: StoreSettings, metrics: Metrics) -> None:
        self._address = settings.address
        self._transport = Transport((settings.address,), max_answer_bytes=MAX_PAGE_BYTES)
        budget = CallBudget(settings.calls_per_s)
        self._guard = CallGuard(settings.address, DEADLINE_S, budget, metrics)
        self._answers = StoreAnswers()
        self._commits = Commits(self._transport, self._guard, self._answers)
        self._leases = LeaseCalls(settings.address, self._answers, metrics)

    @property
    def silent_s(self) -> float:
        """Seconds since the store last answered a call or a watch successfully."""
        return self._answers.silent_s

    def read(self, prefix: str, priority: Priority = Priority.FIRST) -> Result[RangeAnswer, Fault]:
        """Read all items whose keys start with ``prefix``, page by page."""
        items: list[Item] = []
        after = ""
        revision = 0
        while True:
            path = f"/kv-range?prefix={quote(prefix)}" + (f"&after={quote(after)}" if after else "")
            page = self._get("store.read", path, RangePage, priority, PAGE_TIMEOUT_S)
            if isinstance(page, Failure):
                return page
            found = page.unwrap()
            # Pages are not a snapshot; a watch from the first page's revision misses no change.
            revision = revision or found.at_rev
            items.extend(item.to_item() for item in found.items)
            if found.truncated and not found.items:
                return Failure(Fault("store.read", self._address, FaultKind.INVALID, "empty page"))
            if not found.truncated:
                return Success(RangeAnswer(tuple(items), Revision(revision)))
            after = found.items[-1].key

    def get(self, key: str, priority: Priority = Priority.FIRST) -> Result[Item | None, Fault]:
        """Read one item; ``None`` if it is absent."""
        path = f"/kv-key?key={quote(key)}"
        absent = StoredItem(key, removed=True)
        found = self._get("store.get", path, StoredItem, priority, absent=absent)
        return found.map(lambda item: None if item.removed else item.to_item())

    def newest(self, prefix: str, priority: Priority = Priority.LATER) -> Result[Revision, Fault]:
        """Return the highest modification revision of a present key below ``prefix``, or 0."""
        return self.read(prefix, priority).map(
            lambda answer: max((item.revision for item in answer.items), default=Revision(0))
        )

    def commit(
        self,
        compares: tuple[Compare, ...],
        writes: tuple[Put | DeleteRange, ...],
        priority: Priority = Priority.FIRST,
    ) -> Result[TxnAnswer, Fault]:
        """Apply ``writes`` if all ``compares`` hold; ``AMBIGUOUS`` if the answer was lost."""
        return self._commits.commit(compares, writes, priority)

    def watch(self, prefix: str, after: Revision) -> PlatformWatch:
        """Yield changes below ``prefix`` later than ``after``, until a fault, which comes last."""
        return PlatformWatch(self._answers, self._address, prefix, after)

    def lease(self, ttl_s: float) -> Result[LeaseId, Fault]:
        """Grant a lease and return its id."""
        return self._leases.grant(ttl_s)

    def keep_alive(self, lease: LeaseId) -> Result[float, Fault]:
        """Renew a lease and return its duration in seconds, which starts when the call arrives."""
        return self._leases.keep_alive(lease)

    def revoke(self, lease: LeaseId) -> Result[None, Fault]:
        """Revoke a lease and delete its keys; a lease that has already ended is not a fault."""
        return self._leases.revoke(lease)

    def _get(
        self,
        step: str,
        path: str,
        kind: type[A],
        priority: Priority,
        total_timeout_s: float = 0.0,
        absent: A | None = None,
    ) -> Result[A, Fault]:
        """Send a read.

        :param absent: result if the store has no such key; ``None`` if that is a fault.
        """

        def attempt(remaining_s: float) -> Result[A, Fault]:
            result = self._transport.request(
                step,
                Effect.REPEATABLE,
                "GET",
                path,
                b"",
                min(CALL_TIMEOUT_S, remaining_s),
                total_timeout_s,
            )
            if isinstance(result, Failure):
                return result
            status, data, peer = result.unwrap()
            if status == NOT_FOUND and absent is not None:
                return Success(absent)
            return self._answers.decode(step, status, data, peer, kind)

        return self._guard.call(step, Effect.REPEATABLE, priority, attempt)
