"""Orders to hosts: waves of upkeep, and moves of hosts between pools."""

from lentilrill.upkeep._contract import HostCalls, HostOrderResult, HostRow, HostState
from lentilrill.upkeep._draining import EndpointDrainer
from lentilrill.upkeep._fleet import FLEET, FleetOwner
from lentilrill.upkeep._moves import Mover
from lentilrill.upkeep._orders import HostOrders
from lentilrill.upkeep._waves import Waves

__all__ = [
    "FLEET",
    "EndpointDrainer",
    "FleetOwner",
    "HostCalls",
    "HostOrderResult",
    "HostOrders",
    "HostRow",
    "HostState",
    "Mover",
    "Waves",
]
