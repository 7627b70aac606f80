"""The platform's list of hosts, as pool owners read it to tell a crash from a network partition."""

import threading
import time
from collections.abc import Mapping
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.ids import HostId
from lentilrill.telemetry import Dependency, run_and_log_errors
from lentilrill.upkeep import HostCalls, HostRow

__all__ = ["MAX_LIST_LAG_S", "NO_HOST_SOURCE", "HostListing", "HostReader", "HostSource"]

READ_INTERVAL_S = 1.0
"""Minimum interval between two reads by one process; the rate of all processes is limited."""


MAX_LIST_LAG_S = 2.0
"""Time by which the list of hosts may be late."""


class HostListing(msgspec.Struct, frozen=True):
    """Result of one read of the list of hosts.

    :param asked_at: monotonic time at which the read began.
    """

    rows_by_id: Mapping[HostId, HostRow]
    asked_at: float

    @property
    def valid_at(self) -> float:
        """Monotonic time before which the rows show no state."""
        return self.asked_at - MAX_LIST_LAG_S


class HostSource(Protocol):
    """Source of listings of the hosts."""

    @property
    def latest(self) -> HostListing | None:
        """The newest listing; ``None`` if there is none."""

    def request(self) -> None:
        """Request a newer listing, which comes later or, during an outage, never."""


class _NoHostSource:
    @property
    def latest(self) -> HostListing | None:
        return None

    def request(self) -> None:
        pass


NO_HOST_SOURCE: HostSource = _NoHostSource()
"""Source without any listing."""


class HostReader(threading.Thread):
    """Thread that reads the list of hosts for all pool owners of a process, only on request."""

    def __init__(self, hosts: HostCalls) -> None:
        super().__init__(name="host-reader", daemon=True)
        self._hosts = hosts
        self._latest: HostListing | None = None
        self._requested = threading.Event()
        self._closed = threading.Event()
        self._host_list = Dependency("list of hosts, for crashes")

    @property
    def latest(self) -> HostListing | None:
        """The newest listing; ``None`` if there is none."""
        return self._latest

    def request(self) -> None:
        """Request a newer listing."""
        self._requested.set()

    def close(self) -> None:
        """End the thread after its current read."""
        self._closed.set()
        self._requested.set()

    def run(self) -> None:
        """Read until closed."""
        while True:
            self._requested.wait()
            self._requested.clear()
            if self._closed.is_set():
                return
            run_and_log_errors("list of hosts, for crashes", self._read)
            self._closed.wait(READ_INTERVAL_S)

    def _read(self) -> None:
        asked_at = time.monotonic()
        listed = self._hosts.hosts()
        if isinstance(listed, Failure):
            self._host_list.record_failure(listed.failure().reason)
            return
        self._host_list.record_success()
        self._latest = HostListing({row.id: row for row in listed.unwrap()}, asked_at)
