"""Decoding of the records of operators and endpoints in the store."""

import re
from collections.abc import Callable
from typing import Annotated

import msgspec

from lentilrill.ids import EndpointId, HostId, PoolId, QueueId, WorkspaceId, ZoneId
from lentilrill.scheduling import usable_weight
from lentilrill.store import DECODE_ERRORS
from lentilrill.telemetry import Event, log
from lentilrill.workloads import (
    Advice,
    Configuration,
    EndpointEntry,
    KeyDigest,
    Limits,
    PoolEntry,
    Queue,
    Resources,
    Wave,
    Workspace,
    Workspaces,
    digest_of,
    fingerprint_of,
)

__all__ = [
    "CONFIGURATION_KEY",
    "ENDPOINTS_PREFIX",
    "OPERATORS_PREFIX",
    "WAVES_PREFIX",
    "decode_configuration",
    "decode_endpoint",
    "decode_wave",
    "encode_wave_state",
    "wave_state_key",
]

OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
WAVES_PREFIX = "op/wave/"
ENDPOINTS_PREFIX = "servers/"
READY, DRAINING = "ready", "draining"
MAX_PORT = 65535
MAX_AMOUNT = 2**53
"""Larger numbers lose digits as a float, and much larger ones can't be converted to one."""
MAX_NAME_LENGTH = 200
MAX_LABELS = 64
ENDPOINT_ID = re.compile(r"[!-~]+")
"""Ids are sent as a header."""
_Address = Annotated[
    str, msgspec.Meta(pattern=r"^([A-Za-z0-9.-]{1,253}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$")
]


class _Advice(msgspec.Struct):
    decide_ms: int = 0
    # Additional time per endpoint in the request.
    period_ms: int = 0
    valid_ms: int = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # Pool whose endpoints run the tasks of the queue.
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_slo_ms: int = 0
    timeout_ms: int = 0
    advice: _Advice | None = None
    # Whether callers need no key.
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    # Whether its endpoints refuse tasks that exceed their capacity.
    rejects_overload: bool = False
    standby: bool = False


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    # Limit of what its tasks use in all pools together; 0 for no limit.
    cap: _Capacity = _Capacity()


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class _EntryCapacity(msgspec.Struct, frozen=True):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Entry(msgspec.Struct):
    service: _Name
    address: _Address
    state: _Name
    zone: _Name = ""
    capacity: _EntryCapacity = _EntryCapacity()
    labels: Annotated[list[_Name], msgspec.Meta(max_length=MAX_LABELS)] = []
    machine: _Name = ""
    born: _Amount = 0
    # Below 0 once that time is over.
    remaining_ms: Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)] = 0


class _Wave(msgspec.Struct):
    wave: int
    machines: list[str]
    within_s: float = 0.0
    cap: int = 1


def decode_configuration(value: bytes) -> Configuration | None:
    """Return a configuration; log an error and return ``None`` if it is malformed."""
    try:
        raw = msgspec.json.decode(value, type=_Config)
    except DECODE_ERRORS as error:
        log(Event.RECORD_ODD, key=CONFIGURATION_KEY, reason=str(error))
        return None
    queues = tuple(_decode_queue(route) for route in raw.routes)
    pools = tuple(
        PoolEntry(PoolId(pool.name), pool.standby, pool.rejects_overload) for pool in raw.services
    )
    limits = Limits(
        raw.limits.max_header_bytes,
        raw.limits.max_body_bytes,
        raw.limits.header_timeout_ms,
        raw.limits.idle_timeout_ms,
    )
    workspaces = _decode_workspaces(raw.tenants) if raw.tenants is not None else None
    return Configuration(raw.version, queues, pools, limits, workspaces)


def _decode_queue(route: _Route) -> Queue:
    advice = route.advice
    return Queue(
        QueueId(route.name),
        route.host,
        route.prefix,
        PoolId(route.service),
        route.priority,
        max(1, route.max_attempts),
        route.stretch,
        route.latency_slo_ms,
        route.timeout_ms,
        Advice(advice.decide_ms, advice.period_ms, advice.valid_ms) if advice else None,
        route.public,
    )


def _decode_workspaces(tenants: list[_Tenant]) -> Workspaces:
    """Return the workspaces by id and key.

    The rest of a configuration stays usable if one workspace is malformed: a key of two workspaces
    identifies neither, since the jobs of one must not be shown to callers of the other, and a
    negative limit allows one task at a time.
    """
    by_id: dict[WorkspaceId, Workspace] = {}
    id_by_key_digest: dict[KeyDigest, WorkspaceId] = {}
    ambiguous: set[KeyDigest] = set()
    for tenant in tenants:
        workspace = WorkspaceId(tenant.name)
        cap = _decode_cap(tenant)
        weight = usable_weight(tenant.weight)
        if not weight:
            _log_odd_workspace(workspace, f"weight {tenant.weight}: it comes after all others")
        elif weight != tenant.weight:
            _log_odd_workspace(workspace, f"weight {tenant.weight}: it counts as {weight}")
        by_id[workspace] = Workspace(workspace, weight, cap)
        for key in tenant.api_keys:
            digest = digest_of(key.encode())
            if id_by_key_digest.setdefault(digest, workspace) != workspace:
                _log_odd_workspace(workspace, f"key {fingerprint_of(digest)} of another workspace")
                ambiguous.add(digest)
    for digest in ambiguous:
        del id_by_key_digest[digest]
    return Workspaces(by_id, id_by_key_digest)


def _decode_cap(tenant: _Tenant) -> Resources:
    amounts = (tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu)
    if min(amounts) < 0:
        _log_odd_workspace(WorkspaceId(tenant.name), f"negative limit {amounts}")
    return Resources(*(amount if amount >= 0 else 1 for amount in amounts))


def _log_odd_workspace(workspace: WorkspaceId, reason: str) -> None:
    log(Event.RECORD_ODD, key=CONFIGURATION_KEY, workspace=workspace, reason=reason)


def _log_odd(key: str, reason: str) -> None:
    log(Event.RECORD_ODD, key=key, reason=reason)


def decode_endpoint(
    key: str, value: bytes, report: Callable[[str, str], None] = _log_odd
) -> EndpointEntry | None:
    """Return the entry of an endpoint, or ``None`` if it can't be used.

    Any writer may have written it. What passes here is used by all threads of a pool's owner.

    :param report: called with the key and the reason if it can't be used.
    """
    try:
        raw = msgspec.json.decode(value, type=_Entry)
        problem = _problem_of(key.removeprefix(ENDPOINTS_PREFIX), raw)
    except (*DECODE_ERRORS, ValueError) as error:
        problem = str(error)
    if problem:
        report(key, problem)
        return None
    resources = Resources(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu)
    return EndpointEntry(
        EndpointId(key.removeprefix(ENDPOINTS_PREFIX)),
        PoolId(raw.service),
        raw.address,
        ZoneId(raw.zone),
        resources,
        tuple(raw.labels),
        raw.state == DRAINING,
        HostId(raw.machine),
        raw.born,
        raw.remaining_ms,
    )


def _problem_of(id: str, entry: _Entry) -> str:
    """Return why an entry of the right types can't be used; empty if it can."""
    if entry.state not in (READY, DRAINING):
        return f"state {entry.state!r}"
    if not 0 < int(entry.address.rpartition(":")[2]) <= MAX_PORT:
        return f"address {entry.address!r}"
    return "" if ENDPOINT_ID.fullmatch(id) else f"id {id!r}"


def decode_wave(key: str, value: bytes) -> Wave | None:
    """Return a wave; log an error and return ``None`` if it is malformed."""
    try:
        raw = msgspec.json.decode(value, type=_Wave)
    except DECODE_ERRORS as error:
        log(Event.RECORD_ODD, key=key, reason=str(error))
        return None
    hosts = tuple(HostId(host) for host in raw.machines)
    return Wave(raw.wave, hosts, raw.within_s, max(1, raw.cap))


def wave_state_key(number: int) -> str:
    """Return the key of a wave's state, which operators read."""
    return f"status/wave/{number}"


def encode_wave_state(*, completed: bool) -> bytes:
    """Return the encoded state of a wave."""
    return msgspec.json.encode({"state": "completed" if completed else "running"})
