"""Owners of a pool that are lost in series, after its endpoints started again and were cut off."""

import contextlib
import enum
import random
import threading
import time
from collections.abc import Callable, Sequence

from standins._order_faults import OrderFault
from standins.users_platform import UsersPlatform
from tests.platform.host_faults import HostFaults

__all__ = ["OwnerChains"]

LATE_SHARE = 0.6
MOST_SHARE = 0.5
UNHEARD_SHARE = 0.7
OUTAGE_SHARE = 0.2
MAX_DARK_S = 0.8
MAX_OUTAGE_S = 1.0
CALM_S = (0.2, 2.0)
"""Time between chains."""
MAX_LEAD_S = 1.5
"""Orders that get no answer are sent before the restart already."""
ORDERS_S = (0.2, 1.8)
"""Time in which the next processes get orders, before they are cut off."""
CUT_S = (7.0, 20.0)
"""Some end before the longest lease of an endpoint, some after that of a late order."""
MAX_GONE_S = 2.0
"""Longer than the entry of a silent endpoint lasts."""
OWNERS = (0, 1, 1, 2, 3)
MAX_JOBS = 4
MAX_TAKE_OVER_S = 4.0
HELD_S = (0.5, 9.0)
POLL_S = 0.02


class _Delay(enum.Enum):
    """Which orders get no answer, and are carried out late, while endpoints start again."""

    NONE = "none"
    SOME = "some"
    STARTS = "starts"
    POLLS = "polls"


ORDER_FAULTS = {
    _Delay.STARTS: ("/run-start", OrderFault.LATE),
    _Delay.POLLS: ("/hold", OrderFault.HELD),
}
"""A start that outlives its process is none: no owner could prevent it before the first poll."""


class OwnerChains:
    """Restarts endpoints of a pool, cuts them off, and then has its owners lost one by one.

    :param submit: submits a job that takes long to a pool; returns once it is answered.
    """

    def __init__(
        self,
        platform: UsersPlatform,
        hosts: HostFaults,
        submit: Callable[[random.Random, str], None],
    ) -> None:
        self._platform = platform
        self._host_faults = hosts
        self._submit = submit
        self._restarting = threading.Lock()
        self._cut_until: dict[str, float] = {}
        self._timers: list[threading.Thread] = []

    def disturb(self, rng: random.Random, stopping: threading.Event, pool: str) -> None:
        """Play chains of a pool's owners until ``stopping`` is set."""
        while not stopping.wait(rng.uniform(*CALM_S)):
            some = self._pick(rng, pool)
            if some:
                self._play(rng, pool, some)
        for timer in self._timers:
            timer.join()

    def _play(self, rng: random.Random, pool: str, hosts: Sequence[str]) -> None:
        # Two pools must not end each other's delays.
        with self._restarting:
            self._restart(rng, pool, hosts)
        self._start_timer(rng.uniform(*HELD_S), self._carry_out_held, hosts)
        self._cut_off(rng, hosts)
        for _ in range(rng.choice(OWNERS)):
            self._lose_owner(rng, pool)
        self._platform.unheard.difference_update(hosts)

    def _pick(self, rng: random.Random, pool: str) -> list[str]:
        """Return some hosts that are reached; not all, so that tasks have where to begin again."""
        now = time.monotonic()
        hosts = [
            host for host in self._platform.hosts_of(pool) if self._cut_until.get(host, 0.0) < now
        ]
        most = len(hosts) - 1
        if most < 1:
            return []
        return rng.sample(hosts, most if rng.random() < MOST_SHARE else rng.randint(1, most))

    def _restart(self, rng: random.Random, pool: str, hosts: Sequence[str]) -> None:
        """Restart endpoints, and let orders reach their next processes."""
        delay = rng.choice(list(_Delay))
        self._begin_delay(rng, delay)
        time.sleep(0.0 if delay is _Delay.NONE else rng.uniform(0.0, MAX_LEAD_S))
        if rng.random() < UNHEARD_SHARE:
            self._platform.unheard.update(hosts)
        is_outage = rng.random() < OUTAGE_SHARE
        self._platform.store.down = is_outage
        dark_s = rng.uniform(0.1, MAX_DARK_S)
        for host in hosts:
            self._platform.restart_endpoint(host, dark_s)
        self._submit_some(rng, pool, dark_s)
        time.sleep(rng.uniform(0.1, MAX_OUTAGE_S) if is_outage else 0.0)
        self._platform.store.down = False
        time.sleep(dark_s + rng.uniform(*ORDERS_S))
        self._platform.order_faults.end()

    def _submit_some(self, rng: random.Random, pool: str, dark_s: float) -> None:
        """Submit some jobs from now on, some of them just as the endpoints are back."""
        for _ in range(rng.randint(1, MAX_JOBS)):
            own_rng = random.Random(rng.getrandbits(64))
            self._start_timer(rng.uniform(0.0, dark_s + 1.0), self._submit, own_rng, pool)

    def _start_timer(self, after_s: float, call: Callable[..., None], *arguments: object) -> None:
        timer = threading.Timer(after_s, call, arguments)
        self._timers.append(timer)
        timer.start()

    def _begin_delay(self, rng: random.Random, delay: _Delay) -> None:
        faults = self._platform.order_faults
        if delay is _Delay.SOME:
            faults.begin(LATE_SHARE, rng, with_polls=True)
        elif delay is not _Delay.NONE:
            faults.begin_one(*ORDER_FAULTS[delay])

    def _cut_off(self, rng: random.Random, hosts: Sequence[str]) -> None:
        """Cut endpoints off, and wait until their entries are gone."""
        names = self._names_of(hosts)
        for host in hosts:
            cut_s = rng.uniform(*CUT_S)
            self._cut_until[host] = time.monotonic() + cut_s
            self._platform.cut_endpoint(host, cut_s)
        _wait(MAX_GONE_S, lambda: not any(self._is_registered(name) for name in names))

    def _names_of(self, hosts: Sequence[str]) -> list[str]:
        names = []
        for host in hosts:
            # A host that moves has no endpoint.
            with contextlib.suppress(KeyError):
                names.append(self._platform.endpoint_of(host))
        return names

    def _is_registered(self, endpoint: str) -> bool:
        return self._platform.value(f"servers/{endpoint}") is not None

    def _carry_out_held(self, hosts: Sequence[str]) -> None:
        for host in hosts:
            # A host that moves has no endpoint.
            with contextlib.suppress(KeyError):
                self._platform.carry_out_held(host)

    def _lose_owner(self, rng: random.Random, pool: str) -> None:
        """Disturb the owner of a pool, and wait for the next one."""
        former = self._host_faults.owner_of(pool)
        self._host_faults.play_on_owner(rng, pool)
        _wait(MAX_TAKE_OVER_S, lambda: self._host_faults.owner_of(pool) not in ("", former))
        time.sleep(rng.uniform(0.0, 1.0))


def _wait(max_s: float, condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, or for some seconds."""
    deadline = time.monotonic() + max_s
    while not condition() and time.monotonic() < deadline:
        time.sleep(POLL_S)
