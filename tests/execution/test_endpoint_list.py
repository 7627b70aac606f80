"""Stored list of a pool's endpoints, with writes that are lost, delayed or by another writer."""

import threading
from collections.abc import Callable
from unittest.mock import Mock

from returns.result import Result
from testtools import TestCase

from lentilrill.execution._endpoint_list import EndpointList
from lentilrill.execution._link import EndpointLink
from lentilrill.execution._links import PoolLinks
from lentilrill.ids import EndpointId, PoolId
from lentilrill.workloads import EndpointEntry
from tests.builders import an_endpoint
from tests.execution.fakes import FakeEndpoint
from tests.fakes import FakeKeyValue, lose_answer, lose_request

OWNER = "m/o/notices"


class EndpointListTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.token = self.kv.put(OWNER, b"owner")
        self.endpoint_list = EndpointList(self.kv, PoolId("notices"), OWNER, self.token)
        self.assertTrue(self.endpoint_list.load())

    def stored(self) -> set[str]:
        other = EndpointList(self.kv, PoolId("notices"), OWNER, self.token)
        self.assertTrue(other.load())
        return set(other.address_by_id)

    def test_a_write_that_comes_late_does_not_undo_a_newer_one(self) -> None:
        """Guards against tasks that run twice after an outage.

        The store lost the answer to a write and executed it seconds later, over a newer one with
        one more endpoint. The next owner did not find that endpoint, did not wait to poll it, and
        started tasks again that had ended there.
        """
        late: list[Callable[[], Result]] = []

        def delay(call: Callable[[], Result]) -> Result:
            late.append(call)
            return lose_request(call)

        self.kv.commits.append(delay)
        self.assertTrue(self.endpoint_list.write([an_endpoint("e1")], []))
        self.assertEqual({}, self.endpoint_list.address_by_id)
        self.assertTrue(self.endpoint_list.write([an_endpoint("e1"), an_endpoint("e22")], []))
        late[0]()
        self.assertEqual({"e1", "e22"}, self.stored())

    def test_a_write_goes_on_after_a_lost_answer(self) -> None:
        self.kv.commits.append(lose_answer)
        self.assertTrue(self.endpoint_list.write([an_endpoint("e1")], []))
        self.assertTrue(self.endpoint_list.write([an_endpoint("e1")], []))
        self.assertEqual({"e1"}, set(self.endpoint_list.address_by_id))

    def test_another_writer_is_not_a_newer_owner(self) -> None:
        """Guards against an owner that gives its pool up because of its own delayed write.

        The delayed write had been executed between two others.
        """
        self.assertTrue(self.endpoint_list.write([an_endpoint("e1")], []))
        self.kv.put("e/notices", b"{}")
        self.assertTrue(self.endpoint_list.write([an_endpoint("e22")], []))
        self.assertTrue(self.endpoint_list.write([an_endpoint("e22")], []))
        self.assertEqual({"e1", "e22"}, self.stored())

    def test_a_newer_owner_is_reported(self) -> None:
        self.kv.put(OWNER, b"another")
        self.assertFalse(self.endpoint_list.write([an_endpoint("e1")], []))


class ClosedLinksTest(TestCase):
    def test_an_endpoint_that_is_gone_leaves_the_list_after_a_failed_write(self) -> None:
        """Guards against a take-over that waits for an endpoint that is gone, since the write that
        removed it from the list failed once."""
        kv = FakeKeyValue()
        token = kv.put(OWNER, b"owner")
        endpoint_list = EndpointList(kv, PoolId("notices"), OWNER, token)
        links = PoolLinks(PoolId("notices"), endpoint_list, threading.RLock(), a_closed_link)
        self.assertTrue(links.load())
        entries = {entry.id: entry for entry in (an_endpoint("e1"), an_endpoint("e2"))}
        self.assertTrue(links.refresh(entries))
        del entries[EndpointId("e2")]
        kv.commits.append(lose_request)
        for _ in range(2):
            self.assertTrue(links.refresh(entries))
        self.assertEqual({"e1"}, set(endpoint_list.address_by_id))


def a_closed_link(entry: EndpointEntry) -> EndpointLink:
    """Return a link that was closed since another instance uses the endpoint's address."""
    link = EndpointLink(Mock(), entry, FakeEndpoint())
    link.close()
    return link
