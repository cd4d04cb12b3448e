"""What workers are told by the leader: commands in the answers to heartbeats, and direct stops."""

from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import workers
from bayford.scheduling.model import EPS


class WorkerCommands:
    """Lists commands from the leader's state, whose lock it takes by itself."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def commands_for(self, index: int, arrival: float) -> tuple[list[workers.Command], bool]:
        """What to answer the machine's heartbeat that came at `arrival`, and whether starts await the gate.

        The gate: a start goes out only if we were verifiably the leader at some moment after the heartbeat
        arrived, and the placement is durable and still open now.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader:
                return [], False
            seen = self._state.seen[index]
            commands: list[workers.Command] = []
            gated = False
            for key, phase in seen.items():
                placement = machine.open.get(key)
                task_id, attempt = key
                if phase == workers.ENDED:
                    name, task = workers.split_task(task_id) or ("", 0)
                    if placement is None and not self._state.is_uncommitted(name, task):
                        commands.append(workers.Reap(task_id, attempt))
                elif placement is None:
                    commands.append(workers.Stop(task_id, attempt, 0.0))
                elif placement.stopping:
                    commands.append(workers.Stop(task_id, attempt, placement.stop_grace_s))
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
            return commands, gated

    def stop_commands_for(
        self, index: int, cancelled_alone: bool = False
    ) -> tuple[str, int, list[workers.Command]] | None:
        """Address, epoch and the stops that are worth a direct command to this machine now; with
        `cancelled_alone` those of cancelled jobs, which are right whoever owns them.

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
            return (machine.address, machine.epoch, stop_commands) if stop_commands else None

    def hold_s(self, index: int) -> float:
        """How long it pays to keep this machine's heartbeat, waiting for work to answer it with.

        A worker's lease counts from the sending of its heartbeat, and it drops answers after 4 s, so a short
        wait costs nothing but the news of tasks that end meanwhile.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not machine.usable:
                return 0.0
            if not machine.open:
                return min(
                    self._state.policy.hold_idle_s,
                    self._state.settings.facts.workers.heartbeat_interval_s * 0.75,
                )
            if machine.free_cpus > EPS or any(not p.durable for p in machine.open.values()):
                return self._state.policy.hold_s
            return 0.0
