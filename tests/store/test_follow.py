"""How long a follower has been without changes."""

from testtools import TestCase

from lentilrill.store import Follower, Item
from tests.execution.fakes import eventually
from tests.fakes import FakeKeyValue


class Listener:
    def on_replaced(self, items: tuple[Item, ...]) -> None:
        del items

    def on_changed(self, items: tuple[Item, ...]) -> None:
        del items


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
