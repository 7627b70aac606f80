"""Watches of the stand-in for the key-value service."""

import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins import _etcd_http
from standins._http import Call
from standins._store import Store

__all__ = ["Watch"]

POLL_INTERVAL_S = 0.05


class Watch:
    """Streams the changes of a range from a start revision, with progress notices in between.

    :param create: the watch's ``create_request``.
    :param should_end: returns whether the watch must end.
    :param is_silent: returns whether the watch stays open without sending anything.
    """

    def __init__(
        self,
        store: Store,
        call: Call,
        create: dict[str, Any],
        progress_s: float,
        should_end: Callable[[], bool],
        is_silent: Callable[[], bool],
    ) -> None:
        self._store = store
        self._call = call
        self._should_end = should_end
        self._is_silent = is_silent
        self._key = _etcd_http.decode_field(create, "key")
        self._end = _etcd_http.decode_field(create, "range_end")
        self._next_revision = int(create.get("start_revision", 0)) or store.revision + 1
        self._progress_s = progress_s if create.get("progress_notify") else float("inf")
        self._last_sent_at = time.monotonic()

    def run(self) -> None:
        """Serve the watch until it ends."""
        self._send(self._store.revision, created=True)
        while not self._should_end() and not self._call.client_disconnected():
            if self._is_silent():
                time.sleep(POLL_INTERVAL_S)
                continue
            if self._next_revision < self._store.compacted:
                compacted = str(self._store.compacted)
                self._send(self._store.revision, canceled=True, compact_revision=compacted)
                return
            self._send_changes()

    def _send_changes(self) -> None:
        with self._store.changed:
            changes, revision = self._store.changes_since(self._next_revision, self._key, self._end)
            if not changes:
                self._store.changed.wait(POLL_INTERVAL_S)
        if changes:
            self._send(revision, events=[_etcd_http.event(change) for change in changes])
        elif time.monotonic() - self._last_sent_at >= self._progress_s:
            self._send(revision)
        self._next_revision = max(self._next_revision, revision + 1)

    def _send(self, revision: int, **fields: Any) -> None:
        message = {"result": {"header": _etcd_http.header(revision), **fields}}
        self._call.write(msgspec.json.encode(message) + b"\n")
        self._last_sent_at = time.monotonic()
