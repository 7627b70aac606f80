"""Which entry hosts get the status of this one, and when."""

import zlib
from collections.abc import Sequence

import msgspec

from lentilrill.ids import PoolId, ProcessId
from lentilrill.inner import PoolPressure
from lentilrill.ownership import MemberRecord

__all__ = ["REFRESH_INTERVAL_S", "SEND_INTERVAL_S", "BroadcastSchedule", "neighbours", "summarize"]

SEND_INTERVAL_S = 0.3
"""Minimum time between two messages to the same host, except when a pool's need has risen."""
REFRESH_INTERVAL_S = 0.7
"""Time after which an unchanged status is sent again: less than half of the time for which it is
valid, so that one lost message has no effect."""
NEIGHBOUR_COUNT = 2
"""Number of hosts that get this host's configuration version even if it owns no shard."""
WAIT_CHANGE_S = 0.2
OVERDUE_WAIT_CHANGE_S = 1.0
"""Changes of a pool's waiting times that matter to hosts that accept jobs for it."""


def neighbours(me: ProcessId, peers: Sequence[MemberRecord]) -> list[MemberRecord]:
    """Return the hosts that follow ``me`` on a ring of all hosts.

    With hundreds of idle entry hosts, sending from each to each would cost every host more with
    each additional one. A few neighbours are enough for a host that the store refuses to serve to
    get a newer configuration from one that it serves.
    """

    def distance(peer: MemberRecord) -> int:
        return (_ring_position(peer.process) - _ring_position(me)) & 0xFFFFFFFF

    return sorted(peers, key=distance)[:NEIGHBOUR_COUNT]


def _ring_position(process: ProcessId) -> int:
    return zlib.crc32(process.encode())


def summarize(pressure: PoolPressure) -> PoolPressure:
    """Return a pool's pressure reduced to what hosts need to accept jobs.

    The lists of endpoints make up most of its size, and only the fleet's owner needs them.
    """
    return msgspec.structs.replace(pressure, idle=(), late=(), light=())


class BroadcastSchedule:
    """Decides when to send the pressure of this host's pools, if any, to the other hosts.

    At rest the pressure does not change, and sending it to all hosts is most of a pool owner's
    traffic. In a surge the wait changes by tenths of a second from round to round, and a host with
    an outdated value accepts too many jobs.
    """

    def __init__(self) -> None:
        self._sent_at = 0.0
        self._sent_by_pool: dict[PoolId, PoolPressure] = {}

    def is_due(self, pressures: tuple[PoolPressure, ...], now: float) -> bool:
        """Whether to send now."""
        elapsed_s = now - self._sent_at
        if elapsed_s < SEND_INTERVAL_S:
            return False
        return elapsed_s >= REFRESH_INTERVAL_S or any(self._has_changed(each) for each in pressures)

    def record_sent(self, pressures: tuple[PoolPressure, ...], now: float) -> None:
        """Record that ``pressures`` were sent."""
        self._sent_at = now
        self._sent_by_pool = {pressure.pool: pressure for pressure in pressures}

    def _has_changed(self, pressure: PoolPressure) -> bool:
        before = self._sent_by_pool.get(pressure.pool)
        return (
            before is None
            or abs(pressure.wait_s - before.wait_s) >= WAIT_CHANGE_S
            or abs(pressure.late_wait_s - before.late_wait_s) >= OVERDUE_WAIT_CHANGE_S
            or _is_short(pressure) != _is_short(before)
        )


def _is_short(pressure: PoolPressure) -> bool:
    return pressure.workspaces is not None and pressure.workspaces.is_short
