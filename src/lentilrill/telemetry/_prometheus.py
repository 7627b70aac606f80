"""Counters, gauges and histograms in the Prometheus text format."""

import re
import threading

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["ScrapedMetrics"]

INVALID_NAME_CHARS = re.compile(r"[^a-zA-Z0-9_]")
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class ScrapedMetrics:
    """Metrics kept in memory for a Prometheus scraper."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._lock = threading.Lock()
        self._counters_by_name: dict[str, Counter] = {}
        self._gauges_by_name: dict[str, Gauge] = {}
        self._histograms_by_name: dict[str, Histogram] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters_by_name.get(stat)
        if counter is None:
            with self._lock:
                counter = self._counters_by_name.get(stat)
                if counter is None:
                    counter = Counter(_metric_name(stat), stat, registry=self._registry)
                    self._counters_by_name[stat] = counter
        counter.inc(count)

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        with self._lock:
            gauge = self._gauges_by_name.get(stat)
            if gauge is None:
                gauge = Gauge(_metric_name(stat), stat, registry=self._registry)
                self._gauges_by_name[stat] = gauge
        gauge.set(value)

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""
        with self._lock:
            histogram = self._histograms_by_name.get(stat)
            if histogram is None:
                histogram = Histogram(
                    _metric_name(stat) + "_ms", stat, registry=self._registry, buckets=BUCKETS_MS
                )
                self._histograms_by_name[stat] = histogram
        histogram.observe(delta)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)


def _metric_name(stat: str) -> str:
    return "lentilrill_" + INVALID_NAME_CHARS.sub("_", stat)
