"""Checks of a history of admission: the changes of the store, and the answers to submissions."""

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
    """One answer to a submission. `revision`: that of the level which a refusal names, else 0."""

    controller: str
    job_id: str
    status: int
    revision: int = 0


@dataclass
class _StoredState:
    """What is stored at one revision, as far as admission depends on it."""

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
    """Jobs of these flows whose record was first written at a revision whose level refuses them.

    `changes`: of the state service, in order. What one transaction writes has one revision.
    """
    state = _StoredState()
    seen: set[str] = set()
    violations = []
    for row in changes:
        job_id = row.key[len(records.JOBS) :]
        if not row.key.startswith(records.JOBS):
            state.apply(row)
        elif job_id in flows and job_id not in seen:
            seen.add(job_id)
            if not decide(state.level_in_force(), flows[job_id], job_id).admitted:
                violations.append(job_id)
    return violations


def accepted_under(changes: Iterable[Row]) -> list[SubmissionAnswer]:
    """For each job the version of the level that was stored when its record was first written."""
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
    """Refusals by a level that admits the job, by a level that was never written, or after its acceptance."""
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
        known_before = accepted is not None and accepted < answer.revision
        if level is None or known_before or decide(level, flows[answer.job_id], answer.job_id).admitted:
            violations.append(answer)
    return violations


def jobs_decided_inconsistently(answers: Iterable[SubmissionAnswer]) -> list[str]:
    """Jobs that one level both refused and accepted (see `accepted_under`)."""
    choices: dict[tuple[str, int], set[bool]] = {}
    for answer in answers:
        if answer.revision and answer.status in (201, 429):
            choices.setdefault((answer.job_id, answer.revision), set()).add(answer.status == 201)
    return sorted({job for (job, _), outcomes in choices.items() if len(outcomes) > 1})


def urgent_jobs_started_late(begun: Mapping[str, int], pairs: Iterable[tuple[str, str]]) -> list[str]:
    """The urgent jobs that started after the other job of their pair, submitted at the same time.

    `begun`: the first attempt of each job; attempts are numbered in the order of placement.
    """
    return [
        urgent
        for urgent, other in pairs
        if other in begun and begun.get(urgent, begun[other] + 1) > begun[other]
    ]
