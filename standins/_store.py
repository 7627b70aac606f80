"""An in-memory key-value store with etcd's revisions, transactions, leases and history."""

import itertools
import threading
import time
from bisect import bisect_left
from collections.abc import Callable

import msgspec

__all__ = ["Change", "Condition", "DeleteWrite", "Key", "PutWrite", "Store", "StoreError"]

FIRST_REVISION = 1
MAX_TXN_OPERATIONS = 128
MAX_HISTORY = 200_000

INVALID_ARGUMENT = 3
NOT_FOUND = 5
OUT_OF_RANGE = 11


class StoreError(Exception):
    """Raised when a call is refused.

    :param code: gRPC status code.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class Key(msgspec.Struct, frozen=True):
    """The latest value of a key and its revisions."""

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = 0


class Change(msgspec.Struct, frozen=True):
    """One put or deletion; ``after`` is ``None`` for a deletion."""

    key: bytes
    revision: int
    after: Key | None


class Lease(msgspec.Struct):
    """A granted lease."""

    ttl_s: int
    expires_at: float
    keys: set[bytes] = msgspec.field(default_factory=set)


class Condition(msgspec.Struct, frozen=True):
    """A comparison of a transaction; ``result`` is EQUAL, NOT_EQUAL, GREATER or LESS."""

    key: bytes
    target: str
    result: str
    operand: int | bytes


class PutWrite(msgspec.Struct, frozen=True):
    """A put of a transaction."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteWrite(msgspec.Struct, frozen=True):
    """A range deletion of a transaction; an empty ``end`` means the one key."""

    key: bytes
    end: bytes = b""


class Store:
    """Keys, leases and history behind one lock; ``changed`` is notified of each revision.

    A transaction increments the revision only if it changes a key; all of its changes carry the
    new revision. An expired or revoked lease deletes its keys in one revision.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.revision = FIRST_REVISION
        self.compacted = 0
        self.history: list[Change] = []
        self._clock = clock
        self._keys_by_name: dict[bytes, Key] = {}
        self._leases_by_id: dict[int, Lease] = {}
        self._lease_ids = itertools.count(7587000000000000001)

    def range(self, key: bytes, end: bytes) -> tuple[list[Key], int]:
        """Return the keys of a range, sorted, and the revision of the read."""
        with self.changed:
            self.expire_leases()
            return self._select(key, end), self.revision

    def txn(
        self,
        conditions: list[Condition],
        then: list[PutWrite | DeleteWrite],
        otherwise: list[PutWrite | DeleteWrite],
    ) -> tuple[bool, int, list[int]]:
        """Apply ``then`` or ``otherwise``.

        :return: whether all conditions held, the resulting revision, and for each write the
            number of keys it deleted.
        """
        with self.changed:
            self.expire_leases()
            conditions_hold = all(self._is_met(condition) for condition in conditions)
            writes = then if conditions_hold else otherwise
            self._check(writes)
            return conditions_hold, *self._apply(writes)

    def compact(self, revision: int) -> None:
        """Discard the history before ``revision``."""
        with self.changed:
            if revision <= self.compacted:
                raise StoreError(OUT_OF_RANGE, "mvcc: required revision has been compacted")
            if revision > self.revision:
                raise StoreError(OUT_OF_RANGE, "mvcc: required revision is a future revision")
            self.compacted = revision
            self.history = [c for c in self.history if c.revision >= revision]

    def changes_since(self, revision: int, key: bytes, end: bytes) -> tuple[list[Change], int]:
        """Return the changes of a range at or after ``revision``, and the store's revision."""
        with self.changed:
            self.expire_leases()
            first = bisect_left(self.history, revision, key=lambda change: change.revision)
            changes = itertools.islice(self.history, first, None)
            return [c for c in changes if _in_range(c.key, key, end)], self.revision

    def copy(self) -> "Store":
        """Return a new store with the current keys, without leases and history."""
        with self.changed:
            snapshot = Store(self._clock)
            snapshot.revision = self.revision
            snapshot._keys_by_name = dict(self._keys_by_name)
            return snapshot

    def grant(self, ttl_s: int, requested_id: int = 0) -> int:
        """Grant a lease."""
        if ttl_s <= 0:
            raise StoreError(OUT_OF_RANGE, "etcdserver: too large lease TTL")
        with self.changed:
            lease = requested_id or next(self._lease_ids)
            self._leases_by_id[lease] = Lease(ttl_s, self._clock() + ttl_s)
            return lease

    def keep_alive(self, lease: int) -> int:
        """Renew a lease; return its time to live in seconds, or 0 if there is no such lease."""
        with self.changed:
            self.expire_leases()
            active = self._leases_by_id.get(lease)
            if active is None:
                return 0
            active.expires_at = self._clock() + active.ttl_s
            return active.ttl_s

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        with self.changed:
            if lease not in self._leases_by_id:
                raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")
            keys = sorted(self._leases_by_id.pop(lease).keys)
            self._apply([DeleteWrite(key) for key in keys])

    def expire_leases(self) -> None:
        """Revoke the leases that have expired."""
        with self.changed:
            now = self._clock()
            for lease in [
                i for i, active in self._leases_by_id.items() if active.expires_at <= now
            ]:
                self.revoke(lease)

    def leases(self) -> list[int]:
        """Return the ids of the active leases."""
        with self.changed:
            return sorted(self._leases_by_id)

    def _select(self, key: bytes, end: bytes) -> list[Key]:
        if not end:
            return [self._keys_by_name[key]] if key in self._keys_by_name else []
        names = sorted(name for name in self._keys_by_name if _in_range(name, key, end))
        return [self._keys_by_name[name] for name in names]

    def _is_met(self, condition: Condition) -> bool:
        current = self._keys_by_name.get(condition.key)
        actual: int | bytes | None
        if condition.target == "VALUE":
            actual = current.value if current else None
            if actual is None:
                return False
        else:
            absent = Key(condition.key, b"", 0, 0, 0)
            field = {"MOD": "modified", "CREATE": "created", "VERSION": "version"}
            actual = getattr(current or absent, field[condition.target])
        return _compare(actual, condition.result, condition.operand)

    def _check(self, writes: list[PutWrite | DeleteWrite]) -> None:
        if len(writes) > MAX_TXN_OPERATIONS:
            raise StoreError(INVALID_ARGUMENT, "etcdserver: too many operations in txn request")
        puts = [w for w in writes if isinstance(w, PutWrite)]
        deletions = [w for w in writes if isinstance(w, DeleteWrite)]
        names = [put.key for put in puts]
        has_duplicates = len(set(names)) < len(names)
        if has_duplicates or any(
            _in_range(name, d.key, d.end) for name in names for d in deletions
        ):
            raise StoreError(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")
        if any(put.lease and put.lease not in self._leases_by_id for put in puts):
            raise StoreError(NOT_FOUND, "etcdserver: requested lease not found")

    def _apply(self, writes: list[PutWrite | DeleteWrite]) -> tuple[int, list[int]]:
        revision = self.revision + 1
        before = len(self.history)
        deleted = [self._write(write, revision) for write in writes]
        if len(self.history) > before:
            self.revision = revision
            if before > MAX_HISTORY:
                self.compact(self.history[before // 2].revision)
            self.changed.notify_all()
        return self.revision, deleted

    def _write(self, write: PutWrite | DeleteWrite, revision: int) -> int:
        if isinstance(write, DeleteWrite):
            deleted = self._select(write.key, write.end)
            for key in deleted:
                self._detach(key)
                del self._keys_by_name[key.key]
                self.history.append(Change(key.key, revision, None))
            return len(deleted)
        current = self._keys_by_name.get(write.key)
        if current is not None:
            self._detach(current)
        created = current.created if current else revision
        version = current.version + 1 if current else 1
        after = Key(write.key, write.value, created, revision, version, write.lease)
        self._keys_by_name[write.key] = after
        if write.lease:
            self._leases_by_id[write.lease].keys.add(write.key)
        self.history.append(Change(write.key, revision, after))
        return 0

    def _detach(self, key: Key) -> None:
        lease = self._leases_by_id.get(key.lease)
        if lease is not None:
            lease.keys.discard(key.key)


def _in_range(name: bytes, key: bytes, end: bytes) -> bool:
    if not end:
        return name == key
    return name >= key and (end == b"\0" or name < end)


def _compare(found: int | bytes, result: str, operand: int | bytes) -> bool:
    if result == "EQUAL":
        return found == operand
    if result == "NOT_EQUAL":
        return found != operand
    return found > operand if result == "GREATER" else found < operand  # type: ignore[operator]
