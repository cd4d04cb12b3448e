"""Rules that choose the machine for a waiting task.

Pure: the functions read the machines' free capacity and the job's open placements and leave them unchanged.
"""

import enum
from collections.abc import Callable, Iterable, Sequence

from bayford.scheduling.model import Job, Machine

# Seconds after a task failure, of whichever job, during which a machine is the last choice for replicas.
FAILURE_MEMORY_S = 15.0


class Suitability(enum.IntEnum):
    """Whether a task may start on a machine, regardless of free capacity. Lower is better."""

    PREFERRED = 0
    LAST_RESORT = 1  # it may, but tasks failed there lately; for when no preferred machine has room
    EXCLUDED = 2


# Looking up a member of an enumeration takes longer than the rest of a comparison with it.
PREFERRED, LAST_RESORT, EXCLUDED = Suitability


def placements_by_zone(job: Job, zone_of: Callable[[int], int | None]) -> dict[int, int]:
    """Returns the number of the job's open placements by zone. Machines of unknown zone are not counted."""
    zone_counts: dict[int, int] = {}
    for placement in job.open.values():
        zone = zone_of(placement.machine)
        if zone is not None:
            zone_counts[zone] = zone_counts.get(zone, 0) + 1
    return zone_counts


def zone_allowed(job: Job, zone: int, zone_counts: dict[int, int]) -> bool:
    """Returns whether the job's zone rules allow another task in the zone.

    The rules are: the job's only allowed zone, all tasks in one zone, and tasks spread over zones.
    `zone_counts` is the number of the job's open placements by zone.
    """
    if job.zone is not None and zone != job.zone:
        return False
    if job.spec.one_zone and any(used != zone for used in zone_counts):
        return False
    return not (job.spec.spread and zone_counts.get(zone, 0) >= (job.spec.tasks + 1) // 2)


def type_allowed(job: Job, machine: Machine) -> bool:
    """Returns whether the job allows the machine's type and, for a spot machine, spot machines."""
    return (job.types is None or machine.type in job.types) and (job.spec.spot or not machine.spot)


def suitability(job: Job, machine: Machine, zone_counts: dict[int, int], now: float) -> Suitability:
    """Returns whether a task of the job may start on the machine now, and with which preference.

    Regardless of free capacity. Each condition here ends by itself in time for the bound on waiting in
    docs/safety-argument.md ("Waiting beside a machine with room").
    """
    if not (
        machine.usable
        and machine.backoff_until <= now
        and machine.zone is not None
        and type_allowed(job, machine)
        and zone_allowed(job, machine.zone, zone_counts)
        and (machine.reserved_until <= now or machine.reserved_for == job.spec.id)
    ):
        return EXCLUDED
    # The first condition spares most calls, since this function is called for whole fleets.
    if (job.failed_on or now - machine.failed_at <= FAILURE_MEMORY_S) and is_avoided(job, machine, now):
        return LAST_RESORT
    return PREFERRED


def is_avoided(job: Job, machine: Machine, now: float) -> bool:
    """Returns whether the machine is the last choice for the job's tasks, because tasks failed there lately.

    For a service, which has no other replica to take over, a failure of any job counts.
    """
    failed_lately = now - machine.failed_at <= FAILURE_MEMORY_S
    return job.failed_on.avoids(machine.index, now) or (failed_lately and job.is_service)


def candidates(
    job: Job, machines: Iterable[Machine], zone_counts: dict[int, int], now: float
) -> list[Machine]:
    """Returns the machines on which a task of the job may start now, regardless of free capacity."""
    return [m for m in machines if suitability(job, m, zone_counts, now) is not EXCLUDED]


def score(job: Job, machine: Machine) -> tuple[float, ...]:
    """Returns the rank of a machine for a task of the job; lower is better.

    Machines that hold the image come first, then those that are fetching it, then the rest. Within each group
    spot machines come before on-demand ones, and then the machine with the fewest free CPUs comes first, so
    that other machines become idle.
    """
    fetched = machine.images.get(job.image)
    image = 0.0 if fetched else 1.0 if fetched is not None else 2.0
    return (image, 0.0 if machine.spot else 1.0, machine.free_cpus - job.spec.cpus, machine.index)


def ranked(job: Job, machines: Sequence[Machine]) -> list[Machine]:
    """Returns the machines with free capacity for a task of the job, the best first.

    The order stays valid while the job's tasks fill one machine after the other: a placement on the best
    machine leaves it with fewer free CPUs, which improves its score.
    """
    return sorted((m for m in machines if m.has_room(job)), key=lambda m: score(job, m))


def first_with_room(job: Job, machines: list[Machine]) -> Machine | None:
    """Returns the first machine of `machines`, a result of `ranked`, that still has free capacity.

    Machines before it are removed from the list. Returns None if none has free capacity.
    """
    while machines:
        if machines[0].has_room(job):
            return machines[0]
        machines.pop(0)
    return None


def replica_rank(
    job: Job, machine: Machine, zone_counts: dict[int, int], fetch_s: float, spread_s: float
) -> tuple[float, ...]:
    """Returns the rank of a machine for one replica of a service; lower is better.

    A replica has to start soon, and the loss of one machine should affect few replicas of the job. The first
    criterion is therefore the expected seconds to fetch the image plus `spread_s` for each replica of the job
    on the machine. `fetch_s` is the fetch time on an otherwise idle link; a fetch that is under way counts
    for 0.7 of it, and one that would share the link with other fetches for twice as much. The next criteria
    prefer zones with few replicas of the job, then machines that already run services, so that others can be
    returned, and then machines with few free CPUs.
    """
    replicas = sum(placement.job is job for placement in machine.open.values())
    fetching = any(not done for image, done in machine.images.items() if image != job.image)
    fetched = machine.images.get(job.image)
    fetch = 0.0 if fetched else fetch_s * (0.7 if fetched is not None else 2.0 if fetching else 1.0)
    services = any(placement.job.is_service for placement in machine.open.values())
    in_zone = zone_counts.get(machine.zone, 0) if machine.zone is not None else 0
    return (fetch + replicas * spread_s, in_zone, 0.0 if services else 1.0, machine.free_cpus, machine.index)


def is_responsive(machine: Machine, now: float, max_silence_s: float) -> bool:
    """Returns whether the machine has sent a heartbeat within the last `max_silence_s` seconds.

    Replicas are placed only on such machines.
    """
    return now - machine.last_heartbeat_at <= max_silence_s


def choose_gang(job: Job, machines: Sequence[Machine], count: int) -> list[Machine] | None:
    """Returns machines for `count` tasks that start together, or None if they don't all fit.

    The job's zone rules are applied among the chosen machines. Capacity is reserved for each task while the
    next one's machine is chosen, and all of it is released before the function returns.
    """
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
            machine.reserve(job)
            chosen.append(machine)
            zone = machine.zone if machine.zone is not None else -1
            zone_counts[zone] = zone_counts.get(zone, 0) + 1
        for machine in chosen:
            machine.release(job)
        if len(chosen) == count:
            return chosen
    return None
