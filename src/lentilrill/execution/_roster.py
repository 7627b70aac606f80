"""Which endpoints of a pool have ever got orders, as kept in the store."""

import msgspec
from returns.result import Failure

from lentilrill.ids import EndpointId, PoolId, Revision
from lentilrill.store import Compare, FencedRecord, KeyValue, WriteResult
from lentilrill.telemetry import Event, log
from lentilrill.workloads import EndpointEntry

__all__ = ["Roster"]


class Roster:
    """Addresses of endpoints on which a task of the pool may run.

    Guard against a task that runs twice: a later owner must know every endpoint on which a task
    may still run, also one whose registration has vanished. So an endpoint is written here before
    its first order.
    """

    def __init__(self, kv: KeyValue, pool: PoolId, owner_key: str, token: Revision) -> None:
        self.address_by_id: dict[EndpointId, str] = {}
        self._pool = pool
        self._record = FencedRecord(kv, f"e/{pool}", Compare(owner_key, token))

    def load(self) -> bool:
        """Read what the former owner wrote; return whether it could be read."""
        read = self._record.read()
        if isinstance(read, Failure):
            log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=read.failure().reason)
            return False
        item = read.unwrap()
        if item is not None and item.value is not None:
            self.address_by_id = msgspec.json.decode(item.value, type=dict[EndpointId, str])
        return True

    def write(self, new: list[EndpointEntry], gone: list[EndpointId]) -> bool:
        """Add and drop endpoints; return ``False`` if the store knows a newer owner.

        If the store does not answer, nothing is changed, and ``new`` get no orders yet.
        """
        roster = {id: a for id, a in self.address_by_id.items() if id not in gone}
        roster.update({entry.id: entry.address for entry in new})
        written = self._record.write(msgspec.json.encode(roster))
        if written is WriteResult.DONE:
            self.address_by_id = roster
        return written is not WriteResult.NOT_OWNER
