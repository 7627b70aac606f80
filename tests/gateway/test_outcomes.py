"""Responses to callers after failures between the gateway and an endpoint."""

import json
import socket
import struct
import threading

from urllib3.util.wait import wait_for_read

from lentilrill.gateway import _caller, _connections, _limits, _response_times
from lentilrill.inner import Verdict
from lentilrill.routing._limits import RETRY_BURST
from tests.gateway.fakes import WAIT_S, Answer, GatewayTestCase, ScriptedEndpoint, drop_all, ok

LEAVING = b"HTTP/1.1 503 Gone\r\nEndpoint-State: leaving\r\nContent-Length: 0\r\n\r\n"


def send_and_close(data: bytes) -> "object":
    """Return a script that sends ``data`` and closes the connection."""

    def script(sock: socket.socket, request: bytes) -> None:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_RDWR)

    return script


def reset_connection(sock: socket.socket, request: bytes) -> None:
    """Reset the connection without a response."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def never_answer(sock: socket.socket, request: bytes) -> None:
    """Never answer."""


def short_probes() -> list[tuple[int, int, int | bytes]]:
    """Return the socket options with the shortest timeouts that the kernel accepts."""
    short = {socket.TCP_KEEPIDLE: 1, socket.TCP_KEEPINTVL: 1, socket.TCP_USER_TIMEOUT: 1000}
    return [(level, name, short.get(name, v)) for level, name, v in _connections.SOCKET_OPTIONS]


class OutcomeTest(GatewayTestCase):
    def a_closed_port(self) -> str:
        endpoint = ScriptedEndpoint(never_answer)
        endpoint.close()
        self.slots.addresses.append(endpoint.address)
        return endpoint.address

    def assert_problem(self, status: int, outcome: str, answer: Answer) -> None:
        self.assertEqual((status, outcome), (answer.status, answer.outcome))

    def test_unreachable_hosts_are_avoided(self) -> None:
        # A host has disappeared, but its record has not. Nothing was sent, so even a job that
        # must not run twice is retried on the next host.
        self.a_closed_port()
        good = self.an_endpoint()
        self.a_gateway()
        self.assertEqual(200, self.call("POST", body=b"x").status)
        self.assertEqual(1, len(good.requests))
        self.assertEqual([Verdict.UNREACHABLE, Verdict.OK], self.slots.verdicts)

    def test_no_host_is_not_run(self) -> None:
        self.a_closed_port()
        self.a_gateway()
        answer = self.call("POST", body=b"x")
        self.assert_problem(503, "not_run", answer)
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)

    def test_a_withdrawn_host_gets_nothing(self) -> None:
        # The host is withdrawn between the grant and the send. The routing ledger refuses the
        # send: no byte may be sent to the host, and the job runs on another one.
        withdrawn, good = self.an_endpoint(), self.an_endpoint()
        self.slots.withdrawn.add(withdrawn.address)
        self.a_gateway()
        self.assertEqual(200, self.call("POST", body=b"x").status)
        self.assertEqual([], withdrawn.requests)
        self.assertEqual(1, len(good.requests))
        self.assertEqual([Verdict.UNUSED, Verdict.OK], self.slots.verdicts)

    def test_a_lost_order_is_not_repeated(self) -> None:
        # The endpoint receives an order and the connection breaks. Whether the order ran is
        # unknown. A retry could run it twice, and so could the caller if it were told "not_run".
        broken, other = self.an_endpoint(reset_connection), self.an_endpoint()
        self.a_gateway()
        self.assert_problem(502, "unknown", self.call("POST", body=b"order"))
        self.assertEqual((1, 0), (len(broken.requests), len(other.requests)))
        self.assertEqual([Verdict.BROKEN], self.slots.verdicts)

    def test_a_lost_idempotent_job_is_repeated(self) -> None:
        self.an_endpoint(reset_connection)
        other = self.an_endpoint()
        self.a_gateway()
        self.assertEqual(200, self.call("PUT", body=b"x").status)
        self.assertEqual(1, len(other.requests))

    def test_a_listed_path_is_idempotent(self) -> None:
        for path, expected_status in (
            ("/schools/translate/a", 200),
            ("/schools/translated", 502),
            ("/schools/translate/../emboss", 502),
            ("/schools/translate/%2e%2e/emboss", 502),
        ):
            self.slots.addresses.clear()
            self.an_endpoint(reset_connection)
            self.an_endpoint()
            self.a_gateway()
            self.assertEqual(expected_status, self.call("POST", path, b"x").status, path)

    def test_a_later_not_run_does_not_hide_a_loss(self) -> None:
        # An idempotent job is lost on one host, and no other host is left. The last attempt did
        # not run, but the first one may have, so "not_run" would be wrong.
        self.an_endpoint(reset_connection)
        self.a_gateway()
        self.assert_problem(502, "unknown", self.call("PUT", body=b"x"))

    def test_retries_are_bounded(self) -> None:
        endpoints = [self.an_endpoint(reset_connection) for _ in range(6)]
        self.a_gateway()
        self.assert_problem(502, "unknown", self.call())
        self.assertEqual(_limits.MAX_ATTEMPTS, sum(len(e.requests) for e in endpoints))

    def test_retries_end_with_the_budget(self) -> None:
        # Every endpoint fails every request. Retries must not multiply the load on them.
        endpoints = [self.an_endpoint(reset_connection) for _ in range(3)]
        self.a_gateway()
        for _ in range(20):
            self.call()
        self.assertLessEqual(sum(len(e.requests) for e in endpoints), 20 + RETRY_BURST)

    def test_a_leaving_endpoint_did_not_run_the_job(self) -> None:
        # The endpoint answers that it is leaving and did not start the job. Even an order may
        # then run elsewhere, and the scheduler must get the verdict that the host is leaving.
        leaving, other = self.an_endpoint(lambda s, r: s.sendall(LEAVING)), self.an_endpoint()
        self.a_gateway()
        self.assertEqual(200, self.call("POST", body=b"order").status)
        self.assertEqual((1, 1), (len(leaving.requests), len(other.requests)))
        self.assertEqual([Verdict.LEAVING, Verdict.OK], self.slots.verdicts)

    def test_all_endpoints_leaving_is_not_run(self) -> None:
        self.an_endpoint(lambda s, r: s.sendall(LEAVING))
        self.a_gateway()
        self.assert_problem(503, "not_run", self.call("POST", body=b"order"))

    def test_a_last_answer_with_the_leaving_mark_is_passed(self) -> None:
        self.an_endpoint(lambda s, r: s.sendall(ok(b"sheet", "Endpoint-State: leaving\r\n")))
        self.a_gateway()
        answer = self.call("POST", body=b"order")
        self.assertEqual((200, b"sheet"), (answer.status, answer.body))
        self.assertNotIn("Endpoint-State", answer.headers)
        self.assertEqual([Verdict.LEAVING], self.slots.verdicts)

    def test_an_endpoints_error_is_its_answer(self) -> None:
        self.an_endpoint(
            lambda s, r: s.sendall(b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")
        )
        self.a_gateway()
        answer = self.call("PUT", body=b"x")
        self.assertEqual((500, b"oops"), (answer.status, answer.body))
        self.assertEqual([Verdict.ERROR], self.slots.verdicts)


class WholeAnswerTest(GatewayTestCase):
    def test_truncated_answers_are_no_success(self) -> None:
        # An endpoint fails in the middle of its response. A caller with status 200 and half of
        # the body could not detect it.
        for data in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
            b"HTTP/1.1 200 OK\r\n\r\nwithout any proved end",
            b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"",
            b"garbage\r\n\r\n",
        ):
            self.slots.addresses.clear()
            self.an_endpoint(send_and_close(data))
            self.a_gateway()
            answer = self.call("POST", body=b"x")
            self.assertEqual((502, "unknown"), (answer.status, answer.outcome), data)

    def test_a_truncated_volume_is_detectable(self) -> None:
        # A long response breaks off after its first megabytes were sent to the caller. The
        # status is already sent, so the connection must end in a way that shows the truncation.
        part = bytes(2 * _limits.MAX_BUFFERED_BYTES)
        for head, version in (
            (b"Content-Length: %d\r\n\r\n" % (len(part) + 1), "1.1"),
            (b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(part), "1.1"),
            (b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(part), "1.0"),
        ):
            self.slots.addresses.clear()
            self.slots.released.clear()
            seen = threading.Event()

            def script(sock: socket.socket, request: bytes, head=head, seen=seen) -> None:
                sock.sendall(b"HTTP/1.1 200 OK\r\n" + head + part)
                seen.wait(WAIT_S)
                sock.shutdown(socket.SHUT_RDWR)

            self.an_endpoint(script)
            self.a_gateway()
            self.assertFalse(self.reads_whole(version, len(part), seen), head)
            self.assertEqual([Verdict.BROKEN], self.slots.verdicts)

    def test_disconnects_of_callers_do_not_count_against_the_host(self) -> None:
        # Callers disconnect while long responses are streamed. Counted as failures of the host,
        # many of these at once would eject a healthy host.
        def script(sock: socket.socket, request: bytes) -> None:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1 << 30))
            while True:
                sock.sendall(bytes(1 << 20))

        self.an_endpoint(script)
        gateway = self.a_gateway()
        connection = self.connect()
        connection.request("GET", "/schools/v", headers={"Authorization": "Bearer token-schools"})
        connection.sock.recv(65536)
        connection.close()
        self.assertTrue(gateway.drain())
        self.assertEqual([Verdict.OK], self.slots.verdicts)

    def reads_whole(self, version: str, size: int, seen: threading.Event) -> bool:
        """Return whether a simple HTTP client would accept the response as complete.

        :param seen: set once more than ``size`` bytes were read, so that the connection ends
            without unread bytes.
        """
        connection = self.connect()
        connection.connect()
        request = f"GET /schools/v HTTP/{version}\r\nHost: x\r\n"
        request += "Authorization: Bearer token-schools\r\n\r\n"
        connection.sock.sendall(request.encode())
        data, was_reset = b"", False
        try:
            while part := connection.sock.recv(65536):
                data += part
                if len(data) > size:
                    seen.set()
        except ConnectionResetError:
            was_reset = True
        head, _, body = data.partition(b"\r\n\r\n")
        if b"Transfer-Encoding" in head:
            return body.endswith(b"\r\n0\r\n\r\n")
        declared = [line for line in head.split(b"\r\n") if line.startswith(b"Content-Length")]
        if not declared:
            return not was_reset
        return len(body) == int(declared[0].split()[1])

    def test_a_late_answer_reaches_no_other_caller(self) -> None:
        # An endpoint sends the response to one request twice. The copy arrives on the reused
        # connection when another caller's request is sent on it, and that caller would get the
        # response to somebody else's request.
        answered, copied = threading.Event(), threading.Event()

        def script(sock: socket.socket, request: bytes) -> None:
            path = request.split(b" ")[1]
            sock.sendall(ok(path))
            if path.endswith(b"0"):
                answered.wait(WAIT_S)
                sock.sendall(ok(path))
                copied.set()

        self.an_endpoint(script)
        self.a_gateway()
        self.assertEqual(b"/schools/0", self.call(path="/schools/0").body)
        answered.set()
        copied.wait(WAIT_S)
        for n in range(1, 4):
            path = f"/schools/{n}"
            self.assertEqual(path.encode(), self.call(path=path).body)

    def test_an_answer_that_names_another_request_is_dropped(self) -> None:
        # As above, but the copy arrives only after the next request was sent.
        self.an_endpoint(lambda s, r: s.sendall(ok(b"stranger's", "Request-Id: other\r\n")))
        self.a_gateway()
        self.assertEqual(502, self.call("POST", body=b"x").status)

    def test_an_abandoned_exchange_ends_its_connection(self) -> None:
        # The endpoint answers too late. The connection must not be reused, or the late response
        # would be read as that of the next request.
        endpoint = self.an_endpoint(never_answer)
        self.a_gateway()
        self.assertEqual(504, self.call(Prefer="wait=1").status)
        endpoint.script = lambda s, r: s.sendall(ok())
        self.assertEqual(200, self.call().status)
        self.assertEqual(2, endpoint.connections)


class SilenceTest(GatewayTestCase):
    def test_a_silent_endpoint_is_unknown_in_time(self) -> None:
        # An endpoint accepts the order and never answers. At the end of its wait the caller must
        # be told that the outcome is unknown.
        endpoint = self.an_endpoint(never_answer)
        self.an_endpoint()
        self.a_gateway()
        answer = self.call("POST", body=b"order", Prefer="wait=1")
        self.assertEqual((504, "unknown"), (answer.status, answer.outcome))
        self.assertEqual([Verdict.BROKEN], self.slots.verdicts)
        self.assertEqual(1, len(endpoint.requests))

    def test_orders_go_on_new_connections_only(self) -> None:
        # A firewall or NAT may have dropped the state of an idle connection. It would be unknown
        # whether an order sent on it ran.
        endpoint = self.an_endpoint()
        self.a_gateway()
        for _ in range(3):
            self.call("GET")
        self.assertEqual(1, endpoint.connections)
        for _ in range(3):
            self.call("POST", body=b"order")
        self.assertEqual(4, endpoint.connections)

    def test_a_forgotten_connection_is_replaced(self) -> None:
        # A firewall or NAT drops the state of an idle connection: packets on it are no longer
        # acknowledged, without an error, while new connections work. A job sent on it must be
        # sent again on a new connection soon, and not only after its deadline.
        self.patch(_connections, "REUSED_ACK_TIMEOUT_MS", 300)
        self.patch(_response_times, "MIN_TIMEOUT_S", 100.0)
        forgotten: list[socket.socket] = []

        def script(sock: socket.socket, request: bytes) -> None:
            sock.sendall(ok())
            if not forgotten:
                forgotten.append(sock)
                drop_all(sock)

        endpoint = self.an_endpoint(script)
        other = self.an_endpoint()
        self.a_gateway()
        self.assertEqual(200, self.call().status)
        self.assertEqual(200, self.call(Prefer="wait=5").status)
        self.assertEqual((1, 1), (len(endpoint.requests), len(other.requests)))

    def test_a_dead_path_ends_an_order(self) -> None:
        # The same happens to an order's new connection after the endpoint received the order.
        # The caller must be told that the outcome is unknown, long before the response timeout.
        self.patch(_connections, "SOCKET_OPTIONS", short_probes())
        self.an_endpoint(lambda sock, request: drop_all(sock))
        self.a_gateway()
        answer = self.call("POST", body=b"order")
        self.assertEqual((504, "unknown"), (answer.status, answer.outcome))

    def test_a_silent_endpoint_costs_a_repeatable_job_a_part_of_its_time(self) -> None:
        # Jobs of this pool are answered at once, but one endpoint accepts a job and never
        # answers. The caller's whole wait of a minute must not be spent on that endpoint.
        self.patch(_response_times, "MIN_TIMEOUT_S", 0.3)
        endpoint = self.an_endpoint()
        other = self.an_endpoint()
        self.a_gateway()
        self.call()
        endpoint.script = never_answer
        self.assertEqual(200, self.call(Prefer="wait=60").status)
        self.assertEqual((2, 1), (len(endpoint.requests), len(other.requests)))
        # An order is not retried on another endpoint.
        answer = self.call("POST", body=b"order", Prefer="wait=1")
        self.assertEqual((504, "unknown"), (answer.status, answer.outcome))
        self.assertEqual((3, 1), (len(endpoint.requests), len(other.requests)))

    def test_a_slow_caller_loses_its_slot(self) -> None:
        # A caller sends the first megabyte quickly and the rest byte by byte, while it holds a
        # slot. Each read makes progress, so no read timeout ends the transfer.
        endpoint = self.an_endpoint()
        self.a_gateway()
        answer = self.slowly(_limits.MAX_BUFFERED_BYTES)
        self.assertEqual((408, b"unknown"), (answer[0], answer[1]))
        self.assertEqual([], endpoint.requests)
        self.assertEqual([Verdict.UNUSED], self.slots.verdicts)

    def test_a_slow_caller_gets_no_slot(self) -> None:
        self.an_endpoint()
        self.a_gateway()
        self.assertEqual((408, b"not_run"), self.slowly(0))
        self.assertEqual([], self.slots.jobs)

    def slowly(self, quick: int) -> tuple[int, bytes]:
        """Send ``quick`` bytes at once, then byte by byte; return status and outcome."""
        connection = self.connect()
        connection.putrequest("POST", "/schools/x")
        connection.putheader("Authorization", "Bearer token-schools")
        connection.putheader("Content-Length", str(_limits.MAX_BUFFERED_BYTES + 100_000))
        connection.endheaders()
        connection.send(bytes(quick))
        if quick:
            self.slots.given.get(timeout=WAIT_S)
        self.patch(_caller, "MIN_RATE_GRACE_S", 0.0)
        for _ in range(1000):
            connection.send(b"x")
            if wait_for_read(connection.sock, 0.005):
                break
        else:
            self.fail("the slow transfer was not ended")
        response = connection.getresponse()
        return response.status, json.loads(response.read())["outcome"].encode()
