"""How much work a pool has, and how many hosts that fills."""

from collections import deque
from collections.abc import Collection

import msgspec

from lentilrill.execution._book import JobBook, StepBook
from lentilrill.execution._link import EndpointLink
from lentilrill.ids import EndpointId, JobId, QueueId
from lentilrill.scheduling import DurationModel
from lentilrill.workloads import Job, Resources, Step

__all__ = [
    "Chain",
    "Durations",
    "OfferedLoad",
    "hosts_needed",
    "idle_endpoints",
    "ready_work",
]

WINDOW_S = 1.0
"""Span over which work handed in is counted: a queue in its turn gets several jobs in it."""
GROWTH = 2.0
"""How much a rising rate of work grows until hosts that are moved now can serve."""
SOON = 0.6
"""Share of a host's room that waiting tasks count for, against those that run: they need not all
start at once to be in time. Most take about a second, and may wait for another half."""
LATE_SHARE = 0.5
"""Share of a host's room that waiting tasks of late jobs count for. A late answer is worth less
than a tenth of one in time to callers, so it justifies keeping some hosts, not taking more."""
IDLE_S = 0.8
"""How long nothing must have run on an endpoint before it counts as idle: the next step of a job
starts within this time."""


class Chain(msgspec.Struct, frozen=True):
    """A job's work, as far as it can be told.

    :param left_ms: its longest chain of steps that are not done, in milliseconds.
    :param whole_ms: its longest chain of all steps.
    :param work: processor seconds of what is not done.
    """

    left_ms: float
    whole_ms: float
    work: float


class OfferedLoad:
    """Work that has been handed in over the last second, and what it grows to.

    Load pattern: a queue surges from almost nothing to several times what its pool can do, within
    about four seconds; a host that is moved serves after two to three. Waiting tasks show a surge
    only once the pool is full, so hosts come when it is over. The rate of work handed in shows it
    at once; while it grows it is taken to double until hosts can be there.
    """

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, float]] = deque()

    def note(self, now: float, work: float) -> None:
        """Note a job that was handed in, of ``work`` processor seconds."""
        self._arrivals.append((now, work))

    def cores(self, now: float) -> float:
        """Return the cores that will be needed when hosts that are moved now serve."""
        while self._arrivals and now - self._arrivals[0][0] > 2 * WINDOW_S:
            self._arrivals.popleft()
        last = sum(work for at, work in self._arrivals if now - at <= WINDOW_S) / WINDOW_S
        before = sum(work for at, work in self._arrivals if now - at > WINDOW_S) / WINDOW_S
        return last * GROWTH if last > before else last


class Durations:
    """How long tasks take, by queue."""

    def __init__(self) -> None:
        self._model_by_queue: dict[QueueId, DurationModel] = {}

    def note(self, step: StepBook, ms: float) -> None:
        """Learn from a task that is done."""
        step.note_duration(ms)
        queue = step.book.job.queue
        self._model_by_queue.setdefault(queue, DurationModel()).observe(step.spec.estimate_ms, ms)

    def expected_ms(self, job: Job, spec: Step, step: StepBook | None) -> float:
        """Return how long a task of a step takes: as its siblings did, else as its queue's do."""
        if step is not None and step.ran:
            return step.ran_ms
        model = self._model_by_queue.get(job.queue)
        return model.expected_ms(spec.estimate_ms) if model is not None else spec.estimate_ms

    def chain_of(self, book: JobBook) -> Chain:
        """Return what is left of a job, and its whole length."""
        left: dict[int, float] = {}
        whole: dict[int, float] = {}
        work = 0.0
        current = max(book.steps_by_occurrence, default=0)
        steps = book.steps_by_occurrence.get(current, [])
        for index, spec in enumerate(book.job.steps):
            step = steps[index] if steps else None
            undone = step.undone if step is not None else spec.count
            ms = self.expected_ms(book.job, spec, step)
            whole[index] = ms + max((whole[i] for i in spec.after), default=0.0)
            left[index] = (ms if undone else 0) + max((left[i] for i in spec.after), default=0.0)
            work += undone * ms / 1000 * spec.needs.cpu / 1000
        return Chain(max(left.values(), default=0.0), max(whole.values(), default=0.0), work)


def ready_work(book: JobBook) -> Resources:
    """Return what a job's tasks take whose turn has come and that don't run."""
    total = Resources()
    for step in book.open_steps():
        waiting = sum(1 for task in step.tasks if task.waiting)
        needs = step.spec.reserved
        total = total.plus(
            Resources(needs.cpu * waiting, needs.memory_mb * waiting, needs.accelerators * waiting)
        )
    return total


def hosts_needed(
    links: list[EndpointLink],
    ready: Resources,
    late_ready: Resources,
    late: Collection[JobId],
    offered: float,
) -> float:
    """Return how many hosts the pool's work fills.

    Load pattern: a pool's surge leaves a backlog that nobody can serve in time any more, while
    the next queue's surge begins. Counted in full, the backlog keeps all hosts that the other
    pool lacks, and both are late.

    :param ready: room that tasks take whose turn has come and that don't run.
    :param late_ready: the same of jobs that can't be in time any more.
    :param late: those jobs.
    :param offered: cores that newly offered work takes.
    """
    rooms = [link.entry.room for link in links if link.entry.room.cpu]
    if not rooms:
        # No host tells how large one is; the first one to come will.
        return 1.0 if ready.plus(late_ready) != Resources() else 0.0
    one = max(rooms, key=lambda room: room.cpu)
    used = ready.scaled(SOON).plus(late_ready.scaled(SOON * LATE_SHARE))
    lasting_cpu = 0
    for link in links:
        for run in link.runs_by_key.values():
            used = used.plus(run.reserved)
            lasting_cpu += run.reserved.cpu if run.task.step.spec.lasting else 0
    shares = [used.cpu / max(1, one.cpu), used.memory_mb / max(1, one.memory_mb)]
    if one.accelerators:
        shares.append(used.accelerators / one.accelerators)
    return max(*shares, (lasting_cpu + offered * 1000) / max(1, one.cpu))


def idle_endpoints(links: list[EndpointLink], now: float) -> list[EndpointId]:
    """Return endpoints on which nothing has run for a while."""
    return [
        link.entry.id
        for link in links
        if link.reachable
        and link.registered
        and not link.runs_by_key
        and not link.strays_by_key
        and now - link.busy_at > IDLE_S
    ]
