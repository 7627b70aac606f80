"""Seconds from an acknowledged change of the configuration until every entry host goes by it.

Run as ``python -m bench.entry_config [--hosts N] [--changes N]``. Real entry hosts on the stand-in
of the users' platform. Each change takes a key away; a host goes by it once it answers 401 to a
call with that key. Measured calm, amid other changes, and while the store refuses some calls.
"""

import argparse
import itertools
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from bench import figure
from standins.users_platform import UsersPlatform
from tests.platform.site import EntrySite

__all__ = ["main"]

QUEUES = {"/proofs/": "notices"}
PATH = "/proofs/" + "a" * 16
ASK_INTERVAL_S = 0.005
TIMEOUT_S = 15.0
STORM_INTERVAL_S = 0.1
REFUSED_NTH = 3
UNAUTHORIZED = "401"


class _KeyedSite:
    """Entry hosts whose workspace has one key, replaced by each change."""

    def __init__(self, hosts: int) -> None:
        self.platform = UsersPlatform()
        self.site = EntrySite(self.platform, hosts)
        self._versions = itertools.count(1)
        self._names = itertools.count(1)
        self._lock = threading.Lock()
        self.key = ""

    def start(self) -> None:
        self.platform.add_host("notices")
        self.replace_key()
        if not self.site.start_all():
            raise TimeoutError("not all entry hosts became ready")

    def close(self) -> None:
        self.site.close()
        self.platform.close()

    def replace_key(self) -> tuple[str, float]:
        """Replace the key; return the former one and the time of the store's answer."""
        with self._lock:
            former, self.key = self.key, f"key-{next(self._names)}"
            self._write()
            return former, time.monotonic()

    def write_again(self) -> None:
        """Write a new version without a change of the keys."""
        with self._lock:
            self._write()

    def _write(self) -> None:
        workspaces = {"schools": {"api_keys": [self.key], "cap": {"cpu": 0}}}
        self.platform.configure(next(self._versions), QUEUES, workspaces=workspaces)

    def seconds_until_refused(self, name: str, key: str, since: float) -> float:
        """Return the seconds after which a host refuses a key."""
        while self.site.state(name, PATH, key) != UNAUTHORIZED:
            if time.monotonic() - since > TIMEOUT_S:
                raise TimeoutError(f"{name} still knows a key that was taken away")
            time.sleep(ASK_INTERVAL_S)
        return time.monotonic() - since


def _measure(keyed: _KeyedSite, changes: int, how: str) -> None:
    names = list(keyed.site.settings)
    latest: list[float] = []
    with ThreadPoolExecutor(len(names)) as pool:
        for _ in range(changes):
            key, acked_at = keyed.replace_key()
            waits = pool.map(
                lambda name, key=key, at=acked_at: keyed.seconds_until_refused(name, key, at), names
            )
            latest.append(max(waits))
    context = {"how": how, "changes": changes, "hosts": len(names)}
    cuts = statistics.quantiles(latest, n=100, method="inclusive")
    figure("entry_config", "last_host_p50", round(cuts[49], 3), "s", **context)
    figure("entry_config", "last_host_p99", round(cuts[98], 3), "s", **context)
    figure("entry_config", "last_host_max", round(max(latest), 3), "s", **context)


def _measure_in_storm(keyed: _KeyedSite, changes: int) -> None:
    ended = threading.Event()

    def write_versions() -> None:
        while not ended.wait(STORM_INTERVAL_S):
            keyed.write_again()

    writer = threading.Thread(target=write_versions)
    writer.start()
    try:
        _measure(keyed, changes, "amid ten other changes a second")
    finally:
        ended.set()
        writer.join()


def main() -> None:
    """Measure and print one line per figure."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--changes", type=int, default=40)
    options = parser.parse_args()
    keyed = _KeyedSite(options.hosts)
    try:
        keyed.start()
        _measure(keyed, options.changes, "calm")
        _measure_in_storm(keyed, options.changes)
        keyed.platform.store.refuse_every_nth = REFUSED_NTH
        _measure(keyed, options.changes, f"one store call in {REFUSED_NTH} refused")
    finally:
        keyed.close()


if __name__ == "__main__":
    main()
