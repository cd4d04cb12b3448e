"""Commands from the leader to workers: in the answers to heartbeats, and as direct stop commands."""

from typing import NamedTuple

from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import workers
from bayford.scheduling.model import EPS, AttemptKey, Machine

IDLE_HOLD_SHARE = 0.75  # maximum hold of an idle machine's heartbeat, as a share of the heartbeat interval


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

    def commands_for(self, index: int, arrival: float) -> PendingCommands:
        """Return the commands that answer the machine's heartbeat received at `arrival` (steady clock)."""
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader:
                return PendingCommands([], False)
            phases = self._state.reported_phases[index]
            commands = self._list_stops_and_reaps(machine, phases)
            gated = self._add_starts(commands, machine, phases, arrival)
            return PendingCommands(commands, gated)

    def _list_stops_and_reaps(self, machine: Machine, phases: dict[AttemptKey, str]) -> list[workers.Command]:
        commands: list[workers.Command] = []
        for key, phase in phases.items():
            placement = machine.open.get(key)
            task_id, attempt = key
            if phase == workers.ENDED:
                job_id, task = workers.parse_task_id(task_id) or ("", 0)
                if placement is None and not self._state.is_uncommitted(job_id, task):
                    commands.append(workers.Reap(task_id, attempt))
            elif placement is None:
                commands.append(workers.Stop(task_id, attempt, 0.0))
            elif placement.stopping:
                commands.append(workers.Stop(task_id, attempt, placement.stop_grace_s))
        return commands

    def _add_starts(
        self, commands: list[workers.Command], machine: Machine, phases: dict[AttemptKey, str], arrival: float
    ) -> bool:
        """Append the starts that may be sent, and return whether others have to wait for the gate.

        The gate: a start is sent only if this controller was the verified leader at some time after the
        heartbeat arrived, and the placement is durable and still open.
        """
        gated = False
        for key, placement in machine.open.items():
            if key in phases or not placement.durable or placement.epoch != machine.epoch:
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
        """Return the stops to send to this machine in a direct command, or None if there are none.

        With `cancelled_alone` only the stops of cancelled jobs, which are correct whichever controller leads.
        Only stops are sent directly: a copy that arrives late stops an attempt that had to stop anyway.
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
            if machine.free_cpus > EPS or any(not p.durable for p in machine.open.values()):
                return policy.hold_s
            return 0.0
