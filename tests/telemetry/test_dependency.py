"""Log lines about the dependencies of a process."""

from unittest.mock import patch

from testtools import TestCase

from lentilrill.telemetry import Dependency, Event


class DependencyTest(TestCase):
    def test_one_line_for_the_loss_and_one_for_the_return(self) -> None:
        """Guards against one log line per failed call.

        In an outage of an hour, a lease renewed several times per second filled a disk quota.
        """
        with patch("lentilrill.telemetry._dependency.log") as log:
            lease = Dependency("lease")
            lease.record_success()
            for _ in range(3):
                lease.record_failure("no answer in time")
            lease.record_success()
            lease.record_success()
            lease.record_failure("refused")
        self.assertEqual(
            [Event.DEPENDENCY_LOST, Event.DEPENDENCY_BACK, Event.DEPENDENCY_LOST],
            [call.args[0] for call in log.call_args_list],
        )
