"""What one transaction of the group commit carries, and how it is put together."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bayford.scheduling.model import URGENT, Job, Placement
from bayford.storage import records
from bayford.storage.ledger import Ledger, RowMaker
from bayford.storage.store import Put

if TYPE_CHECKING:
    from bayford.coordination.owner_state import OwnerState

log = logging.getLogger("bayford.engine")

TRANSACTION_BYTES = 48 * 1024  # of the 64 KiB that the state service takes, rows and records beside them


@dataclass(frozen=True, slots=True)
class Relocation:
    """A running task that is to go on elsewhere, once it is durable that it has been moved once more."""

    place: Placement
    target: int
    decided_at: float


@dataclass(slots=True)
class Batch:
    """One transaction of the group commit and what it makes durable."""

    term: int
    conditions: dict[str, int]
    puts: list[Put] = field(default_factory=list)
    tasks: dict[str, set[int]] = field(default_factory=dict)
    placements: list[Placement] = field(default_factory=list)
    over: list[str] = field(default_factory=list)
    moves: dict[str, list[Relocation]] = field(default_factory=dict)  # by job
    dropped_counts: list[str] = field(default_factory=list)  # jobs whose counts of moves are deleted


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
        """Jobs that are over, all of whose changes are in this batch or before it."""
        state = self._state
        for name in list(state.ending):
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
