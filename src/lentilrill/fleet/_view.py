"""Decoded view of the mirrored state: document, pools and zones."""

import threading
from collections.abc import Callable

import msgspec

from lentilrill.fleet._records import HostEntry, PoolRecord
from lentilrill.ids import HostId, PoolId, Revision, ZoneId
from lentilrill.membership import ZoneRecord
from lentilrill.settings import Document
from lentilrill.store import Item, Mirror

__all__ = ["DOCUMENT_KEY", "FleetView"]

DOCUMENT_KEY = "state/document"
POOL_PREFIX = "state/pools/"
ZONE_PREFIX = "state/zones/"


class FleetView:
    """The newest received document, pool records and zone records, decoded once per change.

    Keys in the mirror are relative to the system's prefix on the platform. If a record can't be
    decoded, its previous value is kept and ``undecodable`` is incremented.
    """

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.undecodable = 0
        self._lock = threading.Lock()
        self._document = Document()
        self._document_revision = Revision(0)
        self._pools_by_id: dict[PoolId, tuple[PoolRecord, Revision]] = {}
        self._zones_by_id: dict[ZoneId, tuple[ZoneRecord, Revision]] = {}
        self._hosts_by_id: dict[HostId, tuple[PoolId, HostEntry]] = {}
        self._listeners: list[Callable[[], None]] = []
        mirror.subscribe(self._refresh)

    @property
    def ready(self) -> bool:
        """Whether a document and the complete state have been received."""
        return self.mirror.complete_to > 0 and self._document_revision > 0

    @property
    def document(self) -> Document:
        """The newest document of the operators that this process has received."""
        return self._document

    @property
    def document_revision(self) -> Revision:
        """Revision of :attr:`document`; 0 before the first document."""
        return self._document_revision

    @property
    def pools_by_id(self) -> dict[PoolId, tuple[PoolRecord, Revision]]:
        """Pool records with their revisions. Copied on write: don't modify."""
        return self._pools_by_id

    @property
    def zones_by_id(self) -> dict[ZoneId, tuple[ZoneRecord, Revision]]:
        """Zone records with their revisions. Copied on write: don't modify."""
        return self._zones_by_id

    @property
    def hosts_by_id(self) -> dict[HostId, tuple[PoolId, HostEntry]]:
        """Every host with its pool. Copied on write: don't modify."""
        return self._hosts_by_id

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def _refresh(self, changed: tuple[Item, ...]) -> None:
        with self._lock:
            pools, zones = dict(self._pools_by_id), dict(self._zones_by_id)
            for item in changed:
                self._apply(item, pools, zones)
            self._zones_by_id = zones
            if pools != self._pools_by_id:
                self._pools_by_id = pools
                self._hosts_by_id = {
                    entry.id: (pool, entry)
                    for pool, (record, _) in pools.items()
                    for entry in record.hosts
                }
        for listener in list(self._listeners):
            listener()

    def _apply(
        self,
        item: Item,
        pools: dict[PoolId, tuple[PoolRecord, Revision]],
        zones: dict[ZoneId, tuple[ZoneRecord, Revision]],
    ) -> None:
        try:
            if item.key == DOCUMENT_KEY and item.value is not None:
                if item.revision > self._document_revision:
                    self._document = msgspec.json.decode(item.value, type=Document)
                    self._document_revision = item.revision
            elif item.key.startswith(POOL_PREFIX):
                _put(pools, PoolId(item.key[len(POOL_PREFIX) :]), item, PoolRecord)
            elif item.key.startswith(ZONE_PREFIX):
                _put(zones, ZoneId(item.key[len(ZONE_PREFIX) :]), item, ZoneRecord)
        except msgspec.MsgspecError:
            self.undecodable += 1


def _put(records: dict, key: str, item: Item, kind: type) -> None:
    current = records.get(key)
    if current is not None and current[1] > item.revision:
        return
    if item.value is None:
        records.pop(key, None)
        return
    records[key] = (msgspec.json.decode(item.value, type=kind), item.revision)
