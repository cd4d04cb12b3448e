"""What the owner asks of the cloud: rentals, returns, deletions."""

import dataclasses
import logging
import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from bayford.coordination.leader.heartbeat_handler import RUNS_S
from bayford.coordination.leader.leader_state import OwnerState
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

Present = Sequence[tuple[scaling.Option, Machine]]  # the machines that count, by kind

UNCONFIRMED_CANCEL = "a cancelled task there is not confirmed stopped"


@dataclass(frozen=True, slots=True)
class RentalOrder:
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
class FleetStep:
    """What the cloud thread is to do now."""

    rentals: list[RentalOrder] = field(default_factory=list)
    deletions: list[Deletion] = field(default_factory=list)


class Autoscaler:
    """The fleet: what waits for machines, and which machines go back. Takes the lock of the owner's state by
    itself."""

    def __init__(self, state: OwnerState, scheduling: SchedulingRound) -> None:
        """`scheduling`: for the order of service."""
        self._state = state
        self._scheduling = scheduling

    def on_list(self, listed: Iterable[Listed], began: float) -> None:
        """The cloud's list, asked for at `began`. Lagging; what it lacks may be up already."""
        with self._state.lock:
            if not self._state.owner:
                return
            now = self._state.clock()
            self._state.listed_at = began
            names = set()
            for entry in listed:
                names.add(entry.name)
                if entry.name not in self._state.gone:
                    self._take_listed(entry, began, now)
            for machine in self._state.machines.values():
                if machine.listed and machine.name not in names:
                    machine.missing += 1

    def _take_listed(self, entry: Listed, began: float, now: float) -> None:
        fresh = self._state.machines_by.find(entry.name) not in self._state.machines
        machine = self._state.machine_named(entry.name, now)
        if fresh:
            log.info("machine %s: found in the list, %s", entry.name, entry.phase)
        machine.rented = min(machine.rented, began - entry.age_s)
        machine.listed = True
        machine.missing = 0
        if machine.zone is None:
            machine.zone = self._state.zones.index(entry.zone)
            machine.spot = entry.spot
        if machine.type is None:
            self._state.learn_type(machine, entry.type)
        if entry.phase == "failed":
            machine.quarantined = machine.lost = True

    def fleet_step(self, listening: float) -> FleetStep:
        """What to rent and what to delete now. Nobody counts as silent before `listening`: until then we
        stood still, or turned reports away."""
        step = FleetStep()
        with self._state.lock:
            if not self._state.owner or not self._state.complete or not self._state.types:
                return step
            now = self._state.clock()
            present = list(self._fleet())
            waiting = self._needs(now, present)
            groups = self._standing_groups(now)
            self._state.standing = self._kept_for_services(groups, present)
            self._deletions(step, now, waiting, listening)
            # Without those that have just been given up.
            staying = [(option, machine) for option, machine in present if not machine.deleting]
            self._rentals(step, now, waiting, groups, staying)
        return step

    def _fleet(self) -> Iterator[tuple[scaling.Option, Machine]]:
        """The machines that count: neither on their way back nor at fault."""
        for machine in self._state.machines.values():
            if machine.type is None or machine.zone is None or machine.quarantined or machine.deleting:
                continue
            yield scaling.Option(machine.type, machine.zone, machine.spot), machine

    def _needs(self, now: float, machines: Present) -> list[scaling.Need]:
        needs = []
        yields = self._yields(machines)
        room = {n: s.cpus_max - s.used_cpus for n, s in enumerate(self._state.shares)}
        present: dict[scaling.Option, float] = {}  # CPUs, first of what is there, then of what is coming too
        for option, machine in machines:
            present[option] = present.get(option, 0.0) + machine.cpus
        cheap = sum(cpus for option, cpus in present.items() if option.spot)
        for option, count in self._state.renting.items():
            present[option] = present.get(option, 0.0) + self._state.types[option.type].cpus * count
        # What services hold is not there for work that ends, and what they need is no backlog.
        cpus = sum(present.values()) - sum(
            j.spec.cpus * len(j.open) for j in self._state.jobs.values() if j.standing
        )
        keep_dear = False
        ahead = sum(
            0.5 * self._state.expected(j) * j.spec.cpus * len(j.open)
            for j in self._state.jobs.values()
            if not j.standing
        )
        for entry in self._scheduling.queue(now, turns=False):
            job, count = entry.job, entry.count
            if job.spec.cpus > 0:
                count = int(min(count, (room[job.team] + EPS) / job.spec.cpus))
            room[job.team] -= count * job.spec.cpus
            if count <= 0:
                continue
            options = self._options(job)
            if job.spec.one_zone or job.spec.spread:
                # A machine in a zone that is closed to what still waits is rented in vain, and again and
                # again.
                open_ = placement_rules.zones_open(job, self._state.zone_of)
                options = frozenset(o for o in options if placement_rules.zone_allowed(job, o.zone, open_))
            hosts = sum(present.get(o, 0.0) for o in options)
            cheap_hosts = sum(present.get(o, 0.0) for o in options if o.spot)
            job.cheap_hosts = cheap_hosts > 0
            run = self._state.expected(job)
            dear = 0
            target = None
            if not job.standing:
                ahead += count * job.spec.cpus * run
                target = self._state.due_s(job)
            if target is not None:
                # Dear machines only where they still make the difference, and only as many as that takes.
                age = now - job.created
                spare = self._state.policy.target_margin * target - age - run
                boot = min((self._state.types[o.type].boot_s for o in options), default=0.0)
                if spare <= 0 or ahead / spare > cheap:
                    keep_dear = True
                if spare > 0 and age + boot + run < target:
                    lacking = ahead / spare - cpus
                    dear = min(count, max(0, math.ceil(lacking / max(job.spec.cpus, 0.1))))
                    cpus += dear * job.spec.cpus
            urgent = job.spec.priority >= URGENT
            needs.append(
                scaling.Need(
                    options,
                    count,
                    job.spec.cpus,
                    job.spec.gpus,
                    job.spec.mem_gb,
                    run,
                    urgent,
                    dear,
                    hosts,
                    cheap_hosts,
                    self._yielded(yields, options, count * job.spec.cpus) if urgent else 0.0,
                    job.standing,
                )  # fmt: skip
            )
        self._state.dear_serves = keep_dear or not cheap
        return needs

    def _options(self, job: Job) -> frozenset[scaling.Option]:
        """The kinds of machine that may serve the job."""
        options = set()
        for index, kind in enumerate(self._state.types):
            if not kind.zones or not kind.fits(job.spec):
                continue
            if job.types is not None and index not in job.types:
                continue
            for zone_name in kind.zones:
                zone = self._state.zones.index(zone_name)
                if (job.zone is not None and zone != job.zone) or zone in self._state.closed_zones:
                    continue
                options.add(scaling.Option(index, zone, False))
                if job.spec.spot:
                    options.add(scaling.Option(index, zone, True))
        return frozenset(options)

    def _yields(self, machines: Present) -> dict[scaling.Option, float]:
        """CPUs that urgent work may have by kind of machine: all that it does not hold already, what is on
        its way included."""
        out: dict[scaling.Option, float] = {}
        for option, machine in machines:
            held = sum(p.job.spec.cpus for p in machine.open.values() if p.job.spec.priority >= URGENT)
            out[option] = out.get(option, 0.0) + machine.cpus - held
        for option, count in self._state.renting.items():
            out[option] = out.get(option, 0.0) + self._state.types[option.type].cpus * count
        return out

    @staticmethod
    def _yielded(
        yields: dict[scaling.Option, float], options: frozenset[scaling.Option], cpus: float
    ) -> float:
        """Take up to `cpus` of what the kinds in `options` yield; how much that was. The cheap ones first,
        since some work may have no others than the ordinary ones."""
        got = 0.0
        for option in sorted(options, key=lambda o: (not o.spot, o.type, o.zone)):
            part = min(cpus - got, max(0.0, yields.get(option, 0.0)))
            if part > 0:
                yields[option] -= part
                got += part
        return got

    def _standing_groups(self, now: float) -> list[scaling.Group]:
        """What is standing, by the kinds of machine that may serve it, with the reserve for what comes next.

        Services of ordinary machines alone: these boot in longer than a service may be away, so their room
        has to be up before it is needed. It is not idle meanwhile: other work runs there and makes way at
        once. The reserve grows with what stands and with what was accepted lately, which is the pace at
        which it grows; where the users' aims name services and none has come yet, there is a floor.
        """
        sizes: dict[frozenset[scaling.Option], dict[int, float]] = {}

        def count(options: frozenset[scaling.Option], spec: JobSpec, tasks: float) -> None:
            if not options or any(option.spot for option in options):
                return  # what cheap machines may serve is served by the fleet that is there anyhow
            need = sizes.setdefault(options, {})
            for index in {option.type for option in options}:
                kind = self._state.types[index]
                per = scaling.slots(kind, spec.cpus, spec.gpus, spec.mem_gb)
                need[index] = need.get(index, 0.0) + tasks / max(1, per)

        boot = min((kind.boot_s for kind in self._state.types if kind.zones), default=0.0)
        # Where a service may take longer to start than a machine to boot, less has to be up beforehand.
        hurry = min(1.0, boot / self._state.standing_within_s) if self._state.standing_within_s else 1.0
        known = []
        for job in self._state.jobs.values():
            if job.standing and not job.cancelled:
                known.append(self._options(job))
                count(known[-1], job.spec, job.spec.tasks * (1.0 + self._state.policy.standing_share))
        since = now - self._state.policy.standing_boots * boot
        self._state.standing_jobs = [entry for entry in self._state.standing_jobs if entry[0] > since]
        for _, spec in self._state.standing_jobs:
            lately = self._state.jobs.get(spec.id)
            if lately is not None:
                count(self._options(lately), spec, spec.tasks)
        if self._state.standing_classes or known:
            ordinary = frozenset(
                scaling.Option(index, self._state.zones.index(zone), False)
                for index, kind in enumerate(self._state.types)
                for zone in kind.zones
                if self._state.zones.index(zone) not in self._state.closed_zones
            )
            options = max(known, key=len, default=ordinary)
            if options and not any(option.spot for option in options):
                need = sizes.setdefault(options, {})
                for index in {option.type for option in options}:
                    floor = (
                        self._state.policy.standing_floor * hurry / max(1.0, self._state.types[index].cpus)
                    )
                    need[index] = need.get(index, 0.0) + floor
        return [scaling.Group(options, need) for options, need in sizes.items()]

    def _kept_for_services(self, groups: list[scaling.Group], present: Present) -> set[int]:
        """The ordinary machines that the standing services and their reserve need: those with the most
        replicas first, so that none has to move for another to go back."""
        kept: set[int] = set()
        if not groups:
            return kept
        machines = [(option, m) for option, m in present if not option.spot]
        replicas = {m.index: sum(p.job.standing for p in m.open.values()) for _, m in machines}
        machines.sort(key=lambda entry: (-replicas[entry[1].index], -len(entry[1].open), entry[1].index))
        for group in groups:
            share = 0.0
            for option, machine in machines:
                if option in group.options and (share < 1.0 or replicas[machine.index]):
                    share += 1.0 / group.machines[option.type]
                    kept.add(machine.index)
        return kept

    def _rentals(
        self,
        step: FleetStep,
        now: float,
        needs: list[scaling.Need],
        groups: list[scaling.Group],
        machines: Present,
    ) -> None:
        lag = self._state.settings.facts.cloud.list_lag_s if self._state.inherited else 0.0
        if self._state.listed_at < self._state.owner_since + lag:
            # What the owner before us rented a moment ago is in no list yet: renting now would rent it twice.
            return
        spare: dict[scaling.Option, int] = dict(self._state.renting)
        cpus = 0.0
        for option, machine in machines:
            cpus += machine.cpus
            if not machine.reported:
                spare[option] = spare.get(option, 0) + 1
        for option, count in self._state.renting.items():
            cpus += self._state.types[option.type].cpus * count
        work = sum(n.tasks * n.cpus * n.run_s for n in needs if not n.standing)
        busy = work / cpus if cpus else (1e9 if work else 0.0)
        refused = frozenset(o for o, until in self._state.refused.items() if until > now)
        fleet_now: dict[scaling.Option, int] = dict(self._state.renting)
        for option, machine in machines:
            if machine.notice is None:
                fleet_now[option] = fleet_now.get(option, 0) + 1
        rentals = scaling.for_services(
            groups, self._state.types, fleet_now, refused, any(need.standing for need in needs)
        )
        for rental in rentals:
            spare[rental.option] = spare.get(rental.option, 0) + rental.count
        rentals += scaling.wanted(
            needs,
            self._state.types,
            spare,
            refused,
            busy,
            self._state.policy.ordinary_after_s,
            self._state.policy.patience_s,
        )
        for rental in self._paced(rentals, machines):
            option = rental.option
            self._asked_for(option, rental.count)
            kind, zone = self._state.types_by[option.type], self._state.zones[option.zone]
            log.info(
                "renting %d %s in %s%s: %s (backlog %.0f s)", rental.count, kind, zone,
                " (spot)" if option.spot else "", rental.why, busy,
            )  # fmt: skip
            step.rentals.append(RentalOrder(kind, zone, option.spot, rental.count, rental.why))

    def _paced(self, rentals: list[scaling.Rental], machines: Present) -> list[scaling.Rental]:
        """Into a zone that returns and of which nothing answers yet only a few machines, to see."""
        answering = {
            option.zone for option, machine in machines if machine.index in self._state.verified_machines
        }
        out = []
        for rental in rentals:
            zone = rental.option.zone
            if zone in self._state.returning_zones and zone not in answering:
                coming = sum(n for option, n in self._state.renting.items() if option.zone == zone)
                there = sum(option.zone == zone for option, _ in machines)
                count = min(rental.count, self._state.policy.recovery_least - coming - there)
                if count <= 0:
                    continue
                rental = dataclasses.replace(rental, count=count)
            out.append(rental)
        return out

    def rented(self, order: RentalOrder, names: list[str], at: float) -> None:
        """A rental request was answered (`names` may be fewer than asked) or refused (none)."""
        with self._state.lock:
            option = self._option(order)
            self._asked_for(option, -order.count)
            now = self._state.clock()
            if len(names) < order.count:
                self._state.refused[option] = now + self._state.policy.refused_s
                log.info(
                    "cloud gave %d of %d %s in %s (spot %s)",
                    len(names), order.count, order.type, order.zone, order.spot,
                )  # fmt: skip
            if not self._state.owner:
                return
            for name in names:
                if name in self._state.gone:
                    continue
                machine = self._state.machine_named(name, now)
                machine.rented = min(machine.rented, at)
                machine.zone = option.zone
                machine.spot = option.spot
                self._state.learn_type(machine, order.type)

    def not_rented(self, order: RentalOrder) -> None:
        """The request was not sent after all; the cloud has refused nothing."""
        with self._state.lock:
            self._asked_for(self._option(order), -order.count)

    def _option(self, order: RentalOrder) -> scaling.Option:
        return scaling.Option(
            self._state.types_by.index(order.type), self._state.zones.index(order.zone), order.spot
        )

    def _asked_for(self, option: scaling.Option, count: int) -> None:
        self._state.renting[option] = max(0, self._state.renting.get(option, 0) + count)
        if not self._state.renting[option]:
            del self._state.renting[option]

    def _deletions(self, step: FleetStep, now: float, needs: list[scaling.Need], listening: float) -> None:
        facts = self._state.settings.facts.workers
        # If nobody at all reports, or many machines fall silent together, the fault lies with this controller
        # or the network: wait longer. A wave of spot machines taken shows in the cloud's list.
        known = [m for m in self._state.machines.values() if m.reported and not m.deleting]
        quiet_now = sum(now - max(m.heard, listening) > 2.5 * facts.report_s for m in known)
        deaf = (
            now - self._state.last_report > 3.0
            or now - self._state.owner_since < facts.lease_s
            or quiet_now > max(3, len(known) // 4)
        )
        silent = facts.lease_s * (2.5 if deaf else 1.0) + facts.report_s
        # Right after a takeover the workers may still be answered by the deposed owner, who can't know
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
            quiet = now - max(machine.heard, listening)
            if machine.index in urgent_cancel:
                why = UNCONFIRMED_CANCEL
            elif not machine.reported and not machine.open:
                why = self._never_up(machine, now, quiet)
            else:
                why = self._lost(machine, now, quiet, silent if machine.reported else unheard)
                if not why and not machine.open and self._idle(machine, now, needs, spare):
                    why = "idle"
                    spare -= machine.cpus
            if why:
                machine.deleting = True
                step.deletions.append(Deletion(machine.name, why))
                log.info("deleting machine %s: %s, %d tasks there", machine.name, why, len(machine.open))

    def _lost(self, machine: Machine, now: float, quiet: float, patience: float) -> str:
        """Why a machine that has been up is of no use any more, empty if it is."""
        if machine.missing >= 2 and quiet > self._state.settings.facts.workers.report_s * 1.5:
            return "gone from the cloud's list"
        if quiet > patience:
            return f"silent for {quiet:.0f} s"
        if machine.quarantined and not self._serves(machine, now):
            return "quarantined"
        if machine.notice is not None and not machine.open:
            return "to be taken by the cloud, empty"
        return ""

    def _never_up(self, machine: Machine, now: float, quiet: float) -> str:
        """Why a machine that nobody has heard yet is given up, empty if it is not."""
        boot = self._state.types[machine.type].boot_s if machine.type is not None else 60.0
        if machine.missing >= 3 or machine.quarantined:
            return "gone or failed while booting"
        if now - machine.rented > max(4.0 * boot, 60.0) and quiet > boot:
            return "never came up"
        return ""

    def overdue(self) -> set[str]:
        """Machines to delete even where nobody can be sure to be the owner: a cancelled task there is not
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
                for place in job.open.values():
                    late[place.machine] = max(late.get(place.machine, 0.0), now - job.cancelled_at)
        out = []
        for index, since in late.items():
            machine = self._state.machines[index]
            alone = all(place.job.cancelled for place in machine.open.values())
            if since > (0.5 if alone else 0.75) * cancel_s:
                out.append(machine)
        return out

    def overdue_step(self) -> FleetStep:
        """The same as something to do."""
        step = FleetStep()
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
            p.job.standing and p.running_since is not None and now - p.running_since > RUNS_S
            for p in machine.open.values()
        )

    def _idle(self, machine: Machine, now: float, needs: list[scaling.Need], spare: float) -> bool:
        if machine.type is None or machine.idle_since <= 0 or machine.index in self._state.standing:
            return False
        waiting = bool(needs) and (machine.spot or self._state.dear_serves)
        keep = (
            self._state.policy.keep_idle_s
            if spare <= self.reserve(now)
            else self._state.policy.surplus_idle_s
        )
        if not machine.spot and not self._state.dear_serves:
            keep = min(keep, self._state.policy.dear_idle_s)
        return scaling.should_return(
            now - machine.idle_since, now - machine.rented, not machine.spot, waiting, keep
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
                index = self._state.machines_by.find(name)
                machine = self._state.machines.pop(index, None) if index is not None else None
                self._state.gone.add(name)
                if machine is None:
                    continue
                for place in list(machine.open.values()):
                    self._state.close(machine, place, now)
                    place.job.requeue(place.task)
                self._state.seen.pop(machine.index, None)
                self._state.room.remove(machine)
                self._state.on_gone(machine.index)
                self._state.noticed.pop(machine.index, None)

    def not_deleted(self, names: Iterable[str]) -> None:
        """The deletion was not confirmed: decide anew. The machine may be gone or not."""
        with self._state.lock:
            for name in names:
                index = self._state.machines_by.find(name)
                machine = self._state.machines.get(index) if index is not None else None
                if machine is not None:
                    machine.deleting = False
