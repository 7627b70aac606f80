"""Loading of settings files: strict decoding and one-line error messages."""

import json
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from testtools import TestCase
from testtools.matchers import StartsWith

from lentilrill.settings import (
    ControllerSettings,
    EntryHostLimits,
    EntrySettings,
    GatewaySettings,
    load_settings,
)
from tests.builders import an_address, digest, inner_keys


def gateway(**changes: Any) -> dict[str, Any]:
    values = {
        "process": "gw-1",
        "entry_host": "entry-1",
        "zone": "z1",
        "inner": an_address(),
        "keys": msgspec.to_builtins(inner_keys()),
        "listen": an_address(),
        "platform": {"key_value": [an_address()], "host_list": an_address()},
    }
    return values | changes


def controller(**changes: Any) -> dict[str, Any]:
    return gateway(operator_tokens_sha256={"asha": digest("t")}) | changes


def entry(**changes: Any) -> dict[str, Any]:
    values = {key: an_address() for key in ("callers", "readiness", "inner", "metrics")}
    store = {"address": an_address()}
    return values | {"process": "front-1", "zone": "z1", "store": store} | changes


class LoadingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def load(self, values: object, kind: type = GatewaySettings):
        self.path.write_text(json.dumps(values))
        return load_settings(self.path, kind)

    def reason(self, values: object, kind: type = GatewaySettings) -> str:
        reason = self.load(values, kind).failure().reason
        self.assertNotIn("\n", reason)
        return reason

    def test_whole_settings_load(self) -> None:
        self.assertEqual("gw-1", self.load(gateway()).unwrap().process)
        self.assertEqual("z1", self.load(controller(), ControllerSettings).unwrap().zone)

    def test_a_missing_file_and_broken_json(self) -> None:
        missing = load_settings(self.path / "none", GatewaySettings).failure()
        self.assertIn("none", missing.peer)
        self.path.write_text("{")
        self.assertIn("broken JSON", load_settings(self.path, GatewaySettings).failure().reason)

    def test_the_path_of_the_key_is_named(self) -> None:
        platform = {"key_value": [an_address()], "host_list": an_address()}
        cases = {
            "thread: unknown key": gateway(thread=1),
            "platform.deadline: unknown key": gateway(platform=platform | {"deadline": 1}),
            "platform.host_list: missing": gateway(platform={"key_value": [an_address()]}),
            "threads: Expected `int`, got `str`": gateway(threads="400"),
            "threads: Expected `int` >= 1": gateway(threads=0),
            "platform.key_value: Expected": gateway(platform=platform | {"key_value": []}),
            "seeds[1]: Expected `str` matching": gateway(seeds=[an_address(), "host:1"]),
        }
        for expected, values in cases.items():
            self.assertThat(self.reason(values), StartsWith(expected))

    def test_values_that_do_not_go_together(self) -> None:
        same = an_address()
        cases = {
            "suspect_after_s": gateway(suspect_after_s=0.5, heartbeat_s=0.5),
            "listen: ": gateway(listen=same, inner=same),
            "inner: port": gateway(inner="127.0.0.1:65536"),
            "inner: '999.0.0.1:1'": gateway(inner="999.0.0.1:1"),
            "statsd: ": gateway(statsd="sink"),
            "log_level: ": gateway(log_level="loud"),
            "zone: must not be empty": gateway(zone=""),
            "keys.public: ": gateway(
                keys={
                    "public": inner_keys().public,
                    "secret": inner_keys().secret,
                }
            ),
            "keys.secret: ": gateway(keys={"public": " " * 40, "secret": " " * 40}),
        }
        for expected, values in cases.items():
            self.assertThat(self.reason(values), StartsWith(expected))

    def test_values_of_an_entry_host_that_do_not_go_together(self) -> None:
        """Guards against an entry host that starts with settings that can't work, and shows it only
        by calls that fail for good."""
        same = an_address()
        cases = {
            "process: must not be empty": entry(process=""),
            "zone: must not be empty": entry(zone=""),
            "readiness: port": entry(readiness="127.0.0.1:65536"),
            f"metrics: {same} is also the address of inner": entry(inner=same, metrics=same),
            "store.address: '999.0.0.1:1'": entry(store={"address": "999.0.0.1:1"}),
            "hosts_api: 'hosts'": entry(hosts_api="hosts"),
            "advice: port": entry(advice="127.0.0.1:0"),
            "hosts_api: port": entry(hosts_api="127.0.0.1:" + "9" * 5000),
        }
        self.assertEqual("front-1", self.load(entry(), EntrySettings).unwrap().process)
        for expected, values in cases.items():
            self.assertThat(self.reason(values, EntrySettings), StartsWith(expected))

    def test_operators_tokens(self) -> None:
        both = {"asha": digest("t"), "ben": digest("t").upper()}
        cases = {
            "operator_tokens_sha256: names no operator": {},
            "operator_tokens_sha256.asha: must be": {"asha": "plain-token"},
            "operator_tokens_sha256.ben: is the token of 'asha'": both,
        }
        for expected, tokens in cases.items():
            reason = self.reason(controller(operator_tokens_sha256=tokens), ControllerSettings)
            self.assertThat(reason, StartsWith(expected))

    def test_all_errors_are_reported_at_once(self) -> None:
        reason = self.reason(gateway(log_level="loud", zone="", statsd="x"))
        self.assertEqual(3, len(reason.split("; ")))


class StrengthTest(TestCase):
    def test_a_slow_link_reduces_the_strength_of_a_host(self) -> None:
        """Guards against ownership by a host whose slow link keeps it behind on its pool's jobs."""
        fast = EntryHostLimits(cpu_share=0.7, cores=3, link_mbps=100)
        slow = EntryHostLimits(cpu_share=0.7, cores=3, link_mbps=5)
        self.assertAlmostEqual(2.1, fast.strength)
        self.assertLess(slow.strength, 0.5)

    def test_hosts_without_limits_have_equal_strength(self) -> None:
        self.assertEqual(1.0, EntryHostLimits().strength)
