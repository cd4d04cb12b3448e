"""The scheduler of one controller: all decisions about its jobs and machines, in memory, without I/O.

`Scheduler` is a facade over components that share one `LeaderState` and its lock, which is held only briefly:
`job_records` (jobs as recorded in the key-value store), `heartbeats` and `commands` (worker requests and the
responses to them), `scheduling` (placement, preemption, the balancer), `commits` (batches of writes),
`autoscaler` (machines) and `zone_monitor`. The components do not call each other, except that the autoscaler
reads the scheduling queue's order of service.

Threads of `controller` execute the decisions: the group commit writes the batches that `take_batch` returns,
the cloud threads perform the actions that `scaling_step` returns, and heartbeat responses carry the commands
that `commands_for` returns. The safety argument is in docs/safety-argument.md; the rules that it relies on
are documented at the code that enforces them. Every method may be called from any thread, without the lock.
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
from bayford.protocol.cloud_api import ListedMachine
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
        """`clock` returns steady-clock time and `wall` the time of day, both in seconds."""
        self.state = LeaderState(settings, policy, clock, wall, rng)
        self.job_records = JobRecords(self.state)
        self.heartbeats = HeartbeatHandler(self.state)
        self.commands = WorkerCommands(self.state)
        self.scheduling = SchedulingRound(self.state)
        self.commits = GroupCommit(self.state)
        self.autoscaler = Autoscaler(self.state, self.scheduling)
        self.zone_monitor = ZoneMonitor(self.state)

    def connect(self, task_log: TaskLogSource, *listeners: LeaderListener) -> None:
        """Set the task log and subscribe listeners to the scheduler's events. Must be called once, before any
        thread starts."""
        self.state.task_log = task_log
        for listener in listeners:
            self.state.events.subscribe(listener)

    # Leadership term.

    @property
    def policy(self) -> Policy:
        """The operators' settings."""
        return self.state.policy

    @property
    def limits(self) -> StoreLimits:
        """The size and rate limits of the key-value store."""
        return self.state.limits

    @property
    def leader(self) -> bool:
        """Whether this controller considers itself the leader; another may have replaced it since."""
        return self.state.leader

    @property
    def complete(self) -> bool:
        """Whether the state has been fully rebuilt from the records in the key-value store."""
        return self.state.complete

    @property
    def term(self) -> int:
        """The version of the leadership record that made this controller leader."""
        return self.state.term

    @property
    def leader_since(self) -> float:
        """Start of the leadership term, in steady-clock seconds."""
        return self.state.leader_since

    @property
    def verified_at(self) -> float:
        """When the latest read that returned the leadership record of this term was sent, in steady-clock
        seconds."""
        return self.state.verified_at

    def recover(self, recovered: RecoveredState) -> None:
        """Become leader and rebuild the state from the recovered records."""
        self.job_records.recover(recovered)

    def step_down(self) -> None:
        """Stop being leader and discard all scheduling state."""
        self.state.step_down()

    def record_verification(self, as_of: float, term: int) -> None:
        """Record that a read sent at `as_of` (steady clock) returned the leadership record of `term`, and
        that all cancellations up to then have been applied."""
        self.state.record_verification(as_of, term)

    def staleness_limit(self) -> float:
        """Return the maximum age, in seconds, of the view from which a controller may answer heartbeats."""
        return self.state.staleness_limit()

    # Jobs.

    def reconcile_job(self, record: records.Record, version: int) -> None:
        """Apply a changed job record from the key-value store."""
        self.job_records.reconcile_job(record, version)

    def on_cancelled(self, cancelled: Mapping[str, float]) -> None:
        """Apply job cancellations that another controller confirmed. `cancelled`: job id -> time of day,
        seconds."""
        self.job_records.on_cancelled(cancelled)

    def team_quota(self, team: str) -> TeamQuota | None:
        """Return the guarantee and limit of a team, or None if the team is unknown."""
        return self.state.team_quota(team)

    def workload_facts(self) -> WorkloadFacts:
        """Return the facts about accepted work that admission control uses."""
        return workload.gather(self.state)

    # Scheduling rounds and the group commit.

    def round(self) -> None:
        """Run one scheduling round: place waiting tasks, then preempt for work that is allowed to preempt."""
        self.scheduling.round()

    def waiting_report(self) -> list[str]:
        """Return log lines that list the longest-waiting jobs and the reason why each one waits."""
        return self.scheduling.waiting_report()

    def has_pending_writes(self) -> bool:
        """Return whether any change has not yet been put into a batch."""
        return self.commits.has_pending_writes()

    def pending_completion_count(self) -> int:
        """Return the number of jobs whose completion or closing has not yet been put into a batch."""
        return self.commits.pending_completion_count()

    def take_batch(self, ops: int) -> CommitBatch | None:
        """Return the next transaction, of at most `ops` changes; None if there is nothing to write or a
        transaction is in flight."""
        return self.commits.take_batch(ops)

    def on_committed(self, batch: CommitBatch) -> None:
        """Handle a batch that is durable."""
        self.commits.on_committed(batch)

    def on_not_committed(self, batch: CommitBatch) -> None:
        """Handle a batch that was refused, conflicted or got no response."""
        self.commits.on_not_committed(batch)

    # Workers.

    def on_heartbeat(
        self,
        heartbeat: workers.Heartbeat,
        sent_after: float = NEVER,
        relay: str = "",
        is_command_response: bool = False,
    ) -> int | None:
        """Process a heartbeat; return its machine's index, or None if it must not be answered. See
        `HeartbeatHandler.on_heartbeat` for the arguments."""
        return self.heartbeats.on_heartbeat(heartbeat, sent_after, relay, is_command_response)

    def on_answered(self, index: int, heartbeat: workers.Heartbeat, commands: list[workers.Command]) -> None:
        """Handle the response to a heartbeat of the machine having been sent with these commands."""
        self.heartbeats.on_answered(index, heartbeat, commands)

    def worker_contact(self, since: float) -> WorkerContact:
        """Return the number of machines that sent a heartbeat after `since`, directly and through each
        relay."""
        return self.heartbeats.worker_contact(since)

    def commands_for(self, index: int, arrival: float, with_starts: bool = True) -> PendingCommands:
        """Return the commands for the response to the machine's heartbeat that arrived at `arrival`."""
        return self.commands.commands_for(index, arrival, with_starts)

    def take_stop_commands(self, index: int, cancelled_alone: bool = False) -> DirectCommands | None:
        """Return the next stop commands to send directly to the machine, or None if there are none."""
        return self.commands.take_stop_commands(index, cancelled_alone)

    def hold_s(self, index: int) -> float:
        """Return how many seconds the response to the machine's heartbeat may be delayed until there are
        commands to send in it."""
        return self.commands.hold_s(index)

    # Machines and zones.

    @property
    def types(self) -> list[MachineType]:
        """The machine types; empty until the first catalog has been read."""
        return self.state.types

    def set_types(self, types: list[MachineType]) -> None:
        """Set the machine types from the cloud's catalog."""
        self.state.set_types(types)

    def catalog(self) -> list[MachineType]:
        """Return the cloud's machine types, empty until the first catalog has been read."""
        return self.state.catalog()

    def summary(self) -> list[tuple[str, float, list[str]]]:
        """Return the name, share of CPUs in use and images of each machine, for the other controllers."""
        return self.state.summary()

    def on_list(self, listed: Iterable[ListedMachine], began: float) -> None:
        """Process the cloud's list of machines. `began`: when the list was requested."""
        self.autoscaler.on_list(listed, began)

    def scaling_step(self, listening_since: float) -> ScalingActions:
        """Return the machines to launch and delete now. No machine is treated as unresponsive before
        `listening_since` (steady clock)."""
        return self.autoscaler.scaling_step(listening_since)

    def overdue_machines(self) -> set[str]:
        """Return the names of machines to delete even if no controller can be verified as the leader."""
        return self.autoscaler.overdue_machines()

    def request_overdue_deletions(self) -> ScalingActions:
        """Return the deletions of the machines in `overdue_machines`."""
        return self.autoscaler.request_overdue_deletions()

    def on_launched(self, request: LaunchRequest, names: list[str], at: float) -> None:
        """Handle the result of a launch request sent at `at`: the names of the new machines, which may be
        fewer than requested, or none."""
        self.autoscaler.on_launched(request, names, at)

    def on_launch_failed(self, request: LaunchRequest) -> None:
        """Handle a launch request that was never sent, so that it does not count as refused by the cloud."""
        self.autoscaler.on_launch_failed(request)

    def on_deletion_confirmed(self, names: Iterable[str]) -> None:
        """Handle the cloud's confirmation that these machines, and all tasks on them, no longer exist."""
        self.autoscaler.on_deletion_confirmed(names)

    def on_deletion_unconfirmed(self, names: Iterable[str]) -> None:
        """Handle unconfirmed deletions: these machines may or may not still exist."""
        self.autoscaler.on_deletion_unconfirmed(names)

    def monitor_zones(self, leader: LeadershipFacts, controllers: Mapping[str, str]) -> list[Put]:
        """Update the states of the zones and return the zone records to write now. `controllers`: by zone, a
        description of its reachable controllers."""
        with self.state.lock:
            self.zone_monitor.update(leader, controllers)
            return self.zone_monitor.take_due_records()

    def on_zones_not_written(self, puts: list[Put]) -> None:
        """Handle zone records whose transaction was refused or got no response."""
        with self.state.lock:
            self.zone_monitor.mark_unwritten(puts)
