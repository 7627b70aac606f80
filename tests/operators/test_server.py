"""The operators' HTTP API: tokens, limits, malformed input, and reported outcomes of edits."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.operators import MAX_BODY_BYTES
from lentilrill.operators._server import MAX_CONCURRENT_REQUESTS
from lentilrill.store import HostInfo
from tests.builders import a_document, a_plan
from tests.fakes import FakeHostList, lose_answer
from tests.operators.serving import ServedController, lists_body

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


class ServerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.served = ServedController()
        self.served.server.start()
        self.addCleanup(self.served.server.stop)

    def put(self, base: int, token: str = "token-of-asha", **changes: object):
        lists = msgspec.structs.replace(
            a_document("schools", "spare"), plans=(a_plan(**changes), a_plan("spare"))
        )
        return self.served.send("PUT", "/v1/config", lists_body(lists, base), token)

    def test_a_wrong_token_reads_and_changes_nothing(self) -> None:
        # With a caller's token, an old token or none, nothing is shown or changed, and the response
        # doesn't reveal how close a guess was.
        for token in ("", "wrong", "token-of-ash", "token-of-asha2", "t\u00f6ken"):
            for method, path in (("GET", "/v1/config"), ("PUT", "/v1/config"), ("GET", "/nowhere")):
                status, problem = self.served.send(
                    method, path, b"{}", token.encode("utf-8").decode("latin-1")
                )
                self.assertEqual(401, status)
                self.assertNotIn("sha", problem["detail"])
        self.assertEqual(0, self.served.kv.revision)

    def test_accepted_edit_has_revision_and_editor(self) -> None:
        status, answer = self.put(0)
        self.assertEqual((200, "accepted", 1), (status, answer["verdict"], answer["number"]))
        _, config = self.served.send("GET", "/v1/config")
        self.assertEqual((answer["revision"], True), (config["revision"], config["fresh"]))
        _, audit = self.served.send("GET", "/v1/audit?limit=5")
        (entry,) = audit["entries"]
        self.assertEqual(("asha", answer["revision"]), (entry["record"]["who"], entry["revision"]))

    def test_conflict_is_a_problem_with_the_differences(self) -> None:
        # Two operators send edits based on the same revision: the second gets a 409 with the
        # winner's revision and the differences that its own lists would still make.
        _, first = self.put(0)
        _, won = self.put(first["revision"], hosts_owed=4)
        status, problem = self.put(first["revision"], "token-of-ben", hosts_owed=6)
        self.assertEqual(409, status)
        self.assertEqual(won["revision"], problem["revision"])
        (differs,) = problem["differences"]
        self.assertEqual({"field": "hosts_owed", "before": "4", "after": "6"}, differs["fields"][0])
        self.assertEqual("asha", problem["since"][0]["record"]["who"])

    def test_refused_edits_are_in_the_trail_too(self) -> None:
        _, first = self.put(0)
        self.put(first["revision"], hosts_owed=4)
        self.put(first["revision"], "token-of-ben", hosts_owed=6)
        self.put(first["revision"], "token-of-ben", hosts_owed=-6)
        self.served.server.stop()
        _, entries = self.audit_after_stop()
        verdicts = [entry["record"]["verdict"] for entry in entries]
        self.assertEqual(["accepted", "accepted", "conflict", "conflict"], verdicts)

    def audit_after_stop(self):
        again = ServedController(self.served.kv)
        again.server.start()
        self.addCleanup(again.server.stop)
        status, body = again.send("GET", "/v1/audit")
        return status, body["entries"]

    def test_unknown_outcome_is_reported_as_unknown(self) -> None:
        # The platform applies the write and stops answering. 200 would be a guess, 503 wrong.
        def lost_for_good(call):
            lost = lose_answer(call)
            self.served.kv.down = True
            return lost

        self.served.kv.commits.append(lost_for_good)
        status, problem = self.put(0)
        self.assertEqual((504, "unknown"), (status, problem["verdict"]))
        self.assertIn(problem["write_id"], problem["detail"])

    def test_platform_down(self) -> None:
        # While the platform is down, edits are refused immediately with a retry time, and the
        # configuration is still shown, marked as the controller's own copy.
        _, first = self.put(0)
        self.served.kv.down = True
        status, problem = self.put(first["revision"], hosts_owed=4)
        self.assertEqual((503, "unavailable"), (status, problem["verdict"]))
        status, config = self.served.send("GET", "/v1/config")
        self.assertEqual((200, False), (status, config["fresh"]))
        self.assertEqual(first["revision"], config["revision"])
        self.assertEqual(503, self.served.send("GET", "/v1/audit")[0])
        self.assertEqual(200, self.served.send("GET", "/v1/status")[0])

    def test_plans_exceeding_the_fleet_cause_a_warning(self) -> None:
        host_list = FakeHostList(lambda: 0.0)
        host_list.add(HostInfo("h1", "", "z1", "r1"), HostInfo("h2", "", "z1", "r1"))
        served = ServedController(host_list=host_list)
        served.server.start()
        self.addCleanup(served.server.stop)
        body = lists_body(a_document("schools", "spare"), 0)
        status, answer = served.send("PUT", "/v1/config", body)
        self.assertEqual(200, status)
        (warning,) = answer["findings"]
        self.assertEqual("warning", warning["severity"])
        self.assertIn("4 hosts are owed (schools 2 + spare 2), 2 live workers", warning["message"])

    def test_oversized_and_broken_bodies(self) -> None:
        # A body that is far too large or malformed gets a clear error and changes nothing.
        status, problem = self.served.send("PUT", "/v1/config", b" " * (MAX_BODY_BYTES + 1))
        self.assertEqual(413, status)
        self.assertIn(str(MAX_BODY_BYTES), problem["detail"])
        for body in (b"", b"{", b"[]", b'{"base": "1"}', b'{"bases": 1}', b"\xff", b"[" * 99999):
            status, problem = self.served.send("PUT", "/v1/config", body)
            self.assertEqual(400, status, body[:20])
        self.assertEqual(0, self.served.kv.revision)

    def test_health_checks_are_answered_while_the_platform_hangs(self) -> None:
        # The platform accepts calls and doesn't answer, while operators keep sending requests. If
        # these occupied every thread, health checks would time out and a healthy controller would
        # be killed.
        resume = threading.Event()
        reading = threading.Semaphore(0)

        def hang(call):
            reading.release()
            resume.wait(60)
            return call()

        self.served.kv.reads.extend([hang] * MAX_CONCURRENT_REQUESTS)
        with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
            pending = [
                pool.submit(self.served.send, "GET", "/v1/config")
                for _ in range(MAX_CONCURRENT_REQUESTS)
            ]
            for _ in pending:
                self.assertTrue(reading.acquire(timeout=20))
            self.assertEqual(200, self.served.send("GET", "/healthz", token="")[0])
            status, problem = self.served.send("GET", "/v1/config")
            resume.set()
            self.assertEqual(
                [200] * MAX_CONCURRENT_REQUESTS, [answer.result()[0] for answer in pending]
            )
        self.assertEqual((503, "urn:lentilrill:problem:busy"), (status, problem["type"]))

    def test_malformed_requests(self) -> None:
        # A port scanner or a broken proxy sends malformed HTTP: it gets an error response, and the
        # controller goes on serving.
        head = b"PUT /v1/config HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-of-asha\r\n"
        cases = {
            b"\x00\xff\r\n\r\n": b"400",
            head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n": b"400",
            head + b"Content-Length: abc\r\n\r\n": b"400",
            head + b"Content-Length: 50\r\n\r\n{}": b"400",
            head + b"Content-Length: 99999999999\r\n\r\n{}": b"413",
            head + b"X: " + b"a" * 40_000 + b"\r\n\r\n": b"413",
        }
        host, _, port = self.served.address.rpartition(":")
        for request, status in cases.items():
            with socket.create_connection((host, int(port)), timeout=20) as connection:
                connection.sendall(request)
                connection.shutdown(socket.SHUT_WR)
                with connection.makefile("rb") as answer:
                    self.assertIn(status, answer.readline(), request[:90])
        self.assertEqual(200, self.served.send("GET", "/v1/status")[0])

    def test_routes(self) -> None:
        self.assertEqual(404, self.served.send("GET", "/v2/config")[0])
        self.assertEqual(405, self.served.send("POST", "/v1/config")[0])
        for limit in ("x", "0", "1001", "-1", "1_0", "%C2%B2", "9" * 5000):
            self.assertEqual(400, self.served.send("GET", f"/v1/audit?limit={limit}")[0], limit)
        self.assertEqual(422, self.served.send("DELETE", "/v1/stops/none")[0])

    def test_readiness_follows_the_state_and_draining(self) -> None:
        # A controller that has not read the state yet, or is draining, must not get requests. One
        # that has read a state without a configuration is ready: otherwise the first configuration
        # could never be applied, and a new system would not come up.
        self.assertEqual(200, self.served.send("GET", "/healthz", token="")[0])
        self.assertEqual(503, self.served.send("GET", "/readyz", token="")[0])
        self.served.kv.put("state/zones/z1", b"{}")
        self.served.view.mirror.merge((), self.served.kv.revision)
        self.assertEqual(200, self.served.send("GET", "/readyz", token="")[0])
        self.served.server.drain()
        self.assertEqual(503, self.served.send("GET", "/readyz", token="")[0])
        self.assertEqual(200, self.served.send("GET", "/healthz", token="")[0])

    def test_any_body_gets_a_response(self) -> None:
        # Any body gets a response: success or a client error, never a server error.
        paths = ("/v1/config", "/v1/config/check", "/v1/stops")

        @settings(derandomize=True, max_examples=150, database=None, deadline=None)
        @given(
            st.sampled_from(paths),
            st.binary(max_size=60)
            | json_values.map(_encoded)
            | st.fixed_dictionaries(
                {"base": st.integers(), "plans": json_values, "entitlements": json_values}
            ).map(_encoded)
            | st.fixed_dictionaries(
                {"id": json_values, "hosts": json_values, "reason": json_values}
            ).map(_encoded),
        )
        def fuzz(path: str, body: bytes) -> None:
            method = "PUT" if path == "/v1/config" else "POST"
            status, _ = self.served.send(method, path, body)
            self.assertIn(status, (200, 400, 422))

        fuzz()


def _encoded(value: object) -> bytes:
    try:
        return msgspec.json.encode(value)
    except (msgspec.MsgspecError, OverflowError, UnicodeError):
        return b"{"
