"""Schedulers in several processes: inconsistent membership, spilling, reports to controllers."""

import queue
import time
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from lentilrill.ids import PoolId
from lentilrill.inner import HostTrouble, Verdict
from lentilrill.membership import Role, rendezvous
from lentilrill.routing import Slot, SlotTarget, _client
from tests import builders
from tests.routing.site import Fleet, Gateway, Members, a_job, eventually

WAIT_S = 20.0
POOL = PoolId("schools")


class ZonesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.keys = builders.inner_keys()
        self.members = Members()
        self.fleet = Fleet()
        self.threads = ThreadPoolExecutor(8)
        self.addCleanup(self.threads.shutdown)

    def a_gateway(self, name: str, zone: str = "z1", members: Members | None = None) -> Gateway:
        gateway = Gateway(name, self.keys, members or self.members, self.fleet, zone)
        self.addCleanup(gateway.close)
        return gateway

    def start(self, *gateways: Gateway) -> None:
        for zone in {gateway.member.zone for gateway in gateways}:
            self.fleet.register(*(g.member for g in gateways if g.member.zone == zone))
        for gateway in gateways:
            gateway.routing.placement.refresh()
            gateway.start()

    def acquire(self, gateway: Gateway, wait_s: float = WAIT_S) -> Slot:
        job = a_job(time.monotonic() + wait_s)
        return self.threads.submit(gateway.slots.acquire, job).result(WAIT_S).unwrap()

    def test_a_gateway_refused_by_another_scheduler_insists(self) -> None:
        # One gateway is partitioned from the scheduler, the others are not. It selects the next
        # gateway as the scheduler, which refuses. Without `insist` its callers would be refused
        # for as long as the membership lists differ.
        self.patch(_client, "INSIST_AFTER_S", 0.0)
        self.fleet.hosts(builders.an_entry("h1"))
        lowest, middle, highest = self.by_rank("gw-1", "gw-2", "gw-3")
        known_to_cut_off = Members()
        scheduler, other = self.a_gateway(highest), self.a_gateway(middle)
        cut_off = self.a_gateway(lowest, members=known_to_cut_off)
        known_to_cut_off.living.append(other.member)
        self.start(scheduler, other, cut_off)
        self.assertEqual(scheduler.member, other.routing.placement.scheduler(POOL))
        self.assertEqual(other.member, cut_off.routing.placement.scheduler(POOL))
        self.assertEqual("h1", self.acquire(cut_off).host)
        # Two schedulers now grant h1's two slots; the second gets reports of the first's grants.
        self.acquire(scheduler)
        second = other.routing.schedulers.schedulers_by_pool[POOL]
        eventually(lambda: second.running == 2)

    def by_rank(self, *names: str) -> list[str]:
        """Return the process names in ascending order of preference as the pool's scheduler."""
        members = [builders.a_member(name) for name in names]
        ranked: list[str] = []
        while members:
            first = rendezvous(f"{POOL}/z1", members)
            assert first is not None
            members.remove(first)
            ranked.insert(0, first.process)
        return ranked

    def test_a_full_zone_spills_to_one_with_free_slots(self) -> None:
        # Every slot of the pool in this zone runs a long job, while another zone has free slots.
        # Without spilling, the caller's wait would expire with slots idle nearby.
        self.fleet.hosts(builders.an_entry("h1"), builders.an_entry("h2", zone="z2"))
        near, far = self.a_gateway("gw-1"), self.a_gateway("gw-2", "z2")
        self.start(near, far)
        for _ in range(3):
            slot = self.acquire(near)
            near.slots.release(slot, Verdict.OK, 5.0)
        held = [self.acquire(near) for _ in range(2)]
        self.assertEqual([SlotTarget.ENDPOINT] * 2, [slot.target for slot in held])
        scheduler = near.routing.schedulers.schedulers_by_pool[POOL]
        loads = scheduler._other_zones._loads_by_zone
        eventually(lambda: "z2" in loads and loads["z2"].load.free > 0)
        spilled = self.acquire(near)
        self.assertEqual((SlotTarget.ZONE, "z2"), (spilled.target, spilled.zone))

    def test_leaving_hosts_are_reported_to_controllers(self) -> None:
        # An endpoint reports that it is leaving while the platform's host list still shows it as
        # live. The controllers can't replace it unless the scheduler reports it.
        received: queue.Queue[HostTrouble] = queue.Queue()
        self.fleet.hosts(builders.an_entry("h1"), builders.an_entry("h2"))
        gateway = self.a_gateway("gw-1")
        controller = builders.a_member("ctl", role=Role.CONTROLLER, inner=gateway.member.inner)
        gateway.node.on(HostTrouble, lambda batch, trouble: received.put(trouble))
        self.members.living.append(controller)
        self.start(gateway)
        slot = self.acquire(gateway)
        gateway.slots.release(slot, Verdict.LEAVING, 0.01)
        self.assertEqual((slot.host,), received.get(timeout=WAIT_S).leaving)

    def test_a_slot_on_a_withdrawn_host_is_replaced(self) -> None:
        # A host is withdrawn while grants for it are in transit. The job was not sent, so the
        # gateway acquires another slot and the caller is not affected.
        self.fleet.hosts(builders.an_entry("h1"), builders.an_entry("h2"))
        gateway = self.a_gateway("gw-1")
        self.start(gateway)
        slot = self.acquire(gateway)
        other = "h2" if slot.host == "h1" else "h1"
        self.fleet.hosts(builders.an_entry(other))
        self.assertTrue(gateway.slots.start(slot).failure())
        gateway.slots.release(slot, Verdict.UNUSED, 0.0)
        self.assertEqual(other, self.acquire(gateway).host)
