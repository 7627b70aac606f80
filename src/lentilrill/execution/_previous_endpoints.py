"""Endpoints of a pool's previous owner that have ended, so that no task waits for their answer."""

from collections.abc import Collection, Mapping

from lentilrill.execution._host_reader import HostListing
from lentilrill.ids import EndpointId, PoolId
from lentilrill.upkeep import HostRow, HostState
from lentilrill.workloads import EndpointEntry

__all__ = ["PREVIOUS_LEASE_S", "PreviousEndpoints"]

POLL_TIME_S = 0.2
"""Time after a take-over in which endpoints that are within reach answer their first poll."""
PREVIOUS_LEASE_S = 1.6
"""Lease of an owner. While the store is out everywhere an owner goes on without renewing it, so for
this time after a take-over it might start tasks on an endpoint that returns."""


class PreviousEndpoints:
    """Tells from listings of the hosts which endpoints of the previous owner have ended.

    Load pattern: an owner is lost in a surge, just after hosts of its pool crashed or went into
    upkeep. The pool's jobs may still run on the endpoints that don't answer, so none of them is
    started until the leases there have expired. Most of these endpoints have ended, which the
    list of hosts shows seconds earlier. An endpoint that is cut off is still listed on its host.

    :param since: monotonic time of the take-over; earlier listings are no evidence.
    """

    def __init__(self, pool: PoolId, since: float) -> None:
        self._pool = pool
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
            if self._has_ended(endpoint, entries.get(endpoint), listing)
        ]

    def _has_ended(
        self, endpoint: EndpointId, entry: EndpointEntry | None, listing: HostListing
    ) -> bool:
        row = _row_of(endpoint, entry, listing)
        if row is not None and row.state in (HostState.MOVING, HostState.UPKEEP):
            return True
        if listing.valid_at < self._since + PREVIOUS_LEASE_S:
            return False
        if row is not None:
            self._absent_at_by_id.pop(endpoint, None)
            return row.state is HostState.DOWN
        return entry is None and self._is_gone(endpoint, listing)

    def _is_gone(self, endpoint: EndpointId, listing: HostListing) -> bool:
        """Whether two listings in a row lack an unregistered endpoint.

        The pages of one listing are no snapshot. A host of the pool without an endpoint may be the
        one whose endpoint is just starting.
        """
        up = [row for row in listing.rows_by_id.values() if row.state is HostState.UP]
        is_starting = any(row.pool == self._pool and not row.endpoint for row in up)
        if is_starting or not any(row.endpoint for row in up):
            self._absent_at_by_id.pop(endpoint, None)
            return False
        return listing.asked_at > self._absent_at_by_id.setdefault(endpoint, listing.asked_at)


def _row_of(
    endpoint: EndpointId, entry: EndpointEntry | None, listing: HostListing
) -> HostRow | None:
    """Return the host of an endpoint, by its registration or by the endpoint that is listed."""
    if entry is not None and entry.host:
        return listing.rows_by_id.get(entry.host)
    rows = listing.rows_by_id.values()
    return next((row for row in rows if row.endpoint == endpoint), None)
