"""Endpoints that fall silent under a task: crashes after which nothing returns, and partitions."""

import time
from collections.abc import Callable
from unittest import mock

import msgspec
from returns.result import Failure, Result, Success
from testtools import TestCase

from lentilrill.execution import (
    HostListing,
    HostReader,
    OrderAnswer,
    PoolOwner,
    StartOrder,
)
from lentilrill.execution import _crashes as crashes
from lentilrill.execution import _host_reader as host_reader
from lentilrill.execution._crashes import (
    MAX_ASKED_S,
    MAX_CRASHES,
    MAX_HOLD_S,
    MAX_LOST_S,
    MAX_UNRESOLVED,
    RESTART_SHOWN_S,
)
from lentilrill.execution._host_reader import READ_INTERVAL_S
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._progress_records import encode_progress, progress_of, restore_progress
from lentilrill.execution._tracking import Run, TrackedJob
from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import EndpointId, HostId, JobId, Revision
from lentilrill.telemetry import Event
from lentilrill.upkeep import HostRow, HostState
from lentilrill.workloads import (
    Attempt,
    EndpointEntry,
    Job,
    JobProgress,
    JobState,
    progress_key,
)
from tests.builders import a_host_row, a_job, a_step, an_endpoint
from tests.execution.cases import Owner, TrackedJobCase
from tests.execution.fakes import FakeEndpoint, OwnedPool, eventually, state_of

ENDPOINTS = 6
DOWN = HostState.DOWN
UP = HostState.UP


def host_of(endpoint: str) -> HostId:
    return HostId(f"host-{endpoint}")


def listing_of(*rows: HostRow, asked_at: float | None = None) -> HostListing:
    by_id = {row.id: row for row in rows}
    return HostListing(by_id, time.monotonic() if asked_at is None else asked_at)


class FakeHosts:
    """Listing of hosts that is always up to date."""

    def __init__(self) -> None:
        self.row_by_id: dict[HostId, HostRow] = {}

    @property
    def latest(self) -> HostListing:
        return listing_of(*self.row_by_id.values())

    def request(self) -> None:
        pass


class SilencedEndpoint(FakeEndpoint):
    """Endpoint that falls silent when it starts a task, after its answer."""

    def __init__(self, on_silence: Callable[[], None]) -> None:
        super().__init__()
        self._on_silence = on_silence

    def start(self, order: StartOrder) -> OrderAnswer:
        answer = super().start(order)
        if not self.silent:
            self.silent = True
            self._on_silence()
        return answer


class LostForGoodTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = OwnedPool()
        self.hosts = self.pool.hosts = FakeHosts()
        self.addCleanup(self.pool.close)

    def add_endpoints(self, state: HostState) -> None:
        """Add endpoints whose hosts are in a state once they have fallen silent."""
        for number in range(ENDPOINTS):
            name = f"e{number}"
            entry = an_endpoint(name, host=host_of(name), started_ms=1)
            self.show(entry, UP)
            hide = lambda entry=entry: self.show(entry, state)  # noqa: E731
            self.pool.endpoints[name] = SilencedEndpoint(hide)
            self.pool.register(entry)

    def show(self, entry: EndpointEntry, state: HostState) -> None:
        endpoint = entry.id if state is UP else EndpointId("")
        self.hosts.row_by_id[entry.host] = a_host_row(entry.host, state=state, endpoint=endpoint)

    def submit(self, owner: PoolOwner) -> Job:
        job = a_job("a", a_step(1))
        self.pool.submit(owner, job)
        return job

    def wait_for(self, owner: PoolOwner, job: JobId, starts: int) -> None:
        """Wait until the job has failed or its task has been started so often."""
        eventually(
            lambda: state_of(owner, job) is JobState.FAILED or len(self.pool.starts()) >= starts
        )

    def test_a_task_takes_down_three_endpoints_that_never_return(self) -> None:
        """A task whose endpoints never came back took one down each 3.8 s, without end."""
        self.add_endpoints(DOWN)
        owner = self.pool.take_over()
        job = self.submit(owner)
        self.wait_for(owner, job.id, MAX_CRASHES + 1)
        self.assertEqual(
            (JobState.FAILED, MAX_CRASHES), (state_of(owner, job.id), len(self.pool.starts()))
        )

    def test_a_crash_is_counted_though_the_owner_is_lost_with_the_first_endpoint(self) -> None:
        """A task took down a fourth endpoint, as its first owner was lost before it had counted."""
        self.add_endpoints(DOWN)
        first = self.pool.take_over()
        job = self.submit(first)
        key = progress_key("notices", job.id)
        items_by_key = self.pool.kv.items_by_key
        self.assertTrue(
            eventually(lambda: key in items_by_key and b"host-" in (items_by_key[key].value or b""))
        )
        [task] = first._jobs.by_id[job.id].tasks()
        self.assertEqual(1, task.start_count)
        first.close(flush=False)
        second = self.pool.take_over()
        self.wait_for(second, job.id, MAX_CRASHES + 1)
        self.assertEqual(
            (JobState.FAILED, MAX_CRASHES), (state_of(second, job.id), len(self.pool.starts()))
        )

    def test_partitions_alone_give_no_task_up(self) -> None:
        """A task whose endpoints were cut off one after the other was given up."""
        self.add_endpoints(UP)
        owner = self.pool.take_over()
        job = self.submit(owner)
        self.wait_for(owner, job.id, MAX_CRASHES + 1)
        self.assertEqual(JobState.RUNNING, state_of(owner, job.id))
        self.assertEqual(MAX_CRASHES + 1, len(self.pool.starts()))


class EvidenceTest(TrackedJobCase):
    def setUp(self) -> None:
        super().setUp()
        self.entries: dict[EndpointId, EndpointEntry] = {}
        self.task = self.add(a_step(1)).tasks()[0]
        logged = mock.patch.object(crashes, "log")
        self.log = logged.start()
        self.addCleanup(logged.stop)

    def lose(self, endpoint: str = "e1", *, sends: int = 1, **changes: object) -> EndpointLink:
        """Start the task on an endpoint and lose that out of sight."""
        values = {"host": host_of(endpoint), "started_ms": 1} | changes
        entry = an_endpoint(endpoint, **values)
        self.entries[entry.id] = entry
        link = EndpointLink(Owner(), entry, FakeEndpoint())
        link.started_ms = 1
        link.answered_at = time.monotonic()
        run = Run(self.task, 1, entry.id, self.task.step.spec.reserved)
        run.send_count = sends
        run.sent_at = link.answered_at
        self.crashes.on_run_lost(link, run)
        return link

    def lose_several(self, count: int = MAX_CRASHES) -> list[HostRow]:
        """Lose endpoints under the task; return rows of their hosts as if they were cut off."""
        names = [f"e{number}" for number in range(count)]
        for name in names:
            self.lose(name)
        return [a_host_row(host_of(name), endpoint=EndpointId(name)) for name in names]

    def show(self, *rows: HostRow, asked_at: float | None = None) -> None:
        self.crashes.on_hosts_listed(listing_of(*rows, asked_at=asked_at), self.entries)

    @property
    def is_held(self) -> bool:
        return self.task.held_until > time.monotonic()

    def test_a_host_that_is_down_proves_a_crash(self) -> None:
        """A crash after which nothing returned was never counted."""
        self.lose()
        self.show(a_host_row(host_of("e1"), state=DOWN))
        self.assertEqual({"e1@1"}, self.task.crashed_processes)

    def test_a_host_that_is_gone_with_its_entry_proves_a_crash(self) -> None:
        """A crash whose host was removed for good was never counted."""
        self.lose()
        self.entries.clear()
        self.show()
        self.show()
        self.assertEqual({"e1@1"}, self.task.crashed_processes)

    def test_a_host_missing_from_listings_with_its_entry_there_proves_nothing(self) -> None:
        """An endpoint that was registered counted as crashed, as its host wasn't listed."""
        self.lose()
        self.show()
        self.show()
        self.assertEqual(set(), self.task.crashed_processes)

    def test_a_host_missing_from_one_listing_proves_nothing(self) -> None:
        """An endpoint that was cut off counted as crashed, as one listing lacked its host."""
        self.lose()
        self.entries.clear()
        missing = listing_of()
        for _ in range(2):
            self.crashes.on_hosts_listed(missing, self.entries)
        self.show(a_host_row(host_of("e1")))
        self.show()
        self.assertEqual(set(), self.task.crashed_processes)

    def test_an_endpoint_that_is_cut_off_has_not_crashed(self) -> None:
        """A task whose endpoints were cut off counted as one that crashes them."""
        self.lose()
        self.show(a_host_row(host_of("e1"), endpoint=EndpointId("e1")))
        self.assertEqual(set(), self.task.crashed_processes)

    def test_a_restart_at_the_time_of_the_listing_is_a_crash(self) -> None:
        """A crash wasn't counted when the endpoint was back just as the hosts were listed."""
        link = self.lose()
        self.show(a_host_row(host_of("e1"), endpoint=EndpointId("e1")))
        self.crashes.on_process_ended(link)
        self.assertEqual({"e1@1"}, self.task.crashed_processes)

    def test_a_host_that_is_moved_has_not_crashed(self) -> None:
        """The task on a host that was moved counted as one that crashes its endpoints."""
        self.lose()
        self.show(a_host_row(host_of("e1"), state=HostState.MOVING))
        self.assertEqual((set(), {}), (self.task.crashed_processes, self.task.attempts))

    def test_a_listing_from_before_the_loss_proves_nothing(self) -> None:
        """A host that was down before it served again counted as crashed under the task."""
        before = time.monotonic()
        self.lose()
        self.show(a_host_row(host_of("e1"), state=DOWN), asked_at=before - 0.1)
        self.assertEqual(set(), self.task.crashed_processes)

    def test_an_endpoint_that_was_leaving_is_not_watched(self) -> None:
        """The end of an endpoint that was shut down as announced counted against its task."""
        self.lose(draining=True)
        self.show(a_host_row(host_of("e1"), state=DOWN))
        self.assertEqual(set(), self.task.crashed_processes)

    def test_a_start_that_was_never_sent_is_not_watched(self) -> None:
        """An endpoint that crashed before it got a start counted against the task."""
        self.lose(sends=0)
        self.show(a_host_row(host_of("e1"), state=DOWN))
        self.assertEqual(set(), self.task.crashed_processes)

    def test_a_stored_start_that_was_never_sent_is_not_watched(self) -> None:
        """An endpoint that was lost before a suspect's start was sent counted against it."""
        self.task.attempts[EndpointId("e1")] = Attempt(host_of("e1"), 1)
        self.lose(sends=0)
        self.assertEqual(set(), self.task.open_crashes)

    def test_a_crash_behind_a_partition_is_not_counted(self) -> None:
        """An endpoint that crashed long after it was cut off counted against its last task."""
        self.lose()
        self.show(a_host_row(host_of("e1"), endpoint=EndpointId("e1")))
        self.show(a_host_row(host_of("e1"), state=DOWN))
        self.assertEqual(set(), self.task.crashed_processes)

    def test_an_endpoint_whose_host_is_unknown_is_not_judged_by_listings(self) -> None:
        """A task of a previous owner was blamed, as no host of an empty name is listed."""
        self.lose(host=HostId(""))
        self.entries.clear()
        self.show()
        self.show()
        self.assertEqual(set(), self.task.crashed_processes)

    def test_another_endpoint_on_the_host_leaves_the_crash_open(self) -> None:
        """A crash whose host was up again counted as a partition, and was forgotten."""
        self.lose()
        self.show(a_host_row(host_of("e1"), endpoint=EndpointId("e9")))
        self.assertEqual({"e1"}, self.task.open_crashes)

    def test_a_partition_is_forgotten_once_no_restart_has_shown(self) -> None:
        """A task cut off from its endpoint once had each later start stored first for a minute."""
        self.lose()
        self.show(a_host_row(host_of("e1"), endpoint=EndpointId("e1")))
        self.crashes.on_registered({}, time.monotonic() + RESTART_SHOWN_S + 0.1)
        self.assertEqual({}, self.task.attempts)

    def test_an_endpoint_without_any_sign_is_forgotten_after_a_while(self) -> None:
        """A task was suspected for good as its endpoint's host was never listed."""
        self.lose()
        self.crashes.on_registered({}, time.monotonic() + MAX_LOST_S - 1.0)
        self.assertTrue(self.task.is_suspect)
        self.crashes.on_registered({}, time.monotonic() + MAX_LOST_S + 0.1)
        self.assertFalse(self.task.is_suspect)

    def test_the_number_of_open_starts_that_are_kept_is_limited(self) -> None:
        """The record of a task grew with each endpoint that was cut off under it."""
        self.lose_several(MAX_UNRESOLVED + 2)
        self.assertEqual(MAX_UNRESOLVED, len(self.task.attempts))

    def test_a_start_whose_endpoint_falls_silent_is_noted_and_suspects_nobody(self) -> None:
        """A task was kept apart from others each time its endpoint left one call unanswered."""
        link = self.lose(sends=0)
        run = Run(self.task, 1, link.entry.id, self.task.step.spec.reserved)
        run.send_count, run.sent_at = 1, link.answered_at
        link.runs_by_key[run.key] = run
        self.crashes.on_silent(link)
        self.assertEqual({"e1": Attempt(host_of("e1"), 1)}, self.task.attempts)
        self.assertFalse(self.task.is_suspect)

    def test_a_start_on_an_endpoint_that_was_leaving_is_forgotten_in_the_record(self) -> None:
        """A later owner watched an endpoint that had been shut down as announced."""
        self.task.attempts[EndpointId("e1")] = Attempt(host_of("e1"), 1)
        self.task.step.tracked_job.dirty = False
        self.lose(draining=True)
        self.assertEqual(({}, True), (self.task.attempts, self.task.step.tracked_job.dirty))

    def test_a_loss_and_its_proof_are_stored_at_once(self) -> None:
        """A crash went uncounted when the owner was lost before another task had ended."""
        changes: list[str] = []
        self.crashes = crashes.CrashBook(lambda: changes.append("changed"))
        self.lose()
        self.assertEqual(1, len(changes))
        self.show(a_host_row(host_of("e1"), state=DOWN))
        self.assertEqual(2, len(changes))

    def test_a_task_that_works_is_beyond_an_open_suspicion(self) -> None:
        """A task that worked on another endpoint was kept apart from others for a minute."""
        self.lose()
        self.task.clear_suspicion()
        self.assertFalse(self.task.is_suspect)

    def test_a_task_that_has_worked_since_is_not_counted(self) -> None:
        """A crash that was proven late counted against a task that had worked meanwhile."""
        self.lose()
        self.task.clear_suspicion()
        self.show(a_host_row(host_of("e1"), state=DOWN))
        self.assertEqual(set(), self.task.crashed_processes)

    def test_a_task_is_held_while_its_third_crash_is_open(self) -> None:
        """A fourth endpoint was taken down before the crash of the third was known."""
        self.lose_several()
        self.assertTrue(self.is_held)
        self.assertEqual([], self.starts())

    def test_an_open_crash_is_closed_once_it_is_known(self) -> None:
        """A task was suspected for good of a crash that had long been resolved."""
        link = self.lose()
        self.assertTrue(self.task.is_suspect)
        self.crashes.on_answer(link)
        self.assertFalse(self.task.is_suspect)

    def test_two_open_crashes_hold_nothing(self) -> None:
        """Tasks on endpoints that were cut off waited although nothing spoke against them."""
        self.lose_several(MAX_CRASHES - 1)
        self.assertEqual(1, len(self.starts()))

    def test_a_held_task_starts_once_its_endpoints_are_known_to_be_cut_off(self) -> None:
        """A task that did nothing wrong waited although the hosts were listed as up."""
        rows = self.lose_several()
        self.show(rows[0])
        self.assertEqual(1, len(self.starts()))

    def test_a_held_task_starts_after_the_bound_that_is_logged(self) -> None:
        """A task waited without end while the hosts couldn't be listed."""
        self.lose_several()
        [(call, fields)] = self.log.call_args_list
        self.assertEqual((Event.TASK_HELD, MAX_HOLD_S), (call[0], fields["within_s"]))
        later = time.monotonic() + fields["within_s"]
        with mock.patch.object(time, "monotonic", return_value=later):
            self.link.answered_at = later
            self.assertEqual(1, len(self.starts()))

    def test_a_later_owner_holds_the_task_as_well(self) -> None:
        """With a new owner, a task whose third crash was open was started again at once."""
        self.lose_several()
        tracked_job = self.task.step.tracked_job
        stored = msgspec.json.decode(encode_progress(progress_of(tracked_job)), type=JobProgress)
        restored = TrackedJob(tracked_job.job, Revision(1), 0.0)
        restore_progress(restored, stored, 0)
        crashes.CrashBook().restore(restored.tasks())
        [task] = restored.tasks()
        self.assertGreater(task.held_until, time.monotonic())

    def test_a_start_after_an_open_crash_is_stored_first(self) -> None:
        """A crash went uncounted when the owner was lost with the second endpoint."""
        self.assertFalse(self.task.is_stored_first)
        self.lose()
        self.assertTrue(self.task.is_stored_first)

    def test_tasks_beside_an_open_crash_are_kept_apart(self) -> None:
        """A task beside one that crashed two endpoints was given up after a third of its own."""
        self.lose()
        other = self.add(a_step(1), name="b").tasks()[0]
        other.open_crashes.add(EndpointId("e1"))
        self.assertEqual(1, len(self.starts()))

    def test_listings_are_requested_for_a_limited_time(self) -> None:
        """The hosts were listed each second for as long as an endpoint was out of reach."""
        self.lose()
        now = time.monotonic()
        self.assertTrue(self.crashes.needs_listing(now))
        self.assertFalse(self.crashes.needs_listing(now + MAX_ASKED_S))

    def test_no_listing_is_requested_for_an_endpoint_known_to_be_cut_off(self) -> None:
        """The hosts were listed again and again although it was known what had happened."""
        self.lose()
        self.show(a_host_row(host_of("e1"), endpoint=EndpointId("e1")))
        self.assertFalse(self.crashes.needs_listing(time.monotonic()))


class CountingHosts:
    """List of hosts that counts its reads."""

    def __init__(self) -> None:
        self.reads = 0
        self.answer: Result[tuple[HostRow, ...], Fault] = Success((a_host_row(HostId("m1")),))

    def hosts(self) -> Result[tuple[HostRow, ...], Fault]:
        self.reads += 1
        return self.answer


class HostReaderTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hosts = CountingHosts()
        self.reader = HostReader(self.hosts)  # type: ignore[arg-type]
        self.addCleanup(self.reader.close)

    def test_hosts_are_listed_on_request_only(self) -> None:
        """Each process listed the hosts all day, which the platform limits."""
        self.patch(host_reader, "READ_INTERVAL_S", 0.01)
        self.reader.start()
        self.assertEqual((0, None), (self.hosts.reads, self.reader.latest))
        self.reader.request()
        self.assertTrue(eventually(lambda: self.reader.latest is not None))
        self.assertFalse(self.reader._requested.is_set())
        self.assertEqual(1, self.hosts.reads)

    def test_requests_in_quick_succession_share_a_read(self) -> None:
        """Each planning round of an owner listed the hosts again."""
        self.reader.start()
        for _ in range(20):
            self.reader.request()
        self.assertTrue(eventually(lambda: self.hosts.reads > 0))
        self.assertLessEqual(self.hosts.reads, 2)

    def test_a_read_is_followed_by_a_pause(self) -> None:
        """A process listed the hosts without a pause as long as an endpoint was lost."""
        pause = self.reader._closed.wait = mock.Mock()  # type: ignore[method-assign]
        self.reader.start()
        self.reader.request()
        self.assertTrue(eventually(lambda: pause.called))
        pause.assert_called_with(READ_INTERVAL_S)

    def test_reading_continues_after_a_failure(self) -> None:
        """After one failed read the hosts were never listed again."""
        self.patch(host_reader, "READ_INTERVAL_S", 0.01)
        self.hosts.answer = Failure(Fault("hosts", "peer", FaultKind.UNAVAILABLE, "down"))
        self.reader.start()
        self.reader.request()
        self.assertTrue(eventually(lambda: self.hosts.reads == 1))
        self.hosts.answer = Success(())
        self.reader.request()
        self.assertTrue(eventually(lambda: self.reader.latest is not None))
