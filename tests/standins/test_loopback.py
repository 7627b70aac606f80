"""Loopback addresses of tests that run in parallel."""

import subprocess
import sys

from testtools import TestCase

from standins.loopback import LoopbackNetwork
from tests.builders import an_address

DRAWS = 2000
DRAW = f"from tests.builders import an_address\nfor _ in range({DRAWS}): print(an_address())"


class LoopbackTest(TestCase):
    def test_no_two_processes_of_tests_get_the_same_address(self) -> None:
        """If two processes share an address, a host never becomes ready: its port is taken."""
        own = [an_address() for _ in range(DRAWS)]
        child = subprocess.run(
            [sys.executable, "-c", DRAW], capture_output=True, check=True, text=True
        )
        others = child.stdout.split()
        self.assertEqual(2 * DRAWS, len({*own, *others}))

    def test_a_network_that_is_reserved_is_not_given_to_another(self) -> None:
        networks = [LoopbackNetwork() for _ in range(20)]
        for network in networks:
            self.addCleanup(network.close)
        self.assertEqual(20, len({network.address(1, 1, 1) for network in networks}))
