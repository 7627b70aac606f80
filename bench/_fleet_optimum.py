"""Baselines for the planner's benchmark: an offline optimum, and planning from scratch."""

import itertools

import numpy
from scipy import sparse
from scipy.optimize import linprog

from bench._fleet_sim import Sample
from lentilrill.ids import PoolId

__all__ = ["naive_moves", "optimum"]

TIE_BREAK_WEIGHT = 1e-4
"""Weight of the secondary objective, which only breaks ties."""


def optimum(
    samples: list[Sample], owed: dict[PoolId, int], spare: PoolId, minimize_moves: bool
) -> tuple[float, float]:
    """Return the minimum moves and the minimum buffer (host-samples above owed) in hindsight.

    Solves a linear programme over all samples at once. In each sample, every pool has at least
    as many available hosts as under the planner, up to the owed number; hosts fail and return
    in each pool as recorded. The programme knows the future, so no planner can do better.

    :param minimize_moves: whether moves are minimised first, else the buffer.
    """
    pools = sorted(owed)
    size, times = len(pools), len(samples)
    start = numpy.array([samples[0].available[p] for p in pools], dtype=float)
    external_changes = [
        numpy.array(
            [
                after.available[p]
                - before.available[p]
                - after.moved_in.get(p, 0)
                + after.moved_out.get(p, 0)
                for p in pools
            ],
            dtype=float,
        )
        for before, after in itertools.pairwise(samples)
    ]
    # Variables of each sample and pool: hosts available, moved in, moved out, above owed.
    available, moved_in, moved_out, above = (i * size * times for i in range(4))
    rows, columns, values, right_hand_sides = [], [], [], []
    row = 0

    def add_coefficient(column: int, value: float) -> None:
        rows.append(row)
        columns.append(column)
        values.append(value)

    for t in range(times):
        for p in range(size):
            here = t * size + p
            add_coefficient(available + here, 1.0)
            add_coefficient(moved_in + here, -1.0)
            add_coefficient(moved_out + here, 1.0)
            if t:
                add_coefficient(available + here - size, -1.0)
            right_hand_sides.append(external_changes[t - 1][p] if t else start[p])
            row += 1
        for p in range(size):
            add_coefficient(moved_in + t * size + p, 1.0)
            add_coefficient(moved_out + t * size + p, -1.0)
        right_hand_sides.append(0.0)
        row += 1
    equality_matrix = sparse.csr_array((values, (rows, columns)), shape=(row, 4 * size * times))
    indices = range(size * times)
    inequality_matrix = sparse.csr_array(
        (
            [1.0] * len(indices) + [-1.0] * len(indices),
            ([*indices, *indices], [available + i for i in indices] + [above + i for i in indices]),
        ),
        shape=(len(indices), 4 * size * times),
    )
    upper_bounds = [owed[pools[i % size]] for i in indices]
    bounds = [(min(owed[p], sample.available[p]), None) for sample in samples for p in pools] + [
        (0, None)
    ] * (3 * size * times)
    moves_weight, buffer_weight = (
        (1.0, TIE_BREAK_WEIGHT) if minimize_moves else (TIE_BREAK_WEIGHT, 1.0)
    )
    cost = numpy.zeros(4 * size * times)
    cost[moved_out : moved_out + size * times] = moves_weight
    for i in indices:
        cost[above + i] = 0.0 if pools[i % size] == spare else buffer_weight
    solution = linprog(
        cost,
        inequality_matrix,
        upper_bounds,
        equality_matrix,
        right_hand_sides,
        bounds,
        method="highs",
    )
    if not solution.success:
        raise RuntimeError(solution.message)
    moves = solution.x[moved_out : moved_out + size * times].sum()
    buffer = sum(solution.x[above + i] for i in indices if pools[i % size] != spare)
    return float(moves), float(buffer)


def naive_moves(samples: list[Sample], owed: dict[PoolId, int], spare: PoolId) -> int:
    """Return the moves if the available hosts were assigned from scratch at each sample."""
    before: dict[str, PoolId] = {}
    moves = 0
    for sample in samples:
        order = [p for p in sorted(owed) for _ in range(owed[p]) if p != spare]
        hosts = sorted(sample.pool_by_host)
        now = {host: order[n] if n < len(order) else spare for n, host in enumerate(hosts)}
        moves += sum(1 for host, pool in now.items() if before.get(host, pool) != pool)
        before = before | now
    return moves
