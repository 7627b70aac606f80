"""The HTTP server of a gateway process."""

import threading
import time
import uuid
from collections.abc import Callable

from cheroot.server import Gateway as CherootGateway
from cheroot.server import HTTPRequest
from returns.result import Failure

from lentilrill.fleet import FleetView
from lentilrill.gateway._accept import Acceptance, accept
from lentilrill.gateway._caller import BodyError, BodyTrouble, Caller
from lentilrill.gateway._dispatch import Dispatcher
from lentilrill.gateway._endpoints import EndpointConnections
from lentilrill.gateway._forwarding import GATEWAY_PROBLEM, Forwarder
from lentilrill.gateway._heading import Heading, read_heading
from lentilrill.gateway._http import CallerServer
from lentilrill.gateway._keyed import KeyedJobs
from lentilrill.gateway._limits import BUFFERED_BYTES, RESERVED_THREADS
from lentilrill.gateway._plans import PlanBook
from lentilrill.gateway._problems import Problem, ProblemKind
from lentilrill.gateway._watch import CallerWatch
from lentilrill.gateway._work import Refused, Whole
from lentilrill.ids import RequestId
from lentilrill.jobs import Claims
from lentilrill.routing import RetryBudget, Slots
from lentilrill.settings import GatewaySettings
from lentilrill.telemetry import Metrics

__all__ = ["GatewayServer"]

HEALTH = b"/healthz"
READY = b"/readyz"
RETRY_AFTER_S = 1.0
SWEEP_S = 1.0
BODY_KINDS = {
    BodyTrouble.SLOW: ProblemKind.SLOW,
    BodyTrouble.LONG: ProblemKind.LENGTH,
    BodyTrouble.TRUNCATED: ProblemKind.MALFORMED,
    BodyTrouble.MALFORMED: ProblemKind.MALFORMED,
}


class GatewayServer:
    """Serves callers on ``settings.listen``.

    :param slots: allocates slots on hosts.
    :param claims: claims idempotency keys.
    :param may_serve: returns whether this process may send to endpoints.
    :param budget: limit of retries.
    :param is_to_stop: returns whether a planned stop of this entry host is in progress.
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
        is_to_stop: Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._view = view
        self._may_serve = may_serve
        self._is_to_stop = is_to_stop
        self._metrics = metrics
        self._plans = PlanBook(view)
        self._forwarder = Forwarder(settings.keys.secret)
        own_ip = (settings.inner_listen or settings.inner).rpartition(":")[0]
        self._connections = EndpointConnections(settings.connect_timeout_s, own_ip=own_ip)
        self._watch = CallerWatch(slots.abandon, metrics)
        dispatcher = Dispatcher(
            slots, self._connections, self._forwarder, budget or RetryBudget(), self._watch, metrics
        )
        self._keyed = KeyedJobs(claims, dispatcher)
        self._in_flight = 0
        self._changed = threading.Condition()
        self._leaving = False
        self._last_ready = time.monotonic()
        self._draining = False
        self._closed = threading.Event()
        self._http = CallerServer(
            settings.listen, self._handler(), settings.threads, settings.largest_body_bytes
        )
        self._tasks = [
            threading.Thread(target=self._http.serve, name="gateway-accept", daemon=True),
            threading.Thread(target=self._sweep, name="gateway-sweep", daemon=True),
        ]

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this process."""
        return not self._leaving and not self._is_to_stop() and self.takes_jobs

    @property
    def takes_jobs(self) -> bool:
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
        self._watch.start()
        for task in self._tasks:
            task.start()

    def drain(self) -> bool:
        """Stop accepting jobs, and wait at most ``settings.drain_s`` for those in progress.

        The load balancer polls ``/readyz`` and sends callers here until it has received a 503.
        So jobs are still accepted for ``settings.drain_notice_s``.

        :return: whether all jobs finished.
        """
        self._leaving = True
        self._closed.wait(self._settings.drain_notice_s)
        self._draining = True
        with self._changed:
            return self._changed.wait_for(lambda: not self._in_flight, self._settings.drain_s)

    def close(self) -> None:
        """Stop listening and stop all threads."""
        self._closed.set()
        self._connections.close()
        self._http.stop()
        for task in self._tasks:
            if task.is_alive():
                task.join()
        self._watch.close()

    def serve(self, req: HTTPRequest) -> None:
        """Answer one request."""
        caller = Caller(req)
        if req.uri in (HEALTH, READY):
            self._probe(req.uri, caller)
            return
        request = RequestId(uuid.uuid4().hex)
        if not self._enter():
            self._refuse(caller, request, _full())
            return
        try:
            self._job(req, caller, request)
        finally:
            self._leave()

    def _probe(self, uri: bytes, caller: Caller) -> None:
        good = uri == HEALTH or self.ready
        body = b"ok\n" if good else b"not ready\n"
        caller.answer(200 if good else 503, [("Content-Type", "text/plain")], body)

    def _job(self, req: HTTPRequest, caller: Caller, request: RequestId) -> None:
        began = time.monotonic()
        heading = read_heading(req.method, req.uri, req.inheaders)
        if isinstance(heading, Failure):
            self._refuse(caller, request, heading.failure())
            return
        accepted = self._accept(heading.unwrap(), request)
        if isinstance(accepted, Problem):
            self._refuse(caller, request, accepted)
            return
        request = accepted.request
        try:
            body = _body(accepted.heading, caller)
        except BodyError as error:
            self._refuse(caller, request, Problem(BODY_KINDS[error.trouble], str(error)))
            return
        work = accepted.work(body, began)
        ending = self._keyed.run(work, caller)
        self._metrics.timing("request.total", (time.monotonic() - began) * 1000)
        if isinstance(ending, Refused):
            self._refuse(caller, request, ending.problem)
        elif isinstance(ending, Whole):
            headers = [*ending.headers, ("Request-Id", request)]
            caller.answer(ending.status, headers, ending.body, ending.length)

    def _accept(self, heading: Heading, request: RequestId) -> Acceptance | Problem:
        if not self.takes_jobs:
            detail = "the entry host is draining, or knows too little of the system"
            return Problem(ProblemKind.NOT_READY, detail, retry_after_s=RETRY_AFTER_S)
        return accept(heading, request, self._plans, self._forwarder)

    def _refuse(self, caller: Caller, request: RequestId, problem: Problem) -> None:
        # The rest of an unread body must not be parsed as the next request.
        caller.close_after()
        self._metrics.incr(f"request.refused.{problem.kind.value[0]}")
        caller.refuse(problem, [("Request-Id", request), (GATEWAY_PROBLEM.title(), "1")])

    def _enter(self) -> bool:
        with self._changed:
            if self._in_flight >= max(1, self._settings.threads - RESERVED_THREADS):
                return False
            self._in_flight += 1
            return True

    def _leave(self) -> None:
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def _sweep(self) -> None:
        while not self._closed.wait(SWEEP_S):
            self._connections.sweep()
            self._metrics.gauge("request.in_flight", self._in_flight)

    def _handler(self) -> type[CherootGateway]:
        serve = self.serve

        class Handler(CherootGateway):
            """Passes each request to the server."""

            def respond(self) -> None:
                """Answer the request."""
                serve(self.req)

        return Handler


def _body(heading: Heading, caller: Caller) -> bytes:
    """Return the body, or the first part of a long one, up to the buffer limit.

    It is read before a slot is requested, so that a caller that sends nothing holds no slot.
    """
    if heading.length is None:
        return caller.read_chunked()
    return caller.read_known(min(heading.length, BUFFERED_BYTES))


def _full() -> Problem:
    detail = "too many callers are held here"
    return Problem(ProblemKind.NOT_READY, detail, retry_after_s=RETRY_AFTER_S)
