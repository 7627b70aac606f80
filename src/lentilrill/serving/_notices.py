"""Log lines about limits that callers meet: few, however many callers there are."""

import time

from lentilrill.telemetry import Event, Metrics, log

__all__ = ["Notices"]

INTERVAL_S = 10.0


class Notices:
    """Logs each kind of limit at most once in an interval, with a count, and counts all of them.

    :param server: name of the server.
    """

    def __init__(self, server: str, metrics: Metrics) -> None:
        self._server = server
        self._metrics = metrics
        self._counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def note(self, limit: str, reason: str) -> None:
        """Note that a limit was met.

        :param limit: short fixed name of the limit.
        """
        self._metrics.incr(f"callers.limited.{limit}")
        self._counts[limit] = self._counts.get(limit, 0) + 1
        now = time.monotonic()
        if now - self._logged_at.get(limit, -INTERVAL_S) < INTERVAL_S:
            return
        self._logged_at[limit] = now
        log(
            Event.CALLERS_LIMITED,
            server=self._server,
            limit=limit,
            reason=reason,
            count=self._counts.pop(limit),
        )
