"""Endpoints that start again under their ids, and are cut off before their owner hears of it."""

import time

from standins._order_faults import OrderFault
from tests.execution.fakes import eventually
from tests.platform.restarts import LEASE_S, POOL, RestartCase

YOUNG_CLOCK_MS = 4_000
HELD_S = 12.0
"""Time for which a start is held at most; shorter than the longest delay of a call."""


class RestartsOutOfSightTest(RestartCase):
    def test_a_start_without_an_answer_that_an_unknown_process_took_runs_alone(self) -> None:
        """Guards against two runs of one task: a start without an answer began in a new process,
        of which no entry had arrived, with an expiry of the former one's clock."""
        self.run_first_job()
        self.restart_unheard()
        self.platform.order_faults.begin_one("/run-start", OrderFault.ANSWER_LOST)
        self.start_second_job()
        self.platform.cut_endpoint(self.host, 2 * LEASE_S)
        self.platform.order_faults.end()
        self.platform.add_host(POOL)
        time.sleep(LEASE_S)
        self.assertEqual([], self.platform.doubled_tasks())

    def test_a_late_start_that_an_unknown_process_took_runs_alone(self) -> None:
        """Guards against two runs of one task: a start for the former process was carried out
        late by a new one, of which no entry had arrived."""
        self.run_first_job()
        self.hold_second_start()
        self.restart_unheard()
        self.platform.carry_out_held(self.host)
        self.cut_off()
        time.sleep(LEASE_S)
        self.assertEqual([], self.platform.doubled_tasks())

    def test_a_start_that_is_carried_out_behind_a_cut_runs_alone(self) -> None:
        """Guards against two runs of one task: a start without an answer was carried out by a new
        process after the lease that the owner had given had expired."""
        self.run_first_job()
        self.hold_second_start()
        held_at = time.monotonic()
        self.restart_unheard()
        self.cut_off()
        eventually(lambda: self.runs_of("b") > 0, held_at + HELD_S - time.monotonic())
        self.platform.carry_out_held(self.host)
        time.sleep(LEASE_S)
        self.assertEqual([], self.platform.doubled_tasks())


class YoungClocksTest(RestartCase):
    clocks_ms = (YOUNG_CLOCK_MS, 0)

    def test_a_start_that_a_process_with_a_similar_clock_took_runs_alone(self) -> None:
        """Guards against two runs of one task: the answer of a new process was taken for one of
        the former process, since both had started lately and their clocks were close."""
        self.run_first_job()
        self.restart_unheard()
        self.start_second_job()
        self.cut_off()
        time.sleep(LEASE_S)
        self.assertEqual([], self.platform.doubled_tasks())
