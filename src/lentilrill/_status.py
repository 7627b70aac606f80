"""The status that a controller shows operators, from its members, view and last fleet report."""

from collections import Counter

from lentilrill._stop_status import stop_status
from lentilrill.fleet import FleetReport, FleetView, HostPhase, PoolReport, StopReport
from lentilrill.ids import HostId, ProcessId, Revision
from lentilrill.membership import Member, MembershipTracker, Role, ZoneStatus
from lentilrill.operators import (
    MemberStatus,
    PoolStatus,
    Status,
    WaveStatus,
)
from lentilrill.settings import Document, Pool

__all__ = ["status"]


def status(
    membership: MembershipTracker, view: FleetView, report: FleetReport, platform_reachable: bool
) -> Status:
    """Return the status of the whole system in this controller's view."""
    entry_hosts = _entry_hosts(membership)
    document = view.document
    declared = {stop.id for stop in document.stops}
    # The report may be older than the document; stops that were removed since are not shown.
    reports_by_stop = {stop.stop: stop for stop in report.stops if stop.stop in declared}
    return Status(
        process=membership.me.process,
        zone=membership.me.zone,
        document_revision=view.document_revision,
        platform_reachable=platform_reachable,
        members=_members(membership, view),
        pools=_pools(report, view),
        stops=tuple(
            stop_status(
                stop, view, reports_by_stop.get(stop.id), entry_hosts, report.unacknowledged
            )
            for stop in document.stops
        ),
        waves=tuple(_wave(stop) for stop in reports_by_stop.values() if stop.wave.started),
    )


def _members(membership: MembershipTracker, view: FleetView) -> tuple[MemberStatus, ...]:
    by_process: dict[ProcessId, Member] = {}
    for zone in membership.zones():
        by_process |= {member.process: member for member in membership.registered_in(zone)}
    by_process |= {
        heartbeat.member.process: heartbeat.member for heartbeat in membership.last_heartbeats()
    }
    by_process[membership.me.process] = membership.me
    complete_to = _complete_to_by_process(membership, view)
    return tuple(
        MemberStatus(
            process,
            member.incarnation,
            member.role,
            member.zone,
            member.entry_host,
            membership.liveness(member),
            complete_to.get(process, Revision(0)),
        )
        for process, member in sorted(by_process.items())
    )


def _complete_to_by_process(
    membership: MembershipTracker, view: FleetView
) -> dict[ProcessId, Revision]:
    """Return the revision to which each process's mirror is known to be complete.

    For members of another zone it is the lowest revision that the zone's controllers report. That
    excludes suspect members, so it rises once a paused or disconnected gateway becomes suspect.
    It is not used for suspect members: an edit would be shown as in force everywhere while such a
    gateway still works by the previous document.
    """
    found = {
        member.process: zone_status.complete_to
        for zone_status in (*membership.zone_statuses(), *_own_zone_status(membership))
        for member in membership.registered_in(zone_status.zone)
        if member.process not in zone_status.suspects
    }
    found |= {
        heartbeat.member.process: heartbeat.complete_to
        for heartbeat in membership.last_heartbeats()
        if heartbeat.member.zone == membership.me.zone
    }
    return found | {membership.me.process: view.mirror.complete_to}


def _own_zone_status(membership: MembershipTracker) -> tuple[ZoneStatus, ...]:
    report = membership.latest_head_report()
    return () if report is None else (report,)


def _pools(report: FleetReport, view: FleetView) -> tuple[PoolStatus, ...]:
    """Return the host counts of each pool, from the last fleet report if there is one.

    A controller that started while the platform is unreachable has no host list and thus no
    report. It counts the hosts by phase in the records that it received from its peers.
    """
    reports_by_pool = {pool.pool: pool for pool in report.pools}
    return tuple(_pool(pool, reports_by_pool.get(pool.id), view) for pool in view.document.pools)


def _pool(pool: Pool, report: PoolReport | None, view: FleetView) -> PoolStatus:
    if report is not None:
        owed, missing = report.owed, report.missing
        counts = (report.serving, report.withdrawing, report.stopped)
    else:
        recorded = view.pools_by_id.get(pool.id)
        phases = (
            Counter(host.phase for host in recorded[0].hosts) if recorded is not None else Counter()
        )
        counts = (
            phases[HostPhase.SERVING],
            phases[HostPhase.WITHDRAWING],
            phases[HostPhase.STOPPED],
        )
        owed = _owed(pool, view.document)
        missing = owed - sum(counts)
    return PoolStatus(pool.id, pool.service, pool.spare, owed, *counts, max(0, missing))


def _owed(pool: Pool, document: Document) -> int:
    """Return the number of hosts owed to the plans whose first pool is this one."""
    plans_by_id = document.plans_by_id()
    return sum(
        plans_by_id[entitlement.plan].hosts_owed
        for entitlement in document.entitlements
        if entitlement.plan in plans_by_id and pool.id in entitlement.pools[:1]
    )


def _entry_hosts(membership: MembershipTracker) -> dict[HostId, bool]:
    """Return the entry hosts that run gateways, and whether all gateways of each are drained.

    Gateways that are gone are not registered any more, and need not be drained.
    """
    drained = {
        heartbeat.member.process for heartbeat in membership.last_heartbeats() if heartbeat.drained
    }
    zone_statuses = (*membership.zone_statuses(), *_own_zone_status(membership))
    drained |= {process for status in zone_statuses for process in status.drained}
    found: dict[HostId, bool] = {}
    for zone in membership.zones():
        for member in membership.registered_in(zone):
            if member.role is Role.GATEWAY:
                host = HostId(member.entry_host)
                found[host] = found.get(host, True) and member.process in drained
    return found


def _wave(stop: StopReport) -> WaveStatus:
    return WaveStatus(
        stop=stop.stop,
        number=1,
        hosts=(*stop.withdrawing, *stop.stopped),
        done=stop.wave.actual_s is not None,
        predicted_s=stop.wave.predicted_s,
        actual_s=stop.wave.actual_s,
    )
