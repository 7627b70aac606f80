"""Acknowledgement of withdrawals: this process sends nothing to a host any more."""

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
    """Tells the zone's controllers which withdrawing hosts this process is done with.

    Messages may be lost and controllers replaced, so it repeats what holds about each second,
    until the host's record changes.

    :param occupied: whether a scheduler of this process counts on a job running on a host.
    :param may_acknowledge: whether this process may speak now; not while a peer that it gave
        its state to is unregistered and has not acknowledged itself.
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
        """Send the acknowledgements that are new, or all about each second."""
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
