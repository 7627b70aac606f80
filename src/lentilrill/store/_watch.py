"""A watch: a streamed answer of the key-value service."""

import contextlib
import threading
from collections.abc import Iterator

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.store._contract import Item, Priority, WatchBatch
from lentilrill.store._guard import CallGuard, Effect
from lentilrill.store._transport import (
    DECODE_ERRORS,
    MAX_ANSWER_BYTES,
    OK,
    Transport,
    failure_reason,
)
from lentilrill.store._wire import Header, StoredKey

__all__ = ["Watch"]

PATH = "/v3/watch"
STEP = "platform.watch"
DELETE = "DELETE"


class _Event(msgspec.Struct):
    kv: StoredKey
    type: str = "PUT"


class _Result(msgspec.Struct):
    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: tuple[_Event, ...] = ()


class _Error(msgspec.Struct):
    message: str = ""


class _Line(msgspec.Struct):
    result: _Result | None = None
    error: _Error | None = None


_DECODER = msgspec.json.Decoder(_Line, strict=False)


class Watch(Iterator[Result[WatchBatch, Fault]]):
    """Iterator over changes in order, for one thread; a fault ends it and is its last element.

    :meth:`close` may be called by any thread and ends a pending wait.
    """

    def __init__(
        self,
        transport: Transport,
        guard: CallGuard,
        body: bytes,
        prefix: str,
        connect_s: float,
        silence_s: float,
    ) -> None:
        self._transport = transport
        self._guard = guard
        self._body = body
        self._prefix = prefix
        self._connect_s = connect_s
        self._silence_s = silence_s
        self._lock = threading.Lock()
        self._response: urllib3.BaseHTTPResponse | None = None
        self._peer = ""
        self._buffer = b""
        self._closed = False

    def __next__(self) -> Result[WatchBatch, Fault]:
        """Wait for the next batch; a progress notice is a batch without items."""
        if self._closed:
            raise StopIteration
        result = self._next_result()
        if self._closed:  # closed by another thread
            self._close_response()
            raise StopIteration
        if isinstance(result, Failure):
            self.close()
            self._close_response()
        return result

    def close(self) -> None:
        """End the watch."""
        with self._lock:
            self._closed = True
            response = self._response
        if response is not None:
            with contextlib.suppress(OSError, ValueError, RuntimeError):
                response.shutdown()

    def _next_result(self) -> Result[WatchBatch, Fault]:
        if self._response is None:
            fault = self._open()
            if fault is not None:
                return Failure(fault)
        while True:
            try:
                line = self._read_line()
            except (HTTPError, OSError) as error:
                # The service sends progress notices, so a read timeout means that the connection
                # is open but dead. After the failover the next watch uses a new connection.
                self._transport.fail_over(self._peer)
                return self._unavailable(f"the watch failed: {failure_reason(error)}")
            result = self._decode_line(line)
            if result is not None:
                return result

    def _open(self) -> Fault | None:
        refused = self._guard.admit(STEP, Priority.FIRST)
        if refused is not None:
            return refused
        opened = self._transport.open(
            STEP, Effect.REPEATABLE, "POST", PATH, self._body, self._connect_s, self._silence_s
        )
        if isinstance(opened, Failure):
            self._guard.report(STEP, opened)
            return self._with_retry(opened.failure())
        response, self._peer = opened.unwrap()
        if response.status != OK:
            fault = self._transport.read_refusal(STEP, response, self._peer, self._connect_s)
            self._guard.report(STEP, Failure(fault))
            return self._with_retry(fault)
        with self._lock:
            self._response = response
            if not self._closed:
                return None
        return Fault(
            STEP,
            self._peer,
            FaultKind.UNAVAILABLE,
            "the watch was closed while it was being opened",
        )

    def _read_line(self) -> bytes:
        assert self._response is not None
        while b"\n" not in self._buffer:
            part = self._transport.read_part(self._response, self._silence_s)
            if not part:
                raise HTTPError("the service ended the stream")
            self._buffer += part
            if len(self._buffer) > MAX_ANSWER_BYTES:
                raise HTTPError("a message exceeds the size limit")
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line

    def _decode_line(self, line: bytes) -> Result[WatchBatch, Fault] | None:
        try:
            decoded = _DECODER.decode(line)
        except DECODE_ERRORS as error:
            return self._unavailable(f"malformed message: {error}")
        result = decoded.result
        if result is None:
            return self._unavailable(
                decoded.error.message if decoded.error else "message without result"
            )
        if result.canceled:
            return self._canceled(result)
        self._guard.report(STEP, Success(None))
        if result.created:
            return None
        return Success(self._batch(result))

    def _canceled(self, result: _Result) -> Result[WatchBatch, Fault]:
        if not result.compact_revision:
            return self._unavailable(f"the service canceled the watch: {result.cancel_reason}")
        reason = f"the history before revision {result.compact_revision} is compacted"
        return Failure(Fault(STEP, self._peer, FaultKind.CONFLICT, reason))

    def _batch(self, result: _Result) -> WatchBatch:
        if not result.events:
            return WatchBatch((), Revision(result.header.revision))
        items = tuple(self._item(event) for event in result.events)
        # The header has the store's revision, but a watch that catches up gets its changes in
        # several messages; each message is complete only up to its last change.
        return WatchBatch(items, max(item.revision for item in items))

    def _item(self, event: _Event) -> Item:
        key = event.kv.key.decode(errors="replace")[len(self._prefix) :]
        value = None if event.type == DELETE else event.kv.value
        return Item(key, value, Revision(event.kv.mod_revision), event.kv.lease_id)

    def _unavailable(self, reason: str) -> Failure[Fault]:
        fault = Fault(STEP, self._peer, FaultKind.UNAVAILABLE, reason)
        self._guard.report(STEP, Failure(fault))
        return Failure(self._with_retry(fault))

    def _with_retry(self, fault: Fault) -> Fault:
        if fault.kind is not FaultKind.UNAVAILABLE:
            return fault
        return msgspec.structs.replace(fault, retry_after_s=self._guard.backoff_s(1))

    def _close_response(self) -> None:
        if self._response is not None:
            self._response.close()
            self._response = None
