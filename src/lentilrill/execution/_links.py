"""Links to a pool's endpoints: opened on registration, closed once an endpoint is gone."""

import threading
import time
from collections.abc import Callable, Mapping

import msgspec

from lentilrill.execution._endpoint_list import EndpointList
from lentilrill.execution._link import EndpointLink, lease_end_of_report
from lentilrill.execution._previous_endpoints import PREVIOUS_LEASE_S
from lentilrill.execution._release import REQUEST_TIMEOUT_S
from lentilrill.execution._run_leases import (
    MAX_LEASE_S,
    MAX_ORDER_DELAY_S,
    NEVER,
    RunLeases,
    longest_run_s,
)
from lentilrill.execution._start_zones import UNKNOWN_ZONE
from lentilrill.ids import EndpointId, PoolId, ZoneId
from lentilrill.telemetry import Event, log
from lentilrill.workloads import EndpointEntry

__all__ = ["PoolLinks"]

PREVIOUS_CALLS_S = PREVIOUS_LEASE_S + MAX_ORDER_DELAY_S
"""Time after a take-over until which calls of previous owners may be carried out."""
MAX_ENTRY_AGE_S = 0.3
"""Maximum age of the registered entries when a start order is sent: about the delay with which
changes of the store arrive."""
ODD_ENTRY_PAUSE_S = 30.0
"""Pause before an endpoint whose link could not be opened is tried again."""
MAX_SILENCE_S = 2.0
"""Time without an answer after which the link to an unregistered endpoint is closed."""


class PoolLinks:
    """Links to the registered endpoints of a pool and to those that a previous owner used.

    :param lock: the lock of the pool's owner, which guards ``by_id``.
    :param connect: creates a link without starting it.
    :param max_lease_s: longest lease that endpoints grant.
    :ivar unpolled: endpoints of the previous owner that this owner has not polled yet, or that have
        not listed all ends of their runs yet.
    :ivar read_at: monotonic time at which the entries of the links were last read.
    """

    def __init__(
        self,
        pool: PoolId,
        endpoint_list: EndpointList,
        lock: threading.RLock,
        connect: Callable[[EndpointEntry], EndpointLink],
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.by_id: dict[EndpointId, EndpointLink] = {}
        self.unpolled: set[EndpointId] = set()
        self.read_at = 0.0
        self._pool = pool
        self._endpoint_list = endpoint_list
        self._lock = lock
        self._connect = connect
        self._longest_run_s = longest_run_s(max_lease_s)
        self._owner_since = time.monotonic()
        self._closed = False
        self._release_requested_at: dict[EndpointId, float] = {}
        self._odd_until_by_id: dict[EndpointId, float] = {}
        """When an endpoint whose link could not be opened is tried again."""
        self._previous_ids: frozenset[EndpointId] = frozenset()
        self._calls_by_id: dict[EndpointId, RunLeases] = {}
        """Leases that were given over links which are closed, while calls may still extend them."""
        self._given_up: set[EndpointId] = set()

    def load(self) -> bool:
        """Read the previous owner's endpoints; return whether they could be read."""
        if not self._endpoint_list.load():
            return False
        self._previous_ids = frozenset(self._endpoint_list.address_by_id)
        self.unpolled = set(self._previous_ids)
        self._given_up.clear()
        return True

    def load_settled_starts(self) -> None:
        """Read which processes of the endpoints are settled, for the links opened so far."""
        self._endpoint_list.load_settled_starts()
        with self._lock:
            for link in self.by_id.values():
                link.settled_started_ms = self._settled_started_ms(link.entry.id)

    def _settled_started_ms(self, endpoint: EndpointId) -> int:
        return self._endpoint_list.settled_started_ms_by_id.get(endpoint, 0)

    def wake(self) -> None:
        """Interrupt the pauses between polls."""
        with self._lock:
            links = list(self.by_id.values())
        for link in links:
            link.wake()

    def release_unopened(self, endpoint: EndpointId, now: float) -> None:
        """Note that the host of an endpoint without a link is needed elsewhere.

        The endpoint may be registered just now. Its link is then released from the beginning, for
        as long as the answer to this request may count.
        """
        noted = self._release_requested_at
        recent = {id: at for id, at in noted.items() if now - at <= REQUEST_TIMEOUT_S}
        self._release_requested_at = recent | {endpoint: now}

    @property
    def is_blocked(self) -> bool:
        """Whether tasks of the previous owner's jobs may run on endpoints not polled yet."""
        return bool(self.blocked_zones)

    @property
    def blocked_zones(self) -> frozenset[ZoneId]:
        """Zones of the endpoints not polled yet on which the previous owner's tasks may run."""
        return frozenset(
            self._zone_of(endpoint)
            for endpoint in self.unpolled
            if self._previous_tasks_may_run(endpoint)
        )

    def set_unknown_zones(self, zone_by_endpoint: Mapping[EndpointId, ZoneId]) -> None:
        """Complete the entries of endpoints whose registration had disappeared before the load."""
        for endpoint in self.unpolled:
            link = self.by_id.get(endpoint)
            if link is not None and link.entry.zone == UNKNOWN_ZONE:
                zone = zone_by_endpoint.get(endpoint, UNKNOWN_ZONE)
                link.entry = msgspec.structs.replace(link.entry, zone=zone)

    def _zone_of(self, endpoint: EndpointId) -> ZoneId:
        link = self.by_id.get(endpoint)
        return link.entry.zone if link is not None else UNKNOWN_ZONE

    def open_previous(self, entries: dict[EndpointId, EndpointEntry]) -> None:
        """Open links to the previous owner's endpoints, whose run leases have to be renewed.

        :param entries: the registered endpoints of the pool.
        """
        registered = [
            entry
            for entry in entries.values()
            if entry.id in self.unpolled and entry.id not in self.by_id
        ]
        for entry in [*registered, *self._previous_entries(entries)]:
            self._open(entry)

    def refresh(self, entries: dict[EndpointId, EndpointEntry]) -> bool:
        """Open links to new endpoints and close expired links.

        :param entries: the registered endpoints of the pool.
        :return: ``False`` if the store holds the token of a newer owner.
        """
        with self._lock:
            self.update_entries(entries)
            self._log_given_up()
            new = [entry for entry in entries.values() if self._may_open(entry)]
            gone = [link for link in self.by_id.values() if self._can_close(link)]
            for link in gone:
                link.close()
                if not self._previous_tasks_may_run(link.entry.id):
                    self.unpolled.discard(link.entry.id)
                del self.by_id[link.entry.id]
                self._note_closed(link)
        # Without its start time, nothing would tell a later owner that an endpoint which is off the
        # list was called.
        gone_ids = [
            endpoint
            for endpoint in self._endpoint_list.address_by_id
            if endpoint not in entries
            and endpoint not in self.by_id
            and endpoint not in self.unpolled
            and not self._endpoint_list.has_unstored_starts
        ]
        needs_write = new or gone_ids or self._endpoint_list.is_uncertain
        if needs_write and not self._endpoint_list.write(new, gone_ids):
            return False
        for entry in [*new, *self._previous_entries(entries)]:
            if entry.id in self._endpoint_list.address_by_id:
                self._open(entry)
        has_changed = self._endpoint_list.replace_settled_starts(self._settled())
        if not new and not has_changed and not self._endpoint_list.has_unstored_starts:
            return True
        uncalled = [entry for entry in new if not self._may_have_been_called(entry.id)]
        keeps_all = time.monotonic() < self._previous_calls_end
        return self._endpoint_list.write_settled_starts(
            uncalled, self._calls_by_id, keeps_all=keeps_all
        )

    @property
    def _previous_calls_end(self) -> float:
        """When the longest lease has expired that a call of a previous owner may give.

        A call may be carried out late, by a process of its endpoint that this owner has not seen.
        """
        return self._owner_since + PREVIOUS_CALLS_S + self._longest_run_s

    def _settled(self) -> dict[EndpointId, int]:
        """Return the present processes in which calls to former ones don't matter any more."""
        now = time.monotonic()
        with self._lock:
            links = list(self.by_id.values())
        return {link.entry.id: link.started_ms for link in links if link.has_own_leases_only(now)}

    def _may_have_been_called(self, endpoint: EndpointId) -> bool:
        """Whether calls to a former process of an endpoint may matter, its start time unknown."""
        is_recent = time.monotonic() < self._previous_calls_end
        return (is_recent and endpoint in self._previous_ids) or endpoint in self._calls_by_id

    def update_entries(self, entries: dict[EndpointId, EndpointEntry]) -> None:
        """Update the links with the endpoints' current registration."""
        self.read_at = time.monotonic()
        odd_until = self._odd_until_by_id
        self._odd_until_by_id = {id: until for id, until in odd_until.items() if id in entries}
        for link in self.by_id.values():
            entry = entries.get(link.entry.id)
            link.registered = entry is not None
            link.entry = entry or link.entry

    @property
    def entries_are_fresh(self) -> bool:
        """Whether the entries of the links are no older than ``MAX_ENTRY_AGE_S``."""
        return time.monotonic() - self.read_at < MAX_ENTRY_AGE_S

    def _previous_entries(self, entries: dict[EndpointId, EndpointEntry]) -> list[EndpointEntry]:
        """Return unregistered endpoints that are on the previous owner's list."""
        return [
            EndpointEntry(endpoint, self._pool, address, UNKNOWN_ZONE)
            for endpoint, address in self._endpoint_list.address_by_id.items()
            if endpoint in self.unpolled and endpoint not in entries and endpoint not in self.by_id
        ]

    def close(self) -> None:
        """Close all links, and open no further ones."""
        with self._lock:
            self._closed = True
            links = list(self.by_id.values())
        for link in links:
            link.close()

    def _note_closed(self, link: EndpointLink) -> None:
        """Remember until when calls over a closed link may reach its endpoint."""
        now = time.monotonic()
        recent = {
            id: leases for id, leases in self._calls_by_id.items() if now < leases.end_of_calls
        }
        self._calls_by_id = recent | {link.entry.id: link.leases}

    def _note_former_calls(self, link: EndpointLink) -> None:
        """Tell a new link of calls to its endpoint that were not sent over it."""
        endpoint = link.entry.id
        former = self._calls_by_id.get(endpoint)
        if former is not None:
            link.leases.on_former_calls(former.calls_until)
        link.settled_started_ms = self._settled_started_ms(endpoint)
        may_be_known = bool(link.settled_started_ms) or not self._endpoint_list.settled_starts_read
        if endpoint in self._previous_ids or may_be_known:
            link.others_called_until = self._owner_since + PREVIOUS_LEASE_S

    def _may_open(self, entry: EndpointEntry) -> bool:
        is_odd = time.monotonic() < self._odd_until_by_id.get(entry.id, NEVER)
        return entry.id not in self.by_id and not is_odd

    def _open(self, entry: EndpointEntry) -> None:
        """Open a link; an entry that can't be used must not keep others from being opened."""
        try:
            self._open_link(entry)
        except Exception as error:
            self._odd_until_by_id[entry.id] = time.monotonic() + ODD_ENTRY_PAUSE_S
            with self._lock:
                self.by_id.pop(entry.id, None)
            log(Event.RECORD_ODD, key=f"endpoint {entry.id}", reason=repr(error))

    def _open_link(self, entry: EndpointEntry) -> None:
        link = self._connect(entry)
        self._note_former_calls(link)
        if entry.id in self.unpolled:
            link.renewed_at = self._owner_since
        with self._lock:
            if self._closed:
                return
            self.by_id[entry.id] = link
            requested_at = self._release_requested_at.pop(entry.id, None)
            if requested_at is not None:
                link.released = True
                link.release_started_at = link.release_requested_at = requested_at
        link.start()

    def _can_close(self, link: EndpointLink) -> bool:
        """Whether a link can be closed.

        Its endpoint is unregistered, and either its link was closed or it has not answered until
        all leases given to it expired; no runs are assigned to it. A closed link is also replaced
        once its endpoint has registered again, and one without an answer once it has done so at
        another address.
        """
        if link.closed and not link.runs_by_key and self._serves_again(link):
            return True
        # Endpoints of a partitioned zone disappear from the store while a previous owner's tasks
        # still run on them until its last leases expire. Dropping these links early would start
        # such tasks a second time.
        endpoint = link.entry.id
        tasks_may_run = endpoint in self.unpolled and self._previous_tasks_may_run(endpoint)
        if link.registered:
            # It stays among the unpolled ones, whose tasks may run.
            return not link.runs_by_key and not link.reachable and _has_moved(link)
        if tasks_may_run:
            return False
        now = time.monotonic()
        silent = now - max(link.answered_at, link.opened_at) > MAX_SILENCE_S
        return not link.runs_by_key and (link.closed or (silent and now > link.lease_end))

    def _serves_again(self, link: EndpointLink) -> bool:
        """Whether the endpoint of a closed link has registered again since the link was opened."""
        entry, opened = link.entry, link.opened_entry
        return (entry.address, entry.started_ms) != (opened.address, opened.started_ms)

    def _log_given_up(self) -> None:
        """Log the endpoints of the previous owner that are no longer waited for, each once."""
        waited_s = round(time.monotonic() - self._owner_since, 1)
        for endpoint in self.unpolled - self._given_up:
            if self._previous_tasks_may_run(endpoint):
                continue
            self._given_up.add(endpoint)
            link = self.by_id.get(endpoint)
            log(
                Event.PREVIOUS_ENDPOINT_GIVEN_UP,
                shard=self._pool,
                endpoint=endpoint,
                is_registered=link is not None and link.registered,
                entry_started_ms=link.entry.started_ms if link is not None else 0,
                settled_started_ms=self._settled_started_ms(endpoint),
                started_ms=link.started_ms if link is not None else 0,
                waited_s=waited_s,
            )

    def _previous_tasks_may_run(self, endpoint: EndpointId) -> bool:
        now = time.monotonic()
        link = self.by_id.get(endpoint)
        if link is not None and _may_list_more_ends(link, now):
            return True
        # This owner may have renewed the lease before it processed the endpoint's reports.
        lease_end = link.lease_end if link is not None else 0.0
        return now < max(self._previous_calls_end, lease_end)


def _may_list_more_ends(link: EndpointLink, now: float) -> bool:
    """Whether ends on later pages still count; they don't once the endpoint's lease has lapsed."""
    return link.has_unread_ends and (link.reachable or now < lease_end_of_report(link.answered_at))


def _has_moved(link: EndpointLink) -> bool:
    """Whether an endpoint has registered another address since its link was opened."""
    return link.entry.address != link.opened_entry.address
