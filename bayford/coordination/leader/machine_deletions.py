"""Which machines are given back to the cloud, and why."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MIN_HEALTHY_RUN_S
from bayford.coordination.leader.scaling_actions import Deletion
from bayford.scheduling import scaling
from bayford.scheduling.model import Machine

log = logging.getLogger(__name__)

UNCONFIRMED_CANCEL = "a cancelled task there is not confirmed stopped"
MIN_SILENT_TOGETHER = 3  # more than so many silent machines may mean a fault here or in the network
MISSED_HEARTBEATS = 2.5  # heartbeat intervals without one, for a machine to count as silent


class MachineDeletions:
    """Decides on deletions. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def decide(self, now: float, work_waits: bool, listening_since: float) -> list[Deletion]:
        """Mark the machines that go back, and list them. None counts as silent before `listening_since`."""
        silent_s, unheard_s = self._silence_limits(now, listening_since)
        cancelling = self._machines_to_free(now)
        idle_cpus = sum(m.cpus for m in self._state.machines.values() if m.usable and not m.open)
        deletions = []
        for machine in self._state.machines.values():
            if machine.deleting:
                continue
            quiet_s = now - max(machine.last_heartbeat_at, listening_since)
            if machine.index in cancelling:
                reason = UNCONFIRMED_CANCEL
            elif not machine.registered and not machine.open:
                reason = self._never_up(machine, now, quiet_s)
            else:
                limit_s = silent_s if machine.registered else unheard_s
                reason = self._lost(machine, now, quiet_s, limit_s)
                if not reason and not machine.open and self._idle(machine, now, work_waits, idle_cpus):
                    reason = "idle"
                    idle_cpus -= machine.cpus
            if reason:
                deletions.append(self._delete(machine, reason))
        return deletions

    def _delete(self, machine: Machine, reason: str) -> Deletion:
        machine.deleting = True
        log.info("scaling in: machine=%s tasks=%d reason=%s", machine.name, len(machine.open), reason)
        return Deletion(machine.name, reason)

    def _silence_limits(self, now: float, listening_since: float) -> tuple[float, float]:
        """Seconds of silence after which a machine is lost: one that has sent this leader a heartbeat, and
        one that has not."""
        state = self._state
        facts = state.settings.facts.workers
        # If no machine at all sends heartbeats, or many fall silent together, the fault lies with this
        # controller or the network: wait longer. A wave of spot machines taken shows in the cloud's list.
        registered = [m for m in state.machines.values() if m.registered and not m.deleting]
        silent = sum(
            now - max(m.last_heartbeat_at, listening_since) > MISSED_HEARTBEATS * facts.heartbeat_interval_s
            for m in registered
        )
        fault_is_here = (
            now - state.last_heartbeat_received_at > 3.0
            or now - state.leader_since < facts.lease_s
            or silent > max(MIN_SILENT_TOGETHER, len(registered) // 4)
        )
        silent_s = facts.lease_s * (2.5 if fault_is_here else 1.0) + facts.heartbeat_interval_s
        # Right after a failover the workers may still be answered by the deposed leader, who can't know
        # yet if the state service refuses only it; it stops by itself at this bound.
        return silent_s, max(silent_s, state.staleness_limit() + 3.0)

    def _machines_to_free(self, now: float) -> set[int]:
        """Machines with a task that was cancelled so long ago that its stop must not be waited for."""
        cancel_s = self._state.settings.facts.workers.cancel_s
        return {
            placement.machine
            for job in self._state.jobs.values()
            if job.cancelled and now - job.cancelled_at > 0.5 * cancel_s
            for placement in job.open.values()
        }

    def _lost(self, machine: Machine, now: float, quiet_s: float, limit_s: float) -> str:
        """Why a machine that has been up is of no use any more, empty if it is."""
        heartbeat_interval_s = self._state.settings.facts.workers.heartbeat_interval_s
        if machine.missing_from_lists >= 2 and quiet_s > heartbeat_interval_s * 1.5:
            return "gone from the cloud's list"
        if quiet_s > limit_s:
            return f"silent for {quiet_s:.0f} s"
        if machine.quarantined and not self._runs_services(machine, now):
            return "quarantined"
        if machine.reclaim_at is not None and not machine.open:
            return "to be taken by the cloud, empty"
        return ""

    def _never_up(self, machine: Machine, now: float, quiet_s: float) -> str:
        """Why a machine that has not sent a heartbeat yet is given up, empty if it is not."""
        boot_s = self._state.types[machine.type].boot_s if machine.type is not None else 60.0
        if machine.missing_from_lists >= 3 or machine.quarantined:
            return "gone or failed while booting"
        if now - machine.launched_at > max(4.0 * boot_s, 60.0) and quiet_s > boot_s:
            return "never came up"
        return ""

    def _runs_services(self, machine: Machine, now: float) -> bool:
        """Whether replicas of services run on this machine all the same. It fails what it starts; to delete
        it for that would end what runs, and a replica started elsewhere is down meanwhile."""
        return not machine.lost and any(
            p.job.is_service and p.running_since is not None and now - p.running_since > MIN_HEALTHY_RUN_S
            for p in machine.open.values()
        )

    def _idle(self, machine: Machine, now: float, work_waits: bool, idle_cpus: float) -> bool:
        """Whether an empty machine has been so for long enough; `idle_cpus`: of all empty machines."""
        state = self._state
        policy = state.policy
        if machine.type is None or machine.idle_since <= 0 or machine.index in state.service_machines:
            return False
        work_waits_for_it = work_waits and (machine.spot or state.on_demand_needed)
        keep_s = policy.keep_idle_s if idle_cpus <= self.reserve_cpus(now) else policy.surplus_idle_s
        if not machine.spot and not state.on_demand_needed:
            keep_s = min(keep_s, policy.on_demand_idle_s)
        return scaling.should_terminate(
            idle_s=now - machine.idle_since,
            age_s=now - machine.launched_at,
            on_demand=not machine.spot,
            waiting=work_waits_for_it,
            keep_s=keep_s,
        )

    def reserve_cpus(self, now: float) -> float:
        """CPUs worth keeping idle for the next urgent job: the size of those that came lately."""
        policy = self._state.policy
        recent = [cpus for at, cpus in self._state.urgent_jobs if now - at < policy.reserve_memory_s]
        return policy.reserve * sum(recent) / len(recent) if recent else 0.0

    def overdue(self) -> list[Machine]:
        """Machines to delete even where no controller can be sure to be the leader: a cancelled task there is
        not confirmed stopped and its time is running out. One that holds nothing else harms no other work and
        is deleted early; one with other work only when there is just the time for it left."""
        now = self._state.clock()
        cancel_s = self._state.settings.facts.workers.cancel_s
        pending_s: dict[int, float] = {}  # by machine: since the first cancellation there
        for job in self._state.jobs.values():
            if job.cancelled:
                for placement in job.open.values():
                    age_s = now - job.cancelled_at
                    pending_s[placement.machine] = max(pending_s.get(placement.machine, 0.0), age_s)
        machines = []
        for index, since_s in pending_s.items():
            machine = self._state.machines[index]
            only_cancelled = all(placement.job.cancelled for placement in machine.open.values())
            if since_s > (0.5 if only_cancelled else 0.75) * cancel_s:
                machines.append(machine)
        return machines

    def delete_overdue(self) -> list[Deletion]:
        """Mark the overdue machines, and list those that were not marked yet."""
        deletions = []
        for machine in self.overdue():
            if not machine.deleting:
                machine.deleting = True
                deletions.append(Deletion(machine.name, UNCONFIRMED_CANCEL))
                log.info(
                    "deleting without verified leadership: machine=%s reason=%s",
                    machine.name,
                    UNCONFIRMED_CANCEL,
                )
        return deletions
