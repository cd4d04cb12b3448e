"""The scheduler of one controller: all decisions over its jobs and machines, in memory, without I/O.

A facade over parts that share one `LeaderState` and its one short lock: `job_records` (jobs as the store has
them), `heartbeats` and `commands` (what workers send and are answered), `scheduling` (placement, preemption,
the balancer), `commits` (what is written), `autoscaler` (machines) and `zone_monitor`. No part calls another,
but for the autoscaler, which is given the order of service.

Threads of `controller` carry the results out: the group commit writes what `take_batch` hands over, the cloud
threads do what `scaling_step` asks, and answers to heartbeats carry what `commands_for` lists. The safety
argument is in docs/safety-argument.md; the rules that it rests on are stated where the code keeps them. Every
method may be called from any thread, without the lock.
"""

import random
from collections.abc import Callable, Iterable, Mapping

from bayford.admission.facts import WorkloadFacts
from bayford.clock import NEVER
from bayford.config import Settings
from bayford.coordination.leader import workload
from bayford.coordination.leader.autoscaler import Autoscaler
from bayford.coordination.leader.commit_batch import CommitBatch
from bayford.coordination.leader.group_commit import GroupCommit
from bayford.coordination.leader.heartbeat_handler import HeartbeatHandler
from bayford.coordination.leader.job_records import JobRecords
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.leader_state import LeaderState, TaskLogSource
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.scaling_actions import LaunchRequest, ScalingActions
from bayford.coordination.leader.scheduling_round import SchedulingRound
from bayford.coordination.leader.worker_commands import DirectCommands, PendingCommands, WorkerCommands
from bayford.coordination.leader.zone_monitor import ZoneMonitor
from bayford.coordination.leadership.transfer import WorkerContact
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import workers
from bayford.protocol.cloud_api import Listed
from bayford.recovery.zone_health import LeadershipFacts
from bayford.scheduling.model import MachineType
from bayford.scheduling.policy import Policy
from bayford.scheduling.quota import TeamQuota
from bayford.storage import records
from bayford.storage.key_value_store import Put


class Scheduler:
    """All jobs and machines of this controller while it is the leader."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """`clock` is the steady clock, `wall` the time of day, both in seconds."""
        self.state = LeaderState(settings, policy, clock, wall, rng)
        self.job_records = JobRecords(self.state)
        self.heartbeats = HeartbeatHandler(self.state)
        self.commands = WorkerCommands(self.state)
        self.scheduling = SchedulingRound(self.state)
        self.commits = GroupCommit(self.state)
        self.autoscaler = Autoscaler(self.state, self.scheduling)
        self.zone_monitor = ZoneMonitor(self.state)

    def connect(self, task_log: TaskLogSource, *listeners: LeaderListener) -> None:
        """Give the scheduler its task log, and subscribe listeners to its events. Called once, before any
        thread starts."""
        self.state.task_log = task_log
        for listener in listeners:
            self.state.events.subscribe(listener)

    # The leadership term.

    @property
    def policy(self) -> Policy:
        """The operators' settings."""
        return self.state.policy

    @property
    def limits(self) -> StoreLimits:
        """What the key-value store takes."""
        return self.state.limits

    @property
    def leader(self) -> bool:
        """Whether this controller is the leader, as far as it knows."""
        return self.state.leader

    @property
    def complete(self) -> bool:
        """Whether everything has been rebuilt from the records."""
        return self.state.complete

    @property
    def term(self) -> int:
        """The version of the leadership record that made this controller leader."""
        return self.state.term

    @property
    def leader_since(self) -> float:
        """When the term began, on the steady clock."""
        return self.state.leader_since

    @property
    def verified_at(self) -> float:
        """When the last read that showed the leadership record of this term was sent, on the steady clock."""
        return self.state.verified_at

    def recover(self, recovered: RecoveredState) -> None:
        """Become leader: rebuild everything from the records."""
        self.job_records.recover(recovered)

    def step_down(self) -> None:
        """No longer leader: drop every decision."""
        self.state.step_down()

    def verified(self, as_of: float, term: int) -> None:
        """A read sent at `as_of` showed the leadership record of this term, and all cancellations till then
        are known."""
        self.state.verified(as_of, term)

    def staleness_limit(self) -> float:
        """How old, in seconds, a controller's view may be for it to answer heartbeats."""
        return self.state.staleness_limit()

    # Jobs.

    def reconcile_job(self, record: records.Record, version: int) -> None:
        """A job's record changed in the store."""
        self.job_records.reconcile_job(record, version)

    def on_cancelled(self, cancelled: Mapping[str, float]) -> None:
        """Another controller has confirmed the cancellations of these jobs, at these times of day."""
        self.job_records.on_cancelled(cancelled)

    def team_quota(self, team: str) -> TeamQuota | None:
        """The guarantee and limit of a team, None for an unknown one."""
        return self.state.team_quota(team)

    def workload_facts(self) -> WorkloadFacts:
        """What admission has to know of the accepted work."""
        return workload.gather(self.state)

    # Scheduling rounds and the group commit.

    def round(self) -> None:
        """Place what waits, then preempt for what may preempt."""
        self.scheduling.round()

    def waiting(self) -> list[str]:
        """Log lines: the oldest waiting jobs and why they wait."""
        return self.scheduling.waiting()

    def has_pending_writes(self) -> bool:
        """Whether something waits to be written."""
        return self.commits.has_pending_writes()

    def pending_completion_count(self) -> int:
        """How many jobs wait to be reported done, or closed."""
        return self.commits.pending_completion_count()

    def take_batch(self, ops: int) -> CommitBatch | None:
        """The next transaction, of at most `ops` changes; None if there is none or one is in flight."""
        return self.commits.take_batch(ops)

    def committed(self, batch: CommitBatch) -> None:
        """The batch is durable."""
        self.commits.committed(batch)

    def not_committed(self, batch: CommitBatch) -> None:
        """The batch was refused, conflicting or not answered."""
        self.commits.not_committed(batch)

    # Workers.

    def on_heartbeat(
        self, heartbeat: workers.Heartbeat, after: float = NEVER, relay: str = "", asked: bool = False
    ) -> int | None:
        """Take a heartbeat in; its machine's index, or None if it must not be answered. See
        `HeartbeatHandler.on_heartbeat` for the arguments."""
        return self.heartbeats.on_heartbeat(heartbeat, after, relay, asked)

    def on_answered(self, index: int, heartbeat: workers.Heartbeat, commands: list[workers.Command]) -> None:
        """A heartbeat of the machine was answered with these commands."""
        self.heartbeats.on_answered(index, heartbeat, commands)

    def worker_contact(self, since: float) -> WorkerContact:
        """How many machines sent a heartbeat after `since`, directly and through each relay."""
        return self.heartbeats.worker_contact(since)

    def commands_for(self, index: int, arrival: float) -> PendingCommands:
        """What to answer the machine's heartbeat that came at `arrival`."""
        return self.commands.commands_for(index, arrival)

    def stop_commands_for(self, index: int, cancelled_alone: bool = False) -> DirectCommands | None:
        """The stops to send to the machine directly now, None if there are none."""
        return self.commands.stop_commands_for(index, cancelled_alone)

    def hold_s(self, index: int) -> float:
        """For how many seconds the machine's heartbeat may be held for work to answer it with."""
        return self.commands.hold_s(index)

    # Machines and zones.

    @property
    def types(self) -> list[MachineType]:
        """The machine types known so far."""
        return self.state.types

    def set_types(self, types: list[MachineType]) -> None:
        """Take in the cloud's catalog."""
        self.state.set_types(types)

    def catalog(self) -> list[MachineType]:
        """The types that the cloud has, empty before the first catalog."""
        return self.state.catalog()

    def summary(self) -> list[tuple[str, float, list[str]]]:
        """Name, share of CPUs in use and images of each machine, for the other controllers."""
        return self.state.summary()

    def on_list(self, listed: Iterable[Listed], began: float) -> None:
        """The cloud's list of machines, asked for at `began`."""
        self.autoscaler.on_list(listed, began)

    def scaling_step(self, listening: float) -> ScalingActions:
        """What to launch and delete now. No machine counts as silent before `listening`."""
        return self.autoscaler.scaling_step(listening)

    def overdue(self) -> set[str]:
        """Names of machines to delete even where no controller can be verified to be the leader."""
        return self.autoscaler.overdue()

    def overdue_step(self) -> ScalingActions:
        """The deletions of `overdue` machines."""
        return self.autoscaler.overdue_step()

    def on_launched(self, request: LaunchRequest, names: list[str], at: float) -> None:
        """A launch request sent at `at` gave these machines, fewer than asked for or none."""
        self.autoscaler.on_launched(request, names, at)

    def on_launch_failed(self, request: LaunchRequest) -> None:
        """The launch request was not sent after all; the cloud has refused nothing."""
        self.autoscaler.on_launch_failed(request)

    def deleted(self, names: Iterable[str]) -> None:
        """The cloud has confirmed that these machines, and everything on them, are gone."""
        self.autoscaler.deleted(names)

    def not_deleted(self, names: Iterable[str]) -> None:
        """The deletion of these machines was not confirmed: they may be gone or not."""
        self.autoscaler.not_deleted(names)

    def monitor_zones(self, leader: LeadershipFacts, controllers: Mapping[str, str]) -> list[Put]:
        """Take the state of the zones in; the records to write now. `controllers`: by zone, a description of
        the controllers there that are in reach."""
        with self.state.lock:
            self.zone_monitor.update(leader, controllers)
            return self.zone_monitor.puts()

    def zones_not_written(self, puts: list[Put]) -> None:
        """These records of zones were refused, or their transaction was not answered."""
        with self.state.lock:
            self.zone_monitor.not_written(puts)
