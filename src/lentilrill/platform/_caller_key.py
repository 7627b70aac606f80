"""Recognition of callers by the key in their requests."""

from enum import Enum
from typing import Any

from cheroot.server import HeaderReader

from lentilrill.ids import WorkspaceId
from lentilrill.serving import BoundedConnection, BoundedRequest
from lentilrill.workloads import Workspaces

__all__ = ["KEY_VARIABLE", "CallerConnection", "KeyProblem", "workspace_of"]

KEY_HEADER = b"Key"
KEY_VARIABLE = "HTTP_KEY"
"""WSGI variable of the header."""
REPEATED_HEADER_SEPARATOR = b"\n"
"""Can't occur within the value of a header."""
MAX_KEY_BYTES = 256


class KeyProblem(Enum):
    """Reason why a request's key identifies no workspace."""

    MISSING = "missing"
    REPEATED = "repeated"
    EMPTY = "empty"
    OVERSIZED = "oversized"
    UNDECODABLE = "undecodable"
    UNKNOWN = "unknown"


def workspace_of(header: str | None, workspaces: Workspaces) -> WorkspaceId | KeyProblem:
    """Return the workspace that a request's key belongs to, or why there is none.

    :param header: value of the key's header, decoded as Latin-1; ``None`` if it is missing.
    """
    if header is None:
        return KeyProblem.MISSING
    if REPEATED_HEADER_SEPARATOR.decode() in header:
        return KeyProblem.REPEATED
    if not header:
        return KeyProblem.EMPTY
    key = header.encode("latin-1")
    if len(key) > MAX_KEY_BYTES:
        return KeyProblem.OVERSIZED
    try:
        key.decode()
    except UnicodeDecodeError:
        return KeyProblem.UNDECODABLE
    workspace = workspaces.find(key)
    return workspace if workspace is not None else KeyProblem.UNKNOWN


class _CallerHeaderReader(HeaderReader):
    """Header reader that shows if a request has several keys; by default the last one counts."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        """Read headers into ``hdict``, or into a new dictionary."""
        headers = hdict if hdict is not None else {}
        headers.update(super().__call__(rfile, _CallerHeaders()))
        return headers


class _CallerHeaders(dict[bytes, bytes]):
    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == KEY_HEADER and name in self:
            value = self[name] + REPEATED_HEADER_SEPARATOR + value
        super().__setitem__(name, value)


class _CallerRequest(BoundedRequest):
    header_reader = _CallerHeaderReader()


class CallerConnection(BoundedConnection):
    """Connection of a caller, for :attr:`cheroot.server.HTTPServer.ConnectionClass`."""

    RequestHandlerClass = _CallerRequest
