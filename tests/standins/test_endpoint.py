"""Slots, record and faults of the endpoint stand-in."""

import hashlib
import threading

import urllib3
from testtools import TestCase
from urllib3.exceptions import HTTPError

from standins.endpoint import EndpointStandin

WAIT_S = 20.0


class EndpointStandinTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.endpoint = EndpointStandin(host="h7", slots=1)
        self.endpoint.start()
        self.addCleanup(self.endpoint.close)
        host, port = self.endpoint.address.split(":")
        self.http = urllib3.HTTPConnectionPool(host, int(port), retries=False, timeout=WAIT_S)
        self.addCleanup(self.http.close)

    def run_job(self, job: str = "j", body: bytes = b"page", **headers: str):
        sent = {"Standin-Job": job} | {k.replace("_", "-"): v for k, v in headers.items()}
        return self.http.request("POST", "/jobs", body=body, headers=sent)

    def test_a_job_is_run_and_recorded(self) -> None:
        answer = self.run_job("j1").json()
        self.assertEqual("h7", answer["host"])
        self.assertEqual(hashlib.sha256(b"page").hexdigest(), answer["sha256"])
        [run] = self.http.request("GET", "/standin/record").json()
        self.assertEqual(("j1", True), (run["job"], run["whole"]))

    def test_a_large_answer_is_whole(self) -> None:
        self.assertEqual(3_000_001, len(self.run_job(Standin_Answer_Bytes="3000001").data))

    def test_more_jobs_than_slots_are_counted(self) -> None:
        first = threading.Thread(target=self.run_job, kwargs={"Standin_Run_S": "0.5"})
        first.start()
        while not self.endpoint.record():
            threading.Event().wait(0.005)
        self.run_job("second")
        first.join(WAIT_S)
        self.assertEqual((1, 1), (self.endpoint.overcommitted, self.endpoint.max_running))

    def test_truncated_answers_are_seen_as_broken(self) -> None:
        self.endpoint.set_faults(truncate=1)
        self.assertRaises(HTTPError, self.run_job)
        self.assertFalse(self.endpoint.record()[0].whole)
        self.assertEqual(200, self.run_job().status)

    def test_faults_that_run_nothing(self) -> None:
        for fault in ("reset", "silent"):
            self.endpoint.set_faults(**{fault: True})
            self.assertRaises(
                HTTPError,
                self.http.request,
                "POST",
                "/jobs",
                body=b"",
                timeout=0.2,
                retries=False,
            )
            self.endpoint.set_faults(**{fault: False})
        self.endpoint.set_faults(fail=True)
        self.assertEqual(500, self.run_job().status)
        self.assertEqual([], self.endpoint.record())

    def test_leaving_refuses_new_jobs_and_finishes_those_in_flight(self) -> None:
        answers = []
        first = threading.Thread(
            target=lambda: answers.append(self.run_job("long", Standin_Run_S="0.4"))
        )
        first.start()
        while not self.endpoint.record():
            threading.Event().wait(0.005)
        self.endpoint.set_faults(leaving=True)
        refused = self.run_job("late")
        first.join(WAIT_S)
        self.assertEqual((503, "leaving"), (refused.status, refused.headers["Endpoint-State"]))
        self.assertEqual("leaving", answers[0].headers["Endpoint-State"])
        self.assertEqual(["long"], [run.job for run in self.endpoint.record()])

    def test_faults_over_http_are_checked(self) -> None:
        for body, status in ((b'{"fail": true}', 200), (b'{"fial": true}', 400), (b"[", 400)):
            answer = self.http.request("POST", "/standin/faults", body=body)
            self.assertEqual(status, answer.status)
        self.assertTrue(self.endpoint.faults.fail)
