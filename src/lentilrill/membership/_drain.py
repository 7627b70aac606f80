"""Selection of the entry hosts that drain their callers for a planned stop."""

from collections.abc import Collection, Sequence

from lentilrill.ids import HostId
from lentilrill.membership._records import Member

__all__ = ["should_drain"]


def should_drain(me: Member, gateways: Sequence[Member], to_stop: Collection[HostId]) -> bool:
    """Return whether this gateway's entry host should drain its callers.

    If a planned stop names all entry hosts of a zone, or all that are still alive, the last one
    in order keeps serving until another one is back, so that callers can always reach the zone.

    :param gateways: living gateways of the zone, including this one.
    :param to_stop: hosts named by planned stops.
    """
    if me.entry_host not in to_stop:
        return False
    entry_hosts = sorted({member.entry_host for member in gateways})
    others_remain = any(host not in to_stop for host in entry_hosts)
    return others_remain or me.entry_host != entry_hosts[-1]
