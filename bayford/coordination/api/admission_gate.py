"""Admission at one controller: the leader's level applied to each submission that is not known yet.

Whatever it answers rests on one revision of the watch cache, read after the submission came. What it admits
is conditional on the level's version, so that it stands under the level in force when it is written.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bayford.admission import features
from bayford.admission.choice import decide
from bayford.admission.distinct import Sample, SubmittedJobs
from bayford.admission.level import OTHER_CLASS, Flow, Level, UnreadableLevelError, decode
from bayford.coordination.api.acceptance_rate import AcceptanceRateLimiter
from bayford.coordination.api.responses import Reply
from bayford.protocol import jobs
from bayford.scheduling.model import URGENT, JobSpec
from bayford.storage import records
from bayford.storage.key_value_store import Row
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger("bayford.admission")

# When a submission comes back that is admitted, but not within the pace.
URGENT_PACED_RETRY_S, PACED_RETRY_S = 1, 5
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of a submission: a refusal, or the conditions under which it may be written."""

    refusal: Reply | None
    conditions: dict[str, int]


@dataclass(frozen=True, slots=True)
class LevelView:
    """The level as of one revision of the watch cache."""

    level: Level | None  # None: there is none, or none that can be read
    version: int  # of its key, 0 if there is none
    lacking: tuple[str, ...]  # controllers that don't keep to it: it is not in force
    controllers: int  # that live

    @property
    def in_force(self) -> Level | None:
        """The level to keep to, None to admit everything."""
        return None if self.lacking else self.level


class AdmissionGate:
    """The choice at this controller, its part of the pace, and the count of what was submitted here."""

    def __init__(
        self, watch_cache: WatchCache, classes: Iterable[str], write_rps: float, clock: Callable[[], float]
    ) -> None:
        """`classes`: those that the deployment names; all others count as one. `write_rps`: changes a second
        that the state service takes."""
        self._watch_cache = watch_cache
        self._classes = frozenset(classes)
        self._clock = clock
        self._lock = threading.Lock()
        self._decoded: tuple[int, Level | None] = (0, None)  # version, and what was found there
        self._lacking: tuple[str, ...] = ()
        self._pace = AcceptanceRateLimiter(write_rps, clock)
        self._submitted = SubmittedJobs()
        self._refused = 0

    def flow(self, spec: JobSpec) -> Flow:
        """The flow that a job belongs to."""
        job_class = spec.job_class if spec.job_class in self._classes else OTHER_CLASS
        return Flow(spec.priority, job_class, spec.team)

    def check(self, spec: JobSpec) -> Verdict:
        """Decide on a valid submission of a job that the watch cache, just read, does not know."""
        flow = self.flow(spec)
        with self._lock:
            self._submitted.note(flow, spec.id, self._clock())
        view = self.view()
        conditions = {records.ADMISSION: view.version}
        level = view.in_force
        decision = decide(level, flow, spec.id)
        if level is not None and not decision.admitted:
            with self._lock:
                self._refused += 1
            return Verdict(_refusal(flow, level, view.version, decision.retry_after_s), conditions)
        allowed = None
        if level is not None and level.accept_rps:
            allowed = level.accept_rps / max(1, view.controllers)
        urgent = spec.priority >= URGENT
        with self._lock:
            within_pace = self._pace.take(urgent, allowed)
        if within_pace:
            return Verdict(None, conditions)
        text = "more submissions are admitted than can be written in a second"
        retry_after_s = URGENT_PACED_RETRY_S if urgent else PACED_RETRY_S
        return Verdict(Reply(SERVICE_UNAVAILABLE, jobs.error(text), retry_after_s), conditions)

    def written(self) -> None:
        """The state service has taken an acceptance."""
        with self._lock:
            self._pace.written()

    def write_refused(self) -> None:
        """The state service has refused one."""
        with self._lock:
            self._pace.refused()

    def view(self) -> LevelView:
        """The level and the controllers, as of one revision."""
        row, (members, told) = self._watch_cache.read_together(
            records.ADMISSION, (records.MEMBERS, records.FEATURES)
        )
        missing = tuple(features.lacking(members, told))
        level = None if row is None else self._decode(row)
        if missing != self._lacking:
            self._lacking = missing
            if missing and level is not None and not level.is_open:
                log.info("the admission level is not in force: %s keep to none", ", ".join(missing))
        return LevelView(level, 0 if row is None else row.version, missing, len(members))

    def _decode(self, row: Row) -> Level | None:
        with self._lock:
            if self._decoded[0] == row.version:
                return self._decoded[1]
            try:
                level = decode(row.value)
            except UnreadableLevelError as bad:
                log.error("%s: %s; everything is admitted", row.key, bad)
                level = None
            self._decoded = (row.version, level)
            return level

    def submitted(self) -> Sample:
        """The jobs submitted here lately, for the leader."""
        with self._lock:
            return self._submitted.recent(self._clock())

    def refused(self) -> int:
        """How many submissions were refused for the level since the start."""
        with self._lock:
            return self._refused


def _refusal(flow: Flow, level: Level, revision: int, retry_after_s: int) -> Reply:
    body = jobs.refusal(flow.job_class, flow.team, level.reason, level.number, revision)
    return Reply(TOO_MANY_REQUESTS, body, retry_after_s)
