"""Hand-over of shards from an owner to a host with a lower load."""

import itertools
import time

from testtools import TestCase

from lentilrill.ids import Incarnation, ProcessId, Revision, ZoneId
from lentilrill.ownership import Ownership, Shard
from tests.execution.fakes import eventually
from tests.fakes import FakeKeyValue, lose_answer, lose_request

NOTICES = Shard("notices")
BALLOTS = Shard("ballots")
KEY = "m/o/notices"
STEP_S = 0.5
"""Seconds by which each step advances the clock of all hosts."""
ROUND_S = 0.12
"""Real seconds in which each host completes a claim round."""
TIMEOUT_S = 12.0
MIN_INTERVAL_S = 2.0
"""Minimum time between two hand-overs of one owner."""


class Listener:
    """Records gained and lost shards, and whether the key was still this host's at the loss.

    :ivar rights: at each loss, whether the host still held the shard and might give orders for it.
    """

    def __init__(self, kv: FakeKeyValue) -> None:
        self.tokens_by_shard: dict[Shard, Revision] = {}
        self.flushes: list[bool] = []
        self.was_own: list[bool] = []
        self.rights: list[tuple[bool, bool]] = []
        self.ownership: Ownership | None = None
        self._kv = kv

    def on_gained(self, shard: Shard, token: Revision) -> None:
        self.tokens_by_shard[shard] = token

    def on_lost(self, shard: Shard, *, flush: bool = False) -> None:
        token = self.tokens_by_shard.pop(shard, None)
        item = self._kv.items_by_key.get(f"m/o/{shard}")
        self.flushes.append(flush)
        self.was_own.append(item is not None and item.revision == token)
        if self.ownership is not None:
            self.rights.append((self.ownership.holds(shard), self.ownership.may_order(shard)))


class Host:
    """An entry host: its ownership and the listener that records its shards."""

    def __init__(self, ownership: Ownership, listener: Listener) -> None:
        self.ownership = ownership
        self.listener = listener

    @property
    def shards(self) -> set[Shard]:
        return set(self.listener.tokens_by_shard)


class HandOverCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.now = 100.0
        self.shards = {NOTICES}
        self.pace_by_name: dict[str, float] = {}
        self.unfit: set[str] = set()
        self.hosts: list[Host] = []

    def host(self, name: str, strength: float = 1.0) -> Host:
        listener = Listener(self.kv)
        ownership = Ownership(
            self.kv,
            ProcessId(name),
            Incarnation(1),
            ZoneId("holyoke"),
            f"10.0.0.{name[-1]}:1",
            lambda: self.shards,
            listener,
            strength=strength,
            pace=lambda: self.pace_by_name.get(name, 1.0),
            can_take_over=lambda process: process not in self.unfit,
            clock=lambda: self.now,
        )
        ownership.start()
        self.addCleanup(ownership.close)
        self.assertTrue(eventually(lambda: ownership.registered))
        listener.ownership = ownership
        host = Host(ownership, listener)
        self.hosts.append(host)
        return host

    def owner(self, name: str, strength: float = 1.0) -> Host:
        """Return a host that owns all shards because it is the only one."""
        host = self.host(name, strength)
        for _ in range(6):
            self.step()
        self.assertEqual(self.shards, host.shards)
        return host

    def step(self) -> None:
        self.now += STEP_S
        for host in self.hosts:
            host.ownership._renew_lease()
        time.sleep(ROUND_S)

    def moves(self, source: Host, target: Host) -> bool:
        """Whether the shard moves from one host to another within ``TIMEOUT_S``."""
        end = self.now + TIMEOUT_S
        while self.now < end and NOTICES not in target.shards:
            self.step()
        return NOTICES in target.shards and NOTICES not in source.shards

    def key_changes(self, seconds: float) -> list[float]:
        """Advance the clock; return the times at which the key of a shard changed."""
        current = self.revisions()
        times = []
        end = self.now + seconds
        while self.now < end:
            self.step()
            previous, current = current, self.revisions()
            times += [self.now for key in current if current[key] != previous.get(key)]
        return times

    def revisions(self) -> dict[str, Revision]:
        items = dict(self.kv.items_by_key)
        return {key: item.revision for key, item in items.items() if key.startswith("m/o/")}


class HandOverTest(HandOverCase):
    def test_a_weak_owner_hands_over_to_a_strong_host(self) -> None:
        """A weak host kept a large pool and fell behind, although a strong one owned nothing."""
        weak = self.owner("h1", strength=0.5)
        strong = self.host("h2", strength=2.0)
        self.assertTrue(self.moves(weak, strong))

    def test_a_slowed_owner_does_not_keep_its_shard(self) -> None:
        """An owner too slow for its work kept its lease and started tasks too late."""
        slowed = self.owner("h1")
        other = self.host("h2")
        self.pace_by_name["h1"] = 0.2
        self.assertTrue(self.moves(slowed, other))

    def test_an_owner_stops_and_flushes_before_it_hands_its_key_over(self) -> None:
        """Two hosts gave orders for one pool, and ends of runs seen only by the first were lost."""
        weak = self.owner("h1", strength=0.5)
        self.assertTrue(self.moves(weak, self.host("h2", strength=2.0)))
        self.assertEqual([True], weak.listener.flushes)
        self.assertEqual([True], weak.listener.was_own)

    def test_an_owner_that_hands_over_holds_its_shard_until_it_has_stopped(self) -> None:
        """Guards against run leases that lapse since an owner that stores its progress for a
        hand-over has no right to renew them."""
        weak, strong = self.owner("h1", strength=0.5), self.host("h2", strength=2.0)
        self.assertTrue(self.moves(weak, strong))
        self.assertEqual([(True, False)], weak.listener.rights)
        self.assertFalse(weak.ownership.holds(NOTICES))

    def test_a_hand_over_without_an_answer_leaves_one_owner(self) -> None:
        """A shard had no owner, or two, after the answer to its hand-over was lost."""
        for lose in (lose_answer, lose_request):
            self.kv = FakeKeyValue()
            self.hosts = []
            weak = self.owner("h1", strength=0.5)
            strong = self.host("h2", strength=2.0)
            self.kv.commits.append(lose)
            self.assertTrue(self.moves(weak, strong))
            token = self.kv.items_by_key[KEY].revision
            self.assertEqual(token, strong.listener.tokens_by_shard[NOTICES])
            self.assertFalse(weak.ownership.may_order(NOTICES))

    def test_a_shard_given_to_a_host_that_leaves_is_claimed_by_another(self) -> None:
        """A pool handed over to a leaving host had no acting owner until that host had ended."""
        weak = self.owner("h1", strength=0.5)
        leaving = self.host("h2", strength=2.0)
        leaving.ownership.leave()
        self.key_changes(8.0)
        self.unfit.add("h2")
        self.assertTrue(self.moves(leaving, weak))
        self.assertIn(True, weak.listener.flushes)

    def test_a_shard_that_a_lost_host_should_get_is_claimed_again(self) -> None:
        """A pool had no owner after its hand-over to a host that had just failed."""
        weak = self.owner("h1", strength=0.5)
        strong = self.host("h2", strength=2.0)
        self.hosts.remove(strong)
        strong.ownership._ended.set()
        self.kv._leases.pop(strong.ownership._registration.lease)
        self.assertTrue(eventually(lambda: bool(self.key_changes(STEP_S))))
        self.unfit.add("h2")
        self.assertTrue(self.moves(strong, weak))


class SlowedOwnerTest(HandOverCase):
    def slow(self, *names: str, pace: float = 0.2) -> None:
        self.pace_by_name = dict.fromkeys(names, pace)

    def test_it_hands_over_to_a_host_that_has_a_shard_already(self) -> None:
        """On a small site each host owned a shard, so a slowed host kept its own."""
        slowed = self.owner("h1")
        other = self.host("h2")
        self.shards = {NOTICES, BALLOTS}
        while BALLOTS not in slowed.shards | other.shards:
            self.step()
        self.assertEqual({BALLOTS}, other.shards)
        self.slow("h1", pace=0.3)
        self.assertTrue(self.moves(slowed, other))

    def test_it_stops_without_a_flush_before_it_hands_its_key_over(self) -> None:
        """A pool had no acting owner for seconds while its slowed owner flushed its state."""
        slowed = self.owner("h1")
        other = self.host("h2")
        self.slow("h1")
        self.assertTrue(self.moves(slowed, other))
        self.assertEqual([False], slowed.listener.flushes)
        self.assertEqual([True], slowed.listener.was_own)

    def test_its_shard_does_not_go_to_another_slowed_host(self) -> None:
        """A zone was slowed, and its shards moved from one of its hosts to the next."""
        slowed = self.owner("h1")
        alike = [self.host(f"h{number}") for number in range(2, 6)]
        quick = self.host("h6", strength=0.5)
        self.slow("h1", "h2", "h3", "h4", "h5", pace=0.1)
        self.assertTrue(self.moves(slowed, quick))
        self.assertEqual([[]] * len(alike), [host.listener.flushes for host in alike])

    def test_a_recovered_host_takes_no_shard_back(self) -> None:
        """Callers waited for a second take-over after the previous owner's host had recovered."""
        slowed = self.owner("h1")
        other = self.host("h2")
        self.slow("h1")
        self.assertTrue(self.moves(slowed, other))
        self.slow()
        self.assertEqual([], self.key_changes(20.0))

    def test_a_host_that_is_slowed_for_a_moment_keeps_its_shards(self) -> None:
        """Callers waited for a take-over from a host that recovered before it was complete."""
        self.owner("h1")
        self.host("h2")
        self.assertEqual([], self.key_changes(4.0))
        before = self.revisions()
        self.slow("h1")
        self.step()
        time.sleep(3 * ROUND_S)
        self.slow()
        self.key_changes(10.0)
        self.assertEqual(before, self.revisions())


class HandOverGuardTest(HandOverCase):
    def test_no_shard_moves_back_and_forth_between_equal_hosts(self) -> None:
        """Callers waited for take-overs by hosts that were no better than the previous owners."""
        self.shards = {NOTICES, BALLOTS}
        self.owner("h1")
        self.host("h2")
        self.assertEqual([], self.key_changes(20.0))

    def test_shards_are_not_handed_over_all_at_once(self) -> None:
        """A returning host got all shards at the same moment, and all callers waited."""
        self.shards = {Shard(name) for name in ("a", "b", "c")}
        self.owner("h1", strength=0.5)
        self.host("h2", strength=2.0)
        times = self.key_changes(20.0)
        for former, latter in itertools.pairwise(times):
            self.assertGreaterEqual(latter - former, MIN_INTERVAL_S)

    def test_nothing_is_handed_over_while_the_store_is_silent(self) -> None:
        """An owner released a shard during a store outage, when no host could claim it."""
        weak = self.owner("h1", strength=0.5)
        self.host("h2", strength=2.0)
        self.kv.down = True
        self.key_changes(10.0)
        self.assertEqual([], weak.listener.flushes)

    def test_nothing_is_handed_over_to_a_host_that_is_unfit(self) -> None:
        """A shard was handed over to a host that was overloaded itself, or about to leave."""
        weak = self.owner("h1", strength=0.5)
        self.host("h2", strength=2.0)
        self.unfit.add("h2")
        self.assertEqual([], self.key_changes(10.0))
        self.assertEqual([], weak.listener.flushes)
