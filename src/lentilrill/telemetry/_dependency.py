"""Logging of the loss and the recovery of a dependency, once each."""

from lentilrill.telemetry._events import Event, log

__all__ = ["Dependency"]


class Dependency:
    """State of one dependency; logs only the first failure and the first success after it.

    Calls may fail several times per second during an outage.

    :param name: name of the dependency in the log.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._is_lost = False

    def record_failure(self, reason: str) -> None:
        """Record a failed call; log it if it is the first in a row."""
        if not self._is_lost:
            self._is_lost = True
            log(Event.DEPENDENCY_LOST, dependency=self._name, reason=reason)

    def record_success(self) -> None:
        """Record a successful call; log it if it is the first after a failure."""
        if self._is_lost:
            self._is_lost = False
            log(Event.DEPENDENCY_BACK, dependency=self._name)
