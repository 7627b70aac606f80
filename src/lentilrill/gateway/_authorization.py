"""Authorization of a request: token, service, size and deadlines."""

import msgspec

from lentilrill.gateway._accepted_job import AcceptedJob
from lentilrill.gateway._forwarding import FORWARDED_HEADER, ForwardingSigner, ForwardingToken
from lentilrill.gateway._limits import DEFAULT_RUN_TIMEOUT_S, MAX_BUFFERED_BYTES
from lentilrill.gateway._plans import PlanAccess, PlanDirectory
from lentilrill.gateway._problems import Problem, ProblemKind
from lentilrill.gateway._request_head import RequestHead, is_idempotent
from lentilrill.ids import RequestId

__all__ = ["AuthorizedRequest", "authorize"]


class AuthorizedRequest(msgspec.Struct, frozen=True):
    """A request that its plan permits, before its body is read.

    :param forwarding_token: token of a forwarded request; ``None`` if a caller sent it.
    """

    request: RequestId
    request_head: RequestHead
    access: PlanAccess
    forwarding_token: ForwardingToken | None

    def to_job(self, body: bytes, began: float) -> AcceptedJob:
        """Return the job with its deadlines relative to ``began``, in monotonic seconds.

        :param body: the complete body, or the first part of a streamed one.
        """
        start_s, answer_s = self._time_limits_s()
        is_complete = self.request_head.length is None or len(body) == self.request_head.length
        return AcceptedJob(
            request=self.request,
            access=self.access,
            request_head=self.request_head,
            idempotent=is_idempotent(self.request_head, self.access.entitlement),
            body=body if is_complete else None,
            body_prefix=b"" if is_complete else body,
            start_by=began + start_s,
            answer_by=began + answer_s,
            forwarded=self.forwarding_token is not None,
            # The first gateway forwards a keyed job only after it claimed the key.
            claimed=self.forwarding_token is not None,
        )

    def _time_limits_s(self) -> tuple[float, float]:
        if self.forwarding_token is not None:
            return self.forwarding_token.start_within_s, self.forwarding_token.answer_within_s
        wait_s = self.request_head.wait_s
        if wait_s is not None:
            return wait_s, wait_s
        start_s = self.access.plan.start_within_s
        return start_s, start_s + DEFAULT_RUN_TIMEOUT_S


def authorize(
    request_head: RequestHead, request: RequestId, plans: PlanDirectory, forwarder: ForwardingSigner
) -> AuthorizedRequest | Problem:
    """Return the authorized request, or the problem if it is refused."""
    access = plans.find_by_token(request_head.token)
    if access is None:
        return Problem(ProblemKind.TOKEN, "no plan has this token")
    if access.plan.service != request_head.service:
        is_known = plans.has_service(request_head.service)
        kind = ProblemKind.SERVICE if is_known else ProblemKind.NO_SERVICE
        return Problem(kind, f"the plan is not for service {request_head.service!r}")
    limit = access.entitlement.largest_job_bytes
    if (request_head.length or 0) > limit or (
        request_head.length is None and limit < MAX_BUFFERED_BYTES
    ):
        return Problem(ProblemKind.TOO_LARGE, f"the plan allows {limit} bytes a job")
    forwarding_token = None
    if FORWARDED_HEADER in request_head.headers:
        forwarding_token = forwarder.verify(
            request_head.headers[FORWARDED_HEADER], request_head.method, request_head.target
        )
        if forwarding_token is None:
            return Problem(ProblemKind.MALFORMED, f"{FORWARDED_HEADER} is for gateways only")
    return AuthorizedRequest(
        forwarding_token.request if forwarding_token else request,
        request_head,
        access,
        forwarding_token,
    )
