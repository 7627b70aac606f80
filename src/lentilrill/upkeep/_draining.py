"""Requests to pool owners to drain endpoints whose hosts are needed elsewhere."""

import itertools
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from lentilrill.ids import EndpointId, PoolId
from lentilrill.inner import Message, ReleaseAsk, ReleaseState, ReleaseTold, new_asker
from lentilrill.ownership import OwnerRecord
from lentilrill.telemetry import Event, log

__all__ = ["DrainAnswer", "EndpointDrainer", "Peers"]

ANSWER_VALID_S = 1.5
"""Seconds for which an answer is valid after its request was sent: half of the time for which an
owner keeps new tasks off an endpoint after the last request."""


class Peers(Protocol):
    """Interface for messages to other entry hosts."""

    def send(self, address: str, message: Message) -> None:
        """Send a message; delivery isn't guaranteed."""


class _Request(NamedTuple):
    """The last request for an endpoint, and the pool's owner that it went to."""

    id: int
    sent_at: float
    owner: OwnerRecord | None


NO_REQUEST = _Request(0, 0.0, None)


class DrainAnswer(NamedTuple):
    """The answer to the previous request for an endpoint.

    :param reason: why it isn't free.
    :param is_blocked: whether its pool can't spare it, so that it goes on getting tasks.
    """

    is_free: bool
    reason: str = ""
    is_blocked: bool = False


class EndpointDrainer:
    """Drains endpoints by requests that are repeated each round until the endpoint is free.

    An endpoint returns to normal use when its requests stop.

    :param owner_of: returns the owner of a pool, if there is one.
    """

    def __init__(self, peers: Peers, owner_of: Callable[[PoolId], OwnerRecord | None]) -> None:
        self._peers = peers
        self._owner_of = owner_of
        self._id = new_asker()
        self._request_ids = itertools.count(1)
        self._answer_by_endpoint: dict[EndpointId, ReleaseTold] = {}
        self._last_request: dict[EndpointId, _Request] = {}

    def on_release_told(self, message: ReleaseTold) -> None:
        """Handle the answer of a pool's owner.

        An answer to a former owner of the fleet, which may have had a request of the same number,
        isn't believed.
        """
        if message.asker != self._id:
            log(Event.ANSWER_IGNORED, ask=message.ask, kind="ReleaseTold")
            return
        self._answer_by_endpoint[message.endpoint] = message

    def request_drain(self, pool: PoolId, endpoint: EndpointId) -> DrainAnswer:
        """Request an endpoint; return whether it is free.

        Only the answer to the previous request counts, and only while its owner is sure to keep new
        tasks off the endpoint. An older answer may belong to an attempt that was given up, after
        which the endpoint got tasks again; these would be lost if the host were taken. So would
        those of a new owner of the pool, which doesn't know what the previous one has drained; it
        may have the address of the previous one.
        """
        owner = self._owner_of(pool)
        if owner is None:
            return DrainAnswer(False, "the pool has no owner")
        now = time.monotonic()
        answer = self._answer_by_endpoint.pop(endpoint, None)
        last = self._last_request.get(endpoint, NO_REQUEST)
        request = _Request(next(self._request_ids), now, owner)
        self._last_request[endpoint] = request
        ask = ReleaseAsk(request.id, pool, endpoint, asker=self._id)
        self._peers.send(owner.inner, ask)
        is_current = last.owner == owner and now - last.sent_at <= ANSWER_VALID_S
        if answer is None or answer.ask != last.id or not is_current:
            return DrainAnswer(False, "the owner of the pool has not answered")
        is_blocked = answer.state == ReleaseState.BLOCKED
        return DrainAnswer(answer.state == ReleaseState.FREE, answer.reason, is_blocked)
