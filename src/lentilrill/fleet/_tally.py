"""One pool's hosts, counted by how they stand."""

from collections import Counter
from enum import Enum

from lentilrill.fleet._budget import Promise
from lentilrill.fleet._records import HostEntry
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.settings import Pool

__all__ = ["Standing", "Tally"]


class Standing(Enum):
    """How a host of a pool stands now. All but ``AVAILABLE`` spend availability budget."""

    AVAILABLE = "available"
    TROUBLED = "troubled"
    """Ejected by a scheduler, or suspect."""
    FAILED = "failed"
    """Missing from the host list."""
    LEAVING = "leaving"
    """The platform or its own endpoint says that it leaves, or it was given a new address."""
    WITHDRAWING = "withdrawing"
    STOPPED = "stopped"


class Tally:
    """One pool's hosts, counted. Planned actions change the counts as they are decided.

    :ivar returning: hosts called back in this look, which are left alone for the rest of it.
    :ivar retiring: hosts that serve, and are to be retired.
    :ivar lasting: hosts that serve, or will again after a planned stop; no others.
    :ivar incoming: hosts that are being withdrawn from other pools for this one.
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
        """Whether the pool lends its hosts."""
        return self.settings is not None and self.settings.spare

    @property
    def want(self) -> int:
        """Hosts that the pool should have.

        A pool whose plans allow no host to be away needs one more for as long as it has planned
        stops to go through; otherwise none of them could ever be granted.
        """
        guard = 1 if self.pending_stops and self.promise.owed and not self.promise.budget else 0
        return self.promise.owed + guard

    @property
    def missing(self) -> int:
        """Hosts that the pool lacks; negative if it holds more than it wants."""
        return self.want - self.lasting - self.incoming

    @property
    def broken(self) -> bool:
        """Whether more hosts are away than some plan's budget allows."""
        return self.promise.broken(self.available_by_zone)

    def slack(self, zone: ZoneId) -> int:
        """Return how many more available hosts of ``zone`` may go away."""
        return self.promise.slack(self.available_by_zone, zone)

    def available(self, host: HostId) -> bool:
        """Return whether the host serves now."""
        return self.standing_by_id[host] is Standing.AVAILABLE

    @property
    def out(self) -> int:
        """Hosts that are withdrawn or being withdrawn."""
        return (
            self.hosts_by_standing[Standing.WITHDRAWING] + self.hosts_by_standing[Standing.STOPPED]
        )

    @property
    def lost(self) -> int:
        """Hosts that are away without having been withdrawn."""
        away = (Standing.FAILED, Standing.LEAVING, Standing.TROUBLED)
        return sum(self.hosts_by_standing[standing] for standing in away)

    def stand(self, host: HostId, standing: Standing) -> None:
        """Note how a host stands from now on."""
        zone = self.entries_by_id[host].zone
        before = self.standing_by_id.get(host)
        if before is not None:
            self.hosts_by_standing[before] -= 1
            self.available_by_zone[zone] -= before is Standing.AVAILABLE
        self.hosts_by_standing[standing] += 1
        self.available_by_zone[zone] += standing is Standing.AVAILABLE
        self.standing_by_id[host] = standing

    def mark_withdrawn(self, host: HostId, lasts: bool) -> None:
        """Count a host that is proposed for withdrawal now.

        :param lasts: whether it will serve in this pool again.
        """
        if host in self.retiring:
            self.retiring.remove(host)
        elif self.available(host) and not lasts:
            self.lasting -= 1
        self.stand(host, Standing.WITHDRAWING)
