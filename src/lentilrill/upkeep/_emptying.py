"""Asking pools' owners to empty endpoints whose hosts are wanted."""

import itertools
import time
from collections.abc import Callable
from typing import Protocol

from lentilrill.ids import EndpointId, PoolId
from lentilrill.inner import Message, ReleaseAsk, ReleaseState, ReleaseTold

__all__ = ["Emptying", "Peers"]

FRESH_S = 1.5
"""How long an answer counts after its question: half of the time for which an owner keeps tasks
off an endpoint that nobody asks for any more."""


class Peers(Protocol):
    """Sends messages to other entry hosts."""

    def send(self, address: str, message: Message) -> None:
        """Send a message, which may be lost."""


class Emptying:
    """Asks again each round until an endpoint is free; whoever stops asking gives it back.

    :param owner_address: inner address of a pool's owner; empty if there is none.
    """

    def __init__(self, peers: Peers, owner_address: Callable[[PoolId], str]) -> None:
        self._peers = peers
        self._owner_address = owner_address
        self._asks = itertools.count(1)
        self._told_by_endpoint: dict[EndpointId, ReleaseTold] = {}
        self._last_ask: dict[EndpointId, tuple[int, float]] = {}

    def told(self, message: ReleaseTold) -> None:
        """Take the answer of a pool's owner."""
        self._told_by_endpoint[message.endpoint] = message

    def ask(self, pool: PoolId, endpoint: EndpointId) -> tuple[bool, str]:
        """Ask for an endpoint; return whether it is free, and what it waits for.

        Guard against a host that is taken from under its tasks: only the answer to the last ask
        counts, and only for as long as the owner surely keeps new tasks off. An older one may
        stem from an attempt that was given up, after which the endpoint got tasks again.
        """
        address = self._owner_address(pool)
        if not address:
            return False, "the pool has no owner"
        now = time.monotonic()
        told = self._told_by_endpoint.pop(endpoint, None)
        last, asked_at = self._last_ask.get(endpoint, (0, 0.0))
        ask = next(self._asks)
        self._last_ask[endpoint] = (ask, now)
        self._peers.send(address, ReleaseAsk(ask, pool, endpoint))
        if told is None or told.ask != last or now - asked_at > FRESH_S:
            return False, "its owner has not answered"
        return told.state == ReleaseState.FREE, told.reason
