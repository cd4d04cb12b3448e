"""Estimates how much work waits for machines and which machine pools may serve it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.scheduling_queue import SchedulingQueue
from bayford.protocol import message_sizes
from bayford.scheduling import placement_rules, scaling
from bayford.scheduling.model import URGENT, Job, Machine
from bayford.scheduling.resources import EPS
from bayford.scheduling.scaling import Demand, MachinePool, PooledMachine

NO_FLEET_BACKLOG_S = (
    1e9  # used if work waits and the fleet is empty; at least the default of `ordinary_after_s`
)
REMAINING_RUN_SHARE = 0.5  # share of its run time that a running task is assumed to have left


def pools_for(state: LeaderState, job: Job) -> frozenset[MachinePool]:
    """Returns the machine pools that may serve the job. The lock of the state must be held."""
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
    """Capacity of the fleet, including machines being launched, that remains while the queue is traversed."""

    pool_cpus: dict[MachinePool, float]
    # Available to urgent work, less the urgent demand counted so far.
    preemptible_cpus: dict[MachinePool, float]
    headroom_cpus: dict[int, float]  # by team, in CPUs below its limit, less the demand counted so far
    spot_cpus: float  # of present spot machines, excluding those being launched
    # Available to work that ends: excludes the CPUs that services use, includes the on-demand machines
    # counted so far.
    cpus: float
    backlog_cpu_s: float  # CPU seconds of the running tasks and of the demand counted so far
    deadlines_need_on_demand: bool = False

    def take_headroom(self, job: Job, count: int) -> int:
        """Subtracts up to `count` tasks from the headroom of the job's team and returns how many fit.

        The headroom is what the team's limit leaves after the demand counted so far.
        """
        if job.spec.cpus > 0:
            count = int(min(count, (self.headroom_cpus[job.team] + EPS) / job.spec.cpus))
        self.headroom_cpus[job.team] -= count * job.spec.cpus
        return count

    def take_preemptible(self, pools: frozenset[MachinePool], cpus: float) -> float:
        """Subtracts up to `cpus` from the preemptible CPUs of these pools and returns the subtracted amount.

        Spot pools are used first, since some work can be served by on-demand pools only.
        """
        taken = 0.0
        for pool in sorted(pools, key=lambda pool: (not pool.spot, pool.type, pool.zone)):
            cpus_taken = min(cpus - taken, max(0.0, self.preemptible_cpus.get(pool, 0.0)))
            if cpus_taken > 0:
                self.preemptible_cpus[pool] -= cpus_taken
                taken += cpus_taken
        return taken


class WaitingDemand:
    """Estimates the waiting work for the autoscaler. The lock of the leader's state must be held."""

    def __init__(self, state: LeaderState, queue: SchedulingQueue) -> None:
        self._state = state
        self._queue = queue

    def estimate(self, now: float, machines: Sequence[PooledMachine]) -> list[Demand]:
        """Returns the demand of each waiting job in the order of service, within the teams' limits.

        Also stores in the state whether on-demand machines are needed, and in each job whether the fleet has
        spot machines that may serve it.
        """
        fleet = self._fleet_capacity(machines)
        demands = []
        for entry in self._queue.in_order(now, with_turns=False):
            count = fleet.take_headroom(entry.job, entry.count)
            if count > 0:
                demands.append(self._count_demand(entry.job, count, fleet, now))
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
        mean_cpus = sum(machine.cpus for _, machine in machines) / max(1, len(machines))
        # Services never end: the CPUs that they use are unavailable to other work, and their demand is no
        # backlog.
        service_cpus = running_cpu_s = 0.0
        for job in state.jobs.values():
            if not job.open:
                continue
            max_per_machine = message_sizes.reportable_tasks(job.report_bytes)
            cpus = scaling.machine_cpus_used(job.spec.cpus, mean_cpus, max_per_machine) * len(job.open)
            if job.is_service:
                service_cpus += cpus
            else:
                running_cpu_s += REMAINING_RUN_SHARE * state.expected_run_s(job) * cpus
        return _FleetCapacity(
            pool_cpus=pool_cpus,
            preemptible_cpus=preemptible_cpus,
            headroom_cpus={team: quota.cpus_max - quota.used_cpus for team, quota in enumerate(state.quotas)},
            spot_cpus=spot_cpus,
            cpus=sum(pool_cpus.values()) - service_cpus,
            backlog_cpu_s=running_cpu_s,
        )

    def _preemptible_cpus(self, machines: Sequence[PooledMachine]) -> dict[MachinePool, float]:
        """Returns the CPUs available to urgent work, by pool.

        These are all CPUs that urgent work does not use up already, including those of machines being
        launched.
        """
        preemptible: dict[MachinePool, float] = {}
        for pool, machine in machines:
            urgent = [p.job for p in machine.open.values() if p.job.spec.priority >= URGENT]
            preemptible[pool] = preemptible.get(pool, 0.0) + machine.cpus - _used_cpus(machine, urgent)
        for pool, count in self._state.launching.items():
            launching_cpus = self._state.types[pool.type].cpus * count
            preemptible[pool] = preemptible.get(pool, 0.0) + launching_cpus
        return preemptible

    def _count_demand(self, job: Job, count: int, fleet: _FleetCapacity, now: float) -> Demand:
        """Returns the demand of `count` waiting tasks and subtracts it from the fleet's capacity."""
        pools = self._find_allowed_pools(job)
        host_cpus = sum(fleet.pool_cpus.get(pool, 0.0) for pool in pools)
        spot_cpus = sum(fleet.pool_cpus.get(pool, 0.0) for pool in pools if pool.spot)
        job.has_spot_machines = spot_cpus > 0
        max_per_machine = message_sizes.reportable_tasks(job.report_bytes)
        cpus = scaling.fleet_cpus(job.spec.cpus, pools, self._state.types, max_per_machine)
        on_demand = 0 if job.is_service else self._count_on_demand_tasks(job, count, cpus, pools, fleet, now)
        urgent = job.spec.priority >= URGENT
        return Demand(
            pools=pools,
            tasks=count,
            cpus=job.spec.cpus,
            gpus=job.spec.gpus,
            mem_gb=job.spec.mem_gb,
            run_s=self._state.expected_run_s(job),
            urgent=urgent,
            on_demand=on_demand,
            host_cpus=host_cpus,
            spot_cpus=spot_cpus,
            preemptible_cpus=fleet.take_preemptible(pools, count * cpus) if urgent else 0.0,
            is_service=job.is_service,
            max_per_machine=max_per_machine,
            fleet_cpus=cpus,
        )

    def _find_allowed_pools(self, job: Job) -> frozenset[MachinePool]:
        pools = pools_for(self._state, job)
        if job.spec.one_zone or job.spec.spread:
            # The placement rules exclude some zones for the tasks that still wait. A machine launched there
            # would stay unused, and since the demand remained, further machines would be launched.
            zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of)
            return frozenset(
                pool for pool in pools if placement_rules.zone_allowed(job, pool.zone, zone_counts)
            )
        return pools

    def _count_on_demand_tasks(
        self,
        job: Job,
        count: int,
        cpus: float,
        pools: frozenset[MachinePool],
        fleet: _FleetCapacity,
        now: float,
    ) -> int:
        """Returns how many of the job's tasks justify on-demand machines; each uses up `cpus` of the fleet.

        On-demand machines are launched only if the deadline would be missed without them and can still be met
        with them, and only as many as that requires.
        """
        run_s = self._state.expected_run_s(job)
        fleet.backlog_cpu_s += count * cpus * run_s
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
        on_demand = min(count, max(0, math.ceil(lacking_cpus / max(cpus, 0.1))))
        fleet.cpus += on_demand * cpus
        return on_demand


def _used_cpus(machine: Machine, jobs: Sequence[Job]) -> float:
    """Returns the machine's CPUs that a task of each of these jobs uses up.

    They are the tasks' own CPUs, or as large a share of the machine's CPUs as they take of its heartbeat.
    """
    if not jobs:
        return 0.0
    report_share = sum(job.report_bytes for job in jobs) / message_sizes.MAX_REPORT_ENTRIES_BYTES
    return max(sum(job.spec.cpus for job in jobs), machine.cpus * report_share)


def backlog_s(demands: Sequence[Demand], state: LeaderState, machines: Sequence[PooledMachine]) -> float:
    """Returns the seconds that the fleet, including machines being launched, needs for the waiting work.

    Services are not counted, since they never end. The lock of the state must be held.
    """
    cpus = 0.0
    for _, machine in machines:
        cpus += machine.cpus
    for pool, count in state.launching.items():
        cpus += state.types[pool.type].cpus * count
    work_cpu_s = sum(
        demand.tasks * demand.fleet_cpus * demand.run_s for demand in demands if not demand.is_service
    )
    if cpus:
        return work_cpu_s / cpus
    return NO_FLEET_BACKLOG_S if work_cpu_s else 0.0
