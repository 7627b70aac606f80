"""Reports of gateways about hosts that are listed as live but not available."""

import threading
import time

import msgspec

from lentilrill.ids import HostId
from lentilrill.inner import HostTrouble
from lentilrill.membership import MembershipList

__all__ = ["TroubleReports"]

REPORT_TTL_S = 10.0
"""Gateways repeat their reports; the last one of a silent gateway expires."""

HostIds = frozenset[HostId]


class _Report(msgspec.Struct, frozen=True):
    """Last report of a gateway, and the time at which it expires."""

    message: HostTrouble
    expires: float


class TroubleReports:
    """Last report of each gateway of the zone, with the status that other zones send."""

    def __init__(self, membership: MembershipList) -> None:
        self._membership = membership
        self._lock = threading.Lock()
        self._report_by_sender: dict[tuple[str, int], _Report] = {}

    def record(self, message: HostTrouble, now: float) -> None:
        """Record the report of a gateway."""
        sender = (message.member.process, message.member.incarnation)
        with self._lock:
            self._report_by_sender[sender] = _Report(message, now + REPORT_TTL_S)

    def in_zone(self, now: float) -> tuple[HostIds, HostIds]:
        """Return the hosts of this zone that are ejected, and those that announced leaving."""
        with self._lock:
            for sender in [s for s, r in self._report_by_sender.items() if r.expires < now]:
                del self._report_by_sender[sender]
            messages = [report.message for report in self._report_by_sender.values()]
        ejected = frozenset(host for message in messages for host in message.ejected)
        leaving = frozenset(host for message in messages for host in message.leaving)
        return ejected, leaving

    def in_all_zones(self, now: float) -> tuple[HostIds, HostIds]:
        """Return the hosts of all zones that are ejected, and those that announced leaving.

        A host that is listed as live but fails its jobs uses budget like a stopped one. Gateways
        report it only to the controllers of its own zone, while the controller that acts on the
        pool may be in another zone and would spend the budget a second time.
        """
        ejected, leaving = self.in_zone(now)
        for zone_status in self._membership.zone_statuses():
            if time.monotonic() - zone_status.at <= REPORT_TTL_S:
                ejected, leaving = ejected | zone_status.ejected, leaving | zone_status.leaving
        return ejected, leaving
