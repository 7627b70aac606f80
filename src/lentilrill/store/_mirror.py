"""Local copy of the platform's state keys, which never returns to an older revision."""

import threading
from collections.abc import Callable, Iterable

from lentilrill.ids import Revision
from lentilrill.store._contract import Item

__all__ = ["Mirror"]

NO_REVISION = Revision(0)


class Mirror:
    """Items of the state keys, each at the newest revision received.

    The mirror is *complete to* a revision: it holds the value of every state key as of that
    revision or later. Items may be newer, for instance after a write by this process, but never
    older.

    A stale read or a late message may contain an item with a lower revision than the stored one.
    Such items are ignored, so that the configuration of a process never reverts.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._items_by_key: dict[str, Item] = {}
        self._complete_to = Revision(0)
        self._listeners: list[Callable[[tuple[Item, ...]], None]] = []

    @property
    def complete_to(self) -> Revision:
        """Revision up to which no change is missing; 0 before the first full state."""
        return self._complete_to

    def get(self, key: str) -> Item | None:
        """Return the item of ``key``; ``None`` if it is absent or deleted."""
        item = self._items_by_key.get(key)
        return item if item is not None and item.value is not None else None

    def items_below(self, prefix: str) -> list[Item]:
        """Return the present items whose keys start with ``prefix``, sorted by key."""
        with self._lock:
            items = [i for k, i in self._items_by_key.items() if k.startswith(prefix)]
        return sorted((i for i in items if i.value is not None), key=lambda i: i.key)

    def changes_since(self, revision: Revision) -> tuple[tuple[Item, ...], Revision]:
        """Return the items newer than ``revision``, including deleted ones, and ``complete_to``."""
        with self._lock:
            newer = tuple(i for i in self._items_by_key.values() if i.revision > revision)
            return newer, self._complete_to

    def merge(self, items: Iterable[Item], complete_to: Revision = NO_REVISION) -> bool:
        """Merge the items that are newer than the stored ones and notify the listeners.

        :param complete_to: revision to which the source was complete, if ``items`` contain all
            changes after the ``complete_to`` of this mirror; 0 for a partial set of items.
        :return: whether anything changed.
        """
        with self._lock:
            changed = tuple(item for item in items if self._merge_item(item))
            self._complete_to = max(self._complete_to, complete_to)
        if changed:
            for listener in list(self._listeners):
                listener(changed)
        return bool(changed)

    def replace(self, items: Iterable[Item], revision: Revision) -> bool:
        """Merge a full read of the state at ``revision``.

        A stored key that the read does not contain was deleted meanwhile. It is kept as a
        deletion, so that an older value that arrives later does not restore it.
        """
        read = tuple(items)
        present = {item.key for item in read}
        with self._lock:
            deleted = tuple(
                Item(key, None, revision)
                for key, stored in self._items_by_key.items()
                if key not in present and stored.value is not None and stored.revision <= revision
            )
        return self.merge(read + deleted, revision)

    def subscribe(self, listener: Callable[[tuple[Item, ...]], None]) -> None:
        """Call ``listener`` with the changed items after each change, without holding the lock."""
        self._listeners.append(listener)

    def _merge_item(self, item: Item) -> bool:
        stored = self._items_by_key.get(item.key)
        if stored is not None and stored.revision >= item.revision:
            return False
        self._items_by_key[item.key] = item
        return True
