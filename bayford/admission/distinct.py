"""Estimates the rate of distinct jobs submitted at all controllers together (a theta sketch).

Users submit refused jobs again, at any controller, so the number of submissions is no measure of demand.
Each controller keeps the jobs whose hash is below a threshold, and halves the threshold when there are too
many. The samples are consistent, since all controllers select by the same hash. The leader merges the
samples and scales the count up by the threshold.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from bayford.admission.level import REPEAT_S, Flow

HASHES = 1 << 32
MAX_SAMPLED = 1024  # jobs that one controller keeps
# With fewer jobs the threshold is doubled. Doubling it earlier would count repeated submissions of jobs above
# the old threshold as new jobs.
MIN_SAMPLED = 8
# The leader keeps jobs longer than the controllers: a job that a controller has just dropped may be submitted
# there one last time and be reported again for up to `MAX_REPORTED_AGE_S`.
LEADER_RETENTION_S = 2 * REPEAT_S
MAX_REPORTED_AGE_S = 15.0  # a job is reported for this time, as the leader may miss some answers


@dataclass(frozen=True, slots=True)
class Sample:
    """The jobs first submitted recently at one controller whose hashes are below the threshold."""

    threshold: int  # 1 to `HASHES`
    jobs: Mapping[int, Flow]  # by job hash


class _Submission(NamedTuple):
    """The first known submission of a job."""

    at: float
    flow: Flow


def hash_of(job_id: str) -> int:
    """Returns the hash that identifies the job in all samples, below `HASHES`."""
    return xxhash.xxh32_intdigest(job_id.encode())


class SubmittedJobs:
    """The jobs submitted at one controller, sampled. Not thread-safe: the caller must lock."""

    def __init__(self) -> None:
        self._threshold = HASHES
        self._submissions: dict[int, _Submission] = {}  # by job hash, in order of time

    def record_submission(self, flow: Flow, job_id: str, now: float) -> None:
        """Record a submission of a job, whether the first or a repeated one."""
        key = hash_of(job_id)
        if key >= self._threshold or key in self._submissions:
            return
        self._submissions[key] = _Submission(now, flow)
        self._expire(now)
        if len(self._submissions) > MAX_SAMPLED:
            self._threshold //= 2
            self._submissions = {
                key: first for key, first in self._submissions.items() if key < self._threshold
            }

    def _expire(self, now: float) -> None:
        _drop_until(self._submissions, now - REPEAT_S)
        if self._threshold < HASHES and len(self._submissions) < MIN_SAMPLED:
            self._threshold *= 2

    def recent_sample(self, now: float) -> Sample:
        """Returns the sample to report to the leader."""
        jobs = {
            key: first.flow
            for key, first in self._submissions.items()
            if now - first.at <= MAX_REPORTED_AGE_S
        }
        return Sample(self._threshold, jobs)


class DistinctDemand:
    """The union of all controllers' samples, and the rates estimated from it. Not thread-safe."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._first_submissions: dict[int, _Submission] = {}  # by job hash, oldest first
        self._thresholds: dict[str, int] = {}

    def merge(self, controller: str, sample: Sample, now: float) -> None:
        """Add the jobs that a controller reports.

        Jobs of a controller's first sample don't count as new, since they may have been submitted long ago.
        """
        is_known = controller in self._thresholds
        self._thresholds[controller] = sample.threshold
        at = now if is_known else now - self._window_s
        for key, flow in sample.jobs.items():
            self._first_submissions.setdefault(key, _Submission(at, flow))
        _drop_until(self._first_submissions, now - LEADER_RETENTION_S)

    def rates(self, now: float) -> dict[Flow, float]:
        """Returns the new jobs per second of each flow, over the last `window_s` seconds."""
        threshold = min(self._thresholds.values(), default=HASHES)
        counts: dict[Flow, int] = {}
        for flow in self._new_job_flows(now, threshold):
            counts[flow] = counts.get(flow, 0) + 1
        scale = HASHES / threshold / self._window_s
        return {flow: count * scale for flow, count in counts.items()}

    def _new_job_flows(self, now: float, threshold: int) -> Iterable[Flow]:
        for key, first in self._first_submissions.items():
            if now - first.at < self._window_s and key < threshold:
                yield first.flow


def _drop_until(jobs: dict[int, _Submission], until: float) -> None:
    """Drop the submissions at or before the time `until`. `jobs` must be in order of time."""
    while jobs:
        key = next(iter(jobs))
        if jobs[key].at > until:
            return
        del jobs[key]
