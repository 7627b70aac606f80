"""Differences between two documents, by list and id."""

from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from lentilrill.settings import Document

__all__ = ["Change", "Difference", "FieldChange", "difference"]

MAX_SHOWN_CHARS = 200


class Change(Enum):
    """How an entry changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """One field before and after, as truncated JSON text."""

    field: str
    before: str
    after: str


class Difference(msgspec.Struct, frozen=True):
    """One entry that differs.

    :param list: ``plans``, ``pools``, ``entitlements``, ``objective`` or ``stops``.
    :param id: the entry's id; an entitlement's is its plan's. Empty for the objective.
    :param fields: changed fields of an entry that both documents have.
    """

    list: str
    id: str
    change: Change
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        entry = f"{self.list} {self.id}".rstrip()
        if not self.fields:
            return f"{entry}: {self.change.value}"
        fields = ", ".join(f"{f.field} {f.before} -> {f.after}" for f in self.fields)
        return f"{entry}: {fields}"


def difference(before: Document, after: Document) -> tuple[Difference, ...]:
    """Return how ``after`` differs from ``before``, ignoring the order within a list."""
    return (
        _entries("plans", before.plans_by_id(), after.plans_by_id())
        + _entries("pools", before.pools_by_id(), after.pools_by_id())
        + _entries("entitlements", before.entitlements_by_plan(), after.entitlements_by_plan())
        + _entries("objective", {"": before.objective}, {"": after.objective})
        + _entries(
            "stops",
            {stop.id: stop for stop in before.stops},
            {stop.id: stop for stop in after.stops},
        )
    )


def _entries(name: str, before: Mapping[Any, Any], after: Mapping[Any, Any]) -> tuple[Any, ...]:
    found = []
    for key in sorted(before.keys() | after.keys()):
        if key not in after:
            found.append(Difference(name, key, Change.REMOVED))
        elif key not in before:
            found.append(Difference(name, key, Change.ADDED))
        elif before[key] != after[key]:
            fields = _fields(before[key], after[key])
            found.append(Difference(name, key, Change.CHANGED, fields))
    return tuple(found)


def _fields(before: msgspec.Struct, after: msgspec.Struct) -> tuple[FieldChange, ...]:
    return tuple(
        FieldChange(name, _shown(getattr(before, name)), _shown(getattr(after, name)))
        for name in before.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    )


def _shown(value: object) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
