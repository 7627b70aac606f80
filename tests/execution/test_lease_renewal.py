"""Renewal of run leases while a pool passes from one owner to the next."""

import threading
from typing import Any
from unittest import mock

import msgspec
from returns.result import Result
from testtools import TestCase

from lentilrill.execution import PoolOwner, _links
from lentilrill.execution._run_leases import NEVER, RunLeases
from lentilrill.ids import EndpointId
from lentilrill.workloads import JobState, Step
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually, state_of
from tests.fakes import FakeKeyValue

LASTING = a_step(1, lasting=True, may_be_away=1)


class BlockingKeyValue(FakeKeyValue):
    """Delays the calls to records below ``prefix`` until ``release`` is set.

    :ivar delayed: set once a call is delayed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.prefix = ""
        self.delayed = threading.Event()
        self.release = threading.Event()

    def block(self, prefix: str) -> None:
        """Delay calls from now on."""
        self.delayed.clear()
        self.release.clear()
        self.prefix = prefix

    def read(self, prefix: str, *args: Any) -> Result:
        if self.prefix and prefix.startswith(self.prefix):
            self.wait()
        return super().read(prefix, *args)

    def commit(self, compares: Any, writes: Any, *args: Any) -> Result:
        if self.prefix and any(write.key.startswith(self.prefix) for write in writes):
            self.wait()
        return super().commit(compares, writes, *args)

    def wait(self) -> None:
        self.delayed.set()
        self.release.wait()


class LeaseRenewalTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.kv = self.pool.kv = BlockingKeyValue()
        self.addCleanup(self.pool.close)
        self.addCleanup(self.kv.release.set)
        self.pool.register(an_endpoint("e1"))
        self.endpoint = self.pool.endpoints["e1"]

    def run_job(self, step: Step) -> PoolOwner:
        """Return an owner that runs a job with one step on the endpoint."""
        self.job = a_job("a", step)
        self.kv.put(f"in/notices/j/{self.job.id}", msgspec.msgpack.encode(self.job))
        owner = self.pool.take_over()
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == step.count))
        return owner

    def renewed_by(self, owner: PoolOwner) -> bool:
        """Wait until an owner has renewed the lease twice more; return whether it did."""
        count = self.endpoint.renewals.count(int(owner.token))
        return eventually(lambda: self.endpoint.renewals.count(int(owner.token)) > count + 1)

    def test_leases_do_not_lapse_while_a_previous_owner_stores_its_progress(self) -> None:
        """Guards against long-running tasks that lapse since an owner stores its progress for
        seconds before it releases its pool."""
        owner = self.run_job(LASTING)
        self.kv.block("p/")
        with owner._lock:
            next(iter(owner._jobs.live_by_id.values())).mark_dirty()
        closing = threading.Thread(target=owner.close, kwargs={"flush": True}, daemon=True)
        closing.start()
        self.assertTrue(self.kv.delayed.wait(10))
        self.assertTrue(self.renewed_by(owner))
        self.kv.release.set()
        closing.join(10)
        self.assertFalse(closing.is_alive())

    def test_leases_do_not_lapse_while_a_new_owner_reads_the_records(self) -> None:
        """Guards against long-running tasks that lapse since a new owner reads the records of its
        pool for seconds before it renews any lease."""
        self.run_job(LASTING).close()
        self.kv.block("in/notices/")
        owner = self.pool.take_over()
        self.assertTrue(self.kv.delayed.wait(10))
        self.assertTrue(self.renewed_by(owner))
        self.kv.release.set()
        self.assertTrue(eventually(lambda: state_of(owner, self.job.id) is JobState.RUNNING))
        self.assertEqual(1, len(self.pool.starts()))

    def test_an_end_reported_while_a_new_owner_reads_the_records_counts(self) -> None:
        """Guards against a finished task that runs again since its end was reported before the
        new owner knew its job."""
        self.run_job(a_step(1)).close()
        self.kv.block("in/notices/")
        owner = self.pool.take_over()
        self.assertTrue(self.kv.delayed.wait(10))
        self.assertTrue(self.renewed_by(owner))
        polls = self.endpoint.polls
        self.pool.finish_all()
        self.assertTrue(eventually(lambda: self.endpoint.polls > polls + 1))
        self.kv.release.set()
        self.assertTrue(eventually(lambda: state_of(owner, self.job.id) is JobState.COMPLETED))
        self.assertEqual(1, len(self.pool.starts()))

    def test_a_lease_renewed_before_the_records_were_read_is_waited_for(self) -> None:
        """Guards against a task that runs twice since its new owner renewed its lease, lost its
        endpoint, and waited only for the previous owner's leases."""
        self.run_job(LASTING).close()
        self.kv.block("in/notices/")
        owner = self.pool.take_over()
        self.assertTrue(self.kv.delayed.wait(10))
        self.assertTrue(self.renewed_by(owner))
        self.endpoint.silent = True
        links = owner._links
        with mock.patch.object(_links, "PREVIOUS_CALLS_S", NEVER):
            self.assertTrue(links.is_blocked)
            links.by_id[EndpointId("e1")].leases = RunLeases()
            self.assertFalse(links.is_blocked)

    def test_a_poll_that_renews_nothing_does_not_wait(self) -> None:
        """Guards against leases that lapse since the first poll after a lost answer, which renews
        nothing, waits for an end as long as a usual one."""
        owner = self.run_job(LASTING)
        self.assertTrue(self.renewed_by(owner))
        self.endpoint.silent = True
        link = owner._links.by_id[EndpointId("e1")]
        self.assertTrue(eventually(lambda: not link.reachable))
        self.endpoint.answered_polls.clear()
        self.endpoint.silent = False
        self.assertTrue(self.renewed_by(owner))
        first_renewal = [renews for renews, _ in self.endpoint.answered_polls].index(True)
        waits_ms = [wait_ms for _, wait_ms in self.endpoint.answered_polls[:first_renewal]]
        self.assertEqual({0}, set(waits_ms))

    def test_an_owner_that_is_closed_while_it_loads_leaves_no_link_open(self) -> None:
        """Guards against threads that poll for good since an owner lost its pool just before it
        opened the links to the previous owner's endpoints."""
        self.run_job(LASTING).close()
        self.kv.block("e/")
        owner = self.pool.take_over()
        self.assertTrue(self.kv.delayed.wait(10))
        owner.close()
        self.kv.release.set()
        owner._planning_thread.join(10)
        self.assertEqual({}, owner._links.by_id)
