"""Acknowledgement of withdrawals: this process sends no more jobs to a host."""

import time
from collections.abc import Callable

from lentilrill.ids import HostId
from lentilrill.inner import Barred, Node, WithdrawalAck
from lentilrill.routing._ledger import SendLedger
from lentilrill.routing._placement import Placement
from lentilrill.telemetry import Event, log

__all__ = ["WithdrawalAcker"]

REPEAT_S = 1.0


def _always() -> bool:
    return True


class WithdrawalAcker:
    """Reports to the zone's controllers which withdrawing hosts this process no longer uses.

    Messages may be lost and controllers replaced, so the report is repeated about once a second
    until the host's record changes.

    :param occupied: returns whether a job may still run on a host under a grant known here.
    :param may_acknowledge: returns whether this process may acknowledge now. It may not while a
        peer that received its state is unregistered and has not acknowledged the withdrawal.
    """

    def __init__(
        self,
        node: Node,
        placement: Placement,
        ledger: SendLedger,
        occupied: Callable[[HostId], bool],
        clock: Callable[[], float] = time.monotonic,
        may_acknowledge: Callable[[], bool] = _always,
    ) -> None:
        self._node = node
        self._placement = placement
        self._ledger = ledger
        self._occupied = occupied
        self._clock = clock
        self._may_acknowledge = may_acknowledge
        self._told = clock() - REPEAT_S
        self._told_barred: tuple[Barred, ...] = ()

    def tick(self) -> None:
        """Send the acknowledgements if they changed, or if the last report is a second old."""
        now = self._clock()
        barred = self._barred()
        if barred == self._told_barred and now - self._told < REPEAT_S:
            return
        self._told = now
        for item in barred:
            if item not in self._told_barred:
                log(Event.WITHDRAWAL_ACKNOWLEDGED, host=item.host, revision=item.revision)
        self._told_barred = barred
        if barred:
            for controller in self._placement.controllers():
                self._node.send(controller.inner, WithdrawalAck(self._placement.me, barred))

    def _barred(self) -> tuple[Barred, ...]:
        if not self._may_acknowledge():
            return ()
        return tuple(item for item in self._ledger.barred() if not self._occupied(item.host))
