"""Operators' tokens, kept only as digests."""

import hashlib
import hmac
from collections.abc import Mapping

__all__ = ["operator_of"]

SCHEME = "bearer"


def operator_of(authorization: str, tokens_sha256: Mapping[str, str]) -> str | None:
    """Return the operator whose token an ``Authorization`` header carries.

    Guard against guessing a token from response times: digests are compared, in constant time,
    and all of them, so that neither a matching beginning nor the position of the operator shows.

    :param tokens_sha256: hex SHA-256 of each token by operator name.
    """
    scheme, _, token = authorization.partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
    found = None
    for name, expected in tokens_sha256.items():
        if hmac.compare_digest(digest.encode(), expected.lower().encode()):
            found = name
    return found if scheme.lower() == SCHEME and token.strip() else None
