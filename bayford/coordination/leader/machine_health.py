"""Which machines are trusted with work: unresponsive ones, and those on which tasks fail."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import workers
from bayford.scheduling.model import AttemptKey, Job, Machine

log = logging.getLogger(__name__)

RESPONSE_DEADLINE_S = 4.5  # a worker drops answers that come later than 4 s
MAX_UNACKNOWLEDGED_RESPONSES = 3  # so many answers in a row without an effect make a machine unresponsive
MAX_UNEXPECTED_LEASE_EXPIRIES = 2
# No machine is declared unresponsive while more than this many, and more than one in this many, are suspect.
MAX_SUSPECTS = 3
SUSPECT_FRACTION = 4
MIN_HEALTHY_RUN_S = 5.0  # a task that has run for so long is no failure
MIN_FAILURES_TO_QUARANTINE = 2
MACHINE_BACKOFF_S = 3.0  # after a failed task


class MachineHealth:
    """Watches acknowledgements, leases and failures, and puts machines into quarantine. Called under the lock
    of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def on_lease_expired(self, machine: Machine, now: float) -> None:
        """The worker has begun a new epoch. If it was answered well within its lease, it may receive no
        answers."""
        times = self._state.settings.facts.workers
        if machine.registered and now - machine.last_answered_at < times.lease_s - RESPONSE_DEADLINE_S:
            machine.lease_expiries += 1
            if machine.lease_expiries >= MAX_UNEXPECTED_LEASE_EXPIRIES:
                self._mark_unresponsive(machine)

    def check_acknowledged(self, machine: Machine, seen: dict[AttemptKey, str]) -> None:
        """Whether the heartbeat with these phases shows an effect of the last answer.

        A worker has one heartbeat in flight, so this one was sent after that answer came, or the answer will
        never come.
        """
        if not machine.sent_commands:
            return
        acknowledged = False
        for task_id, attempt, verb in machine.sent_commands:
            phase = seen.get((task_id, attempt))
            if verb == workers.START:
                acknowledged = acknowledged or phase is not None
            elif verb == workers.REAP:
                acknowledged = acknowledged or phase is None
            else:
                acknowledged = acknowledged or phase not in (
                    workers.RUNNING,
                    workers.FETCHING,
                    workers.GATHERING,
                )
        machine.sent_commands.clear()
        if acknowledged:
            machine.unacknowledged = machine.lease_expiries = 0
            return
        machine.unacknowledged += 1
        if machine.unacknowledged >= MAX_UNACKNOWLEDGED_RESPONSES:
            self._mark_unresponsive(machine)

    def _mark_unresponsive(self, machine: Machine) -> None:
        """Heartbeats of the machine come and it acts on no answer: no more work for it, and another in its
        place. What it has counts as there until its deletion is confirmed."""
        registered = sum(m.registered for m in self._state.machines.values())
        suspects = sum(m.unacknowledged > 0 or m.lease_expiries > 0 for m in self._state.machines.values())
        if machine.quarantined or suspects > max(MAX_SUSPECTS, registered // SUSPECT_FRACTION):
            return  # with so many at a time the fault is this controller's, or the network's
        machine.quarantined = machine.lost = True
        log.error(
            "machine unresponsive: machine=%s unacknowledged_responses=%d unexpected_lease_expiries=%d",
            machine.name,
            machine.unacknowledged,
            machine.lease_expiries,
        )

    def on_task_failed(self, machine: Machine, job: Job, runs_elsewhere: bool, now: float) -> None:
        """A task of the job failed on the machine, and the job is not to blame: quarantine the machine if
        several jobs fail on it, or one again and again that runs elsewhere."""
        several_jobs = len(machine.failed_jobs) >= MIN_FAILURES_TO_QUARANTINE
        # A replica that can't run anywhere would cost one machine after the other.
        one_job = (
            sum(machine.failed_jobs.values()) >= MIN_FAILURES_TO_QUARANTINE
            and runs_elsewhere
            and not job.is_service
        )
        if (several_jobs or one_job) and not machine.quarantined:
            machine.quarantined = True
            log.error(
                "machine quarantined: machine=%s failed_jobs=%s", machine.name, ",".join(machine.failed_jobs)
            )
        elif not several_jobs:
            machine.backoff_until = max(machine.backoff_until, now + MACHINE_BACKOFF_S)
