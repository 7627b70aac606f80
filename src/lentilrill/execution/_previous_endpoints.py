"""Endpoints of a pool's previous owner that have ended, so that no task waits for their answer."""

from collections.abc import Collection, Mapping

from lentilrill.execution._host_reader import HostListing
from lentilrill.ids import EndpointId
from lentilrill.upkeep import HostState
from lentilrill.workloads import EndpointEntry

__all__ = ["PreviousEndpoints"]

POLL_TIME_S = 0.2
"""Time after a take-over in which endpoints that are within reach answer their first poll."""


class PreviousEndpoints:
    """Tells from listings of the hosts which endpoints of the previous owner have ended.

    Load pattern: an owner is lost in a surge, just after hosts of its pool crashed or went into
    upkeep. The pool's jobs may still run on the endpoints that don't answer, so none of them is
    started until the leases there have expired. Most of these endpoints have ended, which the
    list of hosts shows seconds earlier. An endpoint that is cut off is still listed on its host.

    :param since: monotonic time of the take-over; earlier listings are no evidence.
    """

    def __init__(self, since: float) -> None:
        self._since = since
        self._absent_at_by_id: dict[EndpointId, float] = {}

    def needs_listing(self, unpolled: Collection[EndpointId], now: float) -> bool:
        """Whether a newer listing may show that unpolled endpoints have ended."""
        return bool(unpolled) and now - self._since >= POLL_TIME_S

    def ended(
        self,
        unpolled: Collection[EndpointId],
        listing: HostListing,
        entries: Mapping[EndpointId, EndpointEntry],
    ) -> list[EndpointId]:
        """Return the unpolled endpoints whose process has ended.

        :param entries: the registered endpoints of the pool.
        """
        if listing.asked_at < self._since:
            return []
        return [
            endpoint
            for endpoint in unpolled
            if _is_away(entries.get(endpoint), listing)
            or self._is_gone(endpoint, listing, is_registered=endpoint in entries)
        ]

    def _is_gone(self, endpoint: EndpointId, listing: HostListing, *, is_registered: bool) -> bool:
        """Whether two listings in a row lack an unregistered endpoint.

        The pages of one listing are no snapshot. A host without an endpoint may be the one whose
        endpoint is just starting.
        """
        up = {row.endpoint for row in listing.rows_by_id.values() if row.state is HostState.UP}
        if is_registered or not up or endpoint in up or EndpointId("") in up:
            self._absent_at_by_id.pop(endpoint, None)
            return False
        return listing.asked_at > self._absent_at_by_id.setdefault(endpoint, listing.asked_at)


def _is_away(entry: EndpointEntry | None, listing: HostListing) -> bool:
    """Whether the host of a registered endpoint is listed as down, moving or in upkeep."""
    if entry is None or not entry.host:
        return False
    row = listing.rows_by_id.get(entry.host)
    return row is not None and row.state is not HostState.UP
