"""A call returns a result for every possible answer of the service."""

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools import TestCase

from lentilrill.ids import Revision
from lentilrill.settings import PlatformSettings
from lentilrill.store import EtcdKeyValue, HttpHostList
from lentilrill.telemetry import NoMetrics

SETTINGS = PlatformSettings(("127.0.0.1:1",), "127.0.0.1:1", deadline_s=0.05, calls_per_s=1e9)
HEADER = b'{"header": {"revision": "3"}'
FOREIGN_KEY = HEADER + b', "kvs": [{"key": "/w==", "mod_revision": "2"}]}'
malformed_answers = st.binary(max_size=40) | st.sampled_from(
    [FOREIGN_KEY, b"[" * 100_000, b"\xff", HEADER, HEADER + b"}", b'{"header": {"revision": "x"}}']
)


class FixedAnswerTransport:
    """Answers each exchange with the same bytes."""

    peer = "fixed"

    def __init__(self, data: bytes) -> None:
        self.data = data

    def exchange(self, *_arguments: object) -> Success:
        return Success(self.data)


class MalformedAnswersTest(TestCase):
    def test_a_grant_without_a_lease_is_a_fault(self) -> None:
        """Guards against keys without a lease, if an answer to a request for one names none."""
        kv = EtcdKeyValue(SETTINGS, NoMetrics())
        for body in (b'{"TTL":"2"}', b'{"ID":"0","TTL":"2"}'):
            kv._transport = FixedAnswerTransport(body)
            self.assertIsInstance(kv.lease(1.0), Failure, body)

    @settings(derandomize=True, max_examples=150, database=None)
    @given(malformed_answers)
    def test_a_malformed_answer_is_a_fault(self, data: bytes) -> None:
        # A proxy may answer with its own page, and the prefix may contain a key that is not valid
        # text. An exception from the client would end the watching thread, and the process
        # would miss all later configurations.
        kv, hosts = EtcdKeyValue(SETTINGS, NoMetrics()), HttpHostList(SETTINGS, NoMetrics())
        kv._transport = hosts._transport = FixedAnswerTransport(data)
        calls = (
            lambda: kv.read(""),
            lambda: kv.newest(""),
            lambda: kv.commit((), ()),
            lambda: kv.lease(1.0),
            lambda: kv.keep_alive(1),
            lambda: kv.revoke(1),
            hosts.hosts,
        )
        for call in calls:
            self.assertIsInstance(call(), Success | Failure)
        watch = kv.watch("", Revision(0))
        self.assertIsInstance(watch._decode_line(data) or Success(None), Success | Failure)
