"""Publishes the admission level while this controller is the leader. Used only if admission is enabled."""

from collections.abc import Callable

from bayford.admission.facts import TaskLogFacts
from bayford.config import Settings
from bayford.coordination.api.admission_gate import AdmissionGate
from bayford.coordination.leader.admission_control import AdmissionControl, decode_sample, encode_sample
from bayford.coordination.leader.commit_loop import CommitLoop
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.scheduler import Scheduler
from bayford.protocol import mesh
from bayford.scheduling.model import JobSpec
from bayford.storage import records
from bayford.storage.counting_store import CountingStore
from bayford.storage.key_value_store import OutcomeUnknownError, Row, UnavailableError
from bayford.storage.watch_cache import WatchCache

STEP_PERIOD_S = 0.5  # interval at which the leader checks whether a new level is due


def job_classes(settings: Settings, scheduler: Scheduler) -> list[str]:
    """Returns the job classes that admission distinguishes: those with objectives and `extra_classes`."""
    objective_classes = [o.job_class for o in settings.facts.objectives if o.job_class is not None]
    return [*objective_classes, *scheduler.policy.extra_classes]


class AdmissionPublisher(LeaderListener):
    """Owns this controller's admission gate and the admission control for its terms as leader.

    `step` is called by one thread only.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        scheduler: Scheduler,
        is_verified_leader: Callable[[], bool],
        commit_loop: CommitLoop,
        store: CountingStore,
        watch_cache: WatchCache,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        """`store`: the store that the task log is written to. Its refusals indicate its load."""
        self._member = settings.member
        self._scheduler = scheduler
        self._is_verified_leader = is_verified_leader
        self._commit_loop = commit_loop
        self._store = store
        self._watch_cache = watch_cache
        self._clock = clock
        self._wall = wall
        limits = scheduler.limits
        self.gate = AdmissionGate(watch_cache, job_classes(settings, scheduler), limits.write_rps, clock)
        self.control = AdmissionControl(scheduler.policy, settings.facts.teams, limits)

    def on_job_accepted(self, spec: JobSpec) -> None:
        """See `LeaderListener`."""
        self.control.note_accepted(self.gate.flow(spec), self._clock())

    def on_peer_status(self, status: mesh.Status) -> None:
        """Adds the sample of submitted jobs that another controller has sent, if any."""
        if status.submitted is not None:
            self.control.note_submitted(status.member, decode_sample(status.submitted), self._clock())

    def submitted(self) -> mesh.Submitted:
        """Returns a sample of the jobs submitted to this controller, for the other controllers."""
        return encode_sample(self.gate.submission_sample())

    def step(self) -> float:
        """Publishes a level if one is due and returns the seconds to wait until the next call."""
        self.publish_once()
        return STEP_PERIOD_S

    def publish_once(self) -> None:
        """Publishes the next admission level if the load requires one, and only as the verified leader."""
        if not self._scheduler.leader or not self._is_verified_leader():
            return
        now = self._clock()
        self.control.note_submitted(self._member, self.gate.submission_sample(), now)
        term, view = self._scheduler.term, self.gate.view()
        task_log_rps = self._commit_loop.rate_rps
        lag_s = self._scheduler.pending_completion_count() / task_log_rps
        facts = TaskLogFacts(self._store.counts().refused, lag_s)
        self._commit_loop.writes.rate = self.control.task_log_rps(view) or task_log_rps
        put = self.control.step(term, view, self._scheduler.workload_facts, facts, now, self._wall())
        if put is None:
            return
        self._commit_loop.writes.take(1)
        try:
            # The write requires the present term and the version of the level that it replaces, so a delayed
            # duplicate of this write, or of an earlier one, fails.
            conditions = {records.LEADERSHIP: term, put.key: view.version}
            outcome = self._store.compare_and_swap(conditions, [put])
        except (UnavailableError, OutcomeUnknownError):
            self.control.on_write_failed()
            raise
        if outcome.applied:
            self._watch_cache.apply([Row(put.key, put.value, outcome.revision)])
