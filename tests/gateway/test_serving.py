"""The gateway without faults, and requests that it must refuse."""

import hashlib

from lentilrill.gateway._limits import MAX_BUFFERED_BYTES
from lentilrill.inner import Verdict
from tests.gateway.fakes import Answer, GatewayTestCase, ok


class ServingTest(GatewayTestCase):
    def test_a_job_is_answered_whole(self) -> None:
        endpoint = self.an_endpoint()
        self.a_gateway()
        answer = self.call("POST", "/schools/sheet?size=a4", b"text", X_Sheet="7")
        self.assertEqual((200, b"done"), (answer.status, answer.body))
        head = endpoint.requests[0].decode().lower()
        self.assertIn("post /schools/sheet?size=a4 http/1.1", head)
        for line in ("customer: valley", "plan: schools", "x-sheet: 7", "content-length: 4"):
            self.assertIn(line, head)
        self.assertIn(f"request-id: {answer.headers['Request-Id']}", head)
        self.assertNotIn("token-schools", head)
        self.assertEqual([Verdict.OK], self.slots.verdicts)

    def test_no_headers_are_added_for_the_caller(self) -> None:
        endpoint = self.an_endpoint()
        self.a_gateway()
        connection = self.connect()
        connection._http_vsn, connection._http_vsn_str = 10, "HTTP/1.0"  # which needs no Host
        connection.putrequest("GET", "/schools/x", skip_host=True, skip_accept_encoding=True)
        connection.putheader("Authorization", "Bearer token-schools")
        connection.endheaders()
        self.assertEqual(200, connection.getresponse().status)
        names = [
            line.partition(":")[0].lower() for line in endpoint.requests[0].decode().splitlines()
        ]
        self.assertEqual({"host", "request-id", "customer", "plan"}, set(names[1:]) - {""})

    def test_caller_cannot_name_another_customer(self) -> None:
        endpoint = self.an_endpoint()
        self.a_gateway()
        self.call(Customer="other", Plan="other", Request_Id="mine", Connection="x-hop", X_Hop="1")
        head = endpoint.requests[0].decode().lower()
        self.assertNotIn("other", head)
        self.assertNotIn("mine", head)
        self.assertNotIn("x-hop", head)

    def test_long_bodies_pass_whole_both_ways(self) -> None:
        volume = bytes(range(256)) * 8000
        endpoint = self.an_endpoint(
            lambda sock, request: sock.sendall(ok(request.partition(b"\r\n\r\n")[2]))
        )
        self.a_gateway()
        answer = self.call("POST", "/schools/volume", volume)
        self.assertEqual(hashlib.sha256(volume).digest(), hashlib.sha256(answer.body).digest())
        self.assertEqual(1, len(endpoint.requests))

    def test_chunked_bodies(self) -> None:
        endpoint = self.an_endpoint(
            lambda sock, request: sock.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
            )
        )
        self.a_gateway()
        connection = self.connect()
        headers = {"Authorization": "Bearer token-schools"}
        for _ in range(2):
            connection.request("POST", "/schools/x", iter([b"ab", b"cd"]), headers)
            self.assertEqual(b"hello", connection.getresponse().read())
        self.assertTrue(endpoint.requests[1].endswith(b"\r\n\r\nabcd"))

    def test_head_keeps_its_length(self) -> None:
        self.an_endpoint(
            lambda sock, request: sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
        )
        self.a_gateway()
        answer = self.call("HEAD")
        self.assertEqual((200, "99"), (answer.status, answer.headers["Content-Length"]))

    def test_an_endpoint_may_close_after_its_answer(self) -> None:
        self.an_endpoint(lambda sock, request: sock.sendall(ok(b"last", "Connection: close\r\n")))
        self.a_gateway()
        self.assertEqual([b"last"] * 3, [self.call().body for _ in range(3)])

    def test_probes(self) -> None:
        gateway = self.a_gateway()
        self.assertEqual(200, self.call(path="/healthz").status)
        self.assertEqual(200, self.call(path="/readyz").status)
        self.assertTrue(gateway.drain())
        self.assertEqual(200, self.call(path="/healthz").status)
        self.assertEqual(503, self.call(path="/readyz").status)

    def test_a_gateway_that_may_not_serve_refuses_jobs(self) -> None:
        self.an_endpoint()
        self.a_gateway(may_serve=False)
        self.assertEqual(503, self.call(path="/readyz").status)
        self.assert_refused(503, "not-ready", self.call())

    def test_bad_requests_are_refused_before_dispatch(self) -> None:
        endpoint = self.an_endpoint()
        self.a_gateway()
        self.assert_refused(401, "token", self.call(Authorization=""))
        self.assert_refused(401, "token", self.call(Authorization="Bearer wrong"))
        self.assert_refused(400, "malformed", self.call(Authorization="Basic eA=="))
        self.assert_refused(403, "service", self.call(path="/ballots/x"))
        self.assert_refused(404, "no-service", self.call(path="/nothing/x"))
        self.assert_refused(400, "malformed", self.call(Prefer="wait=soon"))
        self.assert_refused(400, "malformed", self.call(Idempotency_Key="k" * 256))
        self.assert_refused(400, "malformed", self.call(Idempotency_Key="a b"))
        self.assert_refused(400, "malformed", self.call(Gateway_Forwarded="0;1;[]"))
        self.assert_refused(405, "method", self.call("TRACE"))
        self.assert_refused(413, "too-large", self.call("POST", body=bytes(3_000_001)))
        self.assert_refused(400, "malformed", self.call("POST", Content_Length="-1"))
        self.assert_refused(400, "malformed", self.call("POST", Content_Length="x"))
        self.assertEqual([], endpoint.requests)
        self.assertEqual([], self.slots.jobs)

    def test_two_framings_are_refused(self) -> None:
        # Request smuggling: a caller sends both Content-Length and Transfer-Encoding. If the
        # endpoint used the other one than the gateway, it would run the rest of the body as a
        # second job without authorization.
        endpoint = self.an_endpoint()
        self.a_gateway()
        answer = self.call("POST", Content_Length="4", Transfer_Encoding="chunked")
        self.assert_refused(400, "malformed", answer)
        self.assertEqual([], endpoint.requests)

    def test_a_long_chunked_body_needs_a_length(self) -> None:
        self.an_endpoint()
        self.a_gateway()
        connection = self.connect()
        headers = {"Authorization": "Bearer token-schools"}
        connection.request("POST", "/schools/x", iter([bytes(MAX_BUFFERED_BYTES + 1)]), headers)
        self.assertEqual(411, connection.getresponse().status)
        self.assertEqual([], self.slots.jobs)

    def test_a_raw_malformed_head_gets_a_problem(self) -> None:
        self.a_gateway()
        for head in (b"GARBAGE\r\n\r\n", b"GET /x HTTP/1.1\r\nBad Header\r\n\r\n"):
            connection = self.connect()
            connection.connect()
            connection.sock.sendall(head)
            data = connection.sock.makefile("rb").read()
            self.assertIn(b"HTTP/1.1 400", data)
            self.assertIn(b'"outcome":"not_run"', data)

    def assert_refused(self, status: int, name: str, answer: Answer) -> None:
        """Check the status, the problem type and that the outcome is ``not_run``."""
        self.assertEqual(
            (status, f"urn:lentilrill:problem:{name}", "not_run"),
            (answer.status, answer.problem["type"], answer.outcome),
        )
