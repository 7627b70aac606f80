"""Output of the status as text."""

from collections.abc import Iterable

from lentilrill.ctl._show import INDENT, table
from lentilrill.membership import Liveness
from lentilrill.operators import (
    MemberStatus,
    Propagation,
    Status,
    StopStatus,
    WaveStatus,
    propagation_of,
)

__all__ = ["propagation_text", "status_lines", "stop_lines"]

MAX_LISTED_NAMES = 8


def status_lines(status: Status) -> list[str]:
    """Return the status of the fleet and of the system, warnings first."""
    platform = "reachable" if status.platform_reachable else "NOT reachable"
    propagation = propagation_text(propagation_of(status, status.document_revision))
    return [
        f"as seen by {status.process} in {status.zone}; the platform is {platform} from there",
        f"revision {status.document_revision} is {propagation}",
        *_warning_lines(status),
        "",
        *_pool_lines(status),
        "",
        *_process_lines(status.members),
        *_stop_section(status),
    ]


def propagation_text(propagation: Propagation) -> str:
    """Return one line that says where a revision is in force."""
    total = len(propagation.reached) + len(propagation.behind) + len(propagation.unheard)
    text = f"in force at {len(propagation.reached)} of {total} processes"
    if propagation.is_complete:
        return f"in force everywhere ({total} processes)"
    if propagation.behind:
        text += f", not yet at {_list_names(propagation.behind)}"
    if propagation.unheard:
        text += f"; not heard: {_list_names(propagation.unheard)}"
    return text


def stop_lines(stops: Iterable[StopStatus]) -> list[str]:
    """Return a table of planned stops, followed by the reasons why they wait."""
    rows = [
        (
            stop.id,
            stop.state.value,
            len(stop.waiting),
            len(stop.withdrawing),
            len(stop.stopped),
            len(stop.done),
            "-" if stop.expected_s is None else f"{stop.expected_s:.0f} s",
            "retire" if stop.retire else "maintenance",
            stop.reason or "-",
        )
        for stop in stops
    ]
    head = ("STOP", "STATE", "WAITING", "WITHDRAWING", "FREE", "DONE", "EXPECTED", "FOR", "REASON")
    notes = [f"{INDENT}{stop.id}: {stop.why}" for stop in stops if stop.why]
    return table(head, rows) + notes


def _warning_lines(status: Status) -> list[str]:
    lines = []
    if not status.platform_reachable:
        lines.append("! configuration can't be edited through this controller now")
    suspect = [m.process for m in status.members if m.liveness is Liveness.SUSPECT]
    if suspect:
        lines.append(f"! not heard: {_list_names(suspect)}")
    for pool in status.pools:
        if pool.missing:
            lines.append(f"! pool {pool.pool} misses {pool.missing} of {pool.owed} owed hosts")
    return lines


def _pool_lines(status: Status) -> list[str]:
    rows = [
        (
            pool.pool + (" (spare)" if pool.spare else ""),
            pool.owed,
            pool.serving,
            pool.withdrawing,
            pool.stopped,
            pool.missing,
        )
        for pool in status.pools
    ]
    return table(("POOL", "OWED", "SERVING", "WITHDRAWING", "STOPPED", "MISSING"), rows)


def _process_lines(members: Iterable[MemberStatus]) -> list[str]:
    rows = [
        (m.process, m.role.value, m.zone, m.entry_host, m.liveness.value, m.complete_to or None)
        for m in sorted(members, key=lambda m: (m.zone, m.role.value, m.process))
    ]
    return table(("PROCESS", "ROLE", "ZONE", "ENTRY HOST", "STATE", "COMPLETE TO"), rows)


def _stop_section(status: Status) -> list[str]:
    if not status.stops:
        return ["", "no planned stops"]
    return ["", *stop_lines(status.stops), *_wave_lines(status.waves)]


def _wave_lines(waves: tuple[WaveStatus, ...]) -> list[str]:
    if not waves:
        return []
    rows = [
        (w.stop, w.number, len(w.hosts), "done" if w.done else "running", w.predicted_s, w.actual_s)
        for w in waves
    ]
    return ["", *table(("STOP", "WAVE", "HOSTS", "STATE", "PREDICTED S", "TAKEN S"), rows)]


def _list_names(processes: Iterable[str]) -> str:
    names = sorted(processes)
    more = f" and {len(names) - MAX_LISTED_NAMES} more" if len(names) > MAX_LISTED_NAMES else ""
    return ", ".join(names[:MAX_LISTED_NAMES]) + more
