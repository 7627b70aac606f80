"""Decoding of well-formed and malformed records and bodies of the platform."""

import msgspec
from returns.result import Failure
from testtools import TestCase

from lentilrill.execution import EndKind, ReportedRun, RunEnd, Verdict
from lentilrill.ids import JobId, WorkspaceId
from lentilrill.platform._endpoint_wire import decode_poll, refusal_verdict
from lentilrill.platform._job_wire import decode_job
from lentilrill.platform._records import decode_configuration, decode_endpoint, decode_wave
from lentilrill.workloads import Advice, Resources, TaskId
from tests.builders import a_configuration

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "holyoke",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "seq": 4,
}
MALFORMED_ENTRIES = (
    {"state": "resting"},
    {"state": 7},
    {"address": "nowhere"},
    {"address": "10.0.0.1:x"},
    {"capacity": "large"},
    {"labels": [1, 2]},
    {"service": None},
)


def encoded(value: object) -> bytes:
    return msgspec.json.encode(value)


class RecordsTest(TestCase):
    def test_endpoint(self) -> None:
        entry = decode_endpoint("servers/i-1", encoded(ENTRY))
        assert entry is not None
        self.assertEqual(("i-1", "huvo11a", "r1-3"), (entry.id, entry.pool, entry.rack))
        self.assertEqual(Resources(16000, 32768), entry.capacity)
        self.assertFalse(entry.draining)

    def test_malformed_entries_are_ignored(self) -> None:
        for malformed in MALFORMED_ENTRIES:
            self.assertIsNone(decode_endpoint("servers/i-1", encoded(ENTRY | malformed)), malformed)
        for raw in (b"", b"\xff\xfe", b"[]", b"null", b'{"service":'):
            self.assertIsNone(decode_endpoint("servers/i-1", raw))

    def test_malformed_operator_records_are_ignored(self) -> None:
        for raw in (b"", b"{}", b'{"version":"x"}', b"\xff"):
            self.assertIsNone(decode_configuration(raw))
            self.assertIsNone(decode_wave("op/wave/1", raw))


class PollWireTest(TestCase):
    def test_lists(self) -> None:
        raw = {
            "clock_ms": 7,
            "running": [["5c0e7a21d94b36f8.0.1.17", 2, "0bb8", 41, 12]],
            "ended": [
                [58, "5c0e7a21d94b36f8.0.1.9", 1, "done", "0cc9"],
                [59, "a.0.0.0", 3, "new", ""],
            ],
        }
        poll = decode_poll(encoded(raw))
        job = JobId("5c0e7a21d94b36f8")
        self.assertEqual((Verdict.DONE, 7), (poll.verdict, poll.clock_ms))
        self.assertEqual((ReportedRun(TaskId(job, 0, 1, 17), 2, "0bb8", 41, 12),), poll.running)
        self.assertEqual(
            (
                RunEnd(58, TaskId(job, 0, 1, 9), 1, EndKind.DONE, "0cc9"),
                RunEnd(59, TaskId(JobId("a"), 0, 0, 0), 3, EndKind.UNEXPECTED, ""),
            ),
            poll.ended,
        )

    def test_a_malformed_row_invalidates_the_poll(self) -> None:
        """Guards against a second start of a task because the row of its run was truncated."""
        for row in (["x"], ["a.b.c.d", 1, "", 0], "text", [None, 1, "", 0]):
            poll = decode_poll(encoded({"clock_ms": 7, "running": [row]}))
            self.assertIs(Verdict.UNKNOWN, poll.verdict, row)
        self.assertIs(Verdict.UNKNOWN, decode_poll(b"{").verdict)

    def test_refusals(self) -> None:
        self.assertIs(Verdict.FENCED, refusal_verdict(409, b'{"reason":"fence"}'))
        self.assertIs(Verdict.OUTDATED, refusal_verdict(409, b'{"reason":"old"}'))
        self.assertIs(Verdict.INVALID, refusal_verdict(409, b"?"))
        self.assertIs(Verdict.WRONG_INSTANCE, refusal_verdict(421, b""))
        self.assertIs(Verdict.BUSY, refusal_verdict(503, b""))
        self.assertIs(Verdict.UNKNOWN, refusal_verdict(500, b""))


class JobWireTest(TestCase):
    def test_a_job_keeps_the_terms_of_its_queue(self) -> None:
        """Guards against a job that loses its queue's advice or priority with its route."""
        queue = a_configuration(advice=Advice(60, 15, 1500), priority=1).queues[0]
        body = b'{"spec":"text","steps":[{"count":1}]}'
        job = decode_job(JobId("a" * 16), queue, WorkspaceId(""), body, 0).unwrap()
        self.assertEqual(queue.terms, job.terms)
        self.assertEqual((True, 1), (queue.terms.is_advised, queue.terms.priority))

    def decode(self, body: object) -> object:
        [queue] = a_configuration().queues
        raw = body if isinstance(body, bytes) else encoded(body)
        return decode_job(JobId("a" * 16), queue, WorkspaceId("schools"), raw, 5)

    def test_job(self) -> None:
        steps = [{"count": 2, "cpu": 5}, {"count": 1, "after": [0], "long_running": True}]
        job = self.decode({"spec": "x", "steps": steps}).unwrap()
        self.assertEqual(("proofs", "notices", 5), (job.queue, job.pool, job.accepted_ms))
        self.assertEqual("schools", job.workspace)
        self.assertTrue(job.steps[1].lasting)

    def test_malformed_jobs_are_refused(self) -> None:
        steps = [{"count": 1}]
        for body in (
            b"",
            b"[]",
            b"\xff",
            {"spec": 1, "steps": steps},
            {"spec": "x", "steps": []},
            {"spec": "x", "steps": [{"count": 0}]},
            {"spec": "x", "steps": [{"count": 1, "after": [0]}]},
            {"spec": "x", "steps": [{"count": 10**9}]},
            {"spec": "x", "steps": steps, "repeat_count": 10**6},
            {"spec": "x", "steps": [{"count": 1, "cpu": -1}]},
            {"spec": "x", "steps": [{"count": 1, "mem_mb": 2**64}]},
            {"spec": "x", "steps": steps, "interval_ms": -(2**64)},
        ):
            self.assertIsInstance(self.decode(body), Failure, body)
