"""Members of the system, their liveness, and their responsibilities."""

from lentilrill.membership._contract import MembershipList, ranked, rendezvous
from lentilrill.membership._drain import should_drain
from lentilrill.membership._records import Liveness, Member, Role, ZoneRecord, ZoneStatus, zone_key
from lentilrill.membership._tracker import LastHeartbeat, MembershipTracker

__all__ = [
    "LastHeartbeat",
    "Liveness",
    "Member",
    "MembershipList",
    "MembershipTracker",
    "Role",
    "ZoneRecord",
    "ZoneStatus",
    "ranked",
    "rendezvous",
    "should_drain",
    "zone_key",
]
