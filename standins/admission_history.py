"""Checks on admission: the changes of the key-value store against the responses to submissions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bayford.admission import features
from bayford.admission.choice import decide
from bayford.admission.level import Flow, Level, UnreadableLevelError, decode
from bayford.storage import records
from bayford.storage.key_value_store import Row


@dataclass(frozen=True)
class SubmissionAnswer:
    """One response to a submission. `revision` is that of the admission level named by a refusal, else 0."""

    controller: str
    job_id: str
    status: int
    revision: int = 0


@dataclass
class _AdmissionState:
    """The stored data that admission depends on, as of one revision."""

    level: Any = None
    level_version: int = 0
    rows: dict[str, Row] = field(default_factory=dict)

    def apply(self, row: Row) -> None:
        if row.key == records.ADMISSION:
            self.level, self.level_version = row.value, row.version
        elif row.value is None:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row

    def level_in_force(self) -> Level | None:
        members = [row for key, row in self.rows.items() if key.startswith(records.MEMBERS)]
        stored_features = [row for key, row in self.rows.items() if key.startswith(records.FEATURES)]
        return (
            None
            if features.controllers_without_admission(members, stored_features)
            else _decoded_level(self.level)
        )


def _decoded_level(value: Any) -> Level | None:
    try:
        return None if value is None else decode(value)
    except UnreadableLevelError:
        return None


def jobs_accepted_against_level(changes: Iterable[Row], flows: Mapping[str, Flow]) -> list[str]:
    """Return the jobs whose record was first written under an admission level that refuses them.

    `changes` are those of the state service, in order; all changes of a transaction have one revision.
    `flows` maps each job to its flow; other jobs are ignored.
    """
    state = _AdmissionState()
    stored_jobs: set[str] = set()
    violations = []
    for row in changes:
        job_id = row.key[len(records.JOBS) :]
        if not row.key.startswith(records.JOBS):
            state.apply(row)
        elif job_id in flows and job_id not in stored_jobs:
            stored_jobs.add(job_id)
            if not decide(state.level_in_force(), flows[job_id], job_id).admitted:
                violations.append(job_id)
    return violations


def accepted_under(changes: Iterable[Row]) -> list[SubmissionAnswer]:
    """Return an acceptance per job, with the version of the level stored at its record's first write."""
    version = 0
    first_stored: dict[str, SubmissionAnswer] = {}
    for row in changes:
        if row.key == records.ADMISSION:
            version = row.version
        elif row.key.startswith(records.JOBS):
            job_id = row.key[len(records.JOBS) :]
            first_stored.setdefault(job_id, SubmissionAnswer("", job_id, 201, version))
    return list(first_stored.values())


def unjustified_refusals(
    changes: Iterable[Row], answers: Iterable[SubmissionAnswer], flows: Mapping[str, Flow]
) -> list[SubmissionAnswer]:
    """Return the refusals that are not justified.

    These name a level that admits the job, cannot be decoded or was never written, or a level that was
    written after the job's acceptance.
    """
    levels: dict[int, Level | None] = {}
    accepted_at: dict[str, int] = {}
    for row in changes:
        if row.key == records.ADMISSION:
            levels[row.version] = _decoded_level(row.value)
        elif row.key.startswith(records.JOBS):
            accepted_at.setdefault(row.key[len(records.JOBS) :], row.version)
    violations = []
    for answer in answers:
        if answer.status != 429:
            continue
        level = levels.get(answer.revision)
        accepted = accepted_at.get(answer.job_id)
        was_accepted_before = accepted is not None and accepted < answer.revision
        if (
            level is None
            or was_accepted_before
            or decide(level, flows[answer.job_id], answer.job_id).admitted
        ):
            violations.append(answer)
    return violations


def jobs_decided_inconsistently(answers: Iterable[SubmissionAnswer]) -> list[str]:
    """Return the jobs that were both refused and accepted under the same level.

    `answers` includes the acceptances of `accepted_under`, which name their level.
    """
    choices: dict[tuple[str, int], set[bool]] = {}
    for answer in answers:
        if answer.revision and answer.status in (201, 429):
            choices.setdefault((answer.job_id, answer.revision), set()).add(answer.status == 201)
    return sorted({job for (job, _), outcomes in choices.items() if len(outcomes) > 1})


def urgent_jobs_started_late(begun: Mapping[str, int], pairs: Iterable[tuple[str, str]]) -> list[str]:
    """Return the urgent jobs that started after the other job of their pair, or never.

    `begun` maps each job to the number of its first attempt; numbers are assigned in the order of placement.
    Each of `pairs` is an urgent job and another job, submitted at the same time.
    """
    return [
        urgent
        for urgent, other in pairs
        if other in begun and begun.get(urgent, begun[other] + 1) > begun[other]
    ]
