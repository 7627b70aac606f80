"""Writing of actions to the platform, with one compare-and-swap per pool."""

from collections.abc import Iterable, Mapping

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.fleet._actions import Action, Assign, Close, Drop, Return, Withdraw
from lentilrill.fleet._records import (
    AssignedRecord,
    DoneStop,
    HostEntry,
    HostPhase,
    PoolRecord,
    assigned_key,
    assigned_shard,
    pool_key,
)
from lentilrill.fleet._view import DOCUMENT_KEY
from lentilrill.ids import HostId, PoolId, Revision, StopId, ZoneId
from lentilrill.membership import zone_key
from lentilrill.store import Compare, DeleteRange, Item, KeyValue, Mirror, Put

__all__ = ["MAX_VALUE_BYTES", "Basis", "PoolRecordStore"]

MAX_VALUE_BYTES = 1_000_000
"""Limit of the platform for one value."""

STEP = "fleet.write"


class Basis(msgspec.Struct):
    """State that actions were computed from; a transaction fails if a part it compares changed.

    :param records: pool records with revisions; updated by own writes.
    :param zones: revisions of the zone records.
    :param declared: stops that the document declares.
    :param now: time of the planning round, in seconds since the epoch.
    """

    document_revision: Revision
    records: dict[PoolId, tuple[PoolRecord, Revision]]
    zones: Mapping[ZoneId, Revision]
    declared: frozenset[StopId]
    now: float


class PoolRecordStore:
    """Writer of pool records, which also offers each written record to the mirror.

    One transaction contains all actions of a pool in a round, so the number of calls grows with
    pools and not with hosts. It compares the revisions of every record that it changes, of the
    document and, when it closes a withdrawal, of the zone record whose members all acknowledged.

    A lost answer needs no special handling: if the write took effect, the revision has changed,
    the next attempt fails, and the mirror receives what was written.
    """

    def __init__(self, kv: KeyValue, mirror: Mirror) -> None:
        self._kv = kv
        self._mirror = mirror
        self._assigned_by_shard: dict[int, tuple[AssignedRecord, Revision]] = {}

    def create(self, pools: Iterable[PoolId], basis: Basis) -> Result[None, Fault]:
        """Create empty records for pools that have none."""
        missing = [pool for pool in pools if pool not in basis.records]
        if not missing:
            return Success(None)
        records = {pool: PoolRecord(pool) for pool in missing}
        return self._write(basis, records, frozenset(), {})

    def remove(self, pool: PoolId, basis: Basis) -> Result[None, Fault]:
        """Delete the empty record of a pool that the document no longer declares."""
        record, revision = basis.records[pool]
        if record.hosts:
            reason = f"the pool still has {len(record.hosts)} hosts"
            return Failure(Fault(STEP, "", FaultKind.REFUSED, reason))
        key = pool_key(pool)
        compares = (Compare(DOCUMENT_KEY, basis.document_revision), Compare(key, revision))
        answer = self._kv.commit(compares, (DeleteRange(key),))
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        if not answer.unwrap().succeeded:
            return Failure(Fault(STEP, "", FaultKind.CONFLICT, "a compared record has changed"))
        del basis.records[pool]
        self._mirror.merge((Item(key, None, answer.unwrap().revision),))
        return Success(None)

    def apply(self, pool: PoolId, actions: list[Action], basis: Basis) -> Result[None, Fault]:
        """Write all ``actions`` of one pool; moves to other pools are written by :meth:`move`."""
        record = basis.records[pool][0]
        entries = record.hosts_by_id()
        zones: set[ZoneId] = set()
        added: list[HostId] = []
        dropped: list[HostId] = []
        for action in actions:
            if isinstance(action, Assign):
                added.append(action.host)
                entries[action.host] = _new_entry(action)
                continue
            entry = entries[action.host]
            if isinstance(action, Drop):
                dropped.append(action.host)
                del entries[action.host]
                continue
            if isinstance(action, Close):
                zones.add(entry.zone)
            entries[action.host] = _updated_entry(entry, action, basis, basis.records[pool][1])
        shards = self._updated_shards(added, dropped)
        if isinstance(shards, Failure):
            return Failure(shards.failure())
        records = {pool: PoolRecord(pool, tuple(entries.values()))}
        return self._write(basis, records, frozenset(zones), shards.unwrap())

    def move(
        self, pool: PoolId, target: PoolId, hosts: list[HostId], basis: Basis
    ) -> Result[None, Fault]:
        """Move acknowledged hosts from one pool record to another in one transaction."""
        leaving = set(hosts)
        source, destination = basis.records[pool][0], basis.records[target][0]
        moved = tuple(
            msgspec.structs.replace(
                entry, phase=HostPhase.SERVING, target=None, stop=None, proposed=0.0
            )
            for entry in source.hosts
            if entry.id in leaving
        )
        records = {
            pool: PoolRecord(pool, tuple(e for e in source.hosts if e.id not in leaving)),
            target: PoolRecord(target, destination.hosts + moved),
        }
        return self._write(basis, records, frozenset(e.zone for e in moved), {})

    def _updated_shards(
        self, added: list[HostId], dropped: list[HostId]
    ) -> Result[dict[int, AssignedRecord], Fault]:
        """Return the updated shards for hosts that are added or dropped.

        Two controllers whose views differ in age may both see a host as unassigned and add it to
        different pools. Both must write the single shard of the host, so the second write fails;
        and a host that its shard already contains is not added again.
        """
        changed: dict[int, set[HostId]] = {}
        for host in [*added, *dropped]:
            shard = assigned_shard(host)
            if shard not in changed:
                current = self._read_shard(shard)
                if isinstance(current, Failure):
                    return Failure(current.failure())
                changed[shard] = set(current.unwrap().hosts)
            if host in added and host in changed[shard]:
                self.clear_cache()
                reason = f"host {host} is assigned in a record that has not been received yet"
                return Failure(Fault(STEP, "", FaultKind.CONFLICT, reason))
            if host in added:
                changed[shard].add(host)
            else:
                changed[shard].discard(host)
        return Success({s: AssignedRecord(tuple(sorted(hosts))) for s, hosts in changed.items()})

    def _read_shard(self, shard: int) -> Result[AssignedRecord, Fault]:
        current = self._assigned_by_shard.get(shard)
        if current is not None:
            return Success(current[0])
        key = assigned_key(shard)
        answer = self._kv.read(key)
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        record, revision = AssignedRecord(), Revision(0)
        for item in answer.unwrap().items:
            if item.key == key and item.value is not None:
                record = msgspec.json.decode(item.value, type=AssignedRecord)
                revision = item.revision
        self._assigned_by_shard[shard] = (record, revision)
        return Success(record)

    def clear_cache(self) -> None:
        """Clear the cached shards; the next use reads them again."""
        self._assigned_by_shard.clear()

    def _write(
        self,
        basis: Basis,
        records: dict[PoolId, PoolRecord],
        zones: frozenset[ZoneId],
        shards: dict[int, AssignedRecord],
    ) -> Result[None, Fault]:
        compares = [Compare(DOCUMENT_KEY, basis.document_revision)]
        puts: list[Put | DeleteRange] = []
        for pool, record in records.items():
            current = basis.records.get(pool)
            compares.append(Compare(pool_key(pool), current[1] if current else Revision(0)))
            puts.append(Put(pool_key(pool), msgspec.json.encode(record)))
        for zone in sorted(zones):
            compares.append(Compare(zone_key(zone), basis.zones.get(zone, Revision(0))))
        for shard, assigned in shards.items():
            compares.append(Compare(assigned_key(shard), self._assigned_by_shard[shard][1]))
            puts.append(Put(assigned_key(shard), msgspec.json.encode(assigned)))
        for put in puts:
            if isinstance(put, Put) and len(put.value) > MAX_VALUE_BYTES:
                reason = f"{put.key} would have {len(put.value)} bytes"
                return Failure(Fault(STEP, "", FaultKind.INVALID, reason))
        answer = self._kv.commit(tuple(compares), tuple(puts))
        if isinstance(answer, Failure):
            self.clear_cache()
            return Failure(answer.failure())
        outcome = answer.unwrap()
        if not outcome.succeeded:
            self.clear_cache()
            return Failure(Fault(STEP, "", FaultKind.CONFLICT, "a compared record has changed"))
        for shard, assigned in shards.items():
            self._assigned_by_shard[shard] = (assigned, outcome.revision)
        basis.records.update({p: (r, outcome.revision) for p, r in records.items()})
        self._mirror.merge(
            Item(put.key, put.value, outcome.revision)
            for put in puts
            if isinstance(put, Put) and put.key.startswith("state/")
        )
        return Success(None)


def _new_entry(action: Assign) -> HostEntry:
    info = action.info
    return HostEntry(
        info.id,
        info.address,
        info.zone,
        info.rack,
        cores=info.cores,
        memory_gb=info.memory_gb,
        accelerators=info.accelerators,
    )


def _updated_entry(
    entry: HostEntry, action: Withdraw | Close | Return, basis: Basis, revision: Revision
) -> HostEntry:
    if isinstance(action, Withdraw):
        return msgspec.structs.replace(
            entry,
            phase=HostPhase.WITHDRAWING,
            target=action.target,
            stop=action.stop,
            proposed=basis.now,
            after=revision,
            done=tuple(d for d in entry.done if d.stop in basis.declared),
        )
    if isinstance(action, Close):
        return msgspec.structs.replace(entry, phase=HostPhase.STOPPED, since=action.since)
    done = entry.done
    if action.done and entry.stop is not None:
        done = (*done, DoneStop(entry.stop, entry.proposed, basis.now))
    returned = msgspec.structs.replace(
        entry, phase=HostPhase.SERVING, target=None, stop=None, proposed=0.0, done=done
    )
    info = action.info
    if info is None:
        return returned
    return msgspec.structs.replace(
        returned,
        address=info.address,
        rack=info.rack,
        cores=info.cores,
        memory_gb=info.memory_gb,
        accelerators=info.accelerators,
    )
