"""The order in which waiting jobs are scheduled."""

import math
from dataclasses import dataclass

from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import GANG, URGENT, Job
from bayford.scheduling.resources import EPS


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A job's position in the order of service. Entries are served in ascending order of `order`."""

    order: tuple[float, ...]
    job: Job
    count: int  # maximum number of its tasks to place at this position


class SchedulingQueue:
    """Computes the order of service. The caller must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def in_order(self, now: float, with_turns: bool = True) -> list[QueueEntry]:
        """Return the jobs with waiting tasks in the order of service. If `with_turns` is false, starved jobs
        get no turns.

        Urgent jobs come first, then jobs within their team's guarantee, then other jobs of teams that use
        less than their guarantee, then the rest. Each of these groups is ordered by priority. Among jobs of
        equal priority, those with a deadline or a completion target come first, ordered by remaining work
        weighted against waiting time, so that many jobs finish early. Jobs without either follow, the longest
        tasks first.

        With this order alone, a large low-priority array could starve while other jobs keep arriving. So each
        job that has started no task for `turn_s` gets a turn: a small share of its tasks is served before
        everything else, and the tasks started on a turn are not preempted. A job therefore starts at least
        `turn_share` of its tasks every `turn_s`, plus the time until capacity is next released.
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
                job.waiting_reason = "team limit"
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
        """Return how many waiting tasks of the job may start now under its team's limit."""
        headroom = self._state.quotas[job.team].headroom(job.spec)
        if job.spec.shape == GANG and (job.open or headroom < len(job.waiting)):
            return 0  # the tasks of a gang start all together or not at all
        return min(headroom, len(job.waiting))

    def _urgent_entry(self, job: Job, count: int, now: float) -> QueueEntry:
        return QueueEntry((0.0, 0.0, -float(job.spec.priority), self._rank(job, now)), job, count)

    def _ordinary_entries(
        self, job: Job, count: int, within_guarantee: set[str], now: float
    ) -> list[QueueEntry]:
        """Return the entries of a job that is not urgent: its regular one and, if the job is older than
        `guarantee_wait_s`, an earlier one for its tasks within the team's unmet guarantee."""
        entries = []
        policy = self._state.policy
        age_s = now - job.created
        unmet_guarantee = min(count, self._state.quotas[job.team].unmet_guarantee(job.spec))
        if unmet_guarantee and age_s > policy.guarantee_wait_s:
            entries.append(QueueEntry((1.0, 0.0, 0.0, -age_s), job, unmet_guarantee))
        guarantee_rank = 1.0
        if policy.guarantee_first and unmet_guarantee:
            guarantee_rank = 0.0 if job.spec.id in within_guarantee else 0.5
        # Without an objective for individual jobs, the longest tasks go first: if they started last, they
        # would still be running when everything else has finished.
        has_no_objective = self._state.due_s(job) is None
        rank = -self._state.expected_run_s(job) if has_no_objective else self._rank(job, now)
        order = (2.0, guarantee_rank, -float(job.spec.priority), float(has_no_objective), rank)
        entries.append(QueueEntry(order, job, count))
        return entries

    def jobs_within_guarantee(self) -> set[str]:
        """Return the ids of the jobs that need not wait for other teams: each fits into its team's guarantee
        together with the team's earlier unfinished jobs. Other jobs of a team that uses less than its
        guarantee are served after them."""
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
        """Return the job's remaining work, scaled down as the job ages, so that small jobs go first and no
        job stays last forever. The remaining work of a service is its number of missing replicas."""
        age_s = now - job.created
        if job.is_service:
            return len(job.waiting) / (1.0 + age_s / self._state.policy.aging_s)
        run_s = self._state.expected_run_s(job)
        work = (len(job.waiting) + 0.5 * len(job.open)) * run_s * max(job.spec.cpus, 0.1)
        return work / (1.0 + age_s / self._state.policy.aging_s)

    def is_starved(self, job: Job, now: float) -> bool:
        """Return whether no task of the job has been placed for longer than `turn_s`, so that the job gets a
        turn before all other work."""
        return now - max(job.placed_at, job.created) > self._state.policy.turn_s

    def report(self, now: float, max_jobs: int) -> list[str]:
        """Return log lines: the longest-waiting jobs, at most `max_jobs`, with the reasons why they wait, and
        totals of the scheduler."""
        state = self._state
        waiting = sorted((job for job in state.jobs.values() if job.waiting), key=lambda job: job.created)
        lines = []
        for job in waiting[:max_jobs]:
            reason = "back-off after failed runs" if job.not_before > now else job.waiting_reason
            lines.append(
                f"job waiting: job={job.spec.id} team={job.spec.team} tasks={len(job.waiting)} "
                f"age_s={now - job.created:.0f} reason={reason or 'not served yet'}"
            )
        running = sum(len(machine.open) for machine in state.machines.values())
        registered = sum(machine.registered for machine in state.machines.values())
        lines.append(
            f"scheduler: jobs_waiting={len(waiting)} tasks_placed={running} machines={len(state.machines)} "
            f"registered={registered} refusals={state.refusals} balancer_asked={state.balancing_rounds} "
            f"balancer_tried={state.balancing_jobs} migrations={state.migrations} starts={state.starts} "
            f"deferred_commands={state.deferred_commands}"
        )
        return lines
