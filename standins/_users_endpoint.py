"""One life of an endpoint of the users' platform: it runs tasks, and it may crash."""

import random
import threading
import time
from typing import Any, Protocol

import msgspec

from standins._http import Call, Server
from standins._order_faults import LATE_S, MAX_HELD_S, OrderFault
from standins._platform_records import Crash, RunRecord

__all__ = ["CrashPlan", "EndpointContext", "UsersEndpoint"]

THREADS = 8
STARTUP_S = 0.1
"""Time after which a task that lasts is at work."""
FAILURE_S = 0.05
"""Time after which a run fails on an endpoint that fails everything it starts."""
STOP_S = 0.1
HOLD_MAX_MS = 10_000
"""A longer run lease is shortened to this time."""


class CrashPlan(msgspec.Struct, frozen=True):
    """How an endpoint crashes and comes back.

    :param after_s: seconds after the answer to the start; 0.0 for a crash before the answer.
    :param back_s: seconds after which the endpoint starts again; ``None`` if it never does.
    :param renamed: whether it then has another id, at the same address.
    """

    after_s: float = 0.0
    back_s: float | None = 1.0
    renamed: bool = False


class EndpointContext(Protocol):
    """What an endpoint needs to know of its platform.

    :ivar crashes: every crash.
    :ivar ignores_stops: whether orders to stop a run are neither answered nor executed.
    :ivar leases_lapse: whether runs end once the endpoint's lease has expired.
    """

    crashes: list[Crash]
    ignores_stops: bool
    leases_lapse: bool

    def may_start(self, endpoint: str, task: str, ticket: str) -> bool:
        """Return whether an endpoint may start a task with a ticket."""

    def loses_answer(self) -> bool:
        """Return whether the answer to the current call is lost after its execution."""

    def order_fault(self, path: str) -> OrderFault:
        """Return what happens to a call."""

    def loses_orders(self) -> bool:
        """Return whether orders are lost at present."""

    def on_start(self, run: RunRecord) -> None:
        """Take note of the start of a run."""

    def work_end(self, run: RunRecord) -> str:
        """Return how a run ends by itself now; an empty string if it continues."""

    def work_s(self, task: str) -> float:
        """Return the seconds that a task takes that does not last."""

    def lasts(self, task: str) -> bool:
        """Return whether a task runs until it is stopped."""

    def fails(self, endpoint: str) -> bool:
        """Return whether an endpoint fails everything it starts."""

    def plan_crash(self, task: str, spec: str) -> CrashPlan | None:
        """Return how the start of a task crashes its endpoint, or ``None`` if it does not."""

    def plan_cut(self, task: str, spec: str) -> float:
        """Return the seconds for which the start of a task cuts its endpoint off; 0.0 if not."""

    def on_cut(self, endpoint: "UsersEndpoint") -> None:
        """Take note of the beginning of a partition."""

    def next_clock_ms(self) -> int:
        """Return what the clock of an endpoint's next process shows at its start."""

    def on_restart(self, endpoint: "UsersEndpoint") -> None:
        """Take note of an endpoint that has ended, and is about to start again under its id."""

    def on_crash(self, endpoint: "UsersEndpoint", plan: CrashPlan) -> None:
        """Take note of a crash, and start the endpoint again as planned."""


class UsersEndpoint:
    """One life of an endpoint.

    :param address: address at which it serves; that of a former life if it starts again.
    :ivar started_ms: time of its start, in milliseconds since the epoch.
    :ivar down_since: monotonic time of its end; 0.0 while it is up.
    :ivar cut_since: monotonic time at which the last partition began.
    :ivar cut_until: monotonic time at which it ends; 0.0 if there was none.
    """

    def __init__(self, name: str, address: str, context: EndpointContext) -> None:
        self.name = name
        self.down_since = 0.0
        self.cut_since = self.cut_until = 0.0
        self._context = context
        self._changed = threading.Condition()
        self._running: dict[tuple[str, int], RunRecord] = {}
        self._held: list[tuple[str, dict[str, Any], float]] = []
        self._begin_life(0.0)
        self._server = Server(address, self._serve, THREADS)
        self._server.start()
        self.address = self._server.address

    def _begin_life(self, after_s: float) -> None:
        """Forget everything, as a process does that starts some seconds from now."""
        self._up_at = time.monotonic() + after_s
        self.started_ms = int((time.time() + after_s) * 1000)
        self._first_clock_ms = self._context.next_clock_ms()
        self._token = 0
        self._expires_ms = 0
        self._stop_at: dict[tuple[str, int], float] = {}
        self._last_finished_run: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._ended_runs: dict[int, RunRecord] = {}
        self._cursor = 0

    @property
    def is_starting(self) -> bool:
        """Whether the endpoint has ended and has not started again yet."""
        return time.monotonic() < self._up_at

    def restart(self, dark_s: float) -> None:
        """End without a trace, and start again under the same id.

        What was sent to the former process gets no answer: calls that it was executing, and those
        that arrive before the next one is up.
        """
        with self._changed:
            if self.closed:
                return
            self._end_all_runs(time.monotonic())
            self._begin_life(dark_s)
            self._changed.notify_all()
        self._context.on_restart(self)

    @property
    def closed(self) -> bool:
        """Whether the endpoint is down."""
        return bool(self.down_since)

    def close(self) -> None:
        """End all runs and stop serving."""
        with self._changed:
            self._go_down()
        self._server.close()

    def crash(self, plan: CrashPlan, culprit: str = "") -> None:
        """End all runs without a trace, and close the connections.

        :param culprit: task that crashed the endpoint, or an empty string.
        """
        if self._record_crash(culprit):
            self._context.on_crash(self, plan)

    @property
    def is_cut_off(self) -> bool:
        """Whether no call reaches the endpoint, which works on."""
        return time.monotonic() < self.cut_until

    def cut_off(self, for_s: float) -> None:
        """Answer no call for some seconds; polls that wait get no answer either."""
        with self._changed:
            if self.closed:
                return
            self.cut_since = time.monotonic()
            self.cut_until = self.cut_since + for_s
            self._changed.notify_all()
        self._context.on_cut(self)

    def tick(self) -> None:
        """End the runs that are complete or stopped, or whose lease has expired."""
        with self._changed:
            is_past_expiry = self._clock_ms() > self._expires_ms
            lease_expired = is_past_expiry and self._context.leases_lapse
            if lease_expired and self.is_cut_off:
                for ended in self._ended_runs.values():
                    ended.outdated = True
            for key, record in list(self._running.items()):
                end_kind = "lapsed" if lease_expired else self._due_end(key, record)
                if end_kind:
                    self._end(*key, end_kind)

    def _due_end(self, key: tuple[str, int], record: RunRecord) -> str:
        """Return how a run ends now; an empty string if it continues."""
        now = time.monotonic()
        if key in self._stop_at:
            return "stopped" if now >= self._stop_at[key] else ""
        age = now - record.began
        if self._context.fails(self.name):
            return "failed" if age >= FAILURE_S else ""
        return self._context.work_end(record)

    def _record_crash(self, culprit: str) -> bool:
        with self._changed:
            if self.closed:
                return False
            self._go_down()
            self._context.crashes.append(Crash(self.name, self.down_since, culprit))
            return True

    def _go_down(self) -> None:
        if self.closed:
            return
        self.down_since = time.monotonic()
        self._end_all_runs(self.down_since)
        self._changed.notify_all()

    def _end_all_runs(self, at: float) -> None:
        for record in self._running.values():
            record.ended, record.end_kind = at, "gone"
        self._running.clear()

    def _clock_ms(self) -> int:
        return self._first_clock_ms + int((time.monotonic() - self._up_at) * 1000)

    def _end(self, task: str, number: int, end_kind: str) -> None:
        record = self._running.pop((task, number))
        record.ended, record.end_kind = time.monotonic(), end_kind
        self._stop_at.pop((task, number), None)
        self._forbid(task, number)
        self._cursor += 1
        self._ended.append([self._cursor, task, number, end_kind, ""])
        self._ended_runs[self._cursor] = record
        self._changed.notify_all()

    def _forbid(self, task: str, number: int) -> None:
        """Refuse this run of a task, and all earlier ones, from now on."""
        self._last_finished_run[task] = max(number, self._last_finished_run.get(task, 0))

    def _serve(self, call: Call, address: str) -> None:
        del address
        started_ms = self.started_ms
        if self.is_starting:
            call.block_while(lambda: not self.closed)
            call.disconnect(reset=True)
            return
        if self.is_cut_off:
            self._keep_silent(call)
            return
        if call.header("Expect-Instance") != self.name:
            call.answer(421, b"")
            return
        if call.path == "/run-stop" and self._context.ignores_stops:
            call.disconnect(reset=True)
            return
        body = msgspec.json.decode(call.body)
        fault = self._context.order_fault(call.path)
        if fault in (OrderFault.DROPPED, OrderFault.LATE, OrderFault.HELD):
            self._execute_late(call.path, body, fault)
            self._leave_unanswered(call)
            return
        plan = None
        cut_s = 0.0
        with self._changed:
            if self.closed:
                call.disconnect(reset=True)
                return
            reason = self._refusal(call.path, body)
            if reason:
                call.answer_json({"clock_ms": self._clock_ms(), "reason": reason}, 409)
                return
            is_new = call.path == "/run-start" and self._key(body) not in self._running
            answer = self._execute(call.path, body) | {"clock_ms": self._clock_ms()}
            if is_new:
                plan = self._context.plan_crash(body["task"], body.get("spec", ""))
                cut_s = self._context.plan_cut(body["task"], body.get("spec", ""))
        if self.started_ms != started_ms:
            call.block_while(lambda: not self.closed)
            call.disconnect(reset=True)
            return
        if plan is not None and not plan.after_s:
            self.crash(plan, body["task"])
        if self.closed or self._context.loses_answer():
            call.disconnect(reset=True)
            return
        if fault is OrderFault.ANSWER_LOST:
            self._leave_unanswered(call)
            return
        if self.is_cut_off:
            self._keep_silent(call)
            return
        call.answer_json(answer)
        if cut_s:
            self.cut_off(cut_s)
        if plan is not None and plan.after_s:
            timer = threading.Timer(plan.after_s, self._crash_under, (plan, self._key(body)))
            timer.daemon = True
            timer.start()

    def _keep_silent(self, call: Call) -> None:
        """Give no answer while the partition lasts, nor afterwards."""
        call.block_while(lambda: self.is_cut_off and not self.closed)
        call.disconnect(reset=True)

    def _leave_unanswered(self, call: Call) -> None:
        """Give no answer while orders are lost, nor afterwards."""
        call.block_while(lambda: self._context.loses_orders() and not self.closed)
        call.disconnect(reset=True)

    def _execute_late(self, path: str, body: dict[str, Any], fault: OrderFault) -> None:
        """Execute an order seconds from now, or hold it, unless it is dropped."""
        if fault is OrderFault.LATE:
            order = (path, body, self.started_ms)
            timer = threading.Timer(random.uniform(*LATE_S), self._execute_now, order)
            timer.daemon = True
            timer.start()
        elif fault is OrderFault.HELD:
            self._held.append((path, body, time.monotonic()))

    def carry_out_held(self) -> None:
        """Execute the orders that were held, also those that a former process was sent."""
        held, self._held = self._held, []
        for path, body, at in held:
            if time.monotonic() - at < MAX_HELD_S:
                self._execute_now(path, body, self.started_ms)

    def _execute_now(self, path: str, body: dict[str, Any], started_ms: int) -> None:
        """Execute an order that was delayed.

        A poll then only renews the lease. A start is lost with the process that it was meant for:
        its sender could not prevent it before the next process's first poll.
        """
        if path == "/run-start" and started_ms != self.started_ms:
            return
        body = body | {"ack_cursor": 0, "wait_ms": 0}
        with self._changed:
            is_up = not self.closed and not self.is_starting
            if is_up and not self._refusal(path, body):
                self._execute(path, body, late=True)

    def _crash_under(self, plan: CrashPlan, key: tuple[str, int]) -> None:
        """Crash, unless the run that causes it has ended meanwhile."""
        if key in self._running:
            self.crash(plan, key[0])

    def _refusal(self, path: str, body: dict[str, Any]) -> str:
        """Renew the lease; return the reason to refuse a call, or an empty string."""
        if body["fencing_token"] < self._token:
            return "fence"
        self._token = body["fencing_token"]
        now_ms, expires_ms = self._clock_ms(), body.get("expires_ms", 0)
        self._expires_ms = max(self._expires_ms, min(now_ms + HOLD_MAX_MS, expires_ms))
        if path != "/run-start":
            return ""
        if not self._context.may_start(self.name, body["task"], body.get("ticket", "")):
            return "ticket"
        if body["run_id"] <= self._last_finished_run.get(body["task"], 0):
            return "old"
        return "late" if expires_ms <= now_ms else ""

    @staticmethod
    def _key(body: dict[str, Any]) -> tuple[str, int]:
        return body["task"], body["run_id"]

    def _execute(self, path: str, body: dict[str, Any], *, late: bool = False) -> dict[str, Any]:
        if path == "/hold":
            return self._poll(body)
        key = self._key(body)
        if path == "/run-start" and key not in self._running:
            record = RunRecord(self.name, *key, time.monotonic(), late=late)
            self._running[key] = record
            self._context.on_start(record)
        elif path == "/run-stop":
            if key in self._running:
                self._stop_at.setdefault(key, time.monotonic() + STOP_S)
            self._forbid(*key)
        return {}

    def _poll(self, body: dict[str, Any]) -> dict[str, Any]:
        self._forget_ends(body.get("ack_cursor", 0))
        if not self._ended:
            self._changed.wait(body.get("wait_ms", 0) / 1000)
        running = [
            [task, number, "", self._percent(record), 0]
            for (task, number), record in self._running.items()
        ]
        return {"born": self.started_ms, "running": running, "ended": self._ended}

    def _forget_ends(self, acknowledged: int) -> None:
        for end in self._ended:
            if end[0] <= acknowledged:
                record = self._ended_runs.pop(end[0])
                record.noted = not record.outdated
                record.noted_at = time.monotonic()
        self._ended = [end for end in self._ended if end[0] > acknowledged]

    def _percent(self, record: RunRecord) -> int:
        age = time.monotonic() - record.began
        if self._context.lasts(record.task):
            return 100 if age >= STARTUP_S else 0
        return min(99, int(age / self._context.work_s(record.task) * 100))
