"""Hosts that are listed as live, and yet not available: what gateways tell of them."""

import threading
import time

import msgspec

from lentilrill.ids import HostId
from lentilrill.inner import HostTrouble
from lentilrill.membership import Roster

__all__ = ["Troubles"]

TROUBLE_LASTS_S = 10.0
"""A gateway repeats its troubles; one that fell silent says nothing about hosts any more."""

Hosts = frozenset[HostId]


class _Trouble(msgspec.Struct, frozen=True):
    """What a gateway last said of hosts, and until when it counts."""

    message: HostTrouble
    until: float


class Troubles:
    """The last word of each gateway of the zone, and of the other zones."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._lock = threading.Lock()
        self._troubles: dict[tuple[str, int], _Trouble] = {}

    def note(self, message: HostTrouble, now: float) -> None:
        """Take over what a gateway tells."""
        sender = (message.member.process, message.member.incarnation)
        with self._lock:
            self._troubles[sender] = _Trouble(message, now + TROUBLE_LASTS_S)

    def of_zone(self, now: float) -> tuple[Hosts, Hosts]:
        """Return the hosts of this zone that are ejected, and those that said they leave."""
        with self._lock:
            for sender in [s for s, t in self._troubles.items() if t.until < now]:
                del self._troubles[sender]
            messages = [trouble.message for trouble in self._troubles.values()]
        ejected = frozenset(host for message in messages for host in message.ejected)
        leaving = frozenset(host for message in messages for host in message.leaving)
        return ejected, leaving

    def everywhere(self, now: float) -> tuple[Hosts, Hosts]:
        """Return the hosts of all zones that are ejected, and those that said they leave.

        Guard against a budget spent twice: a host that fails its jobs, but is listed as live,
        is away as much as a stopped one. Its own zone's controllers alone are told of it by
        gateways; the controller that acts on the pool may be another zone's.
        """
        ejected, leaving = self.of_zone(now)
        for news in self._roster.news():
            if time.monotonic() - news.at <= TROUBLE_LASTS_S:
                ejected, leaving = ejected | news.ejected, leaving | news.leaving
        return ejected, leaving
