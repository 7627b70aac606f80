"""The attempts to run one job, and the problem to report if all of them fail."""

import msgspec

from lentilrill.gateway._problems import Outcome, Problem
from lentilrill.gateway._work import Work
from lentilrill.ids import HostId
from lentilrill.routing import Slot, Where
from lentilrill.telemetry import Event, log

__all__ = ["Lost", "NotSent", "Run"]


class NotSent(msgspec.Struct, frozen=True):
    """No byte of the job reached an endpoint, or the endpoint did not start it."""

    problem: Problem
    costs_budget: bool = True


class Lost(msgspec.Struct, frozen=True):
    """Bytes of the job were sent, and no complete response was received.

    :param paid: whether the retry budget was already charged for the retry.
    """

    problem: Problem
    paid: bool = False


class Run:
    """The failed attempts of one job."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.avoid: list[HostId] = []
        self.attempts = 0
        self.unstarted = 0
        self.spillable = not work.forwarded
        self.sent = False
        """Whether an endpoint may have received a byte of the job and may have run it."""
        self.body_used = False
        self._lost: Problem | None = None

    def note(self, result: NotSent | Lost, slot: Slot) -> None:
        """Record a failed attempt."""
        if isinstance(result, Lost):
            self._lost = result.problem
        else:
            self.sent = self._lost is not None
        if slot.where is Where.ZONE:
            self.spillable = False
        else:
            self.avoid.append(slot.host)

    def final(self, problem: Problem) -> Problem:
        """Return the problem to report when the last attempt ended with ``problem``.

        If an earlier attempt was lost, its outcome stays unknown although a retry did not run.
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
        # Invariant: "not_run" is never reported after a byte may have reached an endpoint.
        log(Event.INVARIANT_BROKEN, rule="not_run_after_send", request=self.work.request)
        return msgspec.structs.replace(problem, outcome=Outcome.UNKNOWN)
