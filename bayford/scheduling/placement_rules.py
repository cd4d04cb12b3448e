"""Which machine a waiting task goes to.

Pure: reads the machines' booked room and the job's own open placements, changes nothing.
"""

from collections.abc import Callable, Iterable, Sequence

from bayford.scheduling.model import Job, Machine

# A run that failed says so much about its machine, for so long. No longer: a job that fails everywhere would
# otherwise close all machines to services, where nothing is ever done that would clear them.
DOUBT_S = 15.0


def zones_open(job: Job, zone_of: Callable[[int], int | None]) -> dict[int, int]:
    """How many open placements the job has in each zone."""
    count: dict[int, int] = {}
    for placement in job.open.values():
        zone = zone_of(placement.machine)
        if zone is not None:
            count[zone] = count.get(zone, 0) + 1
    return count


def zone_allowed(job: Job, zone: int, counts: dict[int, int]) -> bool:
    """The zone rules of the job, given its open placements: its own zone, together, apart."""
    if job.zone is not None and zone != job.zone:
        return False
    if job.spec.one_zone and any(z != zone for z in counts):
        return False
    return not (job.spec.spread and counts.get(zone, 0) >= (job.spec.tasks + 1) // 2)


def type_allowed(job: Job, machine: Machine) -> bool:
    """Type and kind of the machine against what the job allows."""
    return (job.types is None or machine.type in job.types) and (job.spec.spot or not machine.spot)


def eligible(job: Job, machine: Machine, counts: dict[int, int], now: float) -> bool:
    """Whether a task of the job may start on the machine now, room not considered."""
    return (
        machine.usable
        and machine.backoff_until <= now
        and machine.zone is not None
        and type_allowed(job, machine)
        and zone_allowed(job, machine.zone, counts)
        and machine.index not in job.failed_on
        and (machine.reserved_until <= now or machine.reserved_for == job.spec.id)
    )


def candidates(job: Job, machines: Iterable[Machine], counts: dict[int, int], now: float) -> list[Machine]:
    """The machines where a task of the job may start now, room not considered."""
    return [m for m in machines if eligible(job, m, counts, now)]


def score(job: Job, machine: Machine) -> tuple[float, ...]:
    """Smaller is better: image there, then on its way; cheap before dear; then the fullest machine, so that
    others empty."""
    have = machine.images.get(job.image)
    image = 0.0 if have else 1.0 if have is not None else 2.0
    return (image, 0.0 if machine.spot else 1.0, machine.free_cpus - job.spec.cpus, machine.index)


def ranked(job: Job, machines: Sequence[Machine]) -> list[Machine]:
    """Those with room, the best first. What is placed on the best makes it fuller and so better still: the
    order holds while a job's tasks go to one after the other."""
    return sorted((m for m in machines if m.has_room(job.spec)), key=lambda m: score(job, m))


def first(job: Job, machines: list[Machine]) -> Machine | None:
    """The first of `machines` (as `ranked` gave them) that has room still; those before it are dropped."""
    while machines:
        if machines[0].has_room(job.spec):
            return machines[0]
        machines.pop(0)
    return None


def replica_rank(
    job: Job, machine: Machine, zones: dict[int, int], fetch_s: float, spread_s: float
) -> tuple[float, ...]:
    """Smaller is better, for one replica of a service, which has to be up soon and to outlive a loss.

    First where the image is, or is fetched soonest and alone, and where no replica of the job is yet, so
    that a loss takes few: each that is there counts as `spread_s` more of fetching. Then the zone with the
    fewest replicas; then machines that have services already, so that others can go back, and the fullest of
    these.
    """
    here = sum(placement.job is job for placement in machine.open.values())
    fetching = any(not there for image, there in machine.images.items() if image != job.image)
    have = machine.images.get(job.image)
    fetch = 0.0 if have else fetch_s * (0.7 if have is not None else 2.0 if fetching else 1.0)
    services = any(placement.job.is_service for placement in machine.open.values())
    zone = zones.get(machine.zone, 0) if machine.zone is not None else 0
    return (fetch + here * spread_s, zone, 0.0 if services else 1.0, machine.free_cpus, machine.index)


def steady(machine: Machine, now: float, quiet_s: float) -> bool:
    """Whether a service may go there: heard lately, and nothing has just failed there."""
    return now - machine.last_heartbeat_at <= quiet_s and now - machine.failed_at > DOUBT_S


def choose_gang(job: Job, machines: Sequence[Machine], count: int) -> list[Machine] | None:
    """Machines for `count` tasks at once, zone rules kept among them, or None. OwnerState nothing."""
    zones = sorted({m.zone for m in machines if m.zone is not None})
    groups = [[m for m in machines if m.zone == z] for z in zones] if job.spec.one_zone else [list(machines)]
    for group in groups:
        picks: list[Machine] = []
        counts: dict[int, int] = {}
        for _ in range(count):
            allowed = [m for m in group if m.zone is not None and zone_allowed(job, m.zone, counts)]
            machine = first(job, ranked(job, allowed))
            if machine is None:
                break
            machine.reserve(job.spec)
            picks.append(machine)
            zone = machine.zone if machine.zone is not None else -1
            counts[zone] = counts.get(zone, 0) + 1
        for machine in picks:
            machine.release(job.spec)
        if len(picks) == count:
            return picks
    return None
