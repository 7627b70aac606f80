"""Event catalogue, logging and metrics."""

from lentilrill.telemetry._events import Event, Level, log, setup
from lentilrill.telemetry._metrics import Metrics, NoMetrics, connect

__all__ = ["Event", "Level", "Metrics", "NoMetrics", "connect", "log", "setup"]
