"""Decoding of the operators' two files, reporting every error with its path.

A typed decoder stops at the first error. This module converts each entry field by field, so that
an operator who edits a long list sees all errors at once.
"""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.settings._decode_errors import path_and_message
from lentilrill.settings._document import Document, Entitlement, Objective, Plan, Pool
from lentilrill.settings._findings import Finding, Severity

__all__ = ["EntitlementsFile", "decode_lists", "encode_lists"]

MAX_SHOWN_KEY_CHARS = 80
INVALID_JSON = object()
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
    decoder = _ListsDecoder()
    plans = decoder.convert_list(decoder.parse(plans_json, "plans"), Plan, "plans")
    rest = decoder.parse(entitlements_json, "entitlements.json")
    lists = decoder.convert_fields(rest, EntitlementsFile, "")
    if decoder.findings:
        return Failure(tuple(decoder.findings))
    return Success(Document(plans=plans, **lists))


def encode_lists(document: Document) -> tuple[bytes, bytes]:
    """Return the contents of the two files for a document, indented for editing."""
    rest = EntitlementsFile(document.pools, document.objective, document.entitlements)
    return _encode_indented(document.plans), _encode_indented(rest)


def _encode_indented(value: object) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"


class _ListsDecoder:
    """Converts parsed JSON to the settings types and collects findings."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def parse(self, text: bytes, path: str) -> Any:
        """Return the JSON value of ``text``, or ``INVALID_JSON`` after adding a finding."""
        try:
            return msgspec.json.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
            self._add_error(path, f"broken JSON: {error}")
            return INVALID_JSON

    def convert_list(self, raw: Any, kind: type[S], path: str) -> tuple[S, ...]:
        """Convert a list entry by entry; omit entries with errors."""
        if not isinstance(raw, list):
            if raw is not INVALID_JSON:
                self._add_error(path, f"expected a list, got {_json_type(raw)}")
            return ()
        entries = (self._convert_struct(item, kind, f"{path}[{n}]") for n, item in enumerate(raw))
        return tuple(entry for entry in entries if entry is not None)

    def convert_fields(self, raw: Any, kind: type[msgspec.Struct], path: str) -> dict[str, Any]:
        """Convert an object's fields one by one; return the valid ones."""
        if not isinstance(raw, dict):
            if raw is not INVALID_JSON:
                self._add_error(
                    path or "entitlements.json", f"expected an object, got {_json_type(raw)}"
                )
            return {}
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for key in raw:
            if key not in fields:
                self._add_error(
                    _join_path(path, _shorten(key)),
                    f"unknown key; expected one of: {', '.join(fields)}",
                )
        values: dict[str, Any] = {}
        for name, field in fields.items():
            if name in raw:
                self._convert_field(raw[name], field.type, _join_path(path, name), name, values)
            elif field.required:
                self._add_error(_join_path(path, name), "missing")
        return values

    def _convert_struct(self, raw: Any, kind: type[S], path: str) -> S | None:
        before = len(self.findings)
        values = self.convert_fields(raw, kind, path)
        return kind(**values) if len(self.findings) == before else None

    def _convert_field(
        self, raw: Any, kind: Any, path: str, name: str, values: dict[str, Any]
    ) -> None:
        nested = _ITEM_TYPE_BY_LIST.get(name) if path == name else None
        if nested is not None:
            values[name] = self.convert_list(raw, nested, path)
        elif kind is Objective:
            values[name] = self._convert_struct(raw, Objective, path)
        else:
            self._convert_value(raw, kind, path, name, values)

    def _convert_value(
        self, raw: Any, kind: Any, path: str, name: str, values: dict[str, Any]
    ) -> None:
        try:
            values[name] = msgspec.convert(raw, kind)
        except (msgspec.ValidationError, OverflowError) as error:
            inner, message = path_and_message(error)
            self._add_error(path + inner, message)

    def _add_error(self, path: str, message: str) -> None:
        self.findings.append(Finding(Severity.ERROR, path, message))


_ITEM_TYPE_BY_LIST: dict[str, type[msgspec.Struct]] = {"pools": Pool, "entitlements": Entitlement}


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _shorten(key: object) -> str:
    text = str(key)
    return text if len(text) <= MAX_SHOWN_KEY_CHARS else text[:MAX_SHOWN_KEY_CHARS] + "..."


def _json_type(raw: Any) -> str:
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return "null" if raw is None else names.get(type(raw), "a number")
