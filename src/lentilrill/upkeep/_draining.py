"""Requests to pool owners to drain endpoints whose hosts are needed elsewhere."""

import itertools
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from lentilrill.ids import EndpointId, PoolId
from lentilrill.inner import Message, ReleaseAsk, ReleaseState, ReleaseTold

__all__ = ["EndpointDrainer", "Peers"]

ANSWER_VALID_S = 1.5
"""Seconds for which an answer is valid after its request was sent: half of the time for which an
owner keeps new tasks off an endpoint after the last request."""


class Peers(Protocol):
    """Interface for messages to other entry hosts."""

    def send(self, address: str, message: Message) -> None:
        """Send a message; delivery isn't guaranteed."""


class _Request(NamedTuple):
    """The last request for an endpoint, and the inner address of the owner that it went to."""

    id: int
    sent_at: float
    owner: str


NO_REQUEST = _Request(0, 0.0, "")


class EndpointDrainer:
    """Drains endpoints by requests that are repeated each round until the endpoint is free.

    An endpoint returns to normal use when its requests stop.

    :param owner_address: returns the inner address of a pool's owner; empty if there is none.
    """

    def __init__(self, peers: Peers, owner_address: Callable[[PoolId], str]) -> None:
        self._peers = peers
        self._owner_address = owner_address
        self._request_ids = itertools.count(1)
        self._answer_by_endpoint: dict[EndpointId, ReleaseTold] = {}
        self._last_request: dict[EndpointId, _Request] = {}

    def on_release_told(self, message: ReleaseTold) -> None:
        """Handle the answer of a pool's owner."""
        self._answer_by_endpoint[message.endpoint] = message

    def request_drain(self, pool: PoolId, endpoint: EndpointId) -> tuple[bool, str]:
        """Request an endpoint; return whether it is free, and the reason if it isn't.

        Only the answer to the previous request counts, and only while its owner is sure to keep new
        tasks off the endpoint. An older answer may belong to an attempt that was given up, after
        which the endpoint got tasks again; these would be lost if the host were taken. So would
        those of a new owner of the pool, which doesn't know what the previous one has drained.
        """
        address = self._owner_address(pool)
        if not address:
            return False, "the pool has no owner"
        now = time.monotonic()
        answer = self._answer_by_endpoint.pop(endpoint, None)
        last = self._last_request.get(endpoint, NO_REQUEST)
        request = _Request(next(self._request_ids), now, address)
        self._last_request[endpoint] = request
        self._peers.send(address, ReleaseAsk(request.id, pool, endpoint))
        is_current = last.owner == address and now - last.sent_at <= ANSWER_VALID_S
        if answer is None or answer.ask != last.id or not is_current:
            return False, "the owner of the pool has not answered"
        return answer.state == ReleaseState.FREE, answer.reason
