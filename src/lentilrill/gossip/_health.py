"""Conversion of a zone's status between its message and its local form."""

import time

from lentilrill.inner import ZoneHealth
from lentilrill.membership import ZoneNews

__all__ = ["health", "news"]


def health(news: ZoneNews) -> ZoneHealth:
    """Return the message for ``news``, with its age, since monotonic clocks are not comparable."""
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
    """Return the local form of a message received just now, timed by this process's clock."""
    return ZoneNews(
        health.zone,
        time.monotonic() - health.age_s,
        frozenset(health.suspects),
        health.complete_to,
        frozenset(health.drained),
        frozenset(health.ejected),
        frozenset(health.leaving),
    )
