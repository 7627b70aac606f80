"""Numbered log events with fields, through absl.logging."""

import threading
import time
from enum import Enum

from absl import logging

__all__ = ["Event", "Level", "log"]


MAX_LINES_PER_S = 10
"""Lines a second of each event that callers can cause at will."""


class Level(Enum):
    """Severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(Enum):
    """Every event the system logs: number, level, meaning. A test compares docs/events.md with it.

    Numbers are never reused. Blocks: 1 process, 2 inner protocol, 3 membership, 4 platform,
    5 configuration, 6 fleet, endpoints and jobs, 7 request path, 8 claims, 9 operators.
    """

    PROCESS_STARTED = (101, Level.INFO, "The process is serving.")
    PROCESS_DRAINING = (
        102,
        Level.INFO,
        "The process was asked to stop and finishes the requests in flight.",
    )
    PROCESS_STOPPED = (103, Level.INFO, "The process ended cleanly.")
    TASK_FAILED = (104, Level.ERROR, "A task raised an unexpected exception and was restarted.")
    INNER_DROPPED = (
        201,
        Level.WARNING,
        "A malformed or unexpected message was dropped, or a connection was refused.",
    )
    INNER_REPLACED = (202, Level.INFO, "A silent connection to a peer was replaced.")
    MEMBER_REGISTERED = (305, Level.INFO, "This process is registered under a new lease.")
    PREDECESSOR_ENDED = (
        307,
        Level.INFO,
        "The lease of the previous process of this host was revoked.",
    )
    LEASE_LAPSED = (
        308,
        Level.WARNING,
        "The lease of this process ended; the process owns nothing any more.",
    )
    SHARD_CLAIMED = (309, Level.INFO, "This process became the owner of a shard.")
    SHARD_NOT_CLAIMED = (310, Level.INFO, "A claim of a shard failed, or its answer was lost.")
    SHARD_LOST = (311, Level.WARNING, "This process is no longer the owner of a shard.")
    SHARD_RELEASED = (312, Level.INFO, "This process released a shard so that others can claim it.")
    SHARD_LOADED = (
        313,
        Level.INFO,
        "The records that previous owners of the shard stored were loaded.",
    )
    SHARD_NOT_LOADED = (
        314,
        Level.WARNING,
        "The records of previous owners of the shard could not be loaded yet.",
    )
    SHARD_HANDED_OVER = (
        315,
        Level.INFO,
        "A shard was handed over to a host with more capacity for it.",
    )
    PACE_CHANGED = (316, Level.INFO, "The relative speed of this host changed.")
    MEMBER_ALIVE = (301, Level.INFO, "A peer sends heartbeats.")
    MEMBER_SUSPECT = (302, Level.WARNING, "A peer is silent; no new work is sent to it.")
    MEMBER_GONE = (303, Level.INFO, "A peer is proved to have ended.")
    ZONE_RECORDED = (304, Level.INFO, "The zone's record of members was written.")
    PLATFORM_LOST = (
        401,
        Level.WARNING,
        "The platform does not answer; calls fail without being sent.",
    )
    PLATFORM_BACK = (402, Level.INFO, "The platform answers again.")
    PLATFORM_CALL_FAILED = (403, Level.WARNING, "A platform call failed.")
    WATCH_SILENT = (404, Level.WARNING, "The watch missed a change and is restarted.")
    WATCH_BROKEN = (405, Level.WARNING, "A watch or the read before it failed; it is restarted.")
    RECORD_ODD = (406, Level.WARNING, "A record of another writer is malformed and is ignored.")
    DOCUMENT_IN_FORCE = (501, Level.INFO, "A revision of the document took effect in this process.")
    DEPENDENCY_LOST = (407, Level.WARNING, "A dependency of this process started to fail.")
    DEPENDENCY_BACK = (408, Level.INFO, "A dependency of this process works again.")
    ANSWER_TOO_LONG = (
        409,
        Level.WARNING,
        "An answer to this process was longer than its limit, and its connection was closed.",
    )
    CONFIGURATION_IN_FORCE = (
        502,
        Level.INFO,
        "A version of the configuration took effect in this process.",
    )
    SETTINGS_RELOADED = (503, Level.INFO, "The settings file was reloaded.")
    SETTINGS_ODD = (
        504,
        Level.WARNING,
        "The changed settings are invalid; the previous ones stay in effect.",
    )
    EDIT_ACCEPTED = (901, Level.INFO, "An operator's edit took effect.")
    EDIT_REFUSED = (902, Level.INFO, "An operator's edit was refused; nothing was changed.")
    EDIT_UNKNOWN = (
        903,
        Level.WARNING,
        "The answer to an edit was lost; the edit may have taken effect.",
    )
    AUDIT_DROPPED = (904, Level.WARNING, "Audit records of refused edits could not be stored.")
    OPERATOR_DENIED = (905, Level.WARNING, "A request had no valid operator token.")
    OPERATOR_REQUEST_FAILED = (906, Level.ERROR, "A request raised an unexpected exception.")

    ROUTING_INVARIANT = (750, Level.ERROR, "The accounting of a scheduler is inconsistent.")
    SCHEDULER_STARTED = (
        751,
        Level.INFO,
        "This process became the scheduler of a pool in its zone.",
    )
    SCHEDULER_ENDED = (752, Level.INFO, "Another process became the scheduler of the pool.")
    HOST_EJECTED = (753, Level.WARNING, "A host failed too often and gets no jobs for some time.")
    HOST_RESTORED = (754, Level.INFO, "A host that was ejected answers again without errors.")
    HOST_LEAVING = (755, Level.INFO, "A host reported that it is leaving and gets no more jobs.")
    GRANT_RECLAIMED = (
        756,
        Level.WARNING,
        "A slot was reclaimed because its gateway never reported the result.",
    )
    WITHDRAWAL_ACKNOWLEDGED = (
        757,
        Level.INFO,
        "This process sends nothing more to a host that is being withdrawn.",
    )

    INVARIANT_BROKEN = (701, Level.ERROR, "An invariant was about to be violated.")
    CALLER_FAILED = (702, Level.WARNING, "The connection of a caller failed unexpectedly.")
    CALLERS_LIMITED = (
        705,
        Level.WARNING,
        "Callers met a limit of a server; logged at most once in 10 s for each limit.",
    )
    ENDPOINT_UNREACHABLE = (703, Level.WARNING, "No connection to an endpoint could be opened.")
    EXCHANGE_BROKEN = (704, Level.WARNING, "A job was sent, but no complete answer came back.")

    ENDPOINT_LOST = (
        650,
        Level.WARNING,
        "An endpoint does not answer; no new tasks are sent to it.",
    )
    ENDPOINT_BACK = (651, Level.INFO, "An endpoint answers.")
    ENDPOINT_GONE = (652, Level.INFO, "Another endpoint now uses the address; this one has ended.")
    ENDPOINT_REBORN = (
        653,
        Level.INFO,
        "An endpoint restarted; none of its previous runs exist any more.",
    )
    ENDPOINT_ANSWERS_ANEW = (
        664,
        Level.INFO,
        "An answer to an order comes from a process of the endpoint that was not polled yet.",
    )
    WAVE_STATE = (654, Level.INFO, "A wave of upkeep started or completed.")
    HOST_RELEASED = (655, Level.INFO, "A host is drained and may be taken down.")
    HOST_ORDERED = (656, Level.INFO, "A host was ordered into upkeep or into another pool.")
    HOST_WAITS = (657, Level.INFO, "A host cannot be drained yet; the reason has changed.")
    HOST_UP = (658, Level.INFO, "A host is back from upkeep or from a move.")
    POOL_SIZED = (659, Level.INFO, "The target number of hosts of a pool changed.")
    ANSWER_IGNORED = (
        662,
        Level.INFO,
        "An answer to a former process at this address, or one that doesn't tell, was ignored.",
    )
    QUEUE_UNKNOWN = (668, Level.INFO, "A request matches no queue of the configuration in force.")
    JOB_ODD = (669, Level.INFO, "A caller submitted a malformed job.")
    PENDING_UNKNOWN = (
        666,
        Level.INFO,
        "A pool's newest report doesn't tell how many jobs of a queue are pending in it.",
    )
    KEY_REFUSED = (667, Level.INFO, "The key of a request belongs to no workspace.")
    RENEWAL_UNANSWERED = (
        691,
        Level.WARNING,
        "A poll that only renews run leases got no answer, while an owner loads or hands over.",
    )
    ALLOWANCE_NOT_STORED = (
        690,
        Level.WARNING,
        "What a pool holds of a workspace's cap could not be stored.",
    )
    ALLOWANCE_UNREADABLE = (
        695,
        Level.WARNING,
        "The record of a workspace's allowances can't be decoded; its pools write it anew.",
    )
    JOB_ANSWERED = (670, Level.INFO, "A submitted job was answered.")
    CANCEL_ANSWERED = (671, Level.INFO, "A request to cancel a job was answered.")
    CANCEL_NOT_MARKED = (
        665,
        Level.WARNING,
        "A cancel of a job that isn't stored could not be kept, and was not acknowledged.",
    )
    JOB_NOT_READ = (
        672,
        Level.WARNING,
        "The records of a job could not be read to answer a caller.",
    )
    COMMIT_FAILED = (673, Level.WARNING, "Accepted jobs could not be committed.")
    JOB_CANCELLED = (674, Level.INFO, "The owner recorded that a job is cancelled.")
    JOB_ENDED = (675, Level.INFO, "The final state of a job is stored.")
    RUN_ADOPTED = (676, Level.INFO, "This owner tracks a run that another owner started.")
    RUN_UNKNOWN = (
        677,
        Level.WARNING,
        "An endpoint runs a task of a job that this owner does not know.",
    )
    ENDS_LISTED = (
        663,
        Level.INFO,
        "An endpoint has more ends of runs than one answer lists, or has listed the last of them.",
    )
    RUN_ENDED = (678, Level.INFO, "An untracked run ended, neither done nor failed.")
    ENDPOINT_SPEED = (
        699,
        Level.INFO,
        "The verdict on an endpoint's speed has changed; what decided is given.",
    )
    RUN_STUCK = (683, Level.WARNING, "A run makes no progress and is stopped, to be run elsewhere.")
    ORDER_UNANSWERED = (685, Level.WARNING, "An order got no answer and is sent again.")
    UNKNOWN_RUNS_GONE = (
        693,
        Level.INFO,
        "Runs of jobs that this owner does not know have ended on a lost endpoint.",
    )
    ENDPOINT_CRASHED = (
        694,
        Level.WARNING,
        "An endpoint crashed within a second of a task's start there; the task is given up "
        "after several.",
    )
    PREVIOUS_ENDPOINT_ENDED = (
        697,
        Level.INFO,
        "After a take-over, the list of hosts shows that an endpoint without an answer has ended.",
    )
    PREVIOUS_ENDPOINT_GIVEN_UP = (
        609,
        Level.WARNING,
        "After a take-over, an endpoint without an answer is no longer waited for: any lease that "
        "a previous owner gave there has expired.",
    )
    TASK_HELD = (
        696,
        Level.WARNING,
        "A task may have crashed as many endpoints as give it up; it waits until that is known, "
        "but no longer than the bound given.",
    )
    RUN_STOPPED = (698, Level.INFO, "A run is ordered to stop.")
    RUN_NOT_STOPPED = (
        692,
        Level.WARNING,
        "An endpoint still runs what it was told to stop; it is told again.",
    )
    TASK_IDLE = (
        687,
        Level.WARNING,
        "A task whose turn has come has had no run for seconds; the reason is given.",
    )
    OWNER_LATE = (
        688,
        Level.WARNING,
        "Rounds, starts, polls or lease renewals of a pool's owner are late.",
    )
    RUN_DRAINED = (
        689,
        Level.INFO,
        "A long-running task is stopped because its endpoint is being drained.",
    )
    STEP_ADVISED = (
        686,
        Level.INFO,
        "The policy service returned the endpoints that may run a step.",
    )
    CLAIMS_NOT_STORED = (
        660,
        Level.WARNING,
        "Claims of jobs that an earlier version accepted could not be stored; it is tried again.",
    )
    JOB_ACCEPTED_TWICE = (
        661,
        Level.ERROR,
        "A job that an earlier version accepted is claimed by another pool as well.",
    )
    JOBS_FORGOTTEN = (684, Level.INFO, "Records of jobs that ended long ago were removed.")
    RUN_FAILED = (679, Level.INFO, "A run failed.")
    RUN_GONE = (680, Level.INFO, "A run is over; its task waits again unless it is done.")
    START_REFUSED = (681, Level.INFO, "An endpoint refused to start a run.")
    PROGRESS_NOT_STORED = (
        682,
        Level.WARNING,
        "Progress could not be stored; the write is retried.",
    )
    COPY_STARTED = (
        730,
        Level.INFO,
        "A task that is late gets a second run on another endpoint; what decided is given.",
    )
    COPY_ENDED = (
        731,
        Level.INFO,
        "A task with two runs is done, or has one run again; what was wasted is given.",
    )
    RELOCATION_STARTED = (
        732,
        Level.INFO,
        "A task with checkpoints is stopped on a slow endpoint to go on elsewhere.",
    )
    TASK_RELOCATED = (
        733,
        Level.INFO,
        "A task that was moved works on elsewhere, or isn't waited for any more.",
    )
    HOST_ASSIGNED = (601, Level.INFO, "A listed host was assigned to its first pool.")
    WITHDRAWAL_PROPOSED = (602, Level.INFO, "The withdrawal of a host from its pool started.")
    WITHDRAWAL_CLOSED = (
        603,
        Level.INFO,
        "No process sends to a host any more, and the host was released.",
    )
    HOST_RETURNED = (604, Level.INFO, "A host serves in its pool again.")
    HOST_DROPPED = (605, Level.INFO, "A host was retired or is gone, and its record was removed.")
    FLEET_WRITE_FAILED = (
        606,
        Level.INFO,
        "Another writer was first, or the platform is unavailable.",
    )
    FLEET_INVARIANT = (607, Level.ERROR, "An invariant of the fleet was about to be violated.")
    STOP_WAITS = (608, Level.INFO, "A planned stop waits; the reason has changed.")
    SHARD_TAKEN = (801, Level.INFO, "This process became the owner of a shard of idempotency keys.")
    CLAIMS_UNAVAILABLE = (802, Level.WARNING, "Claims of a shard cannot be committed at present.")
    OUTCOME_DROPPED = (803, Level.WARNING, "An outcome was not stored; its key stays in progress.")

    @property
    def number(self) -> int:
        """The event's number."""
        return self.value[0]

    @property
    def level(self) -> Level:
        """The event's level."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """The meaning of the event in one sentence."""
        return self.value[2]


_LEVELS = {
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


_FROM_CALLERS = frozenset(
    (Event.QUEUE_UNKNOWN, Event.KEY_REFUSED, Event.JOB_ODD, Event.OPERATOR_DENIED)
)
"""Events of which a caller could cause one with each request, before it is known who it is."""


class _Limiter:
    """Admits a few lines a second of each event, and counts those that it drops."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._began_at: dict[Event, float] = {}
        self._lines: dict[Event, int] = {}
        self._dropped: dict[Event, int] = {}

    def admit(self, event: Event) -> int | None:
        """Return how many lines were dropped since the last one; ``None`` to drop this one."""
        now = time.monotonic()
        with self._lock:
            if now - self._began_at.get(event, -1.0) >= 1.0:
                self._began_at[event] = now
                self._lines[event] = 0
            self._lines[event] += 1
            if self._lines[event] > MAX_LINES_PER_S:
                self._dropped[event] = self._dropped.get(event, 0) + 1
                return None
            return self._dropped.pop(event, 0)


_limiter = _Limiter()


def log(event: Event, **fields: object) -> None:
    """Log ``event`` with its number, name and fields on one line."""
    if event in _FROM_CALLERS:
        dropped = _limiter.admit(event)
        if dropped is None:
            return
        if dropped:
            fields["dropped"] = dropped
    encoded = {name: _loggable(value) for name, value in fields.items()}
    logging.log(
        _LEVELS[event.level],
        "E%d %s %s",
        event.number,
        event.name.lower(),
        encoded,
        extra={"fields": {"id": event.number, "event": event.name.lower(), **encoded}},
    )


def _loggable(value: object) -> object:
    if isinstance(value, tuple):
        return ".".join(str(part) for part in value)
    return value if isinstance(value, str | int | float | bool | None) else str(value)
