"""Answers users' submissions, queries and cancellations on any controller.

Each request is either a transaction on the job's own record or is answered from a read that was sent after
the request arrived, so no controller contradicts an earlier answer of another one. If the key-value store
can't be read or written now, the answer is 503 at once.
"""

import logging
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Protocol

import msgspec

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

if TYPE_CHECKING:  # the libraries that admission needs are not imported while admission is off
    from bayford.coordination.api.admission_gate import AdmissionGate

log = logging.getLogger(__name__)

STORE_UNAVAILABLE = "the state service does not answer"
READ_TIMEOUT_S = 1.2  # users give up on a query after 2 s
FINAL_RECORD_GROWTH_BYTES = 64  # maximum growth of a record until the job has ended
# Attempts of a transaction, if other writers change the same record at the same time.
SUBMIT_ATTEMPTS = 3
CANCEL_ATTEMPTS = 6
NO_CONDITIONS: Mapping[str, int] = MappingProxyType({})


class Deployment(Protocol):
    """The facts about the deployment that submissions are validated against. Called by any thread."""

    def catalog(self) -> list[MachineType]:
        """Returns the machine types of the cloud, an empty list until they are known."""

    def team_quota(self, team: str) -> TeamQuota | None:
        """Returns the guarantee and limit of a team, None if the team is unknown."""


class JobRequests:
    """Handles user requests at one controller. Called by any thread; has no lock and no mutable state."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        deployment: Deployment,
        limits: StoreLimits,
        wall: Callable[[], float],
        on_cancelled: Callable[[str, float], None],
        gate: "AdmissionGate | None" = None,
    ) -> None:
        """`wall`: the wall clock, in seconds. `on_cancelled`: called with the id of each job whose
        cancellation this controller has confirmed, and the wall-clock time of the cancellation. Without a
        `gate` every valid submission is admitted."""
        self._gate = gate
        self._store = store
        self._watch_cache = watch_cache
        self._deployment = deployment
        self._limits = limits
        self._wall = wall
        self._on_cancelled = on_cancelled

    def submit(self, body: bytes) -> Reply:
        """Accept a job, durably before the answer. For an existing job id, answer the state of that job."""
        return self._answer_or_unavailable(lambda: self._submit(body))

    def query(self, job_id: str) -> Reply:
        """Answer a job's state, never older than a state that any controller has answered before."""
        return self._answer_or_unavailable(lambda: self._query(job_id))

    def cancel(self, job_id: str) -> Reply:
        """Cancel a job, durably before the answer. A job that was answered as done is never cancelled."""
        return self._answer_or_unavailable(lambda: self._cancel(job_id))

    @staticmethod
    def _answer_or_unavailable(answer: Callable[[], Reply]) -> Reply:
        try:
            return answer()
        except UnavailableError as error:
            return Reply(503, jobs.encode_error(str(error)))

    def _refresh_cache(self) -> None:
        """Bring the watch cache up to date with a read of the store that is sent after this call.

        UnavailableError: the store did not answer within `READ_TIMEOUT_S`.
        """
        if not self._watch_cache.refresh(READ_TIMEOUT_S):
            raise UnavailableError(STORE_UNAVAILABLE)

    def _write(
        self, record: records.Record, version: int, conditions: Mapping[str, int] = NO_CONDITIONS
    ) -> bool:
        """Write a user's change to a record by compare-and-swap; `version` 0: the record must not exist yet.

        Returns False if the record is no longer at `version`, or if one of the `conditions` (versions of
        other keys) does not hold. TooLargeError: the record exceeds the size limit of a value.
        UnavailableError: the record was not written, or the outcome is unknown.
        """
        key = records.job_key(record.spec.id)
        value = (
            records.encode_within(record, self._limits.value_bytes)
            if record.is_final
            else records.encode(record)
        )
        try:
            outcome = self._store.compare_and_swap({key: version, **conditions}, [Put(key, value)])
        except TooLargeError as error:
            log.error("job record too large: job=%s error=%s", record.spec.id, error)
            raise
        except UnavailableError as error:
            raise UnavailableError(STORE_UNAVAILABLE, error.refused) from error
        except (OutcomeUnknownError, LeaseGoneError) as error:
            raise UnavailableError(STORE_UNAVAILABLE) from error
        if outcome.applied:
            self._watch_cache.apply([Row(key, value, outcome.revision)])
        return outcome.applied

    def _accept(self, record: records.Record, conditions: Mapping[str, int]) -> bool:
        """Write the record of a new job, and report to the gate whether the store accepted or refused it.

        Returns and raises as `_write` does.
        """
        try:
            applied = self._write(record, 0, conditions)
        except UnavailableError as error:
            if self._gate is not None and error.refused:
                self._gate.on_write_refused()
            raise
        if self._gate is not None:
            self._gate.on_written()
        return applied

    def _submit(self, body: bytes) -> Reply:
        try:
            spec = jobs.parse_submission(body)
        except jobs.InvalidError as error:
            return Reply(400, jobs.encode_error(str(error)))
        for _ in range(SUBMIT_ATTEMPTS):
            reply = self._submit_once(spec)
            if reply is not None:
                return reply
        return Reply(503, jobs.encode_error("try again"))

    def _submit_once(self, spec: JobSpec) -> Reply | None:
        """Make one attempt. Returns None if the record or the admission level changed after it was read."""
        self._refresh_cache()
        known = self._watch_cache.job_state(spec.id)
        if known is not None:
            return Reply(200, jobs.encode_job_status(known))
        refusal = self._refusal(spec)
        if refusal is not None:
            return refusal
        record = records.Record(self._without_unknown_types(spec), round(self._wall(), 2))
        size = records.encoded_size(records.encode(record)) + FINAL_RECORD_GROWTH_BYTES
        max_size = self._limits.value_bytes
        if size > max_size:
            return _too_large(size, max_size)
        conditions = NO_CONDITIONS
        if self._gate is not None:
            verdict = self._gate.check(spec)
            if verdict.refusal is not None:
                return verdict.refusal
            conditions = verdict.conditions
        try:
            accepted = self._accept(record, conditions)
        except TooLargeError:
            return _too_large(size, max_size)
        return Reply(201, jobs.encode_job_status(records.JobState(record, 0))) if accepted else None

    def _without_unknown_types(self, spec: JobSpec) -> JobSpec:
        """Returns the job without machine types that the cloud does not have.

        Dropping them keeps the record within the size limit of a value, however many the submission lists.
        """
        if spec.types is None:
            return spec
        known_types = {machine_type.name for machine_type in self._deployment.catalog()}
        return msgspec.structs.replace(spec, types=sorted(known_types & set(spec.types)))

    def _refusal(self, spec: JobSpec) -> Reply | None:
        """Returns the answer to a job that this deployment can't accept, None if it can accept the job."""
        types = self._deployment.catalog()
        if not types:
            return Reply(503, jobs.encode_error("machine types are not known yet"))
        quota = self._deployment.team_quota(spec.team)
        if quota is None:
            return Reply(422, jobs.encode_error(f"unknown team {spec.team}"))
        if not quota.can_ever_fit(spec):
            return Reply(422, jobs.encode_error(f"it needs more than the limit of team {spec.team}"))
        zones = _zones_that_fit(spec, types)
        if not zones:
            return Reply(422, jobs.encode_error("a task fits no allowed machine type"))
        if spec.shape != ARRAY and spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones) < 2):
            # The tasks of an array may run one after another, but those of a gang or a service run together.
            return Reply(422, jobs.encode_error("its tasks can't be apart: there is one zone for them"))
        return None

    def _query(self, job_id: str) -> Reply:
        state = self._watch_cache.job_state(job_id) if self._watch_cache.has_job(job_id) else None
        # Done and cancelled are final states: for them the watch cache suffices, without a read of the store.
        if state is None or not state.record.is_final:
            self._refresh_cache()
            state = self._watch_cache.job_state(job_id)
        if state is None:
            return Reply(404, jobs.encode_error("no such job"))
        return Reply(200, jobs.encode_job_status(state))

    def _cancel(self, job_id: str) -> Reply:
        for _ in range(CANCEL_ATTEMPTS):
            self._refresh_cache()
            state = self._watch_cache.job_state(job_id)
            if state is None:
                return Reply(404, jobs.encode_error("no such job"))
            if state.record.is_final:
                return Reply(200, jobs.encode_job_status(state))
            cancelled_at = round(self._wall(), 2)
            cancelled = msgspec.structs.replace(state.record, cancelled=cancelled_at, done=state.done)
            if self._write(cancelled, state.version):
                self._on_cancelled(job_id, cancelled_at)
                return Reply(200, jobs.encode_job_status(records.JobState(cancelled, 0, 0, state.done)))
        return Reply(503, jobs.encode_error("the job changes too fast, try again"))


def _too_large(size: int, max_size: int) -> Reply:
    """Returns the answer to a job whose record may grow to `size` bytes until the job has ended."""
    return Reply(
        400, jobs.encode_error(f"`$`: the job's description takes {size} bytes, more than {max_size}")
    )


def _zones_that_fit(spec: JobSpec, types: list[MachineType]) -> set[str]:
    """Returns the zones that have an allowed machine type which a task of the job fits."""
    zones: set[str] = set()
    for machine_type in types:
        if (spec.types is None or machine_type.name in spec.types) and machine_type.fits(spec):
            zones.update(zone for zone in machine_type.zones if spec.zone in (None, zone))
    return zones
