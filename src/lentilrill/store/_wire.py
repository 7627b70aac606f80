"""Parts of the key-value service's answers that several calls share."""

import msgspec

__all__ = ["Header", "StoredKey"]


class Header(msgspec.Struct):
    """Where the store was as it answered."""

    revision: int


class StoredKey(msgspec.Struct):
    """One key as the service stores it."""

    key: bytes
    mod_revision: int
    value: bytes = b""
