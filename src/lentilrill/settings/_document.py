"""The operators' document: plans, what each plan may use, and planned stops.

The document is one value on the platform; its revision is the platform's modification revision.
Defaults are left out when it is encoded, since each change sends it to every process.
"""

from enum import Enum

import msgspec

from lentilrill.ids import CustomerId, HostId, PlanId, PoolId, ServiceId, StopId, ZoneId

__all__ = ["Document", "Entitlement", "Objective", "Plan", "PlannedStop", "Pool", "Urgency"]


class Urgency(Enum):
    """Order in which queued jobs start; a lower class is shed first."""

    URGENT = "urgent"
    NORMAL = "normal"
    PATIENT = "patient"

    @property
    def rank(self) -> int:
        """0 for the class that starts first."""
        return list(Urgency).index(self)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A customer's plan: what it is owed, and how fast.

    :param hosts_owed: hosts of the service's pool that the plan is owed.
    :param availability_budget: how many owed hosts may be away at once.
    :param start_within_s: seconds within which a job of the plan should start.
    :param token_sha256: hex SHA-256 of the bearer token that names the plan.
    """

    id: PlanId
    customer: CustomerId
    service: ServiceId
    hosts_owed: int
    availability_budget: int
    token_sha256: str
    urgency: Urgency = Urgency.NORMAL
    start_within_s: float = 30.0


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Hosts that serve one service.

    :param spare: whether the pool lends hosts to pools that miss some.
    :param slots_per_host: jobs that one endpoint runs at once.
    :param connections_per_host: open connections that one endpoint accepts.
    :param cores: least cores a host needs to join; the same for memory and accelerators.
    """

    id: PoolId
    service: ServiceId
    spare: bool = False
    slots_per_host: int = 8
    connections_per_host: int = 64
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0


class Entitlement(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What one plan may use.

    :param pools: pools that run the plan's jobs, preferred first.
    :param zones: zones whose hosts the plan may use; empty means all.
    :param rate_per_s: accepted jobs a second for one entry host's zone; 0 means no limit.
    :param concurrency: jobs running at once in one zone; 0 means no limit.
    :param queue: jobs waiting at once in one zone.
    :param idempotent_paths: path prefixes below the service where POST and PATCH are idempotent.
    :param largest_job_bytes: bound of a request body.
    """

    plan: PlanId
    pools: tuple[PoolId, ...]
    zones: tuple[ZoneId, ...] = ()
    rate_per_s: float = 0.0
    concurrency: int = 0
    queue: int = 200
    idempotent_paths: tuple[str, ...] = ()
    largest_job_bytes: int = 64 * 1024 * 1024


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What the assignment of hosts minimises.

    :param move_weight: cost of moving one host between pools.
    :param buffer_weight: cost of one host held above what is owed.
    :param settle_s: seconds that a shortage must last before hosts move for it.
    """

    move_weight: float = 1.0
    buffer_weight: float = 1.0
    settle_s: float = 30.0


class PlannedStop(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Hosts that operators want to stop for maintenance or for good.

    :param hosts: worker or entry hosts to stop.
    :param retire: whether the hosts leave the fleet for good.
    :param reason: shown in status and audit.
    """

    id: StopId
    hosts: tuple[HostId, ...]
    retire: bool = False
    reason: str = ""


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Everything operators decide.

    :param write_id: names the write that stored this value, so that a writer whose answer was
        lost can tell by reading back whether its write took effect.
    :param edit: number of the accepted edit that stored this value, counted from 1; its record
        stands in the audit trail under the same number.
    """

    plans: tuple[Plan, ...] = ()
    pools: tuple[Pool, ...] = ()
    entitlements: tuple[Entitlement, ...] = ()
    objective: Objective = Objective()
    stops: tuple[PlannedStop, ...] = ()
    write_id: str = ""
    edit: int = 0

    def plans_by_id(self) -> dict[PlanId, Plan]:
        """Return the plans by id."""
        return {plan.id: plan for plan in self.plans}

    def pools_by_id(self) -> dict[PoolId, Pool]:
        """Return the pools by id."""
        return {pool.id: pool for pool in self.pools}

    def entitlements_by_plan(self) -> dict[PlanId, Entitlement]:
        """Return the entitlements by plan id."""
        return {entitlement.plan: entitlement for entitlement in self.entitlements}
