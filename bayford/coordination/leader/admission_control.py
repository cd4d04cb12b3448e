"""The leader's part of admission: measures the load and determines the admission level to publish.

The decision logic is in `admission.control`. This module is imported only if admission is enabled.
"""

import logging
import secrets
import threading
from collections.abc import Callable

from bayford.admission.allotment import Floors
from bayford.admission.control import AdmissionTimes, LevelControl, Load
from bayford.admission.distinct import DistinctDemand, Sample
from bayford.admission.facts import TaskLogFacts, WorkloadFacts
from bayford.admission.level import KEY_BYTES, Flow, Level, encode
from bayford.admission.load import AcceptanceCapacity, Rates
from bayford.config import Team
from bayford.coordination.api.admission_gate import LevelView
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import mesh
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import Put

log = logging.getLogger(__name__)


class AdmissionControl:
    """Determines the admission levels during this controller's terms as leader.

    `note_accepted` may be called by any thread, also under the lock of the leader's state. All other methods
    are called only by the admission thread, without that lock.
    """

    def __init__(self, policy: Policy, teams: list[Team], limits: StoreLimits) -> None:
        """`limits`: limits of the state service. They may change, so they are read at each use."""
        self._limits = limits
        self._accept_share = policy.admission_accept_share
        self._times = AdmissionTimes(
            interval_s=policy.admission_interval_s,
            window_s=policy.admission_window_s,
            turn_s=policy.admission_turn_s,
            enter=policy.admission_enter,
            leave=policy.admission_leave,
            clear_s=policy.admission_clear_s,
            backlog_s=policy.admission_backlog_s,
            floors=Floors(policy.admission_floor, policy.admission_floors),
        )
        self._guarantee_shares = _guarantee_shares(teams)
        self._lock = threading.Lock()  # guards the attributes that `_start_term` resets, and the term
        self._level_control = LevelControl(self._times)
        self._term = -1
        self._start_term(0.0)

    def _start_term(self, now: float) -> None:
        """Starts a term and discards all measurements of earlier terms."""
        self._level_control.begin_term(now)
        self._capacity = AcceptanceCapacity(
            self._accept_share * self._limits.write_rps, self._limits.write_rps
        )
        self._demand = DistinctDemand(self._times.window_s)
        self._accepted: Rates[Flow] = Rates(self._times.window_s)
        self._task_log_refused: int | None = None  # count at the last update of the capacity
        self._capacity_updated_at = now

    def note_accepted(self, flow: Flow, now: float) -> None:
        """Counts a job that the leader has received as accepted.

        May be called by any thread, also under the lock of the leader's state.
        """
        with self._lock:
            self._accepted.add(flow, now)

    def note_submitted(self, controller: str, sample: Sample, now: float) -> None:
        """Adds a controller's sample of the jobs submitted to it."""
        with self._lock:
            self._demand.merge(controller, sample, now)

    def step(
        self,
        term: int,
        view: LevelView,
        get_workload: Callable[[], WorkloadFacts],
        task_log: TaskLogFacts,
        now: float,
        wall: float,
    ) -> Put | None:
        """Returns the admission level to write now, or None.

        The write must be conditional on the term and on the version in `view`. `now` is a time of the steady
        clock, `wall` the time of day. `get_workload` acquires the lock of the leader's state, and
        `note_accepted` may be called under that lock. So `get_workload` is called without holding the lock of
        this object; otherwise two threads could deadlock.
        """
        if view.lacking or (term == self._term and not self._level_control.is_due(now)):
            return None
        workload = get_workload()
        with self._lock:
            if term != self._term:
                self._term = term
                self._start_term(now)
                if not self._level_control.is_due(now):
                    return None
            self._update_capacity(view.level is not None and not view.level.is_open, task_log, now)
            load = self._measure_load(workload, now)
            level = self._level_control.next_level(view.level, load, now, wall, secrets.token_hex(KEY_BYTES))
        if level is None:
            return None
        self._log_change(view.level, level, load)
        return Put(records.ADMISSION, encode(level, self._limits.value_bytes))

    def task_log_rps(self, view: LevelView) -> float | None:
        """Returns the changes per second that this level leaves to the task log, None if it sets no limit."""
        level = view.in_force
        if level is None or not level.accept_rps:
            return None
        with self._lock:
            return self._capacity.task_log_rps()

    def on_write_failed(self) -> None:
        """Makes the next level due at once, after a write that failed or whose outcome is unknown."""
        with self._lock:
            self._level_control.mark_not_published()

    def _update_capacity(self, refusing: bool, task_log: TaskLogFacts, now: float) -> None:
        if now - self._capacity_updated_at < self._times.interval_s:
            return
        self._capacity_updated_at = now
        refused = 0 if self._task_log_refused is None else task_log.refused - self._task_log_refused
        self._task_log_refused = task_log.refused
        self._capacity.update(refusing, refused, task_log.lag_s)

    def _measure_load(self, workload: WorkloadFacts, now: float) -> Load:
        sustainable_rps = self._capacity.sustainable_rps
        return Load(
            # Demand is not measured by acceptances: after an overload these include jobs that were first
            # submitted long before.
            demand=self._demand.rates(now),
            accepted=self._accepted.rates(now),
            capacity=self._capacity.acceptances_per_s,
            sustainable_rps=sustainable_rps,
            guarantees={team: sustainable_rps * share for team, share in self._guarantee_shares.items()},
            over_guarantee=workload.over_guarantee,
            backlog_s=workload.backlog_s,
        )

    @staticmethod
    def _log_change(before: Level | None, level: Level, load: Load) -> None:
        if before is None or before.is_open != level.is_open or before.reason != level.reason:
            log.info(
                "admission level published: number=%d state=%s reason=%s new_jobs_per_s=%.1f "
                "capacity_per_s=%.1f limited_flows=%d",
                level.number,
                "open" if level.is_open else "refusing",
                level.reason or "none",
                sum(load.demand.values()),
                load.capacity,
                len(level.windows),
            )
        else:
            log.debug(
                "admission level published: number=%d new_jobs_per_s=%.1f accepted_per_s=%.1f "
                "capacity_per_s=%.1f windows=%s",
                level.number,
                sum(load.demand.values()),
                sum(load.accepted.values()),
                load.capacity,
                level.windows,
            )


def encode_sample(sample: Sample) -> mesh.Submitted:
    """Returns the form of a sample that is sent to other controllers.

    It lists each flow once; the jobs refer to flows by index.
    """
    flows = sorted(set(sample.jobs.values()))
    index = {flow: n for n, flow in enumerate(flows)}
    rows = [(flow.priority, flow.job_class, flow.team) for flow in flows]
    return mesh.Submitted(sample.threshold, rows, [(key, index[flow]) for key, flow in sample.jobs.items()])


def decode_sample(submitted: mesh.Submitted) -> Sample:
    """Decodes the output of `encode_sample`; omits jobs whose flow index is out of range."""
    flows = [Flow(priority, job_class, team) for priority, job_class, team in submitted.flows]
    jobs = {key: flows[n] for key, n in submitted.jobs if 0 <= n < len(flows)}
    return Sample(max(1, submitted.threshold), jobs)


def _guarantee_shares(teams: list[Team]) -> dict[str, float]:
    """Returns each team's share of all guarantees, 0 to 1. CPUs and GPUs have equal weight."""
    cpus = sum(team.cpus for team in teams)
    gpus = sum(team.gpus for team in teams)
    sums = {
        team.name: (team.cpus / cpus if cpus else 0.0) + (team.gpus / gpus if gpus else 0.0) for team in teams
    }
    total = sum(sums.values())
    return {name: team_sum / total if total else 0.0 for name, team_sum in sums.items()}
