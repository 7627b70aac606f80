"""Detection of a store outage that affects all entry hosts, not only some."""

import msgspec

from lentilrill.bounded_maps import keep_newest
from lentilrill.ids import ProcessId
from lentilrill.inner import MAX_STATUS_AGE_S

__all__ = ["OUTAGE_SILENT_S", "StoreOutageDetector"]

OUTAGE_SILENT_S = 0.9
"""Time without an answer after which the store counts as down for a host: two lease renewals."""
MAX_HOSTS = 1024
"""Maximum number of hosts that are kept: several times those of the largest site."""
MEMBER_RETENTION_S = 30.0
"""Time after its last registration or report for which a host counts as one that may claim. It is
longer than an outage in which all leases expire and all hosts register again within seconds."""


class _Report(msgspec.Struct):
    """The last report of a host, and its time by this process's monotonic clock."""

    at: float
    silent_s: float


class StoreOutageDetector:
    """Tracks which entry hosts exist and what they report about the store.

    Hosts are kept beyond their registration, to prevent two owners of one shard. Leases expire in
    an outage, so right after it few hosts are registered. If a network partition then cuts off a
    zone, its hosts could be a majority of the registered ones, take the partition for an outage,
    and go on giving orders beside the new owners on the other side.
    """

    def __init__(self) -> None:
        self._reports_by_process: dict[ProcessId, _Report] = {}
        self._last_seen_by_process: dict[ProcessId, float] = {}

    def record_registered(self, process: ProcessId, now: float) -> None:
        """Record that a host is registered."""
        keep_newest(self._last_seen_by_process, process, now, MAX_HOSTS)

    def record_report(self, process: ProcessId, silent_s: float, now: float) -> None:
        """Record a host's report of the time since the store last answered it."""
        keep_newest(self._reports_by_process, process, _Report(now, silent_s), MAX_HOSTS)
        self.record_registered(process, now)

    def is_outage(self, own_silent_s: float, now: float) -> bool:
        """Return whether the store is down for a majority of hosts and no host reports otherwise.

        A single host that reaches the store could claim this host's shards, so its report is enough
        to rule an outage out.
        """
        if own_silent_s < OUTAGE_SILENT_S:
            return False
        self._expire(now)
        fresh = [
            report
            for report in self._reports_by_process.values()
            if now - report.at < MAX_STATUS_AGE_S
        ]
        if any(report.silent_s < OUTAGE_SILENT_S for report in fresh):
            return False
        return (len(fresh) + 1) * 2 > len(self._last_seen_by_process) + 1

    def _expire(self, now: float) -> None:
        for process, at in list(self._last_seen_by_process.items()):
            if now - at > MEMBER_RETENTION_S:
                del self._last_seen_by_process[process]
                self._reports_by_process.pop(process, None)
