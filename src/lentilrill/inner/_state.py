"""Messages about members and about the replicated state."""

import msgspec

from lentilrill.ids import HostId, ProcessId, Revision, ZoneId
from lentilrill.membership import Member
from lentilrill.store import Item

__all__ = ["Heartbeat", "Leave", "StateAsk", "StateItems", "ZoneHealth"]


class ZoneHealth(msgspec.Struct, frozen=True):
    """Latest status of one zone's members, as reported by the zone's controllers.

    :param age_s: seconds since a controller of the zone reported it.
    :param suspects: registered members that were silent.
    :param complete_to: lowest revision to which the mirrors of the other members were complete.
    :param drained: gateways that are drained for a planned stop: they accept no callers and have
        none left.
    :param ejected: workers that the zone's schedulers send no work, because they fail.
    :param leaving: workers that reported that they are leaving.
    """

    zone: ZoneId
    age_s: float
    suspects: tuple[ProcessId, ...]
    complete_to: Revision
    drained: tuple[ProcessId, ...] = ()
    ejected: tuple[HostId, ...] = ()
    leaving: tuple[HostId, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Liveness of the sender, and the revision to which its mirror is complete.

    :param answers: whether this heartbeat is an answer, so that it needs no answer itself.
    :param platform: whether the platform answered the sender's last call.
    :param drained: whether the sender accepts no callers and has none left.
    :param health: latest status of each zone that the sender has received; only controllers
        send it.
    """

    member: Member
    complete_to: Revision
    answers: bool = False
    platform: bool = True
    drained: bool = False
    health: tuple[ZoneHealth, ...] = ()


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Clean end of the sender: it has nothing in flight and sends nothing after this."""

    member: Member


class StateAsk(msgspec.Struct, frozen=True, tag="state_ask"):
    """Request for the state items changed after revision ``after``."""

    after: Revision


class StateItems(msgspec.Struct, frozen=True, tag="state_items"):
    """All state items changed after revision ``after``, up to and including ``complete_to``.

    A receiver whose mirror is not complete to ``after`` stores the items, but does not advance to
    ``complete_to``.
    """

    items: tuple[Item, ...]
    after: Revision
    complete_to: Revision
