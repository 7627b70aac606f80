"""Which endpoints of a pool have ever got orders, as kept in the store."""

import msgspec
from returns.result import Failure, Result

from lentilrill.faults import Fault
from lentilrill.ids import EndpointId, PoolId, Revision
from lentilrill.store import Compare, Item, KeyValue, Put
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
        self._kv = kv
        self._key = f"e/{pool}"
        self._pool = pool
        self._owner = Compare(owner_key, token)
        self._revision = Revision(0)
        self._is_known = False

    def load(self) -> bool:
        """Read what the former owner wrote; return whether it could be read."""
        item = self._read()
        if isinstance(item, Failure):
            return False
        found = item.unwrap()
        if found is not None and found.value is not None:
            self.address_by_id = msgspec.json.decode(found.value, type=dict[EndpointId, str])
        return True

    def write(self, new: list[EndpointEntry], gone: list[EndpointId]) -> bool:
        """Add and drop endpoints; return ``False`` if the store knows a newer owner.

        If the store does not answer, nothing is changed, and ``new`` get no orders yet.

        Guard against an older write that the store carries out late, over a newer one: endpoints
        of the newer one would be unknown to the next owner, which would start their tasks again
        elsewhere. Each write compares the revision that it replaces, so the late one fails.
        """
        if not self._is_known and isinstance(self._read(), Failure):
            return True
        roster = {id: a for id, a in self.address_by_id.items() if id not in gone}
        roster.update({entry.id: entry.address for entry in new})
        put = Put(self._key, msgspec.json.encode(roster))
        compares = (self._owner, Compare(self._key, self._revision))
        result = self._kv.commit(compares, (put,))
        if isinstance(result, Failure):
            self._is_known = False
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, reason=result.failure().reason)
            return True
        if not result.unwrap().succeeded:
            self._is_known = False
            log(Event.PROGRESS_NOT_STORED, pool=self._pool, reason="conditions")
            return self._is_owned()
        self._revision = result.unwrap().revision
        self.address_by_id = roster
        return True

    def _read(self) -> Result[Item | None, Fault]:
        """Read the record and take note of its revision."""
        read = self._kv.get(self._key)
        if isinstance(read, Failure):
            log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=read.failure().reason)
            return read
        item = read.unwrap()
        self._revision = item.revision if item is not None else Revision(0)
        self._is_known = True
        return read

    def _is_owned(self) -> bool:
        """Whether the pool is still this owner's, as far as the store can be read."""
        held = self._kv.get(self._owner.key)
        if isinstance(held, Failure):
            log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=held.failure().reason)
            return True
        item = held.unwrap()
        return item is not None and item.revision == self._owner.revision
