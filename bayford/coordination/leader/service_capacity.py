"""The machines that are kept up for long-running services, with a reserve for those to come."""

from collections.abc import Sequence

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.waiting_demand import pools_for
from bayford.scheduling import scaling
from bayford.scheduling.model import Job, JobSpec, Machine
from bayford.scheduling.scaling import Group, MachinePool, PooledMachine

MachineCounts = dict[frozenset[MachinePool], dict[int, float]]  # by pools and machine type


class ServiceCapacity:
    """How many machines the services need. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def groups(self, now: float) -> list[Group]:
        """The services by the pools that may serve them, with the reserve for what comes next.

        Services of on-demand machines alone: these boot in longer than a service may be down, so their
        capacity has to be up before it is needed. It is not idle meanwhile: other work runs there and is
        preempted at once. The reserve grows with the services that run and with what was accepted lately,
        which is the pace at which it grows; where the users' objectives name services and none has come yet,
        there is a floor.
        """
        counts: MachineCounts = {}
        services = [job for job in self._state.jobs.values() if job.is_service and not job.cancelled]
        service_pools = []
        for job in services:
            pools = pools_for(self._state, job)
            service_pools.append(pools)
            with_reserve = job.spec.tasks * (1.0 + self._state.policy.service_share)
            self._add_replicas(counts, pools, job.spec, with_reserve)
        boot_s = min(
            (machine_type.boot_s for machine_type in self._state.types if machine_type.zones), default=0.0
        )
        for job in self._recent_services(now, boot_s):
            self._add_replicas(counts, pools_for(self._state, job), job.spec, job.spec.tasks)
        if self._state.objectives.service_classes or service_pools:
            self._add_floor(counts, service_pools, boot_s)
        return [Group(pools, machines) for pools, machines in counts.items()]

    def _recent_services(self, now: float, boot_s: float) -> list[Job]:
        """Services accepted within some boot times; older ones are forgotten."""
        state = self._state
        since = now - state.policy.service_boot_times * boot_s
        state.recent_services = [entry for entry in state.recent_services if entry[0] > since]
        return [state.jobs[spec.id] for _, spec in state.recent_services if spec.id in state.jobs]

    def _add_replicas(
        self, counts: MachineCounts, pools: frozenset[MachinePool], spec: JobSpec, replicas: float
    ) -> None:
        if not pools or any(pool.spot for pool in pools):
            return  # what spot machines may serve is served by the fleet that is there anyhow
        machines = counts.setdefault(pools, {})
        for type_index in {pool.type for pool in pools}:
            per_machine = scaling.slots(self._state.types[type_index], spec.cpus, spec.gpus, spec.mem_gb)
            machines[type_index] = machines.get(type_index, 0.0) + replicas / max(1, per_machine)

    def _add_floor(
        self, counts: MachineCounts, service_pools: list[frozenset[MachinePool]], boot_s: float
    ) -> None:
        """The least that is kept up, in the largest set of pools that serves a service, or in all pools."""
        state = self._state
        pools = max(service_pools, key=len, default=self._on_demand_pools())
        if not pools or any(pool.spot for pool in pools):
            return
        # Where a service may take longer to start than a machine to boot, less has to be up beforehand.
        start_target_s = state.objectives.service_start_target_s
        share = min(1.0, boot_s / start_target_s) if start_target_s else 1.0
        machines = counts.setdefault(pools, {})
        for type_index in {pool.type for pool in pools}:
            floor = state.policy.service_floor * share / max(1.0, state.types[type_index].cpus)
            machines[type_index] = machines.get(type_index, 0.0) + floor

    def _on_demand_pools(self) -> frozenset[MachinePool]:
        state = self._state
        return frozenset(
            MachinePool(type_index, state.zones.index(zone), False)
            for type_index, machine_type in enumerate(state.types)
            for zone in machine_type.zones
            if state.zones.index(zone) not in state.closed_zones
        )

    def kept_machines(self, groups: list[Group], present: Sequence[PooledMachine]) -> set[int]:
        """The on-demand machines that the services and their reserve need: those with the most replicas
        first, so that none has to move for another to go back."""
        kept: set[int] = set()
        if not groups:
            return kept
        on_demand = [entry for entry in present if not entry.pool.spot]
        replicas = {machine.index: _replicas_on(machine) for _, machine in on_demand}
        on_demand.sort(
            key=lambda entry: (
                -replicas[entry.machine.index],
                -len(entry.machine.open),
                entry.machine.index,
            )
        )
        for group in groups:
            share = 0.0
            for pool, machine in on_demand:
                if pool in group.pools and (share < 1.0 or replicas[machine.index]):
                    share += 1.0 / group.machines[pool.type]
                    kept.add(machine.index)
        return kept


def _replicas_on(machine: Machine) -> int:
    return sum(placement.job.is_service for placement in machine.open.values())
