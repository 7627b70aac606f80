"""Which behaviour the steps of the matrix accept and reject."""

from functools import partial
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from testtools import TestCase
from testtools.matchers import Raises

from tests.matrix import _steps

HOST = "w03"


class FakeWorld:
    """A site whose stop is cancelled after some reads, and whose host never stops.

    :param reads: number of reads of the configuration that still contain the stop.
    """

    def __init__(self, reads: int) -> None:
        self.site = SimpleNamespace(wait_until=self.wait_until)
        self._remaining_reads = reads

    def wait_until(self, condition: Any, description: str, timeout_s: float) -> Any:
        for _ in range(10):
            if value := condition():
                return value
        raise TimeoutError(f"{description} in {timeout_s} s")

    def request_as_operator(self, method: str, path: str) -> tuple[int, dict[str, Any]]:
        self._remaining_reads -= 1
        stops = [{"hosts": [HOST]}] if self._remaining_reads >= 0 else []
        return 200, {"fresh": True, "document": {"stops": stops}}

    def phases(self) -> dict[str, tuple[str, str]]:
        return {HOST: ("schools", "serving")}


class FinishedStopTest(TestCase):
    def test_a_cancellation_may_be_carried_out_after_the_fault(self) -> None:
        """A cell must not fail if a paused controller cancels the stop after it was read."""
        _steps._finish_stop(FakeWorld(reads=2), HOST, cancelled=True)

    def test_a_stop_that_never_ends_fails(self) -> None:
        """A stop that makes no progress must not be mistaken for a cancelled one."""
        for reads, cancelled in ((99, True), (99, False), (2, False)):
            world = FakeWorld(reads)
            finish = partial(_steps._finish_stop, world, HOST, cancelled=cancelled)
            self.assertThat(finish, Raises())

    def test_a_host_that_does_not_come_back_fails(self) -> None:
        """The host must return to service after its stop was cancelled."""
        world = FakeWorld(reads=2)
        with patch.object(world, "phases", lambda: {HOST: ("schools", "stopped")}):
            finish = partial(_steps._finish_stop, world, HOST, cancelled=True)
            self.assertThat(finish, Raises())
