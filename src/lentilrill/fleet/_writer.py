"""Writing of the actions of a planning round in as few transactions as possible."""

from collections.abc import Callable
from enum import Enum

from returns.result import Failure, Result

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet._actions import Action, Assign, Close, Drop, Return, Withdraw
from lentilrill.fleet._record_store import Basis, PoolRecordStore
from lentilrill.ids import HostId, PoolId, Revision
from lentilrill.settings import Document
from lentilrill.store import KeyValue, Mirror
from lentilrill.telemetry import Event, Metrics, log

__all__ = ["ActionWriter"]

CONFLICT_BACKOFF_S = 5.0
"""Delay before the next write to a pool after a conflict, unless newer state arrives."""

_EVENTS: dict[type, Event] = {
    Assign: Event.HOST_ASSIGNED,
    Withdraw: Event.WITHDRAWAL_PROPOSED,
    Close: Event.WITHDRAWAL_CLOSED,
    Return: Event.HOST_RETURNED,
    Drop: Event.HOST_DROPPED,
}


class Outcome(Enum):
    """Outcome of one write."""

    DONE = "done"
    REJECTED = "lost"
    """Conflict with another writer, or a refusal of this write; other writes may succeed."""
    UNREACHABLE = "away"
    """No answer from the platform."""


_UNREACHABLE_KINDS = (FaultKind.UNAVAILABLE, FaultKind.AMBIGUOUS, FaultKind.EXHAUSTED)


class ActionWriter:
    """Writer of actions through a :class:`PoolRecordStore`, with log lines and metrics.

    :param clock: returns seconds since the epoch.
    """

    def __init__(
        self, kv: KeyValue, mirror: Mirror, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._store = PoolRecordStore(kv, mirror)
        self._mirror = mirror
        self._metrics = metrics
        self._clock = clock
        self._conflicts_by_pool: dict[PoolId, tuple[Revision, float]] = {}

    def write(self, document: Document, actions: list[Action], basis: Basis) -> bool:
        """Create missing pool records, write the actions, and remove undeclared empty pools.

        :return: whether all writes succeeded.
        """
        for pool in self._conflicts_by_pool.keys() - basis.records.keys():
            del self._conflicts_by_pool[pool]
        if not self._create_pools(document, basis):
            return False
        all_written = self._write_all(actions, basis)
        self._remove_pools(document, basis)
        return all_written

    def _create_pools(self, document: Document, basis: Basis) -> bool:
        missing = [pool.id for pool in document.pools if pool.id not in basis.records]
        if not missing:
            return True
        answer = self._store.create(missing, basis)
        if isinstance(answer, Failure):
            log(Event.FLEET_WRITE_FAILED, fault=answer.failure(), pools=len(missing))
        return not isinstance(answer, Failure)

    def _remove_pools(self, document: Document, basis: Basis) -> None:
        declared = document.pools_by_id()
        for pool, (record, _) in list(basis.records.items()):
            if pool not in declared and not record.hosts:
                answer = self._store.remove(pool, basis)
                if isinstance(answer, Failure):
                    log(Event.FLEET_WRITE_FAILED, fault=answer.failure(), pool=pool)

    def _write_all(self, actions: list[Action], basis: Basis) -> bool:
        all_written = True
        actions_by_pool: dict[PoolId, list[Action]] = {}
        hosts_by_move: dict[tuple[PoolId, PoolId], list[HostId]] = {}
        for action in actions:
            if self._is_backing_off(action.pool):
                continue
            if isinstance(action, Close) and action.target is not None:
                hosts_by_move.setdefault((action.pool, action.target), []).append(action.host)
            else:
                actions_by_pool.setdefault(action.pool, []).append(action)
        for (pool, target), hosts in hosts_by_move.items():
            moved = [a for a in actions if a.host in hosts and a.pool == pool]
            outcome = self._log_outcome(self._store.move(pool, target, hosts, basis), moved)
            all_written = all_written and outcome is Outcome.DONE
            if outcome is Outcome.UNREACHABLE:
                return False
        for pool, pool_actions in actions_by_pool.items():
            outcome = self._log_outcome(self._store.apply(pool, pool_actions, basis), pool_actions)
            all_written = all_written and outcome is Outcome.DONE
            if outcome is Outcome.UNREACHABLE:
                return False
        return all_written

    def _is_backing_off(self, pool: PoolId) -> bool:
        """Return whether a write to a pool would only fail with the same conflict again.

        A process that no longer receives state updates but still reaches the platform would
        otherwise retry each of its pools in every round and flood the platform with calls.
        """
        revision, until = self._conflicts_by_pool.get(pool, (Revision(-1), 0.0))
        return revision == self._mirror.complete_to and self._clock() < until

    def _log_outcome(self, answer: Result[None, Fault], actions: list[Action]) -> Outcome:
        """Log the outcome of a write and return it."""
        if isinstance(answer, Failure):
            fault = answer.failure()
            self._metrics.incr("fleet.write_failed")
            pool = actions[0].pool
            if fault.kind is FaultKind.CONFLICT:
                until = self._clock() + CONFLICT_BACKOFF_S
                self._conflicts_by_pool[pool] = (self._mirror.complete_to, until)
            log(Event.FLEET_WRITE_FAILED, fault=fault, pool=pool)
            return Outcome.UNREACHABLE if fault.kind in _UNREACHABLE_KINDS else Outcome.REJECTED
        for action in actions:
            self._metrics.incr(f"fleet.{type(action).__name__.lower()}")
            target = getattr(action, "target", None) or ""
            event = _EVENTS[type(action)]
            log(event, host=action.host, pool=action.pool, target=target, reason=action.reason)
        return Outcome.DONE
