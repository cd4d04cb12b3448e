"""How many different jobs are submitted at all controllers together, each counted once.

Users repeat what was refused at whichever controller they reach, so attempts say little of demand. Each
controller keeps the jobs whose hash lies below a threshold, which halves when there are too many: a
consistent sample, since all take the same jobs. The leader unites the samples and scales up (a theta sketch).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from bayford.admission.level import REPEAT_S, Flow

HASHES = 1 << 32
MOST_SAMPLED = 1024  # jobs that one controller remembers
FEW = 8  # with fewer the threshold rises again: repeats of jobs that lay above it would pass for new ones
# The leader remembers longer: what a controller has just forgotten may be repeated there a last time, and
# told again for a while.
REMEMBERED_S = 2 * REPEAT_S
RECENT_S = 15.0  # what a controller tells: the leader may miss some of its answers


@dataclass(frozen=True, slots=True)
class Sample:
    """Jobs first submitted lately at one controller, as far as their hashes lie below the threshold."""

    threshold: int
    jobs: Mapping[int, Flow]


def hash_of(job_id: str) -> int:
    """The job's place in every sample."""
    return xxhash.xxh32_intdigest(job_id.encode())


class SubmittedJobs:
    """The sample of one controller."""

    def __init__(self) -> None:
        self._threshold = HASHES
        self._seen: dict[int, tuple[float, Flow]] = {}  # in the order of their times

    def note(self, flow: Flow, job_id: str, now: float) -> None:
        """A job was submitted, for the first time or again."""
        key = hash_of(job_id)
        if key >= self._threshold or key in self._seen:
            return
        self._seen[key] = (now, flow)
        self._forget(now)
        if len(self._seen) > MOST_SAMPLED:
            self._threshold //= 2
            self._seen = {key: entry for key, entry in self._seen.items() if key < self._threshold}

    def _forget(self, now: float) -> None:
        _forget_first(self._seen, now - REPEAT_S)
        if self._threshold < HASHES and len(self._seen) < FEW:
            self._threshold *= 2

    def recent(self, now: float) -> Sample:
        """What to tell the leader."""
        found = {key: flow for key, (at, flow) in self._seen.items() if now - at <= RECENT_S}
        return Sample(self._threshold, found)


class DistinctDemand:
    """The union of all controllers' samples, and the rates that follow from it."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._first: dict[int, tuple[float, Flow]] = {}
        self._thresholds: dict[str, int] = {}

    def merge(self, controller: str, sample: Sample, now: float) -> None:
        """Take in what a controller says. Its first word only says what is no news: it may be old."""
        known = controller in self._thresholds
        self._thresholds[controller] = sample.threshold
        at = now if known else now - self._window_s
        for key, flow in sample.jobs.items():
            self._first.setdefault(key, (at, flow))
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
        for key, (first, flow) in self._first.items():
            if now - first < self._window_s and key < threshold:
                yield flow


def _forget_first(jobs: dict[int, tuple[float, Flow]], until: float) -> None:
    """Drop the jobs at the beginning that came until then: they lie in the order of their times."""
    while jobs:
        key = next(iter(jobs))
        if jobs[key][0] > until:
            return
        del jobs[key]
