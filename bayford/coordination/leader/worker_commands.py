"""Commands from the leader to workers: in the answers to heartbeats, and as direct stop commands."""

import operator
from typing import NamedTuple

from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import message_sizes, workers
from bayford.scheduling.model import AttemptKey, Machine
from bayford.scheduling.resources import EPS

IDLE_HOLD_SHARE = 0.75  # maximum hold of an idle machine's heartbeat, as a share of the heartbeat interval

_is_durable = operator.attrgetter("durable")  # of a placement


class PendingCommands(NamedTuple):
    """The commands with which to answer a heartbeat."""

    commands: list[workers.Command]
    gated: bool  # whether further starts wait until this controller is verified as the leader


class DirectCommands(NamedTuple):
    """Stop commands that are sent to a worker in a request of their own."""

    address: str
    epoch: int
    commands: list[workers.Command]


class WorkerCommands:
    """Derives commands from the leader's state. The public methods take the lock of the state themselves."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def commands_for(self, index: int, arrival: float, with_starts: bool = True) -> PendingCommands:
        """Return the commands that answer the machine's heartbeat received at `arrival` (steady clock).

        `with_starts`: whether starts may be among them.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader:
                return PendingCommands([], False)
            phases = self._state.reported_phases[index]
            stops_and_reaps = self._list_stops_and_reaps(machine, phases)
            starts, gated = self._list_starts(machine, phases, arrival) if with_starts else ([], False)
            if not stops_and_reaps and not starts:
                return PendingCommands([], gated)
            commands, deferred = message_sizes.bounded_commands(stops_and_reaps, starts, phases)
            self._state.starts += max(0, len(commands) - len(stops_and_reaps))
            self._state.deferred_commands += deferred
            return PendingCommands(commands, gated)

    def _list_stops_and_reaps(self, machine: Machine, phases: dict[AttemptKey, str]) -> list[workers.Command]:
        """Return the stops and reaps for the attempts in the machine's last heartbeat.

        Stops of cancelled jobs come first, since they have a time limit. Stops of attempts that are already
        saving a checkpoint come last, because they are repeated until the attempt ends.
        """
        cancelled: list[workers.Command] = []
        others: list[workers.Command] = []
        repeated: list[workers.Command] = []
        open_placements = machine.open
        for key, phase in phases.items():
            placement = open_placements.get(key)
            if placement is not None and not placement.stopping and phase != workers.ENDED:
                continue  # most attempts
            task_id, attempt = key
            if phase == workers.ENDED:
                if placement is None and self._may_reap(task_id):
                    others.append(workers.Reap(task_id, attempt))
            elif placement is None:
                stops = cancelled if self._is_job_over(task_id) else others
                stops.append(workers.Stop(task_id, attempt, 0.0))
            else:
                is_repeated = phase == workers.CHECKPOINTING and placement.stop_grace_s > 0
                stops = cancelled if placement.job.cancelled else repeated if is_repeated else others
                stops.append(workers.Stop(task_id, attempt, placement.stop_grace_s))
        return [*cancelled, *others, *repeated] if cancelled or repeated else others

    def _may_reap(self, task_id: str) -> bool:
        """Return whether the end of the task's attempt is durable, so that the worker may forget it."""
        job_id, task = workers.parse_task_id(task_id) or ("", 0)
        return not self._state.is_uncommitted(job_id, task)

    def _is_job_over(self, task_id: str) -> bool:
        """Return whether the task's job is cancelled, or is no longer or not yet known."""
        job_id, _ = workers.parse_task_id(task_id) or ("", 0)
        job = self._state.jobs.get(job_id)
        return job is None or job.cancelled

    def _list_starts(
        self, machine: Machine, phases: dict[AttemptKey, str], arrival: float
    ) -> tuple[list[workers.Start], bool]:
        """Return the starts that may be sent, and whether others have to wait for the gate.

        The gate: a start is sent only if this controller was the verified leader at some time after the
        heartbeat arrived, and the placement is durable and still open.
        """
        starts = []
        gated = False
        for key, placement in machine.open.items():
            if key in phases or not placement.durable or placement.epoch != machine.epoch:
                continue
            if placement.job.cancelled:
                continue
            if self._state.verified_at <= arrival:
                gated = True
                continue
            starts.append(workers.Start(placement.task_id, placement.attempt))
        return starts, gated

    def take_stop_commands(self, index: int, cancelled_alone: bool = False) -> DirectCommands | None:
        """Return the next stops to send to this machine in a direct command, or None if there are none.

        They fit into one message, and stops of cancelled jobs come first; call it again for the rest. With
        `cancelled_alone` only the stops of cancelled jobs, which are correct whichever controller leads. Only
        stops are sent directly: a copy that arrives late stops an attempt that had to stop anyway.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader or not machine.address:
                return None
            unsent = [p for p in machine.open.values() if p.stopping and p.started and not p.stop_sent]
            cancelled = [p for p in unsent if p.job.cancelled]
            others = [] if cancelled_alone else [p for p in unsent if not p.job.cancelled]
            placements = cancelled + others
            commands = message_sizes.leading_commands(
                [workers.Stop(p.task_id, p.attempt, p.stop_grace_s) for p in placements]
            )
            for placement in placements[: len(commands)]:
                placement.stop_sent = True
            return DirectCommands(machine.address, machine.epoch, commands) if commands else None

    def hold_s(self, index: int) -> float:
        """Return the number of seconds for which to hold this machine's heartbeat until there is work to
        answer it with.

        A worker's lease counts from the time at which it sent the heartbeat, and it drops answers that arrive
        after 4 s. Within that time a short hold has one cost: tasks that end meanwhile are reported later.
        """
        policy = self._state.policy
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not machine.usable:
                return 0.0
            if not machine.open:
                interval_s = self._state.settings.facts.workers.heartbeat_interval_s
                return min(policy.hold_idle_s, interval_s * IDLE_HOLD_SHARE)
            if machine.free_cpus > EPS or not all(map(_is_durable, machine.open.values())):
                return policy.hold_s
            return 0.0
