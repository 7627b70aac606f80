"""The operators' HTTP API with the real platform client and a stand-in with faults."""

import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec
from testtools import TestCase

from lentilrill.settings import PlatformSettings
from lentilrill.store import EtcdKeyValue
from lentilrill.telemetry import NoMetrics
from standins.platform import PlatformStandin
from tests.builders import a_document, a_plan
from tests.operators.serving import ServedController, lists_body

EDITORS = 6


class OverPlatformTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = PlatformStandin("127.0.0.1:0", threads=16)
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.first, self.second = self.serve(), self.serve()

    def serve(self) -> ServedController:
        address = self.platform.address
        settings = PlatformSettings((address,), address, deadline_s=5.0, calls_per_s=1000.0)
        served = ServedController(EtcdKeyValue(settings, NoMetrics()))
        served.server.start()
        self.addCleanup(served.server.stop)
        return served

    def put(
        self, served: ServedController, base: int, hosts_owed: int, **more: object
    ) -> tuple[int, dict]:
        lists = msgspec.structs.replace(
            a_document("schools", "spare"),
            plans=(a_plan(hosts_owed=hosts_owed), a_plan("spare")),
        )
        return served.send("PUT", "/v1/config", lists_body(lists, base, **more))

    def faults(self, **faults: object) -> None:
        self.platform.set_faults(**faults)

    def test_lost_response_is_resolved(self) -> None:
        # The platform stores the edit and the connection breaks before the response.
        self.faults(lose_answers=1)
        status, answer = self.put(self.first, 0, 2)
        self.assertEqual((200, "accepted", 1), (status, answer["verdict"], answer["number"]))
        _, config = self.second.send("GET", "/v1/config")
        self.assertEqual(answer["revision"], config["revision"])

    def test_stale_replica_does_not_turn_an_accepted_edit_into_a_conflict(self) -> None:
        # The response is lost, and every read comes from a replica that lags behind the edit: the
        # outcome can't be determined yet, and a conflict would be wrong. Retried later at another
        # controller, the edit is recognized and not applied twice.
        _, first = self.put(self.first, 0, 2)
        base, name = first["revision"], "edit-of-asha"
        self.faults(stale=True, lose_answers=1)
        status, problem = self.put(self.first, base, 3, write_id=name)
        self.assertEqual((504, "unknown"), (status, problem["verdict"]))
        self.faults(stale=False)
        status, answer = self.put(self.second, base, 3, write_id=name)
        self.assertEqual((200, "accepted", 2), (status, answer["verdict"], answer["number"]))
        self.assertEqual(problem["write_id"], answer["write_id"])

    def test_a_stale_read_before_the_edit_is_a_conflict(self) -> None:
        # The controller reads a stale document that matches the operator's base, while another
        # edit is in force. The comparison in the store decides, not the read.
        _, first = self.put(self.first, 0, 2)
        self.faults(stale=True)
        self.assertEqual(200, self.put(self.first, first["revision"], 3)[0])
        status, problem = self.put(self.second, first["revision"], 4)
        self.assertIn((status, problem["verdict"]), ((409, "conflict"), (504, "unknown")))
        self.faults(stale=False)
        _, config = self.first.send("GET", "/v1/config")
        self.assertEqual(3, config["document"]["plans"][0]["hosts_owed"])

    def test_a_platform_that_is_down(self) -> None:
        _, first = self.put(self.first, 0, 2)
        self.faults(down=True)
        status, problem = self.put(self.first, first["revision"], 3)
        self.assertEqual((503, "unavailable"), (status, problem["verdict"]))
        self.faults(down=False)
        self.assertEqual(1, self.second.send("GET", "/v1/config")[1]["document"]["edit"])

    def test_concurrent_edits_of_one_revision(self) -> None:
        # Concurrent edits through both controllers: one is accepted, the others get a conflict.
        _, first = self.put(self.first, 0, 2)
        barrier = threading.Barrier(EDITORS)

        def edit(n: int) -> int:
            barrier.wait()
            served = self.first if n % 2 else self.second
            return self.put(served, first["revision"], 10 + n)[0]

        with ThreadPoolExecutor(EDITORS) as pool:
            statuses = sorted(pool.map(edit, range(EDITORS)))
        self.assertEqual([200] + [409] * (EDITORS - 1), statuses)

    def test_the_largest_document_fits(self) -> None:
        # A document just below the platform's size limit for a value is stored; a larger one is
        # refused by the controller with a clear error, before the platform rejects it.
        def with_zones(count: int) -> bytes:
            document = a_document("schools", "spare")
            zones = tuple(f"zone-{n:06d}" for n in range(count))
            wide = msgspec.structs.replace(document.entitlements[0], zones=zones)
            lists = msgspec.structs.replace(document, entitlements=(wide, document.entitlements[1]))
            return lists_body(lists, 0)

        status, problem = self.first.send("PUT", "/v1/config", with_zones(71_500))
        self.assertEqual(422, status)
        self.assertIn("1000000", problem["findings"][-1]["message"])
        status, answer = self.first.send("PUT", "/v1/config", with_zones(71_000))
        self.assertEqual((200, "accepted"), (status, answer["verdict"]))
