"""What a controller tells operators of the fleet and of the system's own processes."""

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
    "Reach",
    "Status",
    "StopState",
    "StopStatus",
    "WaveStatus",
    "reach",
]


class MemberStatus(msgspec.Struct, frozen=True):
    """One process of the system as the answering controller sees it.

    :param complete_to: store revision to which the process last said its copy is complete.
    """

    process: ProcessId
    incarnation: Incarnation
    role: Role
    zone: ZoneId
    entry_host: EntryHostId
    liveness: Liveness
    complete_to: Revision


class PoolStatus(msgspec.Struct, frozen=True):
    """Hosts of one pool, counted.

    :param owed: hosts that plans are owed.
    :param serving: hosts that take new jobs; the next two are on their way out or away.
    :param missing: owed hosts that the pool doesn't hold now.
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
    """How far a planned stop has come."""

    WAITING = "waiting"
    """Not begun; ``why`` says what it waits for."""
    WITHDRAWING = "withdrawing"
    """Some hosts finish their jobs or were not let go yet."""
    STOPPED = "stopped"
    """Every host that was not restarted yet is free to be stopped."""
    DONE = "done"
    """Every host was restarted and serves again, or is retired."""


class StopStatus(msgspec.Struct, frozen=True):
    """One planned stop.

    :param why: what holds it up, for people; empty if nothing does.
    :param waiting: hosts not begun; then those on their way, free to be stopped, and back again.
    :param expected_s: seconds until every host is free, if that can be told.
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
    """One batch of a planned stop.

    :param predicted_s: seconds that the batch was expected to take; ``None`` if unknown.
    :param actual_s: seconds that it has taken so far, or took.
    """

    stop: StopId
    number: int
    hosts: tuple[HostId, ...]
    done: bool = False
    predicted_s: float | None = None
    actual_s: float | None = None


class Status(msgspec.Struct, frozen=True):
    """The whole picture, as of one controller.

    :param process: the controller that answers; the next is its zone.
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


class Reach(msgspec.Struct, frozen=True):
    """Where a revision of the document is in force.

    :param reached: processes that are complete to the revision.
    :param behind: living processes that are not.
    :param unheard: suspect processes, of which nothing newer is known.
    """

    revision: Revision
    reached: tuple[ProcessId, ...]
    behind: tuple[ProcessId, ...]
    unheard: tuple[ProcessId, ...]

    @property
    def everywhere(self) -> bool:
        """Whether no process that may still run lacks the revision."""
        return bool(self.reached) and not self.behind and not self.unheard


def reach(status: Status, revision: Revision) -> Reach:
    """Return where ``revision`` is in force; processes proved to be gone don't count.

    A suspect process counts as unheard unless it had reached the revision before it fell silent:
    it may be cut off and still serve callers by its older document.
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
    return Reach(revision, tuple(reached), tuple(behind), tuple(unheard))
