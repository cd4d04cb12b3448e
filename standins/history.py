"""Checks on a history of task attempts and on the phases reported to users."""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from standins.workers import AttemptEvent


def tasks_run_concurrently(history: Iterable[AttemptEvent]) -> list[str]:
    """Return the tasks of which an attempt started while another one was running."""
    running: dict[str, tuple[int, str]] = {}
    violations = []
    for event in history:
        attempt = (event.number, event.machine)
        if event.kind == "running":
            if event.task_id in running:
                violations.append(event.task_id)
            running[event.task_id] = attempt
        elif running.get(event.task_id) == attempt:
            del running[event.task_id]
    return violations


def attempts_run_again(history: Iterable[AttemptEvent]) -> list[tuple[str, int, str]]:
    """Return task, number and machine of each attempt that started running more than once."""
    running = Counter(
        (event.task_id, event.number, event.machine) for event in history if event.kind == "running"
    )
    return [attempt for attempt, count in running.items() if count > 1]


def tasks_not_completed_once(history: Iterable[AttemptEvent], task_ids: Iterable[str]) -> list[str]:
    """Return the tasks of `task_ids` that did not complete exactly once."""
    done = Counter(event.task_id for event in history if event.kind == "done")
    return [task_id for task_id in task_ids if done[task_id] != 1]


def tasks_completed_again(history: Iterable[AttemptEvent]) -> list[str]:
    """Return the tasks that completed again while a worker still kept an earlier completed attempt.

    A worker whose lease expires discards its ended attempts; the task may then run again.
    """
    remembered: set[str] = set()
    violations = []
    for event in history:
        if event.kind == "done":
            if event.task_id in remembered:
                violations.append(event.task_id)
            remembered.add(event.task_id)
        elif event.kind == "forgotten":
            remembered.discard(event.task_id)
    return violations


def jobs_with_inconsistent_phase(answers: Mapping[str, Mapping[str, str | None]], final: str) -> list[str]:
    """Return the jobs for which some controller reports a phase other than `final`.

    `answers` maps each job to the phase that each controller reports; a job without any is returned, too.
    """
    return [job for job, phases in answers.items() if not phases or set(phases.values()) != {final}]


def out_of_order(history: Iterable[AttemptEvent], machines: Iterable[str], jobs: Sequence[str]) -> list[str]:
    """Return the jobs that started a task on `machines` before their predecessor in `jobs` had started all.

    A job is also returned if it or its predecessor started no task there. The order of starts is that of the
    attempt numbers, which are assigned in the order of placement.
    """
    on_machines = set(machines)
    numbers: dict[str, list[int]] = {job: [] for job in jobs}
    for event in history:
        job = event.task_id.partition("/")[0]
        if event.machine in on_machines and event.kind == "running" and job in numbers:
            numbers[job].append(event.number)
    violations = []
    for before, after in itertools.pairwise(jobs):
        if not numbers[before] or not numbers[after] or max(numbers[before]) >= min(numbers[after]):
            violations.append(after)
    return violations
