"""Applies the heartbeats of workers to the leader's state.

Single tasks are reconciled in `task_reconciliation`, the health of machines is tracked in `machine_health`,
and the commands in the answers come from `worker_commands`.
"""

import logging

from bayford.clock import NEVER
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MachineHealth
from bayford.coordination.leader.task_reconciliation import TaskReconciliation
from bayford.coordination.leadership.transfer import WorkerContact
from bayford.protocol import message_sizes, workers
from bayford.scheduling.model import AttemptKey, Machine, SentCommand

log = logging.getLogger(__name__)


class HeartbeatHandler:
    """Applies heartbeats to the leader's state. The public methods take the lock of the state themselves."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._health = MachineHealth(state)
        self._tasks = TaskReconciliation(state, self._health)

    def on_heartbeat(
        self,
        heartbeat: workers.Heartbeat,
        sent_after: float = NEVER,
        relay: str = "",
        is_command_response: bool = False,
    ) -> int | None:
        """Apply a heartbeat and return the index of its machine, or None if the response holds no commands.

        It holds none if this controller is not the leader, the machine is deleted, the epoch is an earlier
        one, or a newer heartbeat has arrived: a worker does not wait for the response to a late copy.

        `sent_after`: lower bound (steady clock) of the sending time: when the previous heartbeat on the
        connection was answered. Heartbeats may arrive minutes late; nothing else bounds their age.
        `relay`: the controller that forwarded it, empty if sent directly. `is_command_response`: it responds
        to a direct command; the answer to an earlier heartbeat may then still be in flight."""
        state = self._state
        with state.lock:
            if not state.leader or not state.complete or heartbeat.machine in state.deleted_machines:
                return None
            now = state.clock()
            machine = state.get_or_add_machine(heartbeat.machine, now)
            if not is_command_response and not self._is_newest(machine, heartbeat, sent_after):
                return None
            if heartbeat.order <= machine.last_order and machine.registered:
                # The response to a direct command came first. Nothing new, but the worker waits.
                return machine.index if heartbeat.epoch == machine.epoch else None
            state.last_heartbeat_received_at = now
            if heartbeat.epoch > machine.epoch:
                self._on_new_epoch(machine, heartbeat.epoch, now)
            phases = {(task.task_id, task.attempt): task.phase for task in heartbeat.tasks}
            if not is_command_response and not relay:
                self._health.check_acknowledged(machine, phases)
            self._update_machine(machine, heartbeat, relay, now)
            self._reconcile_tasks(machine, heartbeat.tasks, now)
            state.reported_phases[machine.index] = phases
            self._close_unstarted(machine, phases, sent_after)
            if not machine.open and machine.idle_since <= 0:
                machine.idle_since = now
            return machine.index

    def _is_newest(self, machine: Machine, heartbeat: workers.Heartbeat, sent_after: float) -> bool:
        """Return whether this is the machine's newest heartbeat so far, and if so, record its order.

        One that is not, though it was sent after the newest one arrived, comes from a worker that began anew.
        """
        if heartbeat.order > machine.heartbeat_order:
            machine.heartbeat_order = heartbeat.order
            return True
        if sent_after > machine.last_heartbeat_at:
            self._health.on_worker_began_anew(machine)
        return False

    def _reconcile_tasks(self, machine: Machine, tasks: list[workers.TaskState], now: float) -> None:
        """Apply the states of all tasks that the machine lists, and what room they leave in its heartbeat."""
        unplaced_bytes = 0
        open_placements = machine.open
        for task in tasks:
            placement = open_placements.get((task.task_id, task.attempt))
            if placement is not None:
                self._tasks.reconcile(machine, placement, task, now)
                if task.phase != workers.ENDED:
                    continue
            unplaced_bytes += message_sizes.report_entry_bytes(task.task_id)
        if unplaced_bytes != machine.unplaced_report_bytes:
            machine.set_unplaced_report_bytes(unplaced_bytes)
            self._state.capacity_index.update(machine)

    def on_answered(self, index: int, heartbeat: workers.Heartbeat, commands: list[workers.Command]) -> None:
        """Record that a heartbeat is answered with these commands.

        An answer to a late copy of a heartbeat reaches no worker and is not recorded.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is not None and machine.last_order == heartbeat.order:
                machine.last_answered_at = self._state.clock()
                machine.sent_commands = [SentCommand(c.task_id, c.attempt, c.verb) for c in commands]

    def worker_contact(self, since: float) -> WorkerContact:
        """Return how many machines sent a heartbeat after `since` (steady clock), directly and by relay."""
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

    def _update_machine(self, machine: Machine, heartbeat: workers.Heartbeat, relay: str, now: float) -> None:
        """Update the machine's own fields, but not its tasks, from the heartbeat."""
        if heartbeat.fencing_token >= self._state.fencing_token:
            # A worker that sends the fencing token of this term has received an answer in this term. Late
            # copies of heartbeats and machines that receive no answers do not have it and get no work.
            machine.token_acknowledged = True
        machine.sequence = heartbeat.sequence
        machine.last_heartbeat_at = now
        machine.relay = relay
        if relay:
            machine.last_answered_at = now  # the relay has just answered it
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
        self._state.set_machine_type(machine, heartbeat.type)
        self._state.capacity_index.update(machine)

    def _on_new_epoch(self, machine: Machine, epoch: int, now: float) -> None:
        """Requeue the machine's tasks of earlier epochs. The worker killed and dropped them when its lease
        expired."""
        self._health.on_lease_expired(machine, now)
        machine.sent_commands.clear()
        lost = [p for p in machine.open.values() if p.epoch < epoch]
        if machine.registered and lost:
            log.info("lease expired: machine=%s epoch=%d tasks_lost=%d", machine.name, epoch, len(lost))
        machine.epoch = epoch
        machine.sequence = -1
        self._state.reported_phases[machine.index] = {}
        for placement in lost:
            self._state.close(machine, placement, now)
            placement.job.requeue(placement.task)

    def _close_unstarted(self, machine: Machine, phases: dict[AttemptKey, str], sent_after: float) -> None:
        """Close placements of cancelled jobs that the worker does not list.

        This is safe only if the heartbeat was sent after the cancellation was committed. No controller then
        answers this heartbeat or a later one with the start, since the gate for starts reads the
        cancellation. A worker has one heartbeat in flight, so the answer to any earlier heartbeat has already
        been dropped or executed. A heartbeat that was only received after the cancellation proves nothing, as
        a network partition may have delayed it.
        """
        cancelled = [(key, p) for key, p in machine.open.items() if p.job.cancelled]
        for key, placement in cancelled:
            is_absent = key not in phases and placement.epoch == machine.epoch
            if is_absent and sent_after >= placement.job.cancel_learned_at:
                self._state.close(machine, placement, self._state.clock())
