"""The owner's engine: all decisions over its jobs and machines, in memory, without I/O.

Everything runs under one short lock, that of `owner_state`. Threads in `controller` carry the results out:
the group commit writes what `take_batch` hands over, the cloud threads do what `fleet_step` asks, and answers
to reports carry what `orders_for` lists. The safety argument is in docs/architecture.md; the rules that it
rests on are stated where the code keeps them.

The engine is put together of parts, each given the owner's state: `group_commit` (what is written),
`worker_reports`, `scheduling_round` (placement, preemption, the balancer), `autoscaler` (machines) and
`zone_watch`. No part calls another, but for the autoscaler, which is given the order of service.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

from bayford.config import Settings
from bayford.coordination.leader import workload
from bayford.coordination.leader.admission_control import WorkFacts
from bayford.coordination.leader.autoscaler import Autoscaler
from bayford.coordination.leader.group_commit import GroupCommit
from bayford.coordination.leader.heartbeat_handler import WorkerReports
from bayford.coordination.leader.leader_state import OwnerState
from bayford.coordination.leader.scheduling_round import SchedulingRound
from bayford.coordination.leader.zone_monitor import ZoneWatch
from bayford.coordination.store_limits import Limits
from bayford.recovery.zone_health import OwnerFacts
from bayford.scheduling.model import JobSpec, MachineType
from bayford.scheduling.policy import Policy
from bayford.storage.key_value_store import Put
from bayford.storage.task_log import Ledger


class Engine:
    """All jobs and machines of this controller while it owns them."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.state = OwnerState(settings, policy, clock, wall, rng)
        self.commits = GroupCommit(self.state)
        self.reports = WorkerReports(self.state)
        self.scheduling = SchedulingRound(self.state)
        self.autoscaler = Autoscaler(self.state, self.scheduling)
        self.zone_watch = ZoneWatch(self.state)
        # What the controller calls, part by part.
        self.adopt = self.state.adopt
        self.depose = self.state.depose
        self.verified = self.state.verified
        self.on_row = self.state.on_row
        self.note_cancelled = self.state.note_cancelled
        self.staleness_limit = self.state.staleness_limit
        self.summary = self.state.summary
        self.set_types = self.state.set_types
        self.catalog = self.state.catalog
        self.team_share = self.state.team_share
        self.has_news = self.commits.has_news
        self.endings = self.commits.endings
        self.take_batch = self.commits.take_batch
        self.committed = self.commits.committed
        self.not_committed = self.commits.not_committed
        self.on_report = self.reports.on_report
        self.worker_contact = self.reports.worker_contact
        self.answered = self.reports.answered
        self.orders_for = self.reports.orders_for
        self.halts_for = self.reports.halts_for
        self.hold_s = self.reports.hold_s
        self.round = self.scheduling.round
        self.waiting = self.scheduling.waiting
        self.on_list = self.autoscaler.on_list
        self.fleet_step = self.autoscaler.fleet_step
        self.overdue_step = self.autoscaler.overdue_step
        self.overdue = self.autoscaler.overdue
        self.rented = self.autoscaler.rented
        self.not_rented = self.autoscaler.not_rented
        self.deleted = self.autoscaler.deleted
        self.not_deleted = self.autoscaler.not_deleted

    def connect(
        self,
        with_ledger: Callable[[Callable[[Ledger], Any]], Any],
        on_ready: Callable[[int], None],
        on_halt: Callable[[int], None],
        on_gone: Callable[[int], None],
        on_accepted: Callable[[JobSpec], None],
    ) -> None:
        """Whom to call: for something short on the mirror's ledger, and under the lock when a machine has
        orders, has tasks to stop or is gone, and when a job was accepted."""
        self.state.with_ledger = with_ledger
        self.state.on_ready = on_ready
        self.state.on_halt = on_halt
        self.state.on_gone = on_gone
        self.state.on_accepted = on_accepted

    @property
    def policy(self) -> Policy:
        """The operators' settings."""
        return self.state.policy

    @property
    def limits(self) -> Limits:
        """What the state service takes."""
        return self.state.limits

    @property
    def owner(self) -> bool:
        """Whether this controller is the owner, as far as it knows."""
        return self.state.owner

    @property
    def complete(self) -> bool:
        """Whether everything has been rebuilt from the records."""
        return self.state.complete

    @property
    def term(self) -> int:
        """The stamp of the map that made this controller owner."""
        return self.state.term

    @property
    def owner_since(self) -> float:
        """When the term began, on the steady clock."""
        return self.state.owner_since

    @property
    def verified_at(self) -> float:
        """The sending of the last read that showed the map of this term."""
        return self.state.verified_at

    @property
    def types(self) -> list[MachineType]:
        """The machine types known so far."""
        return self.state.types

    def work_facts(self) -> WorkFacts:
        """What admission has to know of the accepted work."""
        return workload.gather(self.state)

    def watch_zones(self, owner: OwnerFacts, controllers: Mapping[str, str]) -> list[Put]:
        """Take the state of the zones in; the records to write now. `controllers`: who of each zone is in
        reach, in words."""
        with self.state.lock:
            self.zone_watch.look(owner, controllers)
            return self.zone_watch.puts()

    def zones_not_written(self, puts: list[Put]) -> None:
        """Records of zones that were refused, or of which nobody knows."""
        with self.state.lock:
            self.zone_watch.not_written(puts)
