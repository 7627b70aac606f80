"""A node that sends nothing."""

from typing import Any

from lentilrill.ids import ProcessId

__all__ = ["FakeNode"]


class FakeNode:
    """Records the messages to be sent, with their addresses."""

    process = ProcessId("h0")
    address = "10.0.0.0:1"

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def on(self, kind: type, handler: object) -> None: ...

    def send(self, address: str, message: object) -> None:
        self.sent.append((address, message))
