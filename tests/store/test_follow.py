"""Followers: time without changes, and items that are not needed all the time."""

from testtools import TestCase

from lentilrill.store import Follower, Item
from tests.execution.fakes import eventually
from tests.fakes import FakeKeyValue


class Listener:
    def __init__(self) -> None:
        self.item_by_key: dict[str, Item] = {}

    def on_replaced(self, items: tuple[Item, ...]) -> None:
        self.item_by_key = {}
        self.on_changed(items)

    def on_changed(self, items: tuple[Item, ...]) -> None:
        self.item_by_key.update({item.key: item for item in items})


class FailingTest(TestCase):
    def test_time_without_changes(self) -> None:
        """Guards against decisions by records that have not been read for seconds."""
        kv = FakeKeyValue()
        kv.down = True
        follower = Follower(kv, "in/", Listener())
        self.addCleanup(follower.close)
        self.assertEqual(0.0, follower.failing_s)
        follower.start()
        self.assertTrue(eventually(lambda: follower.failing_s > 0.05))
        kv.down = False
        self.assertTrue(eventually(lambda: follower.failing_s == 0.0))
        self.assertTrue(follower.initial_read_done.is_set())


class NeededTest(TestCase):
    def test_items_that_were_not_needed_for_a_while_are_read_again_before_use(self) -> None:
        """A new owner overfilled an endpoint, whose entry it had read as another pool's owner."""
        kv, listener = FakeKeyValue(), Listener()
        kv.put("servers/a", b"large")
        needed = [True]
        follower = Follower(kv, "servers/", listener, is_needed=lambda: needed[0])
        self.addCleanup(follower.close)
        follower.start()
        self.assertTrue(eventually(lambda: "servers/a" in listener.item_by_key))
        needed[0] = False
        self.assertTrue(eventually(lambda: not listener.item_by_key))
        kv.put("servers/a", b"small")
        needed[0] = True
        follower.wake()
        self.assertTrue(eventually(lambda: bool(listener.item_by_key)))
        self.assertEqual(b"small", listener.item_by_key["servers/a"].value)
