"""The group commit: what of the leader's decisions is written next, and what follows when it is durable."""

import logging

from bayford.coordination.leader.commit_batch import CommitBatch
from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import URGENT, Job
from bayford.storage import records
from bayford.storage.key_value_store import Put
from bayford.storage.row_builder import RowBuilder
from bayford.storage.task_log import TaskLog

log = logging.getLogger("bayford.engine")

TRANSACTION_BYTES = 48 * 1024  # of the 64 KiB that the state service takes, rows and records beside them


class GroupCommit:
    """Transactions of one leader's term, one at a time. Takes the lock of the leader's state by itself."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def take_batch(self, ops: int) -> CommitBatch | None:
        """The next transaction: rows of the task log with what has changed, urgent work first, and the
        records of jobs that are complete, within `ops` changes and the size limit.

        Conditional on the leadership record, so a deposed leader writes nothing; on the slots that the rows
        take, so a transaction that was given up on and comes late can't be applied beside what came after it;
        and on the records, so that nobody's cancellation is overwritten.
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
        """The batch is durable: its placements may start, its jobs may be told."""
        with self._state.lock:
            if not self._state.leader or batch.term != self._state.term:
                return  # it is of an earlier term, and says nothing of the jobs of now
            self._state.in_flight = None
            wake = set()
            for placement in batch.placements:
                if placement.job.open.get(placement.task) is placement:
                    placement.durable = True
                    wake.add(placement.machine)
            for name in batch.over:
                self._state.drop_job(name)
            for index in wake:
                self._state.events.on_commands_ready(index)
            for moves in batch.moves.values():
                self._state.events.on_migrations_counted(moves)

    def not_committed(self, batch: CommitBatch) -> None:
        """Refused, conflicting or unanswered: everything in it is to be written again.

        After no answer the transaction may still be applied; then the next one conflicts at the slot, and
        once that row is read the next goes after it. It says the same things once more, which does no harm.
        Until one of ours is known to have been applied, its placements stay open and unstarted.
        """
        with self._state.lock:
            if batch.term != self._state.term:
                return
            self._state.in_flight = None
            for name, tasks in batch.tasks.items():
                if name in self._state.jobs:
                    self._state.dirty.setdefault(name, set()).update(tasks)
            for name in batch.over:
                if name in self._state.jobs:
                    self._state.pending_completions[name] = None
            for name, moves in batch.moves.items():
                if name in self._state.jobs:
                    self._state.uncounted_migrations.setdefault(name, []).extend(moves)
            self._state.obsolete_counts.update(dict.fromkeys(batch.dropped_counts))

    def has_pending_writes(self) -> bool:
        """Whether something waits to be written."""
        return bool(self._state.dirty or self._state.pending_completions or self._state.uncounted_migrations)

    def pending_completion_count(self) -> int:
        """How many jobs wait to be called done, or closed."""
        return len(self._state.pending_completions)


class BatchMaker:
    """Makes one batch out of the leader's state, under its lock, and takes what is in it from what waits."""

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
        """The batch: urgent work first, then jobs that are over, then counts of moves."""
        state = self._state
        names = [n for n in state.dirty if state.jobs[n].spec.priority >= URGENT]
        names += [n for n in state.dirty if state.jobs[n].spec.priority < URGENT]
        for name in names:
            self._add_tasks(name)
        self._add_endings()
        self._add_counts()
        self._finish_rows()
        self._take_from_state()
        return self._batch

    def _new_row(self, n: int) -> RowBuilder:
        task_log = self._task_log
        return RowBuilder(task_log, task_log.next + n, self._tail, self._state.next_attempt, self._row_bytes)

    def _left(self) -> int:
        """How many more changes there may be."""
        return self._ops - len(self._rows) - len(self._batch.puts)

    def _add_tasks(self, name: str) -> None:
        """The tasks of a job that have changed, as many as fit."""
        state = self._state
        job = state.jobs[name]
        most_rows = max(1, min(self._ops, TRANSACTION_BYTES // self._row_bytes))
        taken = set()
        for task in state.dirty[name]:
            placement = job.open.get(task)
            machine = "" if placement is None else state.machine_names[placement.machine]
            if not self._rows[-1].has_space(name, machine):
                if len(self._rows) >= most_rows:
                    break
                self._rows.append(self._new_row(len(self._rows)))
            taken.add(task)
            row = self._rows[-1]
            if placement is not None:
                row.add_open(name, task, placement.attempt, machine, placement.epoch)
                self._batch.placements.append(placement)
            elif task in job.done:
                row.add_done(name, task)
            else:
                row.add_closed(name, task)
        if taken:
            self._batch.tasks[name] = taken

    def _add_endings(self) -> None:
        """Jobs that are over, all of whose changes are in this batch or before it; urgent ones first, since
        in a flood of small jobs this queue is long."""
        state = self._state
        for name in sorted(
            state.pending_completions, key=lambda name: state.jobs[name].spec.priority < URGENT
        ):
            job = state.jobs[name]
            if self._left() <= 0 or not self._rows[-1].has_space(name):
                break
            if state.dirty.get(name, set()) - self._batch.tasks.get(name, set()):
                continue  # some of its changes had no room: not before they are written
            if not job.cancelled and not self._add_final_record(name, job):
                del state.pending_completions[name]
                continue
            self._rows[-1].add_over(name)
            self._batch.over.append(name)

    def _add_final_record(self, name: str, job: Job) -> bool:
        """The record that says that the job is done; False if no value can hold it."""
        final = records.Record(job.spec, job.created_wall, 0.0, True, len(job.done))
        value = records.fitted(final, self._row_bytes)
        if records.size(value) > self._row_bytes:
            # It would have every transaction refused that it is part of, and nobody's work go on.
            log.error("job %s: done, but its record does not fit into %d bytes", name, self._row_bytes)
            return False
        self._batch.conditions[records.key(name)] = job.version
        self._batch.puts.append(Put(records.key(name), value))
        return True

    def _add_counts(self) -> None:
        """The counts of moves that are to begin, and deletions of those that nobody needs any more."""
        state = self._state
        for job_id in list(state.uncounted_migrations)[: max(0, self._left())]:
            self._batch.moves[job_id] = state.uncounted_migrations.pop(job_id)
            self._batch.puts.append(Put(records.migration_counts_key(job_id), state.restarts.encode(job_id)))
        for job_id in list(state.obsolete_counts)[: max(0, self._left())]:
            del state.obsolete_counts[job_id]
            self._batch.dropped_counts.append(job_id)
            self._batch.puts.append(Put(records.migration_counts_key(job_id), None))

    def _finish_rows(self) -> None:
        self._rows[0].add_snapshots(self._batch.tasks)
        slots = self._task_log.next_slots(len(self._rows))
        for row, (slot, version) in zip(self._rows, slots, strict=True):
            self._batch.conditions[slot] = version
            self._batch.puts.append(Put(slot, row.build()))

    def _take_from_state(self) -> None:
        state = self._state
        for name, tasks in self._batch.tasks.items():
            left = state.dirty[name] - tasks
            if left:
                state.dirty[name] = left
            else:
                del state.dirty[name]
        for name in self._batch.over:
            del state.pending_completions[name]
