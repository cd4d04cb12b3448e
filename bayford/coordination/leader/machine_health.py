"""Which machines are trusted with work: unresponsive ones, and those on which tasks fail."""

import logging

from bayford.coordination.leader.leader_state import AttemptKey, LeaderState
from bayford.protocol import workers
from bayford.scheduling.model import Job, Machine

log = logging.getLogger("bayford.engine")

ANSWER_S = 4.5  # a worker drops answers that come later than 4 s
UNACKNOWLEDGED_RESPONSES = 3  # so many answers in a row of which nothing shows
UNEXPECTED_LEASE_EXPIRIES = 2
RUNS_S = 5.0  # a task that has run for so long is no failure


class MachineHealth:
    """Acknowledgements, leases and failures of machines. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def on_lease_expired(self, machine: Machine, now: float) -> None:
        """The worker has begun a new epoch."""
        facts = self._state.settings.facts.workers
        if machine.registered and now - machine.last_answered_at < facts.lease_s - ANSWER_S:
            # Its lease ran out although it was answered well within it: it may not hear us.
            machine.lease_expiries += 1
            if machine.lease_expiries >= UNEXPECTED_LEASE_EXPIRIES:
                self._mark_unresponsive(
                    machine, f"{machine.lease_expiries} leases ran out although it was answered"
                )

    def check_acknowledged(self, machine: Machine, seen: dict[AttemptKey, str]) -> None:
        """Whether anything of the last answer shows. A worker has one heartbeat in flight, so this one was
        sent after that answer came, or never will."""
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
        if machine.unacknowledged >= UNACKNOWLEDGED_RESPONSES:
            self._mark_unresponsive(machine, f"nothing of {machine.unacknowledged} answers shows")

    def _mark_unresponsive(self, machine: Machine, why: str) -> None:
        """A machine that is heard and does not hear: no more work, and another in its place. What it has
        counts as there until its deletion is confirmed."""
        others = sum(m.registered for m in self._state.machines.values())
        doubted = sum(m.unacknowledged > 0 or m.lease_expiries > 0 for m in self._state.machines.values())
        if machine.quarantined or doubted > max(3, others // 4):
            return  # so many at a time: the fault is ours, or the network's
        machine.quarantined = machine.lost = True
        log.error("machine %s does not hear us: %s", machine.name, why)

    def on_task_failed(self, machine: Machine, job: Job, runs: bool, now: float) -> None:
        """A task of the job failed on the machine; with `runs` the job runs elsewhere."""
        several = len(machine.failed_jobs) >= 2
        # A replica that can't run anywhere would cost one machine after the other.
        alone = sum(machine.failed_jobs.values()) >= 2 and runs and not job.is_service
        if (several or alone) and not machine.quarantined:
            machine.quarantined = True
            log.error("machine %s quarantined: %s failed there", machine.name, list(machine.failed_jobs))
        elif not several:
            machine.backoff_until = max(machine.backoff_until, now + 3.0)
