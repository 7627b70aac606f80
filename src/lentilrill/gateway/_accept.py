"""Authorization of a request: token, service, size and deadlines."""

import msgspec

from lentilrill.gateway._forwarding import FORWARDED, Forwarder, Mark
from lentilrill.gateway._heading import Heading, is_idempotent
from lentilrill.gateway._limits import BUFFERED_BYTES, LONGEST_RUN_S
from lentilrill.gateway._plans import Holder, PlanBook
from lentilrill.gateway._problems import Problem, ProblemKind
from lentilrill.gateway._work import Work
from lentilrill.ids import RequestId

__all__ = ["Acceptance", "accept"]


class Acceptance(msgspec.Struct, frozen=True):
    """A request that its plan permits, before its body is read.

    :param mark: what another zone's gateway sent with it; ``None`` if a caller sent it.
    """

    request: RequestId
    heading: Heading
    holder: Holder
    mark: Mark | None

    def work(self, body: bytes, began: float) -> Work:
        """Return the job with its deadlines relative to ``began``, in monotonic seconds.

        :param body: the complete body, or the first part of a streamed one.
        """
        start_s, answer_s = self._within()
        whole = self.heading.length is None or len(body) == self.heading.length
        return Work(
            request=self.request,
            holder=self.holder,
            heading=self.heading,
            idempotent=is_idempotent(self.heading, self.holder.entitlement),
            body=body if whole else None,
            prefix=b"" if whole else body,
            start_by=began + start_s,
            answer_by=began + answer_s,
            forwarded=self.mark is not None,
            # The first gateway forwards a keyed job only after it claimed the key.
            claimed=self.mark is not None,
        )

    def _within(self) -> tuple[float, float]:
        if self.mark is not None:
            return self.mark.start_within_s, self.mark.answer_within_s
        wait_s = self.heading.wait_s
        if wait_s is not None:
            return wait_s, wait_s
        start_s = self.holder.plan.start_within_s
        return start_s, start_s + LONGEST_RUN_S


def accept(
    heading: Heading, request: RequestId, plans: PlanBook, forwarder: Forwarder
) -> Acceptance | Problem:
    """Return the authorized request, or the problem if it is refused."""
    holder = plans.find(heading.token)
    if holder is None:
        return Problem(ProblemKind.TOKEN, "no plan has this token")
    if holder.plan.service != heading.service:
        known = plans.serves(heading.service)
        kind = ProblemKind.SERVICE if known else ProblemKind.NO_SERVICE
        return Problem(kind, f"the plan is not for service {heading.service!r}")
    limit = holder.entitlement.largest_job_bytes
    if (heading.length or 0) > limit or (heading.length is None and limit < BUFFERED_BYTES):
        return Problem(ProblemKind.TOO_LARGE, f"the plan allows {limit} bytes a job")
    mark = None
    if FORWARDED in heading.headers:
        mark = forwarder.check(heading.headers[FORWARDED], heading.method, heading.target)
        if mark is None:
            return Problem(ProblemKind.MALFORMED, f"{FORWARDED} is for gateways only")
    return Acceptance(mark.request if mark else request, heading, holder, mark)
