"""An unexpected error delays an owner's work and doesn't end it."""

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec.structs import replace
from testtools import TestCase

from lentilrill.execution import PoolOwner
from lentilrill.ids import WorkspaceId
from lentilrill.store import Compare
from lentilrill.workloads import Resources, Workspace, Workspaces
from tests.builders import a_configuration, a_job, a_step, an_endpoint
from tests.execution.fakes import OwnedPool, eventually
from tests.fakes import lose_request

SCHOOLS = WorkspaceId("schools")


def fail(call: Callable[[], Any]) -> Any:
    """Raise an error that no caller expects, instead of making a call."""
    del call
    raise RuntimeError("unexpected")


class UnexpectedErrorTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.pool.register(an_endpoint("e1"))

    def set_cap(self, cpu: int) -> None:
        by_id = {SCHOOLS: Workspace(SCHOOLS, cap=Resources(cpu))}
        workspaces = Workspaces(by_id, {})
        self.pool.configuration = replace(a_configuration(), workspaces=workspaces)
        revision = self.pool.kv.put("configuration", b"")
        self.pool.configuration_key = Compare("configuration", revision)

    def submit(self, owner: PoolOwner, name: str = "a", workspace: WorkspaceId = SCHOOLS) -> None:
        job = a_job(name, a_step(1), workspace=workspace)
        value = msgspec.msgpack.encode(job)
        owner.add_job(value, self.pool.kv.put(f"in/notices/j/{job.id}", value))

    def fail_once(self, name: str, matches: Callable[..., bool]) -> list[bool]:
        """Let the next call of the store that matches raise an unexpected error.

        :return: a list that is empty until that call.
        """
        call = getattr(self.pool.kv, name)
        failed: list[bool] = []

        def failing_once(*args: Any) -> Any:
            if not failed and matches(*args):
                failed.append(True)
                fail(lambda: None)
            return call(*args)

        setattr(self.pool.kv, name, failing_once)
        return failed

    def test_records_are_loaded_after_an_error(self) -> None:
        """An error while an owner loaded ended its thread, and nothing of the pool ran any more."""
        self.pool.kv.reads.append(fail)
        owner = self.pool.take_over()
        self.submit(owner, workspace=WorkspaceId(""))
        self.assertTrue(eventually(lambda: bool(self.pool.starts())))

    def test_an_allowance_is_written_after_an_error(self) -> None:
        """An error in the write of an allowance held back the workspace's tasks for ever."""
        self.set_cap(4000)
        self.fail_once("commit", lambda compares, writes: writes[0].key.startswith("a/"))
        self.submit(self.pool.take_over())
        self.assertTrue(eventually(lambda: bool(self.pool.starts())))

    def test_an_allowance_is_read_after_an_error(self) -> None:
        """An error in the read after a lost answer held back the workspace's tasks for ever."""
        self.set_cap(4000)
        self.fail_once("get", lambda key: key.startswith("a/"))
        commit = self.pool.kv.commit
        lost = []

        def lose_first_write(compares: Any, writes: Any, *args: Any) -> Any:
            if writes[0].key.startswith("a/") and not lost:
                lost.append(True)
                return lose_request(lambda: commit(compares, writes, *args))
            return commit(compares, writes, *args)

        self.pool.kv.commit = lose_first_write  # type: ignore[method-assign]
        self.submit(self.pool.take_over())
        self.assertTrue(eventually(lambda: bool(self.pool.starts())))

    def test_allowances_are_read_again_after_an_error(self) -> None:
        """An error in the read under a lowered cap held back the workspace's tasks for ever."""
        self.set_cap(4000)
        owner = self.pool.take_over()
        self.submit(owner)
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 1))
        failed = self.fail_once("read", lambda prefix, *args: prefix == "a/")
        self.set_cap(3000)
        self.assertTrue(eventually(lambda: bool(failed)))
        self.submit(owner, "b")
        self.assertTrue(eventually(lambda: len(self.pool.starts()) == 2))
