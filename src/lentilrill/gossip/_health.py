"""Conversion of a zone's status between its message and its local form."""

import time

from lentilrill.inner import ZoneHealth
from lentilrill.membership import ZoneStatus

__all__ = ["zone_health", "zone_status"]


def zone_health(status: ZoneStatus) -> ZoneHealth:
    """Return the message for ``status``, with its age, since monotonic clocks differ."""
    return ZoneHealth(
        status.zone,
        round(time.monotonic() - status.at, 2),
        tuple(sorted(status.suspects)),
        status.complete_to,
        tuple(sorted(status.drained)),
        tuple(sorted(status.ejected)),
        tuple(sorted(status.leaving)),
    )


def zone_status(health: ZoneHealth) -> ZoneStatus:
    """Return the local form of a message received just now, timed by this process's clock."""
    return ZoneStatus(
        health.zone,
        time.monotonic() - health.age_s,
        frozenset(health.suspects),
        health.complete_to,
        frozenset(health.drained),
        frozenset(health.ejected),
        frozenset(health.leaving),
    )
