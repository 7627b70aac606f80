"""Numbered log events with key=value fields, through absl.logging."""

import sys
from enum import Enum

from absl import flags, logging

__all__ = ["Event", "Level", "log", "setup"]


class Level(Enum):
    """How much an event matters to the people on duty."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(Enum):
    """Every event the system logs: number, level, meaning. docs/events.md is checked against it.

    Numbers are never reused. Blocks: 1 process, 2 inner protocol, 3 membership, 4 platform,
    5 configuration, 6 fleet, 7 request path, 8 claims, 9 operators.
    """

    PROCESS_STARTED = (101, Level.INFO, "The process serves.")
    PROCESS_DRAINING = (102, Level.INFO, "The process was told to stop and lets requests finish.")
    PROCESS_STOPPED = (103, Level.INFO, "The process ended cleanly.")
    TASK_FAILED = (104, Level.ERROR, "A task met an error it did not expect and was restarted.")
    INNER_DROPPED = (201, Level.WARNING, "A malformed or unexpected message was dropped.")
    INNER_REPLACED = (202, Level.INFO, "A silent connection to a peer was replaced.")
    MEMBER_ALIVE = (301, Level.INFO, "A peer is heard.")
    MEMBER_SUSPECT = (302, Level.WARNING, "A peer is silent; no new work goes to it.")
    MEMBER_GONE = (303, Level.INFO, "A peer is proved to have ended.")
    ZONE_RECORDED = (304, Level.INFO, "The zone's record of members was written.")
    PLATFORM_LOST = (401, Level.WARNING, "The platform does not answer; calls are held back.")
    PLATFORM_BACK = (402, Level.INFO, "The platform answers again.")
    PLATFORM_CALL_FAILED = (403, Level.WARNING, "A platform call failed.")
    WATCH_SILENT = (404, Level.WARNING, "The watch missed a change and is begun anew.")
    DOCUMENT_IN_FORCE = (501, Level.INFO, "A revision of the document is in force here.")
    EDIT_ACCEPTED = (901, Level.INFO, "An operator's edit took effect.")
    EDIT_REFUSED = (902, Level.INFO, "An operator's edit was refused; nothing was changed.")
    EDIT_UNKNOWN = (903, Level.WARNING, "The answer to an edit was lost; it may be in effect.")
    AUDIT_DROPPED = (904, Level.WARNING, "Records of refused edits could not be kept.")
    OPERATOR_DENIED = (905, Level.WARNING, "A request without a known operator token came.")
    OPERATOR_REQUEST_FAILED = (906, Level.ERROR, "A request met an error it did not expect.")

    ROUTING_INVARIANT = (750, Level.ERROR, "A scheduler's accounts contradict each other.")
    SCHEDULER_STARTED = (751, Level.INFO, "This process schedules a pool of its zone from now on.")
    SCHEDULER_ENDED = (752, Level.INFO, "Another process schedules the pool from now on.")
    HOST_EJECTED = (753, Level.WARNING, "A host failed too often and gets no jobs for a while.")
    HOST_RESTORED = (754, Level.INFO, "A host that was ejected answers well again.")
    HOST_LEAVING = (755, Level.INFO, "A host said that it is leaving and gets no more jobs.")
    GRANT_RECLAIMED = (756, Level.WARNING, "A slot was freed whose gateway never reported it.")
    WITHDRAWAL_ACKNOWLEDGED = (757, Level.INFO, "Nothing of this process is sent to a host now.")

    INVARIANT_BROKEN = (701, Level.ERROR, "A rule that must always hold was about to be broken.")
    CALLER_FAILED = (702, Level.WARNING, "A caller's connection failed in an unexpected way.")
    ENDPOINT_UNREACHABLE = (703, Level.WARNING, "No connection to an endpoint could be opened.")
    EXCHANGE_BROKEN = (704, Level.WARNING, "A job was sent and no whole answer came back.")

    HOST_ASSIGNED = (601, Level.INFO, "A host of the list was put into its first pool.")
    WITHDRAWAL_PROPOSED = (602, Level.INFO, "A host begins to leave its pool.")
    WITHDRAWAL_CLOSED = (603, Level.INFO, "Nothing sends to a host any more; it was released.")
    HOST_RETURNED = (604, Level.INFO, "A host serves in its pool again.")
    HOST_DROPPED = (605, Level.INFO, "A host is retired or gone, and was forgotten.")
    FLEET_WRITE_FAILED = (606, Level.INFO, "Another writer was first, or the platform is away.")
    FLEET_INVARIANT = (607, Level.ERROR, "A promise of the fleet was about to be broken.")
    STOP_WAITS = (608, Level.INFO, "A planned stop waits; the reason has changed.")
    SHARD_TAKEN = (801, Level.INFO, "This process owns a shard of idempotency keys now.")
    CLAIMS_UNAVAILABLE = (802, Level.WARNING, "Claims of a shard can't be committed now.")
    OUTCOME_DROPPED = (803, Level.WARNING, "An outcome was not kept; its key stays in progress.")

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
        """What the event says, in one sentence."""
        return self.value[2]


_WRITERS = {
    Level.INFO: logging.info,
    Level.WARNING: logging.warning,
    Level.ERROR: logging.error,
}


@logging.skip_log_prefix
def log(event: Event, **fields: object) -> None:
    """Log ``event`` with its number, name and fields on one line."""
    text = " ".join(f"{name}={_shown(value)}" for name, value in fields.items())
    _WRITERS[event.level]("E%d %s %s", event.number, event.name.lower(), text)


def setup(level: str) -> None:
    """Send log lines at or above ``level`` (debug, info, warning, error) to stderr."""
    flags.FLAGS([sys.argv[0]])
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, level.upper()))
    logging.set_stderrthreshold(level)
    sys.stderr.reconfigure(line_buffering=True)  # type: ignore[union-attr]


def _shown(value: object) -> str:
    text = str(value)
    return repr(text) if " " in text or not text else text
