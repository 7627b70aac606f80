"""Builders of test data: valid values with defaults that keywords override."""

import functools
import hashlib
import itertools
from collections.abc import Sequence
from typing import Any

import msgspec
import zmq

from lentilrill.fleet import HostEntry
from lentilrill.ids import (
    CustomerId,
    EndpointId,
    EntryHostId,
    HostId,
    Incarnation,
    JobId,
    PlanId,
    PoolId,
    ProcessId,
    QueueId,
    RackId,
    ServiceId,
    WorkspaceId,
    ZoneId,
)
from lentilrill.inner import JobAsk, JobTold, PoolPressure
from lentilrill.membership import Member, Role
from lentilrill.ownership import MemberRecord, OwnerRecord
from lentilrill.scheduling import JobTiming
from lentilrill.settings import Document, Entitlement, InnerKeys, Plan, Pool
from lentilrill.upkeep import HostRow, HostState
from lentilrill.workloads import (
    Configuration,
    EndpointEntry,
    Job,
    PoolEntry,
    Queue,
    Resources,
    Step,
    Workspace,
    Workspaces,
    digest_of,
)
from standins._platform_records import SeenJob
from standins.loopback import LoopbackNetwork

__all__ = [
    "a_configuration",
    "a_document",
    "a_host_row",
    "a_job",
    "a_job_timing",
    "a_member",
    "a_member_record",
    "a_plan",
    "a_pool",
    "a_pressure",
    "a_seen_job",
    "a_step",
    "an_address",
    "an_endpoint",
    "an_endpoint_document",
    "an_entitlement",
    "an_entry",
    "an_order",
    "an_owner_record",
    "digest",
    "inner_keys",
    "some_workspaces",
    "told",
]

_incarnations = itertools.count(1)
_ports = itertools.count(10_000)


def digest(token: str) -> str:
    """Return the hex SHA-256 digest of a token, as it stands in the configuration."""
    return hashlib.sha256(token.encode()).hexdigest()


def an_address() -> str:
    """Return a loopback address that is unique among all tests that run in parallel."""
    return _network().address(1, 1, next(_ports))


@functools.cache
def _network() -> LoopbackNetwork:
    return LoopbackNetwork()


def inner_keys() -> InnerKeys:
    """Return a new key pair for the inner protocol."""
    public, secret = zmq.curve_keypair()
    return InnerKeys(public.decode(), secret.decode())


def a_plan(name: str = "schools", **changes: Any) -> Plan:
    """Return a plan of the service of the same name, with the token ``token-NAME``."""
    values: dict[str, Any] = {
        "id": PlanId(name),
        "customer": CustomerId("valley"),
        "service": ServiceId(name),
        "hosts_owed": 2,
        "availability_budget": 1,
        "token_sha256": digest(f"token-{name}"),
    }
    return Plan(**values | changes)


def a_pool(name: str = "schools", **changes: Any) -> Pool:
    """Return a pool that serves the service of the same name."""
    values: dict[str, Any] = {"id": PoolId(name), "service": ServiceId(name)}
    return Pool(**values | changes)


def an_entitlement(name: str = "schools", **changes: Any) -> Entitlement:
    """Return an entitlement of the plan to the pool of the same name."""
    values: dict[str, Any] = {"plan": PlanId(name), "pools": (PoolId(name),)}
    return Entitlement(**values | changes)


def a_document(*names: str, **changes: Any) -> Document:
    """Return a document with a plan, a pool and an entitlement for each name.

    The pool of the last name is the spare.

    :param changes: values of every plan that differ from the defaults.
    """
    return Document(
        plans=tuple(a_plan(name, **changes) for name in names),
        pools=tuple(a_pool(name, spare=name == names[-1]) for name in names),
        entitlements=tuple(an_entitlement(name) for name in names),
    )


def an_entry(name: str = "h1", **changes: Any) -> HostEntry:
    """Return a serving host of zone ``z1``."""
    values: dict[str, Any] = {
        "id": HostId(name),
        "address": "127.0.0.1:1",
        "zone": ZoneId("z1"),
        "rack": RackId("r1"),
    }
    return HostEntry(**values | changes)


def a_member(name: str = "gw-1", **changes: Any) -> Member:
    """Return a gateway of zone ``z1`` with a new incarnation."""
    values: dict[str, Any] = {
        "process": ProcessId(name),
        "incarnation": Incarnation(next(_incarnations)),
        "role": Role.GATEWAY,
        "zone": ZoneId("z1"),
        "entry_host": EntryHostId(f"entry-{name}"),
        "inner": "127.0.0.1:1",
        "http": "127.0.0.1:2",
    }
    return Member(**values | changes)


def a_member_record(name: str = "h1", inner: str = "127.0.0.1:1") -> MemberRecord:
    """Return the record of an entry host of strength 1."""
    return MemberRecord(ProcessId(name), Incarnation(1), ZoneId("z1"), inner, 1)


def an_owner_record(**changes: Any) -> OwnerRecord:
    """Return the record of a shard's owner."""
    values: dict[str, Any] = {
        "process": ProcessId("h1"),
        "incarnation": Incarnation(1),
        "inner": "10.0.0.1:1",
    }
    return OwnerRecord(**values | changes)


def told(ask: JobAsk, state: str = "", workspace: str = "") -> JobTold:
    """Return the answer of a pool's owner to a query; it knows no such job without a state."""
    return JobTold(ask.ask, True, state, workspace, asker=ask.asker)


def a_pressure(**changes: Any) -> PoolPressure:
    """Return the pressure of the idle pool ``notices``."""
    values: dict[str, Any] = {
        "pool": PoolId("notices"),
        "wait_s": 0.0,
        "waiting_by_queue": {},
        "token": 9,
    }
    return PoolPressure(**(values | changes))


def a_step(count: int = 2, **changes: Any) -> Step:
    """Return a step of ``count`` small tasks that take a second."""
    values: dict[str, Any] = {"needs": Resources(1000, 1000), "estimate_ms": 1000}
    return Step(count, **(values | changes))


def a_job(name: str = "a", *steps: Step, **changes: Any) -> Job:
    """Return a job of the queue ``proofs`` and the pool ``notices``; one step by default."""
    values: dict[str, Any] = {"spec": "text", "steps": steps or (a_step(),), "has_claim": True}
    return Job(JobId(name * 16), QueueId("proofs"), PoolId("notices"), **(values | changes))


def an_endpoint(name: str = "e1", **changes: Any) -> EndpointEntry:
    """Return an endpoint of the pool ``notices`` with room for four small tasks."""
    values: dict[str, Any] = {
        "address": f"10.0.0.1:{len(name)}",
        "zone": ZoneId("holyoke"),
        "capacity": Resources(4000, 8000),
        "labels": ("a", "r1"),
    }
    return EndpointEntry(EndpointId(name), PoolId("notices"), **(values | changes))


def an_endpoint_document(**changes: Any) -> dict[str, Any]:
    """Return an endpoint's entry in the store, as the platform spells it."""
    values: dict[str, Any] = {
        "service": "notices",
        "address": "10.128.0.9:8080",
        "zone": "holyoke",
        "state": "ready",
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "born": 5,
    }
    return values | changes


def a_host_row(id: HostId, **changes: Any) -> HostRow:
    """Return a host of the pool ``notices`` that is up and has no endpoint."""
    values: dict[str, Any] = {"pool": PoolId("notices"), "state": HostState.UP}
    return HostRow(id, **(values | changes))


def a_configuration(version: int = 1, **changes: Any) -> Configuration:
    """Return a configuration with the queue ``proofs`` of the pool ``notices``."""
    values: dict[str, Any] = {
        "id": QueueId("proofs"),
        "prefix": "/proofs/",
        "pool": PoolId("notices"),
        "max_attempts": 2,
        "stretch": 1.6,
        "objective_ms": 600,
    }
    queue = Queue(host="braille.example", **(values | changes))
    return Configuration(version, (queue,), (PoolEntry(PoolId("notices")),))


def some_workspaces(**keys_by_id: str) -> Workspaces:
    """Return workspaces with one key each and no limits."""
    by_id = {WorkspaceId(id): Workspace(WorkspaceId(id)) for id in keys_by_id}
    digests = {digest_of(key.encode()): WorkspaceId(id) for id, key in keys_by_id.items()}
    return Workspaces(by_id, digests)


def a_job_timing(**changes: Any) -> JobTiming:
    """Return the timing of a job that can meet its deadline, with one second of remaining work."""
    values: dict[str, Any] = {
        "priority": 0,
        "long_running": False,
        "age_s": 0.0,
        "remaining_s": 1.0,
        "deadline_s": 2.0,
        "remaining_work": 1.0,
    }
    return JobTiming(**(values | changes))


def an_order(task: str = "a.0.0.0", **changes: Any) -> dict[str, Any]:
    """Return the body of an order to an endpoint, as the users' platform spells it."""
    values = {"task": task, "run_id": 1, "spec": "text", "fencing_token": 1, "expires_ms": 9_999}
    return values | changes


def a_seen_job(name: str = "j", after: Sequence[int] = (), **changes: Any) -> SeenJob:
    """Return a job as the judges of a stand-in see it: one step of two tasks.

    :param after: steps before a second step; there is none by default.
    :param changes: fields of the job, ``cpu`` or ``long_running``.
    """
    cpu, lasts = changes.pop("cpu", 1000), changes.pop("long_running", False)
    step = {"count": 2, "cpu": cpu, "mem_mb": 500, "long_running": lasts}
    steps = [step, step | {"after": after}] if after else [step]
    return msgspec.structs.replace(SeenJob.from_body(name, "notices", {"steps": steps}), **changes)
