"""State of one pool during a planning round: its hosts by condition."""

from collections import Counter
from enum import Enum

from lentilrill.fleet._budget import Commitment
from lentilrill.fleet._records import HostEntry
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.settings import Pool

__all__ = ["HostCondition", "PoolState"]


class HostCondition(Enum):
    """Current condition of a host. All but ``AVAILABLE`` use availability budget."""

    AVAILABLE = "available"
    UNHEALTHY = "troubled"
    """Ejected by a scheduler, or suspected to have failed."""
    FAILED = "failed"
    """Missing from the host list."""
    LEAVING = "leaving"
    """Announced as leaving by the platform or its endpoint, or listed with a new address."""
    WITHDRAWING = "withdrawing"
    STOPPED = "stopped"


class PoolState:
    """Hosts of one pool and their counts, which each planned action updates.

    :ivar recalled: hosts whose withdrawal this planning round cancels; no other action of the
        round uses them.
    :ivar retiring: serving hosts that are to be retired.
    :ivar retained: hosts that serve, or will serve again after a planned stop.
    :ivar incoming: hosts that are being withdrawn from other pools to move to this one.
    """

    def __init__(self, pool: PoolId, settings: Pool | None, commitment: Commitment) -> None:
        self.pool = pool
        self.settings = settings
        self.commitment = commitment
        self.entries_by_id: dict[HostId, HostEntry] = {}
        self.condition_by_id: dict[HostId, HostCondition] = {}
        self.hosts_by_condition: Counter[HostCondition] = Counter()
        self.available_by_zone: Counter[ZoneId] = Counter()
        self.recalled: set[HostId] = set()
        self.retiring: set[HostId] = set()
        self.retained = 0
        self.incoming = 0
        self.pending_stops = 0

    @property
    def spare(self) -> bool:
        """Whether the pool lends its hosts to other pools."""
        return self.settings is not None and self.settings.spare

    @property
    def target_size(self) -> int:
        """Number of hosts that the pool should have.

        A pool with an availability budget of zero needs one extra host while it has pending
        planned stops; otherwise no stop could ever be granted.
        """
        extra = (
            1 if self.pending_stops and self.commitment.owed and not self.commitment.budget else 0
        )
        return self.commitment.owed + extra

    @property
    def missing(self) -> int:
        """Number of hosts that the pool lacks; negative if it has a surplus."""
        return self.target_size - self.retained - self.incoming

    @property
    def is_overspent(self) -> bool:
        """Whether more hosts are unavailable than the budget of some plan allows."""
        return self.commitment.is_overspent(self.available_by_zone)

    def slack(self, zone: ZoneId) -> int:
        """Return how many more available hosts of ``zone`` may become unavailable."""
        return self.commitment.slack(self.available_by_zone, zone)

    def is_available(self, host: HostId) -> bool:
        """Return whether the host is available now."""
        return self.condition_by_id[host] is HostCondition.AVAILABLE

    @property
    def withdrawn(self) -> int:
        """Number of hosts that are withdrawing or stopped."""
        return (
            self.hosts_by_condition[HostCondition.WITHDRAWING]
            + self.hosts_by_condition[HostCondition.STOPPED]
        )

    @property
    def lost(self) -> int:
        """Number of hosts that are unavailable without having been withdrawn."""
        away = (HostCondition.FAILED, HostCondition.LEAVING, HostCondition.UNHEALTHY)
        return sum(self.hosts_by_condition[condition] for condition in away)

    def set_condition(self, host: HostId, condition: HostCondition) -> None:
        """Set the condition of a host and update the counts."""
        zone = self.entries_by_id[host].zone
        previous = self.condition_by_id.get(host)
        if previous is not None:
            self.hosts_by_condition[previous] -= 1
            self.available_by_zone[zone] -= previous is HostCondition.AVAILABLE
        self.hosts_by_condition[condition] += 1
        self.available_by_zone[zone] += condition is HostCondition.AVAILABLE
        self.condition_by_id[host] = condition

    def count_withdrawal(self, host: HostId, returns: bool) -> None:
        """Update the counts for a host whose withdrawal is proposed.

        :param returns: whether the host will return to this pool.
        """
        if host in self.retiring:
            self.retiring.remove(host)
        elif self.is_available(host) and not returns:
            self.retained -= 1
        self.set_condition(host, HostCondition.WITHDRAWING)
