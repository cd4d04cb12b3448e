"""The transfer stage of TemperedLB, adapted to free the capacity that a waiting task needs on a machine.

The algorithm is from "Optimizing Distributed Load Balancing for Workloads with Time-Varying Imbalance",
sections IV-B and V; names follow the paper where it defines one. docs/design.md describes the differences:
the source is not an overloaded rank but a machine that a waiting task could use, its excess is the capacity
that the task lacks there, and every resource must fit at the target. Pure: the random number generator is a
parameter.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from bayford.scheduling.resources import EPS, Resources, add, fits, sub


@dataclass(frozen=True, slots=True)
class Item:
    """A task that may be migrated, and the resources it uses."""

    key: tuple[str, int]  # task name and attempt
    demand: Resources


@dataclass(slots=True)
class Host:
    """A machine in a snapshot of the fleet, which may be outdated."""

    index: int
    cpus: float
    free: Resources
    items: list[Item] = field(default_factory=list)

    @property
    def load(self) -> float:
        """The machine's load: the reserved share of its CPUs."""
        return 1.0 - self.free[0] / self.cpus if self.cpus > 0 else 1.0

    def share(self, item: Item) -> float:
        """Returns the load that the task causes, or would cause, on this machine."""
        return item.demand[0] / self.cpus if self.cpus > 0 else 1.0


@dataclass(frozen=True, slots=True)
class Move:
    """The move of one task from the source to a target."""

    key: tuple[str, int]
    target: int


@dataclass(frozen=True, slots=True)
class Plan:
    """The moves of the best trial, and the imbalance after them."""

    source: int
    moves: tuple[Move, ...]
    imbalance: float


@dataclass(frozen=True, slots=True)
class SearchLimits:
    """Limits of one search: the paper's n_trials and n_iters, and the maximum number of moves."""

    trials: int = 4
    iterations: int = 3
    moves: int = 1


# Whether the task (name and attempt) may run on the machine with this index.
Allowed = Callable[[tuple[str, int], int], bool]


def imbalance(loads: Iterable[float]) -> float:
    """Equation 1: highest load divided by average load, minus 1; 0 if the average load is 0."""
    values = list(loads)
    average = sum(values) / len(values) if values else 0.0
    return max(values) / average - 1.0 if average > 0 else 0.0


def build_cmf(loads: Sequence[float]) -> list[float]:
    """Algorithm 2, BUILDCMF, modified: cumulative probabilities, proportional to 1 - load/ls.

    ls is the larger of the average and the highest known load, so that no weight is negative although the
    relaxed criterion allows targets above the average load. Returns an empty list if all weights are 0.
    """
    if not loads:
        return []
    average, highest = sum(loads) / len(loads), max(loads)
    scale = max(average, highest)
    weights = [1.0 - load / scale if scale > 0 else 1.0 for load in loads]
    total = sum(weights)
    if total <= EPS:
        return []
    cmf: list[float] = []
    mass = 0.0
    for weight in weights:
        mass += weight / total
        cmf.append(mass)
    return cmf


def sample(cmf: Sequence[float], rng: random.Random) -> int:
    """Returns a random index, distributed according to `cmf`."""
    draw = rng.random() * cmf[-1]
    for index, mass in enumerate(cmf):
        if draw < mass:
            return index
    return len(cmf) - 1


def criterion(load_there: float, source: float, target: float) -> bool:
    """Algorithm 2, line 37, relaxed: whether moving the task lowers the higher of the two loads.

    That holds if the task's load at the target is below the difference of the two loads.
    """
    return load_there < source - target - EPS


def order_fewest(items: Sequence[Item], load: Callable[[Item], float], excess: float) -> list[Item]:
    """Algorithm 5: orders the tasks so that few moves suffice.

    The smallest task that alone frees the excess comes first, then lighter tasks by decreasing load, then
    heavier ones by increasing load. If no task alone frees the excess, all are ordered by decreasing load.

    The paper's cutoff is strictly above the excess. Here it may be equal, because a task that uses exactly
    the needed capacity frees enough.
    """
    sufficient = [load(i) for i in items if load(i) >= excess - EPS]
    if not sufficient:
        return sorted(items, key=lambda i: (-load(i), i.key))
    cutoff = min(sufficient)
    light = sorted((i for i in items if load(i) <= cutoff + EPS), key=lambda i: (-load(i), i.key))
    heavy = sorted((i for i in items if load(i) > cutoff + EPS), key=lambda i: (load(i), i.key))
    return light + heavy


def transfer(
    source: Host,
    others: Sequence[Host],
    excess: float,
    relieved: Callable[[Host], bool],
    budget: int,
    allowed: Allowed,
    rng: random.Random,
) -> list[Move]:
    """Algorithm 2, TRANSFER: moves tasks off the source and returns the moves.

    Ends when `relieved(source)` is true, after `budget` moves, or when every task has been tried. Modifies
    `source` and `others`.
    """
    moves: list[Move] = []
    for item in order_fewest(source.items, source.share, excess):
        if relieved(source) or len(moves) >= budget:
            break
        cmf = build_cmf([host.load for host in others])  # recomputed, because a move changes the loads
        if not cmf:
            break
        target = others[sample(cmf, rng)]
        if (
            criterion(target.share(item), source.load, target.load)
            and fits(item.demand, target.free)
            and allowed(item.key, target.index)
        ):
            target.free = sub(target.free, item.demand)
            source.free = add(source.free, item.demand)
            source.items = [i for i in source.items if i is not item]
            target.items = [*target.items, item]
            moves.append(Move(item.key, target.index))
    return moves


def copy_hosts(hosts: Iterable[Host]) -> list[Host]:
    """Returns copies of the hosts that a trial may modify."""
    return [Host(h.index, h.cpus, h.free, h.items) for h in hosts]


def free_room(
    hosts: Sequence[Host],
    source: int,
    demand: Resources,
    limits: SearchLimits,
    allowed: Allowed,
    rng: random.Random,
) -> Plan | None:
    """Algorithm 3: runs several trials from the same state, each with several iterations of `transfer`.

    Returns the plan of the trial with the lowest imbalance among those that make `demand` fit on the source,
    or None if no trial does.
    """

    def has_room(host: Host) -> bool:
        return fits(demand, host.free)

    best: Plan | None = None
    for _ in range(limits.trials):
        trial = copy_hosts(hosts)
        source_host = next(host for host in trial if host.index == source)
        others = [host for host in trial if host.index != source]
        moves: list[Move] = []
        for _ in range(limits.iterations):
            excess = (
                max(0.0, (demand[0] - source_host.free[0]) / source_host.cpus)
                if source_host.cpus > 0
                else 0.0
            )
            moves += transfer(source_host, others, excess, has_room, limits.moves - len(moves), allowed, rng)
            if has_room(source_host):
                break
        if moves and has_room(source_host):
            after = imbalance(host.load for host in trial)
            if best is None or after < best.imbalance:
                best = Plan(source, tuple(moves), after)
    return best


def budget(running: int, share: float) -> int:
    """Returns the maximum number of moves per round: `share` of the running tasks, rounded up."""
    whole = int(running * share)
    return whole + (1 if running * share > whole + EPS else 0)
