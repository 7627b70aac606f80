"""What members tell of a zone, on the wire and as they remember it."""

import time

from lentilrill.inner import ZoneHealth
from lentilrill.membership import ZoneNews

__all__ = ["health", "news"]


def health(news: ZoneNews) -> ZoneHealth:
    """Return ``news`` as a message; monotonic clocks differ, so its age is told."""
    return ZoneHealth(
        news.zone,
        round(time.monotonic() - news.at, 2),
        tuple(sorted(news.suspects)),
        news.complete_to,
        tuple(sorted(news.drained)),
        tuple(sorted(news.ejected)),
        tuple(sorted(news.leaving)),
    )


def news(health: ZoneHealth) -> ZoneNews:
    """Return what was just heard, by this process's own clock."""
    return ZoneNews(
        health.zone,
        time.monotonic() - health.age_s,
        frozenset(health.suspects),
        health.complete_to,
        frozenset(health.drained),
        frozenset(health.ejected),
        frozenset(health.leaving),
    )
