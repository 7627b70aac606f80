"""What happens to the orders that endpoints get."""

import enum
import random

__all__ = ["LATE_S", "MAX_HELD_S", "OrderFault", "OrderFaults"]

LATE_S = (1.0, 6.0)
"""Shortest and longest time after which an unanswered order is carried out."""
MAX_HELD_S = 15.0
"""Time after which an order that is held is not carried out any more."""
PATHS = frozenset({"/run-start", "/run-stop"})
POLL = "/hold"


class OrderFault(enum.Enum):
    """What happens to an order; but for ``NONE``, its sender gets no answer."""

    NONE = "none"
    DROPPED = "dropped"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    HELD = "held"
    """Carried out once the test asks for it, by whichever process of the endpoint is up then."""


FAULTS = (OrderFault.DROPPED, OrderFault.ANSWER_LOST, OrderFault.LATE)


class OrderFaults:
    """Draws what happens to starts and stops, and to polls if asked, while orders are lost."""

    def __init__(self) -> None:
        self._share = 0.0
        self._paths = PATHS
        self._faults: tuple[OrderFault, ...] = FAULTS
        self._rng = random.Random()

    @property
    def are_on(self) -> bool:
        """Whether orders are lost at present."""
        return self._share > 0

    def begin(self, share: float, rng: random.Random, *, with_polls: bool = False) -> None:
        """Lose a share of the orders from now on."""
        self._paths = PATHS | {POLL} if with_polls else PATHS
        self._faults = FAULTS
        self._rng, self._share = rng, share

    def begin_one(self, path: str, fault: OrderFault) -> None:
        """Let the same happen to every call with a path from now on, and nothing to others."""
        self._paths, self._faults = frozenset({path}), (fault,)
        self._share = 1.0

    def end(self) -> None:
        """Lose no more orders; what is to be carried out late still is."""
        self._share = 0.0

    def draw(self, path: str) -> OrderFault:
        """Return what happens to a call."""
        if path not in self._paths or self._rng.random() >= self._share:
            return OrderFault.NONE
        return self._rng.choice(self._faults)
