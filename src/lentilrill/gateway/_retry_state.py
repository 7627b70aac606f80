"""The attempts to run one job, and the problem to report if all of them fail."""

import msgspec

from lentilrill.gateway._accepted_job import AcceptedJob
from lentilrill.gateway._problems import Outcome, Problem
from lentilrill.ids import HostId
from lentilrill.routing import Slot, SlotTarget
from lentilrill.telemetry import Event, log

__all__ = ["NotSent", "ResponseLost", "RetryState"]


class NotSent(msgspec.Struct, frozen=True):
    """No byte of the job reached an endpoint, or the endpoint did not start it."""

    problem: Problem
    costs_budget: bool = True


class ResponseLost(msgspec.Struct, frozen=True):
    """Bytes of the job were sent, and no complete response was received.

    :param budget_charged: whether the retry budget was already charged for the retry.
    """

    problem: Problem
    budget_charged: bool = False


class RetryState:
    """The failed attempts of one job."""

    def __init__(self, job: AcceptedJob) -> None:
        self.job = job
        self.avoid: list[HostId] = []
        self.attempts = 0
        self.unstarted = 0
        self.spillable = not job.forwarded
        self.sent = False
        """Whether an endpoint may have received a byte of the job and may have run it."""
        self.body_consumed = False
        self._lost_problem: Problem | None = None

    def record_failure(self, result: NotSent | ResponseLost, slot: Slot) -> None:
        """Record a failed attempt."""
        if isinstance(result, ResponseLost):
            self._lost_problem = result.problem
        else:
            self.sent = self._lost_problem is not None
        if slot.target is SlotTarget.ZONE:
            self.spillable = False
        else:
            self.avoid.append(slot.host)

    def final_problem(self, problem: Problem) -> Problem:
        """Return the problem to report when the last attempt ended with ``problem``.

        If an earlier attempt was lost, its outcome stays unknown although a retry did not run.
        """
        if problem.outcome is Outcome.UNKNOWN:
            return problem
        if self._lost_problem is None:
            return self._verify_not_run(problem)
        return msgspec.structs.replace(
            self._lost_problem, detail=f"{self._lost_problem.detail}; then: {problem.detail}"
        )

    def _verify_not_run(self, problem: Problem) -> Problem:
        if not self.sent:
            return problem
        # Invariant: "not_run" is never reported after a byte may have reached an endpoint.
        log(Event.INVARIANT_BROKEN, rule="not_run_after_send", request=self.job.request)
        return msgspec.structs.replace(problem, outcome=Outcome.UNKNOWN)
