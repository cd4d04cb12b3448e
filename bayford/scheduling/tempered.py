"""The paper's transfer stage (TemperedLB), turned to freeing room that a waiting task needs.

"Optimizing Distributed Load Balancing for Workloads with Time-Varying Imbalance", sections IV-B and V; the
names below are the paper's where it has one. What differs from it is in docs/design.md: the source is not
an overloaded rank but a machine that a waiting task could use, its excess is the room that the task lacks
there, and every resource must fit at the target. Pure: the random numbers are passed in.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from bayford.scheduling.model import EPS

Resources = tuple[float, float, float]  # CPUs, GPUs, GB of memory


@dataclass(frozen=True, slots=True)
class Item:
    """A task that may move, and what it uses."""

    key: tuple[str, int]  # task name and attempt
    demand: Resources


@dataclass(slots=True)
class Host:
    """A machine in a snapshot of the fleet, as old as the snapshot is."""

    index: int
    cpus: float
    free: Resources
    items: list[Item] = field(default_factory=list)

    @property
    def load(self) -> float:
        """Reserved share of the CPUs, the design's starting measure of load."""
        return 1.0 - self.free[0] / self.cpus if self.cpus > 0 else 1.0

    def share(self, item: Item) -> float:
        """The load that the task is, or would be, here."""
        return item.demand[0] / self.cpus if self.cpus > 0 else 1.0


@dataclass(frozen=True, slots=True)
class Move:
    """One task from the source to a target."""

    key: tuple[str, int]
    target: int


@dataclass(frozen=True, slots=True)
class Plan:
    """The transfers of the best trial, and the imbalance that they leave."""

    source: int
    moves: tuple[Move, ...]
    imbalance: float


@dataclass(frozen=True, slots=True)
class Counts:
    """How hard to try: the paper's n_trials and n_iters, and the round's budget of moves."""

    trials: int = 4
    iterations: int = 3
    moves: int = 1


Allowed = Callable[[tuple[str, int], int], bool]  # whether this task may run on that machine


def add(a: Resources, b: Resources) -> Resources:
    """Component-wise sum."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def sub(a: Resources, b: Resources) -> Resources:
    """Component-wise difference."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2])


def fits(demand: Resources, free: Resources) -> bool:
    """Whether every resource fits."""
    return demand[0] <= free[0] + EPS and demand[1] <= free[1] + EPS and demand[2] <= free[2] + EPS


def imbalance(loads: Iterable[float]) -> float:
    """Equation 1: highest load over average load, minus 1."""
    values = list(loads)
    average = sum(values) / len(values) if values else 0.0
    return max(values) / average - 1.0 if average > 0 else 0.0


def build_cmf(loads: Sequence[float]) -> list[float]:
    """Algorithm 2, BUILDCMF, modified: cumulative mass by 1 - load/ls; empty if no target has any.

    ls is the larger of the average and the highest known load, so that no weight is negative although the
    relaxed criterion lets targets rise above the average.
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
    """The index that a uniform draw falls on."""
    draw = rng.random() * cmf[-1]
    for index, mass in enumerate(cmf):
        if draw < mass:
            return index
    return len(cmf) - 1


def criterion(load_there: float, source: float, target: float) -> bool:
    """Algorithm 2, line 37, relaxed: the task's load is below the gap, so the higher load falls."""
    return load_there < source - target - EPS


def order_fewest(items: Sequence[Item], load: Callable[[Item], float], excess: float) -> list[Item]:
    """Algorithm 5: first the smallest task that alone frees the excess, then the lighter ones by falling
    load, then the heavier ones by rising load; without such a task all by falling load.

    The paper's cutoff is strictly above the excess; a task of exactly the needed room frees it too, so
    here it may be equal.
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
    """Algorithm 2, TRANSFER, on hosts that it changes: until the source is relieved of its excess, the budget
    is spent, or its tasks are through."""
    moves: list[Move] = []
    for item in order_fewest(source.items, source.share, excess):
        if relieved(source) or len(moves) >= budget:
            break
        cmf = build_cmf([host.load for host in others])  # recomputed: the loads have moved
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
    """Hosts that a trial may change."""
    return [Host(h.index, h.cpus, h.free, h.items) for h in hosts]


def free_room(
    hosts: Sequence[Host],
    source: int,
    demand: Resources,
    counts: Counts,
    allowed: Allowed,
    rng: random.Random,
) -> Plan | None:
    """Algorithm 3: several trials of iterations from the same state; the best imbalance of those that
    free the room is the plan. None: no trial freed it."""

    def has_room(host: Host) -> bool:
        return fits(demand, host.free)

    best: Plan | None = None
    for _ in range(counts.trials):
        trial = copy_hosts(hosts)
        source_host = next(host for host in trial if host.index == source)
        others = [host for host in trial if host.index != source]
        moves: list[Move] = []
        for _ in range(counts.iterations):
            excess = (
                max(0.0, (demand[0] - source_host.free[0]) / source_host.cpus)
                if source_host.cpus > 0
                else 0.0
            )
            moves += transfer(source_host, others, excess, has_room, counts.moves - len(moves), allowed, rng)
            if has_room(source_host):
                break
        if moves and has_room(source_host):
            after = imbalance(host.load for host in trial)
            if best is None or after < best.imbalance:
                best = Plan(source, tuple(moves), after)
    return best


def budget(running: int, share: float) -> int:
    """Moves per round: a share of the running tasks, rounded up, so one when few run and none when none
    does."""
    whole = int(running * share)
    return whole + (1 if running * share > whole + EPS else 0)
