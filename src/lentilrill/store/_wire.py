"""Structs that several answers of the key-value service contain."""

import msgspec

__all__ = ["Header", "StoredKey"]


class Header(msgspec.Struct):
    """Revision of the store at the time of the answer."""

    revision: int


class StoredKey(msgspec.Struct):
    """One key with its value and modification revision."""

    key: bytes
    mod_revision: int
    value: bytes = b""
