"""The checks of the matrix find each kind of violation; schedules depend on the seed only."""

import hashlib
import json

from testtools import TestCase

from tests.matrix._world import WAIT_S, Answer, Job, Results
from tests.soak import schedule

ONCE = Job("j", "schools", b"page", idempotent=False)
AGAIN = Job("j", "schools", b"page")
KEYED = Job("j", "schools", b"page", idempotent=False, key="k")
VOLUME = Job("j", "schools", b"page", answer_bytes=9)


def whole(job: Job) -> bytes:
    digest = hashlib.sha256(job.body).hexdigest()
    return json.dumps({"sha256": digest, "job": job.name}).encode()


def an_answer(job: Job, status: int = 200, outcome: str = "", **changes) -> Answer:
    values = {"body": whole(job) if status == 200 else b"", "began": 0.0, "ended": 1.0}
    return Answer(job, status, outcome=outcome, **values | changes)


class JudgeTest(TestCase):
    def failures(self, *answers: Answer, runs: int = 1) -> list[str]:
        results = Results()
        for answer in answers:
            results.add(answer)
        return results.find_failures([("h", {"job": "j"})] * runs)

    def test_what_is_right_passes(self) -> None:
        self.assertEqual([], self.failures(an_answer(ONCE)))
        self.assertEqual([], self.failures(an_answer(AGAIN), runs=2))
        self.assertEqual([], self.failures(an_answer(ONCE, 503, "not_run"), runs=0))
        self.assertEqual([], self.failures(an_answer(ONCE, 502, "unknown")))
        self.assertEqual([], self.failures(an_answer(VOLUME, body=b"x" * 9)))
        repeats = (an_answer(KEYED, 503, "not_run"), an_answer(KEYED))
        self.assertEqual([], self.failures(*repeats))

    def test_each_broken_promise_is_found(self) -> None:
        cases = {
            "another's": (an_answer(ONCE, body=whole(Job("k", "schools", b"x"))), 1),
            "truncated": (an_answer(VOLUME, body=b"x" * 8), 1),
            "200 without a run": (an_answer(ONCE), 0),
            "not_run that ran": (an_answer(ONCE, 503, "not_run"), 1),
            "ran twice": (an_answer(ONCE, 502, "unknown"), 2),
            "keyed, ran twice": (an_answer(KEYED), 2),
            "keyed, never told but ran": (an_answer(KEYED, 503, "not_run"), 1),
            "too late": (an_answer(ONCE, ended=3.0 * WAIT_S), 1),
        }
        missed = [
            name for name, (answer, runs) in cases.items() if not self.failures(answer, runs=runs)
        ]
        self.assertEqual([], missed)

    def test_a_seed_gives_one_schedule(self) -> None:
        names = [[event.injection.name for event in schedule(7, 60.0)] for _ in range(2)]
        self.assertEqual(names[0], names[1])
        self.assertNotEqual(names[0], [event.injection.name for event in schedule(8, 60.0)])
