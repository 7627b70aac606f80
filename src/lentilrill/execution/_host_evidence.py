"""What listings of the hosts show a pool's owner of endpoints that don't answer."""

import time

from lentilrill.execution._crashes import CrashBook
from lentilrill.execution._host_reader import HostListing, HostSource
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PoolLinks
from lentilrill.execution._previous_endpoints import PreviousEndpoints
from lentilrill.ids import EndpointId, PoolId
from lentilrill.telemetry import Event, log
from lentilrill.workloads import EndpointEntry

__all__ = ["HostEvidence"]


class HostEvidence:
    """Requests listings of the hosts while endpoints are out of reach, and applies them.

    Called under the lock of the pool's owner.
    """

    def __init__(
        self, pool: PoolId, hosts: HostSource, crashes: CrashBook, links: PoolLinks
    ) -> None:
        self._pool = pool
        self._hosts = hosts
        self._crashes = crashes
        self._links = links
        self._previous = PreviousEndpoints(pool, time.monotonic())

    def update(self, entries: dict[EndpointId, EndpointEntry]) -> None:
        """Apply the newest listing, and request another one if it may show more.

        :param entries: the registered endpoints of the pool.
        """
        now = time.monotonic()
        self._crashes.on_registered(entries, now)
        listing = self._hosts.latest
        if listing is not None:
            self._crashes.on_hosts_listed(listing, entries)
            self._apply_to_previous(listing, entries)
            self._apply_to_lost(listing)
        unpolled = self._links.unpolled
        is_waited_for = any(_is_waited_for(link, now) for link in self._links.by_id.values())
        is_open = self._crashes.needs_listing(now) or is_waited_for
        if is_open or self._previous.needs_listing(unpolled, now):
            self._hosts.request()

    def _apply_to_lost(self, listing: HostListing) -> None:
        """Note which lost endpoints have ended, whose runs need not be waited for any longer."""
        for link in self._links.by_id.values():
            host = link.entry.host
            if host and not link.reachable and listing.valid_at > link.unreachable_since:
                row = listing.rows_by_id.get(host)
                link.host_view.apply(row, listing, link.entry.id, is_registered=link.registered)

    def _apply_to_previous(
        self, listing: HostListing, entries: dict[EndpointId, EndpointEntry]
    ) -> None:
        if not self._links.unpolled:
            return
        rows = listing.rows_by_id.values()
        self._links.set_unknown_zones({row.endpoint: row.zone for row in rows if row.endpoint})
        for endpoint in self._previous.ended(self._links.unpolled, listing, entries):
            self._links.unpolled.discard(endpoint)
            log(Event.PREVIOUS_ENDPOINT_ENDED, shard=self._pool, endpoint=endpoint)


def _is_waited_for(link: EndpointLink, now: float) -> bool:
    """Whether runs on a lost endpoint are waited for beyond the leases of its known process."""
    return not link.reachable and bool(link.runs_by_key) and now > link.leases.given_end
