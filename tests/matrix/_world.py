"""A running site with its callers and operators, and the checks of their answers.

All answers are recorded in a :class:`Results`, which checks the invariants against the runs that
the endpoints recorded.
"""

import contextlib
import hashlib
import itertools
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from standins.site import OPERATOR_TOKEN, HostSpec, Site, SiteSpec
from standins.sites import lists, token

__all__ = ["SERVICES", "Answer", "Job", "Results", "World", "a_site"]

SERVICES = ("schools", "ballots", "spare")
WORKERS = 4
SLOTS = 2
WAIT_S = 10
ANSWER_MARGIN_S = 10.0
OPERATOR_TIMEOUT_S = 15.0
RECOVERY_TIMEOUT_S = 40.0
IDEMPOTENT_PATH = "/translate"
NON_IDEMPOTENT_PATH = "/emboss"


class Job(msgspec.Struct, frozen=True):
    """One job as sent by a caller.

    :param name: unique name, also stored in the record of the endpoint.
    :param idempotent: whether the system may run it more than once.
    :param key: idempotency key, or empty.
    """

    name: str
    service: str
    body: bytes
    idempotent: bool = True
    key: str = ""
    run_s: float = 0.01
    answer_bytes: int = 0


class Answer(msgspec.Struct, frozen=True):
    """The answer that the caller of a job received.

    :param status: HTTP status, or 0 if the connection failed.
    :param outcome: ``outcome`` of the problem document, or empty.
    """

    job: Job
    status: int
    body: bytes
    outcome: str
    began: float
    ended: float

    @property
    def ok(self) -> bool:
        """Whether the answer reports success."""
        return self.status == 200


class Results:
    """Records the answers of all callers and the failed checks. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.answers: list[Answer] = []
        self.failures: list[str] = []

    def add(self, answer: Answer) -> None:
        """Record one answer."""
        with self._lock:
            self.answers.append(answer)

    def check(self, condition: bool, failure: str) -> None:
        """Record ``failure`` unless ``condition`` is true."""
        if not condition:
            with self._lock:
                self.failures.append(failure)

    def counts(self) -> dict[str, int]:
        """Return the number of answers by status."""
        return {str(k): n for k, n in sorted(Counter(a.status for a in self.answers).items())}

    def find_failures(self, runs: list[tuple[str, dict[str, Any]]]) -> list[str]:
        """Return all failures, given the runs that the endpoints recorded."""
        run_counts = Counter(run["job"] for _, run in runs)
        failures = list(self.failures)
        for answer in self.answers:
            failures += _check_answer(answer, run_counts[answer.job.name])
        return failures + self._check_keyed_jobs(run_counts)

    def _check_keyed_jobs(self, run_counts: Counter[str]) -> list[str]:
        """A keyed job that ran must have at least one answer other than ``not_run``."""
        outcomes_by_job: dict[str, set[str]] = {}
        for answer in self.answers:
            if answer.job.key:
                outcomes_by_job.setdefault(answer.job.name, set()).add(answer.outcome)
        only_not_run = (
            name for name, outcomes in outcomes_by_job.items() if outcomes == {"not_run"}
        )
        return [
            f"{name}: always answered not_run, but it ran"
            for name in only_not_run
            if run_counts[name]
        ]


def _check_answer(answer: Answer, run_count: int) -> Iterator[str]:
    job = answer.job
    if answer.ok and not _is_complete(answer):
        yield f"{job.name}: 200 with a wrong or incomplete answer ({len(answer.body)} bytes)"
    if answer.ok and not run_count:
        yield f"{job.name}: 200, but no endpoint recorded a run"
    if answer.outcome == "not_run" and run_count and not job.key:
        yield f"{job.name}: not_run, but it ran {run_count} time(s)"
    if run_count > 1 and (not job.idempotent or job.key):
        yield f"{job.name}: must run at most once and ran {run_count} times"
    if answer.ended - answer.began > WAIT_S + ANSWER_MARGIN_S:
        yield f"{job.name}: answered only after {answer.ended - answer.began:.1f} s"


def _is_complete(answer: Answer) -> bool:
    job = answer.job
    if job.answer_bytes:
        return len(answer.body) == job.answer_bytes
    try:
        summary = json.loads(answer.body)
    except ValueError:
        return False
    return (
        summary.get("sha256") == hashlib.sha256(job.body).hexdigest() and summary["job"] == job.name
    )


def _outcome(body: bytes) -> str:
    with contextlib.suppress(ValueError, KeyError, TypeError):
        return str(json.loads(body)["outcome"])
    return "none"


def a_site(entry_hosts: int = 2, relayed: bool = False) -> SiteSpec:
    """Return two zones with two services of four workers and a small spare pool."""
    hosts = tuple(
        HostSpec(f"w{n + 1:02d}", n % 2 + 1, f"r{n // 4}") for n in range(len(SERVICES) * WORKERS)
    )
    return SiteSpec(2, entry_hosts, hosts, slots=SLOTS, relayed=relayed)


class World:
    """A site that runs many cells of the matrix, with its callers and operators."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.results = Results()
        self.cells_run = 0
        self.http = urllib3.PoolManager(num_pools=100, maxsize=64, retries=False)
        self._numbers = itertools.count(1)
        self._pool = ThreadPoolExecutor(64)

    def close(self) -> None:
        """End the callers' threads."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    # Callers

    def job(self, service: str = "schools", **changes: Any) -> Job:
        """Return a new job."""
        name = f"job-{next(self._numbers)}"
        return Job(name, service, f"page of {name}".encode(), **changes)

    def send(self, job: Job, gateway: str = "gw-1-1") -> Answer:
        """Send ``job`` through ``gateway``; record and return its answer."""
        began = time.time()
        try:
            response = self._request(job, gateway, preload_content=True)
            status, body = response.status, response.data
        except HTTPError:
            status, body = 0, b""
        outcome = "" if status in (0, 200) else _outcome(body)
        answer = Answer(job, status, body, outcome, began, time.time())
        self.results.add(answer)
        return answer

    def open_answer(self, job: Job, gateway: str) -> urllib3.BaseHTTPResponse | None:
        """Send ``job`` and return its answer with the body unread, or ``None`` on a failure."""
        try:
            return self._request(job, gateway, preload_content=False)
        except HTTPError:
            return None

    def read_rest(self, response: urllib3.BaseHTTPResponse) -> bytes | None:
        """Return the rest of an opened answer, or ``None`` if it is incomplete."""
        try:
            return response.read()
        except HTTPError:
            return None

    def _request(self, job: Job, gateway: str, preload_content: bool) -> urllib3.BaseHTTPResponse:
        headers = {
            "Authorization": f"Bearer {token(job.service)}",
            "Prefer": f"wait={WAIT_S}",
            "Standin-Job": job.name,
            "Standin-Run-S": str(job.run_s),
        }
        if job.answer_bytes:
            headers["Standin-Answer-Bytes"] = str(job.answer_bytes)
        if job.key:
            headers["Idempotency-Key"] = job.key
        path = IDEMPOTENT_PATH if job.idempotent else NON_IDEMPOTENT_PATH
        return self.http.request(
            "POST",
            f"http://{self.site.caller_address(gateway)}/{job.service}{path}",
            body=job.body,
            headers=headers,
            timeout=WAIT_S + 2 * ANSWER_MARGIN_S,
            preload_content=preload_content,
        )

    def send_in_background(self, job: Job, gateway: str = "gw-1-1") -> "Future[Answer]":
        """Send ``job`` on a separate thread."""
        return self._pool.submit(self.send, job, gateway)

    @contextmanager
    def traffic(self, callers: int = 3) -> Iterator[None]:
        """Send short jobs of both services through all gateways meanwhile."""
        stop = threading.Event()
        threads = [
            threading.Thread(target=self._keep_sending, args=(n, stop)) for n in range(callers)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            stop.set()
            for thread in threads:
                thread.join()

    def _keep_sending(self, caller: int, stop: threading.Event) -> None:
        for n in itertools.count(caller):
            if stop.wait(0.02):
                return
            service = SERVICES[n % 2]
            gateway = self.site.gateways[n % len(self.site.gateways)]
            self.send(self.job(service, idempotent=n % 3 > 0), gateway)

    # Operators

    def request_as_operator(
        self,
        method: str,
        path: str,
        body: Any = None,
        controller: str = "ct-1-1",
        timeout_s: float = OPERATOR_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to a controller; the status is 0 if the connection failed."""
        try:
            answer = self.http.request(
                method,
                f"http://{self.site.operator_address(controller)}{path}",
                body=None if body is None else json.dumps(body).encode(),
                headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
                timeout=timeout_s,
            )
        except HTTPError:
            return 0, {}
        return answer.status, json.loads(answer.data) if answer.data else {}

    def apply(
        self, start_within_s: float, controller: str = "ct-1-1"
    ) -> tuple[int, dict[str, Any]]:
        """Apply the lists with the first plan's ``start_within_s`` set to the given value."""
        plans, entitlements = lists(SERVICES, WORKERS)
        plans[0]["start_within_s"] = start_within_s
        status, config = self.request_as_operator("GET", "/v1/config", controller=controller)
        if status != 200:
            return status, config
        body = {"base": config["revision"], "plans": plans, "entitlements": entitlements}
        return self.request_as_operator("PUT", "/v1/config", body, controller)

    def revision_at(self, controller: str, timeout_s: float = OPERATOR_TIMEOUT_S) -> int | None:
        """Return the revision in force at a controller, or ``None`` if it does not answer."""
        status, health = self.request_as_operator(
            "GET", "/healthz", controller=controller, timeout_s=timeout_s
        )
        return health["document_revision"] if status == 200 else None

    def phases(self, controller: str = "ct-1-1") -> dict[str, tuple[str, str]]:
        """Return pool and phase of each host as reported by a controller."""
        status, found = self.request_as_operator("GET", "/v1/hosts", controller=controller)
        rows = found.get("hosts", []) if status == 200 else []
        return {row["id"]: (row["pool"], row["phase"]) for row in rows}

    # The whole site

    def bring_up(self) -> None:
        """Apply the initial lists and wait until every pool has its hosts."""
        self.site.wait_until(
            lambda: self.apply(20.0)[0] == 200, "the first lists", RECOVERY_TIMEOUT_S
        )
        self.site.wait_until(self.has_all_hosts, "owed hosts", RECOVERY_TIMEOUT_S)
        self.site.wait_ready()

    def has_all_hosts(self) -> bool:
        """Return whether the pools of both services have all their workers in service."""
        phases = self.phases()
        serving = Counter(pool for pool, phase in phases.values() if phase == "serving")
        return all(serving[s] >= WORKERS for s in SERVICES[:2])

    def wait_until_recovered(self) -> None:
        """Wait until jobs of both services run through every gateway again."""
        for gateway in self.site.gateways:
            for service in SERVICES[:2]:
                self.site.wait_until(
                    lambda g=gateway, s=service: self.send(self.job(s), g).ok,  # type: ignore[misc]
                    f"{service} through {gateway} after the fault",
                    RECOVERY_TIMEOUT_S,
                )

    def runs(self) -> list[tuple[str, dict[str, Any]]]:
        """Return every run of every endpoint."""
        return list(self.site.all_runs())

    def host_running(self, job: Job) -> str | None:
        """Return the host that started ``job``, or ``None``."""
        for host, run in self.runs():
            if run["job"] == job.name:
                return host
        return None
