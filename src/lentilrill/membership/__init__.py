"""Members of the system, their liveness, and who is responsible for what."""

from lentilrill.membership._contract import Roster, rendezvous
from lentilrill.membership._records import Liveness, Member, Role, ZoneRecord, zone_key

__all__ = ["Liveness", "Member", "Role", "Roster", "ZoneRecord", "rendezvous", "zone_key"]
