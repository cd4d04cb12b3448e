"""Moves of running tasks off machines that are loaded far above the average.

This is the paper's own use of its transfer stage (Algorithm 3, section V), which `scheduling.tempered` turns
to freeing room: the sources are the machines above `threshold` times the average, the excess of each is what
it has above that. The relaxed criterion, the weights recomputed after each move and the best of several
trials before anything moves are the same code.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

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


def sources(hosts: Sequence[Host], threshold: float) -> list[Host]:
    """The machines above `threshold` times the average load, the most loaded first."""
    average = sum(host.load for host in hosts) / len(hosts) if hosts else 0.0
    above = [host for host in hosts if host.load > threshold * average + EPS and host.items]
    return sorted(above, key=lambda host: (-host.load, host.index))


def rebalance(
    hosts: Sequence[Host], threshold: float, counts: Counts, allowed: Allowed, rng: random.Random
) -> Rebalancing | None:
    """The moves that lower the highest load most, or None where no trial lowers it.

    A task moves once in a plan at the most, off the machine on which it runs: what has come in a trial is no
    candidate to go on from there.
    """
    if counts.moves <= 0 or not sources(hosts, threshold):
        return None
    before = tempered.imbalance(host.load for host in hosts)
    best: Rebalancing | None = None
    for _ in range(counts.trials):
        trial = tempered.copy_hosts(hosts)
        relocations = _trial(trial, threshold, counts, allowed, rng)
        after = tempered.imbalance(host.load for host in trial)
        better = after < (before if best is None else best.after) - EPS
        if relocations and better:
            best = Rebalancing(tuple(relocations), before, after)
    return best


def _below(limit: float) -> Callable[[Host], bool]:
    return lambda host: host.load <= limit + EPS


def _trial(
    hosts: list[Host], threshold: float, counts: Counts, allowed: Allowed, rng: random.Random
) -> list[Relocation]:
    """Iterations over the overloaded machines, on hosts that it changes."""
    out: list[Relocation] = []
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
                counts.moves - len(out),
                may_move,
                rng,
            )
            moved.update(move.key for move in moves)
            out += [Relocation(move.key, source.index, move.target) for move in moves]
        if not overloaded or len(out) >= counts.moves:
            break
    return out
