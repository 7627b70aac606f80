"""Claims of idempotency keys: platform writes and added latency, with and without batching.

Run as ``python -m bench.claims [--seconds S]``. The platform's stand-in runs in a separate
process; the claim owner and its callers run in this one and use the inner protocol. Each load
claims new keys at a constant rate and reports their outcomes. The variant ``one_each`` commits
every message in its own transaction, without a limit on writes per second.
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
RATES_PER_S = (10, 50, 100, 200, 400)
CALLERS = 200
RETAINED_KEY_COUNTS = (1_000, 10_000, 20_000)
ENTRIES_PER_BATCH = 500
ANSWER = RecordedResponse(200, "application/json", b"x" * 200)
CLAIM_WAIT_S = 5.0


class SingleMember:
    """Membership list of one process, which therefore owns every shard."""

    def __init__(self, me: Member) -> None:
        self.me = me

    def alive(self, role: Role, zone: ZoneId | None = None) -> tuple[Member, ...]:
        """Return this process."""
        return (self.me,)

    def liveness(self, member: Member) -> Liveness:
        """Return alive."""
        return Liveness.ALIVE

    def subscribe(self, listener: Any) -> None:
        """Ignore the listener, since membership never changes."""


class CountingKeyValue:
    """Wraps a key-value service and counts its commits."""

    def __init__(self, inner: KeyValue) -> None:
        self._inner = inner
        self.commits = 0
        self.took_ms: list[float] = []

    def commit(self, *args: Any, **kwargs: Any) -> Any:
        """Commit, and record count and duration."""
        self.commits += 1
        began = time.monotonic()
        result = self._inner.commit(*args, **kwargs)
        self.took_ms.append((time.monotonic() - began) * 1000)
        return result

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)


def main() -> None:
    """Measure every load with both variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0, help="length of one measurement")
    seconds = parser.parse_args().seconds
    address, control = _free_address(), _free_address()
    platform = subprocess.Popen(
        [sys.executable, "-m", "standins.platform", "--listen", address, "--control", control]
    )
    try:
        _wait_for(address)
        for rate_per_s in RATES_PER_S:
            for variant in ("one_each", "grouped"):
                measure(address, variant, rate_per_s, seconds)
        for retained in RETAINED_KEY_COUNTS:
            take_over(address, retained)
    finally:
        platform.kill()
        platform.wait()


def measure(address: str, variant: str, rate_per_s: int, seconds: float) -> None:
    """Claim ``rate_per_s`` new keys a second and print the figures."""
    defaults = (_owner.MAX_BATCH_MESSAGES, _owner.MAX_SYSTEM_WRITES_PER_S, _owner.OUTCOME_LINGER_S)
    writes_per_s = 25.0
    if variant == "one_each":
        _owner.MAX_BATCH_MESSAGES, _owner.MAX_SYSTEM_WRITES_PER_S, _owner.OUTCOME_LINGER_S = (
            1,
            1e9,
            0.0,
        )
        writes_per_s = 1e9
    settings = PlatformSettings((address,), address, f"{uuid.uuid4().hex}/", calls_per_s=1e6)
    counted = CountingKeyValue(EtcdKeyValue(settings, NoMetrics()))
    member = a_member()
    node = Node(member.process, member.incarnation, member.inner, keys())
    node.start()
    members = SingleMember(member)
    owner = ClaimOwner(
        node, members, counted, NoMetrics(), SHARDS, RETENTION_S, writes_per_s=writes_per_s
    )
    client = ClaimClient(node, members, SHARDS, RETENTION_S)
    owner.start()
    client.start()
    try:
        warm_up(client)
        before, took_from = counted.commits, len(counted.took_ms)
        took_ms, failed = claim_at_rate(client, rate_per_s, seconds)
        acknowledged = wait_acknowledged(client)
        report(
            variant, rate_per_s, seconds, counted, before, took_from, took_ms, failed, acknowledged
        )
    finally:
        client.close()
        owner.close()
        node.close(0.1)
        _owner.MAX_BATCH_MESSAGES, _owner.MAX_SYSTEM_WRITES_PER_S, _owner.OUTCOME_LINGER_S = (
            defaults
        )


def take_over(address: str, retained: int) -> None:
    """Fill one shard with recorded keys, and time its take-over by another process."""
    settings = PlatformSettings((address,), address, f"{uuid.uuid4().hex}/", calls_per_s=1e6)
    platform = EtcdKeyValue(settings, NoMetrics())
    previous_owner = ShardStore(platform, 0, a_member())
    previous_owner.take_over().unwrap()
    for first in range(0, retained, ENTRIES_PER_BATCH):
        entries = tuple(an_entry() for _ in range(min(ENTRIES_PER_BATCH, retained - first)))
        batch = Batch(previous_owner.next_batch_key(), BatchRecord(time.time(), entries))
        platform.commit(
            (previous_owner.fencing_condition(),), previous_owner.writes(batch, None)
        ).unwrap()
    shard = Shard(platform, 0, a_member(), RETENTION_S, time.time)
    began = time.monotonic()
    done = shard.take_over()
    took_ms = (time.monotonic() - began) * 1000
    figure("claims", "take_over", round(took_ms), "ms", kept_keys=retained, succeeded=done)


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
    variant: str,
    rate_per_s: int,
    seconds: float,
    counted: CountingKeyValue,
    before: int,
    took_from: int,
    took_ms: list[float],
    failed: int,
    acknowledged: bool,
) -> None:
    """Print the figures of one measurement."""
    commits = counted.commits - before
    case = {"way": variant, "offered_per_s": rate_per_s}
    claimed = len(took_ms)
    figure("claims", "claimed", round(claimed / seconds, 1), "1/s", **case)
    figure("claims", "failed", failed, "claims", outcomes_told=acknowledged, **case)
    figure("claims", "platform_writes", round(commits / seconds, 1), "1/s", **case)
    figure("claims", "writes_per_1000_jobs", round(1000 * commits / max(1, claimed)), "1", **case)
    if took_ms:
        ranked = sorted(took_ms)
        figure("claims", "added_p50", round(statistics.median(ranked), 1), "ms", **case)
        figure("claims", "added_p99", round(ranked[int(len(ranked) * 0.99)], 1), "ms", **case)
    call_ms = statistics.median(counted.took_ms[took_from:] or [0.0])
    figure("claims", "commit_p50", round(call_ms, 1), "ms", **case)


def claim_at_rate(client: ClaimClient, rate_per_s: int, seconds: float) -> tuple[list[float], int]:
    """Claim new keys at a constant rate; return the latencies and the number of failed claims."""
    took_ms: list[float] = []
    failed: list[ClaimState] = []

    def claim_one(due: float) -> None:
        claim = a_claim()
        state = client.claim(claim, CLAIM_WAIT_S).state
        if state is not ClaimState.CLAIMED:
            failed.append(state)
            return
        took_ms.append((time.monotonic() - due) * 1000)
        client.record(claim, ANSWER)

    began = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as pool:
        for n in range(int(rate_per_s * seconds)):
            due = began + n / rate_per_s
            time.sleep(max(0.0, due - time.monotonic()))
            pool.submit(claim_one, due)
    return took_ms, len(failed)


def warm_up(client: ClaimClient) -> None:
    """Claim keys until every shard has been taken over."""
    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(lambda _: client.claim(a_claim(), CLAIM_WAIT_S), range(8 * SHARDS)))


def wait_acknowledged(client: ClaimClient) -> bool:
    """Wait until every outcome is acknowledged; return ``False`` on a timeout."""
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
        _free_address(),
        "127.0.0.1:1",
    )


def keys() -> InnerKeys:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return msgspec.convert({"public": public.decode(), "secret": secret.decode()}, InnerKeys)


def _free_address() -> str:
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
    raise TimeoutError(f"nothing listens on {address}")


if __name__ == "__main__":
    main()
