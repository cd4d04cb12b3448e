"""What users send and are told: submissions, states, cancellations."""

import json
import math
import re
from typing import Any

import msgspec
import orjson

from bayford.scheduling.model import ARRAY, GANG, SERVICE, JobSpec
from bayford.storage.records import State

MAX_TASKS = 100_000
MAX_BODY = 64 * 1024
ID = re.compile(r"req-[A-Za-z0-9_-]{1,64}", re.ASCII)
SUBMIT_PATH = "/api/jobs"
CANCEL = "cancel"
HEALTH_PATH = "/up"

# The page describes `batch` alone; the other two are named by the users' wire file and tried by their
# loopback check (docs/questions.md).
_SHAPES = {"batch": ARRAY, "gang": GANG, "daemon": SERVICE}
_RANKS = {"idle": 0, "normal": 1, "urgent": 2, "critical": 3}


class InvalidError(Exception):
    """A message that is malformed: the status is 400."""


class _Submission(msgspec.Struct):
    id: str
    lane: str
    crew: str
    shape: str
    rank: str
    parts: int
    cpus: float
    cards: float
    mem_gb: float
    bundle: str
    size_gb: float
    together: bool
    apart: bool
    loaners: bool
    guess_s: float
    bookmark_s: float
    stash_s: float
    builds: list[str] | None = None
    yard: str | None = None
    due_s: float | None = None


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    out = dict(pairs)
    if len(out) != len(pairs):
        raise InvalidError("a field appears twice")
    return out


def _constant(name: str) -> Any:
    raise InvalidError(f"{name} is not JSON")


def parse_object(body: bytes) -> dict[str, Any]:
    """A JSON object without duplicate fields or non-finite numbers.

    The standard library's parser, since it alone shows duplicates; submissions are rare.
    """
    try:
        value = json.loads(body.decode("utf-8"), object_pairs_hook=_pairs, parse_constant=_constant)
    except (ValueError, RecursionError) as bad:
        raise InvalidError(f"not JSON: {bad}") from bad
    if not isinstance(value, dict):
        raise InvalidError("not an object")
    return value


def job_id(text: str) -> str | None:
    """`text` if it has the form of a job id."""
    return text if ID.fullmatch(text) else None


def parse_submission(body: bytes) -> JobSpec:
    """Check every field of a submission; Invalid names the one at fault."""
    try:
        got = msgspec.convert(parse_object(body), _Submission, strict=True)
    except msgspec.ValidationError as bad:
        raise InvalidError(str(bad)) from bad
    if job_id(got.id) is None:
        raise InvalidError("`$.id`: not a job id")
    if got.shape not in _SHAPES:
        raise InvalidError(f"`$.shape`: unknown shape {got.shape[:40]!r}")
    if got.rank not in _RANKS:
        raise InvalidError(f"`$.rank`: unknown rank {got.rank[:40]!r}")
    if not 1 <= got.parts <= MAX_TASKS:
        raise InvalidError(f"`$.parts`: not within 1 to {MAX_TASKS}")
    for field in ("lane", "crew", "bundle"):
        if not 0 < len(getattr(got, field)) <= 200:
            raise InvalidError(f"`$.{field}`: empty or too long")
    for field in ("cpus", "cards", "mem_gb", "size_gb", "guess_s", "bookmark_s", "stash_s", "due_s"):
        value = getattr(got, field)
        if value is not None and not (math.isfinite(value) and 0 <= value <= 1e12):
            raise InvalidError(f"`$.{field}`: must be a finite number, 0 or more")
    if got.cpus == 0 and got.cards == 0:
        raise InvalidError("`$.cpus`: a task takes some CPU or a card")
    if got.builds is not None and not all(0 < len(b) <= 200 for b in got.builds):
        raise InvalidError("`$.builds`: empty or too long")
    return JobSpec(
        got.id,
        got.lane,
        got.crew,
        _RANKS[got.rank],
        got.parts,
        got.cpus,
        got.cards,
        got.mem_gb,
        got.bundle,
        got.size_gb,
        got.builds,
        got.yard,
        got.together,
        got.apart,
        got.loaners,
        got.guess_s,
        got.bookmark_s,
        got.stash_s,
        got.due_s,
        _SHAPES[got.shape],
    )


def phase(state: State) -> str:
    """The job's phase as users see it."""
    if state.record.cancelled:
        return "aborted"
    if state.record.finished:
        return "done"
    return "running" if state.open else "pending"


def answer(state: State) -> bytes:
    """The body of a query's answer."""
    return orjson.dumps(
        {"id": state.record.spec.id, "phase": phase(state), "done": state.done, "running": state.open}
    )


def refusal(job_class: str, team: str, reason: str, level: int, revision: int) -> bytes:
    """The body of a refusal for load, by the admission level of this number and revision."""
    text = f"overload ({reason}): jobs of this class and team are admitted in part, try again later"
    return orjson.dumps(
        {
            "error": text,
            "class": job_class,
            "team": team,
            "reason": reason,
            "level": level,
            "revision": revision,
        }
    )


class _Rank(msgspec.Struct):
    rank: str = ""


_rank = msgspec.json.Decoder(_Rank)


def priority_of(body: bytes) -> int:
    """The priority that a submission names, unchecked otherwise; the lowest if it names none."""
    try:
        return _RANKS.get(_rank.decode(body).rank, 0)
    except msgspec.DecodeError:
        return 0


def error(text: str) -> bytes:
    """The body of a refusal."""
    return orjson.dumps({"error": text[:500]})
