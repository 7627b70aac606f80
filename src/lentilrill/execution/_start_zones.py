"""Availability zones in which the tasks of a job may have been started, as its record tells."""

from collections.abc import Iterable

from lentilrill.ids import ZoneId

__all__ = ["UNKNOWN_ZONE", "StartZones", "Zones"]

Zones = frozenset[ZoneId] | None
"""A set of availability zones; ``None`` for any zone."""
NOWHERE: frozenset[ZoneId] = frozenset()
UNKNOWN_ZONE = ZoneId("")
"""Zone of an endpoint that isn't registered and of which no listing of hosts tells more."""


class StartZones:
    """Zones of one job's runs, stored with its progress before a task is started there.

    Load pattern: a zone is cut off in the middle of a surge, and with it the owner of a pool. The
    next owner can't tell what runs in that zone until all leases there have expired. By the zones
    in its record a job that was never started there goes on at once.

    :ivar is_awaited: whether a start waits for the next version of the record.

    The invariant: wherever a start may be executed, its zone is in every version of the record that
    may be in the store. So a start in any other zone waits until a version with that zone is
    stored, and while a commit is in flight only the zones of both versions are permitted.
    """

    __slots__ = ("_inherited", "_permitted", "is_awaited")

    def __init__(self) -> None:
        self._permitted: Zones = NOWHERE
        self._inherited: Zones = None
        self.is_awaited = False

    def restore(self, zones: list[ZoneId] | None) -> None:
        """Take the zones from the record of a previous owner."""
        self._permitted = self._inherited = None if zones is None else frozenset(zones)

    def permits(self, zone: ZoneId) -> bool:
        """Whether a task may be started in a zone without storing another record first."""
        return self._permitted is None or zone in self._permitted

    def may_run_in(self, zones: frozenset[ZoneId]) -> bool:
        """Whether a previous owner may have started a task in one of these zones."""
        if not zones or self._inherited == NOWHERE:
            return False
        if self._inherited is None or UNKNOWN_ZONE in zones:
            return True
        return not self._inherited.isdisjoint(zones)

    @property
    def knows_all_runs(self) -> bool:
        """Whether all runs of previous owners are known or have ended."""
        return self._inherited == NOWHERE

    def forget_inherited(self) -> None:
        """Note that all runs of previous owners are known or have ended."""
        self._inherited = NOWHERE

    def to_store(self, run_zones: Iterable[ZoneId], *, is_started: bool) -> list[ZoneId] | None:
        """Return the zones for the next version of the record.

        A job without runs keeps its zones, so that its next step starts without another commit.
        One that hasn't begun may start anywhere, also while the store doesn't answer.

        :param run_zones: zones of the runs that this owner knows of.
        """
        zones = frozenset(run_zones)
        if UNKNOWN_ZONE in zones or not is_started or self._inherited is None:
            return None
        zones |= self._inherited
        if zones:
            return sorted(zones)
        return None if self._permitted is None else sorted(self._permitted)

    def on_commit(self, zones: list[ZoneId] | None) -> None:
        """Note that a version with these zones is being stored, and may or may not take effect."""
        if zones is None:
            return
        committed = frozenset(zones)
        self._permitted = committed if self._permitted is None else self._permitted & committed

    def on_stored(self, zones: list[ZoneId] | None) -> None:
        """Note that a version with these zones is stored."""
        self.is_awaited = False
        self._permitted = None if zones is None else frozenset(zones)
