"""Maps whose keys come from others, with a maximum length."""

from typing import TypeVar

__all__ = ["keep_newest"]

K = TypeVar("K")
V = TypeVar("V")


def keep_newest(values_by_key: dict[K, V], key: K, value: V, max_keys: int) -> None:
    """Set a value; if there are too many keys, remove the one that was set longest ago."""
    values_by_key.pop(key, None)
    values_by_key[key] = value
    if len(values_by_key) > max_keys:
        del values_by_key[next(iter(values_by_key))]
