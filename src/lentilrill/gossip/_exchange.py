"""Peers bring each other's mirrors up to date."""

import time

from lentilrill.ids import Revision
from lentilrill.inner import Batch, Node, StateAsk, StateItems
from lentilrill.store import Mirror

__all__ = ["StateExchange"]

ASK_PAUSE_S = 0.3


class StateExchange:
    """Answers peers that lack state, and asks those that have more."""

    def __init__(self, node: Node, mirror: Mirror) -> None:
        self._node = node
        self._mirror = mirror
        self._last_ask_at = 0.0
        node.on(StateAsk, self._asked)
        node.on(StateItems, self._told)

    def pull(self, address: str) -> None:
        """Ask the peer at ``address`` for what is missing here, unless one was asked just now."""
        now = time.monotonic()
        if now - self._last_ask_at < ASK_PAUSE_S:
            return
        self._last_ask_at = now
        self._node.send(address, StateAsk(self._mirror.complete_to))

    def _asked(self, batch: Batch, message: StateAsk) -> None:
        items, complete_to = self._mirror.changes_since(message.after)
        self._node.send(batch.reply_to, StateItems(items, message.after, complete_to))

    def _told(self, batch: Batch, message: StateItems) -> None:
        del batch
        # Items that start after this mirror's end leave a hole; were complete_to taken over with
        # it, the missed change would never be asked for again. So only the items are taken.
        whole = message.after <= self._mirror.complete_to
        self._mirror.merge(message.items, message.complete_to if whole else Revision(0))
