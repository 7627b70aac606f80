"""Progress of a planned stop, from the document, the pool records and the last fleet report."""

import msgspec

from lentilrill.fleet import FleetView, HostPhase, StopReport
from lentilrill.ids import HostId
from lentilrill.operators import StopState, StopStatus
from lentilrill.settings import PlannedStop

__all__ = ["stop_status"]

MAX_DELAYED_SHOWN = 5


class Progress(msgspec.Struct):
    """Hosts of a stop by their progress."""

    waiting: list[HostId] = []
    withdrawing: list[HostId] = []
    stopped: list[HostId] = []
    done: list[HostId] = []
    unknown: list[HostId] = []

    def state(self, retire: bool) -> StopState:
        """Return the state of the whole stop.

        The record of a retired host is deleted after its release, so an unknown one is done.
        """
        has_begun = bool(self.withdrawing or self.stopped or self.done)
        if self.withdrawing or (self.waiting and has_begun):
            return StopState.WITHDRAWING
        if self.waiting or (self.unknown and not has_begun and not retire):
            return StopState.WAITING
        return StopState.STOPPED if self.stopped else StopState.DONE


def stop_status(
    stop: PlannedStop,
    view: FleetView,
    report: StopReport | None,
    drained_by_entry_host: dict[HostId, bool],
    unacknowledged: dict[HostId, str],
) -> StopStatus:
    """Return the status of one stop for operators.

    :param report: last fleet report on the stop; ``None`` if there is none since its declaration.
    :param drained_by_entry_host: entry hosts that run gateways, and whether those are drained.
    :param unacknowledged: reasons why withdrawing hosts are not released yet.
    """
    progress = _progress(stop, view, drained_by_entry_host)
    waits = () if report is None else report.waits
    reasons = [f"{wait.hosts} of {wait.pool}: {wait.reason}" for wait in waits]
    delayed = [host for host in progress.withdrawing if host in unacknowledged]
    reasons += [f"{host}: {unacknowledged[host]}" for host in delayed[:MAX_DELAYED_SHOWN]]
    if progress.unknown and not stop.retire:
        reasons.append(f"in no pool: {', '.join(progress.unknown)}")
    return StopStatus(
        id=stop.id,
        state=progress.state(stop.retire),
        reason=stop.reason,
        why="; ".join(reasons),
        retire=stop.retire,
        waiting=tuple(progress.waiting),
        withdrawing=tuple(progress.withdrawing),
        stopped=tuple(progress.stopped),
        done=tuple(progress.done),
        expected_s=max((w.within_s for w in waits if w.within_s is not None), default=None),
    )


def _progress(
    stop: PlannedStop, view: FleetView, drained_by_entry_host: dict[HostId, bool]
) -> Progress:
    progress = Progress()
    for host in stop.hosts:
        if host in drained_by_entry_host:
            drained = drained_by_entry_host[host]
            (progress.stopped if drained else progress.withdrawing).append(host)
        elif host not in view.hosts_by_id:
            progress.unknown.append(host)
        else:
            _, entry = view.hosts_by_id[host]
            if entry.stop == stop.id:
                is_free = entry.phase is HostPhase.STOPPED
                (progress.stopped if is_free else progress.withdrawing).append(host)
            elif any(done.stop == stop.id for done in entry.done):
                progress.done.append(host)
            else:
                progress.waiting.append(host)
    return progress
