"""How much work a pool has, and how much more it is about to get."""

from collections import deque

import msgspec

from lentilrill.execution._book import JobBook, StepBook
from lentilrill.execution._link import EndpointLink
from lentilrill.ids import EndpointId, QueueId
from lentilrill.scheduling import DurationModel
from lentilrill.workloads import Job, Step

__all__ = ["Chain", "Durations", "Offer", "OfferedLoad", "idle_endpoints"]

WINDOW_S = 1.0
"""Span over which work handed in is counted: a queue in its turn gets several jobs in it."""
GROWTH = 2.0
"""How much a rising rate of work grows until hosts that are moved now can serve."""
LEAD_S = 2.4
"""Time from a pool's asking for a host until it serves: news and the list of hosts 0.6 s, its move
1.5 s, and the first look there."""
IDLE_S = 0.8
"""How long nothing must have run on an endpoint before it counts as idle: the next step of a job
starts within this time."""


class Chain(msgspec.Struct, frozen=True):
    """A job's work, as far as it can be told.

    :param left_ms: its longest chain of steps that are not done, in milliseconds.
    :param whole_ms: its longest chain of all steps.
    :param needs_s: thousandths of a core, megabytes and accelerators, each times the seconds for
        which what is not done takes them.
    """

    left_ms: float
    whole_ms: float
    needs_s: tuple[float, float, float]

    @property
    def work(self) -> float:
        """Processor seconds of what is not done."""
        return self.needs_s[0] / 1000


class Offer(msgspec.Struct, frozen=True):
    """Work that is expected to be handed in before a host that is moved now serves.

    :param needs_s: as in :class:`Chain`, of all of it.
    :param within_s: span over which it comes, evenly.
    :param slack_s: for how long a job may wait from then.
    :param span_s: how long a job takes from its start to its end; 0 if nothing is expected.
    """

    needs_s: tuple[float, float, float] = (0.0, 0.0, 0.0)
    within_s: float = LEAD_S
    slack_s: float = 0.0
    span_s: float = 0.0


class _Arrival(msgspec.Struct, frozen=True):
    at: float
    chain: Chain
    slack_s: float


class OfferedLoad:
    """Work that has been handed in over the last second, and what follows soon.

    Load pattern: a queue surges from almost nothing to several times what its pool can do, within
    about four seconds; a host that is moved serves after two to three. Waiting tasks show a surge
    only once the pool is full, so hosts come when it is over. The rate of work handed in shows it
    at once; while it grows it is taken to double until hosts can be there.
    """

    def __init__(self) -> None:
        self._arrivals: deque[_Arrival] = deque()

    def note(self, now: float, chain: Chain, slack_s: float) -> None:
        """Note a job that was handed in, and for how long it may wait."""
        self._arrivals.append(_Arrival(now, chain, slack_s))

    def expected(self, now: float) -> Offer:
        """Return what is about to be handed in."""
        while self._arrivals and now - self._arrivals[0].at > 2 * WINDOW_S:
            self._arrivals.popleft()
        last = [a for a in self._arrivals if now - a.at <= WINDOW_S]
        work = sum(a.chain.work for a in last)
        if not work:
            return Offer()
        before = sum(a.chain.work for a in self._arrivals) - work
        times = LEAD_S / WINDOW_S * (GROWTH if work > before else 1.0)
        needs_s = [sum(a.chain.needs_s[i] for a in last) * times for i in range(3)]
        slack_s = sum(a.chain.work * a.slack_s for a in last) / work
        span_s = sum(a.chain.work * a.chain.left_ms for a in last) / work / 1000
        return Offer((needs_s[0], needs_s[1], needs_s[2]), LEAD_S, slack_s, span_s)


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
        needs_s = [0.0, 0.0, 0.0]
        current = max(book.steps_by_occurrence, default=0)
        steps = book.steps_by_occurrence.get(current, [])
        for index, spec in enumerate(book.job.steps):
            step = steps[index] if steps else None
            undone = step.undone if step is not None else spec.count
            ms = self.expected_ms(book.job, spec, step)
            whole[index] = ms + max((whole[i] for i in spec.after), default=0.0)
            left[index] = (ms if undone else 0) + max((left[i] for i in spec.after), default=0.0)
            seconds = undone * ms / 1000
            needs_s[0] += seconds * spec.needs.cpu
            needs_s[1] += seconds * spec.needs.memory_mb
            needs_s[2] += seconds * spec.needs.accelerators
        return Chain(
            max(left.values(), default=0.0),
            max(whole.values(), default=0.0),
            (needs_s[0], needs_s[1], needs_s[2]),
        )

    def current_ms(self, book: JobBook) -> float:
        """Return how long the longest step takes whose turn it is."""
        return max(
            (self.expected_ms(book.job, step.spec, step) for step in book.open_steps()), default=0.0
        )


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
