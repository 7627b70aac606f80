"""Watches of the stand-in for the key-value service."""

import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins import _etcd_http
from standins._http import Call
from standins._store import Store

__all__ = ["Watch"]

LOOK_S = 0.05


class Watch:
    """Streams the changes of a range from a start revision, with progress notices in between.

    :param create: the watch's ``create_request``.
    :param ends: returns whether the watch must end.
    :param is_silent: returns whether the watch stays open without sending anything.
    """

    def __init__(
        self,
        store: Store,
        call: Call,
        create: dict[str, Any],
        progress_s: float,
        ends: Callable[[], bool],
        is_silent: Callable[[], bool],
    ) -> None:
        self._store = store
        self._call = call
        self._ends = ends
        self._is_silent = is_silent
        self._key = _etcd_http.decoded(create, "key")
        self._end = _etcd_http.decoded(create, "range_end")
        self._next = int(create.get("start_revision", 0)) or store.revision + 1
        self._progress_s = progress_s if create.get("progress_notify") else float("inf")
        self._spoke = time.monotonic()

    def run(self) -> None:
        """Serve the watch until it ends."""
        self._say(self._store.revision, created=True)
        while not self._ends() and not self._call.hung_up():
            if self._is_silent():
                time.sleep(LOOK_S)
                continue
            if self._next < self._store.compacted:
                compacted = str(self._store.compacted)
                self._say(self._store.revision, canceled=True, compact_revision=compacted)
                return
            self._step()

    def _step(self) -> None:
        with self._store.changed:
            changes, revision = self._store.since(self._next, self._key, self._end)
            if not changes:
                self._store.changed.wait(LOOK_S)
        if changes:
            self._say(revision, events=[_etcd_http.event(change) for change in changes])
        elif time.monotonic() - self._spoke >= self._progress_s:
            self._say(revision)
        self._next = max(self._next, revision + 1)

    def _say(self, revision: int, **fields: Any) -> None:
        message = {"result": {"header": _etcd_http.header(revision), **fields}}
        self._call.write(msgspec.json.encode(message) + b"\n")
        self._spoke = time.monotonic()
