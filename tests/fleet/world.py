"""A small fleet for tests: platform, host list, gateways that acknowledge, and controllers."""

import msgspec

from lentilrill.fleet import DOCUMENT_KEY, FleetTask, FleetView, HostEntry, HostPhase, PoolRecord
from lentilrill.ids import HostId, PoolId, Revision, ZoneId
from lentilrill.inner import Barred, Batch, HostTrouble, WithdrawalAck
from lentilrill.membership import Member, Role, ZoneRecord, zone_key
from lentilrill.settings import ControllerSettings, Document, InnerKeys, PlatformSettings
from lentilrill.store import HostInfo, HostState, Mirror
from tests.builders import a_member
from tests.fakes import CountingMetrics, FakeHostList, FakeKeyValue, FakeMembershipList, FakeNode

__all__ = ["Controller", "World"]

START = 1_000_000.0


class Controller:
    """One controller process with its own, possibly outdated, view."""

    def __init__(self, world: "World", name: str, zone: str) -> None:
        self.member = a_member(name, role=Role.CONTROLLER, zone=ZoneId(zone))
        self.node = FakeNode()
        self.mirror = Mirror()
        self.view = FleetView(self.mirror)
        self.membership = FakeMembershipList(self.member, world.members)
        self.hosts = FakeHostList(world.clock)
        self.hosts.infos_by_id = world.hosts.infos_by_id
        settings = ControllerSettings(
            process=self.member.process,
            entry_host=self.member.entry_host,
            zone=self.member.zone,
            inner=self.member.inner,
            keys=InnerKeys("p" * 40, "s" * 40),
            listen="127.0.0.1:1",
            platform=PlatformSettings(key_value=("127.0.0.1:1",), host_list="127.0.0.1:1"),
            operator_tokens_sha256={},
        )
        self.task = FleetTask(
            world.kv,
            self.hosts,
            self.view,
            self.membership,
            settings,
            self.node,
            world.metrics,
            world.clock,
        )


class World:
    """Simulated environment of the controllers; tests advance its clock."""

    def __init__(self, document: Document, zones: tuple[str, ...] = ("z1",)) -> None:
        self.now = START
        self.kv = FakeKeyValue()
        self.metrics = CountingMetrics()
        self.hosts = FakeHostList(self.clock)
        self.members: list[Member] = []
        self.gateways: dict[str, Member] = {}
        self.controllers: list[Controller] = []
        for zone in zones:
            self.register(a_member(f"gw-{zone}", zone=ZoneId(zone)))
        self.declare(document)

    def clock(self) -> float:
        return self.now

    def declare(self, document: Document) -> None:
        """Store a document."""
        self.document = document
        self.kv.put(DOCUMENT_KEY, msgspec.json.encode(document))

    def change(self, **changes: object) -> None:
        """Store a changed copy of the document."""
        self.declare(msgspec.structs.replace(self.document, **changes))

    def controller(self, name: str = "c1", zone: str = "z1") -> Controller:
        """Start a controller."""
        controller = Controller(self, name, zone)
        self.members.append(controller.member)
        self.controllers.append(controller)
        return controller

    def register(self, gateway: Member) -> None:
        """Start a gateway and add it to the record of its zone."""
        self.gateways[gateway.process] = gateway
        self.members.append(gateway)
        self.write_zone(gateway.zone)

    def write_zone(self, zone: str) -> None:
        """Write the record of a zone with its running gateways."""
        members = tuple(m for m in self.gateways.values() if m.zone == zone)
        record = ZoneRecord(ZoneId(zone), members)
        self.kv.put(zone_key(ZoneId(zone)), msgspec.json.encode(record))

    def host(self, name: str, zone: str = "z1", rack: str = "r1", **changes: object) -> None:
        """Add a worker to the host list."""
        values = {"address": f"10.0.0.1:{len(self.hosts.infos_by_id) + 1}", "since": 1.0}
        info = HostInfo(HostId(name), zone=zone, rack=rack, **values | changes)  # type: ignore
        self.hosts.add(info)

    def relist(self, name: str, **changes: object) -> None:
        """Change the entry of a host in the host list."""
        self.hosts.add(msgspec.structs.replace(self.hosts.infos_by_id[name], **changes))

    def reboot(self, name: str) -> None:
        """List a host as live and started now."""
        self.relist(name, since=self.now, state=HostState.LIVE)

    def sync(self) -> None:
        """Bring every controller's view up to date."""
        for controller in self.controllers:
            self.kv.sync(controller.mirror)

    def run(self, rounds: int = 1, step_s: float = 1.0, acks: bool = True) -> None:
        """Advance time; each round delivers acknowledgements and runs every controller once."""
        for _ in range(rounds):
            self.now += step_s
            self.sync()
            if acks:
                for gateway in list(self.gateways.values()):
                    self.ack(gateway)
            for controller in self.controllers:
                controller.task.run_once()
            self.sync()

    def ack(self, gateway: Member, to: Controller | None = None, *hosts: str) -> None:
        """Acknowledge, for a gateway, the withdrawals in the current records."""
        barred = tuple(
            Barred(entry.id, revision)
            for record, revision in self.records().values()
            for entry in record.hosts
            if entry.phase is HostPhase.WITHDRAWING
            and entry.zone == gateway.zone
            and (not hosts or entry.id in hosts)
        )
        self.send_message(gateway, WithdrawalAck(gateway, barred), to)

    def trouble(self, gateway: Member, ejected: tuple = (), leaving: tuple = ()) -> None:
        """Send a gateway's report of ejected and leaving hosts."""
        self.send_message(gateway, HostTrouble(gateway, ejected, leaving))

    def send_message(self, member: Member, message: object, to: Controller | None = None) -> None:
        """Deliver a message to one controller, or to all."""
        batch = Batch(member.process, member.incarnation, member.inner, (message,))  # type: ignore
        for controller in [to] if to else self.controllers:
            controller.node.deliver(batch)

    def records(self) -> dict[PoolId, tuple[PoolRecord, Revision]]:
        """Return the pool records as the platform holds them."""
        return {
            PoolId(key.removeprefix("state/pools/")): (
                msgspec.json.decode(item.value or b"", type=PoolRecord),
                item.revision,
            )
            for key, item in self.kv.items_by_key.items()
            if key.startswith("state/pools/")
        }

    def entries(self, pool: str) -> dict[HostId, HostEntry]:
        """Return a pool's hosts as the platform holds them."""
        held = self.records().get(PoolId(pool))
        return held[0].hosts_by_id() if held else {}

    def in_phase(self, pool: str, phase: HostPhase) -> list[str]:
        """Return the ids of a pool's hosts in a phase, sorted."""
        return sorted(e.id for e in self.entries(pool).values() if e.phase is phase)
