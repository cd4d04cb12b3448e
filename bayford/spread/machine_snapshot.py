"""The state of a machine as load spreading sees it, with the age of its last heartbeat."""

from dataclasses import dataclass

from bayford.scheduling.model import Machine
from bayford.scheduling.resources import Resources


@dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """The state of one machine as this controller knows it.

    Reservations are up to date, since this controller makes them. The running tasks and the responsiveness
    are as old as the last heartbeat. Images are known from heartbeats, or from the summary of an earlier
    leader that no heartbeat has confirmed yet.
    """

    index: int
    cpus: float
    reserved: float  # share of the CPUs that is reserved by placements
    running: float  # share of the CPUs in use according to the last heartbeat
    pending_cpus: float  # CPUs of placed tasks that no heartbeat has reported yet
    free: Resources
    images: frozenset[int]
    fetching: frozenset[int]
    heartbeat_age_s: float  # seconds since the last heartbeat
    draining: bool  # the cloud reclaims it, or it is being deleted
    refusing: bool  # in back-off after it refused a start, or quarantined
    responsive: bool  # it acknowledged this leader's fencing token directly, not through a relay

    def accepts(self, max_age_s: float) -> bool:
        """Returns whether tasks may be moved there, given a heartbeat at most `max_age_s` seconds old."""
        usable = self.responsive and not self.draining and not self.refusing
        return usable and self.heartbeat_age_s <= max_age_s and self.cpus > 0

    def describe(self) -> str:
        """Returns the fields of a log line about the machine."""
        return (
            f"reserved={self.reserved:.2f} running={self.running:.2f} pending_cpus={self.pending_cpus:.0f} "
            f"images={len(self.images)} fetching={len(self.fetching)} "
            f"heartbeat_age_s={self.heartbeat_age_s:.1f}"
        )


def snapshot_of(machine: Machine, now: float) -> MachineSnapshot:
    """Returns a snapshot of the machine at `now`."""
    running = sum(p.job.spec.cpus for p in machine.open.values() if p.running_since is not None)
    pending_cpus = sum(p.job.spec.cpus for p in machine.open.values() if not p.started)
    cpus = machine.cpus
    return MachineSnapshot(
        index=machine.index,
        cpus=cpus,
        reserved=1.0 - machine.free_cpus / cpus if cpus > 0 else 1.0,
        running=running / cpus if cpus > 0 else 1.0,
        pending_cpus=pending_cpus,
        free=machine.free,
        images=frozenset(image for image, fetched in machine.images.items() if fetched),
        fetching=frozenset(image for image, fetched in machine.images.items() if not fetched),
        heartbeat_age_s=now - machine.last_heartbeat_at,
        draining=machine.reclaim_at is not None or machine.deleting,
        refusing=machine.quarantined or machine.backoff_until > now,
        responsive=machine.token_acknowledged and not machine.relay and machine.registered,
    )
