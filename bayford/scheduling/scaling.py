"""Decides which machines to launch and when to delete idle ones. Pure: callers count demand and machines."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from bayford.scheduling.model import Machine, MachineType
from bayford.scheduling.resources import EPS

MIN_CHARGE_S = 60.0  # minimum time that the cloud charges for a machine, however early it is deleted
MAX_PER_LAUNCH = 50  # machines in one launch plan
BOOT_COST_S = 4 * MIN_CHARGE_S  # boot time that counts as a doubling of a machine's price
UNLIMITED_TASKS = 10**9  # more tasks than any machine takes
ON_DEMAND_KEEP_SHARE = 0.4  # keep time of an idle on-demand machine, as a share of that of a spot machine


class MachinePool(NamedTuple):
    """Machines of one type in one zone, spot or on-demand."""

    type: int
    zone: int
    spot: bool


class PooledMachine(NamedTuple):
    """A machine with its machine pool."""

    pool: MachinePool
    machine: Machine


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Waiting tasks of one job: how many there are, what each needs, and which pools may serve them."""

    pools: frozenset[MachinePool]
    tasks: int
    cpus: float  # per task, like gpus and mem_gb
    gpus: float
    mem_gb: float
    fleet_cpus: float  # per task: CPUs of the fleet that it uses up, see `fleet_cpus`
    run_s: float  # expected run time of one task
    urgent: bool
    on_demand: int  # number of tasks that would miss their deadline without on-demand machines
    host_cpus: float  # CPUs of the fleet that may serve the tasks, including machines being launched
    spot_cpus: float  # the part of `host_cpus` that belongs to spot machines
    preemptible_cpus: float = 0.0  # CPUs that the tasks may get by preempting other work
    is_service: bool = False  # the tasks are replicas of a service, which never end
    max_per_machine: int = UNLIMITED_TASKS  # tasks that a machine of any type can report

    def slots_on(self, machine_type: MachineType) -> int:
        """Returns how many of the tasks fit on an empty machine of this type."""
        return slots(machine_type, self.cpus, self.gpus, self.mem_gb, self.max_per_machine)


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """Services that may be served by the same on-demand pools, and the capacity that they need."""

    pools: frozenset[MachinePool]
    machines: dict[int, float]  # by type: machines needed, reserve included, if all were of this type


@dataclass(frozen=True, slots=True)
class LaunchPlan:
    """A decision to launch `count` machines of a pool."""

    pool: MachinePool
    count: int
    reason: str


def slots(machine_type: MachineType, cpus: float, gpus: float, mem_gb: float, max_per_machine: int) -> int:
    """Returns how many tasks of this size fit on an empty machine of this type.

    `max_per_machine`: how many such tasks a machine can report, whatever its type.
    """
    limit = float(max_per_machine)
    if cpus > 0:
        limit = min(limit, (machine_type.cpus + EPS) / cpus)
    if gpus > 0:
        limit = min(limit, (machine_type.gpus + EPS) / gpus)
    if mem_gb > 0:
        limit = min(limit, (machine_type.mem_gb + EPS) / mem_gb)
    return int(limit)


def fleet_cpus(
    cpus: float, pools: Iterable[MachinePool], types: Sequence[MachineType], max_per_machine: int
) -> float:
    """Returns the CPUs of the fleet that one task uses up, in the smallest machine that may serve it."""
    return machine_cpus_used(
        cpus, min((types[pool.type].cpus for pool in pools), default=0.0), max_per_machine
    )


def machine_cpus_used(cpus: float, machine_cpus: float, max_per_machine: int) -> float:
    """Returns the CPUs that one task uses up of a machine with `machine_cpus`.

    They are its own CPUs, or its share of a machine that is full because it can report no more tasks.
    """
    return max(cpus, machine_cpus / max_per_machine)


def plan_launches(
    demands: Sequence[Demand],
    types: Sequence[MachineType],
    booting: Mapping[MachinePool, int],
    refused: frozenset[MachinePool],
    backlog_s: float,
    ordinary_after_s: float,
    patience_s: float,
) -> list[LaunchPlan]:
    """Returns the launches for `demands`.

    `booting`: booting machines by pool; demands are assigned to these first. `refused`: pools for which the
    cloud recently refused a launch. `backlog_s`: time that the present fleet needs for its backlog.

    Work that is not urgent waits for the present fleet if the fleet clears it within `patience_s`. On-demand
    machines are launched only if the backlog reaches `ordinary_after_s`, for tasks that would otherwise miss
    their deadline, for urgent work beyond the capacity that it may preempt, and for work that no spot machine
    can serve, as described next.

    Work that no machine of the present fleet may run does not wait for the fleet: machines are launched for
    it, on-demand ones if no spot pool may serve it or all such pools have been refused.
    """
    unassigned = dict(booting)
    counts: dict[MachinePool, int] = {}
    reasons: dict[MachinePool, str] = {}
    for demand in sorted(demands, key=lambda d: (not d.urgent, not d.on_demand, -d.run_s)):
        remaining = _assign_booting(demand, types, unassigned)
        cpu_s = demand.tasks * demand.fleet_cpus * demand.run_s
        demand_backlog_s = cpu_s / demand.host_cpus if demand.host_cpus else float("inf")
        if remaining <= 0 or (not demand.urgent and max(backlog_s, demand_backlog_s) < patience_s):
            continue
        on_demand = _on_demand_tasks(demand, remaining, refused, backlog_s >= ordinary_after_s)
        pool = _cheapest_pool(demand, types, refused, on_demand > 0)
        if pool is None:
            continue
        tasks = remaining if pool.spot else on_demand
        machines = min(MAX_PER_LAUNCH, -(-tasks // demand.slots_on(types[pool.type])))
        counts[pool] = counts.get(pool, 0) + machines
        reasons.setdefault(pool, "urgent work waits" if demand.urgent else "backlog")
    return [LaunchPlan(pool, min(MAX_PER_LAUNCH, count), reasons[pool]) for pool, count in counts.items()]


def _assign_booting(demand: Demand, types: Sequence[MachineType], unassigned: dict[MachinePool, int]) -> int:
    """Assign booting machines to the demand and subtract them from `unassigned`.

    Returns the number of tasks that they can't hold; 0 or less if they can hold all.
    """
    remaining = demand.tasks
    for pool in demand.pools:
        available = unassigned.get(pool, 0)
        per_machine = demand.slots_on(types[pool.type])
        if available and per_machine:
            used = min(available, -(-remaining // per_machine))
            unassigned[pool] = available - used
            remaining -= used * per_machine
            if remaining <= 0:
                break
    return remaining


def _on_demand_tasks(
    demand: Demand, remaining: int, refused: frozenset[MachinePool], backlog_exceeded: bool
) -> int:
    """Returns how many of the `remaining` tasks on-demand machines may be launched for."""
    no_spot = not demand.spot_cpus and not any(pool.spot for pool in demand.pools - refused)
    on_demand = remaining if backlog_exceeded or no_spot else min(remaining, demand.on_demand)
    if demand.urgent:
        preemptible_tasks = int((demand.preemptible_cpus + EPS) / max(demand.fleet_cpus, EPS))
        on_demand = max(on_demand, remaining - preemptible_tasks)
    return on_demand


def _cheapest_pool(
    demand: Demand, types: Sequence[MachineType], refused: frozenset[MachinePool], allow_on_demand: bool
) -> MachinePool | None:
    """Returns the pool with the lowest price per task, where a longer boot time raises the price."""

    def cost(pool: MachinePool) -> tuple[float, int, int, bool]:
        machine_type = types[pool.type]
        price = machine_type.spot_price if pool.spot else machine_type.price
        per_task = price / demand.slots_on(machine_type)
        return (per_task * (1.0 + machine_type.boot_s / BOOT_COST_S), pool.type, pool.zone, pool.spot)

    suitable = [
        pool
        for pool in demand.pools - refused
        if demand.slots_on(types[pool.type]) and (pool.spot or allow_on_demand)
    ]
    return min(suitable, key=cost, default=None)


def plan_service_launches(
    groups: Sequence[ServiceGroup],
    types: Sequence[MachineType],
    present: Mapping[MachinePool, int],
    refused: frozenset[MachinePool],
    prefer_fast_boot: bool = False,
) -> list[LaunchPlan]:
    """Returns the launches that give the services and their reserve enough capacity.

    `present` is the number of machines by pool, including those being launched. Among equally expensive
    pools, the one whose zone has the fewest CPUs for the group is chosen, so that the loss of a zone affects
    few replicas; with `prefer_fast_boot`, the one with the shortest boot time.
    """
    counts: dict[MachinePool, int] = {}
    for group in groups:
        zone_cpus: dict[int, float] = {}
        share = 0.0  # of the group's needed capacity that is present
        for pool in group.pools:
            count = present.get(pool, 0) + counts.get(pool, 0)
            share += count / group.machines[pool.type]
            zone_cpus[pool.zone] = zone_cpus.get(pool.zone, 0.0) + types[pool.type].cpus * count
        available = group.pools - refused
        if share >= 1.0 or not available:
            continue
        best = _best_service_pool(available, group, types, None if prefer_fast_boot else zone_cpus)
        missing = math.ceil((1.0 - share) * group.machines[best.type] - EPS)
        if missing > 0:
            counts[best] = counts.get(best, 0) + missing
    return [LaunchPlan(pool, min(MAX_PER_LAUNCH, count), "services") for pool, count in counts.items()]


def _best_service_pool(
    pools: frozenset[MachinePool],
    group: ServiceGroup,
    types: Sequence[MachineType],
    zone_cpus: Mapping[int, float] | None,
) -> MachinePool:
    """Returns the cheapest pool for the group.

    Among equally expensive pools it is the one whose zone has the fewest CPUs, or, if `zone_cpus` is None,
    the one with the shortest boot time.
    """

    def rank(pool: MachinePool) -> tuple[float, ...]:
        machine_type = types[pool.type]
        tie_breaker = machine_type.boot_s if zone_cpus is None else zone_cpus[pool.zone]
        return (round(machine_type.price * group.machines[pool.type], 6), tie_breaker, pool.type, pool.zone)

    return min(pools, key=rank)


def should_terminate(idle_s: float, age_s: float, on_demand: bool, waiting: bool, keep_s: float) -> bool:
    """Returns whether to delete an idle machine.

    `waiting`: there is waiting work that the machine could run. `keep_s`: how long an idle spot machine is
    kept. Keeping a machine that is younger than `MIN_CHARGE_S` costs nothing.
    """
    if waiting or age_s < MIN_CHARGE_S:
        return False
    return idle_s > keep_s * (ON_DEMAND_KEEP_SHARE if on_demand else 1.0)
