"""Whom a head tells of what it knows of every zone."""

import math
import random
from collections.abc import Collection

from lentilrill.ids import ZoneId
from lentilrill.membership import Role, RosterView

__all__ = ["OtherZones"]

FEW_PEERS = 2
"""Peers below which strangers are tried at every beat."""
STRANGER_EVERY = 5
"""Heartbeats between two in which a head tries another controller at random."""
SECOND_HEAD_EVERY = 4
"""Heartbeats between two in which the second head tells other zones."""


class OtherZones:
    """The first heads of all zones form a ring, in the order of the zones' names.

    News crosses it in about twice the root of the number of zones beats. A fixed few peers keep
    the number of open connections, and with it the pings, the same for any number of zones;
    picked at random each beat, they were all open all the time.
    """

    def __init__(self, roster: RosterView, zone: ZoneId, seeds: Collection[str]) -> None:
        self._roster = roster
        self._zone = zone
        self._seeds = seeds
        me = roster.me
        self._random = random.Random(f"{me.process}/{me.incarnation}")

    def peers(self, beat: int, zone_peers: Collection[str]) -> list[str]:
        """Return the addresses to tell at a beat; none for a member that is no head.

        The second head steps in now and then: its word reaches the other zones also when just
        the first is cut off.

        :param zone_peers: addresses of members of this process's own zone.
        """
        heads = self._roster.heads()
        is_second = self._roster.me in heads[1:] and beat % SECOND_HEAD_EVERY == 0
        if self._roster.me not in heads[:1] and not is_second:
            return []
        chosen = self._ring()
        # While a zone is believed silent none of its members is alive here; its seeds and
        # registered members are still tried, or two zones that were cut would never meet again.
        if len(chosen) < FEW_PEERS or beat % STRANGER_EVERY == 0:
            chosen |= self._stranger(zone_peers)
        return sorted(chosen)

    def _ring(self) -> set[str]:
        heads_by_zone = self._roster.other_heads()
        zones = sorted({self._zone, *heads_by_zone})
        steps = {1, max(2, round(math.sqrt(len(zones))))}
        own = zones.index(self._zone)
        chosen = {zones[(own + step) % len(zones)] for step in steps}
        return {heads_by_zone[zone].inner for zone in chosen if zone != self._zone}

    def _stranger(self, zone_peers: Collection[str]) -> set[str]:
        """Return one controller of another zone at random, believed alive or not."""
        known = set(self._seeds) | {
            member.inner
            for zone in self._roster.zones()
            for member in self._roster.registered_in(zone)
            if member.role is Role.CONTROLLER
        }
        known -= {self._roster.me.inner, *zone_peers}
        return {self._random.choice(sorted(known))} if known else set()
