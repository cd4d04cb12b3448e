"""Applies the leader's admission level to each submission of a new job at one controller.

Each decision uses a single revision of the watch cache, read after the submission arrived. The write of an
admitted job is conditional on the version of the level, so it succeeds only while that level is still
current.

Imported only if admission is on.
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

# Retry-After of a submission that the level admits but that exceeds the rate of acceptances, in seconds.
URGENT_RATE_LIMITED_RETRY_S, RATE_LIMITED_RETRY_S = 1, 5
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a submission: a refusal, or the conditions of the write that accepts it."""

    refusal: Reply | None
    conditions: dict[str, int]  # by key: the version that the transaction requires


@dataclass(frozen=True, slots=True)
class LevelView:
    """The admission level and the live controllers, at one revision of the watch cache."""

    level: Level | None  # None: no level is stored, or it is unreadable
    version: int  # version of the level's key, 0 if no level is stored
    lacking: tuple[str, ...]  # live controllers that don't apply levels; if any, the level is not in force
    controllers: int  # number of live controllers

    @property
    def in_force(self) -> Level | None:
        """Returns the level to apply, None if everything is admitted."""
        return None if self.lacking else self.level


class AdmissionGate:
    """Decides on the submissions at this controller, limits its acceptances to its share of the level's rate,
    and samples the jobs submitted to it.

    Called by any thread; `flow` also under the lock of the leader's state.
    """

    def __init__(
        self, watch_cache: WatchCache, classes: Iterable[str], write_rps: float, clock: Callable[[], float]
    ) -> None:
        """`classes`: the job classes that the deployment's settings name; all others count as one class.
        `write_rps`: writes per second that the key-value store allows."""
        self._watch_cache = watch_cache
        self._classes = frozenset(classes)
        self._clock = clock
        self._lock = threading.Lock()  # guards all below except `_lacking`, which only triggers a log line
        self._decoded_version = 0
        self._decoded: Level | None = None  # the level at `_decoded_version`
        self._lacking: tuple[str, ...] = ()
        self._rate_limiter = AcceptanceRateLimiter(write_rps, clock)
        self._submitted = SubmittedJobs()
        self._refused = 0

    def flow(self, spec: JobSpec) -> Flow:
        """Returns the flow that a job belongs to."""
        job_class = spec.job_class if spec.job_class in self._classes else OTHER_CLASS
        return Flow(spec.priority, job_class, spec.team)

    def check(self, spec: JobSpec) -> Verdict:
        """Decide on a valid submission of a job that is not in the watch cache, which was just refreshed."""
        flow = self.flow(spec)
        with self._lock:
            self._submitted.record_submission(flow, spec.id, self._clock())
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
        is_urgent = spec.priority >= URGENT
        with self._lock:
            is_within_rate = self._rate_limiter.take(is_urgent, level_rate)
        if is_within_rate:
            return Verdict(None, conditions)
        text = "more submissions are admitted than can be written in a second"
        retry_after_s = URGENT_RATE_LIMITED_RETRY_S if is_urgent else RATE_LIMITED_RETRY_S
        return Verdict(Reply(SERVICE_UNAVAILABLE, jobs.encode_error(text), retry_after_s), conditions)

    def on_written(self) -> None:
        """Record that the key-value store has executed the transaction of an acceptance."""
        with self._lock:
            self._rate_limiter.on_written()

    def on_write_refused(self) -> None:
        """Record that the key-value store has refused the transaction of an acceptance."""
        with self._lock:
            self._rate_limiter.on_refused()

    def view(self) -> LevelView:
        """Returns the level and the live controllers, at one revision of the watch cache."""
        row, (members, stated_features) = self._watch_cache.read_atomically(
            records.ADMISSION, (records.MEMBERS, records.FEATURES)
        )
        lacking = tuple(features.controllers_without_admission(members, stated_features))
        level = None if row is None else self._decode(row)
        if lacking != self._lacking:
            self._lacking = lacking
            if lacking and level is not None and not level.is_open:
                log.info("admission level not in force: lacking=%s", ",".join(lacking))
        return LevelView(level, 0 if row is None else row.version, lacking, len(members))

    def _decode(self, row: Row) -> Level | None:
        """Returns the level stored in the row, None if it is unreadable. Each version is decoded once."""
        with self._lock:
            if self._decoded_version != row.version:
                self._decoded = _decode_or_log(row)
                self._decoded_version = row.version
            return self._decoded

    def submission_sample(self) -> Sample:
        """Returns a sample of the jobs recently submitted to this controller, for the leader."""
        with self._lock:
            return self._submitted.recent_sample(self._clock())

    def refusal_count(self) -> int:
        """Returns how many submissions the level has refused since this controller started."""
        with self._lock:
            return self._refused


def _decode_or_log(row: Row) -> Level | None:
    try:
        return decode(row.value)
    except UnreadableLevelError as error:
        log.error("admission level unreadable, everything is admitted: key=%s error=%s", row.key, error)
        return None


def _refusal(flow: Flow, level: Level, revision: int, retry_after_s: int) -> Reply:
    body = jobs.encode_refusal(flow.job_class, flow.team, level.reason, level.number, revision)
    return Reply(TOO_MANY_REQUESTS, body, retry_after_s)
