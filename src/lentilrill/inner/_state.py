"""Messages about members and mirrored state."""

import msgspec

from lentilrill.ids import Revision
from lentilrill.membership import Member
from lentilrill.platform import Item

__all__ = ["Heartbeat", "Leave", "StateAsk", "StateItems"]


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """The sender lives, and how far its mirror is complete."""

    member: Member
    complete_to: Revision


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The sender ends cleanly: nothing of it is in flight, and it sends nothing any more."""

    member: Member


class StateAsk(msgspec.Struct, frozen=True, tag="state_ask"):
    """Asks for the state items changed after ``after``, to be sent to ``reply_to``."""

    after: Revision
    reply_to: str


class StateItems(msgspec.Struct, frozen=True, tag="state_items"):
    """State items; all those after ``after`` and up to ``complete_to``.

    A receiver whose mirror is not complete to ``after`` takes the items but not ``complete_to``.
    """

    items: tuple[Item, ...]
    after: Revision
    complete_to: Revision
