"""Waves of upkeep: hosts go down a few at a time, each once it is empty."""

import math
import time
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure

from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, Revision
from lentilrill.store import Compare, FencedRecord, KeyValue, WriteResult
from lentilrill.telemetry import Dependency, Event, log
from lentilrill.upkeep._contract import HostCalls, HostOrder, HostRow, HostState
from lentilrill.upkeep._emptying import FRESH_S, Emptying
from lentilrill.upkeep._orders import HostOrders
from lentilrill.workloads import Wave

__all__ = ["Waves"]

HOST_DOWN_S = 4.0
"""Time that a host takes in a wave: emptied, down for two seconds, and seen up again."""
SAFETY = 1.6
"""Factor on the time that the rest of a wave needs, for hosts that can't be emptied at once."""
BUSY_SHARE = 0.7
"""Share of its hosts that a pool's work fills, from which on a wave leaves it alone if it can."""
UNTOUCHED_S = 1.2
"""Time in which the list shows a host down after its order; one that still shows up as before then,
with no answer to its order, was not reached by it."""
CONFIRMED_S = 3.0
"""Time after which a host that shows up as before, although its order was confirmed, has had its
upkeep: longer than an upkeep takes, in case the list lags behind."""
NOBODY = EndpointId("")
GONE_S = 2.4
"""Time for which a host must be missing from the list to count as gone for good."""


class Stage(Enum):
    """Where a host of a wave is."""

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    """Its order was sent; it counts as down until the list shows it up again."""
    DONE = "done"


_Kept = tuple[Stage, EndpointId]
"""What is stored of a host: its stage, and the endpoint that lived on it when it was ordered."""


class _HostInWave:
    __slots__ = (
        "confirmed",
        "endpoint",
        "missing_since",
        "reason",
        "seen_down",
        "stage",
        "up_since",
    )

    def __init__(self, stage: Stage = Stage.WAITING, endpoint: EndpointId = NOBODY) -> None:
        self.stage = stage
        self.endpoint = endpoint
        self.missing_since: float | None = None
        self.reason = ""
        self.seen_down = False
        self.confirmed = False
        self.up_since: float | None = None


class Waves:
    """All waves of upkeep, while this process owns the fleet.

    :param waves: waves that operators have declared, by number.
    :param load_of: share of a pool's hosts that its work fills; 0 in standby.
    :param state_key: key under which operators read a wave's state.
    :param state_value: that state's value, by whether the wave is through.
    :param orders: sends the orders of a round, those of moves too.
    """

    def __init__(
        self,
        kv: KeyValue,
        hosts: HostCalls,
        emptying: Emptying,
        process: ProcessId,
        token: Revision,
        owner_key: str,
        waves: Callable[[], dict[int, Wave]],
        load_of: Callable[[PoolId], float],
        may_order: Callable[[], bool],
        refused: Callable[[str], None],
        state_key: Callable[[int], str],
        state_value: Callable[[bool], bytes],
        orders: HostOrders,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._kv = kv
        self._hosts = hosts
        self._emptying = emptying
        self._process = process
        self._token = token
        self._owner_key = owner_key
        self._waves = waves
        self._load_of = load_of
        self._records = Dependency("records of waves in the store")
        self._records_by_key: dict[str, FencedRecord] = {}
        self._began_by_wave: dict[int, float] = {}
        self._may_order = may_order
        self._refused = refused
        self._state_key = state_key
        self._state_value = state_value
        self._orders = orders
        self._clock = clock
        self._hosts_by_wave: dict[int, dict[HostId, _HostInWave]] = {}
        self._completed: set[int] = set()
        self._running: set[int] = set()

    @property
    def open(self) -> list[Wave]:
        """Waves that are not through, the oldest first."""
        return [w for number, w in sorted(self._waves().items()) if number not in self._completed]

    @property
    def busy(self) -> set[HostId]:
        """Hosts that are being emptied or are down for a wave."""
        return {
            host
            for hosts in self._hosts_by_wave.values()
            for host, state in hosts.items()
            if state.stage in (Stage.EMPTYING, Stage.ORDERED)
        }

    def load(self) -> bool:
        """Read how far a former owner of the fleet came."""
        read = self._kv.read("w/")
        if isinstance(read, Failure):
            self._records.record_failure(read.failure().reason)
            return False
        self._records.record_success()
        for item in read.unwrap().items:
            if item.value is None:
                continue
            number = int(item.key.removeprefix("w/"))
            kept = msgspec.json.decode(item.value, type=dict[HostId, _Kept])
            self._running.add(number)
            hosts = self._hosts_by_wave.setdefault(number, {})
            for host, (stage, endpoint) in kept.items():
                hosts[host] = _HostInWave(stage, endpoint)
            if kept and all(stage is Stage.DONE for stage, _ in kept.values()):
                self._completed.add(number)
        return True

    def round(self, rows: dict[HostId, HostRow]) -> None:
        """Take each open wave a step further.

        :param rows: the list of hosts, read a moment ago.
        """
        for wave in self.open:
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
        self._began_by_wave[wave.number] = self._clock()
        log(Event.WAVE_STATE, wave=wave.number, state="running", hosts=len(wave.hosts))
        return True

    def _complete(self, wave: Wave) -> None:
        if self._tell_state(wave, completed=True):
            self._completed.add(wave.number)
            log(Event.WAVE_STATE, wave=wave.number, state="completed", hosts=len(wave.hosts))

    def _follow(self, wave: Wave, host: HostId, state: _HostInWave, row: HostRow | None) -> None:
        if state.stage is Stage.DONE:
            return
        now = self._clock()
        if row is None:
            state.missing_since = state.missing_since or now
            if now - state.missing_since >= GONE_S:
                self._finish(wave, host, state, "gone")
            return
        state.missing_since = None
        if state.stage is not Stage.ORDERED:
            return
        if row.state is not HostState.UP:
            state.seen_down = True
        elif state.seen_down or (row.endpoint and row.endpoint != state.endpoint):
            self._finish(wave, host, state, "up")
        else:
            self._follow_untouched(wave, host, state, now)

    def _follow_untouched(self, wave: Wave, host: HostId, state: _HostInWave, now: float) -> None:
        """Judge an ordered host that the list shows up as before.

        By time, not by rounds, which follow each other at once in a surge: an order that is still
        on its way would count as lost, and its host not as down, so that one too many goes down.
        """
        state.up_since = state.up_since or now
        up_s = now - state.up_since
        if state.confirmed:
            if up_s >= CONFIRMED_S:
                # Guard against a wave that orders the same hosts for ever: their upkeep passed
                # under a former owner, or between two looks, and in standby no new endpoint shows
                # it. The platform confirms what is under way, which the list shows by now, or what
                # has been carried out.
                self._finish(wave, host, state, "confirmed")
        elif up_s >= UNTOUCHED_S:
            # Its order was lost, maybe with the owner that sent it: it is emptied and ordered
            # again. If the first order comes after all, the second one changes nothing.
            state.stage = Stage.EMPTYING

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
        asked_at = self._clock()
        down = sum(1 for host, state in hosts.items() if _is_down(state, rows.get(host)))
        busy = down + sum(1 for state in hosts.values() if state.stage is Stage.EMPTYING)
        chosen: list[tuple[HostId, _HostInWave]] = []
        for host, state in self._in_order(wave, hosts, rows):
            row = rows[host]
            if state.stage is Stage.WAITING and busy < wave.most_at_once + 1:
                state.stage = Stage.EMPTYING
                busy += 1
            if state.stage is not Stage.EMPTYING:
                continue
            if self._is_free(host, state, row) and down + len(chosen) < wave.most_at_once:
                state.endpoint = row.endpoint
                chosen.append((host, state))
        self._order_all(wave, hosts, chosen, asked_at)

    def _in_order(
        self,
        wave: Wave,
        hosts: dict[HostId, _HostInWave],
        rows: dict[HostId, HostRow],
    ) -> list[tuple[HostId, _HostInWave]]:
        """Return hosts that are up, those of idle pools first; those of busy pools only once the
        wave could otherwise come late.

        Load pattern: a wave takes a quarter of all hosts at once, for about as long as a surge
        lasts. A pool in its surge needs all of its hosts, and an idle one none of them.
        """
        waiting = sum(1 for s in hosts.values() if s.stage in (Stage.WAITING, Stage.EMPTYING))
        needed_s = HOST_DOWN_S * math.ceil(waiting / wave.most_at_once) * SAFETY
        began = self._began_by_wave.get(wave.number, 0.0)
        late = self._clock() - began + needed_s > wave.within_s
        up = [
            (self._load_of(rows[host].pool), host, state)
            for host, state in hosts.items()
            if host in rows and rows[host].state is HostState.UP
        ]
        up.sort(key=lambda entry: (entry[2].stage is not Stage.EMPTYING, entry[0]))
        return [
            (host, state)
            for load, host, state in up
            if late or load < BUSY_SHARE or state.stage is Stage.EMPTYING
        ]

    def _order_all(
        self,
        wave: Wave,
        hosts: dict[HostId, _HostInWave],
        chosen: list[tuple[HostId, _HostInWave]],
        asked_at: float,
    ) -> None:
        """Send hosts down, once it is stored that they may be down.

        Guard against a wave that takes down more hosts than it may: the next owner of the fleet
        must count those that this one ordered last, before the list of hosts shows them.

        :param asked_at: from when on it was asked whether they are free, which holds for a while.
        """
        if not chosen:
            return
        for _, state in chosen:
            state.stage, state.up_since = Stage.ORDERED, None
        if not self._store(wave, hosts):
            for _, state in chosen:
                state.stage = Stage.EMPTYING
            return
        sent = self._orders.send(chosen, lambda each: self._order(wave, *each, asked_at))
        for (host, state), answer in sent:
            self._ordered(wave, host, state, answer)
        ordered = {host for (host, _), _ in sent}
        for host, state in chosen:
            if host not in ordered:
                state.stage = Stage.EMPTYING

    def _is_free(self, host: HostId, state: _HostInWave, row: HostRow) -> bool:
        if not row.endpoint:
            return True
        is_free, reason = self._emptying.ask(row.pool, row.endpoint)
        if not is_free and reason != state.reason:
            state.reason = reason
            log(Event.HOST_WAITS, host=host, endpoint=row.endpoint, reason=reason)
        return is_free

    def _order(
        self, wave: Wave, host: HostId, state: _HostInWave, asked_at: float
    ) -> HostOrder | None:
        if not self._may_order():
            return None
        if state.endpoint and self._clock() - asked_at > FRESH_S:
            return None
        return self._hosts.upkeep(host, wave.number, self._process, int(self._token))

    def _ordered(self, wave: Wave, host: HostId, state: _HostInWave, answer: HostOrder) -> None:
        log(Event.HOST_ORDERED, host=host, wave=wave.number, answer=answer.value)
        state.confirmed = answer is HostOrder.DONE
        if answer is HostOrder.FENCED:
            self._refused(f"host {host} knows a newer owner of the fleet")
        elif answer is HostOrder.REFUSED:
            self._finish(wave, host, state, "refused")
        elif answer in (HostOrder.BUSY, HostOrder.LATER):
            state.stage = Stage.EMPTYING

    def _store(self, wave: Wave, hosts: dict[HostId, _HostInWave]) -> bool:
        key = f"w/{wave.number}"
        stages = {host: (state.stage, state.endpoint) for host, state in hosts.items()}
        return self._write(key, msgspec.json.encode(stages))

    def _tell_state(self, wave: Wave, *, completed: bool) -> bool:
        return self._write(self._state_key(wave.number), self._state_value(completed))

    def _write(self, key: str, value: bytes) -> bool:
        owner = Compare(self._owner_key, self._token)
        record = self._records_by_key.setdefault(key, FencedRecord(self._kv, key, owner))
        written = record.write(value)
        if written is WriteResult.NOT_OWNER:
            self._refused("the store knows a newer owner of the fleet")
        return written is WriteResult.DONE


def _is_down(state: _HostInWave, row: HostRow | None) -> bool:
    """Whether a host counts as down: by its order, or by the list of hosts, which shows it later
    and also tells of orders that were given up and carried out after all."""
    if state.stage is Stage.ORDERED:
        return True
    return row is not None and row.state in (HostState.UPKEEP, HostState.DOWN)
