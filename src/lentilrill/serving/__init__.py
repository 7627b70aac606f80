"""Limits of the HTTP servers: what callers may hold of a process's threads, memory, descriptors."""

from lentilrill.serving._connection import BoundedConnection, BoundedRequest
from lentilrill.serving._limits import ServingLimits, refusal_bytes
from lentilrill.serving._receipt import Framing, ReceiptLimits, RefusalKind
from lentilrill.serving._server import BoundedServer

__all__ = [
    "BoundedConnection",
    "BoundedRequest",
    "BoundedServer",
    "Framing",
    "ReceiptLimits",
    "RefusalKind",
    "ServingLimits",
    "refusal_bytes",
]
