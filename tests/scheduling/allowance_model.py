"""Model of the pools of one workspace, their records and their messages, for exhaustive checks.

The decisions are those of the product; store, messages, runs and owners are modelled. A task needs
one unit. Each change of a state is one step, so that every order of steps can be tried.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from msgspec.structs import replace

from lentilrill.ids import PoolId
from lentilrill.scheduling import (
    Allowances,
    Budget,
    KnownAllowances,
    PoolAllowance,
    Usage,
    next_allowance,
)
from lentilrill.workloads import Resources

__all__ = [
    "Decisions",
    "Owner",
    "State",
    "Write",
    "canonical",
    "initial_state",
    "is_stuck",
    "steps",
]

UNIT = Resources(1)
LONG_S = 60.0


class Decisions(msgspec.Struct, frozen=True):
    """The decisions to check; a broken copy replaces one of them.

    :param usage: what an owner counts as used, from its ordered, running and stopping tasks.
    """

    next_allowance: Callable[..., PoolAllowance] = next_allowance
    usage: Callable[["Owner"], int] = lambda owner: max(
        owner.ordered + owner.running + owner.stopping, owner.held_at_take_over
    )
    compares_configuration: bool = True
    rereads: bool = True
    assumes_most: bool = True


class Write(msgspec.Struct, frozen=True):
    """A write on its way to the store, or lost there and executed late.

    :param pool: index of the pool; ``token`` is its owner's fencing token.
    :param version: version of the configuration that the write compares; -1 for none.
    :param record: the record that it stores, with the allowance of its pool.
    """

    pool: int
    token: int
    revision: int
    version: int
    allowance: PoolAllowance
    record: Allowances


class Owner(msgspec.Struct, frozen=True):
    """The owner of one pool.

    :param ordered: start orders that may still be executed.
    :param known: its view of the record; ``version`` and ``outdated`` of the configuration.
    :param is_waiting_for_answer: whether it has a write that it takes for in flight.
    """

    token: int = 1
    known: KnownAllowances = KnownAllowances()
    version: int = 0
    is_outdated: bool = False
    is_waiting_for_answer: bool = False
    held_at_take_over: int = 0
    is_complete: bool = True
    ordered: int = 0
    running: int = 0
    stopping: int = 0
    waiting: int = 0


class State(msgspec.Struct, frozen=True):
    """The whole state.

    :param caps: cap of each version of the configuration; ``version`` is the newest one.
    :param losses_left: owners that may still be lost.
    :param lost_answers_left: answers of the store that may still be lost.
    :param damages_left: times that the record may still become unreadable.
    :param is_unreadable: whether the record can't be decoded; ``stored`` is the last one before.
    :param runs: tasks that endpoints run, by pool; ``orders`` those ordered and not executed, with
        the version of the configuration by which they were ordered.
    """

    caps: tuple[int, ...]
    owners: tuple[Owner, ...]
    stored: Allowances = Allowances()
    revision: int = 0
    version: int = 0
    runs: tuple[int, ...] = ()
    orders: tuple[tuple[int, ...], ...] = ()
    writes: tuple[Write, ...] = ()
    over_cap: bool = False
    losses_left: int = 1
    lost_answers_left: int = 1
    damages_left: int = 0
    is_unreadable: bool = False


def pool_id(index: int) -> PoolId:
    """Return the id of a pool."""
    return PoolId(str(index))


def initial_state(
    caps: tuple[int, ...],
    waiting: tuple[int, ...],
    *,
    losses: int = 0,
    lost_answers: int = 0,
    damages: int = 0,
) -> State:
    """Return a state without allowances in which ``waiting`` tasks of each pool wait."""
    owners = tuple(Owner(waiting=count) for count in waiting)
    return State(
        caps,
        owners,
        runs=(0,) * len(waiting),
        orders=((),) * len(waiting),
        losses_left=losses,
        lost_answers_left=lost_answers,
        damages_left=damages,
    )


def canonical(state: State) -> State:
    """Return the state with revisions and tokens numbered anew, so that equal states are equal.

    Only the order of revisions matters, and of tokens whether they are the current one. A write
    of a previous owner can't succeed and has no effect, and the record of a write against an
    earlier revision is never stored.
    """
    revisions = {0, state.revision}
    for owner in state.owners:
        revisions.add(owner.known.revision)
    writes = [w for w in state.writes if w.token == state.owners[w.pool].token]
    revisions |= {write.revision for write in writes}
    rank = {revision: number for number, revision in enumerate(sorted(revisions))}
    owners = tuple(
        replace(
            owner,
            token=1,
            known=replace(owner.known, revision=rank[owner.known.revision]),
        )
        for owner in state.owners
    )
    renumbered = sorted(
        (
            replace(
                w,
                token=1,
                revision=rank[w.revision],
                record=w.record if w.revision == state.revision else Allowances(),
            )
            for w in writes
        ),
        key=msgspec.msgpack.encode,
    )
    return replace(state, owners=owners, revision=rank[state.revision], writes=tuple(renumbered))


FAIR_ORDER = ("execute", "store", "refuse", "poll", "read", "configure", "order", "write")
MAX_FAIR_STEPS = 200


def is_stuck(state: State, decisions: Decisions) -> bool:
    """Whether a task waits for good though less than half of the cap is used.

    From here on no owner or answer is lost, no cap changes, and no task ends.
    """
    state = replace(state, losses_left=0, lost_answers_left=0, damages_left=0)
    for _ in range(MAX_FAIR_STEPS):
        chosen = None
        for name, following in steps(state, decisions):
            kind = name.split()[0]
            if kind in FAIR_ORDER and name != "set cap":
                rank = FAIR_ORDER.index(kind)
                if chosen is None or rank < chosen[0]:
                    chosen = (rank, following)
        if chosen is None:
            break
        state = canonical(chosen[1])
    used = sum(state.runs) + sum(len(orders) for orders in state.orders)
    waits = any(owner.waiting for owner in state.owners)
    return waits and used * 2 < state.caps[state.version]


def steps(state: State, decisions: Decisions) -> Iterator[tuple[str, State]]:
    """Return the states that one step leads to, with the name of the step."""
    for index, owner in enumerate(state.owners):
        yield from _owner_steps(state, index, owner, decisions)
        yield from _endpoint_steps(state, index)
    yield from _store_steps(state)


def _owner_steps(
    state: State, index: int, owner: Owner, decisions: Decisions
) -> Iterator[tuple[str, State]]:
    cap = Resources(state.caps[owner.version])
    used = Resources(decisions.usage(owner))
    owner = replace(owner, known=_assumed(state, owner.known, decisions))
    if not owner.is_outdated:
        budget = Budget(owner.known.certain(pool_id(index)), pool_id(index), cap, used)
        may_start = owner.is_complete and owner.waiting > 0
        if may_start and budget.take(UNIT, count=owner.waiting):
            started = replace(owner, ordered=owner.ordered + 1, waiting=owner.waiting - 1)
            orders = _replace(state.orders, index, (*state.orders[index], owner.version))
            yield f"order {index}", _with(replace(state, orders=orders), index, started)
        elif not owner.is_waiting_for_answer:
            yield from _write_steps(state, index, owner, budget.usage, cap, decisions)
    if owner.is_waiting_for_answer and state.lost_answers_left:
        # The owner gives up waiting: its write is in flight, executed or gone.
        lost = replace(state, lost_answers_left=state.lost_answers_left - 1)
        yield f"no answer {index}", _with(lost, index, replace(owner, is_waiting_for_answer=False))
    if state.revision > owner.known.revision or owner.is_outdated:
        known = _read(state, owner.known)
        read = replace(owner, known=known, is_outdated=False)
        yield f"read {index}", _with(state, index, read)
    if owner.version < state.version:
        is_lowered = state.caps[owner.version + 1] < state.caps[owner.version]
        informed = replace(
            owner,
            version=owner.version + 1,
            is_outdated=owner.is_outdated or (is_lowered and decisions.rereads),
        )
        yield f"configure {index}", _with(state, index, informed)
    if owner.running and owner.running <= state.runs[index]:
        stopped = replace(owner, running=owner.running - 1, stopping=owner.stopping + 1)
        yield f"stop {index}", _with(state, index, stopped)
    if not owner.is_complete:
        # Polls fence the previous owner's orders and show all its runs.
        found = replace(owner, is_complete=True, held_at_take_over=0, running=state.runs[index])
        orders = _replace(state.orders, index, ())
        yield f"poll all {index}", _with(replace(state, orders=orders), index, found)
    if state.losses_left:
        yield f"lose {index}", _lose(state, index, owner, decisions)


def _write_steps(
    state: State, index: int, owner: Owner, usage: Usage, cap: Resources, decisions: Decisions
) -> Iterator[tuple[str, State]]:
    pool = pool_id(index)
    current = owner.known.stored.of(pool)
    if owner.known.unresolved:
        # A write that changes nothing ends those that may still take effect.
        wanted = current
    else:
        wanted = decisions.next_allowance(owner.known.stored, pool, cap, usage, LONG_S)
        if wanted == current:
            return
    needs_newest = owner.known.is_unreadable or not wanted.held.fits(current.held)
    version = owner.version if needs_newest and decisions.compares_configuration else -1
    record = owner.known.stored.replace(pool, wanted)
    write = Write(index, owner.token, owner.known.revision, version, wanted, record)
    if any(replace(sent, record=record) == write for sent in state.writes):
        return
    sent = replace(owner, known=owner.known.on_sent(wanted), is_waiting_for_answer=True)
    yield f"write {index}", _with(replace(state, writes=(*state.writes, write)), index, sent)


def _read(state: State, known: KnownAllowances) -> KnownAllowances:
    if state.is_unreadable:
        return known.on_unreadable(state.revision)
    return known.on_read(state.stored, state.revision)


def _assumed(state: State, known: KnownAllowances, decisions: Decisions) -> KnownAllowances:
    if not decisions.assumes_most:
        return known
    return known.assuming_most(pool_id(index) for index in range(len(state.owners)))


def _lose(state: State, index: int, owner: Owner, decisions: Decisions) -> State:
    """Replace an owner by the next one, which has read the record and not polled yet."""
    known = _assumed(state, _read(state, KnownAllowances()), decisions)
    follower = Owner(
        token=owner.token + 1,
        known=known,
        version=owner.version,
        held_at_take_over=known.stored.of(pool_id(index)).held.cpu,
        is_complete=False,
        waiting=owner.waiting,
    )
    return _with(replace(state, losses_left=state.losses_left - 1), index, follower)


def _endpoint_steps(state: State, index: int) -> Iterator[tuple[str, State]]:
    owner = state.owners[index]
    for position, version in enumerate(state.orders[index]):
        total = sum(state.runs) + 1
        allowed = max(state.caps[version : state.version + 1])
        orders = state.orders[index][:position] + state.orders[index][position + 1 :]
        executed = replace(
            state,
            runs=_replace(state.runs, index, state.runs[index] + 1),
            orders=_replace(state.orders, index, orders),
            over_cap=state.over_cap or total > allowed,
        )
        if owner.is_complete:
            confirmed = replace(owner, ordered=owner.ordered - 1, running=owner.running + 1)
            executed = _with(executed, index, confirmed)
        yield f"execute {index}", executed
    if state.runs[index]:
        ended = replace(state, runs=_replace(state.runs, index, state.runs[index] - 1))
        if not owner.is_complete:
            yield f"end {index}", ended
        elif owner.stopping:
            yield f"end {index}", _with(ended, index, replace(owner, stopping=owner.stopping - 1))
        elif owner.running:
            yield f"end {index}", _with(ended, index, replace(owner, running=owner.running - 1))


def _store_steps(state: State) -> Iterator[tuple[str, State]]:
    if state.version + 1 < len(state.caps):
        yield "set cap", replace(state, version=state.version + 1)
    if state.damages_left and state.revision:
        damaged = replace(state, is_unreadable=True, damages_left=state.damages_left - 1)
        yield "damage", replace(damaged, revision=state.revision + 1)
    for position, write in enumerate(state.writes):
        remaining = state.writes[:position] + state.writes[position + 1 :]
        owner = state.owners[write.pool]
        succeeds = (
            write.token == owner.token
            and write.revision == state.revision
            and write.version in (-1, state.version)
        )
        if not succeeds:
            yield f"refuse {write.pool}", _refuse(replace(state, writes=remaining), write)
            continue
        executed = replace(
            state,
            stored=write.record,
            is_unreadable=False,
            revision=state.revision + 1,
            writes=remaining,
        )
        if not owner.is_waiting_for_answer:
            yield f"execute late {write.pool}", executed
            continue
        known = owner.known.on_read(write.record, executed.revision)
        answered = replace(owner, known=known, is_waiting_for_answer=False)
        yield f"store {write.pool}", _with(executed, write.pool, answered)


def _refuse(state: State, write: Write) -> State:
    owner = state.owners[write.pool]
    if owner.token != write.token:
        return state
    known = owner.known.on_not_sent(write.allowance)
    if known.revision == write.revision:
        known = _read(state, known)
    return _with(state, write.pool, replace(owner, known=known, is_waiting_for_answer=False))


def _with(state: State, index: int, owner: Owner) -> State:
    return replace(state, owners=_replace(state.owners, index, owner))


def _replace(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])
