"""What is known of each machine when load is spread, and how old each piece of it is."""

from dataclasses import dataclass

from bayford.scheduling.model import Machine


@dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """One machine as this controller sees it.

    What is booked is this controller's own decision and so of now. What runs there, and whether it answers,
    is as old as the machine's last heartbeat; images come from those reports, or from the summary of a leader
    before, which no heartbeat has confirmed yet.
    """

    index: int
    cpus: float
    booked: float  # share of the CPUs that placements hold
    running: float  # share of the CPUs that the last heartbeat showed in use
    on_its_way: float  # CPUs placed there and not yet seen
    free: tuple[float, float, float]  # CPUs, cards, GB
    images: frozenset[int]
    fetching: frozenset[int]
    heartbeat_age_s: float  # of the last heartbeat
    draining: bool  # the cloud takes it, or it is given back
    refusing: bool  # it has just refused a start, or fails what it starts
    answering: bool  # it has said this leader's token back, to this leader itself

    def accepts(self, oldest_s: float) -> bool:
        """Whether work may be moved there, by facts of which none is older than `oldest_s`."""
        usable = self.answering and not self.draining and not self.refusing
        return usable and self.heartbeat_age_s <= oldest_s and self.cpus > 0

    def describe(self) -> str:
        """For the log."""
        return (
            f"booked {self.booked:.2f}, running {self.running:.2f}, {self.on_its_way:.0f} CPUs on their way, "
            f"{len(self.images)} images and {len(self.fetching)} on their way, "
            f"heard {self.heartbeat_age_s:.1f} s ago"
        )


def picture(machine: Machine, now: float) -> MachineSnapshot:
    """The snapshot of one machine."""
    running = sum(p.job.spec.cpus for p in machine.open.values() if p.running_since is not None)
    coming = sum(p.job.spec.cpus for p in machine.open.values() if not p.started)
    cpus = machine.cpus
    return MachineSnapshot(
        machine.index,
        cpus,
        1.0 - machine.free_cpus / cpus if cpus > 0 else 1.0,
        running / cpus if cpus > 0 else 1.0,
        coming,
        (machine.free_cpus, machine.free_gpus, machine.free_mem),
        frozenset(image for image, there in machine.images.items() if there),
        frozenset(image for image, there in machine.images.items() if not there),
        now - machine.last_heartbeat_at,
        machine.reclaim_at is not None or machine.deleting,
        machine.quarantined or machine.backoff_until > now,
        machine.token_acknowledged and not machine.relay and machine.registered,
    )
