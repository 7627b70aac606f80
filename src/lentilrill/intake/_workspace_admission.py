"""Rates and shares of workspaces at an entry host: whether to accept a job, and in which class."""

import math
import threading
import time
from collections.abc import Callable, Mapping

import msgspec

from lentilrill.ids import JobId, PoolId, WorkspaceId
from lentilrill.inner import MAX_STATUS_AGE_S, PoolPressure, WorkspaceLoads
from lentilrill.scheduling import (
    DECAY_S,
    MAX_WAIT_S,
    AdmissionDecision,
    CapacityOutlook,
    DecayingCounts,
    PoolBacklog,
    PoolRates,
    RateBook,
    WorkspaceBacklog,
    admit_by_fair_share,
    usable_wait_s,
)
from lentilrill.workloads import Configuration, Job, Workspaces, WorkspaceSubmissions

__all__ = ["JobAdmission", "NewestPressures", "WorkspaceAdmission"]

NewestPressures = Callable[[], Mapping[PoolId, tuple[float, PoolPressure]]]
"""Returns the newest pressure of each pool, however old, and the monotonic time of its sending."""
MAX_RECENT_S = 2 * MAX_STATUS_AGE_S
"""Time for which an accepted job is remembered: a report that decides is sent after its commit."""
TENTHS, HUNDREDTHS = 10, 100
CORE = 1000


class JobAdmission(msgspec.Struct, frozen=True):
    """What was decided about a job of a workspace.

    :param job: the job, with its class.
    :param verdict: ``None`` if the pool's backlog isn't known, so that the job is accepted.
    :param age_s: age of the report that decided.
    """

    job: Job
    verdict: AdmissionDecision | None = None
    age_s: float = 0.0

    @property
    def fields(self) -> dict[str, object]:
        """Fields of the log line about the job."""
        fields: dict[str, object] = {
            "workspace": self.job.workspace,
            "rate": "beyond" if self.job.beyond_rate else "within",
        }
        if self.verdict is not None:
            fields |= {
                "share_cores": round(self.verdict.share_cores, 2),
                "backlog_s": round(self.verdict.backlog_s, 2),
                "expected_wait_s": round(self.verdict.wait_s, 2),
                "max_wait_s": round(self.verdict.max_wait_s, 2),
                "report_age_s": round(self.age_s, 2),
            }
        return fields


class _RecentJob(msgspec.Struct):
    """A job that this host accepted and that its pool's owner may not have reported yet."""

    pool: PoolId
    workspace: WorkspaceId
    beyond_rate: bool
    cpu_s: float
    at: float
    committed_at: float = math.inf


class WorkspaceAdmission:
    """Decides about the jobs of workspaces on one entry host.

    Nothing is decided for a deployment without workspaces or for a job of a public queue.

    :param configuration: returns the configuration in force; ``None`` if there is none yet.
    """

    def __init__(
        self, configuration: Callable[[], Configuration | None], pressures: NewestPressures
    ) -> None:
        self._configuration = configuration
        self._pressures = pressures
        self._lock = threading.Lock()
        self._rates = RateBook()
        self._recent_by_job: dict[JobId, _RecentJob] = {}
        self._sent: DecayingCounts[WorkspaceId] = DecayingCounts()
        self._refused_by_workspace: dict[WorkspaceId, int] = {}

    def decide(self, job: Job) -> JobAdmission | None:
        """Decide about a job, and count it as accepted if the decision is to accept it.

        The caller reports by :meth:`on_committed` if the job was stored, then calls
        :meth:`on_answered` in any case.

        :return: ``None`` if workspaces don't matter to the job.
        """
        configuration = self._configuration()
        if configuration is None or configuration.workspaces is None or not job.workspace:
            return None
        now = time.monotonic()
        with self._lock:
            pressures = self._pressures()
            self._update_rates(pressures)
            self._sent.add(job.workspace, now, now)
            # A workspace's weight is also its rate, in jobs per second.
            rate = _weight_of(configuration.workspaces, job.workspace)
            is_beyond = self._rates.is_beyond(job.workspace, rate, now)
            job = msgspec.structs.replace(job, beyond_rate=is_beyond)
            decision = self._judge(job, configuration, pressures.get(job.pool), now)
            if decision.verdict is None or decision.verdict.is_accepted:
                self._count_accepted(job, now)
            return decision

    def on_refused(self, job: Job) -> None:
        """Count a refusal for lack of room, unless the job is of a public queue."""
        if not job.workspace:
            return
        with self._lock:
            refused = self._refused_by_workspace
            refused[job.workspace] = refused.get(job.workspace, 0) + 1

    def on_committed(self, job: JobId) -> None:
        """Record that a job was stored now, so that its pool's owner reports it from now on."""
        now = time.monotonic()
        with self._lock:
            self._rates.commit(job, now)
            recent = self._recent_by_job.get(job)
            if recent is not None:
                recent.committed_at = now

    def on_answered(self, job: JobId) -> None:
        """Forget a job that wasn't stored now: it never was, it was before, or it isn't known."""
        with self._lock:
            self._rates.remove_uncommitted(job)
            recent = self._recent_by_job.get(job)
            if recent is not None and recent.committed_at == math.inf:
                del self._recent_by_job[job]

    def submissions(self) -> tuple[WorkspaceSubmissions, ...]:
        """Return what each configured workspace sent to this host, most first."""
        configuration = self._configuration()
        if configuration is None or configuration.workspaces is None:
            return ()
        by_id = configuration.workspaces.by_id
        now = time.monotonic()
        with self._lock:
            for workspace in self._refused_by_workspace.keys() - by_id.keys():
                del self._refused_by_workspace[workspace]
            sent = self._sent.counts(now, least=1 / HUNDREDTHS)
            found = [
                WorkspaceSubmissions(
                    id,
                    workspace.weight,
                    round(sent.get(id, 0.0) / DECAY_S, 2),
                    self._refused_by_workspace.get(id, 0),
                )
                for id, workspace in by_id.items()
            ]
        return tuple(sorted(found, key=lambda each: (-each.sent_per_s, -each.refused, each.id)))

    def _update_rates(self, pressures: Mapping[PoolId, tuple[float, PoolPressure]]) -> None:
        for pool, (sent_at, pressure) in pressures.items():
            if pressure.workspaces is not None and sent_at > self._rates.reported_at(pool):
                counts = {
                    load.workspace: load.within_rate / HUNDREDTHS
                    for load in pressure.workspaces.listed
                }
                self._rates.update(pool, PoolRates(sent_at, counts))

    def _judge(
        self,
        job: Job,
        configuration: Configuration,
        dated: tuple[float, PoolPressure] | None,
        now: float,
    ) -> JobAdmission:
        sent_at, pressure = dated if dated is not None else (-math.inf, None)
        loads = pressure.workspaces if pressure is not None else None
        age_s = max(0.0, now - sent_at)
        if loads is None or age_s >= MAX_STATUS_AGE_S:
            # A pool whose backlog isn't known gets the job.
            return JobAdmission(job)
        backlog = self._backlog(job, configuration, loads, sent_at, age_s)
        verdict = admit_by_fair_share(
            job.id,
            job.workspace,
            backlog,
            _max_wait_s(job, configuration),
            is_beyond=job.beyond_rate,
        )
        return JobAdmission(job, verdict, age_s)

    def _backlog(
        self,
        job: Job,
        configuration: Configuration,
        loads: WorkspaceLoads,
        sent_at: float,
        age_s: float,
    ) -> PoolBacklog:
        """Return the backlog as reported, with what this host has accepted since."""
        by_workspace = {
            load.workspace: WorkspaceBacklog(
                load.owed / TENTHS, load.beyond / TENTHS, load.overdue / TENTHS
            )
            for load in loads.listed
        }
        for recent in self._recent_by_job.values():
            if recent.pool == job.pool and recent.committed_at > sent_at:
                before = by_workspace.get(recent.workspace, WorkspaceBacklog())
                by_workspace[recent.workspace] = _with_job(before, recent)
        workspaces = configuration.workspaces
        weights = workspaces.by_id if workspaces is not None else {}
        return PoolBacklog(
            loads.is_short,
            CapacityOutlook(loads.present_cpu / CORE, loads.coming_cpu / CORE),
            by_workspace,
            {id: workspace.weight for id, workspace in weights.items()},
            age_s,
            loads.rest_owed / TENTHS,
        )

    def _count_accepted(self, job: Job, now: float) -> None:
        while self._recent_by_job:
            oldest = next(iter(self._recent_by_job))
            if now - self._recent_by_job[oldest].at <= MAX_RECENT_S:
                break
            del self._recent_by_job[oldest]
        if not job.beyond_rate:
            self._rates.add(job.id, job.pool, job.workspace, now)
        self._recent_by_job[job.id] = _RecentJob(
            job.pool, job.workspace, job.beyond_rate, _cpu_s(job), now
        )


def _weight_of(workspaces: Workspaces, workspace: WorkspaceId) -> float:
    found = workspaces.by_id.get(workspace)
    return found.weight if found is not None else 0.0


def _with_job(backlog: WorkspaceBacklog, recent: _RecentJob) -> WorkspaceBacklog:
    if recent.beyond_rate:
        return msgspec.structs.replace(backlog, beyond=backlog.beyond + recent.cpu_s)
    return msgspec.structs.replace(backlog, owed=backlog.owed + recent.cpu_s)


def _max_wait_s(job: Job, configuration: Configuration) -> float:
    """Return how long a job can wait and still end in time, by its caller's estimates.

    Estimates that are off matter little: of the critical path only the queue's stretch is slack.
    """
    queue = configuration.queue(job.queue)
    lasts = any(step.lasting for step in job.steps)
    if queue is None or lasts or job.occurrences:
        return MAX_WAIT_S
    return usable_wait_s(_critical_path_s(job), queue.stretch, queue.objective_ms / 1000)


def _critical_path_s(job: Job) -> float:
    path_ms: list[int] = []
    for step in job.steps:
        path_ms.append(step.estimate_ms + max((path_ms[i] for i in step.after), default=0))
    return max(path_ms, default=0) / 1000


def _cpu_s(job: Job) -> float:
    """Return the core seconds that a job adds to what waits for room in its pool."""
    if any(step.lasting for step in job.steps) or job.occurrences:
        return 0.0
    first = [step for step in job.steps if not step.after]
    return sum(step.count * step.estimate_ms * step.reserved.cpu for step in first) / 1e6
