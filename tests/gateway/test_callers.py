"""Callers that disconnect, draining, jobs with a key, and forwarding to another zone."""

import queue
import socket
import threading
import time
from typing import Any

from lentilrill.gateway._forwarding import FORWARDED_HEADER, ForwardingSigner, ForwardingToken
from lentilrill.gateway._keyed import fingerprint
from lentilrill.gateway._request_head import RequestHead
from lentilrill.ids import RequestId, ServiceId
from lentilrill.inner import ClaimState, Verdict
from lentilrill.jobs import ClaimResult, RecordedResponse
from lentilrill.routing import SlotTarget
from tests import builders
from tests.gateway.fakes import WAIT_S, Answer, GatewayTestCase, ok

HEAD = b"GET /schools/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-schools\r\n\r\n"


class LeavingCallerTest(GatewayTestCase):
    def a_waiting_caller(self, extra: bytes = b"") -> socket.socket:
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), WAIT_S)
        self.addCleanup(sock.close)
        sock.sendall(HEAD + extra)
        return sock

    def test_a_waiting_caller_that_leaves_is_abandoned(self) -> None:
        # A caller disconnects while its job waits for a slot. The job must leave the queue at
        # once, and not only when it would have started.
        self.slots.hold = True
        gateway = self.a_gateway()
        caller = self.a_waiting_caller()
        request = self.slots.waiting.get(timeout=WAIT_S)
        caller.close()
        self.assertEqual(request, self.slots.abandoned.get(timeout=WAIT_S))
        self.assertTrue(gateway.drain())

    def test_a_leaving_caller_is_seen_behind_unread_bytes(self) -> None:
        # The caller has pipelined its next request when it disconnects. A peek at the socket
        # would return data and not the end of the stream.
        self.slots.hold = True
        self.a_gateway()
        caller = self.a_waiting_caller(extra=HEAD)
        request = self.slots.waiting.get(timeout=WAIT_S)
        caller.close()
        self.assertEqual(request, self.slots.abandoned.get(timeout=WAIT_S))

    def test_waves_of_leaving_callers(self) -> None:
        # Hundreds of callers disconnect at once, while others stay connected. Exactly the
        # requests of those that disconnected must be abandoned.
        self.slots.hold = True
        self.a_gateway(threads=300)
        leaving = [self.a_waiting_caller() for _ in range(200)]
        gone = {self.slots.waiting.get(timeout=WAIT_S) for _ in leaving}
        staying = [self.a_waiting_caller() for _ in range(20)]
        stayed = {self.slots.waiting.get(timeout=WAIT_S) for _ in staying}
        for caller in leaving:
            caller.close()
        seen = {self.slots.abandoned.get(timeout=WAIT_S) for _ in leaving}
        self.assertEqual(gone, seen)
        self.assertRaises(queue.Empty, self.slots.abandoned.get, timeout=0.3)
        for request in stayed:
            self.slots.abandon(request)

    def test_a_refusal_does_not_wait_behind_held_callers(self) -> None:
        # All threads except the reserved ones are in use. One more caller must be refused at
        # once, with Retry-After.
        self.slots.hold = True
        self.a_gateway(threads=20)
        for _ in range(4):
            self.a_waiting_caller()
            self.slots.waiting.get(timeout=WAIT_S)
        answer = self.call()
        self.assertEqual((503, "not_run"), (answer.status, answer.outcome))
        self.assertIn("Retry-After", answer.headers)
        for request in list(self.slots._gates_by_request):
            self.slots.abandon(request)


class DrainTest(GatewayTestCase):
    def test_a_drain_cuts_off_no_request(self) -> None:
        # A planned stop begins while a job runs. The job must finish, new jobs must be refused,
        # and the drain must end only after that.
        finish = threading.Event()

        def script(sock: socket.socket, request: bytes) -> None:
            finish.wait(WAIT_S)
            sock.sendall(ok(b"volume"))

        endpoint = self.an_endpoint(script)
        gateway = self.a_gateway()
        answers: list[Answer] = []
        caller = threading.Thread(target=lambda: answers.append(self.call("POST", body=b"x")))
        caller.start()
        endpoint.arrived.get(timeout=WAIT_S)
        drained: list[bool] = []
        drain = threading.Thread(target=lambda: drained.append(gateway.drain()))
        drain.start()
        while gateway.accepts_jobs:
            time.sleep(0.001)
        refused = self.call("POST", body=b"y")
        self.assertEqual((503, "not_run"), (refused.status, refused.outcome))
        self.assertEqual([], drained)
        finish.set()
        caller.join(WAIT_S)
        drain.join(WAIT_S)
        self.assertEqual((200, b"volume"), (answers[0].status, answers[0].body))
        self.assertEqual([True], drained)

    def test_jobs_are_taken_until_the_balancer_has_noticed(self) -> None:
        # The load balancer probes once a second and sends callers here until it has received a
        # 503. If jobs were refused at once, a planned stop would cause errors.
        self.an_endpoint()
        gateway = self.a_gateway(drain_notice_s=WAIT_S)
        drain = threading.Thread(target=gateway.drain)
        drain.start()
        while gateway.ready:
            time.sleep(0.001)
        self.assertEqual(503, self.call(path="/readyz").status)
        self.assertEqual(200, self.call("POST", body=b"x").status)
        gateway.close()
        drain.join(WAIT_S)

    def test_an_endless_request_does_not_block_close(self) -> None:
        # An endpoint never answers and the drain times out. Closing must not block, and the
        # caller must be told that the outcome is unknown.
        endpoint = self.an_endpoint(lambda sock, request: None)
        gateway = self.a_gateway(drain_s=0.1)
        answers: list[Answer] = []
        caller = threading.Thread(target=lambda: answers.append(self.call("POST", body=b"x")))
        caller.start()
        endpoint.arrived.get(timeout=WAIT_S)
        self.assertFalse(gateway.drain())
        gateway.close()
        caller.join(WAIT_S)
        self.assertEqual((502, "unknown"), (answers[0].status, answers[0].outcome))


class KeyedTest(GatewayTestCase):
    def keyed(self, key: str = "k1", **headers: Any) -> Answer:
        return self.call("POST", body=b"order", Idempotency_Key=key, **headers)

    def test_an_outcome_is_recorded_and_replayed(self) -> None:
        endpoint = self.an_endpoint()
        self.a_gateway()
        self.assertEqual(b"done", self.keyed().body)
        again = self.keyed()
        self.assertEqual((200, b"done"), (again.status, again.body))
        self.assertEqual("true", again.headers["Idempotency-Replayed"])
        self.assertEqual(1, len(endpoint.requests))

    def test_no_claim_no_dispatch(self) -> None:
        # The key can't be claimed. Whatever the reason, a job with the key may be running
        # elsewhere, so this one must not be sent.
        endpoint = self.an_endpoint()
        self.a_gateway()
        for state, status, outcome in (
            (ClaimState.UNAVAILABLE, 503, "not_run"),
            (ClaimState.NOT_OWNER, 503, "not_run"),
            (ClaimState.IN_PROGRESS, 409, "unknown"),
            (ClaimState.MISMATCH, 422, "not_run"),
        ):
            self.claims.results_by_key["k1"] = ClaimResult(state, retry_after_s=2.0)
            answer = self.keyed()
            self.assertEqual((status, outcome), (answer.status, answer.outcome))
        self.assertEqual([], endpoint.requests)
        self.assertEqual([], self.slots.jobs)

    def test_a_job_that_did_not_run_gives_its_key_back(self) -> None:
        self.a_gateway()
        self.assertEqual("not_run", self.keyed().outcome)
        self.assertEqual(["k1"], self.claims.released)

    def test_a_lost_job_keeps_its_key(self) -> None:
        # The order was sent and its response lost; the caller retries with the same key. The
        # order may have run, so the retry is not sent, and its outcome is reported as unknown.
        endpoint = self.an_endpoint(lambda sock, request: sock.close())
        self.a_gateway()
        for _ in range(2):
            answer = self.keyed()
            self.assertEqual((502, "unknown"), (answer.status, answer.outcome))
        self.assertEqual(1, len(endpoint.requests))
        self.assertEqual([], self.claims.released)

    def test_a_large_answer_is_not_kept(self) -> None:
        # A key is repeated after its long response was sent. Only the fact that the job ran was
        # recorded. A replay of the status without the body would look like an empty response.
        self.an_endpoint(lambda sock, request: sock.sendall(ok(bytes(5000))))
        self.a_gateway()
        self.keyed()
        self.assertEqual(RecordedResponse(200, "", None), self.claims.recorded_by_key["k1"])
        again = self.keyed()
        self.assertEqual((409, "ran"), (again.status, again.outcome))
        self.assertEqual("urn:lentilrill:problem:answer-not-kept", again.problem["type"])

    def test_fingerprints_tell_jobs_apart(self) -> None:
        def request_head(**changes: Any) -> RequestHead:
            values: dict[str, Any] = {
                "method": "POST",
                "target": "/schools/x",
                "service": ServiceId("schools"),
                "path": "/x",
                "token": "t",
                "wait_s": None,
                "key": "k",
                "length": 5,
                "headers": {},
            }
            return RequestHead(**values | changes)

        jobs = [
            (request_head(), b"order"),
            (request_head(), b"other"),
            (request_head(target="/schools/y"), b"order"),
            (request_head(method="PATCH"), b"order"),
            (request_head(length=9), None),
            (request_head(length=9, headers={"content-digest": "sha-256=:x:"}), None),
        ]
        self.assertEqual(len(jobs), len({fingerprint(*job) for job in jobs}))


class ForwardingTest(GatewayTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.keys = builders.inner_keys()
        self.here = self.a_gateway(keys=self.keys)
        self.there_slots = self.slots
        there = self.address
        self.slots = type(self.slots)(there)
        self.slots.target = SlotTarget.ZONE
        self.a_gateway(keys=self.keys)

    def an_endpoint_there(self, script: Any = None) -> Any:
        endpoint = self.an_endpoint(script)
        self.slots.addresses.remove(endpoint.address)
        self.there_slots.addresses.append(endpoint.address)
        return endpoint

    def test_a_job_runs_in_another_zone(self) -> None:
        endpoint = self.an_endpoint_there()
        answer = self.call("POST", body=b"x", Idempotency_Key="k")
        self.assertEqual((200, b"done"), (answer.status, answer.body))
        head = endpoint.requests[0].decode().lower()
        self.assertNotIn(FORWARDED_HEADER, head)
        self.assertIn(f"request-id: {answer.headers['Request-Id']}", head)
        # The key was claimed once, the job may not be forwarded again, and its total wait is
        # not longer.
        self.assertEqual(["k"], list(self.claims.recorded_by_key))
        self.assertFalse(self.there_slots.jobs[0].spillable)
        self.assertLessEqual(self.there_slots.jobs[0].deadline, self.slots.jobs[0].deadline + 0.1)

    def test_not_run_there_is_proof(self) -> None:
        # The other zone has no slot for the order and reports "not_run", so that the order may
        # be retried here without the risk of running twice.
        answer = self.call("POST", body=b"x")
        self.assertEqual((503, "not_run"), (answer.status, answer.outcome))
        self.assertEqual([True, False], [job.spillable for job in self.slots.jobs][:2])

    def test_unknown_there_is_unknown_here(self) -> None:
        endpoint = self.an_endpoint_there(lambda sock, request: sock.close())
        answer = self.call("POST", body=b"x")
        self.assertEqual((502, "unknown"), (answer.status, answer.outcome))
        self.assertEqual(1, len(endpoint.requests))
        self.assertEqual([Verdict.UNUSED], self.slots.verdicts)

    def test_an_endpoint_cannot_send_a_gateway_problem(self) -> None:
        # An endpoint's response looks like a gateway's refusal. If it were taken for one, a job
        # that ran would be sent again.
        body = b'{"outcome":"not_run"}'
        self.an_endpoint_there(
            lambda sock, request: sock.sendall(ok(body, "Gateway-Problem: 1\r\n"))
        )
        answer = self.call("POST", body=b"x")
        self.assertEqual((200, body), (answer.status, answer.body))
        self.assertEqual(1, len(self.slots.jobs))

    def test_only_gateways_can_forward(self) -> None:
        # A caller marks its own keyed job as forwarded, to avoid the claim.
        self.an_endpoint_there()
        forwarding_token = ForwardingToken(RequestId("r"), 30.0, 30.0)
        good = ForwardingSigner(self.keys.secret)
        for value in (
            ForwardingSigner("another secret").sign(forwarding_token, "POST", "/schools/sheet"),
            good.sign(forwarding_token, "POST", "/schools/other"),
            good.sign(forwarding_token, "PUT", "/schools/sheet"),
            ForwardingSigner(self.keys.secret, lambda: time.time() - 3600).sign(
                forwarding_token, "POST", "/schools/sheet"
            ),
            good.sign(forwarding_token, "POST", "/schools/sheet") + "0",
            "x",
        ):
            answer = self.call("POST", Gateway_Forwarded=value)
            self.assertEqual((400, "not_run"), (answer.status, answer.outcome), value)
