"""Outcomes of the tasks that were in a zone when it was lost. No I/O; callers provide locking."""

from dataclasses import dataclass, field

from bayford.recovery.zone_record import Loss, RerunTask
from bayford.storage.task_ranges import decode_ranges, encode_ranges

TaskKey = tuple[str, int]  # the job's id and the task's number in the job


@dataclass(slots=True)
class TaskOutcomes:
    """The outcome of each task in one loss of a zone.

    Each task has exactly one outcome at any time. It is `open` until one of the `note_` methods records
    another; these return whether the task was open and leave any other outcome unchanged.
    """

    suspected: float  # time of day in seconds, like the next two
    lost: float = 0.0
    returned: float = 0.0
    next_attempt: int = 0  # attempts from this number on were placed after the loss; 0 if unknown
    open: set[TaskKey] = field(default_factory=set)
    finished: set[TaskKey] = field(default_factory=set)
    rerun: dict[TaskKey, str] = field(default_factory=dict)  # the machine that the task was placed on again
    cancelled: set[TaskKey] = field(default_factory=set)
    ended_unseen: set[TaskKey] = field(default_factory=set)  # ended between two terms; the machine is unknown

    def _remove_open(self, key: TaskKey) -> bool:
        """Removes the task from the open ones and returns whether it was open."""
        was_open = key in self.open
        self.open.discard(key)
        return was_open

    def record_finished(self, key: TaskKey) -> bool:
        """Records that an attempt of the task in the lost zone has succeeded."""
        if not self._remove_open(key):
            return False
        self.finished.add(key)
        return True

    def record_rerun(self, key: TaskKey, machine: str) -> bool:
        """Records that the task has been placed again, on `machine`."""
        if not self._remove_open(key):
            return False
        self.rerun[key] = machine
        return True

    def record_cancelled(self, key: TaskKey) -> bool:
        """Records that the task's job is cancelled and the task has no open placement."""
        if not self._remove_open(key):
            return False
        self.cancelled.add(key)
        return True

    def record_ended_unseen(self, key: TaskKey) -> bool:
        """Records that the task had already ended when the next leader's term began."""
        if not self._remove_open(key):
            return False
        self.ended_unseen.add(key)
        return True

    def to_stored(self) -> Loss:
        """Returns the stored form of the loss."""
        rerun: dict[str, list[RerunTask]] = {}
        for (job_id, task), machine in sorted(self.rerun.items()):
            rerun.setdefault(job_id, []).append(RerunTask(task, machine))
        return Loss(
            suspected=self.suspected,
            lost=self.lost,
            returned=self.returned,
            next_attempt=self.next_attempt,
            open=_ranges_by_job(self.open),
            finished=_ranges_by_job(self.finished),
            rerun=rerun,
            cancelled=_ranges_by_job(self.cancelled),
            ended_unseen=_ranges_by_job(self.ended_unseen),
        )

    @staticmethod
    def from_stored(loss: Loss) -> "TaskOutcomes":
        """Restores the outcomes from a stored loss; omits tasks that are stored only as counts."""
        return TaskOutcomes(
            suspected=loss.suspected,
            lost=loss.lost,
            returned=loss.returned,
            next_attempt=loss.next_attempt,
            open=_task_keys(loss.open),
            finished=_task_keys(loss.finished),
            rerun={
                (job_id, rerun.task): rerun.machine
                for job_id, reruns in loss.rerun.items()
                for rerun in reruns
            },
            cancelled=_task_keys(loss.cancelled),
            ended_unseen=_task_keys(loss.ended_unseen),
        )


def _ranges_by_job(keys: set[TaskKey]) -> dict[str, list[int]]:
    tasks_by_job: dict[str, list[int]] = {}
    for job_id, task in keys:
        tasks_by_job.setdefault(job_id, []).append(task)
    return {job_id: encode_ranges(tasks) for job_id, tasks in sorted(tasks_by_job.items())}


def _task_keys(ranges_by_job: dict[str, list[int]]) -> set[TaskKey]:
    return {(job_id, task) for job_id, ranges in ranges_by_job.items() for task in decode_ranges(ranges)}
