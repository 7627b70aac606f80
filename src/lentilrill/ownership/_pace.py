"""Measures the current speed of a host relative to its usual speed."""

import threading
import time
from collections import deque
from collections.abc import Callable
from statistics import median

from lentilrill.telemetry import Event, Metrics, NoMetrics, log, run_and_log_errors

__all__ = ["NORMAL_PACE", "PaceMonitor"]

NORMAL_PACE = 1.0
"""Pace of a host at its usual speed."""
SLOWED_BELOW = 0.45
"""Pace below which a host counts as slowed. At its usual speed the measured work takes up to twice
as long on an idle host as on a busy one with warm caches."""
RECOVERED_FROM = 0.7
"""Pace from which a slowed host counts as recovered."""
MIN_CHANGE_FACTOR = 2.0
"""Factor by which the pace of a slowed host must change to be reported again."""
SAMPLE_INTERVAL_S = 0.2
IDLE_SAMPLE_INTERVAL_S = 1.0
"""The interval on a host that owns no shard, where no caller waits."""
RECENT_SAMPLES = 3
"""Samples whose median is the current speed, so that one interrupted sample has no effect."""
BASELINE_SAMPLES = 300
"""Samples whose median is the usual speed: one minute of samples at that speed."""
MIN_BASELINE_SAMPLES = 10
"""Samples needed before the usual speed is known; all of them count as usual."""
RUNS_PER_SAMPLE = 3
"""Timed runs per sample, of which the shortest counts, since others may have been interrupted."""
RUN_STEPS = 600
"""Steps of one timed run: about 0.1 ms, so that sampling takes a thousandth of a core."""
MIN_RUN_S = 1e-9
"""Lower bound of a run's time, for coarse clocks."""


def _benchmark_s() -> float:
    """Return the seconds that a fixed amount of work takes, by the monotonic clock.

    The work is pure Python, like most work of an owner, and shorter than the interpreter's switch
    interval between threads.
    """
    started_at = time.monotonic()
    value = 0
    for step in range(RUN_STEPS):
        value = (value * 31 + step) & 0xFFFF
    return max(time.monotonic() - started_at, MIN_RUN_S)


class PaceMonitor(threading.Thread):
    """Measures a host's current speed as a share of its usual speed.

    The usual speed is measured on the same host: the ratio of two times of the same work depends
    neither on the hardware nor on the load, as delays of timed waits would.

    :param benchmark: returns the seconds that a fixed amount of work takes now.
    :param is_owner: whether this host owns any shard.
    """

    def __init__(
        self,
        metrics: Metrics | None = None,
        benchmark: Callable[[], float] = _benchmark_s,
        is_owner: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(name="pace", daemon=True)
        self._metrics = metrics or NoMetrics()
        self._benchmark = benchmark
        self._is_owner = is_owner
        self._recent_s: deque[float] = deque(maxlen=RECENT_SAMPLES)
        self._baseline_s: deque[float] = deque(maxlen=BASELINE_SAMPLES)
        self._value = NORMAL_PACE
        self._ended = threading.Event()

    @property
    def value(self) -> float:
        """Current speed as a share of the usual speed; 1 unless the host is slowed."""
        return self._value

    @property
    def is_slowed(self) -> bool:
        """Whether this host is clearly slower than usual."""
        return self._value < NORMAL_PACE

    def run(self) -> None:
        """Take samples until closed."""
        while not self._ended.wait(self._pause_s()):
            run_and_log_errors("pace", self.sample)

    def _pause_s(self) -> float:
        has_baseline = len(self._baseline_s) >= MIN_BASELINE_SAMPLES
        return SAMPLE_INTERVAL_S if self._is_owner() or not has_baseline else IDLE_SAMPLE_INTERVAL_S

    def close(self) -> None:
        """Stop the thread soon."""
        self._ended.set()

    def sample(self) -> None:
        """Take one sample."""
        sample_s = min(self._benchmark() for _ in range(RUNS_PER_SAMPLE))
        self._recent_s.append(sample_s)
        baseline_s = median(self._baseline_s) if self._baseline_s else sample_s
        if len(self._baseline_s) < MIN_BASELINE_SAMPLES or sample_s * SLOWED_BELOW < baseline_s:
            self._baseline_s.append(sample_s)
        if len(self._baseline_s) < MIN_BASELINE_SAMPLES:
            return
        current = baseline_s / median(self._recent_s)
        self._metrics.gauge("host.pace", round(current, 3))
        value = self._reported_pace(current)
        if value != self._value:
            log(
                Event.PACE_CHANGED, pace=value, before=self._value, usual_us=round(baseline_s * 1e6)
            )
            self._value = value

    def _reported_pace(self, current: float) -> float:
        """Return the pace to report: noise must not cause a hand-over."""
        if current >= (RECOVERED_FROM if self.is_slowed else SLOWED_BELOW):
            return NORMAL_PACE
        if (
            self.is_slowed
            and self._value / MIN_CHANGE_FACTOR < current < self._value * MIN_CHANGE_FACTOR
        ):
            return self._value
        return round(current, 3)
