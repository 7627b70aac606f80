"""Exchange of state items between peers, to bring their mirrors up to date."""

import time

from lentilrill.ids import Revision
from lentilrill.inner import Batch, Node, StateAsk, StateItems
from lentilrill.store import Mirror

__all__ = ["StateExchange"]

ASK_PAUSE_S = 0.3


class StateExchange:
    """Sends state items to peers that request them, and requests missing items from peers."""

    def __init__(self, node: Node, mirror: Mirror) -> None:
        self._node = node
        self._mirror = mirror
        self._last_ask_at = 0.0
        node.on(StateAsk, self._asked)
        node.on(StateItems, self._told)

    def pull(self, address: str) -> None:
        """Request missing items from the peer at ``address``, at a limited rate over all peers."""
        now = time.monotonic()
        if now - self._last_ask_at < ASK_PAUSE_S:
            return
        self._last_ask_at = now
        self._node.send(address, StateAsk(self._mirror.complete_to))

    def _asked(self, batch: Batch, message: StateAsk) -> None:
        items, complete_to = self._mirror.after(message.after)
        self._node.send(batch.reply_to, StateItems(items, message.after, complete_to))

    def _told(self, batch: Batch, message: StateItems) -> None:
        del batch
        # If the items start after the end of this mirror, changes in between are missing. Storing
        # complete_to as well would hide the gap, and the missing changes would never be requested.
        whole = message.after <= self._mirror.complete_to
        self._mirror.offer(message.items, message.complete_to if whole else Revision(0))
