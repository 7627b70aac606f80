"""A pool's endpoints, as its owner comes to know and to forget them."""

import threading
import time
from collections.abc import Callable

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._roster import Roster
from lentilrill.ids import EndpointId, PoolId, ZoneId
from lentilrill.workloads import EndpointEntry

__all__ = ["PoolLinks"]

TAKE_OVER_S = 5.5
"""Wait for endpoints that can't be looked at after a take-over, before tasks that may run there
are started elsewhere: the former owner's right (at most 1.6 s, by its lease or by the news that
the store is away everywhere), the lease of its last order (3.4 s on a clock that may be 2 % slow),
and its end."""
FRESH_S = 0.3
"""How long what the store tells of endpoints counts for a start: as long as it takes to come."""
FORGET_LINK_S = 2.0
"""How long an endpoint that is not registered any more must be silent before it is forgotten."""


class PoolLinks:
    """Links to the endpoints that are registered now, and to those that a former owner used.

    :param lock: the lock of the pool's owner, under which ``by_id`` is read and changed.
    :param connect: opens a link, which is not started yet.
    :ivar unseen: endpoints of the former owner at which this one has not looked yet.
    :ivar read_at: when the entries of the links were last read, by the monotonic clock.
    """

    def __init__(
        self,
        pool: PoolId,
        roster: Roster,
        lock: threading.RLock,
        connect: Callable[[EndpointEntry], EndpointLink],
    ) -> None:
        self.by_id: dict[EndpointId, EndpointLink] = {}
        self.unseen: set[EndpointId] = set()
        self.read_at = 0.0
        self._pool = pool
        self._roster = roster
        self._lock = lock
        self._connect = connect
        self._gained_at = time.monotonic()

    def load(self) -> bool:
        """Read which endpoints the former owner used; return whether that could be read."""
        if not self._roster.load():
            return False
        self.unseen = set(self._roster.address_by_id)
        return True

    @property
    def are_blocked(self) -> bool:
        """Whether tasks of the former owner's jobs may run where nobody has looked yet."""
        return bool(self.unseen) and self._may_run_unseen()

    def refresh(self, entries: dict[EndpointId, EndpointEntry]) -> bool:
        """Open links to new endpoints and close those that are over.

        :param entries: the pool's endpoints that are registered now.
        :return: ``False`` if the store knows a newer owner.
        """
        with self._lock:
            self.note(entries)
            new = [entry for entry in entries.values() if entry.id not in self.by_id]
            gone = [link for link in self.by_id.values() if self._is_over(link)]
            for link in gone:
                link.close()
                del self.by_id[link.entry.id]
                self.unseen.discard(link.entry.id)
        gone_ids = [link.entry.id for link in gone]
        if (new or gone) and not self._roster.write(new, gone_ids):
            return False
        for entry in [*new, *self._former(entries)]:
            if entry.id in self._roster.address_by_id:
                self._open(entry)
        return True

    def note(self, entries: dict[EndpointId, EndpointEntry]) -> None:
        """Take over what the store tells of endpoints that have links."""
        self.read_at = time.monotonic()
        for link in self.by_id.values():
            entry = entries.get(link.entry.id)
            link.registered = entry is not None
            link.entry = entry or link.entry

    @property
    def are_fresh(self) -> bool:
        """Whether the entries of the links were read a moment ago."""
        return time.monotonic() - self.read_at < FRESH_S

    def _former(self, entries: dict[EndpointId, EndpointEntry]) -> list[EndpointEntry]:
        """Return endpoints that only the former owner's roster names."""
        return [
            EndpointEntry(endpoint, self._pool, address, ZoneId(""))
            for endpoint, address in self._roster.address_by_id.items()
            if endpoint in self.unseen and endpoint not in entries and endpoint not in self.by_id
        ]

    def _open(self, entry: EndpointEntry) -> None:
        link = self._connect(entry)
        with self._lock:
            self.by_id[entry.id] = link
        link.start()

    def _is_over(self, link: EndpointLink) -> bool:
        """Whether a link is of no use any more: its endpoint is not registered, and nothing runs
        there, or has been unreachable for longer than its lease."""
        # Guard against a task that runs twice: a cut zone's endpoints vanish from the store while
        # a former owner's tasks still run there, until that owner's last leases have ended.
        former = link.entry.id in self.unseen and self._may_run_unseen()
        if link.registered or former:
            return False
        now = time.monotonic()
        silent = now - max(link.heard, link.since) > FORGET_LINK_S
        return not link.runs_by_key and (link.closed or (silent and now > link.lease_end))

    def _may_run_unseen(self) -> bool:
        return time.monotonic() - self._gained_at < TAKE_OVER_S
