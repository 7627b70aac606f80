"""Authentication of operators by bearer token; only digests of the tokens are stored."""

import hashlib
import hmac
from collections.abc import Mapping

__all__ = ["authenticate"]

SCHEME = "bearer"


def authenticate(authorization: str, tokens_sha256: Mapping[str, str]) -> str | None:
    """Return the operator whose token is in an ``Authorization`` header, or ``None``.

    To prevent timing attacks, digests are compared in constant time, and the loop always compares
    all of them: response times reveal neither a matching prefix nor the operator's position.

    :param tokens_sha256: hex SHA-256 of each token by operator name.
    """
    scheme, _, token = authorization.partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
    found = None
    for name, expected in tokens_sha256.items():
        if hmac.compare_digest(digest.encode(), expected.lower().encode()):
            found = name
    return found if scheme.lower() == SCHEME and token.strip() else None
