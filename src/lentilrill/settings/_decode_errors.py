"""Conversion of msgspec error messages into a key path and a message."""

import re

__all__ = ["path_and_message"]

UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`", re.DOTALL)
MISSING_FIELD = re.compile(r"Object missing required field `(.*)`", re.DOTALL)


def path_and_message(error: Exception) -> tuple[str, str]:
    """Return the key path and the message of an error, without msgspec's path notation."""
    message, _, at = str(error).partition(" - at `$")
    path = at.rstrip("`").lstrip(".")
    for pattern, text in ((UNKNOWN_FIELD, "unknown key"), (MISSING_FIELD, "missing")):
        found = pattern.fullmatch(message)
        if found:
            name = found.group(1)
            return (f"{path}.{name}" if path else name), text
    return path, message
