"""Settings of the processes and the operators' document."""

from lentilrill.settings._checks import check
from lentilrill.settings._document import (
    Document,
    Entitlement,
    Objective,
    Plan,
    PlannedStop,
    Pool,
    Urgency,
)
from lentilrill.settings._findings import Finding, Severity, errors_of
from lentilrill.settings._lists import EntitlementsFile, decode_lists, encode_lists
from lentilrill.settings._loading import load_settings
from lentilrill.settings._process import (
    ControllerSettings,
    EntryHostLimits,
    EntrySettings,
    GatewaySettings,
    InnerKeys,
    PlatformSettings,
    ProcessSettings,
    StoreSettings,
)

__all__ = [
    "ControllerSettings",
    "Document",
    "Entitlement",
    "EntitlementsFile",
    "EntryHostLimits",
    "EntrySettings",
    "Finding",
    "GatewaySettings",
    "InnerKeys",
    "Objective",
    "Plan",
    "PlannedStop",
    "PlatformSettings",
    "Pool",
    "ProcessSettings",
    "Severity",
    "StoreSettings",
    "Urgency",
    "check",
    "decode_lists",
    "encode_lists",
    "errors_of",
    "load_settings",
]
