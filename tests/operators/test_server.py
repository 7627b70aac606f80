"""The operators' HTTP: tokens, limits, broken input, and what is told of edits."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.operators import MAX_BODY_BYTES
from lentilrill.operators._server import AT_ONCE
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
        return self.served.ask("PUT", "/v1/config", lists_body(lists, base), token)

    def test_a_wrong_token_reads_and_changes_nothing(self) -> None:
        # Someone on the operators' network has a caller's token, an old one or none. Nothing is
        # shown, nothing is changed, and nothing tells how close the guess was.
        for token in ("", "wrong", "token-of-ash", "token-of-asha2", "t\u00f6ken"):
            for method, path in (("GET", "/v1/config"), ("PUT", "/v1/config"), ("GET", "/nowhere")):
                status, problem = self.served.ask(
                    method, path, b"{}", token.encode("utf-8").decode("latin-1")
                )
                self.assertEqual(401, status)
                self.assertNotIn("sha", problem["detail"])
        self.assertEqual(0, self.served.kv.revision)

    def test_an_edit_is_told_with_its_revision_and_its_editor(self) -> None:
        status, answer = self.put(0)
        self.assertEqual((200, "accepted", 1), (status, answer["verdict"], answer["number"]))
        _, config = self.served.ask("GET", "/v1/config")
        self.assertEqual((answer["revision"], True), (config["revision"], config["fresh"]))
        _, audit = self.served.ask("GET", "/v1/audit?limit=5")
        (entry,) = audit["entries"]
        self.assertEqual(("asha", answer["revision"]), (entry["record"]["who"], entry["revision"]))

    def test_the_loser_gets_a_problem_with_the_difference(self) -> None:
        # Two operators send edits of the same revision: the second gets a 409 that names the
        # winner's revision and what its own lists would change in it.
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
        status, body = again.ask("GET", "/v1/audit")
        return status, body["entries"]

    def test_an_unknown_outcome_is_not_told_as_anything_else(self) -> None:
        # The platform takes the write and goes silent. 200 would be a guess, 503 would be wrong.
        def lost_for_good(call):
            lost = lose_answer(call)
            self.served.kv.down = True
            return lost

        self.served.kv.commits.append(lost_for_good)
        status, problem = self.put(0)
        self.assertEqual((504, "unknown"), (status, problem["verdict"]))
        self.assertIn(problem["write_id"], problem["detail"])

    def test_platform_down(self) -> None:
        # With the platform away, edits are refused at once with when to try again; the
        # configuration is still shown, from the controller's own copy, and said to be so.
        _, first = self.put(0)
        self.served.kv.down = True
        status, problem = self.put(first["revision"], hosts_owed=4)
        self.assertEqual((503, "unavailable"), (status, problem["verdict"]))
        status, config = self.served.ask("GET", "/v1/config")
        self.assertEqual((200, False), (status, config["fresh"]))
        self.assertEqual(first["revision"], config["revision"])
        self.assertEqual(503, self.served.ask("GET", "/v1/audit")[0])
        self.assertEqual(200, self.served.ask("GET", "/v1/status")[0])

    def test_promises_beyond_the_fleet_are_warned_of(self) -> None:
        host_list = FakeHostList(lambda: 0.0)
        host_list.add(HostInfo("h1", "", "z1", "r1"), HostInfo("h2", "", "z1", "r1"))
        served = ServedController(host_list=host_list)
        served.server.start()
        self.addCleanup(served.server.stop)
        body = lists_body(a_document("schools", "spare"), 0)
        status, answer = served.ask("PUT", "/v1/config", body)
        self.assertEqual(200, status)
        (warning,) = answer["findings"]
        self.assertEqual("warning", warning["severity"])
        self.assertIn("4 hosts are owed (schools 2 + spare 2), 2 live workers", warning["message"])

    def test_oversized_and_broken_bodies(self) -> None:
        # A wrong file is sent, far too large or no JSON: one clear answer, the connection and
        # the configuration stay whole.
        status, problem = self.served.ask("PUT", "/v1/config", b" " * (MAX_BODY_BYTES + 1))
        self.assertEqual(413, status)
        self.assertIn(str(MAX_BODY_BYTES), problem["detail"])
        for body in (b"", b"{", b"[]", b'{"base": "1"}', b'{"bases": 1}', b"\xff", b"[" * 99999):
            status, problem = self.served.ask("PUT", "/v1/config", body)
            self.assertEqual(400, status, body[:20])
        self.assertEqual(0, self.served.kv.revision)

    def test_health_is_told_while_the_platform_hangs(self) -> None:
        # The platform takes calls and says nothing, and operators ask again and again. With every
        # thread held by them, the health check would time out and a sound controller be killed.
        silent = threading.Event()
        reading = threading.Semaphore(0)

        def hang(call):
            reading.release()
            silent.wait(60)
            return call()

        self.served.kv.reads.extend([hang] * AT_ONCE)
        with ThreadPoolExecutor(AT_ONCE) as pool:
            held = [pool.submit(self.served.ask, "GET", "/v1/config") for _ in range(AT_ONCE)]
            for _ in held:
                self.assertTrue(reading.acquire(timeout=20))
            self.assertEqual(200, self.served.ask("GET", "/healthz", token="")[0])
            status, problem = self.served.ask("GET", "/v1/config")
            silent.set()
            self.assertEqual([200] * AT_ONCE, [answer.result()[0] for answer in held])
        self.assertEqual((503, "urn:lentilrill:problem:busy"), (status, problem["type"]))

    def test_malformed_requests(self) -> None:
        # A port scanner or a broken proxy sends what is no HTTP: it gets an error of its own, and
        # the controller goes on serving.
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
        self.assertEqual(200, self.served.ask("GET", "/v1/status")[0])

    def test_routes(self) -> None:
        self.assertEqual(404, self.served.ask("GET", "/v2/config")[0])
        self.assertEqual(405, self.served.ask("POST", "/v1/config")[0])
        self.assertEqual(400, self.served.ask("GET", "/v1/audit?limit=x")[0])
        self.assertEqual(422, self.served.ask("DELETE", "/v1/stops/none")[0])

    def test_readiness_follows_the_state_and_draining(self) -> None:
        # Operators must not be sent to a controller that knows nothing of the state yet, or that
        # is about to end. One that knows that there is no configuration is ready to take the
        # first: it was not at first, and a new system never came up.
        self.assertEqual(200, self.served.ask("GET", "/healthz", token="")[0])
        self.assertEqual(503, self.served.ask("GET", "/readyz", token="")[0])
        self.served.kv.put("state/zones/z1", b"{}")
        self.served.view.mirror.merge((), self.served.kv.revision)
        self.assertEqual(200, self.served.ask("GET", "/readyz", token="")[0])
        self.served.server.drain()
        self.assertEqual(503, self.served.ask("GET", "/readyz", token="")[0])
        self.assertEqual(200, self.served.ask("GET", "/healthz", token="")[0])

    def test_any_body_gets_an_answer(self) -> None:
        # Whatever is sent by mistake, the controller answers with an error of the sender's.
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
            status, _ = self.served.ask(method, path, body)
            self.assertIn(status, (200, 400, 422))

        fuzz()


def _encoded(value: object) -> bytes:
    try:
        return msgspec.json.encode(value)
    except (msgspec.MsgspecError, OverflowError, UnicodeError):
        return b"{"
