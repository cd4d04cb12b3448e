"""The group commit: what of the leader's decisions is written next, and what follows when it is durable."""

import logging

from bayford.coordination.leader.commit_batch import CommitBatch
from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import URGENT, Job
from bayford.storage import records
from bayford.storage.key_value_store import Put
from bayford.storage.row_builder import RowBuilder
from bayford.storage.task_log import TaskLog

log = logging.getLogger(__name__)

# Rows of a transaction. The key-value store takes 64 KiB; the rest is for records beside the rows.
MAX_ROWS_BYTES = 48 * 1024


class GroupCommit:
    """Transactions of one leader's term, one at a time. Takes the lock of the leader's state by itself."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def take_batch(self, ops: int) -> CommitBatch | None:
        """The next transaction: rows of the task log with what has changed, urgent work first, and the
        records of jobs that are complete, within `ops` changes and the size limit.

        Conditional on the leadership record, so that a leader which was replaced writes nothing; on the slots
        that the rows take, so that a transaction which was given up on and comes late can't be applied beside
        what came after it; and on the records, so that no cancellation is overwritten.
        """
        with self._state.lock:
            if (
                not self._state.leader
                or not self._state.complete
                or not self.has_pending_writes()
                or self._state.in_flight is not None
            ):
                return None
            assert self._state.task_log is not None, "the scheduler is connected before it leads"
            self._state.in_flight = self._state.task_log.with_task_log(
                lambda task_log: BatchMaker(self._state, task_log, ops).make()
            )
            return self._state.in_flight

    def committed(self, batch: CommitBatch) -> None:
        """The batch is durable: its placements may start, its jobs may be reported done."""
        with self._state.lock:
            if not self._state.leader or batch.term != self._state.term:
                return  # it belongs to an earlier term, and says nothing of this term's jobs
            self._state.in_flight = None
            machines_to_wake = set()
            for placement in batch.placements:
                if placement.job.open.get(placement.task) is placement:
                    placement.durable = True
                    machines_to_wake.add(placement.machine)
            for job_id in batch.over:
                self._state.drop_job(job_id)
            for machine in machines_to_wake:
                self._state.events.on_commands_ready(machine)
            for migrations in batch.migrations.values():
                self._state.events.on_migrations_counted(migrations)

    def not_committed(self, batch: CommitBatch) -> None:
        """Refused, conflicting or unanswered: everything in it is to be written again.

        After no answer the transaction may still be applied; then the next one conflicts at the slot, and
        once that row is read the next goes after it. It says the same things once more, which does no harm.
        Until one of the transactions is known to have been applied, its placements stay open and unstarted.
        """
        with self._state.lock:
            if batch.term != self._state.term:
                return
            self._state.in_flight = None
            for job_id, tasks in batch.tasks.items():
                if job_id in self._state.jobs:
                    self._state.dirty.setdefault(job_id, set()).update(tasks)
            for job_id in batch.over:
                if job_id in self._state.jobs:
                    self._state.pending_completions[job_id] = None
            for job_id, migrations in batch.migrations.items():
                if job_id in self._state.jobs:
                    self._state.uncounted_migrations.setdefault(job_id, []).extend(migrations)
            self._state.obsolete_counts.update(dict.fromkeys(batch.dropped_counts))

    def has_pending_writes(self) -> bool:
        """Whether something waits to be written. May be called without the lock, as a hint."""
        return bool(self._state.dirty or self._state.pending_completions or self._state.uncounted_migrations)

    def pending_completion_count(self) -> int:
        """How many jobs wait to be reported done, or closed."""
        return len(self._state.pending_completions)


class BatchMaker:
    """Makes one batch out of the leader's state, under its lock, and removes what is in it from what waits.

    Used for one batch and dropped.
    """

    def __init__(self, state: LeaderState, task_log: TaskLog, ops: int) -> None:
        """`ops`: how many changes there may be."""
        self._state = state
        self._task_log = task_log
        self._ops = ops
        self._row_bytes = state.limits.value_bytes
        self._tail = task_log.reclaimable_tail()
        self._batch = CommitBatch(state.term, {records.LEADERSHIP: state.term})
        self._rows = [self._new_row(0)]

    def make(self) -> CommitBatch:
        """The batch: urgent work first, then jobs that are over, then counts of migrations."""
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
        """The row that goes so many slots after the next free one."""
        task_log = self._task_log
        return RowBuilder(
            task_log, task_log.next + offset, self._tail, self._state.next_attempt, self._row_bytes
        )

    def _ops_left(self) -> int:
        """How many more changes there may be."""
        return self._ops - len(self._rows) - len(self._batch.puts)

    def _add_tasks(self, job_id: str) -> None:
        """The tasks of a job that have changed, as many as fit."""
        state = self._state
        job = state.jobs[job_id]
        max_rows = max(1, min(self._ops, MAX_ROWS_BYTES // self._row_bytes))
        taken = set()
        for task in state.dirty[job_id]:
            placement = job.open.get(task)
            machine = "" if placement is None else state.machine_names[placement.machine]
            if not self._rows[-1].has_space(job_id, machine):
                if len(self._rows) >= max_rows:
                    break
                self._rows.append(self._new_row(len(self._rows)))
            taken.add(task)
            row = self._rows[-1]
            if placement is not None:
                row.add_open(job_id, task, placement.attempt, machine, placement.epoch)
                self._batch.placements.append(placement)
            elif task in job.done:
                row.add_done(job_id, task)
            else:
                row.add_closed(job_id, task)
        if taken:
            self._batch.tasks[job_id] = taken

    def _add_completions(self) -> None:
        """Jobs that are over, all of whose changes are in this batch or before it; urgent ones first, since
        in a flood of small jobs this queue is long."""
        state = self._state
        for job_id in sorted(
            state.pending_completions, key=lambda job_id: state.jobs[job_id].spec.priority < URGENT
        ):
            job = state.jobs[job_id]
            if self._ops_left() <= 0 or not self._rows[-1].has_space(job_id):
                break
            if state.dirty.get(job_id, set()) - self._batch.tasks.get(job_id, set()):
                continue  # some of its changes did not fit: it is closed after they are written
            if not job.cancelled and not self._add_final_record(job_id, job):
                del state.pending_completions[job_id]
                continue
            self._rows[-1].add_over(job_id)
            self._batch.over.append(job_id)

    def _add_final_record(self, job_id: str, job: Job) -> bool:
        """The record that says that the job is done; False if no value can hold it."""
        final = records.Record(job.spec, job.created_wall, 0.0, True, len(job.done))
        value = records.fitted(final, self._row_bytes)
        if records.size(value) > self._row_bytes:
            # Every transaction that it is part of would be refused, and no job's work would go on.
            log.error(
                "job record too large, completion not written: job=%s max_bytes=%d", job_id, self._row_bytes
            )
            return False
        self._batch.conditions[records.key(job_id)] = job.version
        self._batch.puts.append(Put(records.key(job_id), value))
        return True

    def _add_migration_counts(self) -> None:
        """The counts of migrations that are to begin, and deletions of those that are needed no more."""
        state = self._state
        for job_id in list(state.uncounted_migrations)[: max(0, self._ops_left())]:
            self._batch.migrations[job_id] = state.uncounted_migrations.pop(job_id)
            self._batch.puts.append(Put(records.migration_counts_key(job_id), state.restarts.encode(job_id)))
        for job_id in list(state.obsolete_counts)[: max(0, self._ops_left())]:
            del state.obsolete_counts[job_id]
            self._batch.dropped_counts.append(job_id)
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
        for job_id in self._batch.over:
            del state.pending_completions[job_id]
