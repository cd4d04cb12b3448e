"""Detects unresponsive machines and machines on which tasks fail, and quarantines them."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import workers
from bayford.scheduling.model import AttemptKey, Job, Machine, Placement

log = logging.getLogger(__name__)

RESPONSE_DEADLINE_S = 4.5  # a worker drops answers that arrive later than 4 s
MAX_UNACKNOWLEDGED_RESPONSES = 3  # consecutive answers without effect that make a machine unresponsive
MAX_UNEXPECTED_LEASE_EXPIRIES = 2
# No machine is declared unresponsive while more than MAX_SUSPECTS machines are suspect and these are more
# than one in SUSPECT_FRACTION of the registered machines.
MAX_SUSPECTS = 3
SUSPECT_FRACTION = 4
MIN_HEALTHY_RUN_S = 5.0  # a task that has run longer than this shows that its machine works
MIN_FAILURES_TO_QUARANTINE = 2
MACHINE_BACKOFF_S = 3.0  # pause in placements on a machine after a failed task
QUARANTINE_S = 30.0  # since the last failure; for a machine that its services keep from being deleted


class MachineHealth:
    """Tracks acknowledgements, lease expiries and task failures, and quarantines machines.

    Callers must hold the lock of the leader's state.
    """

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def on_lease_expired(self, machine: Machine, now: float) -> None:
        """Handle a new epoch of the worker. If the worker was answered well within its lease and the lease
        still expired, the answers may not reach it."""
        times = self._state.settings.facts.workers
        if machine.registered and now - machine.last_answered_at < times.lease_s - RESPONSE_DEADLINE_S:
            machine.lease_expiries += 1
            if machine.lease_expiries >= MAX_UNEXPECTED_LEASE_EXPIRIES:
                self._mark_unresponsive(machine)

    def check_acknowledged(self, machine: Machine, phases: dict[AttemptKey, str]) -> None:
        """Check whether a heartbeat that reports `phases` shows an effect of the last answer's commands, and
        count the consecutive answers without effect.

        A worker has one heartbeat in flight, so this heartbeat was sent after the last answer arrived, or
        that answer will never arrive.
        """
        if not machine.sent_commands:
            return
        is_acknowledged = False
        for task_id, attempt, verb in machine.sent_commands:
            phase = phases.get((task_id, attempt))
            if verb == workers.START:
                is_acknowledged = is_acknowledged or phase is not None
            elif verb == workers.REAP:
                is_acknowledged = is_acknowledged or phase is None
            else:
                is_acknowledged = is_acknowledged or phase not in (
                    workers.RUNNING,
                    workers.FETCHING,
                    workers.GATHERING,
                )
        machine.sent_commands.clear()
        if is_acknowledged:
            machine.unacknowledged = machine.lease_expiries = 0
            return
        machine.unacknowledged += 1
        if machine.unacknowledged >= MAX_UNACKNOWLEDGED_RESPONSES:
            self._mark_unresponsive(machine)

    def _mark_unresponsive(self, machine: Machine) -> None:
        """Quarantine a machine that sends heartbeats but does not act on the answers, so that it is replaced.

        Its placements stay open until its deletion is confirmed.
        """
        registered = sum(m.registered for m in self._state.machines.values())
        suspects = sum(m.unacknowledged > 0 or m.lease_expiries > 0 for m in self._state.machines.values())
        if machine.quarantined or suspects > max(MAX_SUSPECTS, registered // SUSPECT_FRACTION):
            return  # with so many suspects the fault lies with this controller or the network
        machine.quarantined = machine.lost = True
        log.error(
            "machine unresponsive: machine=%s unacknowledged_responses=%d unexpected_lease_expiries=%d",
            machine.name,
            machine.unacknowledged,
            machine.lease_expiries,
        )

    def on_worker_began_anew(self, machine: Machine) -> None:
        """Quarantine a machine whose worker counts its heartbeats from the beginning again, so that it is
        replaced.

        Such a worker has lost its tasks, but its heartbeats can't be told from late copies of those of the
        worker before. The placements stay open until the machine's deletion is confirmed.
        """
        if not machine.lost:
            machine.quarantined = machine.lost = True
            log.error("worker began anew: machine=%s tasks=%d", machine.name, len(machine.open))

    def on_task_failed(self, machine: Machine, job: Job, runs_elsewhere: bool, now: float) -> None:
        """Handle a task failure that is not the job's fault.

        Quarantines the machine if several jobs fail on it, or if a single job fails on it repeatedly and runs
        on other machines.
        """
        has_several_failed_jobs = len(machine.failures_by_job) >= MIN_FAILURES_TO_QUARANTINE
        # Services are excluded: a replica that cannot run anywhere would quarantine machine after machine.
        has_one_failing_job = (
            sum(machine.failures_by_job.values()) >= MIN_FAILURES_TO_QUARANTINE
            and runs_elsewhere
            and not job.is_service
        )
        if (has_several_failed_jobs or has_one_failing_job) and not machine.quarantined:
            self._quarantine(machine)
        elif not has_several_failed_jobs:
            machine.backoff_until = max(machine.backoff_until, now + MACHINE_BACKOFF_S)

    def on_only_machine_failed(self, machine: Machine, now: float) -> None:
        """Handle a job that failed again and again on this machine and was on no other.

        Quarantines the machine, so that it is replaced, unless a task that runs there shows that it works.
        """
        if not machine.quarantined and not any(
            runs_stably(placement, now) for placement in machine.open.values()
        ):
            self._quarantine(machine)

    def _quarantine(self, machine: Machine) -> None:
        machine.quarantined = True
        log.error(
            "machine quarantined: machine=%s failed_jobs=%s", machine.name, ",".join(machine.failures_by_job)
        )

    def keeps_services(self, machine: Machine, now: float) -> bool:
        """Return whether replicas of services run stably on this quarantined machine.

        Tasks started on the machine fail, but deleting it would also end these replicas, which would be down
        until they have started elsewhere.
        """
        return not machine.lost and any(
            placement.job.is_service and runs_stably(placement, now) for placement in machine.open.values()
        )

    def end_quarantine_if_due(self, machine: Machine, now: float) -> None:
        """Let a quarantined machine that is kept for its services take work again some time after its last
        failure. If it still fails tasks, it is quarantined again."""
        if now - machine.failed_at <= QUARANTINE_S:
            return
        machine.quarantined = False
        machine.failures_by_job.clear()
        log.info("quarantine ended: machine=%s quiet_s=%.0f", machine.name, now - machine.failed_at)


def runs_stably(placement: Placement, now: float) -> bool:
    """Return whether the task has run long enough to show that its machine works."""
    return placement.running_since is not None and now - placement.running_since > MIN_HEALTHY_RUN_S
