"""Exchange of state items between peers, to bring their mirrors up to date."""

import time

from lentilrill.ids import Revision
from lentilrill.inner import Batch, Node, StateAsk, StateItems
from lentilrill.store import Mirror

__all__ = ["StateExchange"]

MIN_REQUEST_INTERVAL_S = 0.3


class StateExchange:
    """Sends state items to peers that request them, and requests missing items from peers."""

    def __init__(self, node: Node, mirror: Mirror) -> None:
        self._node = node
        self._mirror = mirror
        self._last_request_at = 0.0
        node.on(StateAsk, self._on_state_ask)
        node.on(StateItems, self._on_state_items)

    def request_missing(self, address: str) -> None:
        """Request missing items from the peer at ``address``, at a limited rate over all peers."""
        now = time.monotonic()
        if now - self._last_request_at < MIN_REQUEST_INTERVAL_S:
            return
        self._last_request_at = now
        self._node.send(address, StateAsk(self._mirror.complete_to))

    def _on_state_ask(self, batch: Batch, message: StateAsk) -> None:
        items, complete_to = self._mirror.changes_since(message.after)
        self._node.send(batch.reply_to, StateItems(items, message.after, complete_to))

    def _on_state_items(self, batch: Batch, message: StateItems) -> None:
        del batch
        # If the items start after the end of this mirror, changes in between are missing. Storing
        # complete_to as well would hide the gap, and the missing changes would never be requested.
        is_contiguous = message.after <= self._mirror.complete_to
        self._mirror.merge(message.items, message.complete_to if is_contiguous else Revision(0))
