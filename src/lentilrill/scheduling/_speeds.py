"""Detection of endpoints that work slower than the others of their pool."""

import math
import statistics
from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import msgspec

from lentilrill.ids import EndpointId, JobId, QueueId
from lentilrill.workloads import Resources, TaskId

__all__ = ["EndpointKind", "EndpointSpeeds", "Speed", "SpeedChange", "hosts_for"]

EVIDENCE_S = 2.5
"""Age at which evidence is dropped; endpoints are slow for some seconds."""
MAX_TASKS = 32
"""Tasks whose evidence is kept for an endpoint, the newest ones."""
MIN_TASKS = 4
MIN_JOBS = 2
MIN_ENDPOINTS = 3
"""Endpoints that must have run a queue's tasks: of two, nothing tells which is the slow one."""
SLOW_FACTOR = 2.0
"""Slowdown from which on waiting for another endpoint is worth it: a task takes twice as long."""
EJECT_FACTOR = 3.0
"""Slowdown from which on a task that waits for its whole duration elsewhere still ends earlier."""
NORMAL_FACTOR = 1.4
"""Slowdown below which a slow endpoint is normal again: less than it takes to become slow."""
Z_SCORE = 3.0
"""Deviation, in standard errors, beyond which an endpoint isn't slow by chance: several hundred
endpoints are judged every few seconds."""
MIN_SPREAD = 0.1
"""Least standard deviation assumed of the logarithm of slowdowns."""
MAD_TO_STDDEV = 1.48
"""Standard deviation of a normal distribution, relative to its median absolute deviation."""
LOW_QUARTILE = 0.25
MAX_EJECTED_SHARE = 0.2
"""Share of a pool's endpoints that may be ejected at once; the others must carry their work."""
MIN_PAUSE_S = 1.5
MAX_PAUSE_S = 6.0
HOLD_S = 4.0
"""Time without evidence after which an endpoint that is slow or on probation counts as normal."""
FORGIVEN_AFTER_S = 30.0
"""Time as a normal endpoint after which its next ejection is as short as the first."""
MIN_SHARE = 0.1
"""Least share of its capacity that an endpoint counts with unless it is ejected."""


class Speed(Enum):
    """Verdict on the speed of an endpoint."""

    NORMAL = "normal"
    SLOW = "slow"
    """It gets new tasks after all others."""
    EJECTED = "ejected"
    """It gets no new tasks for some time."""
    PROBATION = "probation"
    """It was ejected and gets one task at a time, after all others."""


class EndpointKind(msgspec.Struct, frozen=True):
    """Properties of an endpoint that decide which tasks fit on it when it is empty."""

    labels: tuple[str, ...]
    capacity: Resources

    def can_replace(self, other: "EndpointKind") -> bool:
        """Whether every task that fits on ``other`` fits on this one."""
        return set(self.labels) >= set(other.labels) and other.capacity.fits(self.capacity)


class SpeedChange(msgspec.Struct, frozen=True):
    """Change of an endpoint's verdict, with the inputs that decided.

    :param slowdown: factor by which its tasks took longer than their queues' others.
    :param needed: slowdown that the number of jobs and the spread of the pool called for.
    :param newest_s: age of its newest evidence; 0 if there is none.
    :param oldest_s: age of the oldest.
    :param pause_s: time for which it is ejected.
    """

    endpoint: EndpointId
    before: Speed
    after: Speed
    slowdown: float
    needed: float
    tasks: int
    jobs: int
    newest_s: float
    oldest_s: float
    pause_s: float


class _Sample(msgspec.Struct, frozen=True):
    queue: QueueId
    log_slowdown: float
    at: float


class _Finding(msgspec.Struct, frozen=True):
    log_slowdown: float = 0.0
    log_needed: float = 0.0
    tasks: int = 0
    jobs: int = 0
    newest_s: float = 0.0
    oldest_s: float = 0.0

    @property
    def is_known(self) -> bool:
        return self.tasks >= MIN_TASKS and self.jobs >= MIN_JOBS

    def exceeds(self, factor: float) -> bool:
        """Whether the endpoint is slower by a factor, beyond chance."""
        return self.is_known and self.log_slowdown > max(math.log(factor), self.log_needed)


class _State(msgspec.Struct):
    samples_by_task: dict[TaskId, _Sample] = {}
    finding: _Finding = _Finding()
    speed: Speed = Speed.NORMAL
    since: float = 0.0
    evidence_at: float = 0.0
    pause_s: float = 0.0
    ejected_until: float = 0.0
    log_slowdown: float = 0.0


class EndpointSpeeds:
    """Speeds of a pool's endpoints relative to each other, and the verdicts on them.

    A few endpoints of a pool work several times slower than the others for some seconds. They
    answer, and nothing fails. Each holds the tasks that it gets, so their jobs miss their deadline
    while the other endpoints have room.

    Evidence is what a task takes relative to the expectation of its queue, compared with what the
    same queue's tasks take elsewhere at the same time. A change in the work or in all endpoints
    thus cancels out. An endpoint is slow if nearly all of its jobs are: its lowest quartile counts,
    since a few tasks of a hundred take several times as long anywhere, and such tasks are running
    more often than they are started. The fewer its jobs, and the more jobs differ, the larger
    the slowdown has to be.

    Ejections take a bounded share of the pool, last longer each time, and never take the last
    endpoint on which a task fits.
    """

    def __init__(self) -> None:
        self._by_id: dict[EndpointId, _State] = {}

    def observe(
        self, endpoint: EndpointId, task: TaskId, queue: QueueId, slowdown: float, now: float
    ) -> None:
        """Record the newest evidence from a task.

        :param slowdown: time that it took, or a part of it, relative to the expected time.
        """
        if slowdown <= 0:
            return
        state = self._by_id.setdefault(endpoint, _State())
        state.samples_by_task.pop(task, None)
        state.samples_by_task[task] = _Sample(queue, math.log(slowdown), now)
        state.evidence_at = now
        if len(state.samples_by_task) > MAX_TASKS:
            del state.samples_by_task[next(iter(state.samples_by_task))]

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint, whose process has been replaced."""
        self._by_id.pop(endpoint, None)

    def speed(self, endpoint: EndpointId) -> Speed:
        """Return the verdict on an endpoint."""
        state = self._by_id.get(endpoint)
        return state.speed if state is not None else Speed.NORMAL

    def capacity_share(self, endpoint: EndpointId) -> float:
        """Return the share of an endpoint's capacity that it has in effect."""
        state = self._by_id.get(endpoint)
        if state is None or state.speed is Speed.NORMAL:
            return 1.0
        if state.speed is Speed.EJECTED:
            return 0.0
        return min(1.0, max(MIN_SHARE, math.exp(-state.log_slowdown)))

    def evidence(self, endpoint: EndpointId) -> tuple[float, int, int]:
        """Return an endpoint's slowdown, and the tasks and jobs that it rests on."""
        finding = self._by_id.get(endpoint, _State()).finding
        return math.exp(finding.log_slowdown), finding.tasks, finding.jobs

    def review(
        self,
        kind_by_id: Mapping[EndpointId, EndpointKind],
        usable: Collection[EndpointId],
        now: float,
    ) -> list[SpeedChange]:
        """Judge all endpoints; return the changes.

        :param kind_by_id: the pool's endpoints; what is known of others is dropped.
        :param usable: those that may get new tasks if their speed permits.
        """
        self._by_id = {id: state for id, state in self._by_id.items() if id in kind_by_id}
        before = {id: state.speed for id, state in self._by_id.items()}
        self._update_findings(now)
        for state in self._by_id.values():
            self._relax(state, now)
        self._take_back(kind_by_id, usable, now)
        self._eject_or_mark_slow(kind_by_id, usable, now)
        return [
            self._change(id, speed, now)
            for id, speed in before.items()
            if self._by_id[id].speed is not speed
        ]

    def _update_findings(self, now: float) -> None:
        for state in self._by_id.values():
            state.samples_by_task = {
                task: sample
                for task, sample in state.samples_by_task.items()
                if now - sample.at <= EVIDENCE_S
            }
        usual_by_queue = self._usual_by_queue()
        residuals_by_id = {
            id: _residuals_by_job(state.samples_by_task, usual_by_queue)
            for id, state in self._by_id.items()
        }
        spread = _spread([r for by_job in residuals_by_id.values() for r in by_job.values()])
        for id, state in self._by_id.items():
            state.finding = _finding(state.samples_by_task, residuals_by_id[id], spread, now)
            if state.finding.is_known:
                state.log_slowdown = state.finding.log_slowdown

    def _usual_by_queue(self) -> dict[QueueId, float]:
        """Return the median over endpoints of what each queue's tasks take."""
        values_by_queue: dict[QueueId, dict[EndpointId, list[float]]] = {}
        for id, state in self._by_id.items():
            for sample in state.samples_by_task.values():
                by_id = values_by_queue.setdefault(sample.queue, {})
                by_id.setdefault(id, []).append(sample.log_slowdown)
        return {
            queue: statistics.median(statistics.median(values) for values in by_id.values())
            for queue, by_id in values_by_queue.items()
            if len(by_id) >= MIN_ENDPOINTS
        }

    def _relax(self, state: _State, now: float) -> None:
        """End an ejection whose pause is over, or return an endpoint to normal."""
        finding = state.finding
        if state.speed is Speed.EJECTED and now >= state.ejected_until:
            state.samples_by_task = {}
            state.finding = _Finding()
            _set(state, Speed.PROBATION, now)
        elif state.speed is Speed.PROBATION and finding.tasks:
            if finding.log_slowdown < math.log(SLOW_FACTOR):
                _set(state, Speed.NORMAL, now)
        elif (
            state.speed is Speed.SLOW
            and finding.is_known
            and finding.log_slowdown < math.log(NORMAL_FACTOR)
        ):
            _set(state, Speed.NORMAL, now)
        is_held = state.speed in (Speed.SLOW, Speed.PROBATION)
        if is_held and now - max(state.since, state.evidence_at) > HOLD_S:
            _set(state, Speed.NORMAL, now)
        if state.speed is Speed.NORMAL and now - state.since > FORGIVEN_AFTER_S:
            state.pause_s = 0.0

    def _take_back(
        self,
        kind_by_id: Mapping[EndpointId, EndpointKind],
        usable: Collection[EndpointId],
        now: float,
    ) -> None:
        """Take back ejections beyond the pool's share, and those of the last that fit."""
        ejected = sorted(self._with(Speed.EJECTED), key=lambda id: -self._by_id[id].log_slowdown)
        for index, id in enumerate(ejected):
            if index >= _max_ejected(kind_by_id) or not self._has_substitute(
                id, kind_by_id, usable
            ):
                _set(self._by_id[id], Speed.SLOW, now)

    def _eject_or_mark_slow(
        self,
        kind_by_id: Mapping[EndpointId, EndpointKind],
        usable: Collection[EndpointId],
        now: float,
    ) -> None:
        by_slowdown = sorted(self._by_id.items(), key=lambda item: -item[1].finding.log_slowdown)
        for id, state in by_slowdown:
            if state.speed is Speed.EJECTED:
                continue
            if _is_for_ejection(state) and self._may_eject(id, kind_by_id, usable):
                state.pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * state.pause_s))
                state.ejected_until = now + state.pause_s
                state.log_slowdown = state.finding.log_slowdown
                _set(state, Speed.EJECTED, now)
            elif state.speed is Speed.NORMAL and state.finding.exceeds(SLOW_FACTOR):
                _set(state, Speed.SLOW, now)

    def _may_eject(
        self,
        id: EndpointId,
        kind_by_id: Mapping[EndpointId, EndpointKind],
        usable: Collection[EndpointId],
    ) -> bool:
        is_within_share = len(self._with(Speed.EJECTED)) < _max_ejected(kind_by_id)
        return is_within_share and self._has_substitute(id, kind_by_id, usable)

    def _with(self, speed: Speed) -> list[EndpointId]:
        return [id for id, state in self._by_id.items() if state.speed is speed]

    def _has_substitute(
        self,
        id: EndpointId,
        kind_by_id: Mapping[EndpointId, EndpointKind],
        usable: Collection[EndpointId],
    ) -> bool:
        return any(
            other != id
            and self.speed(other) is not Speed.EJECTED
            and kind_by_id[other].can_replace(kind_by_id[id])
            for other in usable
            if other in kind_by_id
        )

    def _change(self, id: EndpointId, before: Speed, now: float) -> SpeedChange:
        state = self._by_id[id]
        finding = state.finding
        return SpeedChange(
            id,
            before,
            state.speed,
            math.exp(finding.log_slowdown),
            math.exp(finding.log_needed),
            finding.tasks,
            finding.jobs,
            finding.newest_s,
            finding.oldest_s,
            state.pause_s if state.speed is Speed.EJECTED else 0.0,
        )


def hosts_for(needed: float, shares: Iterable[float]) -> float:
    """Return the hosts that a pool must have for the work of ``needed`` hosts of full speed.

    Slow hosts get work last. A pool whose others suffice needs no more, and one that lacks hosts
    needs as many more as its slow ones lose.

    :param shares: effective share of each present host.
    """
    shares = sorted(shares, reverse=True)
    if not shares or shares[-1] >= 1:
        return needed
    total = hosts = 0.0
    for share in shares:
        if total + share >= needed:
            return hosts + (needed - total) / share if share else hosts
        total += share
        hosts += 1
    return hosts + needed - total


def _set(state: _State, speed: Speed, now: float) -> None:
    state.speed = speed
    state.since = now


def _max_ejected(kind_by_id: Mapping[EndpointId, EndpointKind]) -> int:
    return int(MAX_EJECTED_SHARE * len(kind_by_id))


def _is_for_ejection(state: _State) -> bool:
    if state.speed is Speed.PROBATION:
        finding = state.finding
        return bool(finding.tasks) and finding.log_slowdown > math.log(EJECT_FACTOR)
    return state.finding.exceeds(EJECT_FACTOR)


def _residuals_by_job(
    samples_by_task: Mapping[TaskId, _Sample], usual_by_queue: Mapping[QueueId, float]
) -> dict[JobId, float]:
    """Return by how much each job's tasks exceed what is usual in their queue."""
    values_by_job: dict[JobId, list[float]] = {}
    for task, sample in samples_by_task.items():
        if sample.queue in usual_by_queue:
            value = sample.log_slowdown - usual_by_queue[sample.queue]
            values_by_job.setdefault(task.job, []).append(value)
    return {job: statistics.median_low(values) for job, values in values_by_job.items()}


def _spread(residuals: list[float]) -> float:
    """Return the standard deviation of the jobs' residuals, by their median absolute deviation."""
    if not residuals:
        return MIN_SPREAD
    middle = statistics.median(residuals)
    return max(MIN_SPREAD, MAD_TO_STDDEV * statistics.median(abs(r - middle) for r in residuals))


def _finding(
    samples_by_task: Mapping[TaskId, _Sample],
    residual_by_job: Mapping[JobId, float],
    spread: float,
    now: float,
) -> _Finding:
    if not residual_by_job:
        return _Finding()
    ages = [now - sample.at for task, sample in samples_by_task.items()]
    residuals = sorted(residual_by_job.values())
    return _Finding(
        residuals[int(LOW_QUARTILE * len(residuals))],
        Z_SCORE * spread / math.sqrt(len(residuals)),
        sum(task.job in residual_by_job for task in samples_by_task),
        len(residuals),
        min(ages),
        max(ages),
    )
