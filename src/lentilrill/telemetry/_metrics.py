"""Counters, gauges and timings, sent to a statsd sink over UDP."""

from typing import Protocol

from statsd import StatsClient

__all__ = ["Metrics", "NoMetrics", "connect"]

PREFIX = "lentilrill"
MAX_UDP_BYTES = 512


class Metrics(Protocol):
    """Where figures go."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Metrics that go nowhere."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Ignore a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Ignore a value."""

    def timing(self, stat: str, delta: float) -> None:
        """Ignore a duration."""


def connect(address: str, process: str) -> Metrics:
    """Return metrics sent to ``address`` (``ip:port``), or nowhere if it is empty."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    client: Metrics = StatsClient(
        host.strip("[]"), int(port), prefix=f"{PREFIX}.{process}", maxudpsize=MAX_UDP_BYTES
    )
    return client
