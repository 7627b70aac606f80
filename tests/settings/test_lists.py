"""Decoding of the operators' two files."""

import json

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools import TestCase

from lentilrill.settings import Document, check, decode_lists, encode_lists
from tests.builders import a_document

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(("id", "plan", "pools", "zones", "objective", "entitlements", "hosts_owed"))
        | st.text(max_size=5),
        inner,
        max_size=5,
    ),
    max_leaves=15,
)


def errors(plans: object, entitlements: object) -> dict[str, str]:
    result = decode_lists(json.dumps(plans).encode(), json.dumps(entitlements).encode())
    assert isinstance(result, Failure)
    return {finding.path: finding.message for finding in result.failure()}


class ListsTest(TestCase):
    def test_what_is_encoded_decodes_to_the_same(self) -> None:
        document = a_document("schools", "spare")
        self.assertEqual(Success(document), decode_lists(*encode_lists(document)))

    def test_an_empty_file_of_entitlements_has_defaults(self) -> None:
        self.assertEqual(Success(Document()), decode_lists(b"[]", b"{}"))

    def test_every_error_with_its_path(self) -> None:
        # A wrong key, type and value in different entries are all reported at once, each with
        # its path.
        plan = json.loads(encode_lists(a_document("schools"))[0])[0]
        plans = [
            plan | {"hosts_owed": "6"},
            plan | {"host_owed": 6, "urgency": "soon"},
            {key: value for key, value in plan.items() if key != "token_sha256"},
            7,
        ]
        entitlements = {
            "pool": [],
            "pools": [{"id": "a", "service": "a", "slots_per_host": 1.5}],
            "objective": {"settle": 3},
            "entitlements": [{"plan": "a", "pools": ["a", 7]}],
        }
        found = errors(plans, entitlements)
        self.assertEqual(
            {
                "plans[0].hosts_owed",
                "plans[1].host_owed",
                "plans[1].urgency",
                "plans[2].token_sha256",
                "plans[3]",
                "pool",
                "pools[0].slots_per_host",
                "objective.settle",
                "entitlements[0].pools[1]",
            },
            set(found),
        )
        self.assertIn("unknown key", found["plans[1].host_owed"])
        self.assertEqual("missing", found["plans[2].token_sha256"])

    def test_broken_json_names_the_file_and_the_place(self) -> None:
        result = decode_lists(b'[{"id": }]', b'{"pools"')
        found = {finding.path: finding.message for finding in result.failure()}
        self.assertEqual({"plans", "entitlements.json"}, set(found))
        self.assertIn("byte 8", found["plans"])

    def test_the_two_files_swapped(self) -> None:
        plans, entitlements = encode_lists(a_document("schools"))
        found = {f.path for f in decode_lists(entitlements, plans).failure()}
        self.assertEqual({"plans", "entitlements.json"}, found)

    @settings(derandomize=True, max_examples=400, database=None, deadline=None)
    @given(st.binary(max_size=40) | json_values.map(repr).map(str.encode), json_values)
    def test_whatever_is_in_the_files_is_decoded_or_refused(self, plans, entitlements) -> None:
        # Guards against tracebacks in the terminal of an operator or the log of a controller.
        body = json.dumps(entitlements).encode()
        for result in (decode_lists(plans, body), decode_lists(body, plans)):
            if isinstance(result, Success):
                check(result.unwrap())
                msgspec.json.encode(result.unwrap())
            else:
                self.assertTrue(all(finding.message for finding in result.failure()))
