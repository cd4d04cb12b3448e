"""Checks of a history of what ran, and of what users were told."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from standins.workers import Event


def ran_twice(history: Iterable[Event]) -> list[str]:
    """Tasks that began to run while an attempt of them ran."""
    running: dict[str, tuple[int, str]] = {}
    out = []
    for event in history:
        attempt = (event.number, event.machine)
        if event.what == "running":
            if event.task_id in running:
                out.append(event.task_id)
            running[event.task_id] = attempt
        elif running.get(event.task_id) == attempt:
            del running[event.task_id]
    return out


def not_done_once(history: Iterable[Event], parts: Iterable[str]) -> list[str]:
    """Of these tasks the ones that did not complete, or completed more than once."""
    done = Counter(event.task_id for event in history if event.what == "done")
    return [task_id for task_id in parts if done[task_id] != 1]


def done_again(history: Iterable[Event]) -> list[str]:
    """Tasks that completed although an attempt of them had, and its machine had not forgotten that: a worker
    whose lease ends forgets what had ended there, and the task may run once more."""
    kept: set[str] = set()
    out = []
    for event in history:
        if event.what == "done":
            if event.task_id in kept:
                out.append(event.task_id)
            kept.add(event.task_id)
        elif event.what == "forgotten":
            kept.discard(event.task_id)
    return out


def without_one_answer(answers: Mapping[str, Mapping[str, str | None]], final: str) -> list[str]:
    """Jobs of which not every controller gives this one final answer. `answers`: by job and controller."""
    return [job for job, told in answers.items() if not told or set(told.values()) != {final}]


def out_of_order(history: Iterable[Event], machines: Iterable[str], jobs: Sequence[str]) -> list[str]:
    """Jobs of which a task was placed on these machines before one of the job that comes before it there.

    Attempts are numbered in the order in which they are placed.
    """
    there = set(machines)
    numbers: dict[str, list[int]] = {job: [] for job in jobs}
    for event in history:
        job = event.task_id.partition("/")[0]
        if event.machine in there and event.what == "running" and job in numbers:
            numbers[job].append(event.number)
    out = []
    for before, after in zip(jobs, jobs[1:], strict=False):
        if not numbers[before] or not numbers[after] or max(numbers[before]) >= min(numbers[after]):
            out.append(after)
    return out
