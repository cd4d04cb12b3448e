"""What is known of each machine when load is spread, and how old each piece of it is."""

from dataclasses import dataclass

from bayford.scheduling.model import Machine


@dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """One machine as this controller sees it.

    What is reserved is this controller's own decision and so of now. What runs there, and whether the machine
    is responsive, is as old as its last heartbeat; images come from heartbeats, or from the summary of a
    leader before, which no heartbeat has confirmed yet.
    """

    index: int
    cpus: float
    reserved: float  # share of the CPUs that placements hold
    running: float  # share of the CPUs that the last heartbeat showed in use
    pending_cpus: float  # of tasks placed there that no heartbeat has shown yet
    free: tuple[float, float, float]  # CPUs, GPUs, GB of memory
    images: frozenset[int]
    fetching: frozenset[int]
    heartbeat_age_s: float  # of the last heartbeat
    draining: bool  # the cloud takes it, or it is being deleted
    refusing: bool  # it has just refused a start, or is quarantined
    responsive: bool  # it has acknowledged this leader's fencing token, to this leader itself

    def accepts(self, max_age_s: float) -> bool:
        """Whether work may be moved there, by facts of which none is older than `max_age_s`."""
        usable = self.responsive and not self.draining and not self.refusing
        return usable and self.heartbeat_age_s <= max_age_s and self.cpus > 0

    def describe(self) -> str:
        """For the log."""
        return (
            f"reserved={self.reserved:.2f} running={self.running:.2f} pending_cpus={self.pending_cpus:.0f} "
            f"images={len(self.images)} fetching={len(self.fetching)} "
            f"heartbeat_age_s={self.heartbeat_age_s:.1f}"
        )


def snapshot_of(machine: Machine, now: float) -> MachineSnapshot:
    """The snapshot of one machine."""
    running = sum(p.job.spec.cpus for p in machine.open.values() if p.running_since is not None)
    pending_cpus = sum(p.job.spec.cpus for p in machine.open.values() if not p.started)
    cpus = machine.cpus
    return MachineSnapshot(
        index=machine.index,
        cpus=cpus,
        reserved=1.0 - machine.free_cpus / cpus if cpus > 0 else 1.0,
        running=running / cpus if cpus > 0 else 1.0,
        pending_cpus=pending_cpus,
        free=(machine.free_cpus, machine.free_gpus, machine.free_mem),
        images=frozenset(image for image, fetched in machine.images.items() if fetched),
        fetching=frozenset(image for image, fetched in machine.images.items() if not fetched),
        heartbeat_age_s=now - machine.last_heartbeat_at,
        draining=machine.reclaim_at is not None or machine.deleting,
        refusing=machine.quarantined or machine.backoff_until > now,
        responsive=machine.token_acknowledged and not machine.relay and machine.registered,
    )
