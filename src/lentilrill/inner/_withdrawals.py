"""Messages of a withdrawal."""

import msgspec

from lentilrill.ids import HostId, Revision
from lentilrill.membership import Member

__all__ = ["Barred", "HostTrouble", "WithdrawalAck"]


class Barred(msgspec.Struct, frozen=True):
    """One host the sender will not send to any more.

    :param revision: revision of the pool record in which the sender saw the withdrawal.
    """

    host: HostId
    revision: Revision


class WithdrawalAck(msgspec.Struct, frozen=True, tag="withdrawal_ack"):
    """The sender has nothing in flight, or between its check and its send, on these hosts."""

    member: Member
    barred: tuple[Barred, ...]


class HostTrouble(msgspec.Struct, frozen=True, tag="host_trouble"):
    """Hosts that a scheduler has ejected, or that said they are leaving, told to controllers."""

    member: Member
    ejected: tuple[HostId, ...]
    leaving: tuple[HostId, ...]
