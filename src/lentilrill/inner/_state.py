"""Messages about members and mirrored state."""

import msgspec

from lentilrill.ids import HostId, ProcessId, Revision, ZoneId
from lentilrill.membership import Member
from lentilrill.store import Item

__all__ = ["Heartbeat", "Leave", "StateAsk", "StateItems", "ZoneHealth"]


class ZoneHealth(msgspec.Struct, frozen=True):
    """What the controllers of one zone last knew of their zone's members.

    :param age_s: seconds since a controller of the zone said so.
    :param suspects: registered members that were silent.
    :param complete_to: least revision to which all other members' mirrors were complete.
    :param drained: gateways that take no callers for a planned stop, and hold none any more.
    :param ejected: workers of the zone that its schedulers send nothing, as they fail.
    :param leaving: workers of the zone that said they are leaving.
    """

    zone: ZoneId
    age_s: float
    suspects: tuple[ProcessId, ...]
    complete_to: Revision
    drained: tuple[ProcessId, ...] = ()
    ejected: tuple[HostId, ...] = ()
    leaving: tuple[HostId, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """The sender lives, and how far its mirror is complete.

    :param answers: whether it answers a heartbeat, so that it needs no answer itself.
    :param platform: whether the platform answered the sender's last call.
    :param drained: whether the sender's callers go elsewhere, and it holds none any more.
    :param health: zones the sender has heard of; only controllers tell.
    """

    member: Member
    complete_to: Revision
    answers: bool = False
    platform: bool = True
    drained: bool = False
    health: tuple[ZoneHealth, ...] = ()


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The sender ends cleanly: nothing of it is in flight, and it sends nothing any more."""

    member: Member


class StateAsk(msgspec.Struct, frozen=True, tag="state_ask"):
    """Asks for the state items changed after ``after``, to be sent to the batch's sender."""

    after: Revision


class StateItems(msgspec.Struct, frozen=True, tag="state_items"):
    """State items: all those changed after ``after`` and up to ``complete_to``.

    A receiver whose mirror is not complete to ``after`` takes the items but not ``complete_to``.
    """

    items: tuple[Item, ...]
    after: Revision
    complete_to: Revision
