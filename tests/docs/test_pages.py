"""Pages that list names of the code are complete."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Success
from testtools import TestCase

from lentilrill.ctl._exit import Exit
from lentilrill.operators import EditVerdict
from lentilrill.settings import (
    ControllerSettings,
    Entitlement,
    EntrySettings,
    GatewaySettings,
    Objective,
    Plan,
    Pool,
    check,
    decode_lists,
    errors_of,
)
from lentilrill.telemetry import Event
from tests.docs.events import EVENTS_PAGE, events_page

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
METRIC = re.compile(r"\.(?:incr|gauge|timing)\(\s*f?\"([^\"]+)\"")
CODE_FOLDERS = ("src", "tests", "standins", "bench")
PAGES_WITH_NAMES = (
    "docs/*.md",
    "docs/design/*.md",
    "docs/incidents/*.md",
    "docs/operators/*.md",
    "README.md",
    "DEVELOPERS.md",
)
QUOTED = re.compile(r"`([^`]+)`")
FILE = re.compile(r"(?:[\w.-]+/)*\w+\.py\b")
TEST = re.compile(r"\btest_\w+(?!\w*\.py)")
CLASS = re.compile(r"\b_?[A-Z]+[a-z0-9]\w*\b")
DEFINED = re.compile(
    r"^\s*(?:class|def|type)\s+(\w+)|^(\w+)\s*(?::[^=\n]+)?=|\btag=\"(\w+)\"", re.MULTILINE
)
OUTSIDE_NAMES = {
    "NewType",  # typing of the standard library
}


def rows_of(page: Path) -> dict[str, list[str]]:
    """Return the tables' rows by their first cell."""
    lines = [line for line in page.read_text().splitlines() if line.startswith("| `")]
    cells = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    return {row[0].strip("` "): row[1:] for row in cells}


def keys_of(kind: type[msgspec.Struct], prefix: str = "") -> dict[str, Any]:
    """Return every key's path and its default, ``"required"`` if it has none."""
    keys: dict[str, Any] = {}
    for field in msgspec.structs.fields(kind):
        path = f"{prefix}{field.name}"
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            keys |= keys_of(field.type, path + ".")
        else:
            keys[path] = "required" if field.required else field.default
    return keys


def shown(default: Any) -> str:
    return default if default == "required" else msgspec.json.encode(default).decode()


def names_in(page: Path) -> set[str]:
    """Return the files, tests and classes that the page quotes."""
    text = re.sub(r"^```.*?^```", "", page.read_text(), flags=re.DOTALL | re.MULTILINE)
    names: set[str] = set()
    for quoted in QUOTED.findall(text):
        names |= set(FILE.findall(quoted)) | set(TEST.findall(quoted))
        words = [word for word in CLASS.findall(quoted) if "_" not in word[1:]]
        names |= {word for word in words if sum(letter.isupper() for letter in word) > 1}
    return names


class PagesTest(TestCase):
    def test_events(self) -> None:
        self.assertEqual(events_page(), EVENTS_PAGE.read_text())
        self.assertEqual(len(Event), len({event.number for event in Event}))

    def test_settings(self) -> None:
        rows = rows_of(DOCS / "operators" / "settings.md")
        keys = keys_of(GatewaySettings) | keys_of(ControllerSettings)
        self.assertEqual(set(keys), set(rows))
        for path, default in keys.items():
            self.assertEqual(shown(default), rows[path][1].strip("`"), path)

    def test_settings_of_entry_hosts(self) -> None:
        rows = rows_of(DOCS / "operators" / "entry.md")
        keys = keys_of(EntrySettings)
        self.assertEqual(set(keys), set(rows))
        for path, default in keys.items():
            self.assertEqual(shown(default), rows[path][1].strip("`"), path)

    def test_lists(self) -> None:
        text = (DOCS / "operators" / "lists.md").read_text()
        for kind in (Plan, Pool, Objective, Entitlement):
            for name, default in keys_of(kind).items():
                row = rf"^\| `{name}` \| [^|]+ \| `?{re.escape(shown(default))}`? \| "
                plain = row.replace('"', "")
                self.assertTrue(re.search(plain, text, re.MULTILINE), f"{kind.__name__}.{name}")

    def test_examples_of_lists_have_no_errors(self) -> None:
        text = (DOCS / "operators" / "lists.md").read_text()
        plans, entitlements = re.findall(r"```json\n(.*?)```", text, re.DOTALL)
        decoded = decode_lists(plans.encode(), entitlements.encode())
        self.assertIsInstance(decoded, Success)
        self.assertEqual((), errors_of(check(decoded.unwrap())))

    def test_examples_of_settings_decode(self) -> None:
        text = (DOCS / "operators" / "install.md").read_text()
        examples = re.findall(r"```json\n(.*?)```", text, re.DOTALL)
        for example, kind in zip(examples, (GatewaySettings, ControllerSettings), strict=True):
            values = json.loads(example)
            values["keys"] = {"public": "p" * 40, "secret": "s" * 40}
            msgspec.convert(values, kind)

    def test_metrics(self) -> None:
        documented = {re.sub(r"[A-Z]+", "*", name) for name in rows_of(DOCS / "metrics.md")}
        used = set()
        for path in (ROOT / "src").rglob("*.py"):
            used |= {re.sub(r"\{.*?\}", "*", name) for name in METRIC.findall(path.read_text())}
        self.assertEqual(used, documented)

    def test_exit_codes_and_verdicts(self) -> None:
        lists = (DOCS / "operators" / "lists.md").read_text()
        for code in Exit:
            self.assertIn(f"\n| {int(code)} | ", lists)
        status = rows_of(DOCS / "operators" / "status.md")
        for verdict in EditVerdict:
            if verdict is not EditVerdict.UNCHANGED:
                self.assertIn(verdict.value, status)

    def test_quoted_names_of_the_code_exist(self) -> None:
        """A renamed file, class or test leaves its old name behind in the pages."""
        files = [path for folder in CODE_FOLDERS for path in (ROOT / folder).rglob("*.py")]
        paths = [f"/{path.relative_to(ROOT)}" for path in files]
        defined = {path.stem for path in files if path.stem.startswith("test_")}
        for path in files:
            defined |= {name for names in DEFINED.findall(path.read_text()) for name in names}
        pages = [page for pattern in PAGES_WITH_NAMES for page in sorted(ROOT.glob(pattern))]
        names = {page: names_in(page) for page in pages}
        missing = [
            f"{page.relative_to(ROOT)}: {name}"
            for page in pages
            for name in sorted(names[page] - OUTSIDE_NAMES)
            if name not in defined and not any(path.endswith(f"/{name}") for path in paths)
        ]
        self.assertEqual([], missing)
        found = set().union(*names.values())
        for kind in (FILE, TEST, CLASS):
            self.assertTrue(any(kind.fullmatch(name) for name in found), kind.pattern)
