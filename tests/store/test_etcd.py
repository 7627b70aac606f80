"""The key-value client on the stand-in, with and without injected faults."""

import itertools
import threading

from returns.result import Failure
from testtools import TestCase

from lentilrill.faults import FaultKind
from lentilrill.ids import Revision
from lentilrill.settings import PlatformSettings
from lentilrill.store import (
    MAX_VALUE_BYTES,
    Compare,
    DeleteRange,
    EtcdKeyValue,
    Item,
    Put,
    TxnAnswer,
    WatchBatch,
)
from lentilrill.telemetry import NoMetrics
from standins.platform import PlatformStandin

WAIT_S = 20.0
SHORT_S = 0.3


class KeyValueTestCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = PlatformStandin("127.0.0.1:0", "127.0.0.1:0", threads=8, progress_s=0.1)
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.kv = self.a_client()

    def a_client(self, silence_s: float = WAIT_S, **changes) -> EtcdKeyValue:
        values = {
            "key_value": (self.platform.address,),
            "host_list": self.platform.address,
            "deadline_s": WAIT_S,
            "calls_per_s": 1000.0,
        }
        settings = PlatformSettings(**values | changes)
        return EtcdKeyValue(settings, NoMetrics(), silence_s=silence_s)

    def put(self, key: str, value: bytes = b"v") -> Revision:
        return self.kv.commit((), (Put(key, value),)).unwrap().revision

    def kind_of(self, result) -> FaultKind:
        self.assertIsInstance(result, Failure)
        return result.failure().kind


class ContractTest(KeyValueTestCase):
    def test_reads_are_relative_to_the_prefix(self) -> None:
        other = self.a_client(prefix="other/")
        other.commit((), (Put("a", b"not ours"),)).unwrap()
        revision = self.put("a/b", b"\x00\xff")
        answer = self.kv.read("a/").unwrap()
        self.assertEqual((Item("a/b", b"\x00\xff", revision),), answer.items)
        self.assertEqual(revision, answer.revision)
        self.assertEqual((), self.kv.read("a/b/").unwrap().items)

    def test_newest_returns_the_revision_without_values(self) -> None:
        self.assertEqual(0, self.kv.newest("state/").unwrap())
        for key in ("state/b", "state/a", "elsewhere"):
            self.put(key)
        self.assertEqual(3, self.kv.newest("state/").unwrap())

    def test_a_commit_needs_every_comparison(self) -> None:
        first = self.kv.commit((Compare("k", Revision(0)),), (Put("k", b"1"),)).unwrap()
        self.assertEqual(TxnAnswer(True, Revision(2)), first)
        again = self.kv.commit((Compare("k", Revision(0)),), (Put("k", b"2"),)).unwrap()
        self.assertEqual(TxnAnswer(False, Revision(2)), again)
        both = (Compare("k", Revision(2)), Compare("other", Revision(1)))
        self.assertFalse(self.kv.commit(both, (Put("k", b"3"),)).unwrap().succeeded)
        done = self.kv.commit(both[:1], (Put("k", b"3"), Put("l", b"3"))).unwrap()
        self.assertEqual(TxnAnswer(True, Revision(3)), done)

    def test_ranges_are_deleted(self) -> None:
        for key in ("a1", "a2", "b"):
            self.put(key)
        self.kv.commit((), (DeleteRange("a", "b"),)).unwrap()
        self.assertEqual(["b"], [item.key for item in self.kv.read("").unwrap().items])

    def test_a_value_over_the_limit_is_not_sent(self) -> None:
        result = self.kv.commit((), (Put("k", b"x" * (MAX_VALUE_BYTES + 1)),))
        self.assertEqual(FaultKind.INVALID, self.kind_of(result))
        self.assertEqual({}, self.platform.calls()["by_kind"])
        self.put("k", b"x" * MAX_VALUE_BYTES)
        self.assertEqual(MAX_VALUE_BYTES, len(self.kv.read("k").unwrap().items[0].value))

    def test_what_the_service_refuses_is_invalid(self) -> None:
        result = self.kv.commit((), (Put("k", b"1"), Put("k", b"2")))
        self.assertEqual(FaultKind.INVALID, self.kind_of(result))

    def test_leases_carry_keys(self) -> None:
        lease = self.kv.lease(0.2).unwrap()
        self.kv.commit((), (Put("k", b"1", lease),)).unwrap()
        self.assertEqual(1.0, self.kv.keep_alive(lease).unwrap())
        self.kv.revoke(lease).unwrap()
        self.kv.revoke(lease).unwrap()
        self.assertEqual((), self.kv.read("").unwrap().items)
        self.assertEqual(FaultKind.CONFLICT, self.kind_of(self.kv.keep_alive(lease)))

    def test_items_tell_their_lease(self) -> None:
        """Guards against a key that remains without its process and looks like any other."""
        start = self.put("plain", b"1")
        lease = self.kv.lease(9.0).unwrap()
        self.kv.commit((), (Put("bound", b"1", lease),)).unwrap()
        leases = {item.key: item.lease for item in self.kv.read("").unwrap().items}
        self.assertEqual({"plain": None, "bound": lease}, leases)
        watch = self.kv.watch("", start)
        self.addCleanup(watch.close)
        self.assertEqual(lease, next(self.changes_of(watch)).lease)

    def test_a_watch_returns_history_then_changes(self) -> None:
        start = self.put("state/a", b"1")
        self.put("elsewhere")
        self.put("state/a", b"2")
        watch = self.kv.watch("state/", start)
        self.addCleanup(watch.close)
        changes = self.changes_of(watch)
        self.assertEqual(Item("state/a", b"2", Revision(4)), next(changes))
        self.kv.commit((), (DeleteRange("state/a"),)).unwrap()
        self.assertEqual(Item("state/a", None, Revision(5)), next(changes))

    def test_a_watch_is_complete_to_its_notices(self) -> None:
        self.put("elsewhere")
        watch = self.kv.watch("state/", Revision(0))
        self.addCleanup(watch.close)
        self.assertEqual(WatchBatch((), Revision(2)), next(watch).unwrap())

    def test_closing_ends_a_wait(self) -> None:
        watch = self.kv.watch("", Revision(0))
        reader = threading.Thread(target=lambda: list(watch))
        next(watch)
        self.platform.set_faults(silent_watch=True)
        reader.start()
        reader.join(SHORT_S)
        watch.close()
        reader.join(WAIT_S)
        self.assertFalse(reader.is_alive())

    def test_compacted_history_is_a_conflict(self) -> None:
        # After a long pause of a controller, the service has compacted the changes it missed. If
        # the watch continued, the controller would keep an old configuration.
        for _ in range(5):
            self.put("k")
        self.platform.store.compact(5)
        [result] = list(self.kv.watch("", Revision(2)))
        self.assertEqual(FaultKind.CONFLICT, self.kind_of(result))

    def changes_of(self, watch):
        batches = (result.unwrap().items for result in watch)
        return itertools.chain.from_iterable(batches)


class FaultTest(KeyValueTestCase):
    def test_a_lost_answer_is_ambiguous(self) -> None:
        # An edit takes effect but its answer is lost. If it were reported as failed, the operator
        # would repeat it and overwrite a newer edit; if the client repeated it, its
        # compare-and-swap would fail because of its own first attempt.
        self.platform.set_faults(lose_answers=1)
        result = self.kv.commit((Compare("k", Revision(0)),), (Put("k", b"1"),))
        self.assertEqual(FaultKind.AMBIGUOUS, self.kind_of(result))
        self.assertEqual("platform.commit", result.failure().step)
        self.assertEqual(b"1", self.kv.read("k").unwrap().items[0].value)
        self.assertEqual(1, self.platform.calls()["by_kind"]["/v3/kv/txn"])

    def test_no_connection_is_no_effect(self) -> None:
        # During a restart of the service, a commit that certainly did not reach it must not be
        # ambiguous, or a claim would be kept for a job that can safely be retried.
        self.platform.close()
        kv = self.a_client(deadline_s=SHORT_S)
        result = kv.commit((), (Put("k", b""),))
        self.assertEqual(FaultKind.UNAVAILABLE, self.kind_of(result))
        self.assertEqual("no connection", result.failure().reason)
        self.platform.start()
        self.assertEqual((), kv.read("k").unwrap().items)

    def test_the_next_address_is_tried(self) -> None:
        kv = self.a_client(key_value=("127.0.0.1:1", self.platform.address))
        self.assertTrue(kv.commit((), (Put("k", b""),)).unwrap().succeeded)

    def test_calls_in_an_outage_end_by_their_deadline(self) -> None:
        self.platform.set_faults(down=True)
        kv = self.a_client(deadline_s=SHORT_S)
        self.assertEqual(FaultKind.UNAVAILABLE, self.kind_of(kv.read("")))
        self.assertEqual(FaultKind.AMBIGUOUS, self.kind_of(kv.commit((), (Put("k", b""),))))
        self.platform.set_faults(down=False)
        self.assertEqual((), self.kv.read("").unwrap().items)

    def test_a_late_answer_is_discarded(self) -> None:
        # A read is abandoned at its deadline and its answer arrives later on the same connection.
        # A second read on that connection would get the first answer, so a connection is not
        # reused after a failed exchange.
        self.put("a", b"a")
        self.put("b", b"b")
        kv = self.a_client(deadline_s=SHORT_S)
        kv.read("b").unwrap()
        self.platform.set_faults(slow_s=2 * SHORT_S)
        self.assertEqual(FaultKind.UNAVAILABLE, self.kind_of(kv.read("a")))
        self.platform.set_faults(slow_s=0.0)
        self.assertEqual(["b"], [item.key for item in kv.read("b").unwrap().items])

    def test_a_cut_off_address_answers_nothing(self) -> None:
        # Packets to the platform are dropped, so connections hang instead of being refused. Calls
        # must end by their deadline, and a write may have arrived.
        cut = self.platform.addresses[1]
        kv = self.a_client(key_value=(cut,), deadline_s=SHORT_S)
        self.platform.set_faults(cut=[cut])
        self.assertEqual(FaultKind.AMBIGUOUS, self.kind_of(kv.commit((), (Put("k", b""),))))
        self.assertTrue(self.kv.commit((), (Put("k", b""),)).unwrap().succeeded)

    def test_stale_reads_are_shown_with_their_revision(self) -> None:
        # A lagging replica answers a read. The revision allows a reader to ignore the answer if
        # its own data is newer.
        self.put("k", b"old")
        self.platform.set_faults(stale=True)
        revision = self.put("k", b"new")
        answer = self.kv.read("k").unwrap()
        self.assertEqual(b"old", answer.items[0].value)
        self.assertTrue(answer.revision < revision)

    def test_a_silent_watch_ends_with_a_fault(self) -> None:
        # A device on the path drops the state of an open connection: the watch would wait forever
        # and miss a new configuration. Missing progress notices reveal it, and the next watch
        # uses a new connection.
        kv = self.a_client(silence_s=SHORT_S)
        watch = kv.watch("", Revision(0))
        next(watch).unwrap()
        self.platform.set_faults(silent_watch=True)
        *_, last = list(watch)
        self.assertEqual(FaultKind.UNAVAILABLE, self.kind_of(last))
        self.platform.set_faults(silent_watch=False)
        again = kv.watch("", Revision(0))
        self.addCleanup(again.close)
        next(again).unwrap()

    def test_a_watch_on_a_service_that_is_down_ends_with_a_fault(self) -> None:
        watch = self.kv.watch("", Revision(0))
        next(watch).unwrap()
        self.platform.set_faults(down=True)
        *_, last = list(watch)
        self.assertEqual(FaultKind.UNAVAILABLE, self.kind_of(last))
        self.assertEqual([], list(watch))

    def test_calls_and_waiting_watches_are_counted(self) -> None:
        watch = self.kv.watch("", Revision(0))
        next(watch).unwrap()
        self.kv.read("").unwrap()
        calls = self.platform.calls()
        self.assertEqual({"/v3/watch": 1, "/v3/kv/range": 1}, calls["by_kind"])
        self.assertEqual(1, calls["watches_waiting"])
        watch.close()
