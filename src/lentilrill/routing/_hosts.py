"""The slots of a pool's hosts in one zone."""

from collections.abc import Mapping

import msgspec

from lentilrill.ids import HostId, PlanId
from lentilrill.inner import Verdict
from lentilrill.routing._health import Health, HealthBook

__all__ = ["HostSlots"]

PROBE_SLOTS = 1


class _Host(msgspec.Struct):
    """One host.

    :param slots: number of concurrent jobs; 0 once the host no longer serves the pool.
    :param used: number of slots with a grant.
    :param shelf: number of free slots under which the host is indexed; 0 if it is not.
    """

    id: HostId
    slots: int = 0
    used: int = 0
    shelf: int = 0


class HostSlots:
    """Selects the host for the next job: the one with the most free slots, in rotation.

    Good hosts are indexed by their number of free slots, so that the cost of a selection does not
    depend on the number of hosts.
    """

    def __init__(self) -> None:
        self.health = HealthBook()
        self._hosts_by_id: dict[HostId, _Host] = {}
        self._shelves_by_free: dict[int, dict[HostId, None]] = {}
        self._most_slots = 0
        self._poor: dict[HostId, None] = {}
        self._used = 0
        self._free = 0
        self._capacity_now: int | None = None

    def configure(self, slots_by_host: Mapping[HostId, int], allowance: int) -> None:
        """Apply the hosts that serve the pool, and the maximum of ejected hosts."""
        for host in sorted(self._hosts_by_id.keys() | slots_by_host.keys()):
            self._known(host).slots = slots_by_host.get(host, 0)
        self._most_slots = max(slots_by_host.values(), default=0)
        self._capacity_now = None
        self.health.allowance = allowance
        self.health.settle(set(slots_by_host))
        for held in list(self._hosts_by_id.values()):
            self._shelve(held)
            self._drop_if_over(held)

    def allow(self, allowance: int) -> None:
        """Change the maximum of ejected hosts."""
        if allowance != self.health.allowance:
            self.configure({h.id: h.slots for h in self._serving()}, allowance)

    @property
    def usable(self) -> bool:
        """Whether some host can run a job, now or after a probe."""
        return self.capacity > 0 or bool(self.health.hosts(Health.EJECTED))

    @property
    def capacity(self) -> int:
        """Number of slots of the hosts that get jobs."""
        if self._capacity_now is None:
            self._capacity_now = sum(self._capacity(host) for host in self._serving())
        return self._capacity_now

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
        if not self._poor:
            return self._good(avoid) if self._free else None
        return self._probe(avoid, now) or self._good(avoid) or self._last(avoid, now)

    def knows(self, host: HostId) -> bool:
        """Return whether ``host`` serves the pool or has a slot with a grant."""
        return host in self._hosts_by_id

    def all_avoided(self, avoid: tuple[HostId, ...]) -> bool:
        """Return whether every host that gets jobs is in ``avoid``."""
        return all(h.id in avoid for h in self._serving() if self._capacity(h) > 0)

    def take(self, host: HostId) -> None:
        """Add one grant on ``host``."""
        held = self._known(host)
        held.used += 1
        self._used += 1
        self._shelve(held)

    def release(self, host: HostId) -> bool:
        """Remove one grant on ``host``; return ``False`` if there was none."""
        held = self._hosts_by_id.get(host)
        if held is None or held.used < 1:
            return False
        held.used -= 1
        self._used -= 1
        self._shelve(held)
        self._drop_if_over(held)
        return True

    def note(self, host: HostId, plan: PlanId, verdict: Verdict, now: float) -> bool:
        """Record the verdict on a serving host's job; return whether its health changed."""
        held = self._hosts_by_id.get(host)
        if held is None or held.slots < 1:
            return False
        changed = self.health.note(host, plan, verdict, now)
        if changed:
            self._capacity_now = None
            self._shelve(held)
        return changed

    def _known(self, host: HostId) -> _Host:
        if host not in self._hosts_by_id:
            self._hosts_by_id[host] = _Host(host)
        return self._hosts_by_id[host]

    def _serving(self) -> list[_Host]:
        return [host for host in self._hosts_by_id.values() if host.slots > 0]

    def contradiction(self) -> str:
        """Return a description of counts that disagree, or an empty string."""
        used = sum(host.used for host in self._hosts_by_id.values())
        if used != self._used or any(host.used < 0 for host in self._hosts_by_id.values()):
            return f"hosts use {used} slots, counted {self._used}"
        return ""

    def _drop_if_over(self, host: _Host) -> None:
        if host.slots < 1 and host.used < 1:
            del self._hosts_by_id[host.id]

    def _capacity(self, host: _Host) -> int:
        match self.health.health(host.id):
            case Health.GOOD:
                return host.slots
            case Health.LAST:
                return min(PROBE_SLOTS, host.slots)
            case _:
                return 0

    def _shelve(self, host: _Host) -> None:
        if host.shelf:
            self._shelves_by_free[host.shelf].pop(host.id, None)
        good = host.slots > 0 and self.health.health(host.id) is Health.GOOD
        self._free -= host.shelf
        host.shelf = max(0, host.slots - host.used) if good else 0
        self._free += host.shelf
        if host.shelf:
            self._shelves_by_free.setdefault(host.shelf, {})[host.id] = None
        if host.slots > 0 and not good:
            self._poor[host.id] = None
        else:
            self._poor.pop(host.id, None)

    def _probe(self, avoid: tuple[HostId, ...], now: float) -> HostId | None:
        for host in self._poor:
            if host in avoid or self.health.health(host) is Health.LAST:
                continue
            if self._may_probe(host, now):
                return host
        return None

    def _may_probe(self, host: HostId, now: float) -> bool:
        return self._hosts_by_id[host].used < PROBE_SLOTS and self.health.probe_due(host, now)

    def _good(self, avoid: tuple[HostId, ...]) -> HostId | None:
        for free in range(self._most_slots, 0, -1):
            for host in self._shelves_by_free.get(free, ()):
                if host not in avoid:
                    return host
        return None

    def _last(self, avoid: tuple[HostId, ...], now: float) -> HostId | None:
        for host in self._poor:
            if host in avoid or self.health.health(host) is not Health.LAST:
                continue
            if self._may_probe(host, now):
                return host
        return None
