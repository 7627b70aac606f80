"""Processor time and memory of a scheduler and of a gateway's slots, by size.

``python -m bench.routing_costs``
"""

import itertools
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from lentilrill.ids import HostId, Incarnation, PlanId, PoolId, ProcessId, RequestId, ZoneId
from lentilrill.inner import Ask, Done, Granted, Verdict
from lentilrill.routing._pool_config import PlanLimits, PoolConfig
from lentilrill.routing._queue import GatewayInstance
from lentilrill.routing._scheduler import PoolScheduler, Reply
from tests import builders
from tests.routing.site import Fleet, Gateway, Members, a_job

POOL, ZONE = PoolId("schools"), ZoneId("z1")
GW = GatewayInstance(ProcessId("gw-1"), Incarnation(1), "gw-1")
SLOTS = 8
GRANTS = 20_000
HOSTS = (8, 80, 400)
QUEUES = (0, 1_000, 10_000)
PLANS = (4, 48)
JOBS = 3_000
CALLERS = 16

_requests = itertools.count()


def show(figure: str, value: float, unit: str, **context: int) -> None:
    """Print one figure as a line of JSON."""
    line = {"bench": "routing_costs", "figure": figure, "value": round(value, 3), "unit": unit}
    print(json.dumps(line | context), flush=True)


def a_scheduler(hosts: int, plans: int) -> PoolScheduler:
    """Return a scheduler with ``hosts`` hosts and ``plans`` plans, without limits."""
    scheduler = PoolScheduler(POOL, ZONE, 1, set(), time.monotonic, random.Random(1))
    slots = {HostId(f"h{n}"): SLOTS for n in range(hosts)}
    limits_by_plan = {PlanId(f"p{n}"): PlanLimits(queue=10**9) for n in range(plans)}
    scheduler.configure(PoolConfig(slots, limits_by_plan))
    return scheduler


def an_ask(plans: int) -> Ask:
    """Return a request for a slot; plans and urgencies take turns."""
    number = next(_requests)
    plan = PlanId(f"p{number % plans}")
    return Ask(RequestId(f"request-{number}"), POOL, plan, number % 3, 600.0, GW.address)


def done_message(granted: Granted) -> Done:
    """Return the message that ends a grant."""
    plan = PlanId("p0")
    return Done(granted.pool, granted.grant, granted.host, plan, Verdict.OK, 0.001)


def grants(replies: list[Reply]) -> list[Granted]:
    """Return the grants in ``replies``."""
    return [reply.message for reply in replies if isinstance(reply.message, Granted)]


def saturated_scheduler(hosts: int, queue: int, plans: int) -> tuple[PoolScheduler, list[Granted]]:
    """Return a scheduler with every slot granted and ``queue`` asks waiting."""
    scheduler = a_scheduler(hosts, plans)
    granted_slots = [grants(scheduler.ask(an_ask(plans), GW))[0] for _ in range(hosts * SLOTS)]
    for granted in granted_slots:
        scheduler.on_done(done_message(granted))
    granted_slots = [grants(scheduler.ask(an_ask(plans), GW))[0] for _ in range(hosts * SLOTS)]
    for _ in range(queue):
        scheduler.ask(an_ask(plans), GW)
    return scheduler, granted_slots


def show_grant_cost(hosts: int, queue: int, plans: int) -> None:
    """Print the cost of one ask, grant and report at a constant queue length."""
    scheduler, granted_slots = saturated_scheduler(hosts, queue, plans)
    asks = [an_ask(plans) for _ in range(GRANTS)]
    start = time.process_time()
    for n, ask in enumerate(asks):
        if queue:
            granted_slots.extend(grants(scheduler.ask(ask, GW)))
            granted_slots.extend(grants(scheduler.on_done(done_message(granted_slots[n]))))
        else:
            scheduler.on_done(done_message(granted_slots[n]))
            granted_slots.extend(grants(scheduler.ask(ask, GW)))
    cost = (time.process_time() - start) / GRANTS
    show("ask, grant and report", cost * 1e6, "us", hosts=hosts, queue=queue, plans=plans)


def show_cancel_cost(queue: int) -> None:
    """Print the cost of each cancellation when the whole queue is cancelled."""
    scheduler = a_scheduler(200, 4)
    requests = []
    while scheduler.waiting < queue:
        ask = an_ask(4)
        scheduler.ask(ask, GW)
        requests.append(ask.request)
    random.Random(1).shuffle(requests)
    start = time.process_time()
    for request in requests:
        scheduler.cancel(request, GW)
    cost = (time.process_time() - start) / len(requests)
    show("cancellation, all at once", cost * 1e6, "us", queue=queue)


def show_memory() -> None:
    """Print the memory of a queued ask and of a grant."""
    asks = [an_ask(4) for _ in range(10_000)]
    scheduler, _ = saturated_scheduler(400, 0, 4)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for ask in asks:
        scheduler.ask(ask, GW)
    used = tracemalloc.get_traced_memory()[0] - before
    show("queued ask", used / scheduler.waiting, "bytes", queue=scheduler.waiting)
    scheduler = a_scheduler(400, 4)
    before = tracemalloc.get_traced_memory()[0]
    for ask in asks[: 400 * SLOTS]:
        scheduler.ask(ask, GW)
    used = tracemalloc.get_traced_memory()[0] - before
    show("grant", used / scheduler.running, "bytes", running=scheduler.running)
    tracemalloc.stop()


def show_tick_cost(hosts: int, queue: int) -> None:
    """Print the cost of a tick that sweeps, which happens once a second."""
    scheduler, _ = saturated_scheduler(hosts, queue, 4)
    start = time.process_time()
    for n in range(20):
        alive = {GW, GatewayInstance(ProcessId("other"), Incarnation(n), "other")}
        scheduler.tick(alive, lambda gateway: False)
    cost = (time.process_time() - start) / 20
    show("sweep", cost * 1e3, "ms", hosts=hosts, queue=queue)


def show_slots_cost() -> None:
    """Print the cost of one job for a gateway, with a local and with a remote scheduler."""
    keys, members, fleet = builders.inner_keys(), Members(), Fleet()
    fleet.hosts(*(builders.an_entry(f"h{n}") for n in range(8)))
    gateways = [Gateway(f"gw-{n}", keys, members, fleet) for n in range(2)]
    fleet.register(*members.living)
    for gateway in gateways:
        gateway.routing.placement.refresh()
        gateway.start()
    for gateway in gateways:
        own = gateway.routing.placement.is_mine(POOL)
        run_one_job(gateway)
        seconds, cpu = time_steps(lambda gateway=gateway: run_one_job(gateway), JOBS)
        name = "slot from own scheduler" if own else "slot from another process's scheduler"
        show(f"{name}, processor", cpu * 1e6, "us a job, both ends")
        show(f"{name}, wait", seconds * 1e6, "us a job, one at a time")
        _, cpu = time_steps(lambda gateway=gateway: run_concurrent_jobs(gateway), 1)
        at_once = f"us a job, both ends, {CALLERS} callers"
        show(f"{name}, processor", cpu / JOBS * 1e6, at_once)
    for gateway in gateways:
        gateway.close()


def run_one_job(gateway: Gateway) -> None:
    """Acquire, start and release one slot."""
    slot = gateway.slots.acquire(a_job(time.monotonic() + 10.0)).unwrap()
    gateway.slots.start(slot).unwrap()
    gateway.slots.release(slot, Verdict.OK, 0.001)


def run_concurrent_jobs(gateway: Gateway) -> None:
    """Acquire, start and release slots from many threads."""
    with ThreadPoolExecutor(CALLERS) as threads:
        for _ in range(JOBS):
            threads.submit(run_one_job, gateway)


def time_steps(step: Callable[[], None], count: int) -> tuple[float, float]:
    """Return wall and processor seconds of each of ``count`` steps."""
    wall, cpu = time.monotonic(), time.process_time()
    for _ in range(count):
        step()
    return (time.monotonic() - wall) / count, (time.process_time() - cpu) / count


def main() -> None:
    """Print all figures."""
    for hosts in HOSTS:
        show_grant_cost(hosts, 0, 4)
    for queue in QUEUES:
        show_grant_cost(400, queue, 4)
    for plans in PLANS:
        show_grant_cost(400, 1_000, plans)
    for queue in QUEUES[1:]:
        show_cancel_cost(queue)
        show_tick_cost(400, queue)
    show_memory()
    show_slots_cost()


if __name__ == "__main__":
    main()
