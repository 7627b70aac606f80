"""Structs that several answers of the key-value service contain."""

import msgspec

from lentilrill.ids import LeaseId

__all__ = ["Header", "StoredKey"]


class Header(msgspec.Struct):
    """Revision of the store at the time of the answer."""

    revision: int


class StoredKey(msgspec.Struct):
    """One key with its value and modification revision.

    :param lease: lease that it is bound to; 0 for none.
    """

    key: bytes
    mod_revision: int
    value: bytes = b""
    lease: int = 0

    @property
    def lease_id(self) -> LeaseId | None:
        """The lease that it is bound to, if any."""
        return LeaseId(self.lease) if self.lease else None
