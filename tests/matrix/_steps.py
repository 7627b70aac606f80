"""The steps of the matrix: each prepares a situation, injects a fault and checks the result.

A step is a function of the world and the injection. Failed checks are recorded in the world's
results; a step that does not apply raises :class:`NotRunError`.
"""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from enum import Enum

import msgspec

from tests.matrix._injections import Injection, endpoint_host
from tests.matrix._world import Answer, Job, World

__all__ = ["DirtySiteError", "NotRunError", "Step", "StepGroup"]

TIMEOUT_S = 30.0
IN_FORCE_TIMEOUT_S = 20.0
LONG_JOB_S = 2.0
STOP_JOB_S = 8.0
KEYED_ATTEMPTS = 8
POLL_INTERVAL_S = 0.1
VOLUME_BYTES = 12 * 1024 * 1024


class NotRunError(Exception):
    """Raised when a cell does not apply, with the reason."""


class DirtySiteError(Exception):
    """Raised when the effects of an earlier cell prevent the setup of this one."""


class StepGroup(Enum):
    """Groups of steps."""

    REQUEST = "request"
    CHANGE = "configuration change"
    WITHDRAWAL = "withdrawal"
    ENTRY_HOST = "entry host"


@contextmanager
def under_fault(world: World, injection: Injection) -> Iterator[None]:
    """Run the body under the fault, and then keep the fault active for its duration."""
    injection.begin(world)
    try:
        yield
        injection.keep_active(world)
    finally:
        injection.end(world)


def arriving(world: World, injection: Injection) -> None:
    """Jobs arrive while the fault lasts."""
    with under_fault(world, injection), world.traffic():
        for _ in range(3):
            world.send_in_background(world.job(idempotent=False), "gw-1-1")


def queued(world: World, injection: Injection) -> None:
    """A job waits for a slot when the fault begins."""
    fillers = [world.send_in_background(world.job(run_s=1.0), "gw-1-2") for _ in range(9)]
    waiting = [world.send_in_background(world.job(idempotent=n > 0), "gw-1-1") for n in range(3)]
    with under_fault(world, injection):
        pass
    for future in fillers + waiting:
        future.result()


def running(world: World, injection: Injection) -> None:
    """A job that must not run twice is running when the fault begins."""
    job = world.job(idempotent=False, run_s=LONG_JOB_S)
    future = world.send_in_background(job, "gw-1-1")
    host = world.site.wait_until(lambda: world.host_running(job), "the job's start", TIMEOUT_S)
    with under_fault(world, injection), world.traffic():
        pass
    _check_unaffected(world, injection, future.result(), host)


def answering(world: World, injection: Injection) -> None:
    """A long answer is half way when the fault begins."""
    job = world.job("schools", idempotent=False, answer_bytes=VOLUME_BYTES)

    def meanwhile() -> None:
        with under_fault(world, injection):
            pass

    world.results.add(_read_slowly(world, job, meanwhile))


def keyed(world: World, injection: Injection) -> None:
    """A keyed job is running when the fault begins, and is sent again through other gateways."""
    first = _start_keyed_job(world)
    job = first.job
    with under_fault(world, injection):
        repeats = [world.send_in_background(job, gateway) for gateway in ("gw-1-2", "gw-2-1")]
    for future in (first.future, *repeats):
        future.result()
    for gateway in ("gw-1-1", "gw-1-2", "gw-2-2"):
        world.site.wait_until(lambda g=gateway: world.send(job, g).status, "an answer", TIMEOUT_S)


def editing(world: World, injection: Injection) -> None:
    """An operator applies a list while the fault lasts."""
    value = _unique_start_within_s()
    with _watching_revisions(world), under_fault(world, injection):
        status, response = world.apply(value)
    _check_in_force(world, value, status, response)


def spreading(world: World, injection: Injection) -> None:
    """An accepted change is on its way to all processes when the fault begins."""
    value = _unique_start_within_s()
    with _watching_revisions(world):
        status, response = world.site.wait_until(
            lambda: _apply_if_accepted(world, value), "an accepted change", TIMEOUT_S
        )
        with under_fault(world, injection):
            pass
        _check_in_force(world, value, status, response)


def racing(world: World, injection: Injection) -> None:
    """Two operators edit the same revision at two controllers while the fault lasts."""
    values = (_unique_start_within_s(), _unique_start_within_s() + 0.5)
    status_by_editor: dict[int, int] = {}

    def edit(n: int, controller: str) -> None:
        status_by_editor[n] = world.apply(values[n], controller)[0]

    threads = [
        threading.Thread(target=edit, args=(n, name)) for n, name in enumerate(("ct-1-1", "ct-2-1"))
    ]
    with _watching_revisions(world), under_fault(world, injection):
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    found = _agreed_value(world)
    accepted = [values[n] for n, status in status_by_editor.items() if status == 200]
    if accepted:
        world.results.check(found in accepted, f"accepted {accepted}, but {found} is in force")


def proposing(world: World, injection: Injection) -> None:
    """A planned stop is declared while the fault lasts."""
    host = endpoint_host(world).id
    with world.traffic():
        with under_fault(world, injection):
            _declare(world, host)
        _finish_stop(world, host)


def acknowledging(world: World, injection: Injection) -> None:
    """A planned stop was just declared when the fault begins."""
    host = endpoint_host(world).id
    with world.traffic():
        _declare(world, host, until_accepted=True)
        with under_fault(world, injection):
            pass
        _finish_stop(world, host)


def in_flight(world: World, injection: Injection) -> None:
    """A host is withdrawn under a running job when the fault begins."""
    job = world.job(idempotent=False, run_s=STOP_JOB_S)
    future = world.send_in_background(job, "gw-1-2")
    host = world.site.wait_until(lambda: world.host_running(job), "the job's start", TIMEOUT_S)
    with world.traffic(), _watching_release(world, host):
        _declare(world, host, until_accepted=True)
        with under_fault(world, injection):
            pass
        _check_unaffected(world, injection, future.result(), host, "gw-1-2")
        _finish_stop(world, host)


def returning(world: World, injection: Injection) -> None:
    """A stopped host is taken back when the fault begins."""
    host = endpoint_host(world).id
    _declare(world, host, until_accepted=True)
    world.site.wait_until(lambda: _phase(world, host) == "stopped", f"{host} to stop", TIMEOUT_S)
    with world.traffic(), under_fault(world, injection):
        _cancel(world, host)
    _finish_stop(world, host, cancelled=True)


def joining(world: World, injection: Injection) -> None:
    """A gateway starts while the fault lasts."""
    _skip_if_affected(injection, "gw-1-2")
    world.site.stop("gw-1-2")
    with under_fault(world, injection), world.traffic():
        world.site.start("gw-1-2")


def draining(world: World, injection: Injection) -> None:
    """A gateway drains under a running job when the fault begins."""
    _skip_if_affected(injection, "gw-1-2")
    job = world.job(idempotent=False, run_s=LONG_JOB_S)
    future = world.send_in_background(job, "gw-1-2")
    host = world.site.wait_until(lambda: world.host_running(job), "the job's start", TIMEOUT_S)
    codes: list[int] = []
    stopper = threading.Thread(target=lambda: codes.append(world.site.stop("gw-1-2")))
    stopper.start()
    with under_fault(world, injection):
        pass
    _check_unaffected(world, injection, future.result(), host, "gw-1-2")
    stopper.join()
    world.results.check(codes == [0], f"the drained gateway ended with {codes}")
    world.site.start("gw-1-2")


def replaced(world: World, injection: Injection) -> None:
    """An entry host is lost and comes back as new processes while the fault lasts."""
    _skip_if_affected(injection, "gw-1-2")
    world.site.kill("gw-1-2")
    world.site.kill("ct-1-2")
    with under_fault(world, injection), world.traffic():
        world.site.start("gw-1-2")
        world.site.start("ct-1-2")


class Step(Enum):
    """Every step, with its group and the function that runs it."""

    ARRIVING = (StepGroup.REQUEST, arriving)
    QUEUED = (StepGroup.REQUEST, queued)
    RUNNING = (StepGroup.REQUEST, running)
    ANSWERING = (StepGroup.REQUEST, answering)
    KEYED = (StepGroup.REQUEST, keyed)
    EDITING = (StepGroup.CHANGE, editing)
    SPREADING = (StepGroup.CHANGE, spreading)
    RACING = (StepGroup.CHANGE, racing)
    PROPOSING = (StepGroup.WITHDRAWAL, proposing)
    ACKNOWLEDGING = (StepGroup.WITHDRAWAL, acknowledging)
    IN_FLIGHT = (StepGroup.WITHDRAWAL, in_flight)
    RETURNING = (StepGroup.WITHDRAWAL, returning)
    JOINING = (StepGroup.ENTRY_HOST, joining)
    DRAINING = (StepGroup.ENTRY_HOST, draining)
    REPLACED = (StepGroup.ENTRY_HOST, replaced)

    @property
    def group(self) -> StepGroup:
        """The group of the step."""
        return self.value[0]

    @property
    def run(self) -> Callable[[World, Injection], None]:
        """The function that runs the step."""
        return self.value[1]

    @property
    def description(self) -> str:
        """The step in one sentence, shown on the page."""
        return (self.run.__doc__ or "").strip()


# Requests


def _check_unaffected(
    world: World, injection: Injection, answer: Answer, host: str, gateway: str = "gw-1-1"
) -> None:
    affected_gateway = gateway in injection.affected_processes
    affected_host = injection.affects_endpoint_jobs and host == endpoint_host(world).id
    if not affected_gateway and not affected_host:
        summary = f"{answer.status} {answer.outcome}"
        world.results.check(answer.ok, f"{answer.job.name}: the running job was answered {summary}")


def _read_slowly(world: World, job: Job, meanwhile: Callable[[], None]) -> Answer:
    """Read a part of an answer, call ``meanwhile``, and read the rest."""
    began = time.time()
    response = world.open_answer(job, "gw-1-1")
    parts = [response.read(VOLUME_BYTES // 8)] if response is not None else []
    meanwhile()
    ended, status = time.time(), 0
    if response is not None:
        rest = world.read_rest(response)
        status = response.status if rest is not None else 0
        parts.append(rest or b"")
    # Excludes the time that the reader itself took.
    return Answer(job, status, b"".join(parts), "", began + (time.time() - ended), ended)


class _StartedJob(msgspec.Struct, frozen=True):
    """A job that an endpoint has started, and the future of its answer."""

    job: Job
    future: "Future[Answer]"


def _start_keyed_job(world: World) -> _StartedJob:
    """Start a keyed job; keys of shards that lost their owner in an outage are refused."""
    last_answer = ""
    for _ in range(KEYED_ATTEMPTS):
        job = world.job(idempotent=False, key=f"key-{time.time_ns()}", run_s=1.0)
        future = world.send_in_background(job, "gw-1-1")
        world.site.wait_until(
            lambda j=job, f=future: world.host_running(j) or f.done(), "the start of a keyed job"
        )
        if world.host_running(job):
            return _StartedJob(job, future)
        answer = future.result()
        last_answer = f"{answer.status} {answer.outcome} {answer.body[:200]!r}"
    raise DirtySiteError(f"{KEYED_ATTEMPTS} keys in a row were refused; last answer: {last_answer}")


# Configuration changes


def _apply_if_accepted(world: World, value: float) -> tuple[int, dict] | None:
    status, response = world.apply(value)
    return (status, response) if status == 200 else None


def _unique_start_within_s() -> float:
    """Return a ``start_within_s`` that no other edit uses."""
    return 10.0 + (time.time_ns() // 1_000_000) % 100_000 / 1000


@contextmanager
def _polling(check: Callable[[], bool]) -> Iterator[None]:
    """Call ``check`` periodically on a separate thread until it returns true."""
    stop = threading.Event()

    def poll_loop() -> None:
        while not stop.wait(POLL_INTERVAL_S):
            if check():
                return

    thread = threading.Thread(target=poll_loop)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()


@contextmanager
def _watching_revisions(world: World) -> Iterator[None]:
    """Record each controller whose revision in force decreases meanwhile."""
    newest: dict[str, int] = {}

    def check_revisions() -> bool:
        for name in world.site.controllers:
            revision = world.revision_at(name, 0.5)
            if revision:
                before = newest.get(name, 0)
                world.results.check(
                    revision >= before, f"{name}: revision decreased from {before} to {revision}"
                )
                newest[name] = max(before, revision)
        return False

    with _polling(check_revisions):
        yield


def _values_in_force(world: World) -> set[tuple[int, float]]:
    found = set()
    for name in world.site.controllers:
        status, config = world.request_as_operator("GET", "/v1/config", controller=name)
        if status == 200:
            plans = config["document"]["plans"]
            found.add((config["revision"], plans[0].get("start_within_s")))
    return found


def _agreed_value(world: World) -> float:
    def agreed() -> bool:
        revisions = {world.revision_at(name) for name in world.site.controllers}
        return len(revisions) == 1 and None not in revisions and len(_values_in_force(world)) == 1

    world.site.wait_until(agreed, "all controllers to agree on one revision", IN_FORCE_TIMEOUT_S)
    [(_, value)] = _values_in_force(world)
    return value


def _check_in_force(world: World, value: float, status: int, response: dict) -> None:
    found = _agreed_value(world)
    verdict = response.get("verdict")
    if status == 200:
        world.results.check(found == value, f"accepted, but {found} is in force instead of {value}")
    elif verdict in ("conflict", "invalid", "unavailable"):
        world.results.check(found != value, f"answered {verdict}, but the edit is in force")


# Withdrawals


def _phase(world: World, host: str) -> str:
    return world.phases().get(host, ("", "absent"))[1]


def _declare(world: World, host: str, until_accepted: bool = False) -> None:
    body = {"id": f"stop-{host}", "hosts": [host], "reason": "matrix"}
    if until_accepted:
        world.site.wait_until(
            lambda: world.request_as_operator("POST", "/v1/stops", body)[0] == 200,
            "the stop",
            TIMEOUT_S,
        )
    else:
        world.request_as_operator("POST", "/v1/stops", body)


def _cancel(world: World, host: str) -> int:
    return world.request_as_operator("DELETE", f"/v1/stops/stop-{host}")[0]


def _finish_stop(world: World, host: str, *, cancelled: bool = False) -> None:
    """Check after the fault that the stop completes, no job starts on the host, and it returns.

    :param cancelled: whether the cancellation of the stop was sent before. A process that was
        paused may execute it only now, after the stop was last seen as declared.
    """
    if _declared(world, host) and _wait_until_stopped(world, host, cancelled):
        stopped = time.time()
        threading.Event().wait(0.5)
        runs = [run for name, run in world.runs() if name == host]
        late = [run["job"] for run in runs if run["started"] > stopped]
        world.results.check(not late, f"{late} started on {host} after its release")

        # A process that was paused may execute a cancellation late, after it seemed lost.
        def is_cancelled() -> bool:
            return _cancel(world, host) == 200 or not _declared(world, host)

        world.site.wait_until(is_cancelled, "the cancellation", TIMEOUT_S)
    world.site.wait_until(
        lambda: _phase(world, host) == "serving", f"{host} to come back", TIMEOUT_S
    )


def _wait_until_stopped(world: World, host: str, cancelled: bool) -> bool:
    """Wait until a host has stopped; return ``False`` if its stop was cancelled first."""

    def ended() -> str:
        if cancelled and not _declared(world, host):
            return "cancelled"
        return "stopped" if _phase(world, host) == "stopped" else ""

    return bool(world.site.wait_until(ended, f"{host} to stop", TIMEOUT_S) == "stopped")


@contextmanager
def _watching_release(world: World, host: str) -> Iterator[None]:
    """Record each job that still runs on ``host`` when a controller shows it as stopped."""

    def check_runs() -> bool:
        phases = [world.phases(c).get(host, ("", ""))[1] for c in ("ct-1-2", "ct-2-1")]
        if "stopped" not in phases:
            return False
        unfinished = [r["job"] for h, r in world.runs() if h == host and not r["finished"]]
        world.results.check(not unfinished, f"{unfinished} still ran on {host} after its release")
        return True

    with _polling(check_runs):
        yield


def _declared(world: World, host: str) -> bool:
    def config() -> dict:
        status, found = world.request_as_operator("GET", "/v1/config")
        return found if status == 200 and found["fresh"] else {}

    found = world.site.wait_until(config, "the configuration", TIMEOUT_S)
    return any(host in stop["hosts"] for stop in found["document"].get("stops", []))


def _skip_if_affected(injection: Injection, name: str) -> None:
    if name in injection.affected_processes:
        raise NotRunError(f"{name} is the process that the step is about")
