"""What the leader commands workers to do: in the answers to heartbeats, and by direct stops."""

from typing import NamedTuple

from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import workers
from bayford.scheduling.model import EPS, AttemptKey, Machine

IDLE_HOLD_SHARE = 0.75  # of the heartbeat interval: no heartbeat of an idle machine is held for longer


class PendingCommands(NamedTuple):
    """What to answer a heartbeat with."""

    commands: list[workers.Command]
    gated: bool  # whether starts wait until this controller is verified to be the leader


class DirectCommands(NamedTuple):
    """Stops that are worth a request of their own to a worker."""

    address: str
    epoch: int
    commands: list[workers.Command]


class WorkerCommands:
    """Lists commands from the leader's state, whose lock the public methods take by themselves."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def commands_for(self, index: int, arrival: float) -> PendingCommands:
        """What to answer the machine's heartbeat that came at `arrival` (steady clock)."""
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader:
                return PendingCommands([], False)
            seen = self._state.seen[index]
            commands = self._stops_and_reaps(machine, seen)
            gated = self._add_starts(commands, machine, seen, arrival)
            return PendingCommands(commands, gated)

    def _stops_and_reaps(self, machine: Machine, seen: dict[AttemptKey, str]) -> list[workers.Command]:
        commands: list[workers.Command] = []
        for key, phase in seen.items():
            placement = machine.open.get(key)
            task_id, attempt = key
            if phase == workers.ENDED:
                job_id, task = workers.split_task(task_id) or ("", 0)
                if placement is None and not self._state.is_uncommitted(job_id, task):
                    commands.append(workers.Reap(task_id, attempt))
            elif placement is None:
                commands.append(workers.Stop(task_id, attempt, 0.0))
            elif placement.stopping:
                commands.append(workers.Stop(task_id, attempt, placement.stop_grace_s))
        return commands

    def _add_starts(
        self, commands: list[workers.Command], machine: Machine, seen: dict[AttemptKey, str], arrival: float
    ) -> bool:
        """Add the starts that may go out; whether others have to wait for the gate.

        The gate: a start goes out only if this controller was verifiably the leader at some moment after the
        heartbeat arrived, and the placement is durable and still open now.
        """
        gated = False
        for key, placement in machine.open.items():
            if key in seen or not placement.durable or placement.epoch != machine.epoch:
                continue
            if placement.job.cancelled:
                continue
            if self._state.verified_at <= arrival:
                gated = True
                continue
            commands.append(workers.Start(placement.task_id, placement.attempt))
            self._state.starts += 1
        return gated

    def stop_commands_for(self, index: int, cancelled_alone: bool = False) -> DirectCommands | None:
        """The stops that are worth a direct command to this machine now, None if there are none; with
        `cancelled_alone` those of cancelled jobs, which are right whoever leads.

        Only stops go that way: a copy that comes late stops an attempt that was to stop anyway.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader or not machine.address:
                return None
            placements = [p for p in machine.open.values() if p.job.cancelled or not cancelled_alone]
            stop_commands: list[workers.Command] = [
                workers.Stop(placement.task_id, placement.attempt, placement.stop_grace_s)
                for placement in placements
                if placement.stopping and placement.started and not placement.stop_sent
            ]
            for placement in placements:
                placement.stop_sent = placement.stop_sent or placement.stopping
            return DirectCommands(machine.address, machine.epoch, stop_commands) if stop_commands else None

    def hold_s(self, index: int) -> float:
        """For how many seconds it pays to hold this machine's heartbeat, waiting for work to answer it with.

        A worker's lease counts from the sending of its heartbeat, and it drops answers after 4 s, so a short
        wait costs nothing but a later report of tasks that end meanwhile.
        """
        policy = self._state.policy
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not machine.usable:
                return 0.0
            if not machine.open:
                interval_s = self._state.settings.facts.workers.heartbeat_interval_s
                return min(policy.hold_idle_s, interval_s * IDLE_HOLD_SHARE)
            if machine.free_cpus > EPS or any(not p.durable for p in machine.open.values()):
                return policy.hold_s
            return 0.0
