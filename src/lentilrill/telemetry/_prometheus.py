"""Counters, gauges and histograms in the Prometheus text format."""

import re
import threading
from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

__all__ = ["ScrapeGauges", "ScrapedMetrics"]

INVALID_NAME_CHARS = re.compile(r"[^a-zA-Z0-9_]")
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class ScrapeGauges:
    """Gauges with a label that are computed for one scrape, so that none outlives its subject."""

    def __init__(self) -> None:
        self._families_by_name: dict[str, GaugeMetricFamily] = {}

    def gauge(self, stat: str, value: float, **label: str) -> None:
        """Set the gauge of one label value."""
        name = _metric_name(stat)
        family = self._families_by_name.get(name)
        if family is None:
            family = GaugeMetricFamily(name, stat, labels=list(label))
            self._families_by_name[name] = family
        family.add_metric(list(label.values()), value)

    def families(self) -> Iterable[GaugeMetricFamily]:
        """Return all gauges by name."""
        return self._families_by_name.values()


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

    def add_source(self, fill: Callable[[ScrapeGauges], None]) -> None:
        """Add a function that sets gauges at each scrape."""
        self._registry.register(_GaugeSource(fill))

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)


class _GaugeSource(Collector):
    def __init__(self, fill: Callable[[ScrapeGauges], None]) -> None:
        self._fill = fill

    def collect(self) -> Iterable[GaugeMetricFamily]:
        gauges = ScrapeGauges()
        self._fill(gauges)
        return gauges.families()


def _metric_name(stat: str) -> str:
    return "lentilrill_" + INVALID_NAME_CHARS.sub("_", stat)
