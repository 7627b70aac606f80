"""Counters, gauges and timings, sent to a statsd sink over UDP."""

from typing import Protocol

from statsd import StatsClient

__all__ = ["Metrics", "NoMetrics", "connect"]

PREFIX = "lentilrill"
MAX_UDP_BYTES = 512


class Metrics(Protocol):
    """Destination of counters, gauges and timings."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Metrics that discard all values."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a value."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def connect(address: str, process: str) -> Metrics:
    """Return metrics sent to ``address`` (``ip:port``), or discarded if it is empty."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    client: Metrics = StatsClient(
        host.strip("[]"), int(port), prefix=f"{PREFIX}.{process}", maxudpsize=MAX_UDP_BYTES
    )
    return client
