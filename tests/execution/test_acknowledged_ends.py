"""Acknowledgement of ends while commits fail and owners change."""

from collections.abc import Callable

import msgspec
from testtools import TestCase

from lentilrill.execution import EndKind, PollResult
from lentilrill.ids import JobId
from lentilrill.workloads import JobProgress, JobState, StepProgress, TaskId
from tests.builders import a_job, a_step, an_endpoint
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually, state_of

TASKS = 3


class CheckedEndpoint(FakeEndpoint):
    """Endpoint that notes ends which are acknowledged before they are stored.

    :param is_stored: whether the store records a task as done.
    """

    def __init__(self, is_stored: Callable[[TaskId], bool]) -> None:
        super().__init__()
        self.early: list[TaskId] = []
        self._is_stored = is_stored

    def poll(
        self, token: int, acknowledged: int, expires_ms: int | None, wait_ms: int
    ) -> PollResult:
        if token >= self.token:
            self.early += [
                end.task
                for end in list(self.ended)
                if end.cursor <= acknowledged
                and end.kind is EndKind.DONE
                and not self._is_stored(end.task)
            ]
        return super().poll(token, acknowledged, expires_ms, wait_ms)


class AcknowledgedEndsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool("e1")
        self.addCleanup(self.pool.close)
        self.endpoint = CheckedEndpoint(self.is_stored)
        self.pool.endpoints["e1"] = self.endpoint
        self.pool.register(an_endpoint("e1"))
        self.owner = self.pool.take_over()
        self.job = a_job()

    def is_stored(self, task: TaskId) -> bool:
        item = self.pool.kv.items_by_key.get(f"p/notices/{task.job}")
        if item is None or item.value is None:
            return False
        progress = msgspec.json.decode(item.value, type=JobProgress)
        step = progress.steps_by_key.get(f"{task.occurrence}.{task.step}", StepProgress())
        return progress.state.is_final or bool(int(step.done, 16) >> task.number & 1)

    def test_no_end_is_acknowledged_before_it_is_stored(self) -> None:
        """Guards against a task that is run again, since its end is neither stored nor listed."""
        faults = [
            self.lose_answer,
            self.lose_request,
            self.change_record,
            self.interrupt_store,
            self.replace_owner,
            self.replace_suspended_owner,
        ]
        for name, fault in zip("abcdef", faults, strict=True):
            self.job = a_job(name, a_step(TASKS))
            self.add()
            self.assertTrue(eventually(lambda: len(self.endpoint.running) == TASKS), fault)
            first, *others = list(self.endpoint.running)
            self.endpoint.end(*first)
            fault()
            for run in others:
                self.endpoint.end(*run)
            self.assertTrue(eventually(self.is_completed), fault)
            self.assertEqual([], self.endpoint.early, fault)
            self.assertEqual(TASKS, self.count_starts(self.job.id), fault)

    def add(self) -> None:
        value = msgspec.msgpack.encode(self.job)
        self.owner.add_job(value, self.pool.kv.put(f"in/notices/j/{self.job.id}", value))

    def is_completed(self) -> bool:
        return state_of(self.owner, self.job.id) is JobState.COMPLETED

    def count_starts(self, job: JobId) -> int:
        return sum(task.job == job for task, _ in self.endpoint.starts)

    # Faults

    def lose_answer(self) -> None:
        self.pool.kv.lose_answers = 1

    def lose_request(self) -> None:
        self.pool.kv.lose_requests = 1

    def change_record(self) -> None:
        """Write the job's record again, as a late copy of a commit would."""
        key = f"p/notices/{self.job.id}"

        def write() -> None:
            self.pool.kv.put(key, self.pool.kv.items_by_key[key].value or b"")

        self.pool.kv.before_commit = write

    def interrupt_store(self) -> None:
        self.pool.kv.down = True
        polls = self.endpoint.polls
        self.assertTrue(eventually(lambda: self.endpoint.polls > polls + 3))
        self.pool.kv.down = False

    def replace_owner(self) -> None:
        self.owner.close()
        self.owner = self.pool.take_over()

    def replace_suspended_owner(self) -> None:
        """Start another owner beside one that doesn't know yet that it has lost the pool."""
        self.owner = self.pool.take_over()
