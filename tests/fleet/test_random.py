"""Randomised runs: concurrent controllers, old views, lost answers, crashes, changing members.

Gateways behave like the request path: they check a host and send to it later, and acknowledge a
withdrawal only if no send to the host is pending. Every change on the platform is checked at once
against budgets and acknowledgements.
"""

import contextlib

import msgspec
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lentilrill.fleet import FleetView, HostPhase, PoolRecord
from lentilrill.fleet._budget import commitments
from lentilrill.fleet._records import ASSIGNED_SHARDS, AssignedRecord, assigned_key
from lentilrill.ids import HostId, StopId, ZoneId
from lentilrill.inner import Barred, Batch, WithdrawalAck
from lentilrill.membership import Member, ZoneRecord, zone_key
from lentilrill.settings import Document, Objective, PlannedStop
from lentilrill.store import HostState, Item, Mirror
from tests.builders import a_member, a_plan, a_pool
from tests.fleet.world import Controller, World

POOLS = ("ballots", "desk", "library")
ZONES = ("z1", "z2")
HOSTS = [f"h{n}" for n in range(9)]
host_names = st.sampled_from(HOSTS)
numbers = st.integers(0, 2)


class CrashError(Exception):
    """Simulated crash of a controller in the middle of a round."""


class Gateway:
    """A gateway with its own view of the state, as old as the last synchronisation."""

    def __init__(self, world: World, member: Member) -> None:
        self.world = world
        self.member = member
        self.mirror = Mirror()
        self.view = FleetView(self.mirror)
        self.checked: tuple[str, str] | None = None

    def registered(self) -> bool:
        record, revision = self.view.zones_by_id.get(self.member.zone, (None, 0))
        return (
            record is not None
            and self.member in record.members
            and self.mirror.complete_to >= revision
        )

    def check(self, n: int) -> None:
        may_send = [
            (host, pool)
            for host, (pool, entry) in sorted(self.view.hosts_by_id.items())
            if entry.zone == self.member.zone and entry.phase is HostPhase.SERVING
        ]
        if self.registered() and may_send:
            self.checked = may_send[n % len(may_send)]

    def send(self) -> None:
        host, pool = self.checked or ("", "")
        self.checked = None
        entry = self.world.entries(pool).get(HostId(host))
        assert entry is not None, f"{host} got a job of {pool} but belongs to another pool"
        assert entry.phase is not HostPhase.STOPPED, f"{host} got a job after it was released"

    def ack(self) -> WithdrawalAck:
        busy = self.checked[0] if self.checked else ""
        barred = tuple(
            Barred(entry.id, revision)
            for record, revision in self.view.pools_by_id.values()
            for entry in record.hosts
            if entry.phase is HostPhase.WITHDRAWING
            and entry.zone == self.member.zone
            and entry.id != busy
        )
        return WithdrawalAck(self.member, barred)


class FleetMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        plans = tuple(
            a_plan(pool, hosts_owed=2, availability_budget=budget)
            for pool, budget in zip(POOLS, (1, 2, 0), strict=True)
        )
        document = Document(
            plans,
            tuple(a_pool(pool, spare=pool == "desk") for pool in POOLS),
            objective=Objective(1.0, 2.0, 5.0),
        )
        self.world = World(document, ())
        self.gateways: list[Gateway] = []
        self.acks: list[WithdrawalAck] = []
        self.gateways_started = 0
        for zone in ZONES:
            self.join(zone)
        for n, host in enumerate(HOSTS):
            self.world.host(host, zone=ZONES[n % 2], rack=f"r{n % 3}")
        for n in range(3):
            self.world.controller(f"c{n}", ZONES[n % 2])
        self.world.kv.observer = self.observe
        self.acting: Controller | None = None
        self.time_passes(1.0, set(), set(), 2)

    def join(self, zone: str) -> None:
        self.gateways_started += 1
        member = a_member(f"gw{self.gateways_started}", zone=ZoneId(zone))
        self.gateways.append(Gateway(self.world, member))
        self.world.register(member)

    def observe(self, before: dict[str, Item]) -> None:
        old = {
            key: msgspec.json.decode(item.value or b"", type=PoolRecord).hosts_by_id()
            for key, item in before.items()
            if key.startswith("state/pools/")
        }
        for pool, (record, _) in self.world.records().items():
            self.check_pool(pool, record, old.get(f"state/pools/{pool}", {}))

    def check_pool(self, pool: str, record: PoolRecord, old: dict) -> None:
        new = record.hosts_by_id()
        for host, was in old.items():
            now = new.get(host)
            if was.phase is HostPhase.WITHDRAWING and (
                now is None or now.phase is HostPhase.STOPPED
            ):
                self.check_closed(host, was.zone, was.after)
        proposed = [
            host
            for host, entry in new.items()
            if entry.phase is HostPhase.WITHDRAWING
            and (entry.stop or entry.target)
            and (host not in old or old[host].phase is HostPhase.SERVING)
        ]
        if proposed:
            self.check_budget(pool, record, set(proposed))

    def check_closed(self, host: str, zone: str, after: int) -> None:
        item = self.world.kv.items_by_key[zone_key(ZoneId(zone))]
        members = msgspec.json.decode(item.value or b"", type=ZoneRecord).members
        for gateway in self.gateways:
            if gateway.member not in members:
                continue
            _, entry = gateway.view.hosts_by_id[HostId(host)]
            assert entry.phase is HostPhase.WITHDRAWING and entry.after == after, host
            assert not gateway.checked or gateway.checked[0] != host, host

    def check_budget(self, pool: str, record: PoolRecord, proposed: set[str]) -> None:
        assert self.acting is not None
        live = {
            info.id: info for info in self.acting.hosts.last.hosts if info.state is HostState.LIVE
        }
        serving = [
            e
            for e in record.hosts
            if e.phase is HostPhase.SERVING and e.id in live and live[e.id].address == e.address
        ]
        commitment = commitments(self.world.document).get(record.pool)
        floor = max((f.hosts for f in commitment.floors), default=0) if commitment else 0
        harmless = all(host not in live for host in proposed)
        assert harmless or len(serving) >= floor, f"{pool}: {len(serving)} of {floor} left"

    @rule(n=numbers)
    def a_controller_plans(self, n: int) -> None:
        self.acting = self.world.controllers[n]
        self.acting.task.run_once()

    @rule(n=numbers, commits=st.integers(0, 1))
    def a_controller_crashes_within_a_round(self, n: int, commits: int) -> None:
        def crash() -> None:
            if commits:
                self.world.kv.before_commit = self.crash
            else:
                self.crash()

        controller = self.acting = self.world.controllers[n]
        self.world.kv.before_commit = crash
        with contextlib.suppress(CrashError):
            controller.task.run_once()
        self.world.kv.before_commit = None
        self.world.controllers.remove(controller)
        self.world.members.remove(controller.member)
        self.world.controller(controller.member.process, controller.member.zone)

    def crash(self) -> None:
        raise CrashError

    @rule(n=numbers)
    def a_controller_gets_the_state(self, n: int) -> None:
        self.world.kv.sync(self.world.controllers[n].mirror)

    @rule(n=numbers)
    def a_gateway_gets_the_state(self, n: int) -> None:
        if n < len(self.gateways):
            self.world.kv.sync(self.gateways[n].mirror)

    @rule(n=numbers, host=st.integers(0, 8))
    def a_gateway_checks(self, n: int, host: int) -> None:
        if n < len(self.gateways):
            self.gateways[n].check(host)

    @rule(n=numbers)
    def a_gateway_sends(self, n: int) -> None:
        if n < len(self.gateways) and self.gateways[n].checked:
            self.gateways[n].send()

    @precondition(lambda self: self.acks)
    @rule(n=numbers, old=st.integers(0, 5))
    def an_acknowledgement_arrives(self, n: int, old: int) -> None:
        ack = self.acks[old % len(self.acks)]
        member = ack.member
        batch = Batch(member.process, member.incarnation, member.inner, (ack,))
        self.world.controllers[n].node.deliver(batch)

    @rule(
        seconds=st.sampled_from([1.0, 5.0, 10.0, 20.0, 1000.0]),
        paused=st.sets(st.integers(0, 3)),
        outdated=st.sets(numbers),
        rounds=st.integers(1, 3),
    )
    def time_passes(
        self, seconds: float, paused: set[int], outdated: set[int], rounds: int
    ) -> None:
        """Advance time; ``paused`` gateways do nothing, ``outdated`` controllers get no updates."""
        self.world.kv.down = False
        for _ in range(rounds + int(seconds // 50)):
            self.world.now += min(seconds, 44.0)
            for n, gateway in enumerate(self.gateways):
                if n not in paused:
                    self.resume(gateway)
            self.world.now += 6.0
            for n, controller in enumerate(self.world.controllers):
                if n not in outdated:
                    self.world.kv.sync(controller.mirror)
                self.acting = controller
                controller.task.run_once()

    def resume(self, gateway: Gateway) -> None:
        if gateway.checked:
            gateway.send()
        self.world.kv.sync(gateway.mirror)
        self.acks = [*self.acks, gateway.ack()][-6:]
        self.world.send_message(gateway.member, self.acks[-1])

    @rule(zone=st.sampled_from(ZONES))
    def a_gateway_joins(self, zone: str) -> None:
        if len(self.gateways) < 4:
            self.join(zone)

    @rule(n=numbers)
    def a_gateway_is_lost(self, n: int) -> None:
        if n < len(self.gateways):
            member = self.gateways.pop(n).member
            del self.world.gateways[member.process]
            self.world.members.remove(member)
            self.world.write_zone(member.zone)

    @rule(host=host_names)
    def a_host_fails(self, host: str) -> None:
        self.world.hosts.infos_by_id.pop(host, None)

    @rule(host=host_names, address=st.sampled_from(["10.0.0.1:1", "10.0.0.9:9"]))
    def a_host_starts(self, host: str, address: str) -> None:
        n = HOSTS.index(host)
        self.world.host(host, ZONES[n % 2], f"r{n % 3}", address=address, since=self.world.now)

    @rule(host=host_names)
    def a_host_leaves(self, host: str) -> None:
        if host in self.world.hosts.infos_by_id:
            self.world.relist(host, state=HostState.LEAVING)

    @rule(hosts=st.sets(host_names, max_size=4), retire=st.booleans(), name=st.integers(1, 2))
    def operators_declare_a_stop(self, hosts: set[str], retire: bool, name: int) -> None:
        stop = PlannedStop(StopId(f"s{name}"), tuple(map(HostId, sorted(hosts))), retire)
        others = tuple(s for s in self.world.document.stops if s.id != stop.id)
        self.world.change(stops=(*others, stop))

    @rule()
    def operators_cancel_all_stops(self) -> None:
        self.world.change(stops=())

    @rule(owed=st.integers(0, 4), pool=st.sampled_from(POOLS))
    def operators_change_what_is_owed(self, owed: int, pool: str) -> None:
        others = tuple(p for p in self.world.document.plans if p.id != pool)
        plan = a_plan(pool, hosts_owed=owed, availability_budget=min(1, owed))
        self.world.change(plans=(*others, plan))

    @rule(lost=st.booleans())
    def the_next_write_loses_its_answer(self, lost: bool) -> None:
        self.world.kv.lose_answers, self.world.kv.lose_requests = int(lost), int(not lost)

    @rule()
    def the_platform_goes_away(self) -> None:
        self.world.kv.down = True

    @invariant()
    def a_host_stands_in_one_record_and_its_shard(self) -> None:
        assigned_hosts = [e.id for record, _ in self.world.records().values() for e in record.hosts]
        assert len(assigned_hosts) == len(set(assigned_hosts)), "a host is in two records"
        assigned = {
            host
            for shard in range(ASSIGNED_SHARDS)
            if (item := self.world.kv.items_by_key.get(assigned_key(shard)))
            for host in msgspec.json.decode(item.value or b"", type=AssignedRecord).hosts
        }
        assert assigned == set(assigned_hosts), assigned ^ set(assigned_hosts)

    @invariant()
    def the_program_met_no_broken_invariant(self) -> None:
        assert not self.world.metrics.counts["fleet.invariant"]


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    max_examples=50,
    stateful_step_count=80,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
RandomFleetTest = FleetMachine.TestCase
