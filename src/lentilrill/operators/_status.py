"""Status of the fleet and of the system's own processes, as shown to operators."""

from enum import Enum

import msgspec

from lentilrill.ids import (
    EntryHostId,
    HostId,
    Incarnation,
    PoolId,
    ProcessId,
    Revision,
    ServiceId,
    StopId,
    ZoneId,
)
from lentilrill.membership import Liveness, Role

__all__ = [
    "MemberStatus",
    "PoolStatus",
    "Propagation",
    "Status",
    "StopState",
    "StopStatus",
    "WaveStatus",
    "propagation_of",
]


class MemberStatus(msgspec.Struct, frozen=True):
    """One process of the system as the answering controller sees it.

    :param complete_to: store revision up to which the process last reported its copy complete.
    """

    process: ProcessId
    incarnation: Incarnation
    role: Role
    zone: ZoneId
    entry_host: EntryHostId
    liveness: Liveness
    complete_to: Revision


class PoolStatus(msgspec.Struct, frozen=True):
    """Host counts of one pool.

    :param owed: hosts that plans are owed.
    :param serving: hosts that accept new jobs.
    :param withdrawing: hosts being withdrawn.
    :param stopped: hosts that are withdrawn.
    :param missing: owed hosts that the pool currently lacks.
    """

    pool: PoolId
    service: ServiceId
    spare: bool = False
    owed: int = 0
    serving: int = 0
    withdrawing: int = 0
    stopped: int = 0
    missing: int = 0


class StopState(Enum):
    """Progress of a planned stop."""

    WAITING = "waiting"
    """Not started; ``why`` says what it waits for."""
    WITHDRAWING = "withdrawing"
    """Some hosts are still finishing their jobs or have not been withdrawn yet."""
    STOPPED = "stopped"
    """Every host that has not been restarted yet can be stopped now."""
    DONE = "done"
    """Every host has been restarted and serves again, or is retired."""


class StopStatus(msgspec.Struct, frozen=True):
    """One planned stop.

    :param why: human-readable reason for a delay; empty if there is none.
    :param waiting: hosts whose withdrawal has not started.
    :param withdrawing: hosts being withdrawn.
    :param stopped: hosts that can be stopped now.
    :param done: hosts that have been restarted and serve again, or are retired.
    :param expected_s: estimated seconds until every host can be stopped; ``None`` if unknown.
    """

    id: StopId
    state: StopState
    reason: str = ""
    why: str = ""
    retire: bool = False
    waiting: tuple[HostId, ...] = ()
    withdrawing: tuple[HostId, ...] = ()
    stopped: tuple[HostId, ...] = ()
    done: tuple[HostId, ...] = ()
    expected_s: float | None = None


class WaveStatus(msgspec.Struct, frozen=True):
    """One wave of a planned stop.

    :param predicted_s: predicted duration in seconds; ``None`` if unknown.
    :param actual_s: elapsed seconds, or the final duration once the wave is done.
    """

    stop: StopId
    number: int
    hosts: tuple[HostId, ...]
    done: bool = False
    predicted_s: float | None = None
    actual_s: float | None = None


class Status(msgspec.Struct, frozen=True):
    """The status of the fleet and of the system, as seen by one controller.

    :param process: the controller that answers.
    :param zone: the controller's zone.
    :param document_revision: revision of the document in force at this controller.
    :param platform_reachable: whether the platform answered the controller's last call.
    """

    process: ProcessId
    zone: ZoneId
    document_revision: Revision
    platform_reachable: bool
    members: tuple[MemberStatus, ...] = ()
    pools: tuple[PoolStatus, ...] = ()
    stops: tuple[StopStatus, ...] = ()
    waves: tuple[WaveStatus, ...] = ()


class Propagation(msgspec.Struct, frozen=True):
    """Where a revision of the document is in force.

    :param reached: processes that are complete to the revision.
    :param behind: live processes that are not.
    :param unheard: suspect processes that were not complete to it when last heard from.
    """

    revision: Revision
    reached: tuple[ProcessId, ...]
    behind: tuple[ProcessId, ...]
    unheard: tuple[ProcessId, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every process that may still run has the revision."""
        return bool(self.reached) and not self.behind and not self.unheard


def propagation_of(status: Status, revision: Revision) -> Propagation:
    """Return where ``revision`` is in force, ignoring processes that are known to be gone.

    A suspect process counts as unheard unless it had reached the revision before contact was lost:
    it may be partitioned and still serve callers with an older document.
    """
    reached, behind, unheard = [], [], []
    for member in status.members:
        if member.liveness is Liveness.GONE:
            continue
        if member.complete_to >= revision:
            reached.append(member.process)
        elif member.liveness is Liveness.SUSPECT:
            unheard.append(member.process)
        else:
            behind.append(member.process)
    return Propagation(revision, tuple(reached), tuple(behind), tuple(unheard))
