"""Assignment of pools to the gateways that schedule them, and the gateways of each zone."""

import threading

from lentilrill.ids import PoolId, ZoneId
from lentilrill.inner import Batch
from lentilrill.membership import Liveness, Member, MembershipList, Role, ranked
from lentilrill.routing._queue import GatewayInstance

__all__ = ["Placement", "instance_of", "sender_of"]


def instance_of(member: Member) -> GatewayInstance:
    """Return the gateway instance of a member."""
    return GatewayInstance(member.process, member.incarnation, member.inner)


def sender_of(batch: Batch) -> GatewayInstance:
    """Return the gateway instance that sent ``batch``."""
    return GatewayInstance(batch.sender, batch.incarnation, batch.reply_to)


class Placement:
    """The gateways and schedulers of each zone, computed once for each membership change."""

    def __init__(self, membership: MembershipList) -> None:
        self._membership = membership
        self._lock = threading.Lock()
        self._gateways_by_zone: dict[ZoneId, tuple[Member, ...]] = {}
        self._schedulers: dict[tuple[PoolId, ZoneId], list[Member]] = {}
        self._members_by_instance: dict[GatewayInstance, Member] = {}
        self._instances: set[GatewayInstance] = set()
        self.refresh()

    @property
    def me(self) -> Member:
        """This process."""
        return self._membership.me

    @property
    def zones(self) -> tuple[ZoneId, ...]:
        """Zones with a live gateway."""
        return tuple(self._gateways_by_zone)

    def gateways(self, zone: ZoneId) -> tuple[Member, ...]:
        """Return the live gateways of ``zone``."""
        return self._gateways_by_zone.get(zone, ())

    def controllers(self) -> tuple[Member, ...]:
        """Return the live controllers of this zone."""
        return self._membership.alive(Role.CONTROLLER, self.me.zone)

    def instances(self) -> set[GatewayInstance]:
        """Return the instances of the live gateways of this zone."""
        return self._instances

    def scheduler(self, pool: PoolId, zone: ZoneId | None = None) -> Member | None:
        """Return the process that schedules ``pool`` in ``zone``, by default in this zone."""
        schedulers = self._ranked_schedulers(pool, zone or self.me.zone)
        return schedulers[0] if schedulers else None

    def next_scheduler(self, pool: PoolId) -> Member | None:
        """Return the process that takes over ``pool`` in this zone if its scheduler ends."""
        schedulers = self._ranked_schedulers(pool, self.me.zone)
        return schedulers[1] if len(schedulers) > 1 else None

    def _ranked_schedulers(self, pool: PoolId, zone: ZoneId) -> list[Member]:
        key = (pool, zone)
        schedulers = self._schedulers
        if key not in schedulers:
            # Read under the lock, so that the result belongs to the membership that this dict
            # was created for; a refresh in between would leave an old result in the new dict.
            with self._lock:
                schedulers = self._schedulers
                schedulers[key] = ranked("/".join(key), self.gateways(zone))[:2]
        return schedulers[key]

    def is_mine(self, pool: PoolId) -> bool:
        """Return whether this process schedules ``pool`` in its zone."""
        scheduler = self.scheduler(pool)
        return scheduler is not None and scheduler.process == self.me.process

    def is_gone(self, instance: GatewayInstance) -> bool:
        """Return whether a gateway has certainly ended: it is gone, or a newer one replaced it."""
        if any(
            member.process == instance.process and member.incarnation > instance.incarnation
            for member in self.gateways(self.me.zone)
        ):
            return True
        member = self._members_by_instance.get(instance)
        return member is not None and self._membership.liveness(member) is Liveness.GONE

    def refresh(self) -> bool:
        """Read the current membership; return whether the gateways changed."""
        by_zone: dict[ZoneId, list[Member]] = {}
        for member in self._membership.alive(Role.GATEWAY):
            by_zone.setdefault(member.zone, []).append(member)
        gateways_by_zone = {zone: tuple(members) for zone, members in by_zone.items()}
        with self._lock:
            if gateways_by_zone == self._gateways_by_zone:
                return False
            self._gateways_by_zone = gateways_by_zone
            self._schedulers = {}
            members = gateways_by_zone.get(self.me.zone, ())
            self._instances = {instance_of(member) for member in members}
            self._add_members(members)
        return True

    def _add_members(self, members: tuple[Member, ...]) -> None:
        # A gateway's grants stay valid after it stops being alive, so its member record is kept
        # until it has certainly ended and its grants are freed.
        for member in members:
            self._members_by_instance[instance_of(member)] = member

    def forget(self, keep: set[GatewayInstance]) -> None:
        """Remove the records of ended gateways except those in ``keep``, which hold grants."""
        alive = self.instances()
        with self._lock:
            for instance in self._members_by_instance.keys() - keep - alive:
                del self._members_by_instance[instance]
