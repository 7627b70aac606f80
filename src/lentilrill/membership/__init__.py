"""Members of the system, their liveness, and their responsibilities."""

from lentilrill.membership._contract import Roster, ranked, rendezvous
from lentilrill.membership._drain import drains
from lentilrill.membership._records import Liveness, Member, Role, ZoneNews, ZoneRecord, zone_key
from lentilrill.membership._roster import Heard, RosterView

__all__ = [
    "Heard",
    "Liveness",
    "Member",
    "Role",
    "Roster",
    "RosterView",
    "ZoneNews",
    "ZoneRecord",
    "drains",
    "ranked",
    "rendezvous",
    "zone_key",
]
