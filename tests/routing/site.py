"""Test environment for routing: a fake clock and membership, and real views and gateways."""

import itertools
import threading
import time
from collections.abc import Callable

import msgspec

from lentilrill.fleet import DOCUMENT_KEY, FleetView, HostEntry, PoolRecord, pool_key
from lentilrill.ids import PoolId, RequestId, Revision, ZoneId
from lentilrill.inner import Ask, Done, Granted, Node, Refused, Verdict
from lentilrill.membership import Liveness, Member, Role, ZoneRecord, zone_key
from lentilrill.routing import Job, Routing
from lentilrill.routing._queue import GatewayInstance
from lentilrill.routing._scheduler import Reply
from lentilrill.settings import Document, Entitlement, InnerKeys, Plan
from lentilrill.store import Item, Mirror
from tests import builders

__all__ = [
    "Clock",
    "Fleet",
    "Gateway",
    "Members",
    "a_job",
    "an_ask",
    "done",
    "eventually",
    "grants",
    "refusals",
]

_requests = itertools.count(1)


class Clock:
    """A clock that the test sets."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class Members:
    """The live members; shared by all processes of a test."""

    def __init__(self) -> None:
        self.living: list[Member] = []
        self.gone: set[Member] = set()
        self.listeners: list[Callable[[], None]] = []

    def change(self) -> None:
        """Notify every process of a change."""
        for listener in list(self.listeners):
            listener()

    def end(self, member: Member, proved: bool = False) -> None:
        """Remove a live member; with ``proved`` it is also gone for certain."""
        self.living.remove(member)
        if proved:
            self.gone.add(member)
        self.change()

    def membership(self, me: Member) -> "FakeMembershipList":
        """Return the membership list of one process."""
        return FakeMembershipList(self, me)


class FakeMembershipList:
    """A membership list that the test sets."""

    def __init__(self, members: Members, me: Member) -> None:
        self._members = members
        self.me = me

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return the live members of a role."""
        found = [m for m in self._members.living if m.role is role and zone in (None, m.zone)]
        return tuple(sorted(found, key=lambda m: m.process))

    def liveness(self, member: Member) -> Liveness:
        """Return whether a member is alive, suspect or gone."""
        if member in self._members.gone:
            return Liveness.GONE
        return Liveness.ALIVE if member in self._members.living else Liveness.SUSPECT

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a change."""
        self._members.listeners.append(listener)


class Fleet:
    """The stored state, as seen by all processes of a test."""

    def __init__(self, document: Document | None = None) -> None:
        self.mirror = Mirror()
        self.view = FleetView(self.mirror)
        self.revision = Revision(0)
        self.put(
            DOCUMENT_KEY,
            document
            or Document(
                plans=(builders.a_plan(),),
                pools=(builders.a_pool(slots_per_host=2),),
                entitlements=(builders.an_entitlement(),),
            ),
        )

    def put(self, key: str, value: msgspec.Struct, complete: bool = True) -> Revision:
        """Write one state key; with ``complete`` all views are complete to it."""
        self.revision = Revision(self.revision + 1)
        item = Item(key, msgspec.json.encode(value), self.revision)
        self.mirror.merge((item,), self.revision if complete else Revision(0))
        return self.revision

    def hosts(self, *entries: HostEntry, pool: str = "schools") -> Revision:
        """Write a pool's record."""
        return self.put(pool_key(PoolId(pool)), PoolRecord(PoolId(pool), entries))

    def register(self, *members: Member, complete: bool = True) -> Revision:
        """Write the record of the members' zone."""
        zone = members[0].zone
        return self.put(zone_key(zone), ZoneRecord(zone, members), complete)


class Gateway:
    """One gateway process with its node and its routing."""

    def __init__(
        self, name: str, keys: InnerKeys, members: Members, fleet: Fleet, zone: str = "z1"
    ) -> None:
        self.member = builders.a_member(name, inner=builders.an_address(), zone=zone)
        members.living.append(self.member)
        self.node = Node(self.member.process, self.member.incarnation, self.member.inner, keys)
        self.node.start()
        self.routing = Routing(self.node, fleet.view, members.membership(self.member))
        self.slots = self.routing.slots

    def start(self) -> None:
        """Start its schedulers."""
        self.routing.start()

    def close(self) -> None:
        """Stop its threads."""
        self.routing.close()
        self.node.close(0.1)


def a_job(deadline: float, plan: Plan | None = None, entitlement: Entitlement | None = None) -> Job:
    """Return a job with a new request id."""
    request = RequestId(f"r{next(_requests)}")
    plan = plan or builders.a_plan()
    return Job(request, plan, entitlement or builders.an_entitlement(), deadline)


def an_ask(plan: str = "schools", gateway: GatewayInstance | None = None, **changes: object) -> Ask:
    """Return an ask with a new request id, of normal urgency by default."""
    values: dict = {
        "request": RequestId(f"r{next(_requests)}"),
        "pool": PoolId("schools"),
        "plan": plan,
        "urgency": 1,
        "wait_s": 30.0,
        "reply_to": gateway.address if gateway else "gw-1",
    }
    return Ask(**values | changes)


def grants(replies: list[Reply]) -> list[Granted]:
    """Return the grants among replies."""
    return [r.message for r in replies if isinstance(r.message, Granted)]


def refusals(replies: list[Reply]) -> list[Refused]:
    """Return the refusals among replies."""
    return [r.message for r in replies if isinstance(r.message, Refused)]


def done(
    granted: Granted, verdict: Verdict = Verdict.OK, run_s: float = 0.1, plan: str = "schools"
) -> Done:
    """Return the report that a grant is over."""
    return Done(granted.pool, granted.grant, granted.host, plan, verdict, run_s)  # type: ignore[arg-type]


def eventually(holds: Callable[[], bool], limit_s: float = 20.0) -> None:
    """Wait until ``holds()`` is true; fail after ``limit_s``."""
    end = time.monotonic() + limit_s
    pause = threading.Event()
    while not holds():
        if time.monotonic() > end:
            raise AssertionError("did not become true in time")
        pause.wait(0.005)
