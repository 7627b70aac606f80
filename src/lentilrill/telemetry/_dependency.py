"""Telling once that something this process depends on is lost, and once that it is back."""

from lentilrill.telemetry._events import Event, log

__all__ = ["Dependency"]


class Dependency:
    """One dependency, whose tries may fail several times a second for as long as it is away.

    :param name: as it stands in the log.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._is_lost = False

    def failed(self, reason: str) -> None:
        """Note a failed try; the first one in a row is logged."""
        if not self._is_lost:
            self._is_lost = True
            log(Event.DEPENDENCY_LOST, dependency=self._name, reason=reason)

    def succeeded(self) -> None:
        """Note a try that succeeded; the first one after failures is logged."""
        if self._is_lost:
            self._is_lost = False
            log(Event.DEPENDENCY_BACK, dependency=self._name)
