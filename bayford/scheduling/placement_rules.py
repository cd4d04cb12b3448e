"""Which machine a waiting task goes to.

Pure: reads the machines' reserved capacity and the job's own open placements, and leaves them as they are.
"""

from collections.abc import Callable, Iterable, Sequence

from bayford.scheduling.model import Job, Machine

# For so long after a run has failed there a machine gets no replicas. No longer: a job that fails everywhere
# would otherwise close all machines to services, whose replicas never end and so never show a machine sound.
FAILURE_MEMORY_S = 15.0


def placements_by_zone(job: Job, zone_of: Callable[[int], int | None]) -> dict[int, int]:
    """How many open placements the job has in each zone."""
    zone_counts: dict[int, int] = {}
    for placement in job.open.values():
        zone = zone_of(placement.machine)
        if zone is not None:
            zone_counts[zone] = zone_counts.get(zone, 0) + 1
    return zone_counts


def zone_allowed(job: Job, zone: int, zone_counts: dict[int, int]) -> bool:
    """Whether a task of the job may go to the zone, given its open placements: its only zone, a gang or array
    in one zone, an array spread over zones."""
    if job.zone is not None and zone != job.zone:
        return False
    if job.spec.one_zone and any(used != zone for used in zone_counts):
        return False
    return not (job.spec.spread and zone_counts.get(zone, 0) >= (job.spec.tasks + 1) // 2)


def type_allowed(job: Job, machine: Machine) -> bool:
    """Whether the job allows the machine's type, and spot machines if it is one."""
    return (job.types is None or machine.type in job.types) and (job.spec.spot or not machine.spot)


def eligible(job: Job, machine: Machine, zone_counts: dict[int, int], now: float) -> bool:
    """Whether a task of the job may start on the machine now, room not considered."""
    return (
        machine.usable
        and machine.backoff_until <= now
        and machine.zone is not None
        and type_allowed(job, machine)
        and zone_allowed(job, machine.zone, zone_counts)
        and machine.index not in job.failed_on
        and (machine.reserved_until <= now or machine.reserved_for == job.spec.id)
    )


def candidates(
    job: Job, machines: Iterable[Machine], zone_counts: dict[int, int], now: float
) -> list[Machine]:
    """The machines where a task of the job may start now, room not considered."""
    return [m for m in machines if eligible(job, m, zone_counts, now)]


def score(job: Job, machine: Machine) -> tuple[float, ...]:
    """Smaller is better: image there, then being fetched; spot before on-demand; then the fullest machine,
    so that others empty."""
    fetched = machine.images.get(job.image)
    image = 0.0 if fetched else 1.0 if fetched is not None else 2.0
    return (image, 0.0 if machine.spot else 1.0, machine.free_cpus - job.spec.cpus, machine.index)


def ranked(job: Job, machines: Sequence[Machine]) -> list[Machine]:
    """Those with room, the best first. What is placed on the best makes it fuller and so better still: the
    order holds while a job's tasks go to one after the other."""
    return sorted((m for m in machines if m.has_room(job.spec)), key=lambda m: score(job, m))


def first_with_room(job: Job, machines: list[Machine]) -> Machine | None:
    """The first of `machines` (as `ranked` gave them) that has room still; those before it are dropped."""
    while machines:
        if machines[0].has_room(job.spec):
            return machines[0]
        machines.pop(0)
    return None


def replica_rank(
    job: Job, machine: Machine, zone_counts: dict[int, int], fetch_s: float, spread_s: float
) -> tuple[float, ...]:
    """Smaller is better, for one replica of a service, which has to be up soon and to outlive a loss.

    First where the image is, or is fetched soonest and alone, and where no replica of the job is yet, so
    that a loss takes few: each that is there counts as `spread_s` more of fetching. Then the zone with the
    fewest replicas; then machines that have services already, so that others can go back, and the fullest of
    these.
    """
    replicas = sum(placement.job is job for placement in machine.open.values())
    fetching = any(not done for image, done in machine.images.items() if image != job.image)
    fetched = machine.images.get(job.image)
    fetch = 0.0 if fetched else fetch_s * (0.7 if fetched is not None else 2.0 if fetching else 1.0)
    services = any(placement.job.is_service for placement in machine.open.values())
    in_zone = zone_counts.get(machine.zone, 0) if machine.zone is not None else 0
    return (fetch + replicas * spread_s, in_zone, 0.0 if services else 1.0, machine.free_cpus, machine.index)


def is_stable(machine: Machine, now: float, max_silence_s: float) -> bool:
    """Whether a replica may go there: a heartbeat has come lately, and nothing has just failed there."""
    return now - machine.last_heartbeat_at <= max_silence_s and now - machine.failed_at > FAILURE_MEMORY_S


def choose_gang(job: Job, machines: Sequence[Machine], count: int) -> list[Machine] | None:
    """Machines for `count` tasks at once, zone rules kept among them, or None. Each machine is reserved while
    the next is chosen; all are released again at the end."""
    zones = sorted({m.zone for m in machines if m.zone is not None})
    groups = (
        [[m for m in machines if m.zone == zone] for zone in zones] if job.spec.one_zone else [list(machines)]
    )
    for group in groups:
        chosen: list[Machine] = []
        zone_counts: dict[int, int] = {}
        for _ in range(count):
            allowed = [m for m in group if m.zone is not None and zone_allowed(job, m.zone, zone_counts)]
            machine = first_with_room(job, ranked(job, allowed))
            if machine is None:
                break
            machine.reserve(job.spec)
            chosen.append(machine)
            zone = machine.zone if machine.zone is not None else -1
            zone_counts[zone] = zone_counts.get(zone, 0) + 1
        for machine in chosen:
            machine.release(job.spec)
        if len(chosen) == count:
            return chosen
    return None
