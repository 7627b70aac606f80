"""What only the memory of a pool's owner held, and what its next owner makes of it."""

import msgspec
from returns.result import Result
from testtools import TestCase

from lentilrill.execution import PoolOwner
from lentilrill.faults import Fault
from lentilrill.store import Priority, RangeAnswer
from lentilrill.workloads import Job, JobState
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually, state_of
from tests.fakes import refuse


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
