"""The operators' document: plans, their entitlements, and planned stops.

The document is stored on the platform as one value; its revision is the modification revision of
that key. Defaults are omitted from the encoding because every change sends the document to all
processes.
"""

from enum import Enum

import msgspec

from lentilrill.ids import CustomerId, HostId, PlanId, PoolId, ServiceId, StopId, ZoneId

__all__ = ["Document", "Entitlement", "Objective", "Plan", "PlannedStop", "Pool", "Urgency"]


class Urgency(Enum):
    """Class that orders queued jobs; jobs of the last class are shed first."""

    URGENT = "urgent"
    NORMAL = "normal"
    PATIENT = "patient"

    @property
    def rank(self) -> int:
        """Position in the start order; 0 starts first."""
        return list(Urgency).index(self)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A customer's plan: owed hosts, start time limit and credentials.

    :param hosts_owed: number of hosts of the service's pool owed to the plan.
    :param availability_budget: maximum number of owed hosts that may be unavailable at once.
    :param start_within_s: seconds within which a job of the plan should start.
    :param token_sha256: hex SHA-256 of the bearer token that identifies the plan.
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

    :param spare: whether the pool lends hosts to pools that are short of hosts.
    :param slots_per_host: maximum number of jobs that one endpoint runs at once.
    :param connections_per_host: maximum number of open connections that one endpoint accepts.
    :param cores: minimum cores of a host in the pool.
    :param memory_gb: minimum memory of a host in the pool.
    :param accelerators: minimum accelerators of a host in the pool.
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
    """Resources that one plan may use.

    :param pools: pools that run the plan's jobs, in order of preference.
    :param zones: zones whose hosts the plan may use; empty means all.
    :param rate_per_s: maximum jobs per second accepted in the zone of one entry host; 0 means no
        limit.
    :param concurrency: maximum jobs running at once in one zone; 0 means no limit.
    :param queue: maximum jobs waiting at once in one zone.
    :param idempotent_paths: path prefixes below the service where POST and PATCH are idempotent.
    :param largest_job_bytes: maximum size of a request body.
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
    """Objective function that the assignment of hosts to pools minimizes.

    :param move_weight: cost of moving one host between pools.
    :param buffer_weight: cost of each host assigned beyond the owed number.
    :param settle_s: seconds that a shortage must last before hosts are moved to cover it.
    """

    move_weight: float = 1.0
    buffer_weight: float = 1.0
    settle_s: float = 30.0


class PlannedStop(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Hosts that operators want to stop, for maintenance or permanently.

    :param hosts: worker or entry hosts to stop.
    :param retire: whether the hosts leave the fleet permanently.
    :param reason: text shown in the status and in the audit log.
    """

    id: StopId
    hosts: tuple[HostId, ...]
    retire: bool = False
    reason: str = ""


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The configuration that operators edit.

    :param write_id: id of the write that stored this value, so that a writer that lost the
        answer can read the value back to find out whether its write took effect.
    :param edit: number of the accepted edit that stored this value, counted from 1; the audit
        record of the edit has the same number.
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
