"""The HTTP server of a gateway process."""

import threading
import time
import uuid
from collections.abc import Callable

from cheroot.server import Gateway as CherootGateway
from cheroot.server import HTTPRequest
from returns.result import Failure

from lentilrill.fleet import FleetView
from lentilrill.gateway._accepted_job import BufferedResponse, ProblemResponse
from lentilrill.gateway._authorization import AuthorizedRequest, authorize
from lentilrill.gateway._caller import BodyError, BodyErrorKind, Caller
from lentilrill.gateway._connections import ConnectionCache
from lentilrill.gateway._disconnects import CallerDisconnectWatcher
from lentilrill.gateway._dispatch import Dispatcher
from lentilrill.gateway._forwarding import GATEWAY_PROBLEM_HEADER, ForwardingSigner
from lentilrill.gateway._http import CallerServer
from lentilrill.gateway._keyed import KeyedDispatcher
from lentilrill.gateway._limits import MAX_BUFFERED_BYTES, REFUSAL_THREADS
from lentilrill.gateway._plans import PlanDirectory
from lentilrill.gateway._problems import Problem, ProblemKind
from lentilrill.gateway._request_head import RequestHead, parse_request_head
from lentilrill.ids import RequestId
from lentilrill.jobs import Claims
from lentilrill.routing import RetryBudget, Slots
from lentilrill.settings import GatewaySettings
from lentilrill.telemetry import Metrics, run_and_log_errors

__all__ = ["GatewayServer"]

HEALTH_PATH = b"/healthz"
READY_PATH = b"/readyz"
RETRY_AFTER_S = 1.0
SWEEP_INTERVAL_S = 1.0
PROBLEM_KINDS_BY_BODY_ERROR = {
    BodyErrorKind.SLOW: ProblemKind.SLOW,
    BodyErrorKind.TRUNCATED: ProblemKind.MALFORMED,
}


class GatewayServer:
    """Serves callers on ``settings.listen``.

    :param slots: allocates slots on hosts.
    :param claims: claims idempotency keys.
    :param may_serve: returns whether this process may send to endpoints.
    :param budget: limit of retries.
    :param must_drain: returns whether a planned stop requires this entry host to drain.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        view: FleetView,
        slots: Slots,
        claims: Claims,
        metrics: Metrics,
        may_serve: Callable[[], bool],
        budget: RetryBudget | None = None,
        must_drain: Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._view = view
        self._may_serve = may_serve
        self._must_drain = must_drain
        self._metrics = metrics
        self._plans = PlanDirectory(view)
        self._forwarder = ForwardingSigner(settings.keys.secret)
        source_ip = (settings.inner_listen or settings.inner).rpartition(":")[0]
        self._connections = ConnectionCache(settings.connect_timeout_s, source_ip=source_ip)
        self._watcher = CallerDisconnectWatcher(slots.abandon, metrics)
        dispatcher = Dispatcher(
            slots,
            self._connections,
            self._forwarder,
            budget or RetryBudget(),
            self._watcher,
            metrics,
        )
        self._keyed = KeyedDispatcher(claims, dispatcher)
        self._in_flight = 0
        self._in_flight_changed = threading.Condition()
        self._drain_announced = False
        self._last_ready = time.monotonic()
        self._draining = False
        self._closed = threading.Event()
        self._http = CallerServer(
            settings.listen,
            self._handler(),
            settings.threads,
            settings.largest_body_bytes,
            metrics,
        )
        self._streams = threading.BoundedSemaphore(
            max(1, (settings.threads - REFUSAL_THREADS) // 2)
        )
        self._threads = [
            threading.Thread(target=self._http.serve, name="gateway-accept", daemon=True),
            threading.Thread(target=self._sweep_loop, name="gateway-sweep", daemon=True),
        ]

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this process."""
        return not self._drain_announced and not self._must_drain() and self.accepts_jobs

    @property
    def accepts_jobs(self) -> bool:
        """Whether the process accepts jobs."""
        return not self._draining and self._view.ready and self._may_serve()

    @property
    def drained(self) -> bool:
        """Whether the drain notice time has passed and no request is in progress.

        Read it about once a second: the notice time is counted from the last read at which the
        process was ready.
        """
        if self.ready:
            self._last_ready = time.monotonic()
            return False
        noticed = time.monotonic() - self._last_ready >= self._settings.drain_notice_s
        return noticed and not self._in_flight

    def start(self) -> None:
        """Listen and start to serve."""
        self._http.prepare()
        self._watcher.start()
        for thread in self._threads:
            thread.start()

    def drain(self) -> bool:
        """Stop accepting jobs, and wait at most ``settings.drain_s`` for those in progress.

        The load balancer polls ``/readyz`` and sends callers here until it has received a 503.
        So jobs are still accepted for ``settings.drain_notice_s``.

        :return: whether all jobs finished.
        """
        self._drain_announced = True
        self._closed.wait(self._settings.drain_notice_s)
        self._draining = True
        with self._in_flight_changed:
            return self._in_flight_changed.wait_for(
                lambda: not self._in_flight, self._settings.drain_s
            )

    def close(self) -> None:
        """Stop listening and stop all threads."""
        self._closed.set()
        self._connections.close()
        self._http.stop()
        for thread in self._threads:
            if thread.is_alive():
                thread.join()
        self._watcher.close()

    def serve(self, req: HTTPRequest) -> None:
        """Answer one request."""
        caller = Caller(req)
        if req.uri in (HEALTH_PATH, READY_PATH):
            self._probe(req.uri, caller)
            return
        request = RequestId(uuid.uuid4().hex)
        if not self._begin_request():
            self._refuse(caller, request, _overload_problem())
            return
        try:
            self._handle_job(req, caller, request)
        finally:
            self._end_request()

    def _probe(self, uri: bytes, caller: Caller) -> None:
        healthy = uri == HEALTH_PATH or self.ready
        body = b"ok\n" if healthy else b"not ready\n"
        caller.send_response(200 if healthy else 503, [("Content-Type", "text/plain")], body)

    def _handle_job(self, req: HTTPRequest, caller: Caller, request: RequestId) -> None:
        started_at = time.monotonic()
        request_head = parse_request_head(req.method, req.uri, req.inheaders)
        if isinstance(request_head, Failure):
            self._refuse(caller, request, request_head.failure())
            return
        accepted = self._authorize(request_head.unwrap(), request)
        if isinstance(accepted, Problem):
            self._refuse(caller, request, accepted)
            return
        request = accepted.request
        if (accepted.request_head.length or 0) <= MAX_BUFFERED_BYTES:
            self._run_job(accepted, caller, started_at)
            return
        if not self._streams.acquire(blocking=False):
            self._refuse(caller, request, _overload_problem())
            return
        try:
            self._run_job(accepted, caller, started_at)
        finally:
            self._streams.release()

    def _run_job(self, accepted: AuthorizedRequest, caller: Caller, started_at: float) -> None:
        request = accepted.request
        try:
            body = _read_body(accepted.request_head, caller)
        except BodyError as error:
            self._refuse(
                caller, request, Problem(PROBLEM_KINDS_BY_BODY_ERROR[error.kind], str(error))
            )
            return
        job = accepted.to_job(body, started_at)
        result = self._keyed.run(job, caller)
        self._metrics.timing("request.total", (time.monotonic() - started_at) * 1000)
        if isinstance(result, ProblemResponse):
            self._refuse(caller, request, result.problem)
        elif isinstance(result, BufferedResponse):
            headers = [*result.headers, ("Request-Id", request)]
            caller.send_response(result.status, headers, result.body, result.length)

    def _authorize(
        self, request_head: RequestHead, request: RequestId
    ) -> AuthorizedRequest | Problem:
        if not self.accepts_jobs:
            detail = "the entry host is draining, or knows too little of the system"
            return Problem(ProblemKind.NOT_READY, detail, retry_after_s=RETRY_AFTER_S)
        return authorize(request_head, request, self._plans, self._forwarder)

    def _refuse(self, caller: Caller, request: RequestId, problem: Problem) -> None:
        # The rest of an unread body must not be parsed as the next request.
        caller.close_after_response()
        self._metrics.incr(f"request.refused.{problem.kind.value[0]}")
        caller.send_problem(
            problem, [("Request-Id", request), (GATEWAY_PROBLEM_HEADER.title(), "1")]
        )

    def _begin_request(self) -> bool:
        with self._in_flight_changed:
            if self._in_flight >= max(1, self._settings.threads - REFUSAL_THREADS):
                return False
            self._in_flight += 1
            return True

    def _end_request(self) -> None:
        with self._in_flight_changed:
            self._in_flight -= 1
            self._in_flight_changed.notify_all()

    def _sweep_loop(self) -> None:
        while not self._closed.wait(SWEEP_INTERVAL_S):
            run_and_log_errors("gateway-sweep", self._sweep)

    def _sweep(self) -> None:
        self._connections.close_idle()
        self._metrics.gauge("request.in_flight", self._in_flight)

    def _handler(self) -> type[CherootGateway]:
        serve = self.serve

        class Handler(CherootGateway):
            """Passes each request to the server."""

            def respond(self) -> None:
                """Answer the request."""
                serve(self.req)

        return Handler


def _read_body(request_head: RequestHead, caller: Caller) -> bytes:
    """Return the body, or the first part of a long one, up to the buffer limit.

    It is read before a slot is requested, so that a caller that sends nothing holds no slot.
    """
    return caller.read_body(min(request_head.length or 0, MAX_BUFFERED_BYTES))


def _overload_problem() -> Problem:
    detail = "too many callers are held here"
    return Problem(ProblemKind.NOT_READY, detail, retry_after_s=RETRY_AFTER_S)
