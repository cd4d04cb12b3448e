"""Plans migrations of running tasks off machines whose load is far above the average.

This uses the transfer stage as the paper does (Algorithm 3, section V), while `scheduling.tempered` uses it
to free room on a machine. The sources are the machines whose load exceeds `threshold` times the average, and
the excess of a source is its load above that limit. Both uses share the code of the relaxed criterion, of the
weights recomputed after each move, and of the choice of the best of several trials before any task is moved.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Self

from bayford.scheduling import tempered
from bayford.scheduling.resources import EPS
from bayford.scheduling.tempered import Allowed, Host, SearchLimits


@dataclass(frozen=True, slots=True)
class Relocation:
    """The migration of one task from one machine to another."""

    key: tuple[str, int]
    source: int
    target: int


@dataclass(frozen=True, slots=True)
class Rebalancing:
    """The best trial: its moves, and the imbalance before and after these moves."""

    relocations: tuple[Relocation, ...]
    before: float
    after: float


@dataclass(frozen=True, slots=True)
class _Balance:
    """Measures of how uneven the load is."""

    imbalance: float  # equation 1
    excess: float  # sum of all machines' load above the threshold

    @classmethod
    def of(cls, hosts: Sequence[Host], threshold: float) -> Self:
        limit = threshold * sum(host.load for host in hosts) / len(hosts)
        excess = sum(max(0.0, host.load - limit) for host in hosts)
        return cls(tempered.imbalance(host.load for host in hosts), excess)

    def is_better_than(self, other: Self) -> bool:
        if abs(self.imbalance - other.imbalance) > EPS:
            return self.imbalance < other.imbalance
        return self.excess < other.excess - EPS


def sources(hosts: Sequence[Host], threshold: float) -> list[Host]:
    """Returns the machines with a load above `threshold` times the average, the most loaded first."""
    average = sum(host.load for host in hosts) / len(hosts) if hosts else 0.0
    above = [host for host in hosts if host.load > threshold * average + EPS and host.items]
    return sorted(above, key=lambda host: (-host.load, host.index))


def rebalance(
    hosts: Sequence[Host], threshold: float, limits: SearchLimits, allowed: Allowed, rng: random.Random
) -> Rebalancing | None:
    """Returns the moves of the trial with the lowest imbalance, or None if no trial improves the balance.

    If several machines are equally overloaded, a small budget of moves relieves only one of them and the
    highest load, and so the imbalance, stays the same. Among trials with the same imbalance the one with less
    load above the threshold is therefore better. A plan moves each task at most once, off the machine on
    which it runs: a task that was moved in a trial is not moved again.
    """
    if limits.moves <= 0 or not sources(hosts, threshold):
        return None
    before = _Balance.of(hosts, threshold)
    best_balance = before
    best: Rebalancing | None = None
    for _ in range(limits.trials):
        trial = tempered.copy_hosts(hosts)
        relocations = _run_trial(trial, threshold, limits, allowed, rng)
        after = _Balance.of(trial, threshold)
        if relocations and after.is_better_than(best_balance):
            best_balance = after
            best = Rebalancing(tuple(relocations), before.imbalance, after.imbalance)
    return best


def _has_load_within(limit: float) -> Callable[[Host], bool]:
    return lambda host: host.load <= limit + EPS


def _run_trial(
    hosts: list[Host], threshold: float, limits: SearchLimits, allowed: Allowed, rng: random.Random
) -> list[Relocation]:
    """Run one trial, which iterates over the overloaded machines. Modifies `hosts`."""
    relocations: list[Relocation] = []
    moved: set[tuple[str, int]] = set()

    def may_move(key: tuple[str, int], target: int) -> bool:
        return key not in moved and allowed(key, target)

    for _ in range(limits.iterations):
        overloaded = sources(hosts, threshold)
        for source in overloaded:
            average = sum(host.load for host in hosts) / len(hosts)
            limit = threshold * average
            moves = tempered.transfer(
                source,
                [host for host in hosts if host is not source],
                source.load - limit,
                _has_load_within(limit),
                limits.moves - len(relocations),
                may_move,
                rng,
            )
            moved.update(move.key for move in moves)
            relocations += [Relocation(move.key, source.index, move.target) for move in moves]
        if not overloaded or len(relocations) >= limits.moves:
            break
    return relocations
