"""Migrations of running tasks off machines that are loaded far above the average.

This is the paper's own use of its transfer stage (Algorithm 3, section V), which `scheduling.tempered` turns
to freeing room: the sources are the machines above `threshold` times the average, the excess of each is what
it has above that. The relaxed criterion, the weights recomputed after each move and the best of several
trials before anything moves are the same code.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Self

from bayford.scheduling import tempered
from bayford.scheduling.model import EPS
from bayford.scheduling.tempered import Allowed, Counts, Host


@dataclass(frozen=True, slots=True)
class Relocation:
    """One task from one machine to another."""

    key: tuple[str, int]
    source: int
    target: int


@dataclass(frozen=True, slots=True)
class Rebalancing:
    """The best trial: its moves, and the imbalance before and after them."""

    relocations: tuple[Relocation, ...]
    before: float
    after: float


@dataclass(frozen=True, slots=True)
class _Balance:
    """How uneven the load is."""

    imbalance: float  # equation 1
    excess: float  # load above the threshold, all machines together

    @classmethod
    def of(cls, hosts: Sequence[Host], threshold: float) -> Self:
        limit = threshold * sum(host.load for host in hosts) / len(hosts)
        excess = sum(max(0.0, host.load - limit) for host in hosts)
        return cls(tempered.imbalance(host.load for host in hosts), excess)

    def better_than(self, other: Self) -> bool:
        if abs(self.imbalance - other.imbalance) > EPS:
            return self.imbalance < other.imbalance
        return self.excess < other.excess - EPS


def sources(hosts: Sequence[Host], threshold: float) -> list[Host]:
    """The machines above `threshold` times the average load, the most loaded first."""
    average = sum(host.load for host in hosts) / len(hosts) if hosts else 0.0
    above = [host for host in hosts if host.load > threshold * average + EPS and host.items]
    return sorted(above, key=lambda host: (-host.load, host.index))


def rebalance(
    hosts: Sequence[Host], threshold: float, counts: Counts, allowed: Allowed, rng: random.Random
) -> Rebalancing | None:
    """The moves of the trial that leaves the least imbalance, or None where no trial is better than no move.

    Of several machines that are loaded alike a budget of few moves relieves one, and the highest load stays
    as it is: among trials with the same imbalance, that with less load above the threshold counts as better.
    A task moves once in a plan at the most, off the machine on which it runs: what has come in a trial is no
    candidate to go on from there.
    """
    if counts.moves <= 0 or not sources(hosts, threshold):
        return None
    before = _Balance.of(hosts, threshold)
    best_balance = before
    best: Rebalancing | None = None
    for _ in range(counts.trials):
        trial = tempered.copy_hosts(hosts)
        relocations = _trial(trial, threshold, counts, allowed, rng)
        after = _Balance.of(trial, threshold)
        if relocations and after.better_than(best_balance):
            best_balance = after
            best = Rebalancing(tuple(relocations), before.imbalance, after.imbalance)
    return best


def _below(limit: float) -> Callable[[Host], bool]:
    return lambda host: host.load <= limit + EPS


def _trial(
    hosts: list[Host], threshold: float, counts: Counts, allowed: Allowed, rng: random.Random
) -> list[Relocation]:
    """Iterations over the overloaded machines, on hosts that it changes."""
    relocations: list[Relocation] = []
    moved: set[tuple[str, int]] = set()

    def may_move(key: tuple[str, int], target: int) -> bool:
        return key not in moved and allowed(key, target)

    for _ in range(counts.iterations):
        overloaded = sources(hosts, threshold)
        for source in overloaded:
            average = sum(host.load for host in hosts) / len(hosts)
            limit = threshold * average
            moves = tempered.transfer(
                source,
                [host for host in hosts if host is not source],
                source.load - limit,
                _below(limit),
                counts.moves - len(relocations),
                may_move,
                rng,
            )
            moved.update(move.key for move in moves)
            relocations += [Relocation(move.key, source.index, move.target) for move in moves]
        if not overloaded or len(relocations) >= counts.moves:
            break
    return relocations
