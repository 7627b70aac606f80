"""Which queue a job belongs to now, and what that means for it."""

from collections.abc import Callable, Collection

from lentilrill.execution._tracking import TrackedJob
from lentilrill.ids import QueueId
from lentilrill.workloads import Advice, Configuration, Queue

__all__ = ["JobOfQueue", "JobQueues", "deadline_ms", "needs_tickets"]

JobOfQueue = tuple[TrackedJob, Queue | None]
"""A job and its queue, if that is known."""

_Address = tuple[str, str]
"""Host and path prefix, which select a queue and stay when it is renamed."""


class JobQueues:
    """Finds the queues of jobs. Called under the lock of the pool's owner.

    A queue is known to callers by its address, so a job belongs to the queue that has the address
    of its own one now, whatever its id. If no queue has it, the terms in the job's record hold.

    :param configuration: returns the configuration in force.
    """

    def __init__(self, configuration: Callable[[], Configuration | None]) -> None:
        self._configuration = configuration
        self._indexed: Configuration | None = None
        self._by_address: dict[_Address, Queue] = {}
        self._by_id: dict[QueueId, Queue] = {}

    def queue_of(self, tracked_job: TrackedJob) -> Queue | None:
        """Return the queue of a job.

        :return: ``None`` if its queue isn't configured any more and an earlier version accepted it,
            which stored no terms.
        """
        self._index()
        job, terms = tracked_job.job, tracked_job.job.terms
        if terms is not None and (queue := self._by_address.get((terms.host, terms.prefix))):
            return queue
        if queue := self._by_id.get(job.queue):
            return queue
        if terms is None:
            return None
        return Queue(
            job.queue,
            terms.host,
            terms.prefix,
            job.pool,
            terms.priority,
            job.attempts,
            terms.stretch,
            terms.objective_ms,
            advice=Advice() if terms.is_advised else None,
        )

    def ids_of(self, tracked_job: TrackedJob) -> Collection[QueueId]:
        """Return the ids of the queues that a job counts for, as callers ask for them.

        A host that doesn't have the newest configuration yet asks for a renamed queue by the id
        that it had, which the job keeps.
        """
        own_id = tracked_job.job.queue
        queue = self.queue_of(tracked_job)
        if queue is None or queue.id == own_id:
            return (own_id,)
        return (queue.id,) if own_id in self._by_id else (queue.id, own_id)

    def attempts(self, tracked_job: TrackedJob) -> int:
        """Return the number of failed runs after which a task of a job is given up."""
        queue = self.queue_of(tracked_job)
        return queue.max_attempts if queue is not None else tracked_job.job.attempts

    def _index(self) -> None:
        configuration = self._configuration()
        if configuration is self._indexed:
            return
        queues = configuration.queues if configuration is not None else ()
        self._by_address = {(queue.host, queue.prefix): queue for queue in queues}
        self._by_id = {queue.id: queue for queue in queues}
        self._indexed = configuration


def deadline_ms(queue: Queue | None, path_ms: float) -> float:
    """Return the time that a job may take by its queue.

    :param path_ms: duration of its critical path.
    """
    if queue is None:
        return path_ms
    return queue.stretch * path_ms + queue.objective_ms


def needs_tickets(tracked_job: TrackedJob, queue: Queue | None) -> bool:
    """Whether starts of a job need tickets: by its queue, or since an endpoint refused one without.

    :param queue: queue of the job, if known.
    """
    return tracked_job.is_ticket_required or (queue is not None and queue.advice is not None)
