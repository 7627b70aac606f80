"""Waves of upkeep: hosts go down a few at a time, each after its endpoint is drained."""

import math
import time
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.result import Failure

from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, Revision
from lentilrill.store import Compare, FencedRecord, KeyValue, WriteResult
from lentilrill.telemetry import Dependency, Event, log
from lentilrill.upkeep._contract import HostCalls, HostOrderResult, HostRow, HostState
from lentilrill.upkeep._draining import ANSWER_VALID_S, DrainAnswer, EndpointDrainer
from lentilrill.upkeep._orders import HostOrders
from lentilrill.workloads import Wave

__all__ = ["Waves"]

HOST_DOWN_S = 4.0
"""Expected time for one host of a wave: drain, two seconds of downtime, and detection that it is up
again."""
DURATION_SAFETY_FACTOR = 1.6
"""Factor on the expected time for the rest of a wave, for hosts that can't be drained at once."""
BUSY_POOL_SHARE = 0.7
"""Load of a pool, as a share of its hosts, from which a wave avoids its hosts while it can."""
LOST_ORDER_S = 1.2
"""Seconds within which the list shows a host as down after its order. If it is still shown as up
after that and its order has no answer, the order was lost."""
CONFIRMED_DONE_S = 3.0
"""Seconds after which a host with a confirmed order that is still shown as up counts as done. This
is longer than an upkeep takes, because the list may lag behind."""
MAX_ORDER_DELAY_S = 15.0
"""Time for which an order without an answer may still be carried out."""
SHORT_AFTER_S = 6.0
"""Seconds for which a pool can't spare a host before it gets another one: longer than the host of
the pool that is down before it takes to be back."""
BLOCKED_RECENTLY_S = 2.0
"""Seconds for which an answer that a host can't be spared counts: several rounds."""
NO_ENDPOINT = EndpointId("")
GONE_AFTER_S = 2.4
"""Seconds for which a host must be missing from the list to count as permanently gone."""


class Stage(Enum):
    """Stage of a host in a wave."""

    WAITING = "waiting"
    DRAINING = "emptying"
    ORDERED = "ordered"
    """Its order may have been sent; it counts as down until its upkeep is over or it is drained and
    ordered again."""
    DONE = "done"


_StoredHost = tuple[Stage, EndpointId]
"""Stored state of a host: its stage, and the endpoint that ran on it when it was ordered."""


class _HostInWave:
    """State of one host of a wave.

    :ivar confirmed: whether its upkeep has begun: the platform confirmed an order, or lists it as
        in upkeep. That it was down, was moved or has another endpoint may also be due to a crash.
    :ivar was_down: whether the list has shown it as anything but up since its order.
    :ivar blocked_since: since when its pool can't spare it; ``None`` if it can, as far as known.
    :ivar blocked_at: when its pool's owner last said so.
    :ivar pool: pool of the endpoint that was requested last.
    :ivar may_begin_until: time until which an order without an answer may still be carried out.
    :ivar is_gone: whether it has been missing from the list for :data:`GONE_AFTER_S`.
    """

    __slots__ = (
        "blocked_at",
        "blocked_since",
        "confirmed",
        "endpoint",
        "is_gone",
        "may_begin_until",
        "missing_since",
        "pool",
        "reason",
        "stage",
        "still_up_since",
        "was_down",
    )

    def __init__(self, stage: Stage = Stage.WAITING, endpoint: EndpointId = NO_ENDPOINT) -> None:
        self.stage = stage
        self.endpoint = endpoint
        self.missing_since: float | None = None
        self.is_gone = False
        self.reason = ""
        self.was_down = False
        self.confirmed = False
        self.still_up_since: float | None = None
        self.may_begin_until = 0.0
        self.blocked_since: float | None = None
        self.blocked_at = -math.inf
        self.pool = PoolId("")

    def on_blocked(self, now: float) -> None:
        """Note that its pool can't spare it; other hosts of the wave go first."""
        self.stage = Stage.WAITING
        if self.blocked_since is None or now - self.blocked_at > BLOCKED_RECENTLY_S:
            self.blocked_since = now
        self.blocked_at = now

    def lacks_replacement(self, now: float) -> bool:
        """Whether its pool hasn't been able to spare it for long."""
        if self.blocked_since is None or now - self.blocked_at > BLOCKED_RECENTLY_S:
            return False
        return now - self.blocked_since >= SHORT_AFTER_S

    def is_down(self, row: HostRow | None) -> bool:
        """Whether it counts as down: by its order, or by the list of hosts.

        The list shows an ordered host as down only after a delay, but it also shows hosts whose
        order was given up and carried out nevertheless.
        """
        if self.is_gone:
            return False
        if self.stage is Stage.ORDERED:
            return True
        return row is not None and row.state in (HostState.UPKEEP, HostState.DOWN)

    def may_begin(self, now: float) -> bool:
        """Whether an order without an answer may begin its upkeep while it is drained again."""
        is_pending = self.stage is Stage.DRAINING and now < self.may_begin_until
        return is_pending and not self.is_gone


class Waves:
    """Runs all waves of upkeep while this process owns the fleet.

    :param waves: returns the waves declared by operators, by number.
    :param load_of: returns the load of a pool as a share of its hosts; 0 in standby.
    :param may_order: returns whether the ownership lease is still valid.
    :param on_fenced: called with a reason when a host or the store reports a newer owner.
    :param state_key: returns the key under which operators read a wave's state.
    :param state_value: returns the value of that state for a completed or a running wave.
    :param orders: sends the orders of a round; shared with the moves of hosts.
    """

    def __init__(
        self,
        kv: KeyValue,
        hosts: HostCalls,
        drainer: EndpointDrainer,
        process: ProcessId,
        token: Revision,
        owner_key: str,
        waves: Callable[[], dict[int, Wave]],
        load_of: Callable[[PoolId], float],
        may_order: Callable[[], bool],
        on_fenced: Callable[[str], None],
        state_key: Callable[[int], str],
        state_value: Callable[[bool], bytes],
        orders: HostOrders,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._kv = kv
        self._hosts = hosts
        self._drainer = drainer
        self._process = process
        self._token = token
        self._owner_key = owner_key
        self._waves = waves
        self._load_of = load_of
        self._records = Dependency("records of waves in the store")
        self._records_by_key: dict[str, FencedRecord] = {}
        self._started_by_wave: dict[int, float] = {}
        self._may_order = may_order
        self._on_fenced = on_fenced
        self._state_key = state_key
        self._state_value = state_value
        self._orders = orders
        self._clock = clock
        self._hosts_by_wave: dict[int, dict[HostId, _HostInWave]] = {}
        self._completed: set[int] = set()
        self._running: set[int] = set()

    @property
    def open_waves(self) -> list[Wave]:
        """Waves that aren't completed, in the order of their numbers."""
        return [w for number, w in sorted(self._waves().items()) if number not in self._completed]

    @property
    def busy_hosts(self) -> set[HostId]:
        """Hosts that are being drained or are down for a wave."""
        return {
            host
            for hosts in self._hosts_by_wave.values()
            for host, state in hosts.items()
            if state.stage in (Stage.DRAINING, Stage.ORDERED)
        }

    @property
    def short_pools(self) -> set[PoolId]:
        """Pools that need one more host before a host of theirs can go down."""
        now = self._clock()
        return {
            state.pool
            for hosts in self._hosts_by_wave.values()
            for state in hosts.values()
            if state.lacks_replacement(now)
        }

    def load(self) -> bool:
        """Load the state stored by the previous owner of the fleet; return whether that worked."""
        read = self._kv.read("w/")
        if isinstance(read, Failure):
            self._records.record_failure(read.failure().reason)
            return False
        self._records.record_success()
        for item in read.unwrap().items:
            if item.value is None:
                continue
            number = int(item.key.removeprefix("w/"))
            stored = msgspec.json.decode(item.value, type=dict[HostId, _StoredHost])
            self._running.add(number)
            hosts = self._hosts_by_wave.setdefault(number, {})
            # A wave whose hosts are all done is completed by the next round: the previous owner may
            # have ended before it wrote that state.
            for host, (stage, endpoint) in stored.items():
                hosts[host] = _HostInWave(stage, endpoint)
                if stage is Stage.ORDERED:
                    hosts[host].may_begin_until = self._clock() + MAX_ORDER_DELAY_S
        return True

    def run_round(self, rows: dict[HostId, HostRow]) -> None:
        """Advance each open wave.

        :param rows: the current list of hosts.
        """
        self._reopen_waves(rows)
        for wave in self.open_waves:
            hosts = self._hosts_by_wave.setdefault(wave.number, {})
            for host in wave.hosts:
                hosts.setdefault(host, _HostInWave())
            if wave.number not in self._running and not self._start(wave):
                continue
            for host, state in hosts.items():
                self._update_host(wave, host, state, rows.get(host))
            self._advance(wave, hosts, rows)
            if all(state.stage is Stage.DONE or state.is_gone for state in hosts.values()):
                self._complete(wave)

    def _reopen_waves(self, rows: dict[HostId, HostRow]) -> None:
        """Go on with the completed waves of which a host that counted as gone is listed again."""
        waves = self._waves()
        for number in sorted(self._completed & waves.keys()):
            hosts = self._hosts_by_wave[number]
            is_back = any(state.is_gone and host in rows for host, state in hosts.items())
            if is_back and self._write_state(waves[number], completed=False):
                self._completed.discard(number)
                log(Event.WAVE_STATE, wave=number, state="running", hosts=len(hosts))

    def _start(self, wave: Wave) -> bool:
        if not self._store(wave, {}) or not self._write_state(wave, completed=False):
            return False
        self._running.add(wave.number)
        self._started_by_wave[wave.number] = self._clock()
        log(Event.WAVE_STATE, wave=wave.number, state="running", hosts=len(wave.hosts))
        return True

    def _complete(self, wave: Wave) -> None:
        if self._write_state(wave, completed=True):
            self._completed.add(wave.number)
            log(Event.WAVE_STATE, wave=wave.number, state="completed", hosts=len(wave.hosts))

    def _update_host(
        self, wave: Wave, host: HostId, state: _HostInWave, row: HostRow | None
    ) -> None:
        if state.stage is Stage.DONE:
            return
        now = self._clock()
        if row is None:
            state.missing_since = state.missing_since or now
            if not state.is_gone and now - state.missing_since >= GONE_AFTER_S:
                state.is_gone = True
                log(Event.HOST_UP, host=host, wave=wave.number, how="gone")
            return
        state.missing_since, state.is_gone = None, False
        if state.stage is not Stage.ORDERED:
            return
        if row.state is HostState.UPKEEP and not self._is_in_other_wave(wave, host):
            state.confirmed = True
        has_returned = state.was_down or (row.endpoint and row.endpoint != state.endpoint)
        if row.state is not HostState.UP:
            state.was_down = True
        elif not has_returned:
            self._update_host_still_up(wave, host, state, now)
        elif state.confirmed:
            self._finish_host(wave, host, state, "up")
        else:
            # If this was the upkeep, the platform confirms the next order as done already.
            state.stage = Stage.DRAINING

    def _is_in_other_wave(self, wave: Wave, host: HostId) -> bool:
        return any(host in other.hosts for other in self.open_waves if other.number != wave.number)

    def _update_host_still_up(
        self, wave: Wave, host: HostId, state: _HostInWave, now: float
    ) -> None:
        """Handle an ordered host that the list still shows as up.

        The decision depends on time and not on the number of rounds, which follow each other
        quickly during a surge. Counting rounds, an order in transit would count as lost and its
        host as up, so that one host too many would go down.
        """
        state.still_up_since = state.still_up_since or now
        up_s = now - state.still_up_since
        if state.confirmed:
            if up_s >= CONFIRMED_DONE_S:
                # The upkeep took place under a previous owner or between two reads of the list, and
                # in standby no new endpoint shows it. The platform confirms an order whose upkeep
                # is under way, which the list shows by now, or is complete. Without this rule the
                # wave would order the same hosts forever.
                self._finish_host(wave, host, state, "confirmed")
        elif up_s >= LOST_ORDER_S:
            # The order was lost, perhaps with the owner that sent it, so the host is drained and
            # ordered again. If the first order still arrives, the second one changes nothing.
            state.stage = Stage.DRAINING

    def _finish_host(self, wave: Wave, host: HostId, state: _HostInWave, how: str) -> None:
        state.stage = Stage.DONE
        log(Event.HOST_UP, host=host, wave=wave.number, how=how)
        self._store(wave, self._hosts_by_wave[wave.number])

    def _advance(
        self, wave: Wave, hosts: dict[HostId, _HostInWave], rows: dict[HostId, HostRow]
    ) -> None:
        """Drain hosts and order their upkeep, within the wave's limit of hosts that are down.

        One more host than the limit is drained in advance, so that it is free when its turn comes.
        A host that its pool can't spare makes way for others.
        """
        requested_at = self._clock()
        down = {host for host, state in hosts.items() if state.is_down(rows.get(host))}
        may_begin = {host for host, state in hosts.items() if state.may_begin(requested_at)}
        drained = {
            host
            for host, state in hosts.items()
            if state.stage is Stage.DRAINING and not state.is_gone
        }
        in_progress = len(down | drained)
        chosen: list[tuple[HostId, _HostInWave]] = []
        for host, state in self._candidates(wave, hosts, rows):
            row = rows[host]
            if state.stage is Stage.WAITING and in_progress < wave.max_down + 1:
                state.stage = Stage.DRAINING
                in_progress += 1
            if state.stage is not Stage.DRAINING:
                continue
            # What may begin anyway takes no more hosts down if it is ordered again.
            others = down if host in may_begin else down | may_begin
            answer = self._drain_host(host, state, row)
            if answer.is_blocked and host not in may_begin:
                state.on_blocked(requested_at)
                in_progress -= 1
            elif answer.is_free and len(others | {host}) <= wave.max_down:
                down.add(host)
                state.endpoint = row.endpoint
                chosen.append((host, state))
        self._send_orders(wave, hosts, chosen, requested_at)

    def _candidates(
        self,
        wave: Wave,
        hosts: dict[HostId, _HostInWave],
        rows: dict[HostId, HostRow],
    ) -> list[tuple[HostId, _HostInWave]]:
        """Return hosts that are up, in the order in which they are to be drained.

        Those being drained come first, then those that their pool could spare so far, by increasing
        load of their pool. Hosts of busy pools are left out while the wave can still be completed
        in time.

        A wave takes a quarter of all hosts at once, for about as long as a surge lasts. A pool in
        its surge needs all of its hosts, and an idle pool needs none of them.
        """
        not_ordered = (Stage.WAITING, Stage.DRAINING)
        waiting = sum(1 for s in hosts.values() if s.stage in not_ordered and not s.is_gone)
        needed_s = HOST_DOWN_S * math.ceil(waiting / wave.max_down) * DURATION_SAFETY_FACTOR
        started_at = self._started_by_wave.get(wave.number, 0.0)
        is_behind_schedule = self._clock() - started_at + needed_s > wave.within_s
        up = [
            (self._load_of(rows[host].pool), host, state)
            for host, state in hosts.items()
            if host in rows and rows[host].state is HostState.UP
        ]
        up.sort(
            key=lambda entry: (
                entry[2].stage is not Stage.DRAINING,
                entry[2].blocked_at,
                entry[0],
            )
        )
        return [
            (host, state)
            for load, host, state in up
            if is_behind_schedule or load < BUSY_POOL_SHARE or state.stage is Stage.DRAINING
        ]

    def _send_orders(
        self,
        wave: Wave,
        hosts: dict[HostId, _HostInWave],
        chosen: list[tuple[HostId, _HostInWave]],
        requested_at: float,
    ) -> None:
        """Store that the chosen hosts may be down, then order their upkeep.

        They are stored first because the next owner of the fleet must count the hosts that this one
        ordered last, before the list of hosts shows them as down. Otherwise more hosts than the
        limit could be down at once.

        :param requested_at: time of the drain requests, whose answers are valid only for a while.
        """
        if not chosen:
            return
        for _, state in chosen:
            state.stage, state.still_up_since = Stage.ORDERED, None
            state.was_down = False
        if not self._store(wave, hosts):
            for _, state in chosen:
                state.stage = Stage.DRAINING
            return
        sent = self._orders.send(chosen, lambda each: self._send_order(wave, *each, requested_at))
        for (host, state), answer in sent:
            self._on_order_answer(wave, host, state, answer)
        ordered = {host for (host, _), _ in sent}
        for host, state in chosen:
            if host not in ordered:
                state.stage = Stage.DRAINING

    def _drain_host(self, host: HostId, state: _HostInWave, row: HostRow) -> DrainAnswer:
        if not row.endpoint:
            return DrainAnswer(True)
        state.pool = row.pool
        answer = self._drainer.request_drain(row.pool, row.endpoint)
        if answer.is_free:
            state.blocked_since = None
        elif answer.reason != state.reason:
            state.reason = answer.reason
            log(Event.HOST_WAITS, host=host, endpoint=row.endpoint, reason=answer.reason)
        return answer

    def _send_order(
        self, wave: Wave, host: HostId, state: _HostInWave, requested_at: float
    ) -> HostOrderResult | None:
        if not self._may_order():
            return None
        if state.endpoint and self._clock() - requested_at > ANSWER_VALID_S:
            return None
        return self._hosts.upkeep(host, wave.number, self._process, int(self._token))

    def _on_order_answer(
        self, wave: Wave, host: HostId, state: _HostInWave, answer: HostOrderResult
    ) -> None:
        log(Event.HOST_ORDERED, host=host, wave=wave.number, answer=answer.value)
        state.confirmed = answer is HostOrderResult.DONE
        if answer is HostOrderResult.UNKNOWN:
            state.may_begin_until = self._clock() + MAX_ORDER_DELAY_S
        if answer is HostOrderResult.FENCED:
            self._on_fenced(f"host {host} has accepted a newer owner of the fleet")
        elif answer is HostOrderResult.REFUSED:
            self._finish_host(wave, host, state, "refused")
        elif answer in (HostOrderResult.BUSY, HostOrderResult.LATER):
            state.stage = Stage.DRAINING

    def _store(self, wave: Wave, hosts: dict[HostId, _HostInWave]) -> bool:
        key = f"w/{wave.number}"
        now = self._clock()
        # The next owner counts a host as down whose order may still be carried out.
        stages = {
            host: (Stage.ORDERED if state.may_begin(now) else state.stage, state.endpoint)
            for host, state in hosts.items()
        }
        return self._write(key, msgspec.json.encode(stages))

    def _write_state(self, wave: Wave, *, completed: bool) -> bool:
        return self._write(self._state_key(wave.number), self._state_value(completed))

    def _write(self, key: str, value: bytes) -> bool:
        owner = Compare(self._owner_key, self._token)
        record = self._records_by_key.setdefault(key, FencedRecord(self._kv, key, owner))
        written = record.write(value)
        if written is WriteResult.NOT_OWNER:
            self._on_fenced("the store records a newer owner of the fleet")
        return written is WriteResult.DONE
