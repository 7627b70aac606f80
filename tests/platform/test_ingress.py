"""Calls of the ingress to the intake, and the keys of callers."""

import http.client
import json
import threading
from unittest import mock

from msgspec.structs import replace
from testtools import TestCase

from lentilrill.ids import JobId, PoolId, WorkspaceId
from lentilrill.platform import Ingress, _ingress
from lentilrill.telemetry import Event, NoMetrics
from lentilrill.workloads import FailureCause, Job, JobAnswer, JobState
from tests.builders import a_configuration, an_address, some_workspaces

BODY = b'{"spec":"text","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}'
KEY = "letter-opener"


class RecordingIntake:
    """Accepts everything, and records the timeouts and workspaces of the requests."""

    def __init__(self) -> None:
        self.state, self.cause = JobState.QUEUED, FailureCause.NONE
        self.waits: list[float | None] = []
        self.workspaces: list[WorkspaceId] = []

    def submit(self, job: Job, wait_s: float | None = None) -> tuple[JobAnswer, float]:
        self.waits.append(wait_s)
        self.workspaces.append(job.workspace)
        return JobAnswer.ACCEPTED, 0.0

    def cancel(
        self, pool: PoolId, workspace: WorkspaceId, job: JobId, wait_s: float | None = None
    ) -> JobAnswer:
        del pool, job
        self.waits.append(wait_s)
        self.workspaces.append(workspace)
        return JobAnswer.ACCEPTED

    def get_state(
        self, pool: PoolId, workspace: WorkspaceId, job: JobId
    ) -> tuple[JobAnswer, JobState | None, FailureCause]:
        del pool, job
        self.workspaces.append(workspace)
        return JobAnswer.ACCEPTED, self.state, self.cause


class _IngressCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.intake = RecordingIntake()
        self.address = an_address()
        self.configuration = a_configuration()
        self.is_out_of_date = False
        ingress = Ingress(
            self.address,
            2,
            self.intake,
            lambda queue: 0,
            lambda: self.configuration,
            lambda: False,
            NoMetrics(),
            lambda: self.is_out_of_date,
        )
        ingress.prepare()
        thread = threading.Thread(target=ingress.serve, daemon=True)
        thread.start()
        self.addCleanup(ingress.stop)

    def request(self, method: str, *keys: str | bytes, name: str = "a" * 16, **headers: str) -> int:
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        self.addCleanup(connection.close)
        connection.putrequest(method, f"/proofs/{name}", skip_host=True)
        connection.putheader("Host", "braille.example")
        for header, value in headers.items():
            connection.putheader(header.replace("_", "-"), value)
        for key in keys:
            connection.putheader("Key", key)
        connection.putheader("Content-Length", str(len(BODY)))
        connection.endheaders(BODY)
        answer = connection.getresponse()
        self.body = answer.read()
        return answer.status


class IngressTest(_IngressCase):
    def test_the_intake_gets_the_deadline_of_a_caller(self) -> None:
        """Guards against holding a caller beyond the deadline in its request."""
        for method in ("POST", "DELETE"):
            self.assertEqual(200, self.request(method, Deadline_Ms="1400"))
            wait_s = self.intake.waits.pop()
            assert wait_s is not None
            self.assertTrue(0.5 < wait_s <= 1.4, wait_s)

    def test_a_failed_job_is_shown_with_its_cause(self) -> None:
        """Callers of a failed job couldn't tell whether its tasks had crashed their endpoints."""
        self.intake.state, self.intake.cause = JobState.FAILED, FailureCause.CRASHES
        self.assertEqual(200, self.request("GET"))
        self.assertEqual(b'{"state":"failed","cause":"crashes"}', self.body)

    def test_a_malformed_deadline_is_ignored(self) -> None:
        for malformed in ("", "soon", "-5", "1e3", "9" * 30):
            self.assertEqual(200, self.request("POST", Deadline_Ms=malformed))
        self.assertEqual(200, self.request("POST"))
        self.assertEqual([None] * 6, self.intake.waits)

    def test_no_key_is_needed_where_there_are_no_workspaces(self) -> None:
        """Guards against refusing callers of a deployment whose configuration names no keys."""
        self.assertEqual(200, self.request("POST"))
        self.assertEqual(200, self.request("POST", KEY))
        self.assertEqual(["", ""], self.intake.workspaces)


class KeyTest(_IngressCase):
    def setUp(self) -> None:
        super().setUp()
        self.workspaces = some_workspaces(schools=KEY, library="paper-knife")
        self.configuration = replace(a_configuration(), workspaces=self.workspaces)

    def test_a_caller_acts_for_the_workspace_of_its_key(self) -> None:
        for method in ("POST", "GET", "DELETE"):
            self.assertEqual(200, self.request(method, KEY))
        self.assertEqual(["schools"] * 3, self.intake.workspaces)
        self.assertEqual(200, self.request("GET", KEY, name=""))

    def test_a_request_without_one_valid_key_is_refused(self) -> None:
        """Guards against running jobs of callers who hold no key, on any method."""
        refused: list[tuple[str | bytes, ...]] = [
            (),
            ("",),
            ("letter-opene",),
            (KEY, "paper-knife"),
            ("paper-knife", KEY),
            (KEY, KEY),
            ("k" * 300,),
            (b"\xff\xfe",),
            (f"{KEY}, paper-knife",),
        ]
        bodies = set()
        for keys in refused:
            for method in ("POST", "GET", "DELETE", "PUT"):
                self.assertEqual(401, self.request(method, *keys), (method, keys))
                bodies.add(self.body)
            self.assertEqual(401, self.request("GET", *keys, name=""), keys)
        self.assertEqual([], self.intake.workspaces)
        self.assertEqual({b"{}"}, bodies)

    def test_a_public_queue_needs_no_key(self) -> None:
        self.configuration = replace(
            a_configuration(public=True), workspaces=some_workspaces(schools=KEY)
        )
        self.assertEqual(200, self.request("POST"))
        self.assertEqual(200, self.request("POST", "unknown"))
        self.assertEqual(["", ""], self.intake.workspaces)

    def test_a_host_out_of_date_does_not_call_a_key_unknown(self) -> None:
        """Guards against a final refusal of a new key by a host cut off from the store."""
        self.is_out_of_date = True
        self.assertEqual(503, self.request("POST", "added-since"))
        self.assertEqual(401, self.request("POST"))
        self.assertEqual(200, self.request("POST", KEY))

    def test_a_key_taken_away_is_refused_by_the_next_request(self) -> None:
        self.assertEqual(200, self.request("GET", KEY))
        self.configuration = replace(
            a_configuration(2), workspaces=some_workspaces(library="paper-knife")
        )
        self.assertEqual(401, self.request("GET", KEY))

    def test_no_key_appears_in_the_log(self) -> None:
        """Guards against log files from which callers' keys can be taken."""
        with mock.patch.object(_ingress, "log") as log:
            self.request("POST", "letter-opener-2")
        [call] = log.call_args_list
        self.assertIs(Event.KEY_REFUSED, call.args[0])
        self.assertEqual("unknown", call.kwargs["reason"])
        self.assertNotIn("letter", json.dumps(call.kwargs))
        self.assertEqual(8, len(call.kwargs["key"]))
