"""Translation between etcd v3's HTTP/JSON gateway protocol and the stand-in's store."""

import math
from base64 import b64decode, b64encode
from operator import attrgetter
from typing import Any

from standins._store import (
    Change,
    Condition,
    DeleteWrite,
    Key,
    PutWrite,
    Store,
    StoreError,
)

__all__ = [
    "HTTP_STATUS_BY_CODE",
    "MAX_REQUEST_BYTES",
    "decode_field",
    "event",
    "execute",
    "header",
]

MAX_REQUEST_BYTES = 1536 * 1024
HTTP_STATUS_BY_CODE = {3: 400, 5: 404, 8: 429, 11: 400, 12: 501, 14: 503}
UNIMPLEMENTED = 12
INVALID_ARGUMENT = 3

Json = dict[str, Any]


def header(revision: int) -> Json:
    """Return the header of a response."""
    return {"cluster_id": "1", "member_id": "1", "revision": str(revision), "raft_term": "2"}


def execute(store: Store, reads: Store, path: str, request: Json) -> Json:
    """Execute one call and return its response.

    :param reads: store that serves range reads; differs from ``store`` while reads are stale.
    """
    call = _CALLS_BY_PATH.get(path)
    if call is None:
        raise StoreError(UNIMPLEMENTED, f"no such call: {path}")
    return call(reads if call is _range else store, request)


def event(change: Change) -> Json:
    """Return a change as a watch event."""
    if change.after is None:
        kv = {"key": _to_base64(change.key), "mod_revision": str(change.revision)}
        return {"type": "DELETE", "kv": kv}
    return {"kv": _key_value(change.after)}


def _range(store: Store, request: Json) -> Json:
    if int(request.get("revision", 0)):
        raise StoreError(UNIMPLEMENTED, "this stand-in does not support reads at a past revision")
    keys, revision = store.range(decode_field(request, "key"), decode_field(request, "range_end"))
    response: Json = {"header": header(revision)}
    if keys:
        limit = int(request.get("limit", 0)) or len(keys)
        kvs = [_key_value(key) for key in _sort_keys(keys, request)[:limit]]
        if request.get("keys_only"):
            kvs = [{n: v for n, v in kv.items() if n != "value"} for kv in kvs]
        response["kvs"] = kvs
        response["count"] = str(len(keys))
        if limit < len(keys):
            response["more"] = True
    return response


def _sort_keys(keys: list[Key], request: Json) -> list[Key]:
    order = request.get("sort_order", "NONE")
    target = request.get("sort_target", "KEY")
    if order == "NONE":
        return keys
    fields = {"KEY": "key", "VERSION": "version", "CREATE": "created", "MOD": "modified"}
    return sorted(keys, key=attrgetter(fields[target]), reverse=order == "DESCEND")


def _put(store: Store, request: Json) -> Json:
    _, revision, _ = store.txn([], [_put_write(request)], [])
    return {"header": header(revision)}


def _delete_range(store: Store, request: Json) -> Json:
    _, revision, deleted = store.txn([], [_delete_write(request)], [])
    response: Json = {"header": header(revision)}
    if deleted[0]:
        response["deleted"] = str(deleted[0])
    return response


def _txn(store: Store, request: Json) -> Json:
    succeeded, revision, deleted = store.txn(
        [_condition(compare) for compare in request.get("compare", [])],
        [_write(operation) for operation in request.get("success", [])],
        [_write(operation) for operation in request.get("failure", [])],
    )
    response: Json = {"header": header(revision)}
    if succeeded:
        response["succeeded"] = True
    operations = request.get("success" if succeeded else "failure", [])
    if operations:
        response["responses"] = [
            _response(operation, count, revision)
            for operation, count in zip(operations, deleted, strict=True)
        ]
    return response


def _response(operation: Json, deleted: int, revision: int) -> Json:
    if "request_put" in operation:
        return {"response_put": {"header": {"revision": str(revision)}}}
    response: Json = {"header": {"revision": str(revision)}}
    if deleted:
        response["deleted"] = str(deleted)
    return {"response_delete_range": response}


def _compact(store: Store, request: Json) -> Json:
    store.compact(int(request["revision"]))
    return {"header": header(store.revision)}


def _grant(store: Store, request: Json) -> Json:
    ttl_s = int(request.get("TTL", 0))
    lease = store.grant(ttl_s, int(request.get("ID", 0)))
    return {"header": header(store.revision), "ID": str(lease), "TTL": str(ttl_s)}


def _keep_alive(store: Store, request: Json) -> Json:
    lease = int(request.get("ID", 0))
    result: Json = {"header": header(store.revision), "ID": str(lease)}
    ttl_s = store.keep_alive(lease)
    if ttl_s:
        result["TTL"] = str(math.ceil(ttl_s))
    return {"result": result}


def _revoke(store: Store, request: Json) -> Json:
    store.revoke(int(request.get("ID", 0)))
    return {"header": header(store.revision)}


_CALLS_BY_PATH = {
    "/v3/kv/range": _range,
    "/v3/kv/put": _put,
    "/v3/kv/deleterange": _delete_range,
    "/v3/kv/txn": _txn,
    "/v3/kv/compaction": _compact,
    "/v3/lease/grant": _grant,
    "/v3/lease/keepalive": _keep_alive,
    "/v3/lease/revoke": _revoke,
}


def _write(operation: Json) -> PutWrite | DeleteWrite:
    if "request_put" in operation:
        return _put_write(operation["request_put"])
    if "request_delete_range" in operation:
        return _delete_write(operation["request_delete_range"])
    raise StoreError(UNIMPLEMENTED, f"unsupported operation: {sorted(operation)}")


def _put_write(request: Json) -> PutWrite:
    key = decode_field(request, "key")
    if not key:
        raise StoreError(INVALID_ARGUMENT, "etcdserver: key is not provided")
    return PutWrite(key, decode_field(request, "value"), int(request.get("lease", 0)))


def _delete_write(request: Json) -> DeleteWrite:
    return DeleteWrite(decode_field(request, "key"), decode_field(request, "range_end"))


def _condition(compare: Json) -> Condition:
    target = compare.get("target", "VERSION")
    field = {
        "VERSION": "version",
        "CREATE": "create_revision",
        "MOD": "mod_revision",
        "VALUE": "value",
    }[target]
    operand = decode_field(compare, field) if target == "VALUE" else int(compare.get(field, 0))
    return Condition(decode_field(compare, "key"), target, compare.get("result", "EQUAL"), operand)


def _key_value(key: Key) -> Json:
    encoded: Json = {
        "key": _to_base64(key.key),
        "create_revision": str(key.created),
        "mod_revision": str(key.modified),
        "version": str(key.version),
    }
    if key.value:
        encoded["value"] = _to_base64(key.value)
    if key.lease:
        encoded["lease"] = str(key.lease)
    return encoded


def decode_field(request: Json, name: str) -> bytes:
    """Return the bytes of a base64 field; empty if the field is missing."""
    return b64decode(request.get(name, ""), validate=True)


def _to_base64(data: bytes) -> str:
    return b64encode(data).decode()
