"""Log lines on standard output are JSON objects."""

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
    def test_records_of_libraries_are_json_lines(self) -> None:
        """Guards against lines that are not JSON, which break programs that parse the log.

        An HTTP library logged through the root logger of the standard library, which used its
        own format.
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
