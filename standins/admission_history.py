"""Checks of a history of admission: what was written, level by level, and what users were told."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bayford.admission import features
from bayford.admission.choice import decide
from bayford.admission.level import Flow, Level, UnreadableLevelError, decode
from bayford.storage import records
from bayford.storage.key_value_store import Row


@dataclass(frozen=True)
class Told:
    """One answer to a submission. `revision`: of the level that a refusal names."""

    controller: str
    job_id: str
    status: int
    revision: int = 0


@dataclass
class _View:
    """What is stored at one revision, as far as admission goes by it."""

    level: Any = None
    level_stamp: int = 0
    rows: dict[str, Row] = field(default_factory=dict)

    def take(self, row: Row) -> None:
        if row.key == records.ADMISSION:
            self.level, self.level_stamp = row.value, row.version
        elif row.value is None:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row

    def in_force(self) -> Level | None:
        members = [row for key, row in self.rows.items() if key.startswith(records.MEMBERS)]
        told = [row for key, row in self.rows.items() if key.startswith(records.FEATURES)]
        return None if features.lacking(members, told) else _level(self.level)


def _level(value: Any) -> Level | None:
    try:
        return None if value is None else decode(value)
    except UnreadableLevelError:
        return None


def against_level(changes: Iterable[Row], flows: Mapping[str, Flow]) -> list[str]:
    """Jobs of these flows whose record was first written at a revision whose level refuses them.

    `changes`: of the state service, in order. What one transaction writes has one revision.
    """
    view = _View()
    seen: set[str] = set()
    out = []
    for row in changes:
        job_id = row.key[len(records.JOBS) :]
        if not row.key.startswith(records.JOBS):
            view.take(row)
        elif job_id in flows and job_id not in seen:
            seen.add(job_id)
            if not decide(view.in_force(), flows[job_id], job_id).admitted:
                out.append(job_id)
    return out


def accepted_under(changes: Iterable[Row]) -> list[Told]:
    """Of each job the level that was stored when its record was first written, as if it had been told."""
    version = 0
    found: dict[str, Told] = {}
    for row in changes:
        if row.key == records.ADMISSION:
            version = row.version
        elif row.key.startswith(records.JOBS):
            job_id = row.key[len(records.JOBS) :]
            found.setdefault(job_id, Told("", job_id, 201, version))
    return list(found.values())


def refused_wrongly(changes: Iterable[Row], told: Iterable[Told], flows: Mapping[str, Flow]) -> list[Told]:
    """Refusals by a level that admits the job, by none that was ever written, or after its acceptance."""
    levels: dict[int, Level | None] = {}
    accepted_at: dict[str, int] = {}
    for row in changes:
        if row.key == records.ADMISSION:
            levels[row.version] = _level(row.value)
        elif row.key.startswith(records.JOBS):
            accepted_at.setdefault(row.key[len(records.JOBS) :], row.version)
    out = []
    for answer in told:
        if answer.status != 429:
            continue
        level = levels.get(answer.revision)
        accepted = accepted_at.get(answer.job_id)
        late = accepted is not None and accepted < answer.revision
        if level is None or late or decide(level, flows[answer.job_id], answer.job_id).admitted:
            out.append(answer)
    return out


def chosen_differently(told: Iterable[Told]) -> list[str]:
    """Jobs of which one level stands both for their refusal and for their acceptance (`accepted_under`)."""
    choices: dict[tuple[str, int], set[bool]] = {}
    for answer in told:
        if answer.revision and answer.status in (201, 429):
            choices.setdefault((answer.job_id, answer.revision), set()).add(answer.status == 201)
    return sorted({job for (job, _), found in choices.items() if len(found) > 1})


def began_too_late(begun: Mapping[str, int], pairs: Iterable[tuple[str, str]]) -> list[str]:
    """Of pairs of jobs that came together, the urgent ones that began after the other. `begun`: the first
    attempt of each job; attempts are numbered in the order in which they are placed."""
    return [
        urgent
        for urgent, other in pairs
        if other in begun and begun.get(urgent, begun[other] + 1) > begun[other]
    ]
