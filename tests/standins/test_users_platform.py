"""The stand-in of the users' platform itself."""

import json
from typing import Any
from unittest import mock
from unittest.mock import Mock

import urllib3
from testtools import TestCase

from standins import _users_endpoint
from standins._order_faults import OrderFault
from standins._users_endpoint import UsersEndpoint
from standins.users_platform import Amounts, CrashPlan, UsersPlatform
from tests.builders import an_address, an_order
from tests.execution.fakes import eventually

TASK = "a.0.0.0"
LEASE = {"expires_ms": 9_000}
NO_ANSWER = 0


class EndpointCase(TestCase):
    """A platform with one host, whose endpoint is called as an entry host calls it."""

    def setUp(self) -> None:
        super().setUp()
        self.platform = UsersPlatform(task_s=30.0)
        self.addCleanup(self.platform.close)
        self.host = self.platform.add_host("notices")
        self.endpoint = self.platform.endpoint_of(self.host)
        self.address = self.entry()["address"]
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)

    def entry(self) -> dict[str, Any]:
        return self.platform.value(f"servers/{self.endpoint}") or {}

    def send(self, path: str, **body: Any) -> tuple[int, dict[str, Any]]:
        headers = {"Expect-Instance": self.endpoint}
        data = json.dumps(an_order(**body))
        try:
            answer = self.http.request(
                "POST", f"http://{self.address}{path}", body=data, headers=headers
            )
        except urllib3.exceptions.HTTPError:
            return NO_ANSWER, {}
        return answer.status, json.loads(answer.data)

    def start(self, **body: Any) -> int:
        return self.send("/run-start", task=TASK, **body)[0]


class ClosedEndpointTest(TestCase):
    def test_a_start_that_reaches_a_closed_endpoint_is_no_run(self) -> None:
        """Guards against a test that sees a task run twice, since a start that arrived while its
        endpoint closed was recorded as a run that works."""
        platform = UsersPlatform()
        self.addCleanup(platform.close)
        endpoint = UsersEndpoint("i-1", an_address(), platform)
        endpoint.close()
        call = Mock(path="/run-start", body=json.dumps(an_order(TASK)).encode())
        call.header.return_value = "i-1"
        endpoint._serve(call, endpoint.address)
        call.disconnect.assert_called_once_with(reset=True)
        self.assertEqual([], platform.records)


class CrashTest(EndpointCase):
    def test_an_endpoint_that_comes_back_remembers_nothing(self) -> None:
        born = self.entry()["born"]
        self.assertEqual(200, self.start(run_id=7, fencing_token=5))
        self.platform.crash_endpoint(self.host, back_s=0.1)
        self.assertEqual("gone", self.platform.records[0].end_kind)
        self.assertTrue(eventually(lambda: self.entry().get("born", born) != born))
        self.assertEqual((1, self.address), (self.entry()["seq"], self.entry()["address"]))
        status, answer = self.send("/hold", fencing_token=1)
        self.assertEqual((200, [], []), (status, answer["running"], answer["ended"]))
        self.assertEqual(self.entry()["born"], answer["born"])
        self.assertEqual(200, self.start(run_id=1, fencing_token=1))

    def test_the_entry_of_a_silent_endpoint_is_removed_and_comes_back(self) -> None:
        self.platform.crash_endpoint(self.host, back_s=2.0)
        self.assertNotEqual({}, self.entry())
        self.assertTrue(eventually(lambda: self.entry() == {}))
        self.assertTrue(eventually(lambda: self.entry() != {}))

    def test_an_endpoint_that_does_not_come_back(self) -> None:
        self.platform.crash_endpoint(self.host, back_s=None)
        self.assertTrue(eventually(lambda: self.entry() == {}))
        self.assertEqual(NO_ANSWER, self.start())

    def test_an_endpoint_that_comes_back_under_another_id(self) -> None:
        self.platform.crash_endpoint(self.host, back_s=0.1, renamed=True)
        self.assertTrue(eventually(lambda: self.platform.endpoint_of(self.host) != self.endpoint))
        self.assertNotEqual({}, self.entry())
        answer = self.http.request("POST", f"http://{self.address}/hold", body="{}")
        self.assertEqual(421, answer.status)
        self.assertTrue(eventually(lambda: self.entry() == {}))
        self.endpoint = self.platform.endpoint_of(self.host)
        self.assertEqual(self.address, self.entry()["address"])
        self.assertEqual(200, self.start())

    def test_an_entry_is_not_written_while_the_store_is_down(self) -> None:
        born = self.entry()["born"]
        self.platform.store.down = True
        self.platform.crash_endpoint(self.host, back_s=0.0)
        self.assertTrue(eventually(lambda: self.send("/hold")[0] == 200))
        self.assertEqual(born, self.entry()["born"])
        self.platform.store.down = False
        self.assertTrue(eventually(lambda: self.entry()["born"] != born))

    def test_a_task_crashes_its_endpoint_before_the_answer(self) -> None:
        self.platform.crash_plan = lambda task, spec: CrashPlan(0.0, 0.1)
        self.assertEqual(NO_ANSWER, self.start())
        [run], [crash] = self.platform.records, self.platform.crashes
        self.assertEqual(("gone", TASK, crash.at), (run.end_kind, crash.culprit, run.ended))

    def test_a_task_crashes_its_endpoint_after_the_answer(self) -> None:
        plans = {"bad": CrashPlan(0.02, 0.1)}
        self.platform.crash_plan = lambda task, spec: plans.get(spec)
        self.assertEqual(200, self.start(run_id=1, spec="good"))
        self.assertEqual([], self.platform.crashes)
        self.assertEqual(200, self.start(run_id=2, spec="bad"))
        self.assertTrue(eventually(lambda: len(self.platform.crashes) == 1))
        self.assertEqual({"gone"}, {run.end_kind for run in self.platform.records})


class EndpointTest(EndpointCase):
    def test_the_entry_shows_a_capacity_that_changes(self) -> None:
        self.platform.set_capacity(self.host, Amounts(4000, 1000))
        self.assertEqual({"cpu": 4000, "mem_mb": 1000, "gpu": 0}, self.entry()["capacity"])
        self.assertEqual(2, self.entry()["seq"])
        self.platform.crash_endpoint(self.host, back_s=0.0)
        self.assertTrue(eventually(lambda: self.entry()["seq"] == 1))
        self.assertEqual(4000, self.entry()["capacity"]["cpu"])

    def test_a_run_that_is_being_stopped_is_listed_until_it_ended(self) -> None:
        """Guards against a product that counts what is being stopped as free, unseen by tests."""
        self.assertEqual(200, self.start())
        with mock.patch.object(_users_endpoint, "STOP_S", 2.0):
            self.assertEqual(200, self.send("/run-stop", task=TASK)[0])
        self.assertEqual("", self.platform.records[0].end_kind)
        self.assertTrue(eventually(lambda: self.platform.records[0].end_kind == "stopped"))
        self.assertEqual("old", self.send("/run-start", task=TASK)[1]["reason"])

    def test_an_endpoint_that_fails_what_it_starts(self) -> None:
        self.platform.failing.add(self.host)
        self.assertEqual(200, self.start())
        self.assertTrue(eventually(lambda: self.platform.records[0].end_kind == "failed"))

    def test_a_lease_in_the_past_starts_nothing(self) -> None:
        self.assertEqual(409, self.start(expires_ms=0))
        self.assertEqual([], self.platform.records)

    def test_a_start_past_its_own_lease_starts_nothing_beside_a_later_lease(self) -> None:
        """Guards against a start that begins after its sender had to take it for expired."""
        self.assertEqual(200, self.send("/hold", **LEASE)[0])
        self.assertEqual(409, self.start(expires_ms=1))
        self.assertEqual([], self.platform.records)


class PartitionTest(EndpointCase):
    def test_an_endpoint_that_is_cut_off_answers_nothing_and_works_on(self) -> None:
        """Guards against a partition that ends runs, which would judge no owner."""
        self.start()
        self.platform.cut_endpoint(self.host, 0.6)
        self.assertEqual(NO_ANSWER, self.start())
        self.assertEqual([0.0], [run.ended for run in self.platform.records])
        self.assertEqual(200, self.start())

    def test_the_entry_of_an_endpoint_that_is_cut_off_lapses_and_comes_back(self) -> None:
        """Guards against partitions that an owner could tell from a crash by the entry."""
        self.platform.cut_endpoint(self.host, 2.0)
        self.assertTrue(eventually(lambda: not self.entry()))
        self.assertTrue(eventually(lambda: bool(self.entry())))

    def test_an_end_whose_lease_lapsed_behind_a_partition_counts_as_not_noted(self) -> None:
        """Guards against a task called done twice whose first end no owner could have seen."""
        self.platform.task_s = 0.1
        self.start(expires_ms=300)
        self.platform.cut_endpoint(self.host, 1.5)
        self.assertTrue(eventually(lambda: self.send("/hold", ack_cursor=1)[0] == 200))
        [run] = self.platform.records
        self.assertEqual(("done", False, True), (run.end_kind, run.noted, run.outdated))

    def test_the_entry_of_an_endpoint_that_does_not_reach_the_store_lapses(self) -> None:
        """Guards against a process that an owner knows by its entry before it could write one."""
        born = self.entry()["born"]
        self.platform.unheard.add(self.host)
        self.platform.restart_endpoint(self.host, 0.0)
        self.assertEqual(born, self.entry()["born"])
        self.assertTrue(eventually(lambda: not self.entry()))
        self.assertEqual(200, self.start())
        self.platform.unheard.clear()
        self.assertTrue(eventually(lambda: self.entry().get("born", born) != born))


class OrderFaultTest(EndpointCase):
    def lose(self, fault: OrderFault) -> None:
        faults = mock.patch.object(self.platform.order_faults, "draw", return_value=fault)
        faults.start()
        self.addCleanup(faults.stop)

    def test_a_dropped_order_does_nothing(self) -> None:
        self.lose(OrderFault.DROPPED)
        self.assertEqual(NO_ANSWER, self.start())
        self.assertEqual([], self.platform.records)

    def test_an_order_whose_answer_is_lost_is_carried_out(self) -> None:
        self.lose(OrderFault.ANSWER_LOST)
        self.assertEqual(NO_ANSWER, self.start())
        self.assertEqual(1, len(self.platform.records))

    def test_a_late_start_is_carried_out_after_its_sender_gave_up(self) -> None:
        """Guards against a late start that is judged as if its sender had only just sent it."""
        self.patch(_users_endpoint, "LATE_S", (0.2, 0.2))
        self.lose(OrderFault.LATE)
        self.assertEqual(NO_ANSWER, self.start())
        self.assertEqual([], self.platform.records)
        self.assertTrue(eventually(lambda: bool(self.platform.records)))
        self.assertTrue(self.platform.records[0].late)

    def test_a_held_start_is_carried_out_by_the_next_process(self) -> None:
        """Guards against a platform on which no start outlives the process it was meant for."""
        self.platform.order_faults.begin_one("/run-start", OrderFault.HELD)
        status = self.send("/hold")[0]
        with mock.patch.object(self.platform, "loses_orders", return_value=False):
            self.assertEqual((200, NO_ANSWER), (status, self.start()))
        self.platform.restart_endpoint(self.host, 0.0)
        self.assertEqual([], self.platform.records)
        self.platform.carry_out_held(self.host)
        self.assertEqual([("", True)], [(r.end_kind, r.late) for r in self.platform.records])
