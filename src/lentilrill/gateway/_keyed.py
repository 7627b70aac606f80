"""Dispatch of jobs with an idempotency key, at most once for each key."""

import hashlib
import time

import msgspec

from lentilrill.gateway._accepted_job import (
    AcceptedJob,
    BufferedResponse,
    JobResult,
    ProblemResponse,
    StreamedResponse,
)
from lentilrill.gateway._caller import Caller
from lentilrill.gateway._dispatch import Dispatcher
from lentilrill.gateway._problems import CONTENT_TYPE, Outcome, Problem, ProblemKind
from lentilrill.gateway._request_head import RequestHead
from lentilrill.inner import ClaimState
from lentilrill.jobs import Claim, ClaimResult, Claims, RecordedResponse

__all__ = ["KeyedDispatcher"]

MAX_CLAIM_WAIT_S = 5.0
MAX_RECORDED_BODY_BYTES = 4096
MAX_CONTENT_TYPE_CHARACTERS = 255
REPLAYED_HEADER = ("Idempotency-Replayed", "true")
DIGEST_HEADERS = ("content-digest", "repr-digest", "digest")


class KeyedDispatcher:
    """Claims the key of a job before its dispatch, and records the response for repeats."""

    def __init__(self, claims: Claims, dispatcher: Dispatcher) -> None:
        self._claims = claims
        self._dispatcher = dispatcher

    def run(self, job: AcceptedJob, caller: Caller) -> JobResult:
        """Run a job, or return the state or response of the earlier job with its key."""
        if job.request_head.key is None or job.forwarded:
            return self._dispatcher.run(job, caller)
        claim = Claim(
            request=job.request,
            plan=job.access.plan.id,
            key=job.request_head.key,
            fingerprint=fingerprint(job.request_head, job.body),
        )
        left_s = job.start_by - time.monotonic()
        result = self._claims.claim(claim, min(left_s, MAX_CLAIM_WAIT_S))
        if result.state is not ClaimState.CLAIMED:
            return _unclaimed_result(result)
        return self._run_claimed(msgspec.structs.replace(job, claimed=True), claim, caller)

    def _run_claimed(self, job: AcceptedJob, claim: Claim, caller: Caller) -> JobResult:
        result: JobResult | None = None
        try:
            result = self._dispatcher.run(job, caller)
            return result
        finally:
            if isinstance(result, ProblemResponse) and result.problem.outcome is Outcome.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.record(claim, _to_recorded(result))


def fingerprint(request_head: RequestHead, body: bytes | None) -> str:
    """Return a digest of method, target and body, or of a streamed body's digest headers."""
    digest = hashlib.sha256(
        f"{request_head.method}\n{request_head.target}\n{request_head.length}\n".encode()
    )
    if body is None:
        for name in DIGEST_HEADERS:
            digest.update(request_head.headers.get(name, "").encode() + b"\n")
    else:
        digest.update(body)
    return digest.hexdigest()


def _to_recorded(result: JobResult | None) -> RecordedResponse:
    if isinstance(result, BufferedResponse):
        content_type = dict(result.headers).get("Content-Type", "")[:MAX_CONTENT_TYPE_CHARACTERS]
        small = len(result.body) <= MAX_RECORDED_BODY_BYTES
        return RecordedResponse(result.status, content_type, result.body if small else None)
    if isinstance(result, StreamedResponse) and result.complete:
        return RecordedResponse(
            result.status, result.content_type[:MAX_CONTENT_TYPE_CHARACTERS], None
        )
    problem = Problem(
        ProblemKind.LOST,
        "the job with this key was sent, and its answer was lost; it is not sent again",
        Outcome.UNKNOWN,
    )
    return RecordedResponse(problem.kind.status, CONTENT_TYPE, problem.body())


def _unclaimed_result(result: ClaimResult) -> JobResult:
    if result.state is ClaimState.RECORDED and result.recorded is not None:
        return _replay(result.recorded)
    if result.state is ClaimState.IN_PROGRESS:
        return ProblemResponse(
            Problem(
                ProblemKind.IN_PROGRESS,
                "an earlier request holds this key; this one was not run, that one may have",
                Outcome.UNKNOWN,
                result.retry_after_s,
            )
        )
    if result.state is ClaimState.MISMATCH:
        detail = "the key was used for another method, path or body"
        return ProblemResponse(Problem(ProblemKind.MISMATCH, detail))
    detail = "the owner of the key, or the platform, does not answer"
    return ProblemResponse(
        Problem(ProblemKind.CLAIM, detail, retry_after_s=result.retry_after_s or 1.0)
    )


def _replay(recorded: RecordedResponse) -> JobResult:
    if recorded.body is None:
        # An empty body with the recorded status would look like the complete response.
        detail = f"the job with this key ran and was answered with status {recorded.status}"
        return ProblemResponse(Problem(ProblemKind.NOT_KEPT, detail, Outcome.RAN))
    headers = [REPLAYED_HEADER]
    if recorded.content_type:
        headers.append(("Content-Type", recorded.content_type))
    return BufferedResponse(recorded.status, headers, recorded.body)
