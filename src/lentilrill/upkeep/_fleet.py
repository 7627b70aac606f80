"""The owner of the fleet: waves of upkeep, and hosts that move to where work waits."""

import threading
from collections.abc import Callable
from functools import partial

from returns.result import Failure

from lentilrill.ids import HostId
from lentilrill.inner import ReleaseState, ReleaseTold
from lentilrill.ownership import Shard
from lentilrill.telemetry import Dependency, run_and_log_errors
from lentilrill.upkeep._contract import HostCalls, HostRow
from lentilrill.upkeep._emptying import Emptying
from lentilrill.upkeep._moves import Mover
from lentilrill.upkeep._waves import Waves

__all__ = ["FLEET", "FleetOwner"]

FLEET = Shard("@fleet")
"""The shard whose owner gives orders to hosts: one for all pools, since waves and moves span
them, and since each host takes orders from one holder at a time."""
ROUND_S = 0.3
"""Pause between two rounds, each of which is one call to the list of hosts: a host that is wanted
is found within it."""
SHORTEST_ROUND_S = 0.05
"""Pause before a round that is begun early, in which news that come together are gathered."""


class FleetOwner(threading.Thread):
    """Runs waves and moves while this process owns the fleet.

    :param may_order: whether the lease behind the ownership still holds.
    """

    def __init__(
        self,
        hosts: HostCalls,
        waves: Waves,
        mover: Mover,
        emptying: Emptying,
        may_order: Callable[[], bool],
    ) -> None:
        super().__init__(name="fleet", daemon=True)
        self._hosts = hosts
        self._waves = waves
        self._mover = mover
        self._emptying = emptying
        self._may_order = may_order
        self._ended = threading.Event()
        self._early = threading.Event()
        self._list = Dependency("list of hosts")

    def close(self) -> None:
        """Stop ordering at once."""
        self._ended.set()
        self._early.set()

    def told(self, message: ReleaseTold) -> None:
        """Take the answer of a pool's owner."""
        self._emptying.told(message)
        if message.state == ReleaseState.FREE:
            self.hurry()

    def hurry(self) -> None:
        """Begin the next round at once: a pool needs hosts, or a host that is wanted is free."""
        self._early.set()

    def run(self) -> None:
        """Run rounds until closed."""
        while not self._ended.is_set() and not self._waves.load():
            self._ended.wait(ROUND_S)
        while not self._ended.is_set():
            if self._may_order():
                run_and_log_errors("fleet", self._round)
            self._early.clear()
            if self._early.wait(ROUND_S):
                self._ended.wait(SHORTEST_ROUND_S)

    def _round(self) -> None:
        listed = self._hosts.hosts()
        if isinstance(listed, Failure):
            self._list.record_failure(listed.failure().reason)
            return
        self._list.record_success()
        rows: dict[HostId, HostRow] = {row.id: row for row in listed.unwrap()}
        for step in (partial(self._waves.round, rows), partial(self._move, rows)):
            if not self._ended.is_set() and self._may_order():
                step()

    def _move(self, rows: dict[HostId, HostRow]) -> None:
        self._mover.round(rows, self._waves.busy)
