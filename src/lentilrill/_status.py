"""What a controller shows operators, from its roster, its view and its last look at the fleet."""

from lentilrill.fleet import FleetReport, FleetView, PoolReport, StopReport
from lentilrill.fleet import StopState as FleetStopState
from lentilrill.ids import HostId, ProcessId, Revision
from lentilrill.membership import Member, Role, RosterView, ZoneNews
from lentilrill.operators import (
    MemberStatus,
    PoolStatus,
    Status,
    StopState,
    StopStatus,
    WaveStatus,
)
from lentilrill.settings import Document

__all__ = ["status"]

STATES_BY_FLEET_STATE = {
    FleetStopState.WAITING: StopState.WAITING,
    FleetStopState.ROLLING: StopState.WITHDRAWING,
    FleetStopState.PAUSED: StopState.WITHDRAWING,
    FleetStopState.DONE: StopState.STOPPED,
}


def status(
    roster: RosterView, view: FleetView, report: FleetReport, platform_reachable: bool
) -> Status:
    """Return the whole picture as of this controller."""
    entry_hosts = _entry_hosts(roster)
    return Status(
        process=roster.me.process,
        zone=roster.me.zone,
        document_revision=view.document_revision,
        platform_reachable=platform_reachable,
        members=_members(roster, view),
        pools=tuple(_pool(pool, view.document) for pool in report.pools),
        stops=tuple(_stop(stop, view.document, entry_hosts) for stop in report.stops),
        waves=tuple(_wave(stop) for stop in report.stops if stop.wave.started),
    )


def _members(roster: RosterView, view: FleetView) -> tuple[MemberStatus, ...]:
    by_process: dict[ProcessId, Member] = {roster.me.process: roster.me}
    for zone in roster.zones():
        by_process |= {member.process: member for member in roster.registered_in(zone)}
    by_process |= {heard.member.process: heard.member for heard in roster.heard()}
    complete_to = _complete_to_by_process(roster, view)
    return tuple(
        MemberStatus(
            process,
            member.incarnation,
            member.role,
            member.zone,
            member.entry_host,
            roster.liveness(member),
            complete_to.get(process, Revision(0)),
        )
        for process, member in sorted(by_process.items())
    )


def _complete_to_by_process(roster: RosterView, view: FleetView) -> dict[ProcessId, Revision]:
    """Return how far each process is; of another zone's, the least that its controllers told."""
    found = {
        member.process: news.complete_to
        for news in (*roster.news(), *_own_word(roster))
        for member in roster.registered_in(news.zone)
    }
    found |= {
        heard.member.process: heard.complete_to
        for heard in roster.heard()
        if heard.member.zone == roster.me.zone
    }
    return found | {roster.me.process: view.mirror.complete_to}


def _own_word(roster: RosterView) -> tuple[ZoneNews, ...]:
    word = roster.word()
    return () if word is None else (word,)


def _pool(pool: PoolReport, document: Document) -> PoolStatus:
    configured = document.pools_by_id()[pool.pool]
    return PoolStatus(
        pool.pool,
        configured.service,
        configured.spare,
        pool.owed,
        pool.serving,
        pool.withdrawing,
        pool.stopped,
        max(0, pool.missing),
    )


def _entry_hosts(roster: RosterView) -> dict[HostId, bool]:
    """Return every entry host that runs a gateway, and whether all its gateways are drained.

    A gateway that is gone holds no caller either.
    """
    drained = {one.member.process for one in roster.heard() if one.drained}
    news = (*roster.news(), *_own_word(roster))
    drained |= {process for one in news for process in one.drained}
    found: dict[HostId, bool] = {}
    for zone in roster.zones():
        for member in roster.registered_in(zone):
            if member.role is Role.GATEWAY:
                host = HostId(member.entry_host)
                found[host] = found.get(host, True) and member.process in drained
    return found


def _stop(stop: StopReport, document: Document, entry_hosts: dict[HostId, bool]) -> StopStatus:
    """Return one stop, with the entry hosts that the fleet's own report does not know.

    An entry host counts as withdrawing until its gateways are drained.
    """
    declared = next(one for one in document.stops if one.id == stop.stop)
    entries = [host for host in declared.hosts if host in entry_hosts]
    draining = tuple(host for host in entries if not entry_hosts[host])
    stopped = (*stop.stopped, *(host for host in entries if entry_hosts[host]))
    withdrawing = (*stop.withdrawing, *draining)
    gone_on = {*withdrawing, *stopped}
    waits = [wait.within_s for wait in stop.waits if wait.within_s is not None]
    return StopStatus(
        id=stop.stop,
        state=StopState.WITHDRAWING if draining else STATES_BY_FLEET_STATE[stop.state],
        reason=declared.reason,
        why="; ".join(f"{wait.hosts} of {wait.pool}: {wait.reason}" for wait in stop.waits),
        retire=declared.retire,
        waiting=(
            tuple(host for host in declared.hosts if host not in gone_on) if stop.waiting else ()
        ),
        withdrawing=withdrawing,
        stopped=stopped,
        expected_s=max(waits, default=None),
    )


def _wave(stop: StopReport) -> WaveStatus:
    return WaveStatus(
        stop=stop.stop,
        number=1,
        hosts=(*stop.withdrawing, *stop.stopped),
        done=stop.state is FleetStopState.DONE,
        predicted_s=stop.wave.predicted_s,
        actual_s=stop.wave.actual_s,
    )
