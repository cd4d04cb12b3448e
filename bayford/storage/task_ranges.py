"""Sets of task numbers as flat lists of ranges: first, last, first, last, …, both ends included.

The form in which rows of the task log and zone records store tasks. A job's tasks end in runs, so this is
much shorter than a list of all of them.
"""

from collections.abc import Iterable, Iterator


def encode_ranges(tasks: Iterable[int]) -> list[int]:
    """The ranges of these tasks, in ascending order; `tasks` may come in any order, each once."""
    ranges: list[int] = []
    for task in sorted(tasks):
        if ranges and ranges[-1] == task - 1:
            ranges[-1] = task
        else:
            ranges += (task, task)
    return ranges


def decode_ranges(ranges: list[int]) -> Iterator[int]:
    """The tasks in these ranges; ValueError at the end of a list of odd length."""
    for first, last in zip(ranges[::2], ranges[1::2], strict=True):
        yield from range(first, last + 1)
