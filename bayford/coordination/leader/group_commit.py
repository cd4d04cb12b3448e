"""The group commit: selects which of the leader's decisions to write next and applies the outcome of each
write."""

import logging

from bayford.coordination.leader.commit_batch import CommitBatch
from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import URGENT, Job
from bayford.storage import records
from bayford.storage.key_value_store import Put
from bayford.storage.row_builder import RowBuilder
from bayford.storage.task_log import TaskLog

log = logging.getLogger(__name__)

# Limit for all rows of one transaction together. The key-value store accepts 64 KiB per transaction; the rest
# is left for job records and migration counts.
MAX_ROWS_BYTES = 48 * 1024


class GroupCommit:
    """Builds the transactions of a leadership term, one at a time. The methods acquire the lock of the
    leader's state unless stated otherwise."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def take_batch(self, ops: int) -> CommitBatch | None:
        """Return the next transaction, or None if there is nothing to write or a transaction is in flight. It
        has rows of the task log with the changed tasks, urgent work first, and the records of completed jobs,
        within `ops` changes and the size limit.

        It has three kinds of conditions. The leadership record must be unchanged, so that a replaced leader
        writes nothing. The slots that the rows use must be unchanged, so that a transaction that timed out
        and arrives late can't be applied in addition to a later one. The job records must be unchanged, so
        that no cancellation is overwritten.
        """
        with self._state.lock:
            if (
                not self._state.leader
                or not self._state.complete
                or not self.has_pending_writes()
                or self._state.in_flight is not None
            ):
                return None
            assert self._state.task_log is not None, "task log not set: Scheduler.connect was not called"
            self._state.in_flight = self._state.task_log.with_task_log(
                lambda task_log: BatchBuilder(self._state, task_log, ops).build()
            )
            return self._state.in_flight

    def on_committed(self, batch: CommitBatch) -> None:
        """Handle a batch that is durable: its placements may start and its jobs may be reported done."""
        with self._state.lock:
            if not self._state.leader or batch.term != self._state.term:
                return  # a batch of an earlier term does not affect the jobs of this term
            self._state.in_flight = None
            machines_to_wake = set()
            for placement in batch.placements:
                if placement.job.open.get(placement.task) is placement:
                    placement.durable = True
                    machines_to_wake.add(placement.machine)
            for job_id in batch.closed_jobs:
                self._state.drop_job(job_id)
            for machine in machines_to_wake:
                self._state.events.on_commands_ready(machine)
            for migrations in batch.migrations.values():
                self._state.events.on_migrations_counted(migrations)

    def on_not_committed(self, batch: CommitBatch) -> None:
        """Handle a batch that was refused, conflicted or got no response: queue its changes to be written
        again.

        A transaction without a response may still be applied. In that case the next transaction conflicts at
        the slot, and after that row has been read the following one is written after it. Its rows repeat
        changes that are already written, which is idempotent. Until one of the transactions is known to have
        been applied, the placements stay open and are not started.
        """
        with self._state.lock:
            if batch.term != self._state.term:
                return
            self._state.in_flight = None
            for job_id, tasks in batch.tasks.items():
                if job_id in self._state.jobs:
                    self._state.dirty.setdefault(job_id, set()).update(tasks)
            for job_id in batch.closed_jobs:
                if job_id in self._state.jobs:
                    self._state.pending_completions[job_id] = None
            for job_id, migrations in batch.migrations.items():
                if job_id in self._state.jobs:
                    self._state.uncounted_migrations.setdefault(job_id, []).extend(migrations)
            self._state.obsolete_counts.update(dict.fromkeys(batch.deleted_counts))

    def has_pending_writes(self) -> bool:
        """Return whether any change has not yet been put into a batch. Does not take the lock; without the
        lock the result is only a hint."""
        return bool(self._state.dirty or self._state.pending_completions or self._state.uncounted_migrations)

    def pending_completion_count(self) -> int:
        """Return the number of jobs whose completion or closing has not yet been put into a batch. Does not
        take the lock."""
        return len(self._state.pending_completions)


class BatchBuilder:
    """Builds one batch from the leader's state and removes the batched changes from the pending ones.

    Used for a single batch. The caller must hold the lock of the leader's state.
    """

    def __init__(self, state: LeaderState, task_log: TaskLog, ops: int) -> None:
        """`ops`: maximum number of changes in the transaction."""
        self._state = state
        self._task_log = task_log
        self._ops = ops
        self._row_bytes = state.limits.value_bytes
        self._tail = task_log.reclaimable_tail()
        self._batch = CommitBatch(state.term, {records.LEADERSHIP: state.term})
        self._rows = [self._new_row(0)]

    def build(self) -> CommitBatch:
        """Build the batch: changed tasks, those of urgent jobs first; then completed and closed jobs; then
        migration counts."""
        state = self._state
        job_ids = [j for j in state.dirty if state.jobs[j].spec.priority >= URGENT]
        job_ids += [j for j in state.dirty if state.jobs[j].spec.priority < URGENT]
        for job_id in job_ids:
            self._add_tasks(job_id)
        self._add_completions()
        self._add_migration_counts()
        self._finish_rows()
        self._remove_from_state()
        return self._batch

    def _new_row(self, offset: int) -> RowBuilder:
        """Return a builder for the row whose number is `offset` after the next row number."""
        task_log = self._task_log
        return RowBuilder(
            task_log, task_log.next + offset, self._tail, self._state.next_attempt, self._row_bytes
        )

    def _ops_left(self) -> int:
        """Return how many more changes fit into the transaction."""
        return self._ops - len(self._rows) - len(self._batch.puts)

    def _add_tasks(self, job_id: str) -> None:
        """Add the changed tasks of a job to the rows, as many as fit."""
        state = self._state
        job = state.jobs[job_id]
        max_rows = max(1, min(self._ops, MAX_ROWS_BYTES // self._row_bytes))
        added = set()
        for task in state.dirty[job_id]:
            placement = job.open.get(task)
            machine = "" if placement is None else state.machine_names[placement.machine]
            if not self._rows[-1].has_space(job_id, machine):
                if len(self._rows) >= max_rows:
                    break
                self._rows.append(self._new_row(len(self._rows)))
            added.add(task)
            row = self._rows[-1]
            if placement is not None:
                row.add_open(job_id, task, placement.attempt, machine, placement.epoch)
                self._batch.placements.append(placement)
            elif task in job.done:
                row.add_done(job_id, task)
            else:
                row.add_closed(job_id, task)
        if added:
            self._batch.tasks[job_id] = added

    def _add_completions(self) -> None:
        """Add the completed and closed jobs whose task changes are all in this batch or already written.
        Urgent jobs come first, because this queue is long when many small jobs complete."""
        state = self._state
        for job_id in sorted(
            state.pending_completions, key=lambda job_id: state.jobs[job_id].spec.priority < URGENT
        ):
            job = state.jobs[job_id]
            if self._ops_left() <= 0 or not self._rows[-1].has_space(job_id):
                break
            if state.dirty.get(job_id, set()) - self._batch.tasks.get(job_id, set()):
                continue  # some of its task changes did not fit; the job is closed in a later batch
            if not job.cancelled and not self._add_final_record(job_id, job):
                del state.pending_completions[job_id]
                continue
            self._rows[-1].add_ended_job(job_id)
            self._batch.closed_jobs.append(job_id)

    def _add_final_record(self, job_id: str, job: Job) -> bool:
        """Add the job's final record, which marks it as done. Return False if the record exceeds the size
        limit of a value."""
        final = records.Record(job.spec, job.created_wall, 0.0, True, len(job.done))
        value = records.encode_within(final, self._row_bytes)
        if records.encoded_size(value) > self._row_bytes:
            # Any transaction with this record would be refused, which would block the commits of all jobs.
            log.error(
                "job record too large, completion not written: job=%s max_bytes=%d", job_id, self._row_bytes
            )
            return False
        self._batch.conditions[records.job_key(job_id)] = job.version
        self._batch.puts.append(Put(records.job_key(job_id), value))
        return True

    def _add_migration_counts(self) -> None:
        """Add the migration counts of jobs with migrations to begin, and the deletions of obsolete counts."""
        state = self._state
        for job_id in list(state.uncounted_migrations)[: max(0, self._ops_left())]:
            self._batch.migrations[job_id] = state.uncounted_migrations.pop(job_id)
            self._batch.puts.append(Put(records.migration_counts_key(job_id), state.restarts.encode(job_id)))
        for job_id in list(state.obsolete_counts)[: max(0, self._ops_left())]:
            del state.obsolete_counts[job_id]
            self._batch.deleted_counts.append(job_id)
            self._batch.puts.append(Put(records.migration_counts_key(job_id), None))

    def _finish_rows(self) -> None:
        self._rows[0].add_snapshots(self._batch.tasks)
        slots = self._task_log.next_slots(len(self._rows))
        for row, (slot, version) in zip(self._rows, slots, strict=True):
            self._batch.conditions[slot] = version
            self._batch.puts.append(Put(slot, row.build()))

    def _remove_from_state(self) -> None:
        state = self._state
        for job_id, tasks in self._batch.tasks.items():
            remaining = state.dirty[job_id] - tasks
            if remaining:
                state.dirty[job_id] = remaining
            else:
                del state.dirty[job_id]
        for job_id in self._batch.closed_jobs:
            del state.pending_completions[job_id]
