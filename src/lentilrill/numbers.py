"""Decimal numbers in texts from callers, peers and files."""

__all__ = ["decimal_in"]


def decimal_in(text: str, low: int, high: int) -> int | None:
    """Return the number that ``text`` holds in ASCII digits, or ``None`` if it is not in range.

    :func:`int` also accepts signs, spaces, underscores and the digits of other scripts, and raises
    an error for a text of thousands of digits.

    :param low: lowest number in range, not negative.
    :param high: highest number in range.
    """
    digits = text.lstrip("0") or text[-1:]
    if not (text.isascii() and text.isdigit()) or len(digits) > len(str(high)):
        return None
    value = int(digits)
    return value if low <= value <= high else None
