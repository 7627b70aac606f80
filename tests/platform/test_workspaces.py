"""Workspaces and keys in the operators' configuration."""

import json
from typing import Any
from unittest import mock

from testtools import TestCase

from lentilrill.platform import _records
from lentilrill.platform._records import decode_configuration
from lentilrill.telemetry import Event
from lentilrill.workloads import Resources, Workspaces


def decode(*tenants: dict[str, Any]) -> Workspaces:
    value = {"version": 1, "routes": [], "services": [], "tenants": tenants}
    configuration = decode_configuration(json.dumps(value).encode())
    assert configuration is not None and configuration.workspaces is not None
    return configuration.workspaces


class WorkspacesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        patched = mock.patch.object(_records, "log")
        self.log = patched.start()
        self.addCleanup(patched.stop)

    def reasons(self) -> list[str]:
        for call in self.log.call_args_list:
            self.assertIs(Event.RECORD_ODD, call.args[0])
        return [call.kwargs["reason"] for call in self.log.call_args_list]

    def test_keys_weight_and_cap(self) -> None:
        cap = {"cpu": 5000, "mem_mb": 700, "gpu": 0}
        found = decode({"name": "a", "api_keys": ["k1", "k2"], "weight": 3, "cap": cap})
        self.assertEqual("a", found.find(b"k2"))
        self.assertIsNone(found.find(b"k3"))
        [workspace] = found.by_id.values()
        self.assertEqual((3.0, Resources(5000, 700, 0)), (workspace.weight, workspace.cap))
        self.assertEqual([], self.reasons())

    def test_without_workspaces(self) -> None:
        configuration = decode_configuration(b'{"version":1,"routes":[],"services":[]}')
        assert configuration is not None
        self.assertIsNone(configuration.workspaces)

    def test_a_key_of_two_workspaces_identifies_neither(self) -> None:
        """Guards against showing the jobs of one workspace to callers of another."""
        found = decode(
            {"name": "a", "api_keys": ["shared", "own"]}, {"name": "b", "api_keys": ["shared"]}
        )
        self.assertIsNone(found.find(b"shared"))
        self.assertEqual("a", found.find(b"own"))
        [reason] = self.reasons()
        self.assertNotIn("shared", reason)

    def test_a_malformed_workspace_leaves_the_others_usable(self) -> None:
        """Guards against losing a whole configuration for one limit or weight."""
        found = decode(
            {"name": "a", "api_keys": ["k"], "weight": 0, "cap": {"cpu": -4}},
            {"name": "b", "api_keys": ["l"]},
        )
        self.assertEqual(Resources(1, 0, 0), found.by_id["a"].cap)
        self.assertEqual(0.0, found.by_id["a"].weight)
        self.assertEqual("b", found.find(b"l"))
        self.assertEqual(2, len(self.reasons()))

    def test_an_odd_weight_is_logged_and_bounded(self) -> None:
        """Guards against a division by nothing, or by a sum of weights that isn't finite."""
        weights = (-3, 0, 1e-300, 1e300)
        found = decode(*({"name": f"w{n}", "weight": w} for n, w in enumerate(weights)))
        self.assertEqual([0.0, 0.0, 1e-6, 1e6], [each.weight for each in found.by_id.values()])
        self.assertEqual(4, len(self.reasons()))
        self.assertIn("counts as 1000000.0", self.reasons()[-1])

    def test_keys_are_not_kept(self) -> None:
        """Guards against keys in the text of an object, which ends up in logs and errors."""
        self.assertNotIn("opener", repr(decode({"name": "a", "api_keys": ["letter-opener"]})))
