"""The store of the stand-in assigns revisions like etcd."""

from testtools import TestCase
from testtools.matchers import Equals, MatchesStructure

from standins._store import Condition, DeleteWrite, PutWrite, Store, StoreError


class StoreTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.store = Store(lambda: self.now)

    def put(self, *keys: bytes, lease: int = 0) -> int:
        return self.store.txn([], [PutWrite(key, b"v", lease) for key in keys], [])[1]

    def test_a_transaction_is_one_revision(self) -> None:
        self.assertEqual(1, self.store.revision)
        self.assertEqual(2, self.put(b"a", b"b"))
        self.assertEqual(3, self.put(b"a"))
        keys, revision = self.store.range(b"a", b"c")
        self.assertEqual(3, revision)
        shape = MatchesStructure.byEquality(created=2, modified=3, version=2)
        self.assertThat(keys[0], shape)
        self.assertThat(keys[1], MatchesStructure.byEquality(created=2, modified=2, version=1))

    def test_what_changes_nothing_keeps_the_revision(self) -> None:
        self.assertEqual(1, self.store.txn([], [DeleteWrite(b"a")], [])[1])
        absent = Condition(b"a", "MOD", "EQUAL", 9)
        self.assertEqual((False, 1, []), self.store.txn([absent], [PutWrite(b"a", b"")], []))

    def test_a_key_that_comes_back_starts_anew(self) -> None:
        self.put(b"a")
        self.assertEqual((True, 3, [1]), self.store.txn([], [DeleteWrite(b"a", b"b")], []))
        self.put(b"a")
        [key] = self.store.range(b"a", b"")[0]
        self.assertThat(key, MatchesStructure.byEquality(created=4, modified=4, version=1))

    def test_a_lapsed_lease_takes_its_keys_in_one_revision(self) -> None:
        lease = self.store.grant(5)
        self.put(b"a", b"b", lease=lease)
        self.put(b"c")
        self.now = 4.0
        self.assertEqual(5, self.store.keep_alive(lease))
        self.now = 8.9
        self.assertEqual(3, len(self.store.range(b"a", b"z")[0]))
        self.now = 9.0
        keys, revision = self.store.range(b"a", b"z")
        self.assertEqual(([b"c"], 4), ([key.key for key in keys], revision))
        self.assertEqual(0, self.store.keep_alive(lease))

    def test_a_put_without_the_lease_keeps_the_key(self) -> None:
        lease = self.store.grant(5)
        self.put(b"a", lease=lease)
        self.put(b"a")
        self.now = 6.0
        self.assertEqual(1, len(self.store.range(b"a", b"")[0]))

    def test_refused_transactions_change_nothing(self) -> None:
        duplicate_puts = [PutWrite(b"a", b"1"), PutWrite(b"a", b"2")]
        put_and_deleted = [PutWrite(b"a", b"1"), DeleteWrite(b"a", b"b")]
        unknown_lease = [PutWrite(b"a", b"1", 7)]
        for writes in (
            duplicate_puts,
            put_and_deleted,
            unknown_lease,
            [PutWrite(b"%d" % n, b"") for n in range(129)],
        ):
            self.assertRaises(StoreError, self.store.txn, [], writes, [])
        self.assertThat(self.store.revision, Equals(1))

    def test_compaction_forgets_history_but_no_key(self) -> None:
        for _ in range(4):
            self.put(b"a")
        self.store.compact(4)
        self.assertEqual([4, 5], [c.revision for c in self.store.changes_since(1, b"a", b"")[0]])
        self.assertEqual(1, len(self.store.range(b"a", b"")[0]))
        self.assertRaises(StoreError, self.store.compact, 4)
        self.assertRaises(StoreError, self.store.compact, 6)
