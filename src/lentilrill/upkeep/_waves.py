"""The owner of the fleet: takes the hosts of a wave down, a few at a time, once they are empty."""

import itertools
import threading
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Protocol

import msgspec
from returns.result import Failure

from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, Revision
from lentilrill.inner import Message, ReleaseAsk, ReleaseState, ReleaseTold
from lentilrill.ownership import Shard
from lentilrill.store import Compare, KeyValue, Put
from lentilrill.telemetry import Event, guarded, log
from lentilrill.upkeep._contract import HostCalls, HostOrder, HostRow, HostState
from lentilrill.workloads import Wave

__all__ = ["FLEET", "WaveRunner"]

FLEET = Shard("@fleet")
"""The shard whose owner gives orders to hosts: one for all pools, since a wave spans them."""
LOOK_S = 0.25
"""Pause between two rounds while a wave is on; each is one call to the list of hosts."""
IDLE_S = 0.5
GONE_LOOKS = 8
"""Rounds in which a host is missing from the list before it counts as gone for good."""


class Stage(Enum):
    """Where a host of a wave is."""

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    """Its order was sent; it counts as down until the list shows it up again."""
    DONE = "done"


class _HostInWave:
    __slots__ = ("endpoint", "missing", "reason", "seen_down", "stage")

    def __init__(self) -> None:
        self.stage = Stage.WAITING
        self.endpoint = EndpointId("")
        self.missing = 0
        self.reason = ""
        self.seen_down = False


class _Peers(Protocol):
    def send(self, address: str, message: Message) -> None:
        """Send a message, which may be lost."""


class WaveRunner(threading.Thread):
    """Runs all waves while this process owns the fleet.

    :param waves: waves that operators have declared, by number.
    :param owner_address: inner address of a pool's owner; empty if there is none.
    :param state_key: key under which operators read a wave's state.
    :param state_value: that state's value, by whether the wave is through.
    """

    def __init__(
        self,
        kv: KeyValue,
        hosts: HostCalls,
        peers: _Peers,
        process: ProcessId,
        token: Revision,
        owner_key: str,
        waves: Callable[[], dict[int, Wave]],
        owner_address: Callable[[PoolId], str],
        may_order: Callable[[], bool],
        refused: Callable[[str], None],
        state_key: Callable[[int], str],
        state_value: Callable[[bool], bytes],
    ) -> None:
        super().__init__(name="waves", daemon=True)
        self._kv = kv
        self._hosts = hosts
        self._peers = peers
        self._process = process
        self._token = token
        self._owner_key = owner_key
        self._waves = waves
        self._owner_address = owner_address
        self._may_order = may_order
        self._refused = refused
        self._state_key = state_key
        self._state_value = state_value
        self._ended = threading.Event()
        self._asks = itertools.count(1)
        self._told_by_endpoint: dict[EndpointId, ReleaseTold] = {}
        self._hosts_by_wave: dict[int, dict[HostId, _HostInWave]] = {}
        self._completed: set[int] = set()
        self._running: set[int] = set()

    def close(self) -> None:
        """Stop ordering at once."""
        self._ended.set()

    def told(self, message: ReleaseTold) -> None:
        """Take the answer of a pool's owner."""
        self._told_by_endpoint[message.endpoint] = message

    def run(self) -> None:
        """Run waves until closed."""
        while not self._ended.is_set() and not self._load():
            self._ended.wait(IDLE_S)
        while not self._ended.is_set():
            waves = [w for n, w in sorted(self._waves().items()) if n not in self._completed]
            if waves and self._may_order():
                guarded("waves", partial(self._round, waves))
            self._ended.wait(LOOK_S if waves else IDLE_S)

    def _load(self) -> bool:
        """Read how far a former owner of the fleet came."""
        read = self._kv.read("w/")
        if isinstance(read, Failure):
            return False
        for item in read.unwrap().items:
            if item.value is None:
                continue
            number = int(item.key.removeprefix("w/"))
            kept = msgspec.json.decode(item.value, type=dict[str, Stage])
            self._running.add(number)
            hosts = self._hosts_by_wave.setdefault(number, {})
            for host, stage in kept.items():
                state = hosts.setdefault(HostId(host), _HostInWave())
                # An order whose outcome was not kept is given again once the host is empty: the
                # platform answers at once if it was carried out before.
                state.stage = Stage.DONE if stage is Stage.DONE else Stage.WAITING
            if kept and all(stage is Stage.DONE for stage in kept.values()):
                self._completed.add(number)
        return True

    def _round(self, waves: list[Wave]) -> None:
        listed = self._hosts.hosts()
        if isinstance(listed, Failure):
            return
        rows = {row.id: row for row in listed.unwrap()}
        for wave in waves:
            if self._ended.is_set():
                return
            hosts = self._hosts_by_wave.setdefault(wave.number, {})
            for host in wave.hosts:
                hosts.setdefault(host, _HostInWave())
            if wave.number not in self._running and not self._begin(wave):
                continue
            for host, state in hosts.items():
                self._follow(wave, host, state, rows.get(host))
            self._advance(wave, hosts, rows)
            if all(state.stage is Stage.DONE for state in hosts.values()):
                self._complete(wave)

    def _begin(self, wave: Wave) -> bool:
        if not self._store(wave, {}) or not self._tell_state(wave, completed=False):
            return False
        self._running.add(wave.number)
        log(Event.WAVE_STATE, wave=wave.number, state="running", hosts=len(wave.hosts))
        return True

    def _complete(self, wave: Wave) -> None:
        if self._tell_state(wave, completed=True):
            self._completed.add(wave.number)
            log(Event.WAVE_STATE, wave=wave.number, state="completed", hosts=len(wave.hosts))

    def _follow(self, wave: Wave, host: HostId, state: _HostInWave, row: HostRow | None) -> None:
        if state.stage is Stage.DONE:
            return
        if row is None:
            state.missing += 1
            if state.missing >= GONE_LOOKS:
                self._finish(wave, host, state, "gone")
            return
        state.missing = 0
        if state.stage is Stage.ORDERED:
            if row.state is not HostState.UP:
                state.seen_down = True
            elif state.seen_down or (row.endpoint and row.endpoint != state.endpoint):
                self._finish(wave, host, state, "up")

    def _finish(self, wave: Wave, host: HostId, state: _HostInWave, how: str) -> None:
        state.stage = Stage.DONE
        log(Event.HOST_UP, host=host, wave=wave.number, how=how)
        self._store(wave, self._hosts_by_wave[wave.number])

    def _advance(
        self, wave: Wave, hosts: dict[HostId, _HostInWave], rows: dict[HostId, HostRow]
    ) -> None:
        """Empty hosts and send them down, never more than the wave allows at once.

        One host more than may go down is emptied ahead, so that it is free when its turn comes.
        """
        down = sum(1 for state in hosts.values() if state.stage is Stage.ORDERED)
        busy = down + sum(1 for state in hosts.values() if state.stage is Stage.EMPTYING)
        for host, state in hosts.items():
            row = rows.get(host)
            if row is None or row.state is not HostState.UP:
                continue
            if state.stage is Stage.WAITING and busy < wave.most_at_once + 1:
                state.stage = Stage.EMPTYING
                busy += 1
            if state.stage is not Stage.EMPTYING:
                continue
            if self._is_free(host, state, row) and down < wave.most_at_once:
                down += self._order(wave, host, state, row)

    def _is_free(self, host: HostId, state: _HostInWave, row: HostRow) -> bool:
        if not row.endpoint:
            return True
        address = self._owner_address(row.pool)
        if not address:
            return False
        told = self._told_by_endpoint.pop(row.endpoint, None)
        self._peers.send(address, ReleaseAsk(next(self._asks), row.pool, row.endpoint))
        if told is None:
            return False
        if told.state == ReleaseState.FREE:
            return True
        if told.reason != state.reason:
            state.reason = told.reason
            log(Event.HOST_WAITS, host=host, endpoint=row.endpoint, reason=told.reason)
        return False

    def _order(self, wave: Wave, host: HostId, state: _HostInWave, row: HostRow) -> int:
        """Send one host down; return 1 if it may be down now."""
        if not self._may_order() or self._ended.is_set():
            return 0
        state.endpoint = row.endpoint
        answer = self._hosts.upkeep(host, wave.number, self._process, int(self._token))
        log(Event.HOST_ORDERED, host=host, wave=wave.number, answer=answer.value)
        if answer in (HostOrder.DONE, HostOrder.UNKNOWN):
            state.stage = Stage.ORDERED if answer is HostOrder.DONE else Stage.EMPTYING
            return 1
        if answer is HostOrder.FENCED:
            self._refused(f"host {host} knows a newer owner of the fleet")
        elif answer is HostOrder.REFUSED:
            self._finish(wave, host, state, "refused")
        return 0

    def _store(self, wave: Wave, hosts: dict[HostId, _HostInWave]) -> bool:
        key = f"w/{wave.number}"
        stages = {str(host): state.stage for host, state in hosts.items()}
        return self._write(key, msgspec.json.encode(stages))

    def _tell_state(self, wave: Wave, *, completed: bool) -> bool:
        return self._write(self._state_key(wave.number), self._state_value(completed))

    def _write(self, key: str, value: bytes) -> bool:
        result = self._kv.commit((Compare(self._owner_key, self._token),), (Put(key, value),))
        if isinstance(result, Failure):
            return False
        if not result.unwrap().succeeded:
            self._refused("the store knows a newer owner of the fleet")
            return False
        return True
