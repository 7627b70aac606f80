"""The slots of a pool's hosts in one zone."""

from collections.abc import Mapping

import msgspec

from lentilrill.ids import HostId, PlanId
from lentilrill.inner import Verdict
from lentilrill.routing._health import Health, HealthTable

__all__ = ["HostSlots"]

PROBE_SLOTS = 1


class _Host(msgspec.Struct):
    """One host.

    :param slots: number of concurrent jobs; 0 once the host no longer serves the pool.
    :param used: number of slots with a grant.
    :param indexed_free: number of free slots under which the host is indexed; 0 if it is not.
    """

    id: HostId
    slots: int = 0
    used: int = 0
    indexed_free: int = 0


class HostSlots:
    """Selects the host for the next job: the one with the most free slots, in rotation.

    Good hosts are indexed by their number of free slots, so that the cost of a selection does not
    depend on the number of hosts.
    """

    def __init__(self) -> None:
        self.health = HealthTable()
        self._hosts_by_id: dict[HostId, _Host] = {}
        self._hosts_by_free_slots: dict[int, dict[HostId, None]] = {}
        self._max_slots = 0
        self._unhealthy: dict[HostId, None] = {}
        self._used = 0
        self._free = 0
        self._capacity_cache: int | None = None

    def configure(
        self, slots_by_host: Mapping[HostId, int], max_ejected: int
    ) -> tuple[HostId, ...]:
        """Apply the hosts that serve the pool, and the maximum of ejected hosts.

        :return: the hosts that are no longer ejected, but a last resort.
        """
        for host in sorted(self._hosts_by_id.keys() | slots_by_host.keys()):
            self._get_or_add(host).slots = slots_by_host.get(host, 0)
        self._max_slots = max(slots_by_host.values(), default=0)
        self._capacity_cache = None
        self.health.max_ejected = max_ejected
        demoted = self.health.retain_hosts(set(slots_by_host))
        for record in list(self._hosts_by_id.values()):
            self._reindex(record)
            self._drop_if_unused(record)
        return demoted

    def set_max_ejected(self, max_ejected: int) -> tuple[HostId, ...]:
        """Change the maximum of ejected hosts.

        :return: the hosts that are no longer ejected, but a last resort.
        """
        if max_ejected == self.health.max_ejected:
            return ()
        return self.configure({h.id: h.slots for h in self._serving()}, max_ejected)

    @property
    def usable(self) -> bool:
        """Whether some host can run a job, now or after a probe."""
        return self.capacity > 0 or bool(self.health.hosts_with(Health.EJECTED))

    @property
    def capacity(self) -> int:
        """Number of slots of the hosts that get jobs."""
        if self._capacity_cache is None:
            self._capacity_cache = sum(self._slots_of(host) for host in self._serving())
        return self._capacity_cache

    @property
    def used(self) -> int:
        """Number of slots with a grant, including hosts that no longer serve the pool."""
        return self._used

    @property
    def free(self) -> int:
        """Number of free slots on good hosts."""
        return self._free

    def pick(self, avoid: tuple[HostId, ...], now: float) -> HostId | None:
        """Return the host for the next job, or ``None`` if no slot is free."""
        if not self._unhealthy:
            return self._pick_good(avoid) if self._free else None
        return (
            self._pick_probe(avoid, now)
            or self._pick_good(avoid)
            or self._pick_last_resort(avoid, now)
        )

    def is_tracked(self, host: HostId) -> bool:
        """Return whether ``host`` serves the pool or has a slot with a grant."""
        return host in self._hosts_by_id

    def all_avoided(self, avoid: tuple[HostId, ...]) -> bool:
        """Return whether every host that gets jobs is in ``avoid``."""
        return all(h.id in avoid for h in self._serving() if self._slots_of(h) > 0)

    def add_grant(self, host: HostId) -> None:
        """Add one grant on ``host``."""
        record = self._get_or_add(host)
        record.used += 1
        self._used += 1
        self._reindex(record)

    def remove_grant(self, host: HostId) -> bool:
        """Remove one grant on ``host``; return ``False`` if there was none."""
        record = self._hosts_by_id.get(host)
        if record is None or record.used < 1:
            return False
        record.used -= 1
        self._used -= 1
        self._reindex(record)
        self._drop_if_unused(record)
        return True

    def record_verdict(self, host: HostId, plan: PlanId, verdict: Verdict, now: float) -> bool:
        """Record the verdict on a serving host's job; return whether its health changed."""
        record = self._hosts_by_id.get(host)
        if record is None or record.slots < 1:
            return False
        changed = self.health.record_verdict(host, plan, verdict, now)
        if changed:
            self._capacity_cache = None
            self._reindex(record)
        return changed

    def _get_or_add(self, host: HostId) -> _Host:
        if host not in self._hosts_by_id:
            self._hosts_by_id[host] = _Host(host)
        return self._hosts_by_id[host]

    def _serving(self) -> list[_Host]:
        return [host for host in self._hosts_by_id.values() if host.slots > 0]

    def find_inconsistency(self) -> str:
        """Return a description of counts that disagree, or an empty string."""
        used = sum(host.used for host in self._hosts_by_id.values())
        if used != self._used or any(host.used < 0 for host in self._hosts_by_id.values()):
            return f"hosts use {used} slots, counted {self._used}"
        return ""

    def _drop_if_unused(self, host: _Host) -> None:
        if host.slots < 1 and host.used < 1:
            del self._hosts_by_id[host.id]

    def _slots_of(self, host: _Host) -> int:
        match self.health.health(host.id):
            case Health.GOOD:
                return host.slots
            case Health.LAST_RESORT:
                return min(PROBE_SLOTS, host.slots)
            case _:
                return 0

    def _reindex(self, host: _Host) -> None:
        if host.indexed_free:
            self._hosts_by_free_slots[host.indexed_free].pop(host.id, None)
        good = host.slots > 0 and self.health.health(host.id) is Health.GOOD
        self._free -= host.indexed_free
        host.indexed_free = max(0, host.slots - host.used) if good else 0
        self._free += host.indexed_free
        if host.indexed_free:
            self._hosts_by_free_slots.setdefault(host.indexed_free, {})[host.id] = None
        if host.slots > 0 and not good:
            self._unhealthy[host.id] = None
        else:
            self._unhealthy.pop(host.id, None)

    def _pick_probe(self, avoid: tuple[HostId, ...], now: float) -> HostId | None:
        for host in self._unhealthy:
            if host in avoid or self.health.health(host) is Health.LAST_RESORT:
                continue
            if self._may_probe(host, now):
                return host
        return None

    def _may_probe(self, host: HostId, now: float) -> bool:
        return self._hosts_by_id[host].used < PROBE_SLOTS and self.health.probe_due(host, now)

    def _pick_good(self, avoid: tuple[HostId, ...]) -> HostId | None:
        for free in range(self._max_slots, 0, -1):
            for host in self._hosts_by_free_slots.get(free, ()):
                if host not in avoid:
                    return host
        return None

    def _pick_last_resort(self, avoid: tuple[HostId, ...], now: float) -> HostId | None:
        for host in self._unhealthy:
            if host in avoid or self.health.health(host) is not Health.LAST_RESORT:
                continue
            if self._may_probe(host, now):
                return host
        return None
