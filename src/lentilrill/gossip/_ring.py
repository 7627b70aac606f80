"""Selection of the peers in other zones to which a head sends heartbeats."""

import math
import random
from collections.abc import Collection

from lentilrill.ids import ZoneId
from lentilrill.membership import MembershipTracker, Role

__all__ = ["ZoneRing"]

MIN_PEERS = 2
"""With fewer peers, a random controller is added at every heartbeat."""
RANDOM_PEER_EVERY_BEATS = 5
"""Every how many heartbeats a head also sends to a random controller of another zone."""
SECOND_HEAD_EVERY_BEATS = 4
"""Every how many heartbeats the second head sends to other zones."""


class ZoneRing:
    """Ring of the first heads of all zones, in the order of the zones' names.

    A status reaches all zones within about twice the square root of the number of zones
    heartbeats. The few fixed peers keep the number of open connections, and of their pings, the
    same for any number of zones. With random peers at each heartbeat, connections to all of them
    stayed open all the time.
    """

    def __init__(self, membership: MembershipTracker, zone: ZoneId, seeds: Collection[str]) -> None:
        self._membership = membership
        self._zone = zone
        self._seeds = seeds
        me = membership.me
        self._random = random.Random(f"{me.process}/{me.incarnation}")

    def peers(self, beat: int, zone_peers: Collection[str]) -> list[str]:
        """Return the addresses to send to at a heartbeat; none for a member that is not a head.

        The second head also sends periodically, so that the zone's status reaches other zones
        when only the first head is cut off.

        :param beat: number of the heartbeat.
        :param zone_peers: addresses of members of this process's own zone.
        """
        heads = self._membership.heads()
        is_second = self._membership.me in heads[1:] and beat % SECOND_HEAD_EVERY_BEATS == 0
        if self._membership.me not in heads[:1] and not is_second:
            return []
        chosen = self._ring_peers()
        # All members of a silent zone are suspect. Sending to its seeds and registered members
        # nevertheless lets two zones reconnect after a network partition.
        if len(chosen) < MIN_PEERS or beat % RANDOM_PEER_EVERY_BEATS == 0:
            chosen |= self._random_controller(zone_peers)
        return sorted(chosen)

    def _ring_peers(self) -> set[str]:
        heads_by_zone = self._membership.other_heads()
        zones = sorted({self._zone, *heads_by_zone})
        steps = {1, max(2, round(math.sqrt(len(zones))))}
        own = zones.index(self._zone)
        chosen = {zones[(own + step) % len(zones)] for step in steps}
        return {heads_by_zone[zone].inner for zone in chosen if zone != self._zone}

    def _random_controller(self, zone_peers: Collection[str]) -> set[str]:
        """Return a random controller of another zone, whether it is alive or not."""
        candidates = set(self._seeds) | {
            member.inner
            for zone in self._membership.zones()
            for member in self._membership.registered_in(zone)
            if member.role is Role.CONTROLLER
        }
        candidates -= {self._membership.me.inner, *zone_peers}
        return {self._random.choice(sorted(candidates))} if candidates else set()
