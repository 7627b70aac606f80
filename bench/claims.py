"""Claims of idempotency keys: platform writes and added latency, grouped against one each.

Run as ``python -m bench.claims [--seconds S]``. The platform's stand-in is a process of its own;
the claim owner and its callers are in this one, with the inner protocol between them. Each load
offers new keys at an even rate; each is claimed, and its outcome told. "One each" commits every
message in a transaction of its own, without a bound on writes a second.
"""

import argparse
import socket
import statistics
import subprocess
import sys
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import zmq

from bench import figure
from lentilrill.ids import EntryHostId, Incarnation, PlanId, ProcessId, RequestId, ZoneId
from lentilrill.inner import ClaimState, Node
from lentilrill.jobs import Claim, ClaimClient, ClaimOwner, RecordedResponse, _owner
from lentilrill.jobs._claim_table import Batch
from lentilrill.jobs._records import BatchRecord, Entry, EntryState
from lentilrill.jobs._shard import Shard
from lentilrill.jobs._store import ShardStore
from lentilrill.membership import Liveness, Member, Role
from lentilrill.settings import InnerKeys, PlatformSettings
from lentilrill.store import EtcdKeyValue, KeyValue
from lentilrill.telemetry import NoMetrics

__all__ = ["main"]

SHARDS = 16
RETENTION_S = 600.0
LOADS_PER_S = (10, 50, 100, 200, 400)
CALLERS = 200
KEPT_KEYS = (1_000, 10_000, 20_000)
ENTRIES = 500
ANSWER = RecordedResponse(200, "application/json", b"x" * 200)
CLAIM_WAIT_S = 5.0


class OneMember:
    """A roster of one process, which owns every shard."""

    def __init__(self, me: Member) -> None:
        self.me = me

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return this process."""
        return (self.me,)

    def liveness(self, member: Member) -> Liveness:
        """Return alive."""
        return Liveness.ALIVE

    def subscribe(self, listener: Any) -> None:
        """Ignore listeners: nothing changes."""


class Counted:
    """Counts the commits of another key-value service."""

    def __init__(self, inner: KeyValue) -> None:
        self._inner = inner
        self.commits = 0
        self.took_ms: list[float] = []

    def commit(self, *args: Any, **kwargs: Any) -> Any:
        """Commit, counted and timed."""
        self.commits += 1
        began = time.monotonic()
        result = self._inner.commit(*args, **kwargs)
        self.took_ms.append((time.monotonic() - began) * 1000)
        return result

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)


def main() -> None:
    """Measure every load both ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0, help="length of one measurement")
    seconds = parser.parse_args().seconds
    address, control = _free(), _free()
    platform = subprocess.Popen(
        [sys.executable, "-m", "standins.platform", "--listen", address, "--control", control]
    )
    try:
        _wait_for(address)
        for load in LOADS_PER_S:
            for way in ("one_each", "grouped"):
                measure(address, way, load, seconds)
        for kept in KEPT_KEYS:
            take_over(address, kept)
    finally:
        platform.kill()
        platform.wait()


def measure(address: str, way: str, load: int, seconds: float) -> None:
    """Offer ``load`` new keys a second and print what it cost."""
    grouped = (_owner.MAX_BATCH_MESSAGES, _owner.MAX_SYSTEM_WRITES_PER_S, _owner.OUTCOME_LINGER_S)
    writes_per_s = 25.0
    if way == "one_each":
        _owner.MAX_BATCH_MESSAGES, _owner.MAX_SYSTEM_WRITES_PER_S, _owner.OUTCOME_LINGER_S = (
            1,
            1e9,
            0.0,
        )
        writes_per_s = 1e9
    settings = PlatformSettings((address,), address, f"{uuid.uuid4().hex}/", calls_per_s=1e6)
    counted = Counted(EtcdKeyValue(settings, NoMetrics()))
    member = a_member()
    node = Node(member.process, member.incarnation, member.inner, keys())
    node.start()
    roster = OneMember(member)
    owner = ClaimOwner(
        node, roster, counted, NoMetrics(), SHARDS, RETENTION_S, writes_per_s=writes_per_s
    )
    client = ClaimClient(node, roster, SHARDS, RETENTION_S)
    owner.start()
    client.start()
    try:
        warm_up(client)
        before, took_from = counted.commits, len(counted.took_ms)
        took_ms, failed = offer(client, load, seconds)
        told = wait_told(client)
        report(way, load, seconds, counted, before, took_from, took_ms, failed, told)
    finally:
        client.close()
        owner.close()
        node.close(0.1)
        _owner.MAX_BATCH_MESSAGES, _owner.MAX_SYSTEM_WRITES_PER_S, _owner.OUTCOME_LINGER_S = grouped


def take_over(address: str, kept: int) -> None:
    """Fill one shard with recorded keys, and time its take-over by another process."""
    settings = PlatformSettings((address,), address, f"{uuid.uuid4().hex}/", calls_per_s=1e6)
    platform = EtcdKeyValue(settings, NoMetrics())
    former = ShardStore(platform, 0, a_member())
    former.take_over().unwrap()
    for first in range(0, kept, ENTRIES):
        entries = tuple(an_entry() for _ in range(min(ENTRIES, kept - first)))
        batch = Batch(former.next_batch_key(), BatchRecord(time.time(), entries))
        platform.commit((former.fencing_condition(),), former.writes(batch, None)).unwrap()
    shard = Shard(platform, 0, a_member(), RETENTION_S, time.time)
    began = time.monotonic()
    done = shard.take_over()
    took_ms = (time.monotonic() - began) * 1000
    figure("claims", "take_over", round(took_ms), "ms", kept_keys=kept, succeeded=done)


def an_entry() -> Entry:
    """Return the entry of an answered job."""
    claim = a_claim()
    return Entry(
        claim.plan,
        claim.key,
        claim.request,
        claim.fingerprint,
        time.time(),
        EntryState.RECORDED,
        ANSWER.status,
        ANSWER.content_type,
        ANSWER.body,
    )


def report(
    way: str,
    load: int,
    seconds: float,
    counted: Counted,
    before: int,
    took_from: int,
    took_ms: list[float],
    failed: int,
    told: bool,
) -> None:
    """Print the figures of one measurement."""
    commits = counted.commits - before
    case = {"way": way, "offered_per_s": load}
    done = len(took_ms)
    figure("claims", "claimed", round(done / seconds, 1), "1/s", **case)
    figure("claims", "failed", failed, "claims", outcomes_told=told, **case)
    figure("claims", "platform_writes", round(commits / seconds, 1), "1/s", **case)
    figure("claims", "writes_per_1000_jobs", round(1000 * commits / max(1, done)), "1", **case)
    if took_ms:
        ranked = sorted(took_ms)
        figure("claims", "added_p50", round(statistics.median(ranked), 1), "ms", **case)
        figure("claims", "added_p99", round(ranked[int(len(ranked) * 0.99)], 1), "ms", **case)
    call_ms = statistics.median(counted.took_ms[took_from:] or [0.0])
    figure("claims", "commit_p50", round(call_ms, 1), "ms", **case)


def offer(client: ClaimClient, load: int, seconds: float) -> tuple[list[float], int]:
    """Claim new keys at an even rate; return the latencies and how many were not claimed."""
    took_ms: list[float] = []
    failed: list[ClaimState] = []

    def one(due: float) -> None:
        claim = a_claim()
        state = client.claim(claim, CLAIM_WAIT_S).state
        if state is not ClaimState.CLAIMED:
            failed.append(state)
            return
        took_ms.append((time.monotonic() - due) * 1000)
        client.record(claim, ANSWER)

    began = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as pool:
        for n in range(int(load * seconds)):
            due = began + n / load
            time.sleep(max(0.0, due - time.monotonic()))
            pool.submit(one, due)
    return took_ms, len(failed)


def warm_up(client: ClaimClient) -> None:
    """Let every shard be taken over."""
    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(lambda _: client.claim(a_claim(), CLAIM_WAIT_S), range(8 * SHARDS)))


def wait_told(client: ClaimClient) -> bool:
    """Wait until every outcome is acknowledged; return whether that was so in time."""
    end = time.monotonic() + 10
    while client.unacknowledged_outcomes and time.monotonic() < end:
        time.sleep(0.01)
    return not client.unacknowledged_outcomes


def a_claim() -> Claim:
    """Return a claim of a new key."""
    return Claim(RequestId(uuid.uuid4().hex), PlanId("schools"), uuid.uuid4().hex, "f" * 64)


def a_member() -> Member:
    """Return this process as a gateway."""
    return Member(
        ProcessId("gw-1"),
        Incarnation(time.time_ns()),
        Role.GATEWAY,
        ZoneId("z1"),
        EntryHostId("e1"),
        _free(),
        "127.0.0.1:1",
    )


def keys() -> InnerKeys:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return msgspec.convert({"public": public.decode(), "secret": secret.decode()}, InnerKeys)


def _free() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def _wait_for(address: str) -> None:
    host, _, port = address.rpartition(":")
    for _ in range(200):
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            threading.Event().wait(0.05)
    raise TimeoutError(f"{address} does not listen")


if __name__ == "__main__":
    main()
