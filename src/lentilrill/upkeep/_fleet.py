"""The owner of the fleet, which runs waves of upkeep and moves hosts to pools that need them."""

import threading
from collections.abc import Callable
from functools import partial

from returns.result import Failure

from lentilrill.ids import HostId
from lentilrill.inner import ReleaseState, ReleaseTold
from lentilrill.ownership import Shard
from lentilrill.telemetry import Dependency, run_and_log_errors
from lentilrill.upkeep._contract import HostCalls, HostRow
from lentilrill.upkeep._draining import EndpointDrainer
from lentilrill.upkeep._moves import Mover
from lentilrill.upkeep._waves import Waves

__all__ = ["FLEET", "FleetOwner"]

FLEET = Shard("@fleet")
"""The shard whose owner sends orders to hosts. There is one for all pools, because waves and moves
span pools and a host accepts orders from only one holder at a time."""
ROUND_INTERVAL_S = 0.3
"""Maximum pause between two rounds. Each round is one call to the list of hosts, and a needed host
that becomes available is noticed within this time."""
MIN_PAUSE_S = 0.05
"""Pause before a round that is started early, so that one round covers notifications that arrive
together."""


class FleetOwner(threading.Thread):
    """Runs waves and moves while this process owns the fleet.

    :param may_order: returns whether the ownership lease is still valid.
    """

    def __init__(
        self,
        hosts: HostCalls,
        waves: Waves,
        mover: Mover,
        drainer: EndpointDrainer,
        may_order: Callable[[], bool],
    ) -> None:
        super().__init__(name="fleet", daemon=True)
        self._hosts = hosts
        self._waves = waves
        self._mover = mover
        self._drainer = drainer
        self._may_order = may_order
        self._closed = threading.Event()
        self._woken = threading.Event()
        self._host_list = Dependency("list of hosts")

    def close(self) -> None:
        """Stop sending orders at once."""
        self._closed.set()
        self._woken.set()

    def on_release_told(self, message: ReleaseTold) -> None:
        """Handle the answer of a pool's owner."""
        self._drainer.on_release_told(message)
        if message.state == ReleaseState.FREE:
            self.wake()

    def wake(self) -> None:
        """Start the next round early: a pool needs hosts, or a requested endpoint is free."""
        self._woken.set()

    def run(self) -> None:
        """Run rounds until closed."""
        while not self._closed.is_set() and not self._waves.load():
            self._closed.wait(ROUND_INTERVAL_S)
        while not self._closed.is_set():
            if self._may_order():
                run_and_log_errors("fleet", self._round)
            self._woken.clear()
            if self._woken.wait(ROUND_INTERVAL_S):
                self._closed.wait(MIN_PAUSE_S)

    def _round(self) -> None:
        listed = self._hosts.hosts()
        if isinstance(listed, Failure):
            self._host_list.record_failure(listed.failure().reason)
            return
        self._host_list.record_success()
        rows: dict[HostId, HostRow] = {row.id: row for row in listed.unwrap()}
        for step in (partial(self._waves.run_round, rows), partial(self._move_hosts, rows)):
            if not self._closed.is_set() and self._may_order():
                step()

    def _move_hosts(self, rows: dict[HostId, HostRow]) -> None:
        self._mover.run_round(rows, self._waves.busy_hosts, self._waves.short_pools)
