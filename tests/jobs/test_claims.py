"""Claims of idempotency keys by a client, with owners and the platform."""

import threading
from typing import Any, cast

import msgspec
from testtools import TestCase

from lentilrill.ids import PlanId, RequestId
from lentilrill.inner import ClaimAnswer, ClaimState, Node, OutcomeNote
from lentilrill.jobs import (
    Claim,
    ClaimClient,
    ClaimOwner,
    ClaimResult,
    RecordedResponse,
    _client,
    _shard,
)
from lentilrill.jobs._records import BatchRecord
from lentilrill.jobs._shards import shard_of
from lentilrill.jobs._store import ShardStore
from lentilrill.membership import Member
from lentilrill.telemetry import NoMetrics
from tests import builders
from tests.jobs.fakes import Bus, BusNode, FakeMembershipList, FakePlatform

WAIT_S = 10.0
SOON_S = 0.4
RETENTION_S = 600.0


class Process:
    """Claim client and claim owner of one gateway process."""

    def __init__(self, test: "ClaimTestCase", member: Member, shards: int) -> None:
        self.member = member
        self.node = BusNode(test.bus, member)
        self.membership = FakeMembershipList(member)
        self.now = 1000.0
        node = cast(Node, self.node)
        self.client = ClaimClient(node, self.membership, shards, RETENTION_S)
        self.owner = ClaimOwner(
            node, self.membership, test.platform, NoMetrics(), shards, RETENTION_S, lambda: self.now
        )
        self.client.start()
        self.owner.start()
        test.addCleanup(self.client.close)
        test.addCleanup(self.owner.close)

    def set_only_member(self, owner: "Process") -> None:
        """Make ``owner`` the only member in this process's membership list."""
        self.membership.members = (owner.member,)


class ClaimTestCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = FakePlatform()
        self.bus = Bus()

    def a_process(self, name: str, shards: int = 1) -> Process:
        member = builders.a_member(name, inner=f"inner-{name}")
        return Process(self, member, shards)

    def claim(self, process: Process, request: str, **changes: Any) -> ClaimResult:
        timeout_s = changes.pop("timeout_s", WAIT_S)
        return process.client.claim(a_claim(request, **changes), timeout_s)

    def assert_state(self, state: ClaimState, result: ClaimResult) -> None:
        self.assertEqual(state, result.state)

    def drop_first_outcome(self) -> None:
        """Drop the next message with an outcome."""
        lost: list[OutcomeNote] = []

        def drop(address: str, message: object) -> bool:
            if isinstance(message, OutcomeNote) and not lost:
                lost.append(message)
                return True
            return False

        self.bus.drop = drop

    def wait_acknowledged(self, process: Process) -> None:
        """Wait until every outcome of the process is acknowledged."""
        for _ in range(int(WAIT_S * 100)):
            if not process.client.unacknowledged_outcomes:
                return
            threading.Event().wait(0.01)
        self.fail("outcomes were not acknowledged")


def a_claim(request: str, key: str = "k1", fingerprint: str = "f1") -> Claim:
    return Claim(RequestId(request), PlanId("schools"), key, fingerprint)


class OneOwnerTest(ClaimTestCase):
    def test_life_of_a_key(self) -> None:
        one = self.a_process("one")
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r1"))
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(one, "r2"))
        self.assert_state(ClaimState.MISMATCH, self.claim(one, "r3", fingerprint="other"))
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r4", key="k2"))
        recorded = RecordedResponse(201, "text/plain", b"made")
        one.client.record(a_claim("r1"), recorded)
        self.wait_acknowledged(one)
        result = self.claim(one, "r5")
        self.assertEqual((ClaimState.RECORDED, recorded), (result.state, result.recorded))

    def test_a_released_key_is_free(self) -> None:
        one = self.a_process("one")
        self.claim(one, "r1")
        one.client.release(a_claim("r1"))
        self.wait_acknowledged(one)
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r2"))

    def test_kept_bodies_are_bounded(self) -> None:
        self.patch(_shard, "MAX_BODY_BYTES", 5)
        one = self.a_process("one")
        for n in range(3):
            self.claim(one, f"r{n}", key=f"k{n}")
            one.client.record(a_claim(f"r{n}", key=f"k{n}"), RecordedResponse(200, "", b"12345"))
            self.wait_acknowledged(one)
        kept = [self.claim(one, f"again{n}", key=f"k{n}").recorded for n in range(3)]
        self.assertEqual([b"12345", None, None], [recorded and recorded.body for recorded in kept])

    def test_only_the_holder_can_end_a_claim(self) -> None:
        # A request whose claim timed out releases the key, although another request has claimed
        # it meanwhile. If that released the other's claim, a third request would run the job too.
        one = self.a_process("one")
        self.claim(one, "r1")
        one.client.release(a_claim("r2"))
        self.wait_acknowledged(one)
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(one, "r3"))

    def test_claims_that_queue_up_share_a_commit(self) -> None:
        # The first commit is blocked. All messages that arrive meanwhile must share one commit;
        # otherwise the write rate on the platform would grow with the number of jobs.
        one = self.a_process("one")
        self.claim(one, "first", key="first")
        entered, gate = threading.Event(), threading.Event()

        def block() -> None:
            entered.set()
            gate.wait(WAIT_S)

        self.platform.before_commit = block
        results: list[ClaimResult] = []
        tasks = [
            threading.Thread(
                target=lambda n=n: results.append(self.claim(one, f"r{n}", key=f"k{n}"))
            )
            for n in range(40)
        ]
        before = self.platform.commits
        tasks[0].start()
        entered.wait(WAIT_S)
        sent = threading.Semaphore(0)
        self.bus.drop = lambda address, message: bool(sent.release())
        for task in tasks[1:]:
            task.start()
        for _ in tasks[1:]:
            sent.acquire(timeout=WAIT_S)
        gate.set()
        for task in tasks:
            task.join(WAIT_S)
        self.assertEqual({ClaimState.CLAIMED}, {result.state for result in results})
        self.assertEqual(40, len(results))
        self.assertEqual(2, self.platform.commits - before)

    def test_values_stay_below_the_platforms_limit(self) -> None:
        one = self.a_process("one")
        entered, gate = threading.Event(), threading.Event()

        def block() -> None:
            entered.set()
            gate.wait(WAIT_S)

        self.platform.before_commit = block
        claims = [a_claim(f"r{n}", key='"' * 200 + str(n)) for n in range(400)]
        one.client.release(a_claim("none"))
        entered.wait(WAIT_S)
        tasks = [
            threading.Thread(target=one.client.claim, args=(one_claim, WAIT_S))
            for one_claim in claims
        ]
        for task in tasks:
            task.start()
        gate.set()
        for task in tasks:
            task.join(WAIT_S)
        for one_claim in claims:
            one.client.record(one_claim, RecordedResponse(200, "text/plain", b"\0" * 4096))
        self.wait_acknowledged(one)
        self.assertLess(self.platform.largest_value_bytes, 1_000_000)
        self.assertGreater(self.platform.largest_value_bytes, 100_000)

    def test_retention_cleans_up_and_keeps_what_is_in_progress(self) -> None:
        # The retention of one key has passed, and the gateway of another key failed during its
        # job. The first key becomes free and its batch is deleted. The second one must stay
        # claimed, also for the next owner, or a job whose outcome is unknown would run again.
        one = self.a_process("one")
        self.claim(one, "done", key="done")
        self.claim(one, "died", key="died")
        one.client.record(a_claim("done", key="done"), RecordedResponse(200, "", b""))
        self.wait_acknowledged(one)
        one.now += RETENTION_S + 60
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "again", key="done"))
        self.assertEqual(1, len(self.platform.keys_containing("/batch/")))
        two = self.a_process("two")
        two.now = one.now
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(two, "x", key="died"))
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(two, "y", key="done"))

    def test_an_outcome_is_sent_until_it_is_acknowledged(self) -> None:
        # The message with an outcome is lost. If it were not sent again, the key would stay in
        # progress for hours although its outcome is known.
        one = self.a_process("one")
        self.claim(one, "r1")
        self.drop_first_outcome()
        one.client.record(a_claim("r1"), RecordedResponse(200, "", b"x"))
        self.wait_acknowledged(one)
        self.assert_state(ClaimState.RECORDED, self.claim(one, "r2"))

    def test_a_planned_stop_sends_the_last_outcomes(self) -> None:
        # An entry host is stopped just after its last keyed job was answered, and the message
        # with the outcome is lost. The outcome must still be recorded, or the key would stay in
        # progress for hours.
        one, two = self.a_process("one"), self.a_process("two")
        one.set_only_member(two)
        self.claim(one, "r1")
        self.drop_first_outcome()
        one.client.record(a_claim("r1"), RecordedResponse(200, "", b"x"))
        one.client.close()
        self.assert_state(ClaimState.RECORDED, self.claim(two, "r2"))

    def test_a_missing_owner_does_not_delay_a_stop(self) -> None:
        self.patch(_client, "CLOSE_TIMEOUT_S", 0.1)
        one = self.a_process("one")
        one.membership.members = ()
        one.client.record(a_claim("r1"), RecordedResponse(200, "", b"x"))
        one.client.close()
        self.assertEqual(1, one.client.unacknowledged_outcomes)


class FaultTest(ClaimTestCase):
    def test_a_lost_answer_is_read_back(self) -> None:
        # The batch is committed, but the platform's answer is lost. Either answer to the claim
        # could be wrong, unless the owner reads the batch back.
        one = self.a_process("one")
        self.claim(one, "r0", key="k0")
        self.platform.lose_answers = 1
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r1"))
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(one, "r2"))

    def test_a_lost_answer_of_the_take_over(self) -> None:
        self.platform.lose_answers = 1
        self.assert_state(ClaimState.CLAIMED, self.claim(self.a_process("one"), "r1"))

    def test_a_write_that_lands_late_claims_nothing(self) -> None:
        # The write of a batch times out and is still in progress. The read back doesn't show it,
        # so the caller is told "not_run" and a later request claims the key. When the delayed
        # write arrives, it must not take effect, as the key may be claimed by another request.
        one = self.a_process("one")
        self.claim(one, "r0", key="k0")
        self.platform.postpone_commits = 1
        result = one.client.claim(a_claim("r1"), SOON_S)
        self.assert_state(ClaimState.UNAVAILABLE, result)
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r2"))
        before = self.platform.keys_containing("/batch/")
        self.platform.apply_postponed()
        self.assertEqual(before, self.platform.keys_containing("/batch/"))

    def test_platform_down_claims_nothing(self) -> None:
        one = self.a_process("one")
        self.claim(one, "r0", key="k0")
        self.platform.down = True
        result = one.client.claim(a_claim("r1"), SOON_S)
        self.assert_state(ClaimState.UNAVAILABLE, result)
        self.assertIsNotNone(result.retry_after_s)
        self.platform.down = False
        self.assert_state(ClaimState.CLAIMED, self.eventually(one, "r2"))

    def test_no_owner_claims_nothing(self) -> None:
        one = self.a_process("one")
        one.membership.members = ()
        self.assert_state(ClaimState.UNAVAILABLE, one.client.claim(a_claim("r1"), SOON_S))

    def test_an_unanswered_claim_is_given_back(self) -> None:
        # The owner commits a claim, but its answer is lost, and the gateway tells its caller
        # that the job did not run. The caller's next attempt must not be refused as in progress
        # for hours.
        one = self.a_process("one")
        self.bus.drop = lambda address, message: isinstance(message, ClaimAnswer)
        self.assert_state(ClaimState.UNAVAILABLE, one.client.claim(a_claim("r1"), SOON_S))
        self.bus.drop = lambda address, message: False
        self.wait_acknowledged(one)
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r2"))

    def test_a_stale_read_is_no_proof(self) -> None:
        # A new owner reads from a replica that lags, without the former owner's claims. If the
        # read were accepted, the key would be free and its job would run twice.
        one, two = self.a_process("one"), self.a_process("two")
        self.claim(one, "r0", key="k0")
        past = dict(self.platform.items)
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r1"))
        self.platform.before_commit = lambda: setattr(self.platform, "stale_items", past)
        result = two.client.claim(a_claim("r2"), SOON_S)
        self.assert_state(ClaimState.UNAVAILABLE, result)
        self.platform.before_commit = lambda: None
        self.platform.stale_items = None
        self.assert_state(ClaimState.IN_PROGRESS, self.eventually(two, "r3"))

    def test_an_unreadable_batch_stops_claims(self) -> None:
        # A batch that can't be decoded, for example from a faulty build, may contain any key.
        one = self.a_process("one")
        self.claim(one, "r1")
        key = self.platform.keys_containing("/batch/")[0]
        item = self.platform.items[key]
        self.platform.items[key] = msgspec.structs.replace(item, value=b"{")
        two = self.a_process("two")
        self.assert_state(ClaimState.UNAVAILABLE, two.client.claim(a_claim("r2"), SOON_S))

    def eventually(self, process: Process, request: str) -> ClaimResult:
        """Repeat the claim until the owner's back-off has ended."""
        for n in range(100):
            result = process.client.claim(a_claim(f"{request}-{n}"), SOON_S)
            if result.state is not ClaimState.UNAVAILABLE:
                break
            threading.Event().wait(0.05)
        return result


class TwoOwnersTest(ClaimTestCase):
    def test_a_paused_former_owner_claims_nothing(self) -> None:
        # The owner finds the key free and is paused just before its write. Another process takes
        # the shard over and claims the key for its request. If the write of the first owner took
        # effect once it resumes, the job would run twice.
        one, two = self.a_process("one"), self.a_process("two")
        self.claim(one, "r0", key="k0")
        paused, wake = threading.Event(), threading.Event()

        def pause_once() -> None:
            self.platform.before_commit = lambda: None
            paused.set()
            wake.wait(WAIT_S)

        self.platform.before_commit = pause_once
        results: list[ClaimResult] = []
        claim = threading.Thread(
            target=lambda: results.append(one.client.claim(a_claim("r1"), SOON_S))
        )
        claim.start()
        paused.wait(WAIT_S)
        self.assert_state(ClaimState.CLAIMED, self.claim(two, "r2"))
        wake.set()
        claim.join(WAIT_S)
        self.assertNotEqual(ClaimState.CLAIMED, results[0].state)
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(two, "r3"))

    def test_a_claim_committed_during_a_take_over_is_seen(self) -> None:
        # While another process takes the shard over, the former owner still commits a claim. If
        # the new owner read the batches before it changed the fencing token, it would miss the
        # claim, and the job would run twice.
        one, two = self.a_process("one"), self.a_process("two")
        self.claim(one, "r0", key="k0")

        def claim_first() -> None:
            self.platform.before_commit = lambda: None
            self.assert_state(ClaimState.CLAIMED, self.claim(one, "r1"))

        self.platform.before_commit = claim_first
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(two, "r2"))

    def test_a_restarted_owner_takes_its_shard_over(self) -> None:
        # The owner fails after a claim was committed, and restarts with the same name and
        # without state. It must take the shard over like any other process and read the claims.
        one = self.a_process("one")
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r1"))
        again = self.a_process("one")
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(again, "r2"))
        # If the former incarnation still runs, it can't commit claims any more.
        result = one.owner.owns(0) and one.client.claim(a_claim("r3", key="k3"), SOON_S)
        self.assertNotEqual(ClaimState.CLAIMED, cast(ClaimResult, result).state)

    def test_two_owners_at_once_never_both_claim(self) -> None:
        # Two processes are partitioned from each other, and both act as owners of the shard.
        # Callers send the same keys to both. At most one request may hold the claim of a key.
        one, two = self.a_process("one"), self.a_process("two")
        winners: dict[str, int] = {}
        lock = threading.Lock()

        def race(process: Process) -> None:
            for n in range(30):
                key = f"k{n}"
                claim = a_claim(f"{process.member.process}-{n}", key=key)
                if process.client.claim(claim, SOON_S).state is ClaimState.CLAIMED:
                    with lock:
                        winners[key] = winners.get(key, 0) + 1

        tasks = [threading.Thread(target=race, args=(process,)) for process in (one, two)]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join(60)
        self.assertNotEqual({}, winners)
        self.assertEqual({1}, set(winners.values()))

    def test_a_lost_shard_does_not_stop_the_others(self) -> None:
        # One transaction contains claims of several shards, and another process has taken one of
        # them over. The whole transaction fails. The claims of the other shards must still be
        # committed, and those of that shard must not.
        one = self.a_process("one", shards=4)
        keys_by_shard = {shard_of(PlanId("schools"), f"k{n}", 4): f"k{n}" for n in range(40)}
        for key in keys_by_shard.values():
            self.assert_state(ClaimState.CLAIMED, self.claim(one, f"first-{key}", key=key))
        other = builders.a_member("other")
        ShardStore(self.platform, 2, other).take_over().unwrap()
        entered, gate = threading.Event(), threading.Event()

        def block() -> None:
            entered.set()
            gate.wait(WAIT_S)

        self.platform.before_commit = block
        states: dict[int, ClaimState] = {}

        def claim(shard: int, key: str) -> None:
            result = one.client.claim(a_claim(f"new-{key}", key=key), WAIT_S)
            states[shard] = result.state

        one.client.release(a_claim("first-k0", key="k0"))
        entered.wait(WAIT_S)
        fresh = {shard_of(PlanId("schools"), f"n{n}", 4): f"n{n}" for n in range(40)}
        tasks = [threading.Thread(target=claim, args=item) for item in fresh.items()]
        for task in tasks:
            task.start()
        gate.set()
        for task in tasks:
            task.join(WAIT_S)
        lost = states.pop(2)
        self.assertEqual({0, 1, 3}, set(states))
        self.assertEqual({ClaimState.CLAIMED}, set(states.values()))
        self.assertEqual(ClaimState.UNAVAILABLE, lost)

    def test_a_moved_shard_is_found(self) -> None:
        one, two = self.a_process("one"), self.a_process("two")
        one.set_only_member(two)
        self.assert_state(ClaimState.CLAIMED, self.claim(one, "r1"))
        two.set_only_member(one)
        one.set_only_member(one)
        self.assert_state(ClaimState.IN_PROGRESS, self.claim(two, "r2"))

    def test_batches_decode_as_written(self) -> None:
        one = self.a_process("one")
        self.claim(one, "r1")
        key = self.platform.keys_containing("/batch/")[0]
        value = self.platform.items[key].value
        assert value is not None
        record = msgspec.json.decode(value, type=BatchRecord)
        self.assertEqual(["k1"], [entry.key for entry in record.entries])
