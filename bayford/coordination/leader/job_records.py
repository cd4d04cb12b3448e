"""Applies job records of the key-value store to the leader's state: all of them at a failover, single changed
records afterwards."""

import logging
from collections.abc import Mapping
from typing import Any

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.protocol import message_sizes
from bayford.scheduling.model import SERVICE, Job
from bayford.spread.restarts import UnreadableCountsError
from bayford.storage import records
from bayford.storage.task_log import Progress

log = logging.getLogger(__name__)


class JobRecords:
    """Applies job records. The public methods take the lock of the leader's state themselves."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def recover(self, recovered: RecoveredState) -> None:
        """Become leader and rebuild the state from the records. No task is placed before this is complete."""
        state = self._state
        with state.lock:
            state.begin_term(recovered)
            for job in recovered.jobs:
                self._load_job(job.record, job.version, state.leader_since, job.progress)
            self._load_migration_counts(recovered.migration_counts)
            state.events.on_leadership_acquired()
            state.recovered_predecessor = bool(state.jobs or state.summarized_images)
            state.complete = True
            log.info(
                "leader elected: member=%s fencing_token=%d term=%d open_jobs=%d machines=%d",
                state.settings.member,
                state.fencing_token,
                state.term,
                len(state.jobs),
                len(state.machines),
            )

    def reconcile_job(self, record: records.Record, version: int) -> None:
        """Apply a job's changed record, which has this version in the key-value store."""
        state = self._state
        with state.lock:
            if not state.leader or not state.complete:
                return
            spec = record.spec
            job = state.jobs.get(spec.id)
            if job is None:
                if not record.is_final and self._load_job(record, version, state.clock()) is not None:
                    state.record_accepted_job(spec)
                    log.info("job accepted: job=%s tasks=%d", spec.id, spec.tasks)
                return
            if version <= job.version:
                return
            job.version = version
            if record.finished:
                # A write of this leader whose answer was lost. The task log rows in the same transaction
                # closed the job as well.
                state.drop_job(spec.id)
            elif record.cancelled and not job.cancelled:
                self._cancel(job, record.cancelled)

    def on_cancelled(self, cancelled: Mapping[str, float]) -> None:
        """Apply cancellations that another controller has confirmed, given as the time of day by job id.

        May be called while the key-value store is unreachable from this controller.

        A cancellation is final, so stopping the job is correct even on an outdated view. A job that is still
        unknown to this controller starts only after a read that returns its cancellation too.
        """
        state = self._state
        with state.lock:
            if not state.leader or not state.complete:
                return
            for job_id, cancelled_wall in cancelled.items():
                job = state.jobs.get(job_id)
                if job is not None and not job.cancelled:
                    self._cancel(job, cancelled_wall)

    def _cancel(self, job: Job, cancelled_wall: float) -> None:
        state = self._state
        self._mark_cancelled(job, cancelled_wall, state.clock(), state.wall())
        job.waiting.clear()
        job.backing_off.clear()
        log.info("job cancelled: job=%s tasks_to_stop=%d", job.spec.id, len(job.open))
        for placement in job.open.values():
            state.stop(placement, 0.0)
        state.queue_completion(job)

    @staticmethod
    def _mark_cancelled(job: Job, cancelled_wall: float, now: float, wall: float) -> None:
        job.cancelled = True
        job.cancel_learned_at = now
        job.cancelled_at = now - max(0.0, wall - cancelled_wall)

    def _load_job(
        self, record: records.Record, version: int, now: float, progress: Progress | None = None
    ) -> Job | None:
        """Add a job to the state, with its progress from the task log.

        Returns None, without adding it, if the job has ended and has no open placement, or if its team is
        unknown.
        """
        state, spec = self._state, record.spec
        if record.is_final and (progress is None or not progress.open):
            return None
        team = state.team_names.find(spec.team)
        if team is None:  # removed from the settings: its tasks run on without a quota
            log.error("job not loaded, its team is not in the settings: job=%s team=%s", spec.id, spec.team)
            return None
        wall = state.wall()
        job = self._make_job(record, version, team, now - (wall - record.created))
        if progress is not None:
            job.done = set(progress.done)
        if job.done or (progress is not None and progress.open):
            job.placed_at = now
        if record.cancelled:
            self._mark_cancelled(job, record.cancelled, now, wall)
        state.jobs[spec.id] = job
        if spec.shape != SERVICE:
            state.objectives.service_classes.discard(spec.job_class)
        if progress is not None:
            self._load_placements(job, progress, now)
        if not job.cancelled:
            job.waiting = [
                task
                for task in range(spec.tasks - 1, -1, -1)
                if task not in job.done and task not in job.open
            ]
        state.queue_completion(job)
        return job

    def _make_job(self, record: records.Record, version: int, team: int, created: float) -> Job:
        state, spec = self._state, record.spec
        return Job(
            spec,
            team=team,
            image=state.images.index(spec.image),
            job_class=state.classes.index(spec.job_class),
            zone=None if spec.zone is None else state.zones.index(spec.zone),
            types=None if spec.types is None else frozenset(state.type_names.index(t) for t in spec.types),
            created=created,
            created_wall=record.created,
            version=version,
            report_bytes=message_sizes.longest_report_entry_bytes(spec.id, spec.tasks),
        )

    def _load_placements(self, job: Job, progress: Progress, now: float) -> None:
        state = self._state
        for task, (attempt, machine_name, epoch) in progress.open.items():
            machine = state.get_or_add_machine(machine_name, now)
            placement = state.make_placement(job, task, attempt, machine, epoch)
            placement.durable = True
            state.open_placement(job, machine, placement)
            if job.cancelled:  # the cancellation still applies under the new leader
                state.stop(placement, 0.0)

    def _load_migration_counts(self, migration_counts: Mapping[str, Any]) -> None:
        state = self._state
        for job_id, value in migration_counts.items():
            if job_id not in state.jobs:
                state.obsolete_counts[job_id] = None
                continue
            try:
                state.restarts.load(job_id, value)
            except UnreadableCountsError as error:
                log.error("restart counts unreadable, job is not migrated: job=%s error=%s", job_id, error)
