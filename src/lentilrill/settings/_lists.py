"""Decoding of the operators' two files, reporting every error with its path.

A typed decoder stops at the first error. This module converts each entry field by field, so that
an operator who edits a long list sees all errors at once.
"""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.settings._document import Document, Entitlement, Objective, Plan, Pool
from lentilrill.settings._findings import Finding, Severity
from lentilrill.settings._located import located

__all__ = ["EntitlementsFile", "decode_lists", "encode_lists"]

MAX_SHOWN_KEY_CHARS = 80
BROKEN = object()
"""Sentinel for a file that is not valid JSON and whose error is already reported."""

S = TypeVar("S", bound=msgspec.Struct)


class EntitlementsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Layout of ``entitlements.json``."""

    pools: tuple[Pool, ...] = ()
    objective: Objective = Objective()
    entitlements: tuple[Entitlement, ...] = ()


def decode_lists(
    plans_json: bytes, entitlements_json: bytes
) -> Result[Document, tuple[Finding, ...]]:
    """Decode ``plans.json`` and ``entitlements.json`` into a document without stops.

    :return: the document, or every error found in either file.
    """
    reader = _Reader()
    plans = reader.entries(reader.parsed(plans_json, "plans"), Plan, "plans")
    rest = reader.parsed(entitlements_json, "entitlements.json")
    lists = reader.struct_values(rest, EntitlementsFile, "")
    if reader.findings:
        return Failure(tuple(reader.findings))
    return Success(Document(plans=plans, **lists))


def encode_lists(document: Document) -> tuple[bytes, bytes]:
    """Return the contents of the two files for a document, indented for editing."""
    rest = EntitlementsFile(document.pools, document.objective, document.entitlements)
    return _pretty(document.plans), _pretty(rest)


def _pretty(value: object) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"


class _Reader:
    """Converts parsed JSON to the settings types and collects findings."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def parsed(self, text: bytes, path: str) -> Any:
        """Return the JSON value of ``text``, or ``BROKEN`` after adding a finding."""
        try:
            return msgspec.json.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
            self._add(path, f"broken JSON: {error}")
            return BROKEN

    def entries(self, raw: Any, kind: type[S], path: str) -> tuple[S, ...]:
        """Convert a list entry by entry; omit entries with errors."""
        if not isinstance(raw, list):
            if raw is not BROKEN:
                self._add(path, f"expected a list, got {_kind_of(raw)}")
            return ()
        entries = (self._entry(item, kind, f"{path}[{n}]") for n, item in enumerate(raw))
        return tuple(entry for entry in entries if entry is not None)

    def struct_values(self, raw: Any, kind: type[msgspec.Struct], path: str) -> dict[str, Any]:
        """Convert an object's fields one by one; return the valid ones."""
        if not isinstance(raw, dict):
            if raw is not BROKEN:
                self._add(path or "entitlements.json", f"expected an object, got {_kind_of(raw)}")
            return {}
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for key in raw:
            if key not in fields:
                self._add(
                    _join(path, _shown(key)), f"unknown key; expected one of: {', '.join(fields)}"
                )
        values: dict[str, Any] = {}
        for name, field in fields.items():
            if name in raw:
                self._field(raw[name], field.type, _join(path, name), name, values)
            elif field.required:
                self._add(_join(path, name), "missing")
        return values

    def _entry(self, raw: Any, kind: type[S], path: str) -> S | None:
        before = len(self.findings)
        values = self.struct_values(raw, kind, path)
        return kind(**values) if len(self.findings) == before else None

    def _field(self, raw: Any, kind: Any, path: str, name: str, values: dict[str, Any]) -> None:
        nested = _ENTRY_KINDS.get(name) if path == name else None
        if nested is not None:
            values[name] = self.entries(raw, nested, path)
        elif kind is Objective:
            values[name] = self._entry(raw, Objective, path)
        else:
            self._plain(raw, kind, path, name, values)

    def _plain(self, raw: Any, kind: Any, path: str, name: str, values: dict[str, Any]) -> None:
        try:
            values[name] = msgspec.convert(raw, kind)
        except (msgspec.ValidationError, OverflowError) as error:
            inner, message = located(error)
            self._add(path + inner, message)

    def _add(self, path: str, message: str) -> None:
        self.findings.append(Finding(Severity.ERROR, path, message))


_ENTRY_KINDS: dict[str, type[msgspec.Struct]] = {"pools": Pool, "entitlements": Entitlement}


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _shown(key: object) -> str:
    text = str(key)
    return text if len(text) <= MAX_SHOWN_KEY_CHARS else text[:MAX_SHOWN_KEY_CHARS] + "..."


def _kind_of(raw: Any) -> str:
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return "null" if raw is None else names.get(type(raw), "a number")
