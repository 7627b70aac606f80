"""Dispatch of jobs with an idempotency key, at most once for each key."""

import hashlib
import time

import msgspec

from lentilrill.gateway._caller import Caller
from lentilrill.gateway._dispatch import Dispatcher
from lentilrill.gateway._heading import Heading
from lentilrill.gateway._problems import CONTENT_TYPE, Outcome, Problem, ProblemKind
from lentilrill.gateway._work import Ending, Refused, Streamed, Whole, Work
from lentilrill.inner import ClaimState
from lentilrill.jobs import Claim, ClaimResult, Claims, Recorded

__all__ = ["KeyedJobs"]

CLAIM_WAIT_S = 5.0
RECORDED_BODY_BYTES = 4096
CONTENT_TYPE_CHARACTERS = 255
REPLAYED = ("Idempotency-Replayed", "true")
DIGEST_HEADERS = ("content-digest", "repr-digest", "digest")


class KeyedJobs:
    """Claims the key of a job before its dispatch, and records the response for repeats."""

    def __init__(self, claims: Claims, dispatcher: Dispatcher) -> None:
        self._claims = claims
        self._dispatcher = dispatcher

    def run(self, work: Work, caller: Caller) -> Ending:
        """Run a job, or return the state or response of the earlier job with its key."""
        if work.heading.key is None or work.forwarded:
            return self._dispatcher.run(work, caller)
        claim = Claim(
            request=work.request,
            plan=work.holder.plan.id,
            key=work.heading.key,
            fingerprint=fingerprint(work.heading, work.body),
        )
        left_s = work.start_by - time.monotonic()
        result = self._claims.claim(claim, min(left_s, CLAIM_WAIT_S))
        if result.state is not ClaimState.CLAIMED:
            return _unclaimed(result)
        return self._run_claimed(msgspec.structs.replace(work, claimed=True), claim, caller)

    def _run_claimed(self, work: Work, claim: Claim, caller: Caller) -> Ending:
        ending: Ending | None = None
        try:
            ending = self._dispatcher.run(work, caller)
            return ending
        finally:
            if isinstance(ending, Refused) and ending.problem.outcome is Outcome.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.record(claim, _recorded(ending))


def fingerprint(heading: Heading, body: bytes | None) -> str:
    """Return a digest of method, target and body, or of a streamed body's digest headers."""
    digest = hashlib.sha256(f"{heading.method}\n{heading.target}\n{heading.length}\n".encode())
    if body is None:
        for name in DIGEST_HEADERS:
            digest.update(heading.headers.get(name, "").encode() + b"\n")
    else:
        digest.update(body)
    return digest.hexdigest()


def _recorded(ending: Ending | None) -> Recorded:
    if isinstance(ending, Whole):
        content_type = dict(ending.headers).get("Content-Type", "")[:CONTENT_TYPE_CHARACTERS]
        small = len(ending.body) <= RECORDED_BODY_BYTES
        return Recorded(ending.status, content_type, ending.body if small else None)
    if isinstance(ending, Streamed) and ending.whole:
        return Recorded(ending.status, ending.content_type[:CONTENT_TYPE_CHARACTERS], None)
    problem = Problem(
        ProblemKind.LOST,
        "the job with this key was sent, and its answer was lost; it is not sent again",
        Outcome.UNKNOWN,
    )
    return Recorded(problem.kind.status, CONTENT_TYPE, problem.body())


def _unclaimed(result: ClaimResult) -> Ending:
    if result.state is ClaimState.RECORDED and result.recorded is not None:
        return _replayed(result.recorded)
    if result.state is ClaimState.IN_PROGRESS:
        return Refused(
            Problem(
                ProblemKind.IN_PROGRESS,
                "an earlier request holds this key; this one was not run, that one may have",
                Outcome.UNKNOWN,
                result.retry_after_s,
            )
        )
    if result.state is ClaimState.MISMATCH:
        detail = "the key was used for another method, path or body"
        return Refused(Problem(ProblemKind.MISMATCH, detail))
    detail = "the owner of the key, or the platform, does not answer"
    return Refused(Problem(ProblemKind.CLAIM, detail, retry_after_s=result.retry_after_s or 1.0))


def _replayed(recorded: Recorded) -> Ending:
    if recorded.body is None:
        # An empty body with the recorded status would look like the complete response.
        detail = f"the job with this key ran and was answered with status {recorded.status}"
        return Refused(Problem(ProblemKind.NOT_KEPT, detail, Outcome.RAN))
    headers = [REPLAYED]
    if recorded.content_type:
        headers.append(("Content-Type", recorded.content_type))
    return Whole(recorded.status, headers, recorded.body)
