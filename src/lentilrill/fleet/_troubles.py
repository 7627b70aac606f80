"""Reports of gateways about hosts that are listed as live but not available."""

import threading
import time

import msgspec

from lentilrill.ids import HostId
from lentilrill.inner import HostTrouble
from lentilrill.membership import Roster

__all__ = ["Troubles"]

TROUBLE_LASTS_S = 10.0
"""Gateways repeat their reports; the last one of a silent gateway expires."""

Hosts = frozenset[HostId]


class _Trouble(msgspec.Struct, frozen=True):
    """Last report of a gateway, and the time at which it expires."""

    message: HostTrouble
    until: float


class Troubles:
    """Last report of each gateway of the zone, with the status that other zones send."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._lock = threading.Lock()
        self._troubles: dict[tuple[str, int], _Trouble] = {}

    def note(self, message: HostTrouble, now: float) -> None:
        """Record the report of a gateway."""
        sender = (message.member.process, message.member.incarnation)
        with self._lock:
            self._troubles[sender] = _Trouble(message, now + TROUBLE_LASTS_S)

    def of_zone(self, now: float) -> tuple[Hosts, Hosts]:
        """Return the hosts of this zone that are ejected, and those that announced to leave."""
        with self._lock:
            for sender in [s for s, t in self._troubles.items() if t.until < now]:
                del self._troubles[sender]
            messages = [trouble.message for trouble in self._troubles.values()]
        ejected = frozenset(host for message in messages for host in message.ejected)
        leaving = frozenset(host for message in messages for host in message.leaving)
        return ejected, leaving

    def everywhere(self, now: float) -> tuple[Hosts, Hosts]:
        """Return the hosts of all zones that are ejected, and those that announced to leave.

        A host that is listed as live but fails its jobs uses budget like a stopped one. Gateways
        report it only to the controllers of its own zone, while the controller that acts on the
        pool may be in another zone and would spend the budget a second time.
        """
        ejected, leaving = self.of_zone(now)
        for news in self._roster.news():
            if time.monotonic() - news.at <= TROUBLE_LASTS_S:
                ejected, leaving = ejected | news.ejected, leaving | news.leaving
        return ejected, leaving
