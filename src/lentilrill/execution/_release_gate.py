"""Whether a pool can spare an endpoint that is to be drained."""

from collections import Counter
from collections.abc import Collection, Iterable

from lentilrill.execution._link import EndpointLink
from lentilrill.execution._release import REQUEST_TIMEOUT_S
from lentilrill.execution._tracking import TrackedJob, TrackedTask
from lentilrill.scheduling import Speed
from lentilrill.workloads import Resources, Step, StepId

__all__ = ["keep_open", "refusal_of_release"]


def refusal_of_release(
    link: EndpointLink, links: Collection[EndpointLink], jobs: Iterable[TrackedJob]
) -> str | None:
    """Return why an endpoint can't be drained now, or ``None`` if it can.

    Endpoints of one pool may be requested together, by waves of upkeep and by moves. If all of them
    were drained, a long-running task stopped on one could start on none, and the others of its step
    could not be stopped as long as it is away, so that no endpoint would ever be free.

    :param links: the pool's endpoints.
    :param jobs: the pool's jobs that aren't final.
    """
    others = [other for other in links if other is not link]
    open_links = [other for other in others if _takes_tasks(other)]
    if not open_links and any(other.released for other in others):
        return "no other endpoint of its pool takes tasks, as they are being drained"
    tasks = _tasks_to_place(link, jobs)
    # Most endpoints run none, and a pool has tens of thousands of other runs.
    rooms = [_Room(other) for other in open_links] if tasks else []
    for task in tasks:
        if not any(room.take(task) for room in rooms):
            return f"{task.id} has room on no other endpoint"
    return None


def keep_open(link: EndpointLink, now: float) -> None:
    """End a release that the pool can't spare any more.

    An endpoint that was free stays closed as long as its host may be ordered down for that answer.

    :param now: the monotonic clock.
    """
    if now - link.freed_at > REQUEST_TIMEOUT_S:
        link.released = False


def _takes_tasks(link: EndpointLink) -> bool:
    """Whether an endpoint gets new tasks, but for pauses after failures."""
    return (
        link.was_polled
        and link.reachable
        and link.registered
        and not link.closed
        and not link.released
        and not link.entry.draining
        and not link.unknown_since_by_key
        and link.speed is not Speed.EJECTED
    )


def _tasks_to_place(link: EndpointLink, jobs: Iterable[TrackedJob]) -> list[TrackedTask]:
    """Return the long-running tasks that need an endpoint if this one is drained.

    They run here, or wait and could run here. The largest come first.
    """
    here = {run.task.id: run.task for run in link.runs_by_key.values()}
    tasks = [task for task in here.values() if task.step.spec.lasting and not _runs_elsewhere(task)]
    for tracked_job in jobs:
        if tracked_job.long_running and not tracked_job.state.is_final:
            tasks += [task for task in _waiting_tasks(tracked_job) if _may_run_on(task, link)]
    tasks.sort(key=lambda task: -task.step.spec.reserved.cpu)
    return [task for task in tasks if not task.step.tracked_job.state.is_final]


def _runs_elsewhere(task: TrackedTask) -> bool:
    return len({run.endpoint for run in task.runs}) > 1


def _waiting_tasks(tracked_job: TrackedJob) -> list[TrackedTask]:
    steps = [step for step in tracked_job.ready_steps() if step.spec.lasting]
    return [task for step in steps for task in step.tasks if task.waiting]


def _may_run_on(task: TrackedTask, link: EndpointLink) -> bool:
    spec = task.step.spec
    return spec.reserved.fits(link.entry.capacity) and _has_label(spec, link)


def _has_label(spec: Step, link: EndpointLink) -> bool:
    return not spec.label or spec.label in link.entry.labels


class _Room:
    """Room for long-running tasks on an endpoint; others end by themselves and make way."""

    def __init__(self, link: EndpointLink) -> None:
        self._link = link
        self._free = link.entry.capacity
        self._counts: Counter[StepId] = Counter()
        for run in link.runs_by_key.values():
            if run.task.step.spec.lasting:
                self._reserve(run.reserved, run.task.step.id)

    def take(self, task: TrackedTask) -> bool:
        """Reserve room for a task; return whether there is any."""
        spec, step = task.step.spec, task.step.id
        is_below_limit = not spec.most_per_endpoint or self._counts[step] < spec.most_per_endpoint
        if not (is_below_limit and _has_label(spec, self._link) and spec.reserved.fits(self._free)):
            return False
        self._reserve(spec.reserved, step)
        return True

    def _reserve(self, amount: Resources, step: StepId) -> None:
        self._free = self._free.minus(amount)
        self._counts[step] += 1
