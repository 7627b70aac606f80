"""The members and the owners of shards, as last read from the store."""

import msgspec

from lentilrill.ids import ProcessId, Revision
from lentilrill.ownership._members import (
    MEMBER_PREFIX,
    OWNER_PREFIX,
    MemberRecord,
    OwnerRecord,
    Shard,
)
from lentilrill.store import Item

__all__ = ["StoredOwner", "StoredRecords"]


class StoredOwner(msgspec.Struct, frozen=True):
    """The owner of a shard and the revision of its key, which is the fencing token."""

    record: OwnerRecord
    token: Revision


class StoredRecords:
    """Cached records of members and owners. Not thread-safe.

    :ivar records_since: revision from which on every owner stores a record before the first start
        of a job; hosts of an earlier version don't, so ``None`` while one of them is registered.
    """

    def __init__(self) -> None:
        self.members_by_process: dict[ProcessId, MemberRecord] = {}
        self.owners_by_shard: dict[Shard, StoredOwner] = {}
        self.records_since: Revision | None = None

    def clear(self) -> None:
        """Drop all records, before a full read is applied."""
        self.members_by_process = {}
        self.owners_by_shard = {}
        self.records_since = None

    def apply(self, items: tuple[Item, ...], read_revision: Revision) -> None:
        """Apply changes.

        :param read_revision: revision of the last full read.
        """
        for item in items:
            self._apply(item)
        self._update_records_since(items, read_revision)

    def process_by_shard(self) -> dict[Shard, ProcessId]:
        """Return the process that owns each shard with an owner."""
        return {shard: owner.record.process for shard, owner in self.owners_by_shard.items()}

    def _apply(self, item: Item) -> None:
        is_owner = item.key.startswith(OWNER_PREFIX)
        name = item.key.removeprefix(OWNER_PREFIX if is_owner else MEMBER_PREFIX)
        if is_owner:
            self.owners_by_shard.pop(Shard(name), None)
            if item.value is not None:
                record = msgspec.json.decode(item.value, type=OwnerRecord)
                self.owners_by_shard[Shard(name)] = StoredOwner(record, item.revision)
            return
        self.members_by_process.pop(ProcessId(name), None)
        if item.value is not None:
            member = msgspec.json.decode(item.value, type=MemberRecord)
            self.members_by_process[ProcessId(name)] = member

    def _update_records_since(self, items: tuple[Item, ...], read_revision: Revision) -> None:
        members = self.members_by_process.values()
        if not all(member.records_starts for member in members):
            self.records_since = None
        elif self.records_since is None:
            newest = max((item.revision for item in items), default=Revision(0))
            self.records_since = max(newest, read_revision)
