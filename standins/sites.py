"""Sites, and lists of plans and entitlements, of the sizes that the users run today."""

from typing import Any

from standins.site import HostSpec, SiteSpec, digest

__all__ = ["BRAILLE_SERVICES", "JALSEVA_SERVICES", "braille_site", "jalseva_site", "lists", "token"]

BRAILLE_SERVICES = ("notices", "ballots", "schools", "library", "frontdesk")
JALSEVA_SERVICES = ("anand", "bharuch", "surat", "vadodara", "helpline")
HOSTS_PER_RACK = 4
URGENT_SERVICES = frozenset({"ballots", "anand", "surat"})
PATIENT_SERVICES = frozenset({"library", "bharuch"})


def token(service: str) -> str:
    """Return the bearer token of the service's plan."""
    return f"token-{service}"


def hosts(services: tuple[str, ...], workers: int, zones: int, **size: int) -> tuple[HostSpec, ...]:
    """Return ``workers`` hosts for each service, spread over the zones, four to a rack."""
    specs = []
    for n in range(len(services) * workers):
        zone = n % zones + 1
        rack = f"z{zone}-r{n // zones // HOSTS_PER_RACK + 1}"
        specs.append(HostSpec(f"w{n + 1:02d}", zone, rack, **size))
    return tuple(specs)


def braille_site(zones: int = 3, entry_hosts: int = 2, **changes: Any) -> SiteSpec:
    """Return a site like Pioneer Valley's: five services of six workers each."""
    return SiteSpec(zones, entry_hosts, hosts(BRAILLE_SERVICES, 6, zones), **changes)


def jalseva_site(zones: int = 4, entry_hosts: int = 2, **changes: Any) -> SiteSpec:
    """Return a site like Narmada's: five services of eight workers each."""
    size = {"cores": 64, "memory_gb": 256}
    return SiteSpec(zones, entry_hosts, hosts(JALSEVA_SERVICES, 8, zones, **size), **changes)


def lists(
    services: tuple[str, ...], workers: int, move_weight: float = 1.0, buffer_weight: float = 1.0
) -> tuple[list[dict[str, Any]], dict[str, Any]]:
    """Return the plans and entitlements: a plan for each service, the last pool as spare."""
    plans = [
        {
            "id": service,
            "customer": "site",
            "service": service,
            "hosts_owed": workers if service != services[-1] else workers - 2,
            "availability_budget": 2,
            "token_sha256": digest(token(service)),
            "urgency": _urgency(service),
            "start_within_s": 20.0,
        }
        for service in services
    ]
    entitlements = {
        "pools": [
            {"id": service, "service": service, "spare": service == services[-1]}
            for service in services
        ],
        "objective": {
            "move_weight": move_weight,
            "buffer_weight": buffer_weight,
            "settle_s": 5.0,
        },
        "entitlements": [
            {"plan": service, "pools": [service], "idempotent_paths": ["/translate"]}
            for service in services
        ],
    }
    return plans, entitlements


def _urgency(service: str) -> str:
    if service in URGENT_SERVICES:
        return "urgent"
    return "patient" if service in PATIENT_SERVICES else "normal"
