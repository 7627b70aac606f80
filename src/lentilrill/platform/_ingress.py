"""HTTP server for job requests of callers, which passes them to the intake."""

import re
import time
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi
from returns.result import Failure

from lentilrill.ids import NO_WORKSPACE, JobId, WorkspaceId
from lentilrill.intake import Intake
from lentilrill.platform._caller_key import (
    KEY_VARIABLE,
    CallerConnection,
    KeyProblem,
    workspace_of,
)
from lentilrill.platform._job_wire import decode_job, encode_pending, encode_state
from lentilrill.serving import BoundedServer, Framing, ReceiptLimits, ServingLimits
from lentilrill.telemetry import Event, Metrics, log
from lentilrill.workloads import Configuration, JobAnswer, Queue, digest_of, fingerprint_of

__all__ = ["Ingress", "plain_text_server"]

JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
WAIT_MS = re.compile(r"[0-9]{1,9}\Z")
STATUS_BY_ANSWER = {
    JobAnswer.ACCEPTED: "200 OK",
    JobAnswer.ABSENT: "410 Gone",
    JobAnswer.CONFLICT: "409 Conflict",
    JobAnswer.OVERLOADED: "429 Too Many Requests",
    JobAnswer.UNAVAILABLE: "503 Service Unavailable",
    JobAnswer.UNKNOWN: "504 Gateway Timeout",
}
NOT_FOUND = "404 Not Found"
UNAUTHORIZED = "401 Unauthorized"
METRIC_BY_METHOD = {"GET": "get", "POST": "post", "DELETE": "delete"}
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Hard limit of the server, sixteen times the default of the configuration: it must be set before a
configuration is known. The configured limit of a body applies as well."""
DEFAULT_CONNECTIONS = 1024
DEFAULT_HELD_BYTES = 32 * 1024 * 1024
PAGE_CONNECTIONS = 32
"""Open connections to the pages for readiness and metrics, which a few programs read."""
PAGE_HELD_BYTES = 4 * 1024 * 1024
PAGE_HEAD_S = 5.0
BACKLOG = 512
"""Connections in the accept queue. Beyond it the kernel drops the SYN packet, which is sent again
only seconds later."""
IDLE_TIMEOUT_S = 15
"""Idle timeout of keep-alive connections: the default of the configured limit."""
UNAVAILABLE_RETRY_S = 1.0
"""Retry time for callers of a host that has no configuration or no status of other hosts yet."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]
Answer = tuple[str, bytes, float | None]


class Ingress:
    """HTTP server for callers of jobs.

    :param count_waiting: returns how many accepted jobs of a queue have not started; ``None`` if
        unknown.
    :param configuration: returns the configuration in force; ``None`` if there is none yet.
    :param is_out_of_date: whether this host may lack a newer configuration, since the store does
        not answer it.
    :param is_draining: whether this host drains, so that connections are closed after their
        answers.
    """

    def __init__(
        self,
        address: str,
        threads: int,
        intake: Intake,
        count_waiting: Callable[[Queue], int | None],
        configuration: Callable[[], Configuration | None],
        is_draining: Callable[[], bool],
        metrics: Metrics,
        is_out_of_date: Callable[[], bool] = lambda: False,
        connections: int = DEFAULT_CONNECTIONS,
        held_bytes: int = DEFAULT_HELD_BYTES,
    ) -> None:
        self._intake = intake
        self._count_waiting = count_waiting
        self._configuration = configuration
        self._is_draining = is_draining
        self._metrics = metrics
        self._is_out_of_date = is_out_of_date
        limits = ServingLimits(
            connections=lambda: connections, held_bytes=held_bytes, receipt=self._receipt_limits
        )
        self._server = _create_server(address, self._serve, threads, limits, "callers", metrics)

    def prepare(self) -> None:
        """Bind the address and listen."""
        self._server.prepare()

    def serve(self) -> None:
        """Serve until :meth:`stop` is called."""
        self._server.serve()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _receipt_limits(self) -> ReceiptLimits:
        configuration = self._configuration()
        body_bytes = MAX_BODY_BYTES
        if configuration is not None:
            body_bytes = min(body_bytes, configuration.limits.body_bytes)
        return ReceiptLimits(
            head_bytes=MAX_HEADER_BYTES,
            held_body_bytes=body_bytes,
            longer_bodies=Framing.UNREAD,
            body_bytes=MAX_BODY_BYTES,
            idle_s=IDLE_TIMEOUT_S,
        )

    def _serve(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        started = time.monotonic()
        status, body, retry_s = self._handle(environ)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if retry_s is not None:
            headers.append(("Retry-After", str(max(1, round(retry_s)))))
        if self._is_draining():
            headers.append(("Connection", "close"))
        start_response(status, headers)
        # Callers can send any method name, and each name would create a permanent metric.
        method = METRIC_BY_METHOD.get(str(environ["REQUEST_METHOD"]), "other")
        self._metrics.incr(f"ingress.{method}.{status[:3]}")
        self._metrics.timing(f"ingress.{method}", (time.monotonic() - started) * 1000)
        return [body]

    def _handle(self, environ: Environ) -> Answer:
        started = time.monotonic()
        configuration = self._configuration()
        if configuration is None:
            return STATUS_BY_ANSWER[JobAnswer.UNAVAILABLE], b"{}", UNAVAILABLE_RETRY_S
        path = str(environ.get("PATH_INFO", ""))
        host = str(environ.get("HTTP_HOST", "")).partition(":")[0]
        queue = configuration.queue_for(host, path)
        if queue is None:
            log(Event.QUEUE_UNKNOWN, host=host, path=path[:80], version=configuration.version)
            return NOT_FOUND, b"{}", None
        workspace = self._identify(configuration, queue, environ)
        if isinstance(workspace, KeyProblem):
            return self._refuse_key(workspace, queue, environ)
        name = path[len(queue.prefix) :]
        method = environ["REQUEST_METHOD"]
        if method == "GET" and not name:
            return self._count_pending(queue)
        if not JOB_ID.match(name):
            return NOT_FOUND, b"{}", None
        job = JobId(name)
        if method == "POST":
            if int(environ.get("CONTENT_LENGTH") or 0) > configuration.limits.body_bytes:
                return "413 Content Too Large", b"{}", None
            return self._submit(queue, workspace, job, environ, started)
        if method == "GET":
            answer, state, cause = self._intake.get_state(queue, workspace, job)
            body = encode_state(state, cause) if state is not None else b"{}"
            return _with_retry_time(answer, body)
        if method == "DELETE":
            return _with_retry_time(
                self._intake.cancel(queue, workspace, job, _caller_wait_s(environ)), b"{}"
            )
        return "405 Method Not Allowed", b"{}", None

    def _identify(
        self, configuration: Configuration, queue: Queue, environ: Environ
    ) -> WorkspaceId | KeyProblem:
        """Return the workspace of a caller, or why its key identifies none."""
        if queue.public or configuration.workspaces is None:
            return NO_WORKSPACE
        return workspace_of(environ.get(KEY_VARIABLE), configuration.workspaces)

    def _refuse_key(self, problem: KeyProblem, queue: Queue, environ: Environ) -> Answer:
        """Answer a request whose key identifies no workspace.

        A host that may lack a newer configuration can't tell that a key is unknown.
        """
        is_out_of_date = problem is KeyProblem.UNKNOWN and self._is_out_of_date()
        header = environ.get(KEY_VARIABLE)
        log(
            Event.KEY_REFUSED,
            queue=queue.id,
            reason=problem.value,
            key=fingerprint_of(digest_of(header.encode("latin-1"))) if header else "",
            out_of_date=is_out_of_date,
        )
        self._metrics.incr(f"ingress.key.{problem.value}")
        if is_out_of_date:
            return STATUS_BY_ANSWER[JobAnswer.UNAVAILABLE], b"{}", UNAVAILABLE_RETRY_S
        return UNAUTHORIZED, b"{}", None

    def _count_pending(self, queue: Queue) -> Answer:
        waiting = self._count_waiting(queue)
        if waiting is None:
            return STATUS_BY_ANSWER[JobAnswer.UNAVAILABLE], b"{}", UNAVAILABLE_RETRY_S
        return "200 OK", encode_pending(waiting), None

    def _submit(
        self,
        queue: Queue,
        workspace: WorkspaceId,
        job: JobId,
        environ: Environ,
        started: float,
    ) -> Answer:
        body = environ["wsgi.input"].read()
        decoded = decode_job(job, queue, workspace, body, int(time.time() * 1000))
        if isinstance(decoded, Failure):
            log(Event.JOB_ODD, job=job, queue=queue.id, reason=decoded.failure().reason)
            return "400 Bad Request", b"{}", None
        wait_s = _caller_wait_s(environ)
        if wait_s is not None:
            wait_s = max(0.0, wait_s - (time.monotonic() - started))
        answer, retry_s = self._intake.submit(decoded.unwrap(), wait_s)
        refused = answer in (JobAnswer.OVERLOADED, JobAnswer.UNAVAILABLE)
        return STATUS_BY_ANSWER[answer], b"{}", retry_s if refused else None


def _caller_wait_s(environ: Environ) -> float | None:
    """Return how many seconds the caller waits for its answer; ``None`` if it is not specified."""
    header = str(environ.get("HTTP_DEADLINE_MS", ""))
    return int(header) / 1000 if WAIT_MS.match(header) else None


def _with_retry_time(answer: JobAnswer, body: bytes) -> Answer:
    retry_s = UNAVAILABLE_RETRY_S if answer is JobAnswer.UNAVAILABLE else None
    return STATUS_BY_ANSWER[answer], body, retry_s


class _Server(BoundedServer, wsgi.Server):
    ConnectionClass = CallerConnection


def plain_text_server(
    address: str, page: Callable[[str], tuple[int, bytes]], label: str = "pages"
) -> wsgi.Server:
    """Return an HTTP server for plain-text pages, ready to serve.

    :param label: name of the server in the log.
    :param page: returns the status and the body for a path.
    """

    def serve(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        status, body = page(str(environ.get("PATH_INFO", "")))
        text = "200 OK" if status == 200 else f"{status} Not Ready"
        start_response(text, [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))])
        return [body]

    receipt = ReceiptLimits(
        head_bytes=MAX_HEADER_BYTES,
        held_body_bytes=0,
        longer_bodies=Framing.UNREAD,
        idle_s=IDLE_TIMEOUT_S,
        head_s=PAGE_HEAD_S,
    )
    limits = ServingLimits(
        connections=lambda: PAGE_CONNECTIONS,
        held_bytes=PAGE_HELD_BYTES,
        receipt=lambda: receipt,
    )
    return _create_server(address, serve, 2, limits, label)


def _create_server(
    address: str,
    app: Callable[[Environ, StartResponse], Iterable[bytes]],
    threads: int,
    limits: ServingLimits,
    label: str,
    metrics: Metrics | None = None,
) -> Any:
    host, _, port = address.rpartition(":")
    server = _Server(
        (host, int(port)),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=1,
    )
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = MAX_BODY_BYTES
    server.limit(limits, label, metrics)
    return server
