"""Lines about what a process depends on."""

from unittest.mock import patch

from testtools import TestCase

from lentilrill.telemetry import Dependency, Event


class DependencyTest(TestCase):
    def test_one_line_for_the_loss_and_one_for_the_return(self) -> None:
        """In an outage of an hour the log of one host filled its disk quota.

        Its lease was tried several times a second, and each failed try was a line.
        """
        with patch("lentilrill.telemetry._dependency.log") as log:
            lease = Dependency("lease")
            lease.succeeded()
            for _ in range(3):
                lease.failed("no answer in time")
            lease.succeeded()
            lease.succeeded()
            lease.failed("refused")
        self.assertEqual(
            [Event.DEPENDENCY_LOST, Event.DEPENDENCY_BACK, Event.DEPENDENCY_LOST],
            [call.args[0] for call in log.call_args_list],
        )
