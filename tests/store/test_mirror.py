"""The mirror never returns to an older revision."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilrill.ids import Revision
from lentilrill.store import Item, Mirror

changes = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()).map(tuple), min_size=1, max_size=20
)


def history(steps: list[tuple[str, bool]]) -> list[Item]:
    return [
        Item(key, b"%d" % n if present else None, Revision(n + 1))
        for n, (key, present) in enumerate(steps)
    ]


class MirrorTest(TestCase):
    @settings(derandomize=True, max_examples=200, database=None)
    @given(changes, st.randoms(use_true_random=False))
    def test_any_order_ends_at_the_newest(self, steps, random) -> None:
        # A delayed message with an older revision may arrive after a newer one and must not
        # replace it, or an operator's change would revert.
        items = history(steps)
        newest = {item.key: item for item in items}
        shuffled = items * 2
        random.shuffle(shuffled)
        mirror = Mirror()
        for item in shuffled:
            mirror.merge((item,))
        present = sorted((i for i in newest.values() if i.value is not None), key=lambda i: i.key)
        self.assertEqual(present, mirror.items_below(""))

    def test_a_full_read_deletes_missing_keys(self) -> None:
        # A pool is removed while this process is disconnected. After the following full read, a
        # late message with the old value must not restore the pool.
        mirror = Mirror()
        old = Item("pools/a", b"1", Revision(3))
        mirror.replace((old,), Revision(3))
        mirror.replace((), Revision(9))
        mirror.merge((old,))
        self.assertIsNone(mirror.get("pools/a"))
        self.assertEqual(9, mirror.complete_to)

    def test_a_stale_full_read_changes_nothing(self) -> None:
        # A read from a lagging replica must neither replace a newer configuration nor delete a
        # newer key.
        mirror = Mirror()
        new = Item("state/document", b"new", Revision(9))
        mirror.replace((new,), Revision(9))
        mirror.replace((Item("state/document", b"old", Revision(5)),), Revision(6))
        self.assertEqual(new, mirror.get("state/document"))
        mirror.replace((), Revision(6))
        self.assertEqual(new, mirror.get("state/document"))
        self.assertEqual(9, mirror.complete_to)
