"""Every link between the pages resolves to a file."""

import re
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


class LinksTest(TestCase):
    def test_links_lead_to_files(self) -> None:
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        dead = [
            f"{page.relative_to(ROOT)}: {target}"
            for page in pages
            for target in LINK.findall(page.read_text())
            if not (page.parent / target).exists()
        ]
        self.assertEqual([], dead)
