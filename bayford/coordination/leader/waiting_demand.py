"""How much work waits for machines, and which machine pools may serve it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.scheduling_queue import SchedulingQueue
from bayford.scheduling import placement_rules
from bayford.scheduling.model import EPS, URGENT, Job
from bayford.scheduling.scaling import Demand, MachinePool, PooledMachine

NO_FLEET_BACKLOG_S = 1e9  # work waits and there is no machine: the default of `ordinary_after_s`, or more


def pools_for(state: LeaderState, job: Job) -> frozenset[MachinePool]:
    """The machine pools that may serve the job. Called under the lock of the state."""
    pools = set()
    for type_index, machine_type in enumerate(state.types):
        if not machine_type.zones or not machine_type.fits(job.spec):
            continue
        if job.types is not None and type_index not in job.types:
            continue
        for zone_name in machine_type.zones:
            zone = state.zones.index(zone_name)
            if (job.zone is not None and zone != job.zone) or zone in state.closed_zones:
                continue
            pools.add(MachinePool(type_index, zone, False))
            if job.spec.spot:
                pools.add(MachinePool(type_index, zone, True))
    return frozenset(pools)


@dataclass(slots=True)
class _FleetCapacity:
    """The fleet, machines being launched included, while the queue is gone through."""

    pool_cpus: dict[MachinePool, float]
    preemptible_cpus: dict[MachinePool, float]  # what urgent work may have, less what is counted for it
    headroom_cpus: dict[int, float]  # by team, less the demand counted so far
    spot_cpus: float  # present alone, without those being launched
    cpus: float  # for work that ends: without what services hold, with on-demand machines counted so far
    backlog_cpu_s: float  # CPU seconds of the running tasks and of the demand counted so far
    deadlines_need_on_demand: bool = False

    def take_headroom(self, job: Job, count: int) -> int:
        """How many of `count` tasks their team's limit allows beside the demand counted so far."""
        if job.spec.cpus > 0:
            count = int(min(count, (self.headroom_cpus[job.team] + EPS) / job.spec.cpus))
        self.headroom_cpus[job.team] -= count * job.spec.cpus
        return count

    def take_preemptible(self, pools: frozenset[MachinePool], cpus: float) -> float:
        """Take up to `cpus` of what urgent work may have in these pools; how much that was. The spot pools
        first, since some work may be served by the on-demand ones alone."""
        taken = 0.0
        for pool in sorted(pools, key=lambda pool: (not pool.spot, pool.type, pool.zone)):
            part = min(cpus - taken, max(0.0, self.preemptible_cpus.get(pool, 0.0)))
            if part > 0:
                self.preemptible_cpus[pool] -= part
                taken += part
        return taken


class WaitingDemand:
    """Counts the work that waits, for the autoscaler. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, queue: SchedulingQueue) -> None:
        self._state = state
        self._queue = queue

    def estimate(self, now: float, machines: Sequence[PooledMachine]) -> list[Demand]:
        """The demand of each waiting job in the order of service, within the limits of the teams.

        Also notes in the state whether the on-demand machines are needed, and of each job whether there are
        spot machines that may serve it.
        """
        fleet = self._fleet_capacity(machines)
        demands = []
        for entry in self._queue.in_order(now, with_turns=False):
            count = fleet.take_headroom(entry.job, entry.count)
            if count > 0:
                demands.append(self._demand(entry.job, count, fleet, now))
        self._state.on_demand_needed = fleet.deadlines_need_on_demand or not fleet.spot_cpus
        return demands

    def _fleet_capacity(self, machines: Sequence[PooledMachine]) -> _FleetCapacity:
        state = self._state
        preemptible_cpus = self._preemptible_cpus(machines)
        pool_cpus: dict[MachinePool, float] = {}
        for pool, machine in machines:
            pool_cpus[pool] = pool_cpus.get(pool, 0.0) + machine.cpus
        spot_cpus = sum(cpus for pool, cpus in pool_cpus.items() if pool.spot)
        for pool, count in state.launching.items():
            pool_cpus[pool] = pool_cpus.get(pool, 0.0) + state.types[pool.type].cpus * count
        # What services hold is not there for work that ends, and what they need is no backlog.
        service_cpus = sum(job.spec.cpus * len(job.open) for job in state.jobs.values() if job.is_service)
        running_cpu_s = sum(
            0.5 * state.expected(job) * job.spec.cpus * len(job.open)
            for job in state.jobs.values()
            if not job.is_service
        )
        return _FleetCapacity(
            pool_cpus=pool_cpus,
            preemptible_cpus=preemptible_cpus,
            headroom_cpus={team: quota.cpus_max - quota.used_cpus for team, quota in enumerate(state.quotas)},
            spot_cpus=spot_cpus,
            cpus=sum(pool_cpus.values()) - service_cpus,
            backlog_cpu_s=running_cpu_s,
        )

    def _preemptible_cpus(self, machines: Sequence[PooledMachine]) -> dict[MachinePool, float]:
        """CPUs that urgent work may have by pool: all that it does not hold already, those of machines being
        launched included."""
        preemptible: dict[MachinePool, float] = {}
        for pool, machine in machines:
            held = sum(p.job.spec.cpus for p in machine.open.values() if p.job.spec.priority >= URGENT)
            preemptible[pool] = preemptible.get(pool, 0.0) + machine.cpus - held
        for pool, count in self._state.launching.items():
            launching_cpus = self._state.types[pool.type].cpus * count
            preemptible[pool] = preemptible.get(pool, 0.0) + launching_cpus
        return preemptible

    def _demand(self, job: Job, count: int, fleet: _FleetCapacity, now: float) -> Demand:
        """The demand of `count` waiting tasks, which it counts against the fleet."""
        pools = self._open_pools(job)
        host_cpus = sum(fleet.pool_cpus.get(pool, 0.0) for pool in pools)
        spot_cpus = sum(fleet.pool_cpus.get(pool, 0.0) for pool in pools if pool.spot)
        job.spot_hosts = spot_cpus > 0
        on_demand = 0 if job.is_service else self._worth_on_demand(job, count, pools, fleet, now)
        urgent = job.spec.priority >= URGENT
        return Demand(
            pools=pools,
            tasks=count,
            cpus=job.spec.cpus,
            gpus=job.spec.gpus,
            mem_gb=job.spec.mem_gb,
            run_s=self._state.expected(job),
            urgent=urgent,
            on_demand=on_demand,
            host_cpus=host_cpus,
            spot_cpus=spot_cpus,
            preemptible_cpus=fleet.take_preemptible(pools, count * job.spec.cpus) if urgent else 0.0,
            is_service=job.is_service,
        )

    def _open_pools(self, job: Job) -> frozenset[MachinePool]:
        pools = pools_for(self._state, job)
        if job.spec.one_zone or job.spec.spread:
            # A machine in a zone that is closed to what still waits is launched in vain, and again and
            # again.
            zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of)
            return frozenset(
                pool for pool in pools if placement_rules.zone_allowed(job, pool.zone, zone_counts)
            )
        return pools

    def _worth_on_demand(
        self, job: Job, count: int, pools: frozenset[MachinePool], fleet: _FleetCapacity, now: float
    ) -> int:
        """How many of the job's tasks are worth on-demand machines: these are launched only where they still
        make the difference between a deadline met and missed, and only as many as that takes."""
        run_s = self._state.expected(job)
        fleet.backlog_cpu_s += count * job.spec.cpus * run_s
        due_s = self._state.due_s(job)
        if due_s is None:
            return 0
        age_s = now - job.created
        slack_s = self._state.policy.target_margin * due_s - age_s - run_s
        boot_s = min((self._state.types[pool.type].boot_s for pool in pools), default=0.0)
        if slack_s <= 0 or fleet.backlog_cpu_s / slack_s > fleet.spot_cpus:
            fleet.deadlines_need_on_demand = True
        if slack_s <= 0 or age_s + boot_s + run_s >= due_s:
            return 0
        lacking_cpus = fleet.backlog_cpu_s / slack_s - fleet.cpus
        on_demand = min(count, max(0, math.ceil(lacking_cpus / max(job.spec.cpus, 0.1))))
        fleet.cpus += on_demand * job.spec.cpus
        return on_demand


def backlog_s(demands: Sequence[Demand], state: LeaderState, machines: Sequence[PooledMachine]) -> float:
    """How long the fleet, machines being launched included, takes for the waiting work that ends. Called
    under the lock of the state."""
    cpus = 0.0
    for _, machine in machines:
        cpus += machine.cpus
    for pool, count in state.launching.items():
        cpus += state.types[pool.type].cpus * count
    work = sum(demand.tasks * demand.cpus * demand.run_s for demand in demands if not demand.is_service)
    if cpus:
        return work / cpus
    return NO_FLEET_BACKLOG_S if work else 0.0
