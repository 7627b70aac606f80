"""Stored list of the endpoints to which a pool's owners have given orders."""

from collections.abc import Container, Mapping

import msgspec
from returns.result import Failure

from lentilrill.ids import EndpointId, PoolId, Revision
from lentilrill.store import DECODE_ERRORS, Compare, FencedRecord, KeyValue, WriteResult
from lentilrill.telemetry import Event, log
from lentilrill.workloads import EndpointEntry

__all__ = ["EndpointList"]


class EndpointList:
    """Addresses of the endpoints on which a task of the pool may run.

    A later owner must find every endpoint on which a task may still run, including those whose
    registration has disappeared, or it would start the task a second time. Therefore an endpoint
    is stored here before its first order.

    :ivar address_by_id: endpoints that certainly are on the stored list.
    :ivar is_uncertain: whether the stored list may have more, since a write got no answer.
    :ivar settled_started_ms_by_id: start time of the settled process of each endpoint, as far as
        known: the one that no call to a former process reaches any more. Another process may hold
        leases that such calls gave.
    :ivar settled_starts_read: whether what previous owners stored of these was read.
    :ivar has_unstored_starts: whether some of them are not stored yet.
    """

    def __init__(self, kv: KeyValue, pool: PoolId, owner_key: str, token: Revision) -> None:
        self.address_by_id: dict[EndpointId, str] = {}
        self.is_uncertain = False
        self._pool = pool
        owner = Compare(owner_key, token)
        self._record = FencedRecord(kv, f"e/{pool}", owner)
        self.settled_started_ms_by_id: dict[EndpointId, int] = {}
        self._settled_starts_record = FencedRecord(kv, f"f/{pool}", owner)
        self.settled_starts_read = False
        self.has_unstored_starts = False

    def load(self) -> bool:
        """Read the previous owner's list; return whether it could be read."""
        read = self._record.read()
        if isinstance(read, Failure):
            log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=read.failure().reason)
            return False
        item = read.unwrap()
        if item is not None and item.value is not None:
            self.address_by_id = msgspec.json.decode(item.value, type=dict[EndpointId, str])
        return True

    def load_settled_starts(self) -> None:
        """Read the start times that previous owners stored, if the store answers."""
        read = self._settled_starts_record.read()
        if isinstance(read, Failure):
            log(Event.SHARD_NOT_LOADED, shard=self._pool, reason=read.failure().reason)
            return
        self.settled_starts_read = True
        item = read.unwrap()
        if item is None or item.value is None:
            return
        try:
            stored = msgspec.json.decode(item.value, type=dict[EndpointId, int])
        except DECODE_ERRORS as error:
            log(Event.RECORD_ODD, key=item.key, reason=str(error))
            return
        self.settled_started_ms_by_id |= stored

    def write(self, new: list[EndpointEntry], gone: list[EndpointId]) -> bool:
        """Add and remove endpoints; return ``False`` if the store has a newer owner.

        If the store does not answer, only endpoints of both versions get orders, until one of them
        is known to be stored.
        """
        updated = {id: address for id, address in self.address_by_id.items() if id not in gone}
        updated.update({entry.id: entry.address for entry in new})
        written = self._record.write(msgspec.json.encode(updated))
        self.is_uncertain = written is not WriteResult.DONE
        if self.is_uncertain:
            former = self.address_by_id.items()
            updated = {id: address for id, address in former if updated.get(id) == address}
        self.address_by_id = updated
        return written is not WriteResult.NOT_OWNER

    def replace_settled_starts(self, started_ms_by_id: Mapping[EndpointId, int]) -> bool:
        """Name processes as the first, since calls to former ones don't matter any more.

        :return: whether that changes anything.
        """
        changed = {
            id: started_ms
            for id, started_ms in started_ms_by_id.items()
            if id in self.address_by_id and self.settled_started_ms_by_id.get(id) != started_ms
        }
        self.settled_started_ms_by_id |= changed
        return bool(changed)

    def write_settled_starts(
        self, new: list[EndpointEntry], kept: Container[EndpointId], *, keeps_all: bool
    ) -> bool:
        """Store the start times of new endpoints; return ``False`` if the store has a newer owner.

        Without its start time an endpoint counts as one that may have started again.

        :param new: endpoints that no previous owner can have called.
        :param kept: endpoints that are gone and may still get calls under their id.
        :param keeps_all: whether all others may as well, by calls of previous owners.
        """
        self.has_unstored_starts = True
        if not self.settled_starts_read:
            # What previous owners stored must not be replaced.
            self.load_settled_starts()
        updated = {
            id: started_ms
            for id, started_ms in self.settled_started_ms_by_id.items()
            if keeps_all or id in self.address_by_id or id in kept
        }
        for entry in new:
            updated.setdefault(entry.id, entry.started_ms)
        self.settled_started_ms_by_id = updated
        if not self.settled_starts_read:
            return True
        written = self._settled_starts_record.write(msgspec.json.encode(updated))
        self.has_unstored_starts = written is not WriteResult.DONE
        return written is not WriteResult.NOT_OWNER
