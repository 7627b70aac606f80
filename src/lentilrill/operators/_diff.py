"""Differences between two documents, by list and id."""

from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from lentilrill.settings import Document

__all__ = ["Change", "Difference", "FieldChange", "diff_documents"]

MAX_VALUE_CHARS = 200


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


def diff_documents(before: Document, after: Document) -> tuple[Difference, ...]:
    """Return how ``after`` differs from ``before``, ignoring the order within a list."""
    return (
        _diff_entries("plans", before.plans_by_id(), after.plans_by_id())
        + _diff_entries("pools", before.pools_by_id(), after.pools_by_id())
        + _diff_entries("entitlements", before.entitlements_by_plan(), after.entitlements_by_plan())
        + _diff_entries("objective", {"": before.objective}, {"": after.objective})
        + _diff_entries(
            "stops",
            {stop.id: stop for stop in before.stops},
            {stop.id: stop for stop in after.stops},
        )
    )


def _diff_entries(
    name: str, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> tuple[Any, ...]:
    differences = []
    for key in sorted(before.keys() | after.keys()):
        if key not in after:
            differences.append(Difference(name, key, Change.REMOVED))
        elif key not in before:
            differences.append(Difference(name, key, Change.ADDED))
        elif before[key] != after[key]:
            fields = _diff_fields(before[key], after[key])
            differences.append(Difference(name, key, Change.CHANGED, fields))
    return tuple(differences)


def _diff_fields(before: msgspec.Struct, after: msgspec.Struct) -> tuple[FieldChange, ...]:
    return tuple(
        FieldChange(
            name, _truncated_json(getattr(before, name)), _truncated_json(getattr(after, name))
        )
        for name in before.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    )


def _truncated_json(value: object) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_VALUE_CHARS else text[:MAX_VALUE_CHARS] + "..."
