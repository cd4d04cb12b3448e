"""The order in which waiting jobs are served."""

import math
from dataclasses import dataclass

from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import EPS, GANG, URGENT, Job


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A job's position in the order of service; the smallest `order` is served first."""

    order: tuple[float, ...]
    job: Job
    count: int  # how many of its tasks may be placed at this position


class SchedulingQueue:
    """The order of service. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def in_order(self, now: float, with_turns: bool = True) -> list[QueueEntry]:
        """Jobs with waiting tasks in the order of service; without `with_turns` starved jobs get no turn.

        Urgent work first; then jobs that lie within their team's guarantee, then work of teams that use less
        than theirs, then the rest; in each by priority; among equals the job with the least work left, so
        that many finish soon, with waiting time as the other weight, and after those the ones of classes
        without an objective, the longest tasks first.

        That order alone could keep a large array of low priority waiting for as long as others come. So
        before all of them goes, for a small share of its tasks, each job of which nothing was started for
        `turn_s`. What starts on a turn is not preempted. A job thus starts `turn_share` of its tasks at least
        every `turn_s` and the time until capacity is next released.
        """
        entries: list[QueueEntry] = []
        within_guarantee = self.jobs_within_guarantee()
        for job in self._state.jobs.values():
            if job.backing_off:
                job.requeue_backed_off(now)
            if not job.waiting or job.cancelled or job.not_before > now:
                continue
            count = self._count_within_limit(job)
            if count <= 0:
                job.why_waiting = "team limit"
                continue
            if with_turns and self.is_starved(job, now):
                turn = math.ceil(job.spec.tasks * self._state.policy.turn_share)
                entries.append(QueueEntry((-1.0, job.created), job, min(count, turn)))
            if job.spec.priority >= URGENT:
                entries.append(self._urgent_entry(job, count, now))
            else:
                entries += self._ordinary_entries(job, count, within_guarantee, now)
        entries.sort(key=lambda entry: entry.order)
        return entries

    def _count_within_limit(self, job: Job) -> int:
        """How many waiting tasks of the job its team's limit lets start now."""
        headroom = self._state.quotas[job.team].headroom(job.spec)
        if job.spec.shape == GANG and (job.open or headroom < len(job.waiting)):
            return 0  # all tasks of a gang start at once or none does
        return min(headroom, len(job.waiting))

    def _urgent_entry(self, job: Job, count: int, now: float) -> QueueEntry:
        return QueueEntry((0.0, 0.0, -float(job.spec.priority), self._rank(job, now)), job, count)

    def _ordinary_entries(
        self, job: Job, count: int, within_guarantee: set[str], now: float
    ) -> list[QueueEntry]:
        """A job that is not urgent: its usual position, before that one for tasks that its team's guarantee
        has covered for long."""
        entries = []
        policy = self._state.policy
        age = now - job.created
        unmet_guarantee = min(count, self._state.quotas[job.team].unmet_guarantee(job.spec))
        if unmet_guarantee and age > policy.guarantee_wait_s:
            entries.append(QueueEntry((1.0, 0.0, 0.0, -age), job, unmet_guarantee))
        guarantee_rank = 1.0
        if policy.guarantee_first and unmet_guarantee:
            guarantee_rank = 0.0 if job.spec.id in within_guarantee else 0.5
        # Where there is no objective for single jobs, the longest tasks go first: started last, they would
        # still run when all else is done.
        without_objective = self._state.due_s(job) is None
        rank = -self._state.expected(job) if without_objective else self._rank(job, now)
        order = (2.0, guarantee_rank, -float(job.spec.priority), float(without_objective), rank)
        entries.append(QueueEntry(order, job, count))
        return entries

    def jobs_within_guarantee(self) -> set[str]:
        """The jobs that need not wait for other teams: each fits into its team's guarantee together with the
        team's earlier unfinished jobs. Others of a team that uses less than that are served after them."""
        unused = [(quota.cpus, quota.gpus) for quota in self._state.quotas]
        job_ids = set()
        for job in sorted(self._state.jobs.values(), key=lambda job: job.created):
            spec = job.spec
            cpus, gpus = unused[job.team]
            unused[job.team] = cpus - spec.cpus * spec.tasks, gpus - spec.gpus * spec.tasks
            if not job.cancelled and min(unused[job.team]) > -EPS:
                job_ids.add(spec.id)
        return job_ids

    def _rank(self, job: Job, now: float) -> float:
        """Work left, shrinking with age: small jobs first, yet none is last for ever. Of services the one
        that lacks the fewest replicas."""
        age = now - job.created
        if job.is_service:
            return len(job.waiting) / (1.0 + age / self._state.policy.aging_s)
        run_s = self._state.expected(job)
        work = (len(job.waiting) + 0.5 * len(job.open)) * run_s * max(job.spec.cpus, 0.1)
        return work / (1.0 + age / self._state.policy.aging_s)

    def is_starved(self, job: Job, now: float) -> bool:
        """Whether no task of the job has started for so long that it gets a turn before all other work."""
        return now - max(job.placed_at, job.created) > self._state.policy.turn_s

    def report(self, now: float, max_jobs: int) -> list[str]:
        """For the log: the jobs that have waited longest and why they wait, and the state of the whole."""
        state = self._state
        waiting = sorted((job for job in state.jobs.values() if job.waiting), key=lambda job: job.created)
        lines = []
        for job in waiting[:max_jobs]:
            reason = "back-off after failed runs" if job.not_before > now else job.why_waiting
            lines.append(
                f"job waiting: job={job.spec.id} team={job.spec.team} tasks={len(job.waiting)} "
                f"age_s={now - job.created:.0f} reason={reason or 'not served yet'}"
            )
        running = sum(len(machine.open) for machine in state.machines.values())
        registered = sum(machine.registered for machine in state.machines.values())
        lines.append(
            f"scheduler: jobs_waiting={len(waiting)} tasks_placed={running} machines={len(state.machines)} "
            f"registered={registered} refusals={state.refusals} balancer_asked={state.balance_asked} "
            f"balancer_tried={state.balance_tried} migrations={state.moves} starts={state.starts}"
        )
        return lines
