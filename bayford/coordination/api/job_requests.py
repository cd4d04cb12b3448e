"""Submissions, queries and cancellations, answered by any controller.

Each is a transaction on the job's own record, or a read that was sent after the request came; so what one
controller has told a user, no other contradicts. What can't be known or written now is answered 503 at once.
"""

import logging
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Protocol

import msgspec

from bayford.coordination.api.admission_gate import AdmissionGate
from bayford.coordination.api.responses import Reply
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import jobs
from bayford.scheduling.model import ARRAY, JobSpec, MachineType
from bayford.scheduling.quota import TeamQuota
from bayford.storage import records
from bayford.storage.key_value_store import (
    KeyValueStore,
    LeaseGoneError,
    OutcomeUnknownError,
    Put,
    Row,
    TooLargeError,
    UnavailableError,
)
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger("bayford.users")

NO_STATE = "the state service does not answer"
READ_TIMEOUT_S = 1.2  # users give up on a query after 2 s
FINAL_RECORD_GROWTH = 64  # bytes that a record may grow by until it is final
SUBMIT_ATTEMPTS = 3
CANCEL_ATTEMPTS = 6


class Deployment(Protocol):
    """What is known of the deployment to judge a submission by."""

    def catalog(self) -> list[MachineType]:
        """The machine types of the cloud; none before they are known."""

    def team_quota(self, team: str) -> TeamQuota | None:
        """The guarantee and limit of a team, None for an unknown one."""


class JobRequests:
    """What users ask of one controller."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        deployment: Deployment,
        limits: StoreLimits,
        wall: Callable[[], float],
        on_cancelled: Callable[[str, float], None],
        gate: AdmissionGate | None = None,
    ) -> None:
        """`on_cancelled` is told of each cancellation confirmed here, and its time of day. Without a `gate`
        everything is admitted."""
        self._gate = gate
        self._store = store
        self._watch_cache = watch_cache
        self._deployment = deployment
        self._limits = limits
        self._wall = wall
        self._on_cancelled = on_cancelled

    def submit(self, body: bytes) -> Reply:
        """Accept a job: durable before the answer."""
        return self._or_unavailable(lambda: self._submit(body))

    def query(self, job_id: str) -> Reply:
        """A job's state, never older than what anybody was told."""
        return self._or_unavailable(lambda: self._query(job_id))

    def cancel(self, job_id: str) -> Reply:
        """Cancel a job: durable before the answer, and never after it was called done."""
        return self._or_unavailable(lambda: self._cancel(job_id))

    @staticmethod
    def _or_unavailable(answer: Callable[[], Reply]) -> Reply:
        try:
            return answer()
        except UnavailableError as bad:
            return Reply(503, jobs.error(str(bad)))

    def _read(self) -> None:
        """Take in a read that is sent from now on."""
        if not self._watch_cache.refresh(READ_TIMEOUT_S):
            raise UnavailableError(NO_STATE)

    def _write(
        self, record: records.Record, version: int, conditions: Mapping[str, int] = MappingProxyType({})
    ) -> bool:
        """Write a user's change of a record that stands at `version`; False if it has changed since, or if
        one of the `conditions` does not hold any more."""
        key = records.key(record.spec.id)
        value = records.fitted(record, self._limits.value_bytes) if record.over else records.encode(record)
        try:
            outcome = self._store.compare_and_swap({key: version, **conditions}, [Put(key, value)])
        except TooLargeError as bad:
            log.error("job %s: %s", record.spec.id, bad)
            raise
        except UnavailableError as bad:
            raise UnavailableError(NO_STATE, bad.refused) from bad
        except (OutcomeUnknownError, LeaseGoneError) as bad:
            raise UnavailableError(NO_STATE) from bad
        if outcome.applied:
            self._watch_cache.apply([Row(key, value, outcome.revision)])
        return outcome.applied

    def _accept(self, record: records.Record, conditions: Mapping[str, int]) -> bool:
        """Write a new job; the gate learns whether the state service keeps up."""
        try:
            applied = self._write(record, 0, conditions)
        except UnavailableError as bad:
            if self._gate is not None and bad.refused:
                self._gate.write_refused()
            raise
        if self._gate is not None:
            self._gate.written()
        return applied

    def _submit(self, body: bytes) -> Reply:
        try:
            spec = jobs.parse_submission(body)
        except jobs.InvalidError as bad:
            return Reply(400, jobs.error(str(bad)))
        for _ in range(SUBMIT_ATTEMPTS):
            self._read()
            known = self._watch_cache.job_state(spec.id)
            if known is not None:
                return Reply(200, jobs.answer(known))
            refusal = self._refusal(spec)
            if refusal is not None:
                return refusal
            record = records.Record(self._without_unknown_types(spec), round(self._wall(), 2))
            size, most = records.size(records.encode(record)) + FINAL_RECORD_GROWTH, self._limits.value_bytes
            too_large = Reply(
                400, jobs.error(f"`$`: the job's description takes {size} bytes, more than {most}")
            )
            if size > most:
                return too_large
            conditions: Mapping[str, int] = {}
            if self._gate is not None:
                verdict = self._gate.check(spec)
                if verdict.refusal is not None:
                    return verdict.refusal
                conditions = verdict.conditions
            try:
                if self._accept(record, conditions):
                    return Reply(201, jobs.answer(records.State(record, 0)))
            except TooLargeError:
                return too_large
        return Reply(503, jobs.error("try again"))

    def _without_unknown_types(self, spec: JobSpec) -> JobSpec:
        """The job without machine types that the cloud does not have, so that no record outgrows a value."""
        if spec.types is None:
            return spec
        known = {kind.name for kind in self._deployment.catalog()}
        return msgspec.structs.replace(spec, types=sorted(known & set(spec.types)))

    def _refusal(self, spec: JobSpec) -> Reply | None:
        """Why the job can't be accepted, or None."""
        types = self._deployment.catalog()
        if not types:
            return Reply(503, jobs.error("machine types are not known yet"))
        share = self._deployment.team_quota(spec.team)
        if share is None:
            return Reply(422, jobs.error(f"unknown team {spec.team}"))
        if not share.could_ever(spec):
            return Reply(422, jobs.error(f"it needs more than the limit of team {spec.team}"))
        zones = _zones_that_fit(spec, types)
        if not zones:
            return Reply(422, jobs.error("a task fits no allowed machine type"))
        if spec.shape != ARRAY and spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones) < 2):
            # An array's tasks may follow one another; these must all be there at a time.
            return Reply(422, jobs.error("its tasks can't be apart: there is one zone for them"))
        return None

    def _query(self, job_id: str) -> Reply:
        found = self._watch_cache.job_state(job_id) if self._watch_cache.has_job(job_id) else None
        # Done and cancelled are final: the watch cache is enough for them.
        if found is None or not found.record.over:
            self._read()
            found = self._watch_cache.job_state(job_id)
        if found is None:
            return Reply(404, jobs.error("no such job"))
        return Reply(200, jobs.answer(found))

    def _cancel(self, job_id: str) -> Reply:
        for _ in range(CANCEL_ATTEMPTS):
            self._read()
            found = self._watch_cache.job_state(job_id)
            if found is None:
                return Reply(404, jobs.error("no such job"))
            if found.record.over:
                return Reply(200, jobs.answer(found))
            now = round(self._wall(), 2)
            changed = msgspec.structs.replace(found.record, cancelled=now, done=found.done)
            if self._write(changed, found.version):
                self._on_cancelled(job_id, now)
                return Reply(200, jobs.answer(records.State(changed, 0, 0, found.done)))
        return Reply(503, jobs.error("the job changes too fast, try again"))


def _zones_that_fit(spec: JobSpec, types: list[MachineType]) -> set[str]:
    """The zones in which a task of the job fits an allowed machine type."""
    zones: set[str] = set()
    for kind in types:
        if (spec.types is None or kind.name in spec.types) and kind.fits(spec):
            zones.update(zone for zone in kind.zones if spec.zone in (None, zone))
    return zones
