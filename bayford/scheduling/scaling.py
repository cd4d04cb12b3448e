"""When to launch and when to return machines. Pure: the caller counts, this decides."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from bayford.scheduling.model import EPS, Machine, MachineType

MIN_CHARGE_S = 60.0  # a deleted machine costs at least this long
MAX_PER_LAUNCH = 50  # machines in one launch plan
BOOT_COST_S = 4 * MIN_CHARGE_S  # a machine that boots for as long counts as twice as expensive
ON_DEMAND_KEEP_SHARE = 0.4  # an idle on-demand machine is kept for this part of the time of a spot one


class MachinePool(NamedTuple):
    """Machines of one type in one zone, spot or on-demand."""

    type: int
    zone: int
    spot: bool


class PooledMachine(NamedTuple):
    """A machine and the pool that it belongs to."""

    pool: MachinePool
    machine: Machine


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Waiting work of one shape: which pools may serve it and how much of it there is."""

    pools: frozenset[MachinePool]
    tasks: int
    cpus: float  # of one task, like the next two
    gpus: float
    mem_gb: float
    run_s: float  # expected seconds of one task
    urgent: bool
    on_demand: int  # how many of the tasks are worth on-demand machines, for else the deadline is missed
    host_cpus: float  # CPUs of the present fleet, machines being launched included, that may serve it
    spot_cpus: float  # the spot ones of them
    preemptible_cpus: float = 0.0  # CPUs that it may take from other work
    is_service: bool = False  # a service's replicas, which never end

    def slots_on(self, machine_type: MachineType) -> int:
        """How many of the tasks an empty machine holds."""
        return slots(machine_type, self.cpus, self.gpus, self.mem_gb)


@dataclass(frozen=True, slots=True)
class Group:
    """Services that the same pools may serve, and how many machines of each type alone would hold them all,
    the reserve included. All pools are on-demand ones."""

    pools: frozenset[MachinePool]
    machines: dict[int, float]  # by type


@dataclass(frozen=True, slots=True)
class LaunchPlan:
    """Launch `count` machines of this pool."""

    pool: MachinePool
    count: int
    reason: str


def slots(machine_type: MachineType, cpus: float, gpus: float, mem_gb: float) -> int:
    """How many such tasks an empty machine holds."""
    limit = 1e9
    if cpus > 0:
        limit = min(limit, (machine_type.cpus + EPS) / cpus)
    if gpus > 0:
        limit = min(limit, (machine_type.gpus + EPS) / gpus)
    if mem_gb > 0:
        limit = min(limit, (machine_type.mem_gb + EPS) / mem_gb)
    return int(limit)


def plan_launches(
    demands: Sequence[Demand],
    types: Sequence[MachineType],
    booting: Mapping[MachinePool, int],
    refused: frozenset[MachinePool],
    backlog_s: float,
    ordinary_after_s: float,
    patience_s: float,
) -> list[LaunchPlan]:
    """What to launch for `demands`.

    `booting` counts machines that are coming up, by pool; they serve demands first. `refused`: pools of
    which the cloud had none lately. `backlog_s` is how long the present fleet needs for its backlog: work
    that the fleet clears within `patience_s` waits for it, and on-demand machines are taken only when the
    backlog exceeds `ordinary_after_s` or for urgent work that no capacity can serve which it may take from
    other work.

    A fleet that may not serve a job is no reason for it to wait: work that no machine of the present fleet
    may take needs one of its own, an on-demand one where no spot one may serve it or is to be had.
    """
    unassigned = dict(booting)
    counts: dict[MachinePool, int] = {}
    reasons: dict[MachinePool, str] = {}
    for demand in sorted(demands, key=lambda d: (not d.urgent, not d.on_demand, -d.run_s)):
        left = _left_after_booting(demand, types, unassigned)
        cpu_s = demand.tasks * demand.cpus * demand.run_s
        own_s = cpu_s / demand.host_cpus if demand.host_cpus else float("inf")
        if left <= 0 or (not demand.urgent and max(backlog_s, own_s) < patience_s):
            continue
        on_demand = _on_demand_tasks(demand, left, refused, backlog_s >= ordinary_after_s)
        pool = _cheapest_pool(demand, types, refused, on_demand > 0)
        if pool is None:
            continue
        tasks = left if pool.spot else on_demand
        machines = min(MAX_PER_LAUNCH, -(-tasks // demand.slots_on(types[pool.type])))
        counts[pool] = counts.get(pool, 0) + machines
        reasons.setdefault(pool, "urgent work waits" if demand.urgent else "backlog")
    return [LaunchPlan(pool, min(MAX_PER_LAUNCH, count), reasons[pool]) for pool, count in counts.items()]


def _left_after_booting(
    demand: Demand, types: Sequence[MachineType], unassigned: dict[MachinePool, int]
) -> int:
    """Assign booting machines to the demand, which takes them out of `unassigned`; the tasks that are left,
    none if that is 0 or less."""
    left = demand.tasks
    for pool in demand.pools:
        available = unassigned.get(pool, 0)
        per_machine = demand.slots_on(types[pool.type])
        if available and per_machine:
            used = min(available, -(-left // per_machine))
            unassigned[pool] = available - used
            left -= used * per_machine
            if left <= 0:
                break
    return left


def _on_demand_tasks(
    demand: Demand, left: int, refused: frozenset[MachinePool], backlog_exceeded: bool
) -> int:
    """How many of the `left` tasks may have on-demand machines."""
    no_spot = not demand.spot_cpus and not any(pool.spot for pool in demand.pools - refused)
    on_demand = left if backlog_exceeded or no_spot else min(left, demand.on_demand)
    if demand.urgent:
        preemptible_tasks = int((demand.preemptible_cpus + EPS) / max(demand.cpus, EPS))
        on_demand = max(on_demand, left - preemptible_tasks)
    return on_demand


def _cheapest_pool(
    demand: Demand, types: Sequence[MachineType], refused: frozenset[MachinePool], with_on_demand: bool
) -> MachinePool | None:
    """The pool that serves a task at the lowest price, a long boot counted as a higher one."""

    def cost(pool: MachinePool) -> tuple[float, int, int, bool]:
        machine_type = types[pool.type]
        price = machine_type.spot_price if pool.spot else machine_type.price
        per_task = price / demand.slots_on(machine_type)
        return (per_task * (1.0 + machine_type.boot_s / BOOT_COST_S), pool.type, pool.zone, pool.spot)

    suitable = [
        pool
        for pool in demand.pools - refused
        if demand.slots_on(types[pool.type]) and (pool.spot or with_on_demand)
    ]
    return min(suitable, key=cost, default=None)


def plan_service_launches(
    groups: Sequence[Group],
    types: Sequence[MachineType],
    present: Mapping[MachinePool, int],
    refused: frozenset[MachinePool],
    soonest: bool = False,
) -> list[LaunchPlan]:
    """What to launch that the services and their reserve have capacity.

    `present`: the machines by pool, those being launched included. Of equally expensive ones those in the
    zone that has least, so that the loss of a zone takes few replicas; with `soonest` those that boot in the
    shortest time.
    """
    counts: dict[MachinePool, int] = {}
    for group in groups:
        zone_cpus: dict[int, float] = {}
        share = 0.0  # of what the group needs
        for pool in group.pools:
            count = present.get(pool, 0) + counts.get(pool, 0)
            share += count / group.machines[pool.type]
            zone_cpus[pool.zone] = zone_cpus.get(pool.zone, 0.0) + types[pool.type].cpus * count
        available = group.pools - refused
        if share >= 1.0 or not available:
            continue
        best = _best_service_pool(available, group, types, None if soonest else zone_cpus)
        lacking = math.ceil((1.0 - share) * group.machines[best.type] - EPS)
        if lacking > 0:
            counts[best] = counts.get(best, 0) + lacking
    return [LaunchPlan(pool, min(MAX_PER_LAUNCH, count), "services") for pool, count in counts.items()]


def _best_service_pool(
    pools: frozenset[MachinePool],
    group: Group,
    types: Sequence[MachineType],
    zone_cpus: Mapping[int, float] | None,
) -> MachinePool:
    """The cheapest pool for the group; of equally expensive ones that in the zone with the least CPUs, or
    without `zone_cpus` that which boots soonest."""

    def rank(pool: MachinePool) -> tuple[float, ...]:
        machine_type = types[pool.type]
        second = machine_type.boot_s if zone_cpus is None else zone_cpus[pool.zone]
        return (round(machine_type.price * group.machines[pool.type], 6), second, pool.type, pool.zone)

    return min(pools, key=rank)


def should_terminate(idle_s: float, age_s: float, on_demand: bool, waiting: bool, keep_s: float) -> bool:
    """Whether an idle machine goes back. Below the minimum charge, keeping it costs nothing."""
    if waiting or age_s < MIN_CHARGE_S:
        return False
    return idle_s > keep_s * (ON_DEMAND_KEEP_SHARE if on_demand else 1.0)
