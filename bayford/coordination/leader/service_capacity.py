"""The machines that are kept running for services, with a reserve for services to come."""

from collections.abc import Sequence

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.waiting_demand import pools_for
from bayford.protocol import message_sizes
from bayford.scheduling import scaling
from bayford.scheduling.model import Job, Machine
from bayford.scheduling.scaling import MachinePool, PooledMachine, ServiceGroup

MachineCounts = dict[
    frozenset[MachinePool], dict[int, float]
]  # number of machines, by set of pools and by machine type


class ServiceCapacity:
    """Computes how many machines the services need. The lock of the leader's state must be held."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def group_services(self, now: float) -> list[ServiceGroup]:
        """Returns the services grouped by the pools that may serve them, with the reserve for new services.

        Includes only services that are limited to on-demand machines. Such machines take longer to boot than
        a service may be down, so their capacity must be up before it is needed. Meanwhile other work uses it
        and is preempted at once when a service needs it. The reserve is a share of the present services plus
        the replicas accepted recently, which show how fast the services grow. A minimum is kept if there are
        services, or if the users' objectives name services and none has been submitted yet.
        """
        counts: MachineCounts = {}
        services = [job for job in self._state.jobs.values() if job.is_service and not job.cancelled]
        service_pools = []
        for job in services:
            pools = pools_for(self._state, job)
            service_pools.append(pools)
            with_reserve = job.spec.tasks * (1.0 + self._state.policy.service_share)
            self._add_replicas(counts, pools, job, with_reserve)
        boot_s = min(
            (machine_type.boot_s for machine_type in self._state.types if machine_type.zones), default=0.0
        )
        for job in self._recent_services(now, boot_s):
            self._add_replicas(counts, pools_for(self._state, job), job, job.spec.tasks)
        if self._state.objectives.service_classes or service_pools:
            self._add_floor(counts, service_pools, boot_s)
        return [ServiceGroup(pools, machines) for pools, machines in counts.items()]

    def _recent_services(self, now: float, boot_s: float) -> list[Job]:
        """Returns the services accepted within the last `service_boot_times` boot times; drops older ones."""
        state = self._state
        since = now - state.policy.service_boot_times * boot_s
        state.recent_services = [entry for entry in state.recent_services if entry[0] > since]
        return [state.jobs[spec.id] for _, spec in state.recent_services if spec.id in state.jobs]

    def _add_replicas(
        self, counts: MachineCounts, pools: frozenset[MachinePool], job: Job, replicas: float
    ) -> None:
        if not pools or any(pool.spot for pool in pools):
            return  # services that may use spot machines are served by the rest of the fleet
        spec = job.spec
        max_per_machine = message_sizes.reportable_tasks(job.report_bytes)
        machines = counts.setdefault(pools, {})
        for type_index in {pool.type for pool in pools}:
            per_machine = scaling.slots(
                self._state.types[type_index], spec.cpus, spec.gpus, spec.mem_gb, max_per_machine
            )
            machines[type_index] = machines.get(type_index, 0.0) + replicas / max(1, per_machine)

    def _add_floor(
        self, counts: MachineCounts, service_pools: list[frozenset[MachinePool]], boot_s: float
    ) -> None:
        """Adds the minimum capacity to the largest set of pools that may serve a present service.

        If there is no service, all on-demand pools are used.
        """
        state = self._state
        pools = max(service_pools, key=len, default=self._on_demand_pools())
        if not pools or any(pool.spot for pool in pools):
            return
        # If services may take longer to start than a machine takes to boot, less capacity is needed in
        # advance.
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

    def kept_machines(self, groups: list[ServiceGroup], present: Sequence[PooledMachine]) -> set[int]:
        """Returns the on-demand machines that the services and their reserve need.

        Machines with the most replicas are chosen first, so that no replica has to move when other machines
        are deleted.
        """
        kept: set[int] = set()
        if not groups:
            return kept
        on_demand = [entry for entry in present if not entry.pool.spot]
        replicas = {machine.index: _count_replicas(machine) for _, machine in on_demand}
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


def _count_replicas(machine: Machine) -> int:
    return sum(placement.job.is_service for placement in machine.open.values())
