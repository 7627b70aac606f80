"""Keeps suspects from endpoints where other jobs' tasks have just begun, for a bounded time."""

from collections.abc import Collection, Mapping

from lentilrill.execution._crashes import FRESH_S
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._tracking import TrackedTask
from lentilrill.ids import EndpointId, JobId
from lentilrill.scheduling import EndpointCapacity, can_keep, place
from lentilrill.workloads import TaskId

__all__ = ["MAX_APART_S", "SuspectsApart", "fresh_jobs"]

MAX_APART_S = 2.0
"""Time after which a suspect is placed beside fresh tasks too: twice the time in which these show
that they are harmless, and less than a task may stand still beside free capacity."""


class SuspectsApart:
    """Places tasks, suspects not beside fresh tasks of other jobs.

    One endpoint for each job is kept for its waiting suspect meanwhile. All methods are called
    under the lock of the pool's owner.
    """

    def __init__(self) -> None:
        self._waiting: dict[TaskId, tuple[TrackedTask, float]] = {}
        self._kept_by_job: dict[JobId, EndpointId] = {}
        self._by_id: Mapping[EndpointId, EndpointCapacity] = {}

    def begin_round(
        self, capacity_by_endpoint: Mapping[EndpointId, EndpointCapacity], now: float
    ) -> None:
        """Keep again what is kept for suspects that still wait."""
        self._by_id = capacity_by_endpoint
        self._waiting = {
            id: (task, since) for id, (task, since) in self._waiting.items() if _waits(task)
        }
        jobs = {id.job for id, (_, since) in self._waiting.items() if now - since < MAX_APART_S}
        self._kept_by_job = {j: e for j, e in self._kept_by_job.items() if j in jobs}
        for job, endpoint in self._kept_by_job.items():
            self._keep(endpoint, job)

    def place(
        self,
        task: TrackedTask,
        endpoints: Collection[EndpointCapacity],
        counts: Mapping[EndpointId, int],
        excluded: Collection[EndpointId],
        now: float,
    ) -> EndpointCapacity | None:
        """Return the endpoint for a task, or ``None`` if none fits or a suspect has to wait."""
        job = task.id.job if task.is_suspect else None

        def choose(*, avoids_fresh: bool) -> EndpointCapacity | None:
            return place(
                task.step.spec,
                endpoints,
                lambda e: counts.get(e, 0),
                excluded,
                task.failed_at,
                job,
                avoids_fresh=avoids_fresh,
            )

        if job is None:
            return choose(avoids_fresh=False)
        chosen = choose(avoids_fresh=True)
        if chosen is not None:
            return chosen
        fitting = choose(avoids_fresh=False)
        if fitting is None:
            return None
        if not self._start_wait(task, now):
            return fitting
        if self._keep(fitting.id, job):
            self._kept_by_job[job] = fitting.id
        return None

    def open_to_gang(
        self,
        members: Collection[TrackedTask],
        capacity_by_endpoint: dict[EndpointId, EndpointCapacity],
        now: float,
    ) -> dict[EndpointId, EndpointCapacity]:
        """Return the endpoints for a gang, without those that suspects among it are kept from.

        None is kept for it: one wouldn't be enough, and several would stop too much other work.
        """
        suspects = [task for task in members if task.is_suspect]
        if not suspects or not self._start_wait(suspects[0], now):
            return capacity_by_endpoint
        own = {suspects[0].id.job}
        return {id: c for id, c in capacity_by_endpoint.items() if not c.fresh_jobs - own}

    def on_placed(self, task: TrackedTask, capacity: EndpointCapacity) -> None:
        """Note on an endpoint that a task begins there."""
        capacity.fresh_jobs |= {task.id.job}
        if task.is_suspect:
            capacity.suspect_job = task.id.job

    def _start_wait(self, task: TrackedTask, now: float) -> bool:
        """Begin the wait of a suspect, unless it has begun; return whether it goes on."""
        _, since = self._waiting.setdefault(task.id, (task, now))
        return now - since < MAX_APART_S

    def _keep(self, endpoint: EndpointId, job: JobId) -> bool:
        capacity = self._by_id.get(endpoint)
        if capacity is None or not can_keep(capacity, job, self._by_id.values()):
            return False
        capacity.suspect_job = job
        return True


def fresh_jobs(link: EndpointLink) -> frozenset[JobId]:
    """Return the jobs with runs that the endpoint has not answered long enough after their start.

    Judged by its last answer, as crashes are: an endpoint that has just crashed looks the same.
    """
    return frozenset(
        run.task.id.job
        for run in link.runs_by_key.values()
        if run.is_unsent or link.answered_at - run.began_at < FRESH_S
    )


def _waits(task: TrackedTask) -> bool:
    return task.waiting and task.is_suspect and not task.step.tracked_job.state.is_final
