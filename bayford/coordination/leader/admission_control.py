"""The leader's part of admission: what it knows of the load, and the level that it publishes.

The decisions are those of `admission.control`. Called by one thread, but for the counts of accepted jobs.
"""

import logging
import secrets
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bayford.admission.allotment import Floors
from bayford.admission.control import AdmissionTimes, LevelControl, Load
from bayford.admission.distinct import DistinctDemand, Sample
from bayford.admission.level import KEY_BYTES, Flow, Level, encode
from bayford.admission.load import AcceptanceCapacity, Rates
from bayford.config import Team
from bayford.coordination.api.admission_gate import LevelView
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import mesh
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import Put

log = logging.getLogger("bayford.admission")


@dataclass(frozen=True, slots=True)
class WorkloadFacts:
    """What the leader's state says of the accepted work."""

    over_guarantee: frozenset[str]  # teams whose open work exceeds their guaranteed CPUs
    backlog_s: Mapping[int, float]  # by priority, with those above; empty while the fleet can grow


@dataclass(frozen=True, slots=True)
class TaskLogFacts:
    """How the task log fares beside the acceptances."""

    refused: int  # transactions refused since the start
    lag_s: float  # how far it is behind


class AdmissionControl:
    """Levels of this controller's terms as leader."""

    def __init__(self, policy: Policy, teams: list[Team], limits: StoreLimits) -> None:
        self._limits = limits
        self._share = policy.admission_accept_share
        self._times = AdmissionTimes(
            policy.admission_interval_s,
            policy.admission_window_s,
            policy.admission_turn_s,
            policy.admission_enter,
            policy.admission_leave,
            policy.admission_clear_s,
            policy.admission_backlog_s,
            Floors(policy.admission_floor, policy.admission_floors),
        )
        self._weights = _weights(teams)
        self._lock = threading.Lock()
        self._control = LevelControl(self._times)
        self._term = -1
        self._begin(0.0)

    def _begin(self, now: float) -> None:
        self._control.begin(now)
        self._capacity = AcceptanceCapacity(self._share * self._limits.write_rps, self._limits.write_rps)
        self._demand = DistinctDemand(self._times.window_s)
        self._accepted: Rates[Flow] = Rates(self._times.window_s)
        self._task_log_refused: int | None = None
        self._updated = now

    def note_accepted(self, flow: Flow, now: float) -> None:
        """A job has become known to the leader."""
        with self._lock:
            self._accepted.note(flow, now)

    def note_submitted(self, controller: str, sample: Sample, now: float) -> None:
        """What a controller says of the jobs submitted there."""
        with self._lock:
            self._demand.merge(controller, sample, now)

    def step(
        self,
        term: int,
        view: LevelView,
        work: Callable[[], WorkloadFacts],
        task_log: TaskLogFacts,
        now: float,
        wall: float,
    ) -> Put | None:
        """The level to write now, if any, under the term and the version of the level in `view`.

        `work` takes the lock of the leader's state, under which accepted jobs are noted here: it is called
        before our own lock is taken, or two threads could wait for each other.
        """
        if view.lacking or (term == self._term and not self._control.is_due(now)):
            return None
        facts = work()
        with self._lock:
            if term != self._term:
                self._term = term
                self._begin(now)
            self._update_capacity(view.level is not None and not view.level.is_open, task_log, now)
            load = self._load(facts, now)
            level = self._control.next_level(view.level, load, now, wall, secrets.token_hex(KEY_BYTES))
        if level is None:
            return None
        self._log_change(view.level, level, load)
        return Put(records.ADMISSION, encode(level, self._limits.value_bytes))

    def task_log_rps(self, view: LevelView) -> float | None:
        """Changes a second that the task log has to keep to under this level, None for what it always has."""
        level = view.in_force
        if level is None or not level.accept_rps:
            return None
        with self._lock:
            return self._capacity.task_log_rps()

    def not_written(self) -> None:
        """The last level was refused, or nobody knows: the next one need not wait for its time."""
        with self._lock:
            self._control.not_published()

    def _update_capacity(self, refusing: bool, task_log: TaskLogFacts, now: float) -> None:
        if now - self._updated < self._times.interval_s:
            return
        self._updated = now
        refused = 0 if self._task_log_refused is None else task_log.refused - self._task_log_refused
        self._task_log_refused = task_log.refused
        self._capacity.update(refusing, refused, task_log.lag_s)

    def _load(self, work: WorkloadFacts, now: float) -> Load:
        # Acceptances are no demand: after a flood those who still repeat are accepted.
        demand, accepted = self._demand.rates(now), self._accepted.rates(now)
        capacity = self._capacity.per_s
        guarantees = {team: self._capacity.kept_up * weight for team, weight in self._weights.items()}
        return Load(
            demand,
            accepted,
            capacity,
            self._capacity.kept_up,
            guarantees,
            work.over_guarantee,
            work.backlog_s,
        )

    @staticmethod
    def _log_change(before: Level | None, level: Level, load: Load) -> None:
        if before is None or before.is_open != level.is_open or before.reason != level.reason:
            what = f"refusing for {level.reason}" if not level.is_open else "admitting everything"
            log.info(
                "admission level %d: %s; %.1f new jobs a second, capacity %.1f, %d flows in part",
                level.number,
                what,
                sum(load.demand.values()),
                load.capacity,
                len(level.windows),
            )
        else:
            log.debug(
                "admission level %d: %.1f new jobs a second, %.1f accepted, capacity %.1f; %s",
                level.number,
                sum(load.demand.values()),
                sum(load.accepted.values()),
                load.capacity,
                level.windows,
            )


def encode_sample(sample: Sample) -> mesh.Submitted:
    """A sample as the other controllers are told of it."""
    flows = sorted(set(sample.jobs.values()))
    index = {flow: n for n, flow in enumerate(flows)}
    words = [(flow.priority, flow.job_class, flow.team) for flow in flows]
    return mesh.Submitted(sample.threshold, words, [(key, index[flow]) for key, flow in sample.jobs.items()])


def decode_sample(told: mesh.Submitted) -> Sample:
    """The inverse; jobs of flows that are not told are left out."""
    flows = [Flow(priority, job_class, team) for priority, job_class, team in told.flows]
    jobs = {key: flows[n] for key, n in told.jobs if 0 <= n < len(flows)}
    return Sample(max(1, told.threshold), jobs)


def _weights(teams: list[Team]) -> dict[str, float]:
    """Of each team the part of all guarantees that is its own."""
    cpus = sum(team.cpus for team in teams)
    gpus = sum(team.gpus for team in teams)
    parts = {
        team.name: (team.cpus / cpus if cpus else 0.0) + (team.gpus / gpus if gpus else 0.0) for team in teams
    }
    total = sum(parts.values())
    return {name: part / total if total else 0.0 for name, part in parts.items()}
