"""Which entry hosts stop taking callers for a planned stop."""

from collections.abc import Collection, Sequence

from lentilrill.ids import HostId
from lentilrill.membership._records import Member

__all__ = ["drains"]


def drains(me: Member, gateways: Sequence[Member], to_stop: Collection[HostId]) -> bool:
    """Return whether this gateway's entry host should send its callers elsewhere now.

    Guard against a zone without callers' entry: a planned stop that names all entry hosts of a
    zone, or all that are left of it, would drain the last one too. So if all living gateways
    are to stop, the last of them in order goes on until another one is back.

    :param gateways: living gateways of the zone, this one among them.
    :param to_stop: hosts named by planned stops.
    """
    if me.entry_host not in to_stop:
        return False
    entry_hosts = sorted({member.entry_host for member in gateways})
    others_stay = any(host not in to_stop for host in entry_hosts)
    return others_stay or me.entry_host != entry_hosts[-1]
