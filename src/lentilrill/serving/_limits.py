"""Limits that all callers of a server share, and the response to a refused request."""

from collections.abc import Callable

import msgspec

from lentilrill.serving._receipt import ReceiptLimits

__all__ = ["ServingLimits", "refusal_bytes"]


class ServingLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one server.

    :param connections: returns the most open connections.
    :param held_bytes: most bytes that are held of the requests and answers of all connections.
    :param receipt: returns the limits of one request.
    :param answer_s: time in which a caller reads an answer that is held for it, beyond the time
        at the least rate of a body.
    """

    connections: Callable[[], int]
    held_bytes: int
    receipt: Callable[[], ReceiptLimits]
    answer_s: float = 10.0


def refusal_bytes(status: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return the complete response to a refused request, after which the connection is closed."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
