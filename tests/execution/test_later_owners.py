"""What a later owner of a pool knows of calls that previous owners sent to the endpoints."""

import threading
import time
from typing import Any
from unittest.mock import Mock, patch

from testtools import TestCase

from lentilrill.execution._endpoint_list import EndpointList
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import TAKE_OVER_WAIT_S, PoolLinks
from lentilrill.ids import EndpointId, PoolId
from lentilrill.telemetry import Event
from lentilrill.workloads import EndpointEntry
from tests.builders import an_endpoint
from tests.execution.fakes import FakeEndpoint
from tests.fakes import FakeKeyValue

OWNER = "m/o/notices"
POOL = PoolId("notices")
E1 = EndpointId("e1")
SLACK_S = 0.5


class LaterOwnersCase(TestCase):
    """Successive owners of a pool, whose links send nothing."""

    def setUp(self) -> None:
        super().setUp()
        patched = patch.object(EndpointLink, "start")
        patched.start()
        self.addCleanup(patched.stop)
        self.kv = FakeKeyValue()
        self.entries: dict[EndpointId, EndpointEntry] = {}

    def register(self, name: str = "e1", **changes: Any) -> None:
        entry = an_endpoint(name, **changes)
        self.entries[entry.id] = entry

    def take_over(self) -> PoolLinks:
        """Load what the previous owner stored, and open its links."""
        token = self.kv.put(OWNER, b"owner")
        endpoint_list = EndpointList(self.kv, POOL, OWNER, token)
        links = PoolLinks(POOL, endpoint_list, threading.RLock(), self.connect)
        self.assertTrue(links.load())
        links.open_previous(self.entries)
        links.load_first_starts()
        return links

    def connect(self, entry: EndpointEntry) -> EndpointLink:
        return EndpointLink(Mock(token=1), entry, FakeEndpoint())

    def is_blocked_after(self, links: PoolLinks, seconds: float) -> bool:
        now = time.monotonic()
        with patch("lentilrill.execution._links.time.monotonic", lambda: now + seconds):
            return links.is_blocked


class WaitOfATakeOverTest(LaterOwnersCase):
    def setUp(self) -> None:
        super().setUp()
        self.register(started_ms=1)
        self.assertTrue(self.take_over().refresh(self.entries))

    def test_an_endpoint_that_is_given_up_is_logged_once(self) -> None:
        """Guards against two runs of one task of which no log tells what the owner knew."""
        links = self.take_over()
        del self.entries[E1]
        with patch("lentilrill.execution._links.log") as log:
            self.assertTrue(links.refresh(self.entries))
            log.assert_not_called()
            links._owner_since -= TAKE_OVER_WAIT_S
            for _ in range(2):
                links._log_given_up()
        log.assert_called_once()
        self.assertEqual((Event.PREVIOUS_ENDPOINT_GIVEN_UP,), log.call_args.args)
        fields = log.call_args.kwargs
        self.assertEqual((False, 1, 1), tuple(fields[name] for name in LOGGED))


LOGGED = ("is_registered", "entry_started_ms", "first_started_ms")
