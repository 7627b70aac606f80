"""The routing component of a gateway process."""

import threading
import time
from collections.abc import Callable

from lentilrill.fleet import FleetView
from lentilrill.inner import Node
from lentilrill.membership import MembershipList
from lentilrill.routing._client import SlotClient
from lentilrill.routing._ledger import SendLedger
from lentilrill.routing._placement import Placement
from lentilrill.routing._schedulers import LocalSchedulers
from lentilrill.routing._withdrawals import WithdrawalAcknowledger
from lentilrill.telemetry import Metrics, run_and_log_errors

__all__ = ["Routing"]

TICK_S = 0.05
IDLE_TICK_S = 0.5
MEMBERSHIP_INTERVAL_S = 1.0


def _always() -> bool:
    return True


class Routing:
    """Slots for this gateway's jobs, and the pool schedulers that it runs for its zone.

    :param may_acknowledge: see :class:`WithdrawalAcknowledger`.
    :ivar slots: the interface to the request path.
    :ivar ledger: jobs in flight, by host.
    """

    def __init__(
        self,
        node: Node,
        view: FleetView,
        membership: MembershipList,
        clock: Callable[[], float] = time.monotonic,
        metrics: Metrics | None = None,
        may_acknowledge: Callable[[], bool] = _always,
    ) -> None:
        self.ledger = SendLedger(view, membership.me, clock)
        self.placement = Placement(membership)
        self.schedulers = LocalSchedulers(node, view, self.placement, clock, metrics=metrics)
        self.slots = SlotClient(node, view, self.placement, self.ledger, self.schedulers, clock)
        self.acknowledger = WithdrawalAcknowledger(
            node, self.placement, self.ledger, self.schedulers.occupies, clock, may_acknowledge
        )
        self._clock = clock
        self._refreshed_at = clock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="routing", daemon=True)
        view.subscribe(self._on_view_changed)
        membership.subscribe(self._on_membership_changed)

    def start(self) -> None:
        """Start the schedulers of the pools that are assigned to this process."""
        self.schedulers.refresh()
        self._thread.start()

    def close(self) -> None:
        """Stop the thread. Acquired slots stay valid until they are released."""
        self._stopping.set()
        self.schedulers.woken.set()
        if self._thread.is_alive():
            self._thread.join()

    def _on_view_changed(self) -> None:
        self.schedulers.refresh()
        self.acknowledger.tick()

    def _on_membership_changed(self) -> None:
        if self.placement.refresh():
            self.schedulers.refresh()
            self.slots.refresh()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._pause()
            for step in (
                self._refresh_if_due,
                self.schedulers.tick,
                self.slots.tick,
                self.acknowledger.tick,
            ):
                run_and_log_errors("routing", step)

    def _pause(self) -> None:
        if self.schedulers.busy or self.ledger.withdrawing:
            self._stopping.wait(TICK_S)
        else:
            self.schedulers.woken.wait(IDLE_TICK_S)
        self.schedulers.woken.clear()

    def _refresh_if_due(self) -> None:
        if self._clock() - self._refreshed_at >= MEMBERSHIP_INTERVAL_S:
            self._refreshed_at = self._clock()
            self._on_membership_changed()
