"""How many different jobs are submitted at all controllers together, each counted once.

Users submit refused jobs again, at whichever controller they reach, so attempts say little of demand. Each
controller keeps the jobs whose hash lies below a threshold, which halves when there are too many: a
consistent sample, since all keep the same jobs. The leader unites the samples and scales up (a theta sketch).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from bayford.admission.level import REPEAT_S, Flow

HASHES = 1 << 32
MAX_SAMPLED = 1024  # jobs that one controller remembers
# With fewer the threshold rises again; not before, since repeats of jobs above it would then count as new.
MIN_SAMPLED = 8
# The leader remembers longer: a job that a controller has just forgotten may be submitted there a last time,
# and be reported again for a while.
REMEMBERED_S = 2 * REPEAT_S
RECENT_S = 15.0  # age of the jobs that a controller reports: the leader may miss some of its answers


@dataclass(frozen=True, slots=True)
class Sample:
    """Jobs first submitted lately at one controller, as far as their hashes lie below the threshold."""

    threshold: int  # 1 to `HASHES`
    jobs: Mapping[int, Flow]  # by hash


class _Submission(NamedTuple):
    """The first submission of a job that is known."""

    at: float
    flow: Flow


def hash_of(job_id: str) -> int:
    """The hash by which every sample knows the job, below `HASHES`."""
    return xxhash.xxh32_intdigest(job_id.encode())


class SubmittedJobs:
    """The sample of one controller. Not locked: that is for the caller."""

    def __init__(self) -> None:
        self._threshold = HASHES
        self._seen: dict[int, _Submission] = {}  # by hash, in the order of their times

    def note(self, flow: Flow, job_id: str, now: float) -> None:
        """A job was submitted, for the first time or again."""
        key = hash_of(job_id)
        if key >= self._threshold or key in self._seen:
            return
        self._seen[key] = _Submission(now, flow)
        self._forget(now)
        if len(self._seen) > MAX_SAMPLED:
            self._threshold //= 2
            self._seen = {key: first for key, first in self._seen.items() if key < self._threshold}

    def _forget(self, now: float) -> None:
        _forget_first(self._seen, now - REPEAT_S)
        if self._threshold < HASHES and len(self._seen) < MIN_SAMPLED:
            self._threshold *= 2

    def recent(self, now: float) -> Sample:
        """The sample to report to the leader."""
        jobs = {key: first.flow for key, first in self._seen.items() if now - first.at <= RECENT_S}
        return Sample(self._threshold, jobs)


class DistinctDemand:
    """The union of all controllers' samples, and the rates that follow from it. Not locked."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._first: dict[int, _Submission] = {}  # by hash, in the order in which they became known
        self._thresholds: dict[str, int] = {}

    def merge(self, controller: str, sample: Sample, now: float) -> None:
        """Add the jobs that a controller reports.

        Those of its first sample don't count as new: they may have been submitted long ago.
        """
        known = controller in self._thresholds
        self._thresholds[controller] = sample.threshold
        at = now if known else now - self._window_s
        for key, flow in sample.jobs.items():
            self._first.setdefault(key, _Submission(at, flow))
        _forget_first(self._first, now - REMEMBERED_S)

    def rates(self, now: float) -> dict[Flow, float]:
        """New jobs a second of each flow, over the last window."""
        threshold = min(self._thresholds.values(), default=HASHES)
        counts: dict[Flow, int] = {}
        for flow in self._new(now, threshold):
            counts[flow] = counts.get(flow, 0) + 1
        scale = HASHES / threshold / self._window_s
        return {flow: count * scale for flow, count in counts.items()}

    def _new(self, now: float, threshold: int) -> Iterable[Flow]:
        for key, first in self._first.items():
            if now - first.at < self._window_s and key < threshold:
                yield first.flow


def _forget_first(jobs: dict[int, _Submission], until: float) -> None:
    """Drop the jobs submitted up to `until`, from the front: `jobs` lie in the order of their times."""
    while jobs:
        key = next(iter(jobs))
        if jobs[key].at > until:
            return
        del jobs[key]
