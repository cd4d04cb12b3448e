"""Decides which machines are deleted from the cloud, and why."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MachineHealth
from bayford.coordination.leader.scaling_actions import Deletion
from bayford.scheduling import scaling
from bayford.scheduling.model import Machine

log = logging.getLogger(__name__)

UNCONFIRMED_CANCEL = "a cancelled task there is not confirmed stopped"
# If more machines than this, and more than a quarter of the registered ones, are silent at once, the fault
# may lie with this controller or the network.
MAX_SILENT_MACHINES = 3
MISSED_HEARTBEATS = 2.5  # a machine is silent after this many heartbeat intervals without a heartbeat
MAX_TOTAL_SILENCE_S = 3.0  # without a heartbeat from any machine; beyond, the fault may be this controller's
LEASES_IF_OWN_FAULT = 2.5  # leases of silence after which a machine is lost if the fault may lie here
# Beyond the time for which a deposed leader may answer a machine that this one has not heard.
DEPOSED_LEADER_MARGIN_S = 3.0
MISSING_FROM_LISTS = 2  # consecutive lists without a machine that, with silence, show that it is gone
MISSING_FROM_LISTS_BOOTING = 3  # same for a machine that has never sent a heartbeat
MISSED_HEARTBEATS_IF_MISSING = 1.5  # heartbeat intervals of silence of a machine that lists do not contain
DEFAULT_BOOT_S = 60.0  # for a machine of unknown type
MAX_BOOT_TIMES, MIN_BOOT_LIMIT_S = 4.0, 60.0  # a machine that takes longer never comes up
# Share of `cancel_s` after which a machine is deleted to end a cancelled task, and the same if other work is
# on it and no controller can verify its leadership: just enough time for the deletion is left then.
UNCONFIRMED_CANCEL_SHARE, LATEST_CANCEL_SHARE = 0.5, 0.75


class MachineDeletions:
    """Decides which machines to delete. Callers must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._health = MachineHealth(state)

    def decide(self, now: float, has_waiting_tasks: bool, listening_since: float) -> list[Deletion]:
        """Mark the machines to delete and return their deletions.

        Silence before `listening_since` (steady clock) does not count against a machine.
        `has_waiting_tasks` says whether tasks wait for capacity.
        """
        registered_limit_s, unregistered_limit_s = self._silence_limits(now, listening_since)
        unconfirmed = self._machines_with_unconfirmed_stops(now)
        idle_cpus = sum(m.cpus for m in self._state.machines.values() if m.usable and not m.open)
        deletions = []
        for machine in self._state.machines.values():
            if machine.deleting:
                continue
            silent_for_s = now - max(machine.last_heartbeat_at, listening_since)
            if machine.index in unconfirmed:
                reason = UNCONFIRMED_CANCEL
            elif not machine.registered and not machine.open:
                reason = self._boot_failure_reason(machine, now, silent_for_s)
            else:
                limit_s = registered_limit_s if machine.registered else unregistered_limit_s
                reason = self._unusable_reason(machine, now, silent_for_s, limit_s)
                if (
                    not reason
                    and not machine.open
                    and self._is_surplus(machine, now, has_waiting_tasks, idle_cpus)
                ):
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
        """Return the seconds of silence after which a machine counts as lost: first for a machine that has
        sent this leader a heartbeat, then for one that has not."""
        state = self._state
        facts = state.settings.facts.workers
        # If no machine sends heartbeats, or many become silent at once, the fault probably lies with this
        # controller or the network, so wait longer. Spot machines reclaimed in large numbers are detected by
        # their absence from the cloud's list instead.
        registered = [m for m in state.machines.values() if m.registered and not m.deleting]
        silent_count = sum(
            now - max(m.last_heartbeat_at, listening_since) > MISSED_HEARTBEATS * facts.heartbeat_interval_s
            for m in registered
        )
        is_controller_or_network_fault = (
            now - state.last_heartbeat_received_at > MAX_TOTAL_SILENCE_S
            or now - state.leader_since < facts.lease_s
            or silent_count > max(MAX_SILENT_MACHINES, len(registered) // 4)
        )
        registered_limit_s = (
            facts.lease_s * (LEASES_IF_OWN_FAULT if is_controller_or_network_fault else 1.0)
            + facts.heartbeat_interval_s
        )
        # Right after a failover the deposed leader may still answer workers: it cannot detect that it was
        # replaced if the state service refuses its requests alone. It stops answering by itself once its view
        # is older than the staleness limit.
        return registered_limit_s, max(registered_limit_s, state.staleness_limit() + DEPOSED_LEADER_MARGIN_S)

    def _machines_with_unconfirmed_stops(self, now: float) -> set[int]:
        """Return the machines with a task that is not confirmed stopped half of `cancel_s` after its
        cancellation.

        They are deleted so that the task ends within `cancel_s`.
        """
        cancel_s = self._state.settings.facts.workers.cancel_s
        return {
            placement.machine
            for job in self._state.jobs.values()
            if job.cancelled and now - job.cancelled_at > UNCONFIRMED_CANCEL_SHARE * cancel_s
            for placement in job.open.values()
        }

    def _unusable_reason(self, machine: Machine, now: float, silent_for_s: float, limit_s: float) -> str:
        """Return why a machine is unusable and has to be deleted, or an empty string if it is usable.

        `silent_for_s` is the time since its last heartbeat, `limit_s` the time after which it counts as lost.
        """
        heartbeat_interval_s = self._state.settings.facts.workers.heartbeat_interval_s
        is_missing = machine.missing_from_lists >= MISSING_FROM_LISTS
        if is_missing and silent_for_s > heartbeat_interval_s * MISSED_HEARTBEATS_IF_MISSING:
            return "gone from the cloud's list"
        if silent_for_s > limit_s:
            return f"silent for {silent_for_s:.0f} s"
        if machine.quarantined:
            if not self._health.keeps_services(machine, now):
                return "quarantined"
            self._health.end_quarantine_if_due(machine, now)
        if machine.reclaim_at is not None and not machine.open:
            return "to be taken by the cloud, empty"
        return ""

    def _boot_failure_reason(self, machine: Machine, now: float, silent_for_s: float) -> str:
        """Return why a machine that has never sent a heartbeat is to be deleted, or an empty string."""
        boot_s = self._state.types[machine.type].boot_s if machine.type is not None else DEFAULT_BOOT_S
        if machine.missing_from_lists >= MISSING_FROM_LISTS_BOOTING or machine.quarantined:
            return "gone or failed while booting"
        boot_limit_s = max(MAX_BOOT_TIMES * boot_s, MIN_BOOT_LIMIT_S)
        if now - machine.launched_at > boot_limit_s and silent_for_s > boot_s:
            return "never came up"
        return ""

    def _is_surplus(self, machine: Machine, now: float, has_waiting_tasks: bool, idle_cpus: float) -> bool:
        """Return whether an empty machine has been idle long enough to be deleted.

        `idle_cpus` is the total number of CPUs of all empty machines.
        """
        state = self._state
        policy = state.policy
        if machine.type is None or machine.idle_since <= 0 or machine.index in state.service_machines:
            return False
        is_awaited = has_waiting_tasks and (machine.spot or state.on_demand_needed)
        keep_s = policy.keep_idle_s if idle_cpus <= self.reserve_cpus(now) else policy.surplus_idle_s
        if not machine.spot and not state.on_demand_needed:
            keep_s = min(keep_s, policy.on_demand_idle_s)
        return scaling.should_terminate(
            idle_s=now - machine.idle_since,
            age_s=now - machine.launched_at,
            on_demand=not machine.spot,
            waiting=is_awaited,
            keep_s=keep_s,
        )

    def reserve_cpus(self, now: float) -> float:
        """Return the number of CPUs to keep idle for the next urgent job: `Policy.reserve` times the mean
        size of recent urgent jobs."""
        policy = self._state.policy
        recent = [cpus for at, cpus in self._state.urgent_jobs if now - at < policy.reserve_memory_s]
        return policy.reserve * sum(recent) / len(recent) if recent else 0.0

    def overdue(self) -> list[Machine]:
        """Return the machines to delete even if no controller can verify its leadership, because a cancelled
        task on them is not confirmed stopped and `cancel_s` is about to pass.

        A machine with cancelled tasks only is deleted after half of `cancel_s`, as no other work is harmed.
        One with other work is deleted after three quarters, which leaves just enough time for the deletion.
        """
        now = self._state.clock()
        cancel_s = self._state.settings.facts.workers.cancel_s
        pending_s: dict[int, float] = {}  # by machine: seconds since the oldest cancellation of a task on it
        for job in self._state.jobs.values():
            if job.cancelled:
                for placement in job.open.values():
                    age_s = now - job.cancelled_at
                    pending_s[placement.machine] = max(pending_s.get(placement.machine, 0.0), age_s)
        machines = []
        for index, cancelled_s in pending_s.items():
            machine = self._state.machines[index]
            has_only_cancelled = all(placement.job.cancelled for placement in machine.open.values())
            share = UNCONFIRMED_CANCEL_SHARE if has_only_cancelled else LATEST_CANCEL_SHARE
            if cancelled_s > share * cancel_s:
                machines.append(machine)
        return machines

    def delete_overdue(self) -> list[Deletion]:
        """Mark the overdue machines and return the deletions of those that were not marked before."""
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
