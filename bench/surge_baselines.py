"""Other algorithms that distribute jobs over hosts, for the surge benchmark."""

import heapq
import random
from collections import deque

from bench.surge_load import HOSTS, POOLS, SLOTS, Endpoint, Events, Job

__all__ = ["GATEWAYS", "HOP_S", "PLAN_QUEUE", "PartitionedHosts", "RandomHost"]

HOP_S = 0.0003
GATEWAYS = 7
PLAN_QUEUE = 5000


class RandomHost:
    """Baseline: each gateway sends jobs to random hosts, limited only by its own jobs there.

    :param limit: maximum number of jobs of one gateway on a host.
    """

    def __init__(self, events: Events, limit: int, seed: int) -> None:
        self._events = events
        self._limit = limit
        self._rng = random.Random(seed)
        self._endpoints = {
            (pool, host): Endpoint(events) for pool in POOLS for host in range(HOSTS)
        }
        self._counts: dict[tuple[int, str, int], int] = {}
        self._queues: dict[tuple[int, str], deque[Job]] = {}

    def arrive(self, job: Job) -> None:
        """Handle the arrival of a job at a gateway."""
        queue = self._queues.setdefault((job.gateway, job.pool), deque())
        if len(queue) >= PLAN_QUEUE:
            job.refused = True
            return
        queue.append(job)
        self._send(job.gateway, job.pool)

    def _send(self, gateway: int, pool: str) -> None:
        queue = self._queues[gateway, pool]
        while queue:
            hosts = [h for h in range(HOSTS) if self._count(gateway, pool, h) < self._limit]
            if not hosts:
                return
            job = queue.popleft()
            if self._events.now - job.arrived > job.kind.wait_s:
                job.refused = True
                continue
            host = self._rng.choice(hosts)
            self._counts[gateway, pool, host] = self._count(gateway, pool, host) + 1
            self._events.after(HOP_S, lambda j=job, h=host: self._on_arrival(j, h))

    def _on_arrival(self, job: Job, host: int) -> None:
        endpoint = self._endpoints[job.pool, host]
        if not endpoint.run(
            job, lambda: self._events.after(HOP_S, lambda: self._on_end(job, host))
        ):
            job.refused = True
            self._on_end(job, host)

    def _on_end(self, job: Job, host: int) -> None:
        self._counts[job.gateway, job.pool, host] -= 1
        self._send(job.gateway, job.pool)

    def _count(self, gateway: int, pool: str, host: int) -> int:
        return self._counts.get((gateway, pool, host), 0)


class PartitionedHosts:
    """Baseline: the slots of each host belong to one gateway, its home.

    A gateway forwards a job to the home of a random host, which queues by urgency and deadline.
    The order is right for each host, but not for the pool.
    """

    def __init__(self, events: Events, seed: int) -> None:
        self._events = events
        self._rng = random.Random(seed)
        self._homes = {
            (pool, host): (Endpoint(events), []) for pool in POOLS for host in range(HOSTS)
        }
        self._free = dict.fromkeys(self._homes, SLOTS)

    def arrive(self, job: Job) -> None:
        """Handle the arrival of a job at a gateway, which forwards it."""
        home = (job.pool, self._rng.randrange(HOSTS))
        self._events.after(HOP_S, lambda: self._queue(job, home))

    def _queue(self, job: Job, home: tuple[str, int]) -> None:
        _, queue = self._homes[home]
        if len(queue) >= PLAN_QUEUE:
            job.refused = True
            return
        due = job.arrived + job.kind.wait_s
        heapq.heappush(queue, (job.kind.urgency, due, job.id, job))
        self._start(home)

    def _start(self, home: tuple[str, int]) -> None:
        endpoint, queue = self._homes[home]
        while queue and self._free[home]:
            _, due, _, job = heapq.heappop(queue)
            if due < self._events.now:
                job.refused = True
                continue
            self._free[home] -= 1
            self._events.after(HOP_S, lambda job=job: endpoint.run(job, lambda: self._on_end(home)))

    def _on_end(self, home: tuple[str, int]) -> None:
        def ended() -> None:
            self._free[home] += 1
            self._start(home)

        self._events.after(HOP_S, ended)
