"""Reads what entry hosts show on their metrics addresses."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec
import urllib3

from lentilrill.ctl._client import CONNECT_TIMEOUT_S, READ_TIMEOUT_S

__all__ = ["read_all"]

Row = TypeVar("Row")


def read_all(addresses: Iterable[str], path: str, row: type[Row]) -> tuple[list[Row], list[str]]:
    """Return the rows that the entry hosts show on a path, and a line for each that failed."""
    rows: list[Row] = []
    failed = []
    for address in addresses:
        try:
            rows += _read(address, path, row)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            failed.append(f"! {address}: {error}")
    return rows, failed


def _read(address: str, path: str, row: type[Row]) -> list[Row]:
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
    answer = urllib3.PoolManager(timeout=timeout, retries=False).request(
        "GET", f"http://{address}{path}"
    )
    return msgspec.json.decode(answer.data, type=list[row])  # type: ignore[valid-type]
