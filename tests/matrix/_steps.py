"""The steps of the matrix: each prepares a situation, injects a fault and checks the result.

A step is a function of the world and the injection. Failed checks are recorded in the world's
ledger; a step that does not apply raises :class:`NotRunError`.
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

__all__ = ["NotRunError", "ScarredWorldError", "Step", "Story"]

LIMIT_S = 30.0
FORCE_S = 20.0
LONG_S = 2.0
STOP_JOB_S = 8.0
KEYED_TRIES = 8
LOOK_EVERY_S = 0.1
VOLUME_BYTES = 12 * 1024 * 1024


class NotRunError(Exception):
    """Raised when a cell does not apply, with the reason."""


class ScarredWorldError(Exception):
    """Raised when the effects of an earlier cell prevent the setup of this one."""


class Story(Enum):
    """Groups of steps."""

    REQUEST = "request"
    CHANGE = "configuration change"
    WITHDRAWAL = "withdrawal"
    ENTRY_HOST = "entry host"


@contextmanager
def disturbed(world: World, injection: Injection) -> Iterator[None]:
    """Run the body under the fault, and then keep the fault active for its duration."""
    injection.begin(world)
    try:
        yield
        injection.hold(world)
    finally:
        injection.end(world)


def arriving(world: World, injection: Injection) -> None:
    """Jobs arrive while the fault lasts."""
    with disturbed(world, injection), world.traffic():
        for _ in range(3):
            world.begin(world.job(idempotent=False), "gw-1-1")


def queued(world: World, injection: Injection) -> None:
    """A job waits for a slot when the fault begins."""
    fillers = [world.begin(world.job(run_s=1.0), "gw-1-2") for _ in range(9)]
    waiting = [world.begin(world.job(idempotent=n > 0), "gw-1-1") for n in range(3)]
    with disturbed(world, injection):
        pass
    for future in fillers + waiting:
        future.result()


def running(world: World, injection: Injection) -> None:
    """A job that must not run twice is running when the fault begins."""
    job = world.job(idempotent=False, run_s=LONG_S)
    future = world.begin(job, "gw-1-1")
    host = world.site.wait_until(lambda: world.host_running(job), "the job's start", LIMIT_S)
    with disturbed(world, injection), world.traffic():
        pass
    _check_undisturbed(world, injection, future.result(), host)


def answering(world: World, injection: Injection) -> None:
    """A long answer is half way when the fault begins."""
    job = world.job("schools", idempotent=False, answer_bytes=VOLUME_BYTES)

    def meanwhile() -> None:
        with disturbed(world, injection):
            pass

    world.ledger.add(_read_slowly(world, job, meanwhile))


def keyed(world: World, injection: Injection) -> None:
    """A keyed job is running when the fault begins, and is sent again through other gateways."""
    first = _begin_keyed(world)
    job = first.job
    with disturbed(world, injection):
        repeats = [world.begin(job, gateway) for gateway in ("gw-1-2", "gw-2-1")]
    for future in (first.future, *repeats):
        future.result()
    for gateway in ("gw-1-1", "gw-1-2", "gw-2-2"):
        world.site.wait_until(lambda g=gateway: world.send(job, g).status, "an answer", LIMIT_S)


def editing(world: World, injection: Injection) -> None:
    """An operator applies a list while the fault lasts."""
    mark = _new_mark()
    with _watching_revisions(world), disturbed(world, injection):
        status, told = world.apply(mark)
    _check_in_force(world, mark, status, told)


def spreading(world: World, injection: Injection) -> None:
    """An accepted change is on its way to all processes when the fault begins."""
    mark = _new_mark()
    with _watching_revisions(world):
        status, told = world.site.wait_until(
            lambda: _accepted(world, mark), "an accepted change", LIMIT_S
        )
        with disturbed(world, injection):
            pass
        _check_in_force(world, mark, status, told)


def racing(world: World, injection: Injection) -> None:
    """Two operators edit the same revision at two controllers while the fault lasts."""
    marks = (_new_mark(), _new_mark() + 0.5)
    told: dict[int, int] = {}

    def edit(n: int, controller: str) -> None:
        told[n] = world.apply(marks[n], controller)[0]

    threads = [
        threading.Thread(target=edit, args=(n, name)) for n, name in enumerate(("ct-1-1", "ct-2-1"))
    ]
    with _watching_revisions(world), disturbed(world, injection):
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    found = _agreed_mark(world)
    accepted = [marks[n] for n, status in told.items() if status == 200]
    if accepted:
        world.ledger.note(found in accepted, f"accepted {accepted}, but {found} is in force")


def proposing(world: World, injection: Injection) -> None:
    """A planned stop is declared while the fault lasts."""
    host = endpoint_host(world).id
    with world.traffic():
        with disturbed(world, injection):
            _declare(world, host)
        _finish_stop(world, host)


def acknowledging(world: World, injection: Injection) -> None:
    """A planned stop was just declared when the fault begins."""
    host = endpoint_host(world).id
    with world.traffic():
        _declare(world, host, insist=True)
        with disturbed(world, injection):
            pass
        _finish_stop(world, host)


def in_flight(world: World, injection: Injection) -> None:
    """A host is withdrawn under a running job when the fault begins."""
    job = world.job(idempotent=False, run_s=STOP_JOB_S)
    future = world.begin(job, "gw-1-2")
    host = world.site.wait_until(lambda: world.host_running(job), "the job's start", LIMIT_S)
    with world.traffic(), _watching_release(world, host):
        _declare(world, host, insist=True)
        with disturbed(world, injection):
            pass
        _check_undisturbed(world, injection, future.result(), host, "gw-1-2")
        _finish_stop(world, host)


def returning(world: World, injection: Injection) -> None:
    """A stopped host is taken back when the fault begins."""
    host = endpoint_host(world).id
    _declare(world, host, insist=True)
    world.site.wait_until(lambda: _phase(world, host) == "stopped", f"{host} to stop", LIMIT_S)
    with world.traffic(), disturbed(world, injection):
        _cancel(world, host)
    _finish_stop(world, host, cancelled=True)


def joining(world: World, injection: Injection) -> None:
    """A gateway starts while the fault lasts."""
    _not_itself(injection, "gw-1-2")
    world.site.stop("gw-1-2")
    with disturbed(world, injection), world.traffic():
        world.site.start("gw-1-2")


def draining(world: World, injection: Injection) -> None:
    """A gateway drains under a running job when the fault begins."""
    _not_itself(injection, "gw-1-2")
    job = world.job(idempotent=False, run_s=LONG_S)
    future = world.begin(job, "gw-1-2")
    host = world.site.wait_until(lambda: world.host_running(job), "the job's start", LIMIT_S)
    codes: list[int] = []
    stopper = threading.Thread(target=lambda: codes.append(world.site.stop("gw-1-2")))
    stopper.start()
    with disturbed(world, injection):
        pass
    _check_undisturbed(world, injection, future.result(), host, "gw-1-2")
    stopper.join()
    world.ledger.note(codes == [0], f"the drained gateway ended with {codes}")
    world.site.start("gw-1-2")


def replaced(world: World, injection: Injection) -> None:
    """An entry host is lost and comes back as new processes while the fault lasts."""
    _not_itself(injection, "gw-1-2")
    world.site.kill("gw-1-2")
    world.site.kill("ct-1-2")
    with disturbed(world, injection), world.traffic():
        world.site.start("gw-1-2")
        world.site.start("ct-1-2")


class Step(Enum):
    """Every step, with its group and the function that runs it."""

    ARRIVING = (Story.REQUEST, arriving)
    QUEUED = (Story.REQUEST, queued)
    RUNNING = (Story.REQUEST, running)
    ANSWERING = (Story.REQUEST, answering)
    KEYED = (Story.REQUEST, keyed)
    EDITING = (Story.CHANGE, editing)
    SPREADING = (Story.CHANGE, spreading)
    RACING = (Story.CHANGE, racing)
    PROPOSING = (Story.WITHDRAWAL, proposing)
    ACKNOWLEDGING = (Story.WITHDRAWAL, acknowledging)
    IN_FLIGHT = (Story.WITHDRAWAL, in_flight)
    RETURNING = (Story.WITHDRAWAL, returning)
    JOINING = (Story.ENTRY_HOST, joining)
    DRAINING = (Story.ENTRY_HOST, draining)
    REPLACED = (Story.ENTRY_HOST, replaced)

    @property
    def story(self) -> Story:
        """The group of the step."""
        return self.value[0]

    @property
    def scene(self) -> Callable[[World, Injection], None]:
        """The function that runs the step."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """The step in one sentence, shown on the page."""
        return (self.scene.__doc__ or "").strip()


# Requests


def _check_undisturbed(
    world: World, injection: Injection, answer: Answer, host: str, gateway: str = "gw-1-1"
) -> None:
    hit = gateway in injection.hits
    disturbed_host = injection.on_endpoint and host == endpoint_host(world).id
    if not hit and not disturbed_host:
        told = f"{answer.status} {answer.outcome}"
        world.ledger.note(answer.ok, f"{answer.job.name}: the running job was answered {told}")


def _read_slowly(world: World, job: Job, meanwhile: Callable[[], None]) -> Answer:
    """Read a part of an answer, call ``meanwhile``, and read the rest."""
    began = time.time()
    response = world.open(job, "gw-1-1")
    parts = [response.read(VOLUME_BYTES // 8)] if response is not None else []
    meanwhile()
    ended, status = time.time(), 0
    if response is not None:
        rest = world.rest_of(response)
        status = response.status if rest is not None else 0
        parts.append(rest or b"")
    # Excludes the time that the reader itself took.
    return Answer(job, status, b"".join(parts), "", began + (time.time() - ended), ended)


class _Begun(msgspec.Struct, frozen=True):
    """A job that an endpoint has started, and the future of its answer."""

    job: Job
    future: "Future[Answer]"


def _begin_keyed(world: World) -> _Begun:
    """Start a keyed job; keys of shards that lost their owner in an outage are refused."""
    told = ""
    for _ in range(KEYED_TRIES):
        job = world.job(idempotent=False, key=f"key-{time.time_ns()}", run_s=1.0)
        future = world.begin(job, "gw-1-1")
        world.site.wait_until(
            lambda j=job, f=future: world.host_running(j) or f.done(), "the start of a keyed job"
        )
        if world.host_running(job):
            return _Begun(job, future)
        answer = future.result()
        told = f"{answer.status} {answer.outcome} {answer.body[:200]!r}"
    raise ScarredWorldError(f"{KEYED_TRIES} keys in a row were refused; last answer: {told}")


# Configuration changes


def _accepted(world: World, mark: float) -> tuple[int, dict] | None:
    status, told = world.apply(mark)
    return (status, told) if status == 200 else None


def _new_mark() -> float:
    """Return a ``start_within_s`` that no other edit uses."""
    return 10.0 + (time.time_ns() // 1_000_000) % 100_000 / 1000


@contextmanager
def _looking(look: Callable[[], bool]) -> Iterator[None]:
    """Call ``look`` periodically on a separate thread until it returns true."""
    stop = threading.Event()

    def look_on() -> None:
        while not stop.wait(LOOK_EVERY_S):
            if look():
                return

    thread = threading.Thread(target=look_on)
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

    def look() -> bool:
        for name in world.site.controllers:
            revision = world.revision_at(name, 0.5)
            if revision:
                before = newest.get(name, 0)
                world.ledger.note(
                    revision >= before, f"{name}: revision decreased from {before} to {revision}"
                )
                newest[name] = max(before, revision)
        return False

    with _looking(look):
        yield


def _marks(world: World) -> set[tuple[int, float]]:
    found = set()
    for name in world.site.controllers:
        status, config = world.operate("GET", "/v1/config", controller=name)
        if status == 200:
            plans = config["document"]["plans"]
            found.add((config["revision"], plans[0].get("start_within_s")))
    return found


def _agreed_mark(world: World) -> float:
    def agreed() -> bool:
        revisions = {world.revision_at(name) for name in world.site.controllers}
        return len(revisions) == 1 and None not in revisions and len(_marks(world)) == 1

    world.site.wait_until(agreed, "all controllers to agree on one revision", FORCE_S)
    [(_, mark)] = _marks(world)
    return mark


def _check_in_force(world: World, mark: float, status: int, told: dict) -> None:
    found = _agreed_mark(world)
    verdict = told.get("verdict")
    if status == 200:
        world.ledger.note(found == mark, f"accepted, but {found} is in force instead of {mark}")
    elif verdict in ("conflict", "invalid", "unavailable"):
        world.ledger.note(found != mark, f"answered {verdict}, but the edit is in force")


# Withdrawals


def _phase(world: World, host: str) -> str:
    return world.phases().get(host, ("", "absent"))[1]


def _declare(world: World, host: str, insist: bool = False) -> None:
    body = {"id": f"stop-{host}", "hosts": [host], "reason": "matrix"}
    if insist:
        world.site.wait_until(
            lambda: world.operate("POST", "/v1/stops", body)[0] == 200, "the stop", LIMIT_S
        )
    else:
        world.operate("POST", "/v1/stops", body)


def _cancel(world: World, host: str) -> int:
    return world.operate("DELETE", f"/v1/stops/stop-{host}")[0]


def _finish_stop(world: World, host: str, *, cancelled: bool = False) -> None:
    """Check after the fault that the stop completes, no job starts on the host, and it returns.

    :param cancelled: whether the cancellation of the stop was sent before. A process that was
        paused may execute it only now, after the stop was last seen as declared.
    """
    if _declared(world, host) and _stops(world, host, cancelled):
        stopped = time.time()
        threading.Event().wait(0.5)
        runs = [run for name, run in world.runs() if name == host]
        late = [run["job"] for run in runs if run["started"] > stopped]
        world.ledger.note(not late, f"{late} started on {host} after its release")

        # A process that was paused may execute a cancellation late, after it seemed lost.
        def is_cancelled() -> bool:
            return _cancel(world, host) == 200 or not _declared(world, host)

        world.site.wait_until(is_cancelled, "the cancellation", LIMIT_S)
    world.site.wait_until(lambda: _phase(world, host) == "serving", f"{host} to come back", LIMIT_S)


def _stops(world: World, host: str, cancelled: bool) -> bool:
    """Wait until a host has stopped; return ``False`` if its stop was cancelled first."""

    def ended() -> str:
        if cancelled and not _declared(world, host):
            return "cancelled"
        return "stopped" if _phase(world, host) == "stopped" else ""

    return bool(world.site.wait_until(ended, f"{host} to stop", LIMIT_S) == "stopped")


@contextmanager
def _watching_release(world: World, host: str) -> Iterator[None]:
    """Record each job that still runs on ``host`` when a controller shows it as stopped."""

    def look() -> bool:
        phases = [world.phases(c).get(host, ("", ""))[1] for c in ("ct-1-2", "ct-2-1")]
        if "stopped" not in phases:
            return False
        unfinished = [r["job"] for h, r in world.runs() if h == host and not r["finished"]]
        world.ledger.note(not unfinished, f"{unfinished} still ran on {host} after its release")
        return True

    with _looking(look):
        yield


def _declared(world: World, host: str) -> bool:
    def config() -> dict:
        status, found = world.operate("GET", "/v1/config")
        return found if status == 200 and found["fresh"] else {}

    found = world.site.wait_until(config, "the configuration", LIMIT_S)
    return any(host in stop["hosts"] for stop in found["document"].get("stops", []))


def _not_itself(injection: Injection, name: str) -> None:
    if name in injection.hits:
        raise NotRunError(f"{name} is the process that the step is about")
