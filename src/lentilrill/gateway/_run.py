"""What is known of a job's tries so far."""

import msgspec

from lentilrill.gateway._problems import Outcome, Problem
from lentilrill.gateway._work import Work
from lentilrill.ids import HostId
from lentilrill.routing import Slot, SlotTarget
from lentilrill.telemetry import Event, log

__all__ = ["Lost", "NotSent", "Run"]


class NotSent(msgspec.Struct, frozen=True):
    """Nothing of the job reached an endpoint, or the endpoint did not begin it."""

    problem: Problem
    costs_budget: bool = True


class Lost(msgspec.Struct, frozen=True):
    """Bytes of the job went out, and there is no whole answer.

    :param paid: whether the retry was already taken from the budget.
    """

    problem: Problem
    paid: bool = False


class Run:
    """The tries of one job, and what may be said of it at the end."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.avoid: list[HostId] = []
        self.attempts = 0
        self.unstarted = 0
        self.spillable = not work.forwarded
        self.sent = False
        """Whether a byte of the job may have gone out in a try that did not prove otherwise."""
        self.body_used = False
        self._lost: Problem | None = None

    def note(self, result: NotSent | Lost, slot: Slot) -> None:
        """Remember a try that failed."""
        if isinstance(result, Lost):
            self._lost = result.problem
        else:
            self.sent = self._lost is not None
        if slot.target is SlotTarget.ZONE:
            self.spillable = False
        else:
            self.avoid.append(slot.host)

    def final(self, problem: Problem) -> Problem:
        """Return what the caller must be told when the last try ended with ``problem``.

        A retry that was not run proves nothing of an earlier try that was lost.
        """
        if problem.outcome is Outcome.UNKNOWN:
            return problem
        if self._lost is None:
            return self._proved(problem)
        return msgspec.structs.replace(
            self._lost, detail=f"{self._lost.detail}; then: {problem.detail}"
        )

    def _proved(self, problem: Problem) -> Problem:
        if not self.sent:
            return problem
        # Invariant: "not_run" is never said after a byte may have reached an endpoint.
        log(Event.INVARIANT_BROKEN, rule="not_run_after_send", request=self.work.request)
        return msgspec.structs.replace(problem, outcome=Outcome.UNKNOWN)
