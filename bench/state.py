"""Cost of the mirrored state for fleets of several sizes: bytes, time, memory.

Run as ``python -m bench.state``. One process, no network: the state is built from records of
pools and zones and a document, loaded into a mirror, and one record is changed repeatedly.
"""

import resource
import time

import msgspec

from bench import figure
from lentilrill.fleet import DOCUMENT_KEY, FleetView, HostEntry, PoolRecord, pool_key
from lentilrill.ids import HostId, Incarnation, PoolId, ProcessId, RackId, Revision, ZoneId
from lentilrill.inner import Batch, StateItems, decode, encode
from lentilrill.membership import Member, Role, ZoneRecord, zone_key
from lentilrill.settings import Document, Entitlement, Plan, Pool
from lentilrill.store import Item, Mirror

__all__ = ["main"]

SIZES = ((30, 5, 3), (1100, 13, 3), (2200, 26, 6), (4400, 52, 11))
"""Hosts, pools and zones."""
PLANS_PER_POOL = 3
MEMBERS_PER_ZONE = 14
CHANGES = 50


def main() -> None:
    """Measure every size and print one line per figure."""
    for hosts, pools, zones in SIZES:
        measure(hosts, pools, zones)


def measure(hosts: int, pools: int, zones: int) -> None:
    """Measure one size."""
    context = {"hosts": hosts, "pools": pools, "zones": zones}
    items = state(hosts, pools, zones)
    figure("state", "bytes", sum(len(i.value or b"") for i in items), "B", **context)
    largest = max(len(i.value or b"") for i in items)
    figure("state", "largest_value", largest, "B", **context)
    batch = Batch(
        ProcessId("ct-1"),
        Incarnation(1),
        "127.0.0.1:1",
        (StateItems(tuple(items), Revision(0), Revision(len(items))),),
    )
    data = encode(batch)
    figure("state", "whole_state_on_the_wire", len(data), "B", **context)
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    mirror = Mirror()
    view = FleetView(mirror)
    began = time.perf_counter()
    mirror.replace(decode(data).unwrap().messages[0].items, Revision(len(items)))
    figure("state", "take_whole", round(1e3 * (time.perf_counter() - began), 2), "ms", **context)
    growth_mb = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb) / 1024
    figure("state", "resident_growth", round(growth_mb, 1), "MB", **context)
    for name, key in (("document", DOCUMENT_KEY), ("pool", pool_key(PoolId("pool-0")))):
        took_ms = 1e3 * time_changes(mirror, key, len(items)) / CHANGES
        figure("state", f"take_{name}_change", round(took_ms, 3), "ms", **context)
    assert len(view.hosts_by_id) == hosts


def time_changes(mirror: Mirror, key: str, revision: int) -> float:
    """Write one key repeatedly; return the seconds spent in the mirror and the view."""
    value = next(item.value for item in mirror.items_below(key))
    first = max(revision, mirror.complete_to) + 1
    began = time.perf_counter()
    for n in range(first, first + CHANGES):
        mirror.merge((Item(key, value, Revision(n)),), Revision(n))
    return time.perf_counter() - began


def state(hosts: int, pools: int, zones: int) -> list[Item]:
    """Return the state keys of a fleet."""
    values = {DOCUMENT_KEY: msgspec.json.encode(document(hosts, pools))}
    for n in range(pools):
        record = PoolRecord(
            PoolId(f"pool-{n}"), tuple(entry(h, zones) for h in range(n, hosts, pools))
        )
        values[pool_key(record.pool)] = msgspec.json.encode(record)
    for n in range(zones):
        zone = ZoneId(f"zone-{n}")
        members = tuple(member(zone, m) for m in range(MEMBERS_PER_ZONE))
        values[zone_key(zone)] = msgspec.json.encode(ZoneRecord(zone, members))
    return [Item(k, v, Revision(n + 1)) for n, (k, v) in enumerate(values.items())]


def document(hosts: int, pools: int) -> Document:
    """Return a document of several plans for each pool."""
    names = [f"plan-{n}" for n in range(pools * PLANS_PER_POOL)]
    owed = hosts // len(names)
    return Document(
        plans=tuple(
            Plan(name, "customer", f"service-{n % pools}", owed, 1, f"{n:064x}")  # type: ignore
            for n, name in enumerate(names)
        ),
        pools=tuple(
            Pool(PoolId(f"pool-{n}"), f"service-{n}") for n in range(pools)  # type: ignore
        ),
        entitlements=tuple(
            Entitlement(name, (PoolId(f"pool-{n % pools}"),))  # type: ignore[arg-type]
            for n, name in enumerate(names)
        ),
    )


def entry(number: int, zones: int) -> HostEntry:
    """Return one host of a pool's record."""
    return HostEntry(
        HostId(f"worker-{number:05d}"),
        f"10.{number // 250}.{number % 250}.1:9000",
        ZoneId(f"zone-{number % zones}"),
        RackId(f"rack-{number // 40}"),
        cores=64,
        memory_gb=256,
        accelerators=1,
    )


def member(zone: ZoneId, number: int) -> Member:
    """Return one registered process."""
    role = Role.GATEWAY if number % 2 else Role.CONTROLLER
    name = f"{role.value}-{zone}-{number}"
    return Member(
        ProcessId(name),
        Incarnation(1_796_000_000_000_000_000 + number),
        role,
        zone,
        f"entry-{number // 2}",  # type: ignore[arg-type]
        f"10.200.{number}.1:7001",
        f"10.200.{number}.1:8080",
    )


if __name__ == "__main__":
    main()
