"""The stand-in's tasks that work only together."""

from testtools import TestCase

from standins._gangs import GANG_TIMEOUT_S, Gangs
from standins._platform_records import RunRecord


class GangTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.gangs = Gangs()
        self.first, self.second = RunRecord("e", "j.0.0.0", 1, 1.0), RunRecord(
            "f", "j.0.0.1", 1, 2.0
        )

    def end_of_first(self, now: float) -> str:
        return self.gangs.end_of(self.first, 2, 1.5, now)

    def test_members_end_together_once_all_are_present(self) -> None:
        for run in (self.first, self.second):
            self.gangs.add(run)
        self.assertEqual(("", "done"), (self.end_of_first(3.4), self.end_of_first(3.5)))

    def test_a_member_alone_gives_up(self) -> None:
        self.gangs.add(self.first)
        self.gangs.add(RunRecord("f", "j.0.0.1", 2, 2.0))
        self.assertEqual("", self.end_of_first(GANG_TIMEOUT_S))
        self.assertEqual("alone", self.end_of_first(1.0 + GANG_TIMEOUT_S))

    def test_the_end_of_one_member_ends_the_others(self) -> None:
        for run in (self.first, self.second):
            self.gangs.add(run)
        self.second.end_kind = "stopped"
        self.assertEqual("broken", self.end_of_first(2.1))
        self.second.end_kind = "done"
        self.assertEqual("done", self.end_of_first(2.1))
