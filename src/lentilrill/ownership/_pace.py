"""How fast a host's own work goes, against its usual speed."""

import threading
import time
from collections import deque
from collections.abc import Callable
from statistics import median

from lentilrill.telemetry import Event, Metrics, NoMetrics, log, run_and_log_errors

__all__ = ["USUAL", "Pace"]

USUAL = 1.0
"""Pace of a host that is not slowed."""
SLOWED = 0.45
"""Pace under which a host counts as slowed. At its usual speed an idle host's piece takes up to
twice as long as a busy one's, whose caches are warm."""
RECOVERED = 0.7
"""Pace from which a slowed host counts as being at its usual speed again."""
STEADY = 2.0
"""Factor by which a slowed host's pace must have changed to be told anew."""
SAMPLE_EVERY_S = 0.2
IDLE_SAMPLE_EVERY_S = 1.0
"""The same on a host that owns nothing, which nobody waits for."""
RECENT = 3
"""Samples whose median is the present speed: one that was interrupted does not count."""
USUAL_SAMPLES = 300
"""Samples at usual speed, a minute's, whose median is the usual speed."""
FIRST_SAMPLES = 10
"""Samples before which a host knows no usual speed; all of them count as usual."""
PIECES = 3
"""Pieces of work a sample, of which the shortest counts: the others may have been interrupted."""
PIECE_STEPS = 600
"""Steps of one piece of work: about 0.1 ms, so that a host spends a thousandth of a core on it."""
CLOCK_STEP_S = 1e-9
"""Least time of a piece, also where the clock is coarse."""


def _piece_s() -> float:
    """Return the seconds that a fixed piece of work takes now, on the steady clock.

    Its work is the interpreter's own, like most of an owner's; it holds the interpreter for less
    than the time after which another thread gets its turn.
    """
    began = time.monotonic()
    value = 0
    for step in range(PIECE_STEPS):
        value = (value * 31 + step) & 0xFFFF
    return max(time.monotonic() - began, CLOCK_STEP_S)


class Pace(threading.Thread):
    """Follows at which share of its usual speed a host's work goes.

    The usual speed is the host's own: the ratio of two times of the same piece of work on the same
    host depends neither on its kind nor on its load, as the lateness of its waits does.

    :param piece: returns the seconds that a fixed piece of work takes now.
    :param is_owner: whether this host owns any shard.
    """

    def __init__(
        self,
        metrics: Metrics | None = None,
        piece: Callable[[], float] = _piece_s,
        is_owner: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(name="pace", daemon=True)
        self._metrics = metrics or NoMetrics()
        self._piece = piece
        self._is_owner = is_owner
        self._recent_s: deque[float] = deque(maxlen=RECENT)
        self._usual_s: deque[float] = deque(maxlen=USUAL_SAMPLES)
        self._value = USUAL
        self._ended = threading.Event()

    @property
    def value(self) -> float:
        """Share of its usual speed at which this host works, 1 unless it is slowed."""
        return self._value

    @property
    def is_slowed(self) -> bool:
        """Whether this host works clearly more slowly than usual."""
        return self._value < USUAL

    def run(self) -> None:
        """Take samples until closed."""
        while not self._ended.wait(self._pause_s()):
            run_and_log_errors("pace", self.sample)

    def _pause_s(self) -> float:
        knows_usual = len(self._usual_s) >= FIRST_SAMPLES
        return SAMPLE_EVERY_S if self._is_owner() or not knows_usual else IDLE_SAMPLE_EVERY_S

    def close(self) -> None:
        """End the task soon."""
        self._ended.set()

    def sample(self) -> None:
        """Take one sample."""
        sample_s = min(self._piece() for _ in range(PIECES))
        self._recent_s.append(sample_s)
        usual_s = median(self._usual_s) if self._usual_s else sample_s
        if len(self._usual_s) < FIRST_SAMPLES or sample_s * SLOWED < usual_s:
            self._usual_s.append(sample_s)
        if len(self._usual_s) < FIRST_SAMPLES:
            return
        now = usual_s / median(self._recent_s)
        self._metrics.gauge("host.pace", round(now, 3))
        value = self._steady(now)
        if value != self._value:
            log(Event.PACE_CHANGED, pace=value, before=self._value, usual_us=round(usual_s * 1e6))
            self._value = value

    def _steady(self, now: float) -> float:
        """Return the pace to tell: a change that is noise must move no shard."""
        if now >= (RECOVERED if self.is_slowed else SLOWED):
            return USUAL
        if self.is_slowed and self._value / STEADY < now < self._value * STEADY:
            return self._value
        return round(now, 3)
