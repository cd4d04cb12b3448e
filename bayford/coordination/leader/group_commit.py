"""The group commit: what of the owner's decisions is written next, and what follows when it is durable."""

import logging

from bayford.coordination.leader.commit_batch import Batch
from bayford.coordination.leader.leader_state import OwnerState
from bayford.scheduling.model import URGENT, Job
from bayford.storage import records
from bayford.storage.key_value_store import Put
from bayford.storage.task_log import Ledger, RowMaker

log = logging.getLogger("bayford.engine")

TRANSACTION_BYTES = 48 * 1024  # of the 64 KiB that the state service takes, rows and records beside them


class GroupCommit:
    """Transactions of one owner's term, one at a time. Takes the lock of the owner's state by itself."""

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def take_batch(self, ops: int) -> Batch | None:
        """The next transaction: rows of the ledger with what has changed, urgent work first, and the records
        of jobs that are complete, within `ops` changes and the size limit.

        Conditional on the map, so a deposed owner writes nothing; on the slots that the rows take, so a
        transaction that was given up on and comes late can't be applied beside what came after it; and on
        the records, so that nobody's cancellation is overwritten.
        """
        with self._state.lock:
            if (
                not self._state.owner
                or not self._state.complete
                or not self.has_news()
                or self._state.flying is not None
            ):
                return None
            self._state.flying = self._state.with_ledger(
                lambda ledger: BatchMaker(self._state, ledger, ops).make()
            )
            return self._state.flying

    def committed(self, batch: Batch) -> None:
        """The batch is durable: its placements may start, its jobs may be told."""
        with self._state.lock:
            if not self._state.owner or batch.term != self._state.term:
                return  # it is of an earlier term, and says nothing of the jobs of now
            self._state.flying = None
            wake = set()
            for place in batch.placements:
                if place.job.open.get(place.task) is place:
                    place.durable = True
                    wake.add(place.machine)
            for name in batch.over:
                self._state.drop_job(name)
            for index in wake:
                self._state.on_ready(index)
            for moves in batch.moves.values():
                self._state.on_moves_counted(moves)

    def not_committed(self, batch: Batch) -> None:
        """Refused, conflicting or unanswered: everything in it is to be written again.

        After no answer the transaction may still be applied; then the next one conflicts at the slot, and
        once that row is read the next goes after it. It says the same things once more, which does no harm.
        Until one of ours is known to have been applied, its placements stay open and unstarted.
        """
        with self._state.lock:
            if batch.term != self._state.term:
                return
            self._state.flying = None
            for name, tasks in batch.tasks.items():
                if name in self._state.jobs:
                    self._state.dirty.setdefault(name, set()).update(tasks)
            for name in batch.over:
                if name in self._state.jobs:
                    self._state.ending[name] = None
            for name, moves in batch.moves.items():
                if name in self._state.jobs:
                    self._state.uncounted.setdefault(name, []).extend(moves)
            self._state.old_counts.update(dict.fromkeys(batch.dropped_counts))

    def has_news(self) -> bool:
        """Whether something waits to be written."""
        return bool(self._state.dirty or self._state.ending or self._state.uncounted)

    def endings(self) -> int:
        """How many jobs wait to be called done, or closed."""
        return len(self._state.ending)


class BatchMaker:
    """Makes one batch out of the owner's state, under its lock, and takes what is in it from what waits."""

    def __init__(self, state: OwnerState, ledger: Ledger, ops: int) -> None:
        """`ops`: how many changes there may be."""
        self._state = state
        self._ledger = ledger
        self._ops = ops
        self._row_bytes = state.limits.value_bytes
        self._tail = ledger.dead_before()
        self._batch = Batch(state.term, {records.MAP: state.term})
        self._rows = [self._new_row(0)]

    def make(self) -> Batch:
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

    def _new_row(self, n: int) -> RowMaker:
        ledger = self._ledger
        return RowMaker(ledger, ledger.next + n, self._tail, self._state.next_attempt, self._row_bytes)

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
            place = job.open.get(task)
            machine = "" if place is None else state.machines_by[place.machine]
            if not self._rows[-1].room(name, machine):
                if len(self._rows) >= most_rows:
                    break
                self._rows.append(self._new_row(len(self._rows)))
            taken.add(task)
            row = self._rows[-1]
            if place is not None:
                row.opened(name, task, place.attempt, machine, place.session)
                self._batch.placements.append(place)
            elif task in job.done:
                row.done(name, task)
            else:
                row.closed(name, task)
        if taken:
            self._batch.tasks[name] = taken

    def _add_endings(self) -> None:
        """Jobs that are over, all of whose changes are in this batch or before it; urgent ones first, since
        in a flood of small jobs this queue is long."""
        state = self._state
        for name in sorted(state.ending, key=lambda name: state.jobs[name].spec.priority < URGENT):
            job = state.jobs[name]
            if self._left() <= 0 or not self._rows[-1].room(name):
                break
            if state.dirty.get(name, set()) - self._batch.tasks.get(name, set()):
                continue  # some of its changes had no room: not before they are written
            if not job.cancelled and not self._add_final_record(name, job):
                del state.ending[name]
                continue
            self._rows[-1].over(name)
            self._batch.over.append(name)

    def _add_final_record(self, name: str, job: Job) -> bool:
        """The record that says that the job is done; False if no value can hold it."""
        final = records.Record(job.spec, job.created_wall, 0.0, True, len(job.done))
        value = records.fitted(final, self._row_bytes)
        if records.size(value) > self._row_bytes:
            # It would have every transaction refused that it is part of, and nobody's work go on.
            log.error("job %s: done, but its record does not fit into %d bytes", name, self._row_bytes)
            return False
        self._batch.conditions[records.key(name)] = job.stamp
        self._batch.puts.append(Put(records.key(name), value))
        return True

    def _add_counts(self) -> None:
        """The counts of moves that are to begin, and deletions of those that nobody needs any more."""
        state = self._state
        for job_id in list(state.uncounted)[: max(0, self._left())]:
            self._batch.moves[job_id] = state.uncounted.pop(job_id)
            self._batch.puts.append(Put(records.moves_key(job_id), state.restarts.encode(job_id)))
        for job_id in list(state.old_counts)[: max(0, self._left())]:
            del state.old_counts[job_id]
            self._batch.dropped_counts.append(job_id)
            self._batch.puts.append(Put(records.moves_key(job_id), None))

    def _finish_rows(self) -> None:
        self._rows[0].snapshots(self._batch.tasks)
        slots = self._ledger.slots(len(self._rows))
        for row, (slot, stamp) in zip(self._rows, slots, strict=True):
            self._batch.conditions[slot] = stamp
            self._batch.puts.append(Put(slot, row.finish()))

    def _take_from_state(self) -> None:
        state = self._state
        for name, tasks in self._batch.tasks.items():
            left = state.dirty[name] - tasks
            if left:
                state.dirty[name] = left
            else:
                del state.dirty[name]
        for name in self._batch.over:
            del state.ending[name]
