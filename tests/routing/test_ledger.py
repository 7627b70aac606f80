"""Registry of sends: atomic check and registration, and acknowledgement of withdrawals."""

import threading
from unittest import mock

from returns.result import Failure, Success
from testtools import TestCase

from lentilrill.faults import FaultKind
from lentilrill.fleet import FleetView, HostPhase
from lentilrill.ids import GrantId, HostId, PoolId, RequestId, ZoneId
from lentilrill.routing import SendLedger, Slot, SlotTarget
from tests import builders
from tests.routing.site import Clock, Fleet

H1 = HostId("h1")


class LedgerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.me = builders.a_member("gw-1")
        self.fleet = Fleet()
        self.fleet.hosts(builders.an_entry("h1"))
        self.fleet.register(self.me)
        self.ledger = SendLedger(self.fleet.view, self.me, self.clock)

    def a_slot(self, grant: str = "g1", pool: str = "schools") -> Slot:
        return Slot(
            RequestId(grant),
            PoolId(pool),
            SlotTarget.ENDPOINT,
            "127.0.0.1:1",
            GrantId(grant),
            H1,
            ZoneId("z1"),
            self.clock.now + 2.0,
        )

    def withdraw(self) -> int:
        return self.fleet.hosts(builders.an_entry("h1", phase=HostPhase.WITHDRAWING))

    def test_a_send_is_entered_until_released(self) -> None:
        slot = self.a_slot()
        self.assertIsInstance(self.ledger.start(slot), Success)
        self.assertEqual((1, 1), (self.ledger.in_flight(H1), self.ledger.total))
        self.ledger.release(slot)
        self.ledger.release(slot)
        self.assertEqual((0, 0), (self.ledger.in_flight(H1), self.ledger.total))

    def test_a_paused_process_does_not_send_on_an_old_grant(self) -> None:
        # A gateway is granted a slot and then paused. The scheduler is replaced, and the slot is
        # granted again. When the gateway resumes, it must not send on the old grant.
        slot = self.a_slot()
        self.clock.now += 2.0
        self.assertEqual(FaultKind.EXHAUSTED, self.ledger.start(slot).failure().kind)

    def test_nothing_is_sent_to_a_withdrawing_or_moved_host(self) -> None:
        slot = self.a_slot()
        self.withdraw()
        self.assertEqual(FaultKind.REFUSED, self.ledger.start(slot).failure().kind)
        self.fleet.hosts()
        self.fleet.hosts(builders.an_entry("h1"), pool="library")
        self.assertEqual(FaultKind.REFUSED, self.ledger.start(slot).failure().kind)
        self.assertIsInstance(self.ledger.start(self.a_slot(pool="library")), Success)

    def test_nothing_is_sent_to_a_host_of_another_zone(self) -> None:
        # A withdrawal waits only for the gateways of the host's own zone. If a gateway of another
        # zone sent a job to the host, the host could change its pool under that job.
        self.fleet.hosts(builders.an_entry("h1", zone="z2"))
        self.assertEqual(FaultKind.REFUSED, self.ledger.start(self.a_slot()).failure().kind)

    def test_a_host_with_a_send_in_flight_is_not_drained(self) -> None:
        slot = self.a_slot()
        self.ledger.start(slot)
        revision = self.withdraw()
        self.assertEqual((), self.ledger.blocked_hosts())
        self.ledger.release(slot)
        self.assertTrue(self.ledger.drained(H1, revision))
        self.assertFalse(self.ledger.drained(H1, revision + 1))

    def test_no_acknowledgement_between_check_and_send(self) -> None:
        # A thread checks that a host serves and is suspended there. The withdrawal arrives, nothing
        # is in flight, and the gateway acknowledges; the host changes its pool, then the thread
        # sends. So the check for sends in flight must wait until the send is registered.
        checked, resume = threading.Event(), threading.Event()
        hosts = self.fleet.view.hosts_by_id

        def suspended(view: FleetView) -> object:
            if threading.current_thread().name == "sender":
                checked.set()
                resume.wait(20.0)
                return hosts
            return view._hosts_by_id

        drained: list[bool] = []
        with mock.patch.object(FleetView, "hosts_by_id", property(suspended)):
            sender = threading.Thread(
                target=self.ledger.start, args=(self.a_slot(),), name="sender"
            )
            sender.start()
            self.assertTrue(checked.wait(20.0))
            revision = self.withdraw()
            checker = threading.Thread(
                target=lambda: drained.append(self.ledger.drained(H1, revision))
            )
            checker.start()
            checker.join(0.3)
            resume.set()
            sender.join(20.0)
            checker.join(20.0)
        self.assertEqual([False], drained)

    def test_an_unregistered_process_sends_nothing(self) -> None:
        other = builders.a_member("gw-1")
        ledger = SendLedger(self.fleet.view, other, self.clock)
        self.assertIsInstance(ledger.start(self.a_slot()), Failure)

    def test_a_new_gateway_with_an_old_pool_record_sends_nothing(self) -> None:
        # A gateway registers just after the withdrawal of a host was closed without waiting for
        # it. It sees its registration before it sees that change, and would send to a host that
        # another pool uses by now.
        newcomer = builders.a_member("gw-2")
        ledger = SendLedger(self.fleet.view, newcomer, self.clock)
        registered = self.fleet.register(self.me, newcomer, complete=False)
        self.assertIsInstance(ledger.start(self.a_slot()), Failure)
        self.fleet.mirror.merge((), registered)
        self.assertIsInstance(ledger.start(self.a_slot()), Success)
