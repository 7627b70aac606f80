"""The key-value store of the stand-in for the users' platform."""

import base64
import itertools
import threading
import time
from typing import Any
from urllib.parse import parse_qs

import msgspec

from standins._http import Call

__all__ = ["UsersStore"]


class UsersStore:
    """Keys with revisions, leases and watches.

    :ivar down: whether every call is answered with 503.
    :ivar refuse_every_nth: every n-th call is answered with 503; 0 for none.
    """

    def __init__(self) -> None:
        self.down = False
        self.refuse_every_nth = 0
        self._call_numbers = itertools.count(1)
        self.changed = threading.Condition()
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, float] = {}
        self._ttl_ms_by_lease: dict[int, int] = {}
        self._lease_ids = itertools.count(1)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        with self.changed:
            self._apply([{"key": key, "value": _b64(value), "lease": lease}], [])

    def remove(self, key: str) -> None:
        with self.changed:
            self._apply([], [key])

    def expire_leases(self) -> None:
        """Remove the keys of expired leases."""
        with self.changed:
            now = time.monotonic()
            expired = {lease for lease, end in self._leases.items() if end < now}
            for lease in expired:
                self._revoke(lease)

    def serve(self, call: Call) -> None:
        query = {name: values[0] for name, values in parse_qs(call.query).items()}
        if self.down or self._refuses():
            call.answer(503, b"")
        elif call.path == "/kv-key":
            item = self.items.get(query["key"])
            (
                call.answer(404, b"")
                if item is None
                else call.answer_json(item | self._revision_field())
            )
        elif call.path == "/kv-range":
            self._range(call, query["prefix"])
        elif call.path == "/kv-watch":
            self._watch(call, query)
        elif call.path == "/kv-txn":
            self._txn(call, msgspec.json.decode(call.body))
        elif call.path == "/kv-lease":
            self._grant(call, msgspec.json.decode(call.body)["ttl_ms"])
        elif call.path.startswith("/kv-keep/"):
            self._keep_alive(call, int(call.path.rpartition("/")[2]))
        else:
            with self.changed:
                self._revoke(int(call.path.rpartition("/")[2]))
            call.answer_json({})

    def _refuses(self) -> bool:
        nth = self.refuse_every_nth
        return bool(nth) and next(self._call_numbers) % nth == 0

    def _revision_field(self) -> dict[str, int]:
        return {"at_rev": self.revision}

    def _range(self, call: Call, prefix: str) -> None:
        with self.changed:
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            answer = {"items": items, "truncated": False} | self._revision_field()
        call.answer_json(answer)

    def _watch(self, call: Call, query: dict[str, str]) -> None:
        prefix, after = query["prefix"], int(query["after"])
        with self.changed:
            self.changed.wait_for(
                lambda: bool(self._events_after(prefix, after)), int(query["wait_ms"]) / 1000
            )
            answer = {"events": self._events_after(prefix, after)} | self._revision_field()
        call.answer_json(answer)

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [e for e in self._history if e["revision"] > after and e["key"].startswith(prefix)]

    def _txn(self, call: Call, txn: dict[str, Any]) -> None:
        self.expire_leases()
        with self.changed:
            bound_to = {write.get("lease", 0) for write in txn["writes"]} - {0}
            if not bound_to <= self._leases.keys():
                call.answer(404, b"")
                return
            succeeded = all(
                self.items.get(row["key"], {}).get("revision", 0) == row["revision"]
                for row in txn["precondition"]
            )
            if succeeded:
                self._apply(txn["writes"], txn["remove"])
            revision = self.revision
            compared = [self.items.get(row["key"]) for row in txn["precondition"]]
        current = [item for item in compared if item is not None]
        call.answer_json(
            {"revision": revision} if succeeded else {"items": current}, 200 if succeeded else 412
        )

    def _apply(self, writes: list[dict[str, Any]], remove: list[str]) -> None:
        self.revision += 1
        for write in writes:
            item = {"lease": 0} | write | {"revision": self.revision, "created": self.revision}
            self.items[write["key"]] = item
            self._history.append(item)
        for key in remove:
            if self.items.pop(key, None) is not None:
                self._history.append({"key": key, "revision": self.revision, "removed": True})
        self.changed.notify_all()

    def _grant(self, call: Call, ttl_ms: int) -> None:
        lease = next(self._lease_ids)
        with self.changed:
            self._leases[lease] = time.monotonic() + ttl_ms / 1000
            self._ttl_ms_by_lease[lease] = ttl_ms
        call.answer_json({"lease": lease, "ttl_ms": ttl_ms})

    def _keep_alive(self, call: Call, lease: int) -> None:
        self.expire_leases()
        with self.changed:
            exists = lease in self._leases
            ttl_ms = self._ttl_ms_by_lease.get(lease, 0)
            if exists:
                self._leases[lease] = time.monotonic() + ttl_ms / 1000
        call.answer_json({"ttl_ms": ttl_ms}) if exists else call.answer(404, b"")

    def _revoke(self, lease: int) -> None:
        self._leases.pop(lease, None)
        self._ttl_ms_by_lease.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()
