"""Settings types of the processes."""

from typing import Annotated

import msgspec

from lentilrill.ids import EntryHostId, ProcessId, ZoneId

__all__ = [
    "ControllerSettings",
    "EntryHostLimits",
    "EntrySettings",
    "GatewaySettings",
    "InnerKeys",
    "PlatformSettings",
    "ProcessSettings",
    "StoreSettings",
]

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$|^\[[0-9a-fA-F:.]+\]:[0-9]{1,5}$")
]

LINK_MBPS_PER_CORE = 20.0
"""Bandwidth in Mbit/s that a pool owner needs per busy core, for reading stored jobs after a
take-over, orders to endpoints and status messages."""
RESERVED_FDS = 200
"""Descriptors that the platform reserves for files."""
MIN_CALLER_CONNECTIONS = 16
CALLER_MEMORY_SHARE = 1 / 8
"""Low, since a request takes several times its size while it is decoded."""


class InnerKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """CURVE key pair shared by the processes of one system, in Z85 text."""

    public: Annotated[str, msgspec.Meta(min_length=40, max_length=40)]
    secret: Annotated[str, msgspec.Meta(min_length=40, max_length=40)]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services and the limits of a process's calls.

    :param key_value: addresses of the key-value service, tried in turn.
    :param host_list: address of the host list.
    :param prefix: prefix of all keys of this system.
    :param deadline_s: deadline of one call, in seconds.
    :param calls_per_s: call budget of the process.
    """

    key_value: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    host_list: Address
    prefix: str = "lentilrill/"
    deadline_s: PositiveFloat = 2.0
    calls_per_s: PositiveFloat = 50.0


class ProcessSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings that all processes have in common.

    :param inner: address on which other processes of the system reach this one.
    :param inner_listen: address to bind if it differs from ``inner``, as behind a relay. Outgoing
        connections to peers use its IP address as their source.
    :param seeds: inner addresses of the processes to contact first.
    :param statsd: address of the statsd sink; empty means no metrics are sent.
    :param heartbeat_s: seconds between two heartbeats to a peer.
    :param suspect_after_s: seconds of silence after which a peer is suspect.
    """

    process: ProcessId
    entry_host: EntryHostId
    zone: ZoneId
    inner: Address
    keys: InnerKeys
    inner_listen: str = ""
    seeds: tuple[Address, ...] = ()
    statsd: str = ""
    log_level: str = "info"
    heartbeat_s: PositiveFloat = 1.0
    suspect_after_s: PositiveFloat = 3.5


class GatewaySettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a gateway, which serves the request path.

    :param listen: address for callers.
    :param forwards: address advertised to other gateways, if it differs from ``listen``.
    :param threads: maximum concurrent requests; must exceed the queue limit.
    :param drain_s: seconds that a stopping process waits for requests in flight.
    :param drain_notice_s: seconds that it still accepts jobs after ``/readyz`` returns 503.
    :param claim_retention_s: seconds that the outcome of a keyed job is retained.
    """

    listen: Address
    platform: PlatformSettings
    forwards: str = ""
    threads: PositiveInt = 400
    drain_s: PositiveFloat = 3600.0
    drain_notice_s: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    largest_body_bytes: PositiveInt = 64 * 1024 * 1024
    connect_timeout_s: PositiveFloat = 1.0
    claim_retention_s: PositiveFloat = 600.0
    claim_shards: PositiveInt = 16


class ControllerSettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a controller, which manages the fleet.

    :param listen: address for operators.
    :param operator_tokens_sha256: hex SHA-256 of each operator's token, by operator name.
    :param plan_every_s: seconds between two planning rounds.
    :param host_list_lag_s: maximum age of the platform's host list, in seconds.
    """

    listen: Address
    platform: PlatformSettings
    operator_tokens_sha256: dict[str, str]
    plan_every_s: PositiveFloat = 1.0
    host_list_lag_s: PositiveFloat = 10.0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and call budget of the entry hosts' key-value store.

    :param calls_per_s: call budget of the process.
    """

    address: Address
    calls_per_s: PositiveFloat = 60.0


class EntryHostLimits(msgspec.Struct, frozen=True):
    """Resource limits of an entry host; by default one core and an unlimited link.

    :param cpu_share: share of the time of each core.
    :param cores: total speed of all cores, in multiples of a reference core.
    :param link_mbps: bandwidth of the network link in Mbit/s.
    :param memory_mb: memory of the process in megabytes.
    :param max_fds: descriptors of the process, some of which are reserved for files.
    """

    cpu_share: PositiveFloat = 1.0
    cores: PositiveFloat = 1.0
    link_mbps: PositiveFloat = 1000.0
    memory_mb: PositiveFloat = 300.0
    max_fds: PositiveInt = 4100

    @property
    def caller_connections(self) -> int:
        """Most open connections of callers; the other half is for the process's own links."""
        return max(MIN_CALLER_CONNECTIONS, (self.max_fds - RESERVED_FDS) // 2)

    @property
    def caller_bytes(self) -> int:
        """Most bytes held of the requests of all callers together."""
        return int(self.memory_mb * 1_000_000 * CALLER_MEMORY_SHARE)

    @property
    def strength(self) -> float:
        """Capacity of the host for control work, in reference cores.

        The link limits the result to the number of cores that it can keep busy: an owner that
        reads jobs and calls endpoints over a slow link is late whatever its processor.
        """
        return min(self.cpu_share * self.cores, self.link_mbps / LINK_MBPS_PER_CORE)


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an entry host on the users' platform; unknown keys are ignored.

    :param callers: address for callers of jobs.
    :param readiness: address that the platform's load balancer polls for readiness.
    :param metrics: address on which metrics are served.
    :param hosts_api: address of the platform's list of hosts, for moves and upkeep.
    :param host_orders_per_s: orders to hosts per second accepted from all entry hosts together.
    :param advice: address of the policy service; empty if there is none.
    :param grace_s: seconds from SIGTERM to SIGKILL.
    :param max_run_lease_ms: longest lease that endpoints grant, in milliseconds.
    :param limits: resource limits of the host.
    :param threads: maximum concurrent requests.
    :param inner_connections: maximum number of connections that others open to ``inner``, and
        twice the number of those that this host opens to other hosts.
    """

    process: ProcessId
    zone: ZoneId
    callers: Address
    readiness: Address
    inner: Address
    metrics: Address
    store: StoreSettings
    hosts_api: str = ""
    host_orders_per_s: PositiveFloat = 50.0
    advice: str = ""
    log_level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"
    grace_s: PositiveFloat = 6.0
    max_run_lease_ms: PositiveFloat = 10_000.0
    limits: EntryHostLimits = EntryHostLimits()
    threads: PositiveInt = 24
    inner_connections: PositiveInt = 700
