"""Handling of the tests listed in KNOWN-RED.txt by the test command."""

import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Not

CONFTEST = Path(__file__).with_name("conftest.py")
TESTS = """\
from unittest import TestCase

class ThingTest(TestCase):
    def test_red(self):
        self.fail("as listed")

    def test_green(self):
        pass
"""
RED, GREEN = (f"test_thing.py::ThingTest::test_{name}" for name in ("red", "green"))


class KnownRedTest(TestCase):
    def run_suite(self, *listed: str) -> tuple[int, str]:
        """Run a suite of one failing and one passing test; return exit code and output."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "conftest.py").write_text(CONFTEST.read_text())
            (folder / "test_thing.py").write_text(TESTS)
            (folder / "pytest.ini").write_text("[pytest]\n")
            lines = ["# a comment", *(f"{entry} | command | seen | issue 1" for entry in listed)]
            (folder / "KNOWN-RED.txt").write_text("\n".join(lines))
            command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "."]
            run = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
        return run.returncode, run.stdout + run.stderr

    def test_a_listed_test_that_fails_is_accepted_and_reported(self) -> None:
        """The test command of the README failed on a fresh clone because of a known failure."""
        code, output = self.run_suite(RED)
        self.assertEqual(0, code)
        self.assertThat(output, Contains(f"known red: {RED} | command | seen | issue 1"))
        self.assertThat(output, Contains(f"known red, failed: {RED}"))
        self.assertThat(output, Contains("as listed"))

    def test_a_failure_that_is_not_listed_fails_the_run(self) -> None:
        """A new failure was accepted along with a known one."""
        code, output = self.run_suite(GREEN, "make matrix: a cell")
        self.assertEqual(1, code)
        self.assertThat(output, Contains(f"known red, passed: {GREEN}"))
        self.assertThat(output, Not(Contains(f"known red, failed: {RED}")))

    def test_the_list_stays_short(self) -> None:
        """Failures accumulated in the list and were not fixed."""
        code, _ = self.run_suite(*(f"make matrix: {number}" for number in range(4)), RED)
        self.assertNotEqual(0, code)

    def test_tests_of_limits_do_not_count(self) -> None:
        """Tests of limits that can't pass yet took the place of other known failures."""
        limits = (f"tests/limits/test_a.py::Test::test_{number}" for number in range(4))
        code, _ = self.run_suite(*limits, RED)
        self.assertEqual(0, code)
