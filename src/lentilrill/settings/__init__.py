"""Settings of the processes and the operators' document."""

from lentilrill.settings._document import (
    Document,
    Entitlement,
    Objective,
    Plan,
    PlannedStop,
    Pool,
    Urgency,
)
from lentilrill.settings._process import (
    ControllerSettings,
    GatewaySettings,
    InnerKeys,
    PlatformSettings,
    ProcessSettings,
    load_settings,
)

__all__ = [
    "ControllerSettings",
    "Document",
    "Entitlement",
    "GatewaySettings",
    "InnerKeys",
    "Objective",
    "Plan",
    "PlannedStop",
    "PlatformSettings",
    "Pool",
    "ProcessSettings",
    "Urgency",
    "load_settings",
]
