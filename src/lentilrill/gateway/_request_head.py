"""Parsing and validation of a request line and its headers."""

import re
from collections.abc import Mapping

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.gateway._limits import MAX_KEY_CHARACTERS, MAX_WAIT_S
from lentilrill.gateway._problems import Problem, ProblemKind
from lentilrill.ids import ServiceId
from lentilrill.settings import Entitlement

__all__ = ["RequestHead", "end_to_end_headers", "is_idempotent", "parse_request_head"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
UNSUPPORTED_METHODS = frozenset(("CONNECT", "TRACE"))

_TARGET = re.compile(rb"/[!-~]*")
_METHOD = re.compile(rb"[A-Z]{1,20}")
_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
_BEARER = re.compile(r"[Bb]earer +([A-Za-z0-9._~+/=-]{1,512})")
_WAIT = re.compile(r"(?:^|[,;]) *wait *= *\"?([^,;\"]*)\"?", re.IGNORECASE)
_SECONDS = re.compile(r"[0-9]{1,9}")
_LENGTH = re.compile(r"[0-9]{1,15}")
_KEY = re.compile(rf"[!-~]{{1,{MAX_KEY_CHARACTERS}}}")
_AMBIGUOUS_SEGMENT = re.compile(r"//|/\.{1,2}(/|$)|%2e|%2f|\\", re.IGNORECASE)


class RequestHead(msgspec.Struct, frozen=True):
    """A validated request line with its headers.

    :param target: path and query as sent.
    :param path: path below the service, without the query.
    :param token: bearer token; empty if there is none.
    :param wait_s: the caller's deadline in seconds from now; ``None`` if it set none.
    :param key: idempotency key; ``None`` if there is none.
    :param length: declared body length; ``None`` for a chunked body.
    :param headers: all headers, names in lower case.
    """

    method: str
    target: str
    service: ServiceId
    path: str
    token: str
    wait_s: float | None
    key: str | None
    length: int | None
    headers: dict[str, str]


def parse_request_head(
    method: bytes, target: bytes, raw: Mapping[bytes, bytes]
) -> Result[RequestHead, Problem]:
    """Parse and validate a request line and its headers."""
    if not _TARGET.fullmatch(target) or not _METHOD.fullmatch(method):
        return _malformed_request("the request line has a method or target that is not allowed")
    if method.decode() in UNSUPPORTED_METHODS:
        return Failure(Problem(ProblemKind.METHOD, f"{method.decode()} is not served"))
    for name, value in raw.items():
        if not _NAME.fullmatch(name) or not _VALUE.fullmatch(value):
            return _malformed_request(f"header {name.decode('latin-1')!r} is not allowed")
    headers = {name.decode().lower(): value.decode("latin-1") for name, value in raw.items()}
    return _parse_headers(method.decode(), target.decode(), headers)


def _parse_headers(
    method: str, target: str, headers: dict[str, str]
) -> Result[RequestHead, Problem]:
    length = headers.get("content-length")
    chunked = "transfer-encoding" in headers
    # Prevents request smuggling: if Content-Length and Transfer-Encoding were both accepted,
    # the next hop could use the other one and parse the rest of the body as another request.
    if length is not None and (chunked or not _LENGTH.fullmatch(length)):
        return _malformed_request("Content-Length is malformed, or given with Transfer-Encoding")
    key = headers.get("idempotency-key")
    if key is not None and not _KEY.fullmatch(key):
        return _malformed_request(
            f"Idempotency-Key must be 1 to {MAX_KEY_CHARACTERS} printable characters"
        )
    wait = _WAIT.search(headers.get("prefer", ""))
    if wait and not _SECONDS.fullmatch(wait[1].strip()):
        return _malformed_request("Prefer: wait must be a whole number of seconds")
    authorization = headers.get("authorization", "")
    bearer = _BEARER.fullmatch(authorization)
    if authorization and not bearer:
        return _malformed_request("Authorization must be a bearer token")
    service, _, below = target.partition("?")[0][1:].partition("/")
    return Success(
        RequestHead(
            method=method,
            target=target,
            service=ServiceId(service),
            path="/" + below,
            token=bearer[1] if bearer else "",
            wait_s=min(float(wait[1]), MAX_WAIT_S) if wait else None,
            key=key,
            length=None if chunked else int(length or 0),
            headers=headers,
        )
    )


def _malformed_request(detail: str) -> Result[RequestHead, Problem]:
    return Failure(Problem(ProblemKind.MALFORMED, detail))


def is_idempotent(request_head: RequestHead, entitlement: Entitlement) -> bool:
    """Return whether the job may run twice: its method is idempotent, or the plan lists its path.

    A path that an endpoint could normalize to a different path never matches a listed one.
    """
    if request_head.method in IDEMPOTENT_METHODS:
        return True
    if _AMBIGUOUS_SEGMENT.search(request_head.path):
        return False
    return any(_is_below(request_head.path, prefix) for prefix in entitlement.idempotent_paths)


def _is_below(path: str, prefix: str) -> bool:
    base = "/" + prefix.strip("/")
    return base == "/" or path == base or path.startswith(base + "/")


def end_to_end_headers(headers: dict[str, str], dropped: frozenset[str]) -> dict[str, str]:
    """Return the end-to-end headers, without those in ``dropped``."""
    connection_options = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    excluded = HOP_BY_HOP | dropped | connection_options
    return {name: value for name, value in headers.items() if name not in excluded}
