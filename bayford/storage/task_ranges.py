"""Sets of task numbers as flat lists of ranges: first, last, first, last, …, both ends inclusive.

Rows of the task log and zone records store tasks in this form. Consecutive tasks of a job tend to end
together, so it is much shorter than a list of all of them.
"""

from collections.abc import Iterable, Iterator


def encode_ranges(tasks: Iterable[int]) -> list[int]:
    """Return the ranges of `tasks`, in ascending order; `tasks` may be unordered but has each task once."""
    ranges: list[int] = []
    for task in sorted(tasks):
        if ranges and ranges[-1] == task - 1:
            ranges[-1] = task
        else:
            ranges += (task, task)
    return ranges


def decode_ranges(ranges: list[int]) -> Iterator[int]:
    """Yield the tasks in the ranges. Raises ValueError at the end if the list has an odd length."""
    for first, last in zip(ranges[::2], ranges[1::2], strict=True):
        yield from range(first, last + 1)
