"""Calls of the ingress to the intake."""

import http.client
import threading

from testtools import TestCase

from lentilrill.ids import JobId, PoolId
from lentilrill.platform import Ingress
from lentilrill.telemetry import NoMetrics
from lentilrill.workloads import Job, JobAnswer
from tests.builders import a_configuration, an_address

BODY = b'{"spec":"text","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}'


class WaitingIntake:
    def __init__(self) -> None:
        self.waits: list[float | None] = []

    def submit(self, job: Job, wait_s: float | None = None) -> tuple[JobAnswer, float]:
        del job
        self.waits.append(wait_s)
        return JobAnswer.ACCEPTED, 0.0

    def cancel(self, pool: PoolId, job: JobId, wait_s: float | None = None) -> JobAnswer:
        del pool, job
        self.waits.append(wait_s)
        return JobAnswer.ACCEPTED


class IngressTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.intake = WaitingIntake()
        self.address = an_address()
        ingress = Ingress(self.address, 2, self.intake, a_configuration, lambda: False, NoMetrics())
        ingress.prepare()
        thread = threading.Thread(target=ingress.serve, daemon=True)
        thread.start()
        self.addCleanup(ingress.stop)

    def request(self, method: str, **headers: str) -> int:
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        self.addCleanup(connection.close)
        all_headers = {
            "Host": "braille.example",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        connection.request(method, "/proofs/" + "a" * 16, BODY, all_headers)
        return connection.getresponse().status

    def test_the_intake_gets_the_deadline_of_a_caller(self) -> None:
        """Guards against holding a caller beyond the deadline in its request."""
        for method in ("POST", "DELETE"):
            self.assertEqual(200, self.request(method, Deadline_Ms="1400"))
            wait_s = self.intake.waits.pop()
            assert wait_s is not None
            self.assertTrue(0.5 < wait_s <= 1.4, wait_s)

    def test_a_malformed_deadline_is_ignored(self) -> None:
        for malformed in ("", "soon", "-5", "1e3", "9" * 30):
            self.assertEqual(200, self.request("POST", Deadline_Ms=malformed))
        self.assertEqual(200, self.request("POST"))
        self.assertEqual([None] * 6, self.intake.waits)
