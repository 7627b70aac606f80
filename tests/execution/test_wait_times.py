"""Wait times of a job by cause, as logged at its end."""

from testtools import TestCase

from bench.waits import ended_jobs, slowest
from lentilrill.execution._wait_times import WaitCause, WaitTimes


class WaitTimesTest(TestCase):
    def test_each_second_counts_for_one_cause(self) -> None:
        """The times of four causes add up to the nine seconds that a job took."""
        waits = WaitTimes(100.0)
        for cause, now in (
            (WaitCause.CAPACITY, 101.0),
            (WaitCause.WORK, 103.0),
            (WaitCause.WORK, 104.0),
            (WaitCause.CAPACITY, 105.0),
            (WaitCause.WORK, 106.0),
            (WaitCause.STORE, 108.5),
        ):
            waits.switch_to(cause, now)
        spent = waits.seconds_by_cause(109.0)
        self.assertEqual(
            {
                WaitCause.OWNER: 1.0,
                WaitCause.CAPACITY: 3.0,
                WaitCause.WORK: 4.5,
                WaitCause.STORE: 0.5,
            },
            spent,
        )

    def test_reading_changes_nothing(self) -> None:
        waits = WaitTimes(0.0)
        waits.seconds_by_cause(3.0)
        self.assertEqual({WaitCause.OWNER: 5.0}, waits.seconds_by_cause(5.0))


class ReportTest(TestCase):
    def test_the_slowest_jobs_of_a_queue(self) -> None:
        """The report on a log shows that the slowest jobs waited for capacity."""
        lines = [
            f'  3.1 front-1 {{"event":"job_ended","job":"{n}","queue":"q","took_s":{n},'
            f'"state":"completed","room_s":{n / 2},"work_s":{n / 2}}}'
            for n in range(1, 21)
        ]
        ended = ended_jobs(["no object", '{"event":"job_answered","job":"x"}', *lines, lines[0]])
        self.assertEqual(20, len(ended))
        self.assertEqual(9.75, slowest(ended)["room_s"])
        self.assertEqual(0.0, slowest(ended)["owner_s"])

    def test_a_malformed_line_is_skipped(self) -> None:
        self.assertEqual([], ended_jobs(['{"event":"job_ended","job":']))
