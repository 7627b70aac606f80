"""To whom an entry host tells its news, and when."""

import zlib
from collections.abc import Sequence

import msgspec

from lentilrill.ids import PoolId, ProcessId
from lentilrill.inner import PoolPressure
from lentilrill.ownership import MemberRecord

__all__ = ["REFRESH_S", "TELL_EVERY_S", "BriefTurn", "brief", "neighbours"]

TELL_EVERY_S = 0.3
"""Least time between two tellings to the same host, but for a need that has risen."""
REFRESH_S = 0.7
"""Time after which news are told again though nothing has changed: half of the time for which they
count, so that one lost message changes nothing."""
NEIGHBOURS = 2
"""Hosts that each host tells its version of the configuration, whatever it owns."""
WAIT_STEP_S = 0.2
LATE_STEP_S = 1.0
"""Changes of a pool's waits that matter to whoever takes jobs for it."""


def neighbours(me: ProcessId, peers: Sequence[MemberRecord]) -> list[MemberRecord]:
    """Return the hosts that follow ``me`` on a ring of all hosts.

    Load pattern: hundreds of entry hosts at rest. Told from each to each, news cost every host
    more with each host that there is. Each knows a few others instead, so that a host which the
    store turns away still gets a newer configuration from one that it does not.
    """

    def distance(peer: MemberRecord) -> int:
        return (_place(peer.process) - _place(me)) & 0xFFFFFFFF

    return sorted(peers, key=distance)[:NEIGHBOURS]


def _place(process: ProcessId) -> int:
    return zlib.crc32(process.encode())


def brief(pressure: PoolPressure) -> PoolPressure:
    """Return what whoever takes jobs needs of a pool's pressure.

    The lists of endpoints, most of its bytes, are for the fleet's owner alone.
    """
    return msgspec.structs.replace(pressure, idle=(), late=(), light=())


class BriefTurn:
    """Decides when others are told of the pressure of the own pools, if there are any.

    Load pattern: at rest pressure does not change, and telling all hosts of each pool is most of
    what its owner sends. In a surge its wait changes by tenths of a second from round to round, and
    a host that takes jobs by an old one takes on too many.
    """

    def __init__(self) -> None:
        self._told_at = 0.0
        self._told_by_pool: dict[PoolId, PoolPressure] = {}

    def is_due(self, pressures: tuple[PoolPressure, ...], now: float) -> bool:
        """Whether to tell now."""
        since_s = now - self._told_at
        if since_s < TELL_EVERY_S:
            return False
        return since_s >= REFRESH_S or any(self._has_changed(each) for each in pressures)

    def told(self, pressures: tuple[PoolPressure, ...], now: float) -> None:
        """Note that they were told."""
        self._told_at = now
        self._told_by_pool = {pressure.pool: pressure for pressure in pressures}

    def _has_changed(self, pressure: PoolPressure) -> bool:
        before = self._told_by_pool.get(pressure.pool)
        return (
            before is None
            or abs(pressure.wait_s - before.wait_s) >= WAIT_STEP_S
            or abs(pressure.late_wait_s - before.late_wait_s) >= LATE_STEP_S
        )
