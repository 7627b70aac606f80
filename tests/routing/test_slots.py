"""Slots with several gateway processes: asks, grants, scheduler replacement, withdrawal."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import msgspec
from returns.result import Result, Success
from testtools import TestCase

from lentilrill.fleet import HostPhase
from lentilrill.ids import PoolId, RequestId
from lentilrill.inner import Refusal, Verdict, WithdrawalAck
from lentilrill.membership import Role
from lentilrill.routing import Decline, Slot, _client, _waiters
from tests import builders
from tests.routing.site import Fleet, Gateway, Members, a_job, eventually

WAIT_S = 20.0
POOL = PoolId("schools")


class SlotsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.keys = builders.inner_keys()
        self.members = Members()
        self.fleet = Fleet()
        self.fleet.hosts(builders.an_entry("h1"))
        self.gateways = [self.a_gateway(f"gw-{n}") for n in range(3)]
        self.fleet.register(*self.members.living)
        for gateway in self.gateways:
            gateway.routing.placement.refresh()
            gateway.start()
        self.threads = ThreadPoolExecutor(16)
        self.addCleanup(self.threads.shutdown)

    def a_gateway(self, name: str) -> Gateway:
        gateway = Gateway(name, self.keys, self.members, self.fleet)
        self.addCleanup(gateway.close)
        return gateway

    def acquire(self, gateway: Gateway, wait_s: float = WAIT_S) -> "Future[Result[Slot, Decline]]":
        return self.threads.submit(gateway.slots.acquire, a_job(time.monotonic() + wait_s))

    def scheduling(self) -> Gateway:
        scheduler = self.gateways[0].routing.placement.scheduler(POOL)
        assert scheduler is not None
        return next(g for g in self.gateways if g.member == scheduler)

    def others(self) -> list[Gateway]:
        return [gateway for gateway in self.gateways if gateway is not self.scheduling()]

    def test_a_slot_from_any_gateway(self) -> None:
        for gateway in self.gateways:
            slot = self.acquire(gateway).result(WAIT_S).unwrap()
            self.assertEqual("h1", slot.host)
            self.assertIsInstance(gateway.slots.start(slot), Success)
            gateway.slots.release(slot, Verdict.OK, 0.01)

    def test_no_more_slots_than_hosts_have(self) -> None:
        # Three gateways ask at once for slots of a host with two slots. If each gateway counted
        # separately, six jobs would run on it. The scheduler makes two grants at a time.
        waits = [(g, self.acquire(g)) for g in self.gateways for _ in range(2)]
        ended = 0
        while waits:
            held = [(g, f) for g, f in waits if f.done()]
            self.assertLessEqual(len(held), 2)
            for gateway, future in held:
                gateway.slots.release(future.result().unwrap(), Verdict.OK, 0.01)
                ended += 1
            waits = [(g, f) for g, f in waits if (g, f) not in held]
        self.assertEqual(6, ended)

    def test_an_abandoned_wait_ends_at_once(self) -> None:
        # A caller disconnects while its job waits. Its thread must return at once, and the slot
        # that is freed later must go to another job.
        one, two = self.others()
        held = [self.acquire(one).result(WAIT_S).unwrap() for _ in range(2)]
        job = a_job(time.monotonic() + 600.0)
        waiting = self.threads.submit(two.slots.acquire, job)
        eventually(lambda: two.slots.waiting > 0)
        two.slots.abandon(job.request)
        self.assertNotIsInstance(waiting.result(WAIT_S), Success)
        scheduler = self.scheduling().routing.schedulers.schedulers_by_pool[POOL]
        eventually(lambda: scheduler.waiting == 0)
        one.slots.release(held[0], Verdict.OK, 0.01)
        self.assertIsInstance(self.acquire(one).result(WAIT_S), Success)

    def test_a_job_that_was_abandoned_before_it_waits_is_declined(self) -> None:
        """Guards against a job that waits until its deadline, and may take a slot, although its
        caller disconnected just before it began to wait."""
        one, two = self.others()
        for _ in range(2):
            self.acquire(one).result(WAIT_S).unwrap()
        job = msgspec.structs.replace(a_job(time.monotonic() + 600.0), is_abandoned=lambda: True)
        two.slots.abandon(job.request)
        self.assertNotIsInstance(
            self.threads.submit(two.slots.acquire, job).result(WAIT_S), Success
        )
        self.assertEqual(0, two.slots.waiting)

    def test_an_answer_between_two_waits_is_not_missed(self) -> None:
        # A membership change wakes a waiting thread, and its answer arrives just before it waits
        # again. If that wake-up were cleared, the caller would wait until the ask is repeated.
        self.patch(_client, "ASK_INTERVAL_S", 600.0)
        slots = self.others()[0].slots
        for _ in range(2):
            self.acquire(self.others()[0]).result(WAIT_S).unwrap()
        job = a_job(time.monotonic() + 600.0)

        class AnsweredAtClear(threading.Event):
            def clear(self) -> None:
                slots.abandon(job.request)
                super().clear()

        self.patch(_waiters.threading, "Event", AnsweredAtClear)
        waiting = self.threads.submit(slots.acquire, job)
        eventually(lambda: slots.waiting > 0)
        slots._waiters_by_request[job.request].woken.set()
        self.assertNotIsInstance(waiting.result(WAIT_S), Success)

    def test_a_job_past_its_deadline_is_declined(self) -> None:
        one = self.others()[0]
        for _ in range(2):
            self.acquire(one).result(WAIT_S).unwrap()
        decline = self.acquire(one, 0.2).result(WAIT_S).failure()
        self.assertEqual(Refusal.TOO_LATE, decline.refusal)
        self.assertIsNotNone(decline.retry_after_s)

    def test_a_lost_scheduler_is_replaced(self) -> None:
        # The scheduler's process dies while jobs run and others wait. The next scheduler must
        # receive the two outstanding grants before it makes any, or four jobs would run on two
        # slots. The waiting job must be granted a slot without a retry by its caller, as soon as
        # the change is known.
        self.patch(_client, "ASK_INTERVAL_S", 600.0)
        one, two = self.others()
        held = [self.acquire(one).result(WAIT_S).unwrap() for _ in range(2)]
        waiting = self.acquire(two)
        lost = self.scheduling()
        lost.close()
        self.members.end(lost.member)
        self.gateways.remove(lost)
        scheduler = self.scheduling().routing.schedulers
        eventually(lambda: POOL in scheduler.schedulers_by_pool)
        eventually(lambda: not scheduler.schedulers_by_pool[POOL].awaited_gateways)
        self.assertEqual(2, scheduler.schedulers_by_pool[POOL].running)
        self.assertFalse(waiting.done())
        one.slots.release(held[0], Verdict.OK, 0.01)
        self.assertIsInstance(waiting.result(WAIT_S), Success)

    def test_a_withdrawing_host_is_acknowledged_when_idle(self) -> None:
        # A host is withdrawn while a job runs on it. If this were acknowledged too early, the host
        # would change its pool under the job. The gateway that sent the job and the scheduler that
        # tracks its grant acknowledge after the job has ended, the third gateway at once.
        controller = builders.a_member(
            "ctl", role=Role.CONTROLLER, inner=self.gateways[0].member.inner
        )
        acks: dict[str, int] = {}

        def record_ack(batch: object, ack: WithdrawalAck) -> None:
            acks[ack.member.process] = ack.barred[0].revision

        self.gateways[0].node.on(WithdrawalAck, record_ack)
        self.members.living.append(controller)
        one = self.others()[0]
        slot = self.acquire(one).result(WAIT_S).unwrap()
        self.assertIsInstance(one.slots.start(slot), Success)
        leaving = builders.an_entry("h1", phase=HostPhase.WITHDRAWING)
        revision = self.fleet.hosts(leaving, builders.an_entry("h2"))
        third = self.others()[1].member.process
        eventually(lambda: len(acks) == 1)
        self.assertEqual([third], list(acks))
        self.assertEqual((), self.scheduling().routing.acknowledger._blocked_hosts())
        self.assertFalse(one.routing.ledger.drained(slot.host, revision))
        one.slots.release(slot, Verdict.OK, 0.01)
        eventually(lambda: len(acks) == 3)
        self.assertEqual({revision}, set(acks.values()))
        self.assertEqual("h2", self.acquire(one).result(WAIT_S).unwrap().host)

    def test_a_scheduler_tracks_the_job_of_a_killed_gateway(self) -> None:
        # A gateway is killed while its job runs on a host, so no process reports the job's end. If
        # the other gateways' acknowledgements sufficed, the host would be stopped, or change its
        # pool, under the running job.
        one = self.others()[0]
        slot = self.acquire(one).result(WAIT_S).unwrap()
        self.assertIsInstance(one.slots.start(slot), Success)
        one.close()
        self.gateways.remove(one)
        self.members.end(one.member, proved=True)
        scheduling = self.scheduling().routing
        scheduler = scheduling.schedulers.schedulers_by_pool[POOL]
        eventually(lambda: scheduler.running == 0)
        self.fleet.hosts(builders.an_entry("h1", phase=HostPhase.WITHDRAWING))
        self.assertEqual((), scheduling.acknowledger._blocked_hosts())
        self.assertEqual("h1", self.others()[0].routing.acknowledger._blocked_hosts()[0].host)

    def test_the_next_scheduler_tracks_the_job_of_a_killed_one(self) -> None:
        """A host was stopped under the job of a killed gateway that was also the scheduler."""
        one = self.scheduling()
        slot = self.acquire(one).result(WAIT_S).unwrap()
        self.assertIsInstance(one.slots.start(slot), Success)
        [successor] = [
            g for g in self.others() if g.member == one.routing.placement.next_scheduler(POOL)
        ]
        eventually(lambda: successor.routing.schedulers.occupies(slot.host))
        self.fleet.hosts(builders.an_entry("h1", phase=HostPhase.WITHDRAWING))
        self.assertEqual((), successor.routing.acknowledger._blocked_hosts())
        one.close()
        self.gateways.remove(one)
        self.members.end(one.member, proved=True)
        self.assertEqual(successor, self.scheduling())
        successor.routing.schedulers.tick()
        self.assertEqual((), successor.routing.acknowledger._blocked_hosts())

    def test_a_host_is_free_for_the_next_scheduler_when_a_job_has_ended(self) -> None:
        """A withdrawal waited for the maximum run time of a job that had already ended."""
        one = self.scheduling()
        slot = self.acquire(one).result(WAIT_S).unwrap()
        successors = [g.routing.schedulers for g in self.others()]
        eventually(lambda: any(successor.occupies(slot.host) for successor in successors))
        one.slots.release(slot, Verdict.OK, 0.01)
        eventually(lambda: not any(successor.occupies(slot.host) for successor in successors))

    def test_a_spilled_job_goes_to_the_other_zone(self) -> None:
        self.fleet.hosts(msgspec.structs.replace(builders.an_entry("h9"), zone="z2"))
        far = builders.a_member("gw-9", zone="z2", http="127.0.0.1:99")
        self.members.living.append(far)
        self.members.change()
        slot = self.acquire(self.gateways[0]).result(WAIT_S).unwrap()
        self.assertEqual((far.http, "z2"), (slot.address, slot.zone))
        self.assertIsInstance(self.gateways[0].slots.start(slot), Success)
        self.gateways[0].slots.release(slot, Verdict.OK, 0.01)

    def test_an_unknown_request_can_be_abandoned(self) -> None:
        self.gateways[0].slots.abandon(RequestId("nobody"))
