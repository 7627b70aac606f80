"""Pools that queues had in earlier configurations."""

from testtools import TestCase

from lentilrill.entry import _queue_pools
from lentilrill.entry._queue_pools import MAX_POOLS, QueuePools
from lentilrill.ids import PoolId, QueueId
from lentilrill.workloads import Configuration
from tests.builders import a_configuration

QUEUE = QueueId("proofs")
POOLS = [PoolId(name) for name in ("notices", "library", "ballots")]


def in_pool(pool: PoolId, **changes: object) -> Configuration:
    return a_configuration(pool=pool, **changes)


class QueuePoolsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pools = QueuePools()

    def record(self, *configurations: Configuration) -> Configuration:
        for configuration in configurations:
            self.pools.record(configuration)
        return configurations[-1]

    def test_newest_first(self) -> None:
        last = self.record(*(in_pool(pool) for pool in POOLS))
        self.assertEqual((POOLS[1], POOLS[0]), self.pools.former(last, QUEUE))

    def test_there_and_back(self) -> None:
        last = self.record(in_pool(POOLS[0]), in_pool(POOLS[1]), in_pool(POOLS[0]))
        self.assertEqual((POOLS[1],), self.pools.former(last, QUEUE))

    def test_a_queue_that_is_added_again_under_another_id(self) -> None:
        """Guards against a forgotten pool where a version between had no such queue."""
        between = a_configuration(prefix="/books/")
        last = self.record(in_pool(POOLS[0]), between, in_pool(POOLS[1], id=QueueId("again")))
        self.assertEqual((POOLS[0],), self.pools.former(last, QueueId("again")))

    def test_it_is_bounded(self) -> None:
        """Guards against memory that grows with the changes of the configuration."""
        last = self.record(*(in_pool(PoolId(f"p{n}")) for n in range(3 * MAX_POOLS)))
        self.assertEqual(MAX_POOLS - 1, len(self.pools.former(last, QUEUE)))
        self.patch(_queue_pools, "MAX_REMOVED_QUEUES", 3)
        last = self.record(*(a_configuration(prefix=f"/{n}/") for n in range(9)))
        self.assertEqual(1 + 3, len(self.pools._pools_by_address))

    def test_an_unknown_queue_had_none(self) -> None:
        self.assertEqual((), self.pools.former(None, QUEUE))
        self.assertEqual((), self.pools.former(in_pool(POOLS[0]), QUEUE))
