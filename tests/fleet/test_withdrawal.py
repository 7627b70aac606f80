"""Withdrawals: each host in one pool, released only after all gateways acknowledged."""

import msgspec
from returns.result import Failure, Success
from testtools import TestCase

from lentilrill.fleet import HostPhase, PoolRecord
from lentilrill.fleet._actions import Assign
from lentilrill.fleet._coordination import ControllerRank
from lentilrill.fleet._record_store import Basis, PoolRecordStore
from lentilrill.ids import HostId, Incarnation, PoolId, Revision, StopId
from lentilrill.inner import Barred, WithdrawalAck
from lentilrill.settings import Document, PlannedStop
from lentilrill.store import HostState, Mirror
from tests.builders import a_member, a_plan, a_pool
from tests.fleet.world import World


def a_stop(*hosts: str, name: str = "s1", **changes) -> PlannedStop:
    return PlannedStop(StopId(name), tuple(HostId(h) for h in hosts), **changes)


class WithdrawalTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        document = Document((a_plan("ballots"),), (a_pool("ballots"),))
        self.world = World(document)
        for host in ("h1", "h2"):
            self.world.host(host)
        self.controller = self.world.controller()
        self.world.run(2)
        self.gateway = self.world.gateways["gw-z1"]

    def phase(self, host: str = "h1") -> HostPhase:
        return self.world.entries("ballots")[HostId(host)].phase

    def propose(self) -> Revision:
        self.world.change(stops=(a_stop("h1"),))
        self.world.run(acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())
        return self.world.records()[PoolId("ballots")][1]

    def test_silence_and_time_do_not_count_as_acknowledgements(self) -> None:
        # A request is cut off: a gateway that was paused for an hour between its check and its
        # send resumes and sends to a host that was released because the gateway was silent.
        self.propose()
        self.world.run(3, step_s=1200, acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())
        self.world.run(2)
        self.assertEqual(HostPhase.STOPPED, self.phase())

    def test_a_new_gateway_must_acknowledge_too(self) -> None:
        # A job reaches a stopped host: a gateway registered before the stop was proposed, but the
        # controller that closes the withdrawal has not received the new zone record yet.
        new_gateway = a_member("gw-new")
        self.world.change(stops=(a_stop("h1"),))
        self.world.sync()
        self.world.register(new_gateway)
        self.world.now += 1
        self.controller.task.run_once()
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())
        self.world.ack(self.gateway)
        self.controller.task.run_once()
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())
        self.world.run(2)
        self.assertEqual(HostPhase.STOPPED, self.phase())

    def test_an_acknowledgement_of_a_cancelled_stop_does_not_count(self) -> None:
        # A job reaches a stopped host: the gateway acknowledged, the stop was cancelled and the
        # gateway sent again; then the stop is declared again and the old message arrives late.
        first = self.propose()
        self.world.change(stops=())
        self.world.run(acks=False)
        self.assertEqual(HostPhase.SERVING, self.phase())
        self.propose()
        late = WithdrawalAck(self.gateway, (Barred(HostId("h1"), first),))
        self.world.send_message(self.gateway, late)
        self.world.run(2, acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())

    def test_each_incarnation_must_acknowledge(self) -> None:
        # A job reaches a stopped host: the gateway acknowledged and was restarted, and its next
        # incarnation loaded an old state that does not contain the stop.
        self.propose()
        self.world.ack(self.gateway)
        restarted = msgspec.structs.replace(
            self.gateway, incarnation=Incarnation(self.gateway.incarnation + 1)
        )
        self.world.register(restarted)
        self.world.run(2, acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())

    def test_an_acknowledgement_counts_only_from_its_sender(self) -> None:
        # A job reaches a stopped host: a message of another process names this gateway.
        revision = self.propose()
        ack = WithdrawalAck(self.gateway, (Barred(HostId("h1"), revision),))
        self.world.send_message(a_member("gw-other"), ack)
        self.world.run(2, acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())

    def test_a_host_is_assigned_once(self) -> None:
        # One host gets jobs of two pools: a controller with an old view sees the host as new and
        # adds it to another pool, whose record has not changed, so its comparison succeeds.
        self.world.host("h9")
        info = self.world.hosts.infos_by_id["h9"]
        records = {PoolId(p): (PoolRecord(PoolId(p)), Revision(0)) for p in ("a", "b")}
        document = self.world.kv.items_by_key["state/document"].revision
        answers = []
        for pool in records:
            store = PoolRecordStore(self.world.kv, Mirror())
            basis = Basis(document, dict(records), {}, frozenset(), 0.0)
            answers.append(store.apply(pool, [Assign(HostId("h9"), pool, info, "")], basis))
        self.assertEqual([Success, Failure], [type(answer) for answer in answers])

    def test_two_controllers_race_to_assign_a_host(self) -> None:
        # As above, with the write of one controller between the read and write of the other.
        self.world.host("h9")
        info = self.world.hosts.infos_by_id["h9"]
        records = {PoolId(p): (PoolRecord(PoolId(p)), Revision(0)) for p in ("a", "b")}
        document = self.world.kv.items_by_key["state/document"].revision

        def assign(pool: str) -> object:
            basis = Basis(document, dict(records), {}, frozenset(), 0.0)
            action = Assign(HostId("h9"), PoolId(pool), info, "")
            return PoolRecordStore(self.world.kv, Mirror()).apply(PoolId(pool), [action], basis)

        self.world.kv.before_commit = lambda: self.assertIsInstance(assign("b"), Success)
        self.assertIsInstance(assign("a"), Failure)

    def test_a_lost_answer_is_recovered_from_the_state(self) -> None:
        self.world.kv.lose_answers = 1
        self.world.change(stops=(a_stop("h1", "h2"),))
        self.world.run(3, acks=False)
        self.assertEqual(["h1"], self.world.in_phase("ballots", HostPhase.WITHDRAWING))
        self.assertEqual(["h2"], self.world.in_phase("ballots", HostPhase.SERVING))

    def test_a_stopped_host_comes_back_only_after_its_restart(self) -> None:
        self.propose()
        self.world.run(2)
        self.world.run(5, step_s=60)
        self.assertEqual(HostPhase.STOPPED, self.phase())
        self.world.relist("h1", since=self.world.now, address="10.0.0.7:7")
        self.world.run(2)
        self.assertEqual(HostPhase.SERVING, self.phase())
        self.assertEqual("10.0.0.7:7", self.world.entries("ballots")[HostId("h1")].address)
        self.world.run(3)
        self.assertEqual(HostPhase.SERVING, self.phase(), "stopped again for the same stop")

    def test_a_retired_host_is_dropped_and_not_assigned_again(self) -> None:
        self.world.host("h3")
        self.world.run(2)
        self.world.change(stops=(a_stop("h1", retire=True),))
        self.world.run(4)
        self.assertEqual({"h2", "h3"}, set(self.world.entries("ballots")))
        self.world.change(stops=())
        self.world.run(2)
        self.assertIn("h1", self.world.entries("ballots"))

    def test_a_leaving_host_gets_no_new_work_whatever_the_budget(self) -> None:
        self.world.relist("h1", state=HostState.LEAVING)
        self.world.relist("h2", state=HostState.LEAVING)
        self.world.run(acks=False)
        self.assertEqual(["h1", "h2"], self.world.in_phase("ballots", HostPhase.WITHDRAWING))
        self.world.relist("h1", state=HostState.LIVE)
        self.world.run(2, acks=False)
        self.assertEqual(["h1"], self.world.in_phase("ballots", HostPhase.SERVING))

    def test_a_new_address_is_recorded_after_a_withdrawal(self) -> None:
        # Jobs of one pool reach a host of another: the platform gave a restarted host a new
        # address, and its old address to a new host.
        self.world.relist("h1", address="10.0.0.8:8", since=self.world.now)
        self.world.run(acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())
        self.world.run(3)
        self.assertEqual("10.0.0.8:8", self.world.entries("ballots")[HostId("h1")].address)

    def test_a_zone_that_the_platform_does_not_see_keeps_its_hosts(self) -> None:
        # A whole zone stops serving when a partition heals: during the partition its hosts were
        # missing from the list and were withdrawn one after the other.
        self.world.hosts.infos_by_id.clear()
        self.world.run(100, step_s=50)
        self.assertEqual(["h1", "h2"], self.world.in_phase("ballots", HostPhase.SERVING))

    def test_the_zone_of_the_host_closes_at_once(self) -> None:
        # A stop takes 5 s too long: acknowledgements are sent to the controllers of the host's
        # zone only, and the first candidate of the pool is in another zone.
        for n in range(8):
            other = self.world.controller(f"far-{n}", f"far-{n}")
            other.membership.members.remove(other.member)
            self.controller.membership.members = self.world.members + [
                c.member for c in self.world.controllers
            ]
        self.world.change(stops=(a_stop("h1"),))
        self.world.run(60, acks=False)
        self.world.ack(self.gateway, self.controller)
        self.world.now += 0.1
        self.controller.task.run_once()
        self.assertEqual(HostPhase.STOPPED, self.phase())

    def test_a_gone_host_is_dropped_only_after_a_withdrawal(self) -> None:
        self.world.host("h3")
        self.world.run(2)
        del self.world.hosts.infos_by_id["h1"]
        self.world.run(8, step_s=50)
        self.assertEqual(HostPhase.SERVING, self.phase())
        self.world.run(16, step_s=50, acks=False)
        self.assertEqual(HostPhase.WITHDRAWING, self.phase())
        self.world.run(3, step_s=50)
        self.assertNotIn("h1", self.world.entries("ballots"))

    def test_a_host_that_was_gone_is_not_stopped_again(self) -> None:
        # A planned stop seems to last for days: a host that had completed it failed, was dropped
        # and assigned again as new, and was stopped a second time.
        self.propose()
        self.world.run(2)
        self.world.reboot("h1")
        self.world.run(2)
        info = self.world.hosts.infos_by_id.pop("h1")
        self.world.run(60, step_s=50)
        self.world.hosts.add(info)
        self.world.run(5)
        self.assertEqual(HostPhase.SERVING, self.phase())

    def test_the_backup_controller_takes_over_from_the_primary(self) -> None:
        # A stop never ends: the primary controller of the zone is alive to its peers but cut off
        # from the platform, and only controllers of that zone receive acknowledgements.
        second = self.world.controller("c2")
        self.world.controllers = [self.controller, second]
        if second.task._coordinator.rank() is ControllerRank.PRIMARY:
            self.controller, second = second, self.controller
        self.assertIs(ControllerRank.BACKUP, second.task._coordinator.rank())
        self.world.controllers = [second]
        self.world.change(stops=(a_stop("h1"),))
        self.world.run(80)
        self.assertEqual(HostPhase.STOPPED, self.phase())
