"""Acknowledgement of withdrawals: this process sends no more jobs to a host."""

import time
from collections.abc import Callable

from lentilrill.ids import HostId
from lentilrill.inner import Barred, Node, WithdrawalAck
from lentilrill.routing._ledger import SendLedger
from lentilrill.routing._placement import Placement
from lentilrill.telemetry import Event, log

__all__ = ["WithdrawalAcknowledger"]

REPEAT_S = 1.0


def _always() -> bool:
    return True


class WithdrawalAcknowledger:
    """Reports to the zone's controllers which withdrawing hosts this process no longer uses.

    Messages may be lost and controllers replaced, so the report is repeated about once a second
    until the host's record changes.

    :param is_occupied: returns whether a job may still run on a host under a grant known here.
    :param may_acknowledge: returns whether this process may acknowledge now. It may not while a
        peer that received its state is unregistered and has not acknowledged the withdrawal.
    """

    def __init__(
        self,
        node: Node,
        placement: Placement,
        ledger: SendLedger,
        is_occupied: Callable[[HostId], bool],
        clock: Callable[[], float] = time.monotonic,
        may_acknowledge: Callable[[], bool] = _always,
    ) -> None:
        self._node = node
        self._placement = placement
        self._ledger = ledger
        self._is_occupied = is_occupied
        self._clock = clock
        self._may_acknowledge = may_acknowledge
        self._sent_at = clock() - REPEAT_S
        self._sent_hosts: tuple[Barred, ...] = ()

    def tick(self) -> None:
        """Send the acknowledgements if they changed, or if the last report is a second old."""
        now = self._clock()
        blocked = self._blocked_hosts()
        if blocked == self._sent_hosts and now - self._sent_at < REPEAT_S:
            return
        self._sent_at = now
        for item in blocked:
            if item not in self._sent_hosts:
                log(Event.WITHDRAWAL_ACKNOWLEDGED, host=item.host, revision=item.revision)
        self._sent_hosts = blocked
        if blocked:
            for controller in self._placement.controllers():
                self._node.send(controller.inner, WithdrawalAck(self._placement.me, blocked))

    def _blocked_hosts(self) -> tuple[Barred, ...]:
        if not self._may_acknowledge():
            return ()
        return tuple(
            item for item in self._ledger.blocked_hosts() if not self._is_occupied(item.host)
        )
