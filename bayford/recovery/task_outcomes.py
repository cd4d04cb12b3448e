"""What becomes of the tasks that were in a zone when it was lost. Pure."""

from dataclasses import dataclass, field

from bayford.recovery.zone_record import Elsewhere, Loss
from bayford.storage.task_ranges import decode_ranges, encode_ranges

TaskKey = tuple[str, int]  # job, number of the task


@dataclass(slots=True)
class TaskOutcomes:
    """One loss, task by task. Each task has exactly one fate at any time."""

    suspected: float  # time of day, as all of these
    lost: float = 0.0
    returned: float = 0.0
    open: set[TaskKey] = field(default_factory=set)
    finished: set[TaskKey] = field(default_factory=set)
    again: dict[TaskKey, str] = field(default_factory=dict)
    cancelled: set[TaskKey] = field(default_factory=set)
    over: set[TaskKey] = field(default_factory=set)  # ended between two leaders, nobody saw where

    def _settle(self, key: TaskKey) -> bool:
        """The task is not open any more; whether it was."""
        was_open = key in self.open
        self.open.discard(key)
        return was_open

    def note_done(self, key: TaskKey) -> bool:
        """An attempt of the task that was there has ended well; whether that is news."""
        if not self._settle(key):
            return False
        self.finished.add(key)
        return True

    def note_placed(self, key: TaskKey, machine: str) -> bool:
        """The task has been placed once more; whether that is news."""
        if not self._settle(key):
            return False
        self.again[key] = machine
        return True

    def on_cancelled(self, key: TaskKey) -> bool:
        """The task's job is cancelled and nothing of it is left there; whether that is news."""
        if not self._settle(key):
            return False
        self.cancelled.add(key)
        return True

    def note_over(self, key: TaskKey) -> bool:
        """The task was over when the next leader began; whether that is news."""
        if not self._settle(key):
            return False
        self.over.add(key)
        return True

    def record(self) -> Loss:
        """As it is stored."""
        again: dict[str, list[Elsewhere]] = {}
        for (job, task), machine in sorted(self.again.items()):
            again.setdefault(job, []).append(Elsewhere(task, machine))
        return Loss(
            self.suspected,
            self.lost,
            self.returned,
            _by_job(self.open),
            _by_job(self.finished),
            again,
            _by_job(self.cancelled),
            _by_job(self.over),
        )

    @staticmethod
    def of(loss: Loss) -> "TaskOutcomes":
        """From what is stored."""
        return TaskOutcomes(
            loss.suspected,
            loss.lost,
            loss.returned,
            _keys(loss.open),
            _keys(loss.finished),
            {(job, e.task): e.machine for job, found in loss.again.items() for e in found},
            _keys(loss.cancelled),
            _keys(loss.over),
        )


def _by_job(keys: set[TaskKey]) -> dict[str, list[int]]:
    jobs: dict[str, list[int]] = {}
    for job, task in keys:
        jobs.setdefault(job, []).append(task)
    return {job: encode_ranges(tasks) for job, tasks in sorted(jobs.items())}


def _keys(jobs: dict[str, list[int]]) -> set[TaskKey]:
    return {(job, task) for job, flat in jobs.items() for task in decode_ranges(flat)}
