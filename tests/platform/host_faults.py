"""Faults of entry hosts that a soak plays."""

import functools
import random
import threading
import time
from collections.abc import Collection

from standins.users_platform import UsersPlatform
from tests.platform.site import EntrySite

__all__ = ["HostFaults"]

OWNER_SHARE = 0.6
MAX_DOWN_S = 1.0
MAX_RESTART_S = 0.5
HANG_S = (0.3, 3.0)
OWNER_HANG_S = (1.0, 5.0)
"""Most are longer than an owner's lease."""


class HostFaults:
    """Disturbs the entry hosts of a site, preferably those that own a pool.

    :param pools: pools whose owners are disturbed.
    """

    def __init__(self, site: EntrySite, platform: UsersPlatform, pools: Collection[str]) -> None:
        self._site = site
        self._platform = platform
        self._pools = tuple(pools)
        self._locks = {name: threading.Lock() for name in site.settings}

    def owner_of(self, pool: str) -> str:
        """Return the entry host that owns a pool, or an empty string."""
        return str((self._platform.value(f"m/o/{pool}") or {}).get("process", ""))

    def play_one(self, rng: random.Random) -> None:
        """Play one fault of any entry host."""
        owner = self.owner_of(rng.choice(self._pools))
        is_owner = owner and rng.random() < OWNER_SHARE
        self._play(rng, owner if is_owner else rng.choice(list(self._site.settings)))

    def play_on_owner(self, rng: random.Random, pool: str) -> None:
        """Play one fault of the entry host that owns a pool, if any does; it hangs longer."""
        owner = self.owner_of(pool)
        if owner:
            self._play(rng, owner, OWNER_HANG_S)

    def _play(self, rng: random.Random, name: str, hang_s: tuple[float, float] = HANG_S) -> None:
        faults = (self._kill, self._restart, functools.partial(self._suspend, hang_s=hang_s))
        with self._locks[name]:
            rng.choice(faults)(rng, name)

    def _kill(self, rng: random.Random, name: str) -> None:
        self._site.kill(name)
        time.sleep(rng.uniform(0.0, MAX_DOWN_S))
        self._site.start(name)

    def _restart(self, rng: random.Random, name: str) -> None:
        self._site.end(name)
        time.sleep(rng.uniform(0.0, MAX_RESTART_S))
        self._site.start(name)

    def _suspend(self, rng: random.Random, name: str, hang_s: tuple[float, float]) -> None:
        self._site.hang(name)
        time.sleep(rng.uniform(*hang_s))
        self._site.resume(name)
