"""The members and the owners of shards, as last read from the store."""

import msgspec

from lentilrill.ids import LeaseId, ProcessId, Revision
from lentilrill.ownership._members import (
    MEMBER_PREFIX,
    OWNER_PREFIX,
    MemberRecord,
    OwnerRecord,
    Shard,
)
from lentilrill.ownership._owner_keys import NO_OWNER
from lentilrill.store import Compare, Item
from lentilrill.telemetry import Event, log

__all__ = ["StoredOwner", "StoredRecords"]


class StoredOwner(msgspec.Struct, frozen=True):
    """The owner of a shard and the revision of its key, which is the fencing token.

    :param lease: lease that the key is bound to. ``None`` if the key is bound to none, as hosts of
        an earlier version wrote some: such a key remains after its owner has ended.
    """

    record: OwnerRecord
    token: Revision
    lease: LeaseId | None


class StoredRecords:
    """Cached records of members and owners. Not thread-safe.

    :ivar records_since: revision from which on every owner stores a record before the first start
        of a job; hosts of an earlier version don't, so ``None`` while one of them is registered.
    """

    def __init__(self) -> None:
        self.members_by_process: dict[ProcessId, MemberRecord] = {}
        self.owners_by_shard: dict[Shard, StoredOwner] = {}
        self.records_since: Revision | None = None
        self._applied_revision = Revision(0)
        self._member_revisions: dict[ProcessId, Revision] = {}

    def clear(self) -> None:
        """Drop all records, before a full read is applied."""
        self.members_by_process = {}
        self._member_revisions = {}
        self.owners_by_shard = {}
        self.records_since = None

    def apply(self, items: tuple[Item, ...], read_revision: Revision) -> None:
        """Apply changes.

        :param read_revision: revision of the last full read.
        """
        for item in items:
            self._apply(item)
        newest = max((item.revision for item in items), default=Revision(0))
        self._applied_revision = max(self._applied_revision, newest, read_revision)
        self._update_records_since(items, read_revision)

    def add_written(self, shard: Shard, owner: StoredOwner) -> None:
        """Add an owner that this process has written, before the watch shows it.

        If the watch is past that write, the records already show what has become of the key since:
        it may be gone, if the answer to the write took long.
        """
        if owner.token > self._applied_revision:
            self.owners_by_shard[shard] = owner

    def process_by_shard(self) -> dict[Shard, ProcessId]:
        """Return the process that owns each shard with an owner."""
        return {
            shard: owner.record.process
            for shard, owner in self.owners_by_shard.items()
            if not self.has_ended(owner)
        }

    def has_ended(self, owner: StoredOwner) -> bool:
        """Whether an owner whose key outlives it has ended: its process isn't a member any more.

        Its member record is bound to its lease, and the key of any other owner is gone with it.
        """
        if owner.lease is not None:
            return False
        member = self.members_by_process.get(owner.record.process)
        return member is None or member.incarnation != owner.record.incarnation

    def claim_conditions(self, shard: Shard) -> tuple[Compare, ...] | None:
        """Return the conditions under which a shard may be claimed; ``None`` if it has an owner.

        That an owner has ended must still hold when the claim is carried out: its process may have
        registered again since these records were read.
        """
        key = OWNER_PREFIX + shard
        owner = self.owners_by_shard.get(shard)
        if owner is None:
            return (Compare(key, NO_OWNER),)
        if not self.has_ended(owner):
            return None
        process = owner.record.process
        revision = self._member_revisions.get(process, Revision(0))
        return (Compare(key, owner.token), Compare(MEMBER_PREFIX + process, revision))

    def _apply(self, item: Item) -> None:
        is_owner = item.key.startswith(OWNER_PREFIX)
        name = item.key.removeprefix(OWNER_PREFIX if is_owner else MEMBER_PREFIX)
        if is_owner:
            self.owners_by_shard.pop(Shard(name), None)
            if item.value is not None:
                record = msgspec.json.decode(item.value, type=OwnerRecord)
                self.owners_by_shard[Shard(name)] = StoredOwner(record, item.revision, item.lease)
            return
        self.members_by_process.pop(ProcessId(name), None)
        self._member_revisions.pop(ProcessId(name), None)
        if item.value is not None:
            self._member_revisions[ProcessId(name)] = item.revision
            member = msgspec.json.decode(item.value, type=MemberRecord)
            if not member.lease:
                # Written by an earlier version after its lease had ended; it would stay for good.
                log(Event.RECORD_ODD, key=item.key, reason="a member without a lease")
                return
            self.members_by_process[ProcessId(name)] = member

    def _update_records_since(self, items: tuple[Item, ...], read_revision: Revision) -> None:
        members = self.members_by_process.values()
        if not all(member.records_starts for member in members):
            self.records_since = None
        elif self.records_since is None:
            newest = max((item.revision for item in items), default=Revision(0))
            self.records_since = max(newest, read_revision)
