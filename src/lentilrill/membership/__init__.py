"""Members of the system, their liveness, and their responsibilities."""

from lentilrill.membership._contract import Roster, ranked, rendezvous
from lentilrill.membership._drain import should_drain
from lentilrill.membership._records import Liveness, Member, Role, ZoneNews, ZoneRecord, zone_key
from lentilrill.membership._tracker import LastHeartbeat, MembershipTracker

__all__ = [
    "LastHeartbeat",
    "Liveness",
    "Member",
    "MembershipTracker",
    "Role",
    "Roster",
    "ZoneNews",
    "ZoneRecord",
    "ranked",
    "rendezvous",
    "should_drain",
    "zone_key",
]
