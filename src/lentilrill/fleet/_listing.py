"""Rate-limited reader of the platform's host list."""

from returns.result import Failure

from lentilrill.settings import ControllerSettings
from lentilrill.store import HostList, HostListing

__all__ = ["HostListReader"]

LIST_BYTES_PER_HOST = 150
LIST_BYTES_PER_S = 16_000
"""Share of a node's 24 KB/s traffic budget for reading the host list; sets the read period."""


class HostListReader:
    """Reader and cache of the host list. All times are seconds since the epoch."""

    def __init__(self, hosts: HostList, settings: ControllerSettings) -> None:
        self._hosts = hosts
        self._settings = settings
        self._listing: HostListing | None = None
        self._next_read = 0.0

    @property
    def period_s(self) -> float:
        """Seconds between two reads of a list of the current length."""
        hosts = len(self._listing.hosts) if self._listing is not None else 0
        return max(self._settings.plan_every_s, hosts * LIST_BYTES_PER_HOST / LIST_BYTES_PER_S)

    def read(self, now: float) -> HostListing | None:
        """Return the newest list, reading it if that is due; ``None`` before the first read."""
        if now >= self._next_read:
            answer = self._hosts.hosts()
            if isinstance(answer, Failure):
                self._next_read = now + self._settings.plan_every_s
            else:
                self._listing = answer.unwrap()
                self._next_read = now + self.period_s
        return self._listing

    def is_fresh(self, now: float) -> bool:
        """Return whether the cached list is new enough to propose withdrawals from it."""
        if self._listing is None:
            return False
        max_age_s = 3 * self._settings.host_list_lag_s + 2 * self.period_s
        return now - self._listing.as_of <= max_age_s
