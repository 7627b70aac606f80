"""Shutdown of the watcher."""

from collections.abc import Iterator
from unittest.mock import Mock

from testtools import TestCase

from lentilrill.gossip import Watcher, _watcher
from lentilrill.ids import Revision
from lentilrill.membership import MembershipTracker, Role
from lentilrill.store import Mirror
from lentilrill.telemetry import NoMetrics
from tests import builders
from tests.execution.fakes import eventually
from tests.fakes import FakeNode


class LateStream:
    """A watch that ends only when it is closed."""

    def __init__(self) -> None:
        self.read = self.closed = False

    def __iter__(self) -> Iterator:
        self.read = True
        return iter(())

    def close(self) -> None:
        self.closed = True


class ClosingKeyValue:
    """A key-value service that opens a watch while the watcher is being closed."""

    def __init__(self) -> None:
        self.stream = LateStream()
        self.watcher: Watcher | None = None

    def watch(self, prefix: str, after: Revision) -> LateStream:
        self.watcher._stopping.set()
        self.watcher._end_stream()
        return self.stream


class WatcherTest(TestCase):
    def test_a_watch_opened_during_close_is_closed(self) -> None:
        # A controller hangs on shutdown. close() runs while the watch is being opened, finds no
        # stream to close, and the watcher's thread then waits on the new stream forever.
        me = builders.a_member("ct-1", role=Role.CONTROLLER)
        membership = MembershipTracker(me, dict, 2.0, 5.0)
        kv = ClosingKeyValue()
        kv.watcher = Watcher(kv, Mirror(), membership, FakeNode(), NoMetrics())
        kv.watcher._watch()
        self.assertFalse(kv.stream.read)
        self.assertTrue(kv.stream.closed)

    def test_its_threads_outlive_an_unexpected_error(self) -> None:
        """Guards against a process that follows the state no more, and never tells why, since one
        call to the store raised an error that nobody expected."""
        me = builders.a_member("ct-1", role=Role.CONTROLLER)
        membership = MembershipTracker(me, dict, 2.0, 5.0)
        self.patch(_watcher, "RETRY_INTERVAL_S", 0.01)
        self.patch(_watcher, "CHECK_INTERVAL_S", 0.01)
        kv = Mock()
        kv.read.side_effect = kv.newest.side_effect = RuntimeError("unexpected")
        watcher = Watcher(kv, Mirror(), membership, FakeNode(), NoMetrics())
        watcher.start()
        self.addCleanup(watcher.close)
        self.assertTrue(eventually(lambda: kv.read.call_count > 2 and kv.newest.call_count > 2))
