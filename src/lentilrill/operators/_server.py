"""HTTP server for operators: routes, authentication, limits, and the server's life cycle."""

import resource
import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from cheroot import wsgi

from lentilrill.fleet import DOCUMENT_KEY, FleetView
from lentilrill.ids import Revision
from lentilrill.operators._api import Api, Request
from lentilrill.operators._audit import AuditTrail
from lentilrill.operators._auth import authenticate
from lentilrill.operators._editing import Editor
from lentilrill.operators._problems import Reply, problem
from lentilrill.operators._status import Status
from lentilrill.operators._store import DocumentStore
from lentilrill.serving import (
    BoundedServer,
    ReceiptLimits,
    RefusalKind,
    ServingLimits,
    refusal_bytes,
)
from lentilrill.settings import ControllerSettings
from lentilrill.store import HostList, Item, KeyValue
from lentilrill.telemetry import Event, Metrics, NoMetrics, log

__all__ = ["MAX_BODY_BYTES", "OperatorServer"]

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Larger than the largest document, because operators' files contain whitespace."""
MAX_HELD_BYTES = 8 * MAX_BODY_BYTES
"""Requests that are not complete yet, and unread answers, of all operators together."""
MAX_HEADER_BYTES = 32 * 1024
THREADS = 10
MAX_CONCURRENT_REQUESTS = 8
"""Limit of concurrent operators' requests; the other threads are reserved for health checks."""
IDLE_TIMEOUT_S = 30
LISTEN_BACKLOG = 64
STOPS_PATH = "/v1/stops/"
TOO_LARGE = (
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    "too-large",
    f"the body is larger than {MAX_BODY_BYTES} bytes",
)
REFUSALS = {
    RefusalKind.SLOW: (HTTPStatus.REQUEST_TIMEOUT, "slow", RefusalKind.SLOW.value),
    RefusalKind.TRUNCATED: (HTTPStatus.BAD_REQUEST, "bad-request", RefusalKind.TRUNCATED.value),
    RefusalKind.MALFORMED: (HTTPStatus.BAD_REQUEST, "bad-request", RefusalKind.MALFORMED.value),
    RefusalKind.TOO_LARGE: TOO_LARGE,
    RefusalKind.LONG_CHUNKED: TOO_LARGE,
    RefusalKind.NO_ROOM: (HTTPStatus.SERVICE_UNAVAILABLE, "busy", RefusalKind.NO_ROOM.value),
}

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Handler = Callable[[Request], Reply]


class Health(msgspec.Struct, frozen=True):
    """Response body of the health checks."""

    ok: bool
    document_revision: Revision


class _Server(BoundedServer, wsgi.Server):
    """A server that refuses by problem documents."""

    def refusal(self, kind: RefusalKind) -> bytes:
        """Return the problem document for a request that is refused before it runs."""
        status, name, detail = REFUSALS[kind]
        reply = problem(status, name, detail)
        body = msgspec.json.encode(reply.body)
        headers = [("Content-Type", reply.content_type)]
        return refusal_bytes(f"{status.value} {status.phrase}", headers, body)


class OperatorServer:
    """Serves the operators' HTTP API on the controller's address.

    :param status: returns the current status; called for each status request.
    :param host_list: hosts to compare edits with, to warn about plans that they can't satisfy.
    :param resolve_timeout_s: how long to try to resolve the outcome of a write whose response was
        lost.
    :param publish: called with the items of an accepted edit, to update this process and its
        peers; by default only this process's mirror is updated.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        kv: KeyValue,
        view: FleetView,
        status: Callable[[], Status],
        metrics: Metrics | None = None,
        host_list: HostList | None = None,
        resolve_timeout_s: float = 6.0,
        publish: Callable[[tuple[Item, ...]], object] | None = None,
    ) -> None:
        self._tokens_sha256 = settings.operator_tokens_sha256
        self._view = view
        self._publish = publish or view.mirror.merge
        self._metrics: Metrics = metrics or NoMetrics()
        self._audit = AuditTrail(kv)
        store = DocumentStore(kv, self._audit, resolve_timeout_s=resolve_timeout_s)
        editor = Editor(store, self._audit, on_accepted=self._publish_document)
        api = Api(store, editor, self._audit, view, status, self._metrics, host_list)
        self._handlers = _routes(api)
        self._draining = threading.Event()
        self._request_slots = threading.BoundedSemaphore(MAX_CONCURRENT_REQUESTS)
        self._server = _http_server(settings.listen, self, self._metrics)
        self._thread = threading.Thread(target=self._serve, name="operators", daemon=True)

    def start(self) -> None:
        """Bind the address and start serving.

        :raises OSError: if the address can't be bound.
        """
        self._server.prepare()
        self._audit.start()
        self._thread.start()

    def drain(self) -> None:
        """Answer 503 on /readyz from now on; other requests are still served."""
        self._draining.set()

    def stop(self) -> None:
        """Finish the requests in flight and stop."""
        self.drain()
        self._server.stop()
        self._thread.join()
        self._audit.stop()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request; the WSGI entry point."""
        began = time.monotonic()
        reply = self._reply(environ)
        body = msgspec.json.encode(reply.body)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(body))),
            *reply.headers,
        ]
        start_response(f"{reply.status.value} {reply.status.phrase}", headers)
        self._metrics.timing("operators.request", (time.monotonic() - began) * 1000)
        return [body]

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception as error:
            log(Event.TASK_FAILED, task="operators", error=error)

    def _publish_document(self, value: bytes, revision: Revision) -> None:
        self._publish((Item(DOCUMENT_KEY, value, revision),))

    def _reply(self, environ: Environ) -> Reply:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if path in ("/healthz", "/readyz"):
            return self._health(path)
        who = authenticate(environ.get("HTTP_AUTHORIZATION", ""), self._tokens_sha256)
        if who is None:
            log(Event.OPERATOR_DENIED, peer=environ.get("REMOTE_ADDR", ""), path=path)
            self._metrics.incr("operators.denied")
            detail = "an operator's token is needed: Authorization: Bearer TOKEN"
            challenge = (("WWW-Authenticate", "Bearer"),)
            return problem(HTTPStatus.UNAUTHORIZED, "unauthorized", detail, challenge)
        route, tail = path, ""
        if path.startswith(STOPS_PATH):
            route, tail = STOPS_PATH, path[len(STOPS_PATH) :]
        by_method = self._handlers.get(route)
        if by_method is None:
            return problem(HTTPStatus.NOT_FOUND, "not-found", f"nothing is at {path}")
        handler = by_method.get(method)
        if handler is None:
            allow = (("Allow", ", ".join(by_method)),)
            detail = f"{path} takes {allow[0][1]}"
            return problem(HTTPStatus.METHOD_NOT_ALLOWED, "method-not-allowed", detail, allow)
        return self._run_limited(handler, who, tail, environ)

    def _run_limited(self, handler: Handler, who: str, tail: str, environ: Environ) -> Reply:
        """Run a handler unless the limit of concurrent requests is reached.

        If the platform accepts calls but doesn't answer, each request occupies its thread until a
        deadline. With all threads occupied, health checks would go unanswered, and a healthy
        controller would be restarted.
        """
        if not self._request_slots.acquire(blocking=False):
            detail = (
                f"{MAX_CONCURRENT_REQUESTS} requests are being worked on; the platform may be slow"
            )
            retry = (("Retry-After", "1"),)
            return problem(HTTPStatus.SERVICE_UNAVAILABLE, "busy", detail, retry)
        try:
            return self._run_handler(handler, who, tail, environ)
        finally:
            self._request_slots.release()

    def _run_handler(self, handler: Handler, who: str, tail: str, environ: Environ) -> Reply:
        """Run a handler, turning every exception into an error response."""
        try:
            body: bytes = environ["wsgi.input"].read()
            query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
            return handler(Request(who, body, tail, query))
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            return problem(HTTPStatus.BAD_REQUEST, "bad-request", f"the body: {error}")
        except Exception as error:
            log(Event.OPERATOR_REQUEST_FAILED, path=environ.get("PATH_INFO"), error=repr(error))
            self._metrics.incr("operators.errors")
            detail = "an error inside the controller; its log has more"
            return problem(HTTPStatus.INTERNAL_SERVER_ERROR, "internal", detail)

    def _health(self, path: str) -> Reply:
        """Answer a health check.

        A controller is ready once it has read the state, even if that contains no document: the
        first configuration is applied through a controller.
        """
        revision = self._view.document_revision
        ready = self._view.mirror.complete_to > 0 and not self._draining.is_set()
        if path == "/healthz" or ready:
            return Reply(HTTPStatus.OK, Health(True, revision))
        return Reply(HTTPStatus.SERVICE_UNAVAILABLE, Health(False, revision))


def _routes(api: Api) -> dict[str, dict[str, Handler]]:
    return {
        "/v1/config": {"GET": api.config, "PUT": api.apply},
        "/v1/config/check": {"POST": api.check},
        "/v1/stops": {"POST": api.declare_stop},
        STOPS_PATH: {"DELETE": api.cancel_stop},
        "/v1/status": {"GET": api.status},
        "/v1/hosts": {"GET": api.hosts},
        "/v1/audit": {"GET": api.audit},
    }


def _http_server(listen: str, app: OperatorServer, metrics: Metrics) -> wsgi.Server:
    host, _, port = listen.rpartition(":")
    server = _Server(
        (host.strip("[]"), int(port)),
        app,
        numthreads=THREADS,
        max=THREADS,
        request_queue_size=LISTEN_BACKLOG,
        timeout=IDLE_TIMEOUT_S,
    )
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = MAX_BODY_BYTES
    receipt = ReceiptLimits(
        head_bytes=MAX_HEADER_BYTES, held_body_bytes=MAX_BODY_BYTES, idle_s=IDLE_TIMEOUT_S
    )
    limits = ServingLimits(
        connections=_max_connections, held_bytes=MAX_HELD_BYTES, receipt=lambda: receipt
    )
    server.limit(limits, "operators", metrics)
    return server


def _max_connections() -> int:
    """Return the most open connections; the rest is for the controller's own links."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0] // 4
