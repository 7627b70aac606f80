"""State of one pool during a planning round: its hosts by condition."""

from collections import Counter
from enum import Enum

from lentilrill.fleet._budget import Promise
from lentilrill.fleet._records import HostEntry
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.settings import Pool

__all__ = ["Standing", "Tally"]


class Standing(Enum):
    """Current condition of a host. All but ``AVAILABLE`` use availability budget."""

    AVAILABLE = "available"
    TROUBLED = "troubled"
    """Ejected by a scheduler, or suspected to have failed."""
    FAILED = "failed"
    """Missing from the host list."""
    LEAVING = "leaving"
    """Announced as leaving by the platform or its endpoint, or listed with a new address."""
    WITHDRAWING = "withdrawing"
    STOPPED = "stopped"


class Tally:
    """Hosts of one pool and their counts, which each planned action updates.

    :ivar returning: hosts whose withdrawal this planning round cancels; no other action of the
        round uses them.
    :ivar retiring: serving hosts that are to be retired.
    :ivar lasting: hosts that serve, or will serve again after a planned stop.
    :ivar incoming: hosts that are being withdrawn from other pools to move to this one.
    """

    def __init__(self, pool: PoolId, settings: Pool | None, promise: Promise) -> None:
        self.pool = pool
        self.settings = settings
        self.promise = promise
        self.entries_by_id: dict[HostId, HostEntry] = {}
        self.standing_by_id: dict[HostId, Standing] = {}
        self.hosts_by_standing: Counter[Standing] = Counter()
        self.available_by_zone: Counter[ZoneId] = Counter()
        self.returning: set[HostId] = set()
        self.retiring: set[HostId] = set()
        self.lasting = 0
        self.incoming = 0
        self.pending_stops = 0

    @property
    def spare(self) -> bool:
        """Whether the pool lends its hosts to other pools."""
        return self.settings is not None and self.settings.spare

    @property
    def want(self) -> int:
        """Number of hosts that the pool should have.

        A pool with an availability budget of zero needs one extra host while it has pending
        planned stops; otherwise no stop could ever be granted.
        """
        guard = 1 if self.pending_stops and self.promise.owed and not self.promise.budget else 0
        return self.promise.owed + guard

    @property
    def missing(self) -> int:
        """Number of hosts that the pool lacks; negative if it has a surplus."""
        return self.want - self.lasting - self.incoming

    @property
    def broken(self) -> bool:
        """Whether more hosts are unavailable than the budget of some plan allows."""
        return self.promise.broken(self.available_by_zone)

    def slack(self, zone: ZoneId) -> int:
        """Return how many more available hosts of ``zone`` may become unavailable."""
        return self.promise.slack(self.available_by_zone, zone)

    def available(self, host: HostId) -> bool:
        """Return whether the host is available now."""
        return self.standing_by_id[host] is Standing.AVAILABLE

    @property
    def out(self) -> int:
        """Number of hosts that are withdrawing or stopped."""
        return (
            self.hosts_by_standing[Standing.WITHDRAWING] + self.hosts_by_standing[Standing.STOPPED]
        )

    @property
    def lost(self) -> int:
        """Number of hosts that are unavailable without having been withdrawn."""
        away = (Standing.FAILED, Standing.LEAVING, Standing.TROUBLED)
        return sum(self.hosts_by_standing[standing] for standing in away)

    def stand(self, host: HostId, standing: Standing) -> None:
        """Set the condition of a host and update the counts."""
        zone = self.entries_by_id[host].zone
        before = self.standing_by_id.get(host)
        if before is not None:
            self.hosts_by_standing[before] -= 1
            self.available_by_zone[zone] -= before is Standing.AVAILABLE
        self.hosts_by_standing[standing] += 1
        self.available_by_zone[zone] += standing is Standing.AVAILABLE
        self.standing_by_id[host] = standing

    def mark_withdrawn(self, host: HostId, lasts: bool) -> None:
        """Update the counts for a host whose withdrawal is proposed.

        :param lasts: whether the host will return to this pool.
        """
        if host in self.retiring:
            self.retiring.remove(host)
        elif self.available(host) and not lasts:
            self.lasting -= 1
        self.stand(host, Standing.WITHDRAWING)
