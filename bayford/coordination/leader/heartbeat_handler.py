"""What workers send to the leader: heartbeats, taken into its state.

Reconciliation of single tasks is in `task_reconciliation`, trust in machines in `machine_health`; what
workers are answered is in `worker_commands`.
"""

import logging

from bayford.clock import NEVER
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MachineHealth
from bayford.coordination.leader.task_reconciliation import TaskReconciliation
from bayford.coordination.leadership.transfer import WorkerContact
from bayford.protocol import workers
from bayford.scheduling.model import AttemptKey, Machine, SentCommand

log = logging.getLogger(__name__)


class HeartbeatHandler:
    """Takes heartbeats in. The public methods take the lock of the leader's state by themselves."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._health = MachineHealth(state)
        self._tasks = TaskReconciliation(state, self._health)

    def on_heartbeat(
        self, heartbeat: workers.Heartbeat, after: float = NEVER, relay: str = "", asked: bool = False
    ) -> int | None:
        """Take a heartbeat in; its machine's index, or None if it must not be answered: this controller does
        not lead, the machine is deleted, or the heartbeat belongs to an earlier epoch.

        `after` is a moment (steady clock) before which the heartbeat was certainly not sent: the answer to
        the heartbeat before it on the same connection. Heartbeats may be minutes late, and only this tells.
        `relay` is the controller that it came through, empty if it came directly. `asked`: it is the answer
        to a direct command, and an answer to an earlier heartbeat may still be on its way.
        """
        state = self._state
        with state.lock:
            if not state.leader or not state.complete or heartbeat.machine in state.deleted_machines:
                return None
            now = state.clock()
            machine = state.machine_named(heartbeat.machine, now)
            order = (heartbeat.epoch, heartbeat.sequence)
            if order <= (machine.epoch, machine.sequence) and machine.registered:
                # Overtaken, by the answer to a direct command perhaps: it tells nothing new, but it can be
                # answered.
                return machine.index if heartbeat.epoch == machine.epoch else None
            state.last_heartbeat_received_at = now
            if heartbeat.epoch > machine.epoch:
                self._on_new_epoch(machine, heartbeat.epoch, now)
            seen = {(task.task_id, task.attempt): task.phase for task in heartbeat.tasks}
            if not asked and not relay:
                self._health.check_acknowledged(machine, seen)
            self._note_heartbeat(machine, heartbeat, relay, now)
            for task in heartbeat.tasks:
                placement = machine.open.get((task.task_id, task.attempt))
                if placement is not None:
                    self._tasks.reconcile(machine, placement, task, now)
            state.seen[machine.index] = seen
            self._close_unstarted(machine, seen, after)
            if not machine.open and machine.idle_since <= 0:
                machine.idle_since = now
            return machine.index

    def on_answered(self, index: int, heartbeat: workers.Heartbeat, commands: list[workers.Command]) -> None:
        """A heartbeat is answered with these commands. An answer to a late copy of a heartbeat reaches no
        worker and doesn't count."""
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is not None and (machine.epoch, machine.sequence) == (
                heartbeat.epoch,
                heartbeat.sequence,
            ):
                machine.last_answered_at = self._state.clock()
                machine.sent_commands = [SentCommand(c.task_id, c.attempt, c.verb) for c in commands]

    def worker_contact(self, since: float) -> WorkerContact:
        """How many machines sent a heartbeat after `since` (steady clock), directly and by each relay."""
        direct = 0
        relayed: dict[str, int] = {}
        with self._state.lock:
            for machine in self._state.machines.values():
                if not machine.registered or machine.last_heartbeat_at < since:
                    continue
                if machine.relay:
                    relayed[machine.relay] = relayed.get(machine.relay, 0) + 1
                else:
                    direct += 1
        return WorkerContact(direct, relayed)

    def _note_heartbeat(self, machine: Machine, heartbeat: workers.Heartbeat, relay: str, now: float) -> None:
        if heartbeat.fencing_token >= self._state.fencing_token:
            # A worker that names the fencing token of this term was answered in this term. A late copy of a
            # heartbeat, or a machine that no answer reaches, never does, and gets no work.
            machine.token_acknowledged = True
        machine.sequence = heartbeat.sequence
        machine.last_heartbeat_at = now
        machine.relay = relay
        if relay:
            machine.last_answered_at = now  # by the relay, a moment ago
        if not machine.registered:
            self._register(machine, heartbeat, now)
        if heartbeat.reclaim_notice_s is not None:
            if machine.reclaim_at is None:
                log.info(
                    "spot reclaim notice: machine=%s reclaim_in_s=%.0f",
                    machine.name,
                    heartbeat.reclaim_notice_s,
                )
            machine.reclaim_at = now + heartbeat.reclaim_notice_s
            self._state.reclaim_pending[machine.index] = machine

    def _register(self, machine: Machine, heartbeat: workers.Heartbeat, now: float) -> None:
        machine.registered = True
        machine.address = heartbeat.address
        machine.zone = self._state.zones.index(heartbeat.zone)
        machine.spot = heartbeat.spot
        machine.idle_since = now
        self._state.learn_type(machine, heartbeat.type)
        self._state.capacity_index.update(machine)

    def _on_new_epoch(self, machine: Machine, epoch: int, now: float) -> None:
        """The worker's lease expired: it has killed and forgotten all tasks of earlier epochs."""
        self._health.on_lease_expired(machine, now)
        machine.sent_commands.clear()
        lost = [p for p in machine.open.values() if p.epoch < epoch]
        if machine.registered and lost:
            log.info("lease expired: machine=%s epoch=%d tasks_lost=%d", machine.name, epoch, len(lost))
        machine.epoch = epoch
        machine.sequence = -1
        self._state.seen[machine.index] = {}
        for placement in lost:
            self._state.close(machine, placement, now)
            placement.job.requeue(placement.task)

    def _close_unstarted(self, machine: Machine, seen: dict[AttemptKey, str], after: float) -> None:
        """Close what a cancelled job had on its way to the worker and the worker does not have.

        Safe only for a heartbeat sent after the cancellation was committed: no controller answers that
        heartbeat or a later one with the start (the gate reads the cancellation), and a worker has one
        heartbeat in flight, so the answer to an earlier one has been dropped or executed already. A heartbeat
        that was merely received after the cancellation may have been held back by a network partition and
        proves nothing.
        """
        now = self._state.clock()
        for key, placement in list(machine.open.items()):
            absent = key not in seen and placement.epoch == machine.epoch
            if placement.job.cancelled and absent and after >= placement.job.cancel_known:
                self._state.close(machine, placement, now)
