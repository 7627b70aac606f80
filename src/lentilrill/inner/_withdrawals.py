"""Messages about withdrawals and unhealthy hosts."""

import msgspec

from lentilrill.ids import HostId, Revision
from lentilrill.membership import Member

__all__ = ["Barred", "HostTrouble", "WithdrawalAck"]


class Barred(msgspec.Struct, frozen=True):
    """A blocked host, to which the sender no longer sends work.

    :param revision: revision of the pool record in which the sender read the withdrawal.
    """

    host: HostId
    revision: Revision


class WithdrawalAck(msgspec.Struct, frozen=True, tag="withdrawal_ack"):
    """Acknowledgement that the sender has no request in flight to these hosts.

    This includes requests that were checked but not yet sent.
    """

    member: Member
    barred: tuple[Barred, ...]


class HostTrouble(msgspec.Struct, frozen=True, tag="host_trouble"):
    """Hosts that a scheduler has ejected or that are leaving, sent to the controllers."""

    member: Member
    ejected: tuple[HostId, ...]
    leaving: tuple[HostId, ...]
