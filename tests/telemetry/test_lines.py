"""Log lines on standard output, each a JSON object."""

import json
import subprocess
import sys

from testtools import TestCase

PROGRAM = """
import logging, sys
from lentilrill.telemetry import setup
setup("info", "front-1")
logging.getLogger("urllib3.connectionpool").warning("Connection pool is full: %s", "10.0.0.1")
sys.stdin.read()
"""


class LinesTest(TestCase):
    def test_what_a_library_logs_is_a_line_like_the_others(self) -> None:
        """A search by request stopped half-way: one line in a thousand was no JSON.

        An HTTP library warned through the standard library's root logger, which wrote in a form
        of its own.
        """
        texts = []
        with subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        ) as program:
            assert program.stdout is not None
            for line in program.stdout:
                texts.append(json.loads(line).get("text"))
                if texts[-1].startswith("Connection"):
                    break
            program.kill()
        self.assertEqual("Connection pool is full: 10.0.0.1", texts[-1])
