"""Watches of the platform's store."""

import threading
from collections.abc import Iterator
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import Revision
from lentilrill.platform._kv_answers import StoreAnswers
from lentilrill.platform._kv_wire import MAX_PAGE_BYTES, OK, Events, fault_of
from lentilrill.store import DECODE_ERRORS, Effect, Transport, WatchBatch

__all__ = ["PAGE_TIMEOUT_S", "PlatformWatch"]

PAGE_TIMEOUT_S = 5.0
"""Timeout of a page that keeps arriving: a page has up to 1 MB, which takes the slowest links of
entry hosts one or two seconds, or longer if they are shared."""
WATCH_WAIT_MS = 1500
"""Time that a watch waits for a change: half of the 3 s within which a silent connection must be
replaced. Shorter waits cost more calls, and calls are billed."""
WATCH_SLACK_S = 0.7
"""Time that a watch may take beyond its wait before its connection counts as silent."""


class PlatformWatch(Iterator[Result[WatchBatch, Fault]]):
    """Changes below a prefix by long polling; a batch without items means that nothing changed."""

    def __init__(self, answers: StoreAnswers, address: str, prefix: str, after: Revision) -> None:
        self._answers = answers
        self._transport = Transport((address,), max_answer_bytes=MAX_PAGE_BYTES)
        self._prefix = prefix
        self._after = after
        self._closed = threading.Event()

    def __next__(self) -> Result[WatchBatch, Fault]:
        if self._closed.is_set():
            raise StopIteration
        step = "store.watch"
        path = f"/kv-watch?prefix={quote(self._prefix)}&after={self._after}&wait_ms={WATCH_WAIT_MS}"
        timeout_s = WATCH_WAIT_MS / 1000.0 + WATCH_SLACK_S
        total_timeout_s = timeout_s + PAGE_TIMEOUT_S
        result = self._transport.request(
            step, Effect.REPEATABLE, "GET", path, b"", timeout_s, total_timeout_s
        )
        if isinstance(result, Failure):
            self._closed.set()
            return result
        status, data, peer = result.unwrap()
        if status != OK:
            self._closed.set()
            return Failure(fault_of(step, status, peer))
        try:
            answer = msgspec.json.decode(data, type=Events)
            items = tuple(item.to_item() for item in answer.events)
        except (*DECODE_ERRORS, ValueError) as error:
            self._closed.set()
            return Failure(Fault(step, peer, FaultKind.CONFLICT, f"malformed answer: {error}"))
        self._answers.record_answer()
        self._after = Revision(max(self._after, answer.at_rev))
        return Success(WatchBatch(items, self._after))

    def close(self) -> None:
        """End the watch; a pending wait ends with its timeout at the latest."""
        self._closed.set()
