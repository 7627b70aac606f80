"""Loads of a pool in other zones, as reported by their schedulers."""

from collections.abc import Iterable

import msgspec

from lentilrill.ids import ZoneId
from lentilrill.inner import PoolLoad

__all__ = ["OtherZones"]

MAX_LOAD_AGE_S = 2.5


class _Load(msgspec.Struct):
    load: PoolLoad
    received_at: float
    claimed: int = 0


class OtherZones:
    """Latest loads of one pool by zone."""

    def __init__(self) -> None:
        self._loads_by_zone: dict[ZoneId, _Load] = {}

    def update(self, load: PoolLoad, now: float) -> None:
        """Record a zone's load."""
        self._loads_by_zone[load.zone] = _Load(load, now)

    def claim(self, zones: Iterable[ZoneId], now: float) -> ZoneId | None:
        """Return the zone with the most free slots, and count one of them as used.

        Between two load reports a scheduler spills no more jobs to a zone than it reported free
        slots. Otherwise all zones would spill their jobs to the same few slots.

        :param zones: zones that the plan may use; empty means all.
        """
        allowed = set(zones)
        free_by_zone = {
            zone: entry.load.free - entry.claimed
            for zone, entry in self._loads_by_zone.items()
            if now - entry.received_at <= MAX_LOAD_AGE_S and (not allowed or zone in allowed)
        }
        best = max(free_by_zone, key=lambda zone: (free_by_zone[zone], zone), default=None)
        if best is None or free_by_zone[best] < 1:
            return None
        self._loads_by_zone[best].claimed += 1
        return best

    def ejected(self) -> int:
        """Return the number of hosts ejected in other zones, by their latest reports."""
        return sum(entry.load.ejected for entry in self._loads_by_zone.values())
