"""Sending of orders to hosts, concurrently and within the platform's rate limit."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from lentilrill.routing import TokenBucket
from lentilrill.upkeep._contract import HostOrderResult

__all__ = ["HostOrders"]

MAX_CONCURRENT_ORDERS = 12
SUSTAINED_SHARE = 0.8
BURST_SHARE = 0.2
"""Shares of the platform's rate limit for the refill and the size of the token bucket: they add up
to one, so no second exceeds the limit."""

T = TypeVar("T")


class HostOrders:
    """Sends the orders of one round.

    At a site of hundreds of hosts a surge or a wave can need a hundred orders at once, each a call
    of its own. If they were sent one after the other, the last would go out seconds later, and
    their hosts would run tasks only after the surge.

    :param rate_per_s: the platform's rate limit for orders of all entry hosts, per second.
    :param max_concurrent: maximum number of concurrent orders.
    """

    def __init__(
        self,
        rate_per_s: float,
        max_concurrent: int = MAX_CONCURRENT_ORDERS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_concurrent = max_concurrent
        self._clock = clock
        self._bucket = TokenBucket(
            rate_per_s * SUSTAINED_SHARE, max(1.0, rate_per_s * BURST_SHARE), clock()
        )

    def send(
        self, targets: Sequence[T], order: Callable[[T], HostOrderResult | None]
    ) -> list[tuple[T, HostOrderResult]]:
        """Send orders to as many targets as the rate limit allows; return those with their results.

        The remaining targets are left to a later round.

        :param order: sends one order and returns its result, or ``None`` if it wasn't sent. Called
            from several threads.
        """
        now = self._clock()
        allowed = [target for target in targets if self._bucket.take(now)]
        if len(allowed) <= 1:
            answers = [order(target) for target in allowed]
        else:
            with ThreadPoolExecutor(
                min(self._max_concurrent, len(allowed)), "host-order"
            ) as threads:
                answers = list(threads.map(order, allowed))
        return [
            (target, answer)
            for target, answer in zip(allowed, answers, strict=True)
            if answer is not None
        ]
