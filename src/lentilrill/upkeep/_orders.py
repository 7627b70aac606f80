"""Orders to hosts, side by side and within the platform's rate."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from lentilrill.routing import TokenBucket
from lentilrill.upkeep._contract import HostOrder

__all__ = ["HostOrders"]

AT_ONCE = 12
SUSTAINED_SHARE = 0.8
BURST_SHARE = 0.2
"""Shares of the platform's rate: together one second takes no more than it allows."""

T = TypeVar("T")


class HostOrders:
    """Sends the orders of one round.

    Load pattern: a surge or a wave at a site of hundreds of hosts asks for a hundred orders at
    once, each a call of its own. One after the other the last of them go out seconds later, and
    their hosts serve when the surge is over.

    :param per_s: orders that the platform takes a second, from all entry hosts.
    :param at_once: most orders that are on their way at a time.
    """

    def __init__(
        self, per_s: float, at_once: int = AT_ONCE, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._at_once = at_once
        self._clock = clock
        self._bucket = TokenBucket(per_s * SUSTAINED_SHARE, max(1.0, per_s * BURST_SHARE), clock())

    def send(
        self, targets: Sequence[T], order: Callable[[T], HostOrder | None]
    ) -> list[tuple[T, HostOrder]]:
        """Order each target that the rate allows; return what became of those that were ordered.

        Those that are left out are ordered in a later round.

        :param order: sends one order; ``None`` if it was not sent. Called side by side.
        """
        now = self._clock()
        allowed = [target for target in targets if self._bucket.take(now)]
        if len(allowed) <= 1:
            answers = [order(target) for target in allowed]
        else:
            with ThreadPoolExecutor(min(self._at_once, len(allowed)), "host-order") as threads:
                answers = list(threads.map(order, allowed))
        return [
            (target, answer)
            for target, answer in zip(allowed, answers, strict=True)
            if answer is not None
        ]
