"""The leader's engine: all decisions over its jobs and machines, in memory, without I/O.

Everything runs under one short lock, that of `owner_state`. Threads in `controller` carry the results out:
the group commit writes what `take_batch` hands over, the cloud threads do what `scaling_step` asks, and
answers to heartbeats carry what `commands_for` lists. The safety argument is in docs/architecture.md; the
rules that it rests on are stated where the code keeps them.

the scheduler is put together of parts, each given the leader's state: `group_commit` (what is written),
`worker_reports`, `scheduling_round` (placement, preemption, the balancer), `autoscaler` (machines) and
`zone_monitor`. No part calls another, but for the autoscaler, which is given the order of service.
"""

import random
from collections.abc import Callable, Mapping

from bayford.config import Settings
from bayford.coordination.leader import workload
from bayford.coordination.leader.admission_control import WorkloadFacts
from bayford.coordination.leader.autoscaler import Autoscaler
from bayford.coordination.leader.group_commit import GroupCommit
from bayford.coordination.leader.heartbeat_handler import HeartbeatHandler
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.leader_state import LeaderState, TaskLogSource
from bayford.coordination.leader.scheduling_round import SchedulingRound
from bayford.coordination.leader.zone_monitor import ZoneMonitor
from bayford.coordination.store_limits import StoreLimits
from bayford.recovery.zone_health import LeadershipFacts
from bayford.scheduling.model import MachineType
from bayford.scheduling.policy import Policy
from bayford.storage.key_value_store import Put


class Scheduler:
    """All jobs and machines of this controller while it owns them."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.state = LeaderState(settings, policy, clock, wall, rng)
        self.commits = GroupCommit(self.state)
        self.heartbeats = HeartbeatHandler(self.state)
        self.scheduling = SchedulingRound(self.state)
        self.autoscaler = Autoscaler(self.state, self.scheduling)
        self.zone_monitor = ZoneMonitor(self.state)
        # What the controller calls, part by part.
        self.recover = self.state.recover
        self.step_down = self.state.step_down
        self.verified = self.state.verified
        self.reconcile_job = self.state.reconcile_job
        self.on_cancelled = self.state.on_cancelled
        self.staleness_limit = self.state.staleness_limit
        self.summary = self.state.summary
        self.set_types = self.state.set_types
        self.catalog = self.state.catalog
        self.team_quota = self.state.team_quota
        self.has_pending_writes = self.commits.has_pending_writes
        self.pending_completion_count = self.commits.pending_completion_count
        self.take_batch = self.commits.take_batch
        self.committed = self.commits.committed
        self.not_committed = self.commits.not_committed
        self.on_heartbeat = self.heartbeats.on_heartbeat
        self.worker_contact = self.heartbeats.worker_contact
        self.on_answered = self.heartbeats.on_answered
        self.commands_for = self.heartbeats.commands_for
        self.stop_commands_for = self.heartbeats.stop_commands_for
        self.hold_s = self.heartbeats.hold_s
        self.round = self.scheduling.round
        self.waiting = self.scheduling.waiting
        self.on_list = self.autoscaler.on_list
        self.scaling_step = self.autoscaler.scaling_step
        self.overdue_step = self.autoscaler.overdue_step
        self.overdue = self.autoscaler.overdue
        self.on_launched = self.autoscaler.on_launched
        self.on_launch_failed = self.autoscaler.on_launch_failed
        self.deleted = self.autoscaler.deleted
        self.not_deleted = self.autoscaler.not_deleted

    def connect(self, task_log: TaskLogSource, listener: LeaderListener) -> None:
        """Give the scheduler its task log, and subscribe a listener to its events. Called once, before any
        thread starts."""
        self.state.task_log = task_log
        self.state.events.subscribe(listener)

    @property
    def policy(self) -> Policy:
        """The operators' settings."""
        return self.state.policy

    @property
    def limits(self) -> StoreLimits:
        """What the state service takes."""
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
        """The sending of the last read that showed the leadership record of this term."""
        return self.state.verified_at

    @property
    def types(self) -> list[MachineType]:
        """The machine types known so far."""
        return self.state.types

    def workload_facts(self) -> WorkloadFacts:
        """What admission has to know of the accepted work."""
        return workload.gather(self.state)

    def monitor_zones(self, leader: LeadershipFacts, controllers: Mapping[str, str]) -> list[Put]:
        """Take the state of the zones in; the records to write now. `controllers`: who of each zone is in
        reach, in words."""
        with self.state.lock:
            self.zone_monitor.update(leader, controllers)
            return self.zone_monitor.puts()

    def zones_not_written(self, puts: list[Put]) -> None:
        """Records of zones that were refused, or of which nobody knows."""
        with self.state.lock:
            self.zone_monitor.not_written(puts)
