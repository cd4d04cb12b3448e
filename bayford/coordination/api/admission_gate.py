"""Admission at one controller: the leader's level applied to each submission that is not known yet.

Each answer rests on one revision of the watch cache, read after the submission came. An admission is
conditional on the level's version, so that it holds under the level in force when it is written.

Imported only where admission is on.
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

log = logging.getLogger(__name__)

# When to submit again a job that is admitted but exceeds the rate of acceptances.
URGENT_PACED_RETRY_S, PACED_RETRY_S = 1, 5
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a submission: a refusal, or the conditions under which it may be written."""

    refusal: Reply | None
    conditions: dict[str, int]  # versions that keys have to stand at


@dataclass(frozen=True, slots=True)
class LevelView:
    """The level as of one revision of the watch cache."""

    level: Level | None  # None: there is none, or none that can be read
    version: int  # of its key, 0 if there is none
    lacking: tuple[str, ...]  # live controllers that don't keep to levels: this one is not in force
    controllers: int  # how many live

    @property
    def in_force(self) -> Level | None:
        """The level to keep to, None to admit everything."""
        return None if self.lacking else self.level


class AdmissionGate:
    """The decisions at this controller, its part of the pace, and the sample of what was submitted here.

    Called by any thread; `flow` also under the lock of the leader's state.
    """

    def __init__(
        self, watch_cache: WatchCache, classes: Iterable[str], write_rps: float, clock: Callable[[], float]
    ) -> None:
        """`classes`: those that the deployment names; all others count as one. `write_rps`: changes a second
        that the state service allows."""
        self._watch_cache = watch_cache
        self._classes = frozenset(classes)
        self._clock = clock
        self._lock = threading.Lock()  # guards all below but `_lacking`, which only decides on a log line
        self._decoded_version = 0
        self._decoded: Level | None = None  # the level at that version
        self._lacking: tuple[str, ...] = ()
        self._rate_limiter = AcceptanceRateLimiter(write_rps, clock)
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
        level_rate = None
        if level is not None and level.accept_rps:
            level_rate = level.accept_rps / max(1, view.controllers)
        urgent = spec.priority >= URGENT
        with self._lock:
            within_rate = self._rate_limiter.take(urgent, level_rate)
        if within_rate:
            return Verdict(None, conditions)
        text = "more submissions are admitted than can be written in a second"
        retry_after_s = URGENT_PACED_RETRY_S if urgent else PACED_RETRY_S
        return Verdict(Reply(SERVICE_UNAVAILABLE, jobs.error(text), retry_after_s), conditions)

    def written(self) -> None:
        """The state service has written an acceptance."""
        with self._lock:
            self._rate_limiter.written()

    def write_refused(self) -> None:
        """The state service has refused an acceptance."""
        with self._lock:
            self._rate_limiter.refused()

    def view(self) -> LevelView:
        """The level and the controllers, as of one revision."""
        row, (members, stated_features) = self._watch_cache.read_together(
            records.ADMISSION, (records.MEMBERS, records.FEATURES)
        )
        lacking = tuple(features.lacking(members, stated_features))
        level = None if row is None else self._decode(row)
        if lacking != self._lacking:
            self._lacking = lacking
            if lacking and level is not None and not level.is_open:
                log.info("admission level not in force: lacking=%s", ",".join(lacking))
        return LevelView(level, 0 if row is None else row.version, lacking, len(members))

    def _decode(self, row: Row) -> Level | None:
        """The level of the row, None if it can't be read. Each version is decoded once."""
        with self._lock:
            if self._decoded_version != row.version:
                self._decoded = _decode_or_log(row)
                self._decoded_version = row.version
            return self._decoded

    def submitted(self) -> Sample:
        """The sample of the jobs submitted here lately, for the leader."""
        with self._lock:
            return self._submitted.recent(self._clock())

    def refused(self) -> int:
        """How many submissions the level has refused since the start."""
        with self._lock:
            return self._refused


def _decode_or_log(row: Row) -> Level | None:
    try:
        return decode(row.value)
    except UnreadableLevelError as error:
        log.error("admission level unreadable, everything is admitted: key=%s error=%s", row.key, error)
        return None


def _refusal(flow: Flow, level: Level, revision: int, retry_after_s: int) -> Reply:
    body = jobs.refusal(flow.job_class, flow.team, level.reason, level.number, revision)
    return Reply(TOO_MANY_REQUESTS, body, retry_after_s)
