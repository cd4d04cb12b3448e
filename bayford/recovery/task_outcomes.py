"""What becomes of the tasks that were in a zone when it was lost. No I/O; callers lock."""

from dataclasses import dataclass, field

from bayford.recovery.zone_record import Loss, RerunTask
from bayford.storage.task_ranges import decode_ranges, encode_ranges

TaskKey = tuple[str, int]  # the job's id, the number of the task in it


@dataclass(slots=True)
class TaskOutcomes:
    """One loss, task by task. Each task has exactly one outcome at any time; `open` until another is noted.

    The `note_` methods return whether the task was open: only then its outcome changes.
    """

    suspected: float  # time of day, as all of these
    lost: float = 0.0
    returned: float = 0.0
    open: set[TaskKey] = field(default_factory=set)
    finished: set[TaskKey] = field(default_factory=set)
    rerun: dict[TaskKey, str] = field(default_factory=dict)  # the machine that it was placed on
    cancelled: set[TaskKey] = field(default_factory=set)
    ended_unseen: set[TaskKey] = field(default_factory=set)  # between two leaders: neither saw where

    def _close(self, key: TaskKey) -> bool:
        """Take the task from the open ones; whether it was there."""
        was_open = key in self.open
        self.open.discard(key)
        return was_open

    def note_done(self, key: TaskKey) -> bool:
        """An attempt of the task that was there has ended well."""
        if not self._close(key):
            return False
        self.finished.add(key)
        return True

    def note_placed(self, key: TaskKey, machine: str) -> bool:
        """The task has been placed once more."""
        if not self._close(key):
            return False
        self.rerun[key] = machine
        return True

    def note_cancelled(self, key: TaskKey) -> bool:
        """The task's job is cancelled and nothing of the task is left on a machine."""
        if not self._close(key):
            return False
        self.cancelled.add(key)
        return True

    def note_ended_unseen(self, key: TaskKey) -> bool:
        """The task had ended when the next leader began."""
        if not self._close(key):
            return False
        self.ended_unseen.add(key)
        return True

    def record(self) -> Loss:
        """The loss as it is stored."""
        rerun: dict[str, list[RerunTask]] = {}
        for (job_id, task), machine in sorted(self.rerun.items()):
            rerun.setdefault(job_id, []).append(RerunTask(task, machine))
        return Loss(
            suspected=self.suspected,
            lost=self.lost,
            returned=self.returned,
            open=_ranges_by_job(self.open),
            finished=_ranges_by_job(self.finished),
            rerun=rerun,
            cancelled=_ranges_by_job(self.cancelled),
            ended_unseen=_ranges_by_job(self.ended_unseen),
        )

    @staticmethod
    def of(loss: Loss) -> "TaskOutcomes":
        """From the loss as it is stored; tasks that it only counts are left out."""
        return TaskOutcomes(
            suspected=loss.suspected,
            lost=loss.lost,
            returned=loss.returned,
            open=_keys(loss.open),
            finished=_keys(loss.finished),
            rerun={
                (job_id, rerun.task): rerun.machine
                for job_id, reruns in loss.rerun.items()
                for rerun in reruns
            },
            cancelled=_keys(loss.cancelled),
            ended_unseen=_keys(loss.ended_unseen),
        )


def _ranges_by_job(keys: set[TaskKey]) -> dict[str, list[int]]:
    tasks_by_job: dict[str, list[int]] = {}
    for job_id, task in keys:
        tasks_by_job.setdefault(job_id, []).append(task)
    return {job_id: encode_ranges(tasks) for job_id, tasks in sorted(tasks_by_job.items())}


def _keys(ranges_by_job: dict[str, list[int]]) -> set[TaskKey]:
    return {(job_id, task) for job_id, flat in ranges_by_job.items() for task in decode_ranges(flat)}
