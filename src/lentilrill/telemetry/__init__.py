"""Event catalogue, logging and metrics."""

from lentilrill.telemetry._dependency import Dependency
from lentilrill.telemetry._events import Event, Level, log
from lentilrill.telemetry._lines import set_level, setup
from lentilrill.telemetry._metrics import Metrics, NoMetrics, connect
from lentilrill.telemetry._prometheus import ScrapedMetrics, ScrapeGauges
from lentilrill.telemetry._run import run_and_log_errors

__all__ = [
    "Dependency",
    "Event",
    "Level",
    "Metrics",
    "NoMetrics",
    "ScrapeGauges",
    "ScrapedMetrics",
    "connect",
    "log",
    "run_and_log_errors",
    "set_level",
    "setup",
]
