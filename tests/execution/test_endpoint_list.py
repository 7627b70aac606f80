"""Stored list of a pool's endpoints, with writes that are lost, delayed or by another writer."""

import threading
from collections.abc import Callable
from unittest.mock import Mock, patch

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
E2 = EndpointId("e2")


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


class UncertainListTest(TestCase):
    """An owner's list and the stored one, after a write without an answer."""

    def setUp(self) -> None:
        super().setUp()
        patched = patch.object(EndpointLink, "start")
        patched.start()
        self.addCleanup(patched.stop)
        self.kv = FakeKeyValue()
        token = self.kv.put(OWNER, b"owner")
        self.endpoint_list = EndpointList(self.kv, PoolId("notices"), OWNER, token)
        lock = threading.RLock()
        self.links = PoolLinks(PoolId("notices"), self.endpoint_list, lock, a_closed_link)
        self.assertTrue(self.links.load())
        self.links.load_settled_starts()
        self.entries = {entry.id: entry for entry in (an_endpoint("e1"), an_endpoint("e2"))}
        self.assertTrue(self.links.refresh(self.entries))

    def write_without_answer(self, disturb: Callable) -> None:
        """Have the next write of the list get no answer."""
        self.kv.commits.append(disturb)
        self.assertTrue(self.links.refresh(self.entries))

    def test_an_endpoint_whose_removal_got_no_answer_gets_no_orders_before_it_is_stored(
        self,
    ) -> None:
        """Guards against two runs of one task: the removal had taken effect, so the next owner knew
        nothing of an endpoint that had registered again and got a start."""
        entry = self.entries.pop(E2)
        self.write_without_answer(lose_answer)
        self.entries[E2] = entry
        self.write_without_answer(lose_request)
        self.assertNotIn(E2, self.links.by_id)
        self.assertTrue(self.links.refresh(self.entries))
        self.assertIn(E2, self.links.by_id)
        self.assertIn(b"e2", self.kv.items_by_key["e/notices"].value or b"")

    def test_an_endpoint_at_another_address_gets_no_orders_before_that_is_stored(self) -> None:
        """Guards against two runs of one task: the next owner called the former address, where
        another endpoint told it that this one had ended."""
        self.entries[E2] = an_endpoint("e2", address="10.0.0.1:9")
        self.assertTrue(self.links.refresh(self.entries))
        self.assertNotIn(E2, self.links.by_id)
        self.write_without_answer(lose_request)
        self.assertNotIn(E2, self.links.by_id)
        self.assertTrue(self.links.refresh(self.entries))
        self.assertIn(E2, self.links.by_id)
        self.assertIn(b"10.0.0.1:9", self.kv.items_by_key["e/notices"].value or b"")

    def test_an_endpoint_that_is_in_both_lists_is_kept(self) -> None:
        """Guards against an endpoint that is left out because another's removal got no answer."""
        del self.entries[E2]
        for disturb in (lose_answer, lose_request):
            self.write_without_answer(disturb)
            self.assertEqual({"e1"}, set(self.endpoint_list.address_by_id))
        self.assertTrue(self.links.refresh(self.entries))
        self.assertNotIn(b"e2", self.kv.items_by_key["e/notices"].value or b"")


def a_closed_link(entry: EndpointEntry) -> EndpointLink:
    """Return a link that was closed since another instance uses the endpoint's address."""
    link = EndpointLink(Mock(), entry, FakeEndpoint())
    link.close()
    return link
