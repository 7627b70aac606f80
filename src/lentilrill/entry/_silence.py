"""Whether the store is silent for everybody, or only for some hosts."""

import msgspec

from lentilrill.ids import ProcessId

__all__ = ["FRESH_S", "SILENT_S", "StoreSilence"]

FRESH_S = 1.6
"""How long a host's word counts: five rounds of news, so that some lost messages change nothing."""
SILENT_S = 0.9
"""Silence of the store after which a host counts it as away: two renewals without an answer."""
REMEMBERED_S = 30.0
"""How long a host counts as one that may claim after it was last heard of: longer than an outage in
which all leases run out and all hosts register anew, at most a few seconds after each other."""


class _Said(msgspec.Struct):
    """What a host said last, and when, by this process's monotonic clock."""

    at: float
    silent_s: float


class StoreSilence:
    """What the entry hosts say of the store, and which hosts there are.

    Hosts are remembered beyond their registration. Guard against two owners of one shard: leases
    run out in an outage, so that just after it the store names few hosts. If a zone is cut off in
    that moment, its hosts would be most of those that are named, take the cut for an outage, and
    go on ordering beside the owners that the others claim.
    """

    def __init__(self) -> None:
        self._said_by_process: dict[ProcessId, _Said] = {}
        self._seen_by_process: dict[ProcessId, float] = {}

    def seen(self, process: ProcessId, now: float) -> None:
        """Note that a host is registered."""
        self._seen_by_process[process] = now

    def said(self, process: ProcessId, silent_s: float, now: float) -> None:
        """Note for how long the store has been silent for another host, as it says."""
        self._said_by_process[process] = _Said(now, silent_s)
        self.seen(process, now)

    def is_everywhere(self, own_silent_s: float, now: float) -> bool:
        """Return whether the store is silent for most hosts and nobody says otherwise.

        One host that reaches the store can claim what this one owns, so its word is enough.
        """
        if own_silent_s < SILENT_S:
            return False
        self._forget(now)
        fresh = [said for said in self._said_by_process.values() if now - said.at < FRESH_S]
        if any(said.silent_s < SILENT_S for said in fresh):
            return False
        return (len(fresh) + 1) * 2 > len(self._seen_by_process) + 1

    def _forget(self, now: float) -> None:
        for process, at in list(self._seen_by_process.items()):
            if now - at > REMEMBERED_S:
                del self._seen_by_process[process]
                self._said_by_process.pop(process, None)
