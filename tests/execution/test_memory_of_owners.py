"""What only the memory of a pool's owner held, and what its next owner makes of it."""

import msgspec
from returns.result import Result
from testtools import TestCase

from lentilrill.execution import PoolOwner
from lentilrill.faults import Fault
from lentilrill.store import Priority, RangeAnswer
from lentilrill.workloads import Job, JobState
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, TimedEndpoint, eventually, state_of
from tests.fakes import refuse

ENOUGH_POLLS = 6
"""Polls of an endpoint that take longer than two planning rounds."""


class MemoryCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1", "e2")
        self.addCleanup(self.pool.close)
        self.pool.register(an_endpoint("e1"))

    def accept(self, job: Job) -> None:
        """Store a job as an accepting host does."""
        self.pool.kv.put(f"in/notices/j/{job.id}", msgspec.msgpack.encode(job))

    def stored(self, key: str) -> bytes:
        item = self.pool.kv.items_by_key.get(key)
        return item.value or b"" if item is not None else b""


class EarlyCancelTest(MemoryCase):
    """A job that is cancelled while its new owner reads the records."""

    def setUp(self) -> None:
        super().setUp()
        self.job = a_job("a", a_step(1))
        self.accept(self.job)
        first = self.pool.take_over()
        key = f"p/notices/{self.job.id}"
        self.assertTrue(eventually(lambda: b"running" in self.stored(key)))
        first.close()

    def take_over(self) -> PoolOwner:
        """Start an owner that is told of the cancel after its read, and can't read again."""
        owner = self.pool.new_owner()
        read = self.pool.kv.read
        reads = []

        def read_once(
            prefix: str, priority: Priority = Priority.FIRST
        ) -> Result[RangeAnswer, Fault]:
            if prefix != "in/notices/":
                return read(prefix, priority)
            reads.append(prefix)
            if len(reads) > 1:
                return refuse(lambda: read(prefix, priority))
            found = read(prefix, priority)
            self.pool.kv.put(f"in/notices/x/{self.job.id}", b"{}")
            owner.cancel(self.job.id)
            return found

        self.pool.kv.read = read_once
        owner.start()
        return owner

    def test_a_cancel_that_comes_before_the_record_is_restored_counts(self) -> None:
        """Guards against a cancelled job that is shown as running, and whose tasks go on, since
        the previous owner's record replaced the end that its new owner had been told of."""
        owner = self.take_over()
        self.assertTrue(eventually(lambda: bool(self.pool.endpoints["e1"].stops)))
        self.assertEqual(JobState.CANCELLED, state_of(owner, self.job.id))
        key = f"p/notices/{self.job.id}"
        self.assertTrue(eventually(lambda: b"cancelled" in self.stored(key)))


class IncompleteGangTest(MemoryCase):
    def test_a_gang_whose_start_was_lost_with_its_owner_starts_again(self) -> None:
        """Guards against a gang that keeps its room and does nothing until its endpoints end it:
        the owner that had given up the start of a member was lost."""
        lossy = self.pool.endpoints["e2"] = TimedEndpoint()
        lossy.loses_starts = True
        self.pool.register(an_endpoint("e2"))
        self.accept(a_job("a", a_step(2, gang=True, most_per_endpoint=1)))
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: bool(self.pool.endpoints["e1"].running)))
        self.assertTrue(eventually(lambda: bool(lossy.delayed)))
        first.close()
        lossy.loses_starts = False
        self.pool.take_over()
        self.assertTrue(eventually(lambda: bool(lossy.running)))
        self.assertTrue(eventually(lambda: self.numbers("e1") == self.numbers("e2")))

    def test_a_gang_is_left_alone_until_all_its_endpoints_are_polled(self) -> None:
        """Guards against a gang that is stopped at each take-over, as one of its members is found
        before the other."""
        e1, e2 = self.pool.endpoints["e1"], self.pool.endpoints["e2"]
        self.pool.register(an_endpoint("e2"))
        self.accept(a_job("a", a_step(2, gang=True, most_per_endpoint=1)))
        first = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
        first.close()
        e2.silent = True
        self.pool.take_over()
        found_at = e1.polls
        self.assertTrue(eventually(lambda: e1.polls > found_at + ENOUGH_POLLS))
        e2.silent = False
        found_at = e2.polls
        self.assertTrue(eventually(lambda: e2.polls > found_at + ENOUGH_POLLS))
        self.assertEqual(([], []), (e1.stops, e2.stops))

    def numbers(self, name: str) -> set[int]:
        return {number for _, number in list(self.pool.endpoints[name].running)}
