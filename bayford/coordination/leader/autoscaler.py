"""What the leader asks of the cloud: launch requests, returns, deletions."""

import dataclasses
import logging
import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MIN_HEALTHY_RUN_S
from bayford.coordination.leader.scheduling_round import SchedulingRound
from bayford.protocol.cloud_api import Listed
from bayford.scheduling import placement_rules, scaling
from bayford.scheduling.model import (
    EPS,
    URGENT,
    Job,
    JobSpec,
    Machine,
)

log = logging.getLogger("bayford.engine")

PooledMachines = Sequence[tuple[scaling.MachinePool, Machine]]  # the machines that count, by kind

UNCONFIRMED_CANCEL = "a cancelled task there is not confirmed stopped"


@dataclass(frozen=True, slots=True)
class LaunchRequest:
    """Machines to ask the cloud for, by the names that it knows."""

    type: str
    zone: str
    spot: bool
    count: int
    reason: str


@dataclass(frozen=True, slots=True)
class Deletion:
    """A machine to give back, and why."""

    machine: str
    reason: str


@dataclass(slots=True)
class ScalingActions:
    """What the cloud thread is to do now."""

    launches: list[LaunchRequest] = field(default_factory=list)
    deletions: list[Deletion] = field(default_factory=list)


class Autoscaler:
    """The fleet: what waits for machines, and which machines go back. Takes the lock of the leader's state by
    itself."""

    def __init__(self, state: LeaderState, scheduling: SchedulingRound) -> None:
        """`scheduling`: for the order of service."""
        self._state = state
        self._scheduling = scheduling

    def on_list(self, listed: Iterable[Listed], began: float) -> None:
        """The cloud's list, asked for at `began`. Lagging; what it lacks may be up already."""
        with self._state.lock:
            if not self._state.leader:
                return
            now = self._state.clock()
            self._state.listed_at = began
            names = set()
            for entry in listed:
                names.add(entry.name)
                if entry.name not in self._state.deleted_machines:
                    self._take_listed(entry, began, now)
            for machine in self._state.machines.values():
                if machine.listed and machine.name not in names:
                    machine.missing_from_lists += 1

    def _take_listed(self, entry: Listed, began: float, now: float) -> None:
        fresh = self._state.machine_names.find(entry.name) not in self._state.machines
        machine = self._state.machine_named(entry.name, now)
        if fresh:
            log.info("machine %s: found in the list, %s", entry.name, entry.phase)
        machine.launched_at = min(machine.launched_at, began - entry.age_s)
        machine.listed = True
        machine.missing_from_lists = 0
        if machine.zone is None:
            machine.zone = self._state.zones.index(entry.zone)
            machine.spot = entry.spot
        if machine.type is None:
            self._state.learn_type(machine, entry.type)
        if entry.phase == "failed":
            machine.quarantined = machine.lost = True

    def scaling_step(self, listening: float) -> ScalingActions:
        """What to launch and what to delete now. Nobody counts as silent before `listening`: until then we
        stood still, or turned reports away."""
        step = ScalingActions()
        with self._state.lock:
            if not self._state.leader or not self._state.complete or not self._state.types:
                return step
            now = self._state.clock()
            present = list(self._fleet())
            waiting = self._demands(now, present)
            groups = self._service_groups(now)
            self._state.service_machines = self._kept_for_services(groups, present)
            self._deletions(step, now, waiting, listening)
            # Without those that have just been given up.
            staying = [(pool, machine) for pool, machine in present if not machine.deleting]
            self._plan_launches(step, now, waiting, groups, staying)
        return step

    def _fleet(self) -> Iterator[tuple[scaling.MachinePool, Machine]]:
        """The machines that count: neither on their way back nor at fault."""
        for machine in self._state.machines.values():
            if machine.type is None or machine.zone is None or machine.quarantined or machine.deleting:
                continue
            yield scaling.MachinePool(machine.type, machine.zone, machine.spot), machine

    def _demands(self, now: float, machines: PooledMachines) -> list[scaling.Demand]:
        demands = []
        yields = self._yields(machines)
        room = {n: s.cpus_max - s.used_cpus for n, s in enumerate(self._state.quotas)}
        present: dict[
            scaling.MachinePool, float
        ] = {}  # CPUs, first of what is there, then of what is coming too
        for pool, machine in machines:
            present[pool] = present.get(pool, 0.0) + machine.cpus
        spot_cpus = sum(cpus for pool, cpus in present.items() if pool.spot)
        for pool, count in self._state.launching.items():
            present[pool] = present.get(pool, 0.0) + self._state.types[pool.type].cpus * count
        # What services hold is not there for work that ends, and what they need is no backlog.
        cpus = sum(present.values()) - sum(
            j.spec.cpus * len(j.open) for j in self._state.jobs.values() if j.is_service
        )
        keep_on_demand = False
        ahead = sum(
            0.5 * self._state.expected(j) * j.spec.cpus * len(j.open)
            for j in self._state.jobs.values()
            if not j.is_service
        )
        for entry in self._scheduling.queue(now, turns=False):
            job, count = entry.job, entry.count
            if job.spec.cpus > 0:
                count = int(min(count, (room[job.team] + EPS) / job.spec.cpus))
            room[job.team] -= count * job.spec.cpus
            if count <= 0:
                continue
            pools = self._pools(job)
            if job.spec.one_zone or job.spec.spread:
                # A machine in a zone that is closed to what still waits is launched in vain, and again and
                # again.
                open_ = placement_rules.zones_open(job, self._state.zone_of)
                pools = frozenset(o for o in pools if placement_rules.zone_allowed(job, o.zone, open_))
            hosts = sum(present.get(o, 0.0) for o in pools)
            spot_hosts = sum(present.get(o, 0.0) for o in pools if o.spot)
            job.spot_hosts = spot_hosts > 0
            run = self._state.expected(job)
            on_demand = 0
            target = None
            if not job.is_service:
                ahead += count * job.spec.cpus * run
                target = self._state.due_s(job)
            if target is not None:
                # Dear machines only where they still make the difference, and only as many as that takes.
                age = now - job.created
                spare = self._state.policy.target_margin * target - age - run
                boot = min((self._state.types[o.type].boot_s for o in pools), default=0.0)
                if spare <= 0 or ahead / spare > spot_cpus:
                    keep_on_demand = True
                if spare > 0 and age + boot + run < target:
                    lacking = ahead / spare - cpus
                    on_demand = min(count, max(0, math.ceil(lacking / max(job.spec.cpus, 0.1))))
                    cpus += on_demand * job.spec.cpus
            urgent = job.spec.priority >= URGENT
            demands.append(
                scaling.Demand(
                    pools,
                    count,
                    job.spec.cpus,
                    job.spec.gpus,
                    job.spec.mem_gb,
                    run,
                    urgent,
                    on_demand,
                    hosts,
                    spot_hosts,
                    self._yielded(yields, pools, count * job.spec.cpus) if urgent else 0.0,
                    job.is_service,
                )
            )
        self._state.on_demand_needed = keep_on_demand or not spot_cpus
        return demands

    def _pools(self, job: Job) -> frozenset[scaling.MachinePool]:
        """The kinds of machine that may serve the job."""
        pools = set()
        for index, kind in enumerate(self._state.types):
            if not kind.zones or not kind.fits(job.spec):
                continue
            if job.types is not None and index not in job.types:
                continue
            for zone_name in kind.zones:
                zone = self._state.zones.index(zone_name)
                if (job.zone is not None and zone != job.zone) or zone in self._state.closed_zones:
                    continue
                pools.add(scaling.MachinePool(index, zone, False))
                if job.spec.spot:
                    pools.add(scaling.MachinePool(index, zone, True))
        return frozenset(pools)

    def _yields(self, machines: PooledMachines) -> dict[scaling.MachinePool, float]:
        """CPUs that urgent work may have by kind of machine: all that it does not hold already, what is on
        its way included."""
        out: dict[scaling.MachinePool, float] = {}
        for pool, machine in machines:
            held = sum(p.job.spec.cpus for p in machine.open.values() if p.job.spec.priority >= URGENT)
            out[pool] = out.get(pool, 0.0) + machine.cpus - held
        for pool, count in self._state.launching.items():
            out[pool] = out.get(pool, 0.0) + self._state.types[pool.type].cpus * count
        return out

    @staticmethod
    def _yielded(
        yields: dict[scaling.MachinePool, float], pools: frozenset[scaling.MachinePool], cpus: float
    ) -> float:
        """Take up to `cpus` of what the kinds in `pools` yield; how much that was. The spot ones first,
        since some work may have no others than the on-demand ones."""
        got = 0.0
        for pool in sorted(pools, key=lambda o: (not o.spot, o.type, o.zone)):
            task_id = min(cpus - got, max(0.0, yields.get(pool, 0.0)))
            if task_id > 0:
                yields[pool] -= task_id
                got += task_id
        return got

    def _service_groups(self, now: float) -> list[scaling.Group]:
        """What is standing, by the kinds of machine that may serve it, with the reserve for what comes next.

        Services of on-demand machines alone: these boot in longer than a service may be away, so their room
        has to be up before it is needed. It is not idle meanwhile: other work runs there and makes way at
        once. The reserve grows with what stands and with what was accepted lately, which is the pace at
        which it grows; where the users' aims name services and none has come yet, there is a floor.
        """
        sizes: dict[frozenset[scaling.MachinePool], dict[int, float]] = {}

        def count(pools: frozenset[scaling.MachinePool], spec: JobSpec, tasks: float) -> None:
            if not pools or any(pool.spot for pool in pools):
                return  # what spot machines may serve is served by the fleet that is there anyhow
            need = sizes.setdefault(pools, {})
            for index in {pool.type for pool in pools}:
                kind = self._state.types[index]
                per = scaling.slots(kind, spec.cpus, spec.gpus, spec.mem_gb)
                need[index] = need.get(index, 0.0) + tasks / max(1, per)

        boot = min((kind.boot_s for kind in self._state.types if kind.zones), default=0.0)
        # Where a service may take longer to start than a machine to boot, less has to be up beforehand.
        hurry = (
            min(1.0, boot / self._state.objectives.service_start_target_s)
            if self._state.objectives.service_start_target_s
            else 1.0
        )
        known = []
        for job in self._state.jobs.values():
            if job.is_service and not job.cancelled:
                known.append(self._pools(job))
                count(known[-1], job.spec, job.spec.tasks * (1.0 + self._state.policy.service_share))
        since = now - self._state.policy.service_boot_times * boot
        self._state.recent_services = [entry for entry in self._state.recent_services if entry[0] > since]
        for _, spec in self._state.recent_services:
            lately = self._state.jobs.get(spec.id)
            if lately is not None:
                count(self._pools(lately), spec, spec.tasks)
        if self._state.objectives.service_classes or known:
            ordinary = frozenset(
                scaling.MachinePool(index, self._state.zones.index(zone), False)
                for index, kind in enumerate(self._state.types)
                for zone in kind.zones
                if self._state.zones.index(zone) not in self._state.closed_zones
            )
            pools = max(known, key=len, default=ordinary)
            if pools and not any(pool.spot for pool in pools):
                need = sizes.setdefault(pools, {})
                for index in {pool.type for pool in pools}:
                    floor = self._state.policy.service_floor * hurry / max(1.0, self._state.types[index].cpus)
                    need[index] = need.get(index, 0.0) + floor
        return [scaling.Group(pools, need) for pools, need in sizes.items()]

    def _kept_for_services(self, groups: list[scaling.Group], present: PooledMachines) -> set[int]:
        """The on-demand machines that the services and their reserve need: those with the most
        replicas first, so that none has to move for another to go back."""
        kept: set[int] = set()
        if not groups:
            return kept
        machines = [(pool, m) for pool, m in present if not pool.spot]
        replicas = {m.index: sum(p.job.is_service for p in m.open.values()) for _, m in machines}
        machines.sort(key=lambda entry: (-replicas[entry[1].index], -len(entry[1].open), entry[1].index))
        for group in groups:
            share = 0.0
            for pool, machine in machines:
                if pool in group.pools and (share < 1.0 or replicas[machine.index]):
                    share += 1.0 / group.machines[pool.type]
                    kept.add(machine.index)
        return kept

    def _plan_launches(
        self,
        step: ScalingActions,
        now: float,
        demands: list[scaling.Demand],
        groups: list[scaling.Group],
        machines: PooledMachines,
    ) -> None:
        lag = self._state.settings.facts.cloud.list_lag_s if self._state.recovered_predecessor else 0.0
        if self._state.listed_at < self._state.leader_since + lag:
            # What the leader before us launched a moment ago is in no list yet: launching now would launch it
            # twice.
            return
        spare: dict[scaling.MachinePool, int] = dict(self._state.launching)
        cpus = 0.0
        for pool, machine in machines:
            cpus += machine.cpus
            if not machine.registered:
                spare[pool] = spare.get(pool, 0) + 1
        for pool, count in self._state.launching.items():
            cpus += self._state.types[pool.type].cpus * count
        work = sum(n.tasks * n.cpus * n.run_s for n in demands if not n.is_service)
        busy = work / cpus if cpus else (1e9 if work else 0.0)
        refused = frozenset(o for o, until in self._state.refused.items() if until > now)
        fleet_now: dict[scaling.MachinePool, int] = dict(self._state.launching)
        for pool, machine in machines:
            if machine.reclaim_at is None:
                fleet_now[pool] = fleet_now.get(pool, 0) + 1
        launches = scaling.plan_service_launches(
            groups, self._state.types, fleet_now, refused, any(need.is_service for need in demands)
        )
        for launch in launches:
            spare[launch.pool] = spare.get(launch.pool, 0) + launch.count
        launches += scaling.plan_launches(
            demands,
            self._state.types,
            spare,
            refused,
            busy,
            self._state.policy.ordinary_after_s,
            self._state.policy.patience_s,
        )
        for launch in self._paced(launches, machines):
            pool = launch.pool
            self._asked_for(pool, launch.count)
            kind, zone = self._state.type_names[pool.type], self._state.zones[pool.zone]
            log.info(
                "renting %d %s in %s%s: %s (backlog %.0f s)",
                launch.count,
                kind,
                zone,
                " (spot)" if pool.spot else "",
                launch.why,
                busy,
            )
            step.launches.append(LaunchRequest(kind, zone, pool.spot, launch.count, launch.why))

    def _paced(
        self, launches: list[scaling.LaunchPlan], machines: PooledMachines
    ) -> list[scaling.LaunchPlan]:
        """Into a zone that returns and of which nothing answers yet only a few machines, to see."""
        answering = {
            pool.zone for pool, machine in machines if machine.index in self._state.verified_machines
        }
        out = []
        for launch in launches:
            zone = launch.pool.zone
            if zone in self._state.returning_zones and zone not in answering:
                coming = sum(n for pool, n in self._state.launching.items() if pool.zone == zone)
                there = sum(pool.zone == zone for pool, _ in machines)
                count = min(launch.count, self._state.policy.recovery_least - coming - there)
                if count <= 0:
                    continue
                launch = dataclasses.replace(launch, count=count)
            out.append(launch)
        return out

    def on_launched(self, order: LaunchRequest, names: list[str], at: float) -> None:
        """A launch request was answered (`names` may be fewer than asked) or refused (none)."""
        with self._state.lock:
            pool = self._pool(order)
            self._asked_for(pool, -order.count)
            now = self._state.clock()
            if len(names) < order.count:
                self._state.refused[pool] = now + self._state.policy.refused_s
                log.info(
                    "cloud gave %d of %d %s in %s (spot %s)",
                    len(names),
                    order.count,
                    order.type,
                    order.zone,
                    order.spot,
                )
            if not self._state.leader:
                return
            for name in names:
                if name in self._state.deleted_machines:
                    continue
                machine = self._state.machine_named(name, now)
                machine.launched_at = min(machine.launched_at, at)
                machine.zone = pool.zone
                machine.spot = pool.spot
                self._state.learn_type(machine, order.type)

    def on_launch_failed(self, order: LaunchRequest) -> None:
        """The request was not sent after all; the cloud has refused nothing."""
        with self._state.lock:
            self._asked_for(self._pool(order), -order.count)

    def _pool(self, order: LaunchRequest) -> scaling.MachinePool:
        return scaling.MachinePool(
            self._state.type_names.index(order.type), self._state.zones.index(order.zone), order.spot
        )

    def _asked_for(self, pool: scaling.MachinePool, count: int) -> None:
        self._state.launching[pool] = max(0, self._state.launching.get(pool, 0) + count)
        if not self._state.launching[pool]:
            del self._state.launching[pool]

    def _deletions(
        self, step: ScalingActions, now: float, demands: list[scaling.Demand], listening: float
    ) -> None:
        facts = self._state.settings.facts.workers
        # If nobody at all reports, or many machines fall silent together, the fault lies with this controller
        # or the network: wait longer. A wave of spot machines taken shows in the cloud's list.
        known = [m for m in self._state.machines.values() if m.registered and not m.deleting]
        quiet_now = sum(
            now - max(m.last_heartbeat_at, listening) > 2.5 * facts.heartbeat_interval_s for m in known
        )
        deaf = (
            now - self._state.last_heartbeat_received_at > 3.0
            or now - self._state.leader_since < facts.lease_s
            or quiet_now > max(3, len(known) // 4)
        )
        silent = facts.lease_s * (2.5 if deaf else 1.0) + facts.heartbeat_interval_s
        # Right after a failover the workers may still be answered by the deposed leader, who can't know
        # yet if the state service refuses only it; it stops by itself at this bound.
        unheard = max(silent, self._state.staleness_limit() + 3.0)
        spare = sum(m.cpus for m in self._state.machines.values() if m.usable and not m.open)
        urgent_cancel: set[int] = set()
        for job in self._state.jobs.values():
            if job.cancelled and now - job.cancelled_at > 0.5 * facts.cancel_s:
                urgent_cancel.update(p.machine for p in job.open.values())
        for machine in self._state.machines.values():
            if machine.deleting:
                continue
            quiet = now - max(machine.last_heartbeat_at, listening)
            if machine.index in urgent_cancel:
                why = UNCONFIRMED_CANCEL
            elif not machine.registered and not machine.open:
                why = self._never_up(machine, now, quiet)
            else:
                why = self._lost(machine, now, quiet, silent if machine.registered else unheard)
                if not why and not machine.open and self._idle(machine, now, demands, spare):
                    why = "idle"
                    spare -= machine.cpus
            if why:
                machine.deleting = True
                step.deletions.append(Deletion(machine.name, why))
                log.info("deleting machine %s: %s, %d tasks there", machine.name, why, len(machine.open))

    def _lost(self, machine: Machine, now: float, quiet: float, patience: float) -> str:
        """Why a machine that has been up is of no use any more, empty if it is."""
        if (
            machine.missing_from_lists >= 2
            and quiet > self._state.settings.facts.workers.heartbeat_interval_s * 1.5
        ):
            return "gone from the cloud's list"
        if quiet > patience:
            return f"silent for {quiet:.0f} s"
        if machine.quarantined and not self._serves(machine, now):
            return "quarantined"
        if machine.reclaim_at is not None and not machine.open:
            return "to be taken by the cloud, empty"
        return ""

    def _never_up(self, machine: Machine, now: float, quiet: float) -> str:
        """Why a machine that nobody has heard yet is given up, empty if it is not."""
        boot = self._state.types[machine.type].boot_s if machine.type is not None else 60.0
        if machine.missing_from_lists >= 3 or machine.quarantined:
            return "gone or failed while booting"
        if now - machine.launched_at > max(4.0 * boot, 60.0) and quiet > boot:
            return "never came up"
        return ""

    def overdue(self) -> set[str]:
        """Machines to delete even where nobody can be sure to be the leader: a cancelled task there is not
        confirmed stopped and its time is running out. One that holds nothing else costs nobody anything and
        goes early; one with other work only when there is just the time for it left."""
        with self._state.lock:
            return {machine.name for machine in self._overdue()}

    def _overdue(self) -> list[Machine]:
        now = self._state.clock()
        cancel_s = self._state.settings.facts.workers.cancel_s
        late: dict[int, float] = {}
        for job in self._state.jobs.values():
            if job.cancelled:
                for placement in job.open.values():
                    late[placement.machine] = max(late.get(placement.machine, 0.0), now - job.cancelled_at)
        out = []
        for index, since in late.items():
            machine = self._state.machines[index]
            alone = all(placement.job.cancelled for placement in machine.open.values())
            if since > (0.5 if alone else 0.75) * cancel_s:
                out.append(machine)
        return out

    def overdue_step(self) -> ScalingActions:
        """The same as something to do."""
        step = ScalingActions()
        with self._state.lock:
            for machine in self._overdue():
                if not machine.deleting:
                    machine.deleting = True
                    step.deletions.append(Deletion(machine.name, UNCONFIRMED_CANCEL))
                    log.info(
                        "deleting machine %s unverified: a cancelled task runs out of time", machine.name
                    )
        return step

    def _serves(self, machine: Machine, now: float) -> bool:
        """Whether replicas of services run on this machine all the same. It fails what it starts; to delete
        it for that would end what runs, and a replica started elsewhere is away meanwhile."""
        return not machine.lost and any(
            p.job.is_service and p.running_since is not None and now - p.running_since > MIN_HEALTHY_RUN_S
            for p in machine.open.values()
        )

    def _idle(self, machine: Machine, now: float, demands: list[scaling.Demand], spare: float) -> bool:
        if machine.type is None or machine.idle_since <= 0 or machine.index in self._state.service_machines:
            return False
        waiting = bool(demands) and (machine.spot or self._state.on_demand_needed)
        keep = (
            self._state.policy.keep_idle_s
            if spare <= self.reserve(now)
            else self._state.policy.surplus_idle_s
        )
        if not machine.spot and not self._state.on_demand_needed:
            keep = min(keep, self._state.policy.on_demand_idle_s)
        return scaling.should_terminate(
            now - machine.idle_since, now - machine.launched_at, not machine.spot, waiting, keep
        )

    def reserve(self, now: float) -> float:
        """CPUs worth keeping idle for the next urgent job: the size of those that came lately."""
        recent = [
            cpus for at, cpus in self._state.urgent_jobs if now - at < self._state.policy.reserve_memory_s
        ]
        return self._state.policy.reserve * sum(recent) / len(recent) if recent else 0.0

    def deleted(self, names: Iterable[str]) -> None:
        """The cloud has confirmed (200): the machines and everything on them are gone."""
        with self._state.lock:
            now = self._state.clock()
            for name in names:
                index = self._state.machine_names.find(name)
                machine = self._state.machines.pop(index, None) if index is not None else None
                self._state.deleted_machines.add(name)
                if machine is None:
                    continue
                for placement in list(machine.open.values()):
                    self._state.close(machine, placement, now)
                    placement.job.requeue(placement.task)
                self._state.seen.pop(machine.index, None)
                self._state.capacity_index.remove(machine)
                self._state.events.on_machine_deleted(machine.index)
                self._state.reclaim_pending.pop(machine.index, None)

    def not_deleted(self, names: Iterable[str]) -> None:
        """The deletion was not confirmed: decide anew. The machine may be gone or not."""
        with self._state.lock:
            for name in names:
                index = self._state.machine_names.find(name)
                machine = self._state.machines.get(index) if index is not None else None
                if machine is not None:
                    machine.deleting = False
