"""Users' requests and the responses to them: submissions, queries, cancellations."""

import json
import math
import re
from typing import Any

import msgspec
import orjson

from bayford.protocol.errors import ProtocolError
from bayford.scheduling.model import ARRAY, GANG, SERVICE, JobSpec
from bayford.storage.records import JobState

MAX_TASKS = 100_000
MAX_NAME = 200  # characters
MAX_JOB_ID_CHARS = 68
MAX_AMOUNT = 1e12
JOB_ID_PATTERN = re.compile(rf"req-[A-Za-z0-9_-]{{1,{MAX_JOB_ID_CHARS - len('req-')}}}", re.ASCII)
SUBMIT_PATH = "/api/jobs"
CANCEL = "cancel"
HEALTH_PATH = "/up"

# The interface's written description covers only `batch`. The other two come from the users' wire file and
# are exercised by their loopback check (docs/questions.md).
_SHAPES = {"batch": ARRAY, "gang": GANG, "daemon": SERVICE}
_PRIORITIES = {"idle": 0, "normal": 1, "urgent": 2, "critical": 3}


class InvalidError(ProtocolError):
    """A malformed message. The response has status 400 and this error's text, which uses the fields' wire
    names."""


class _Submission(msgspec.Struct):
    """A submission as sent by a user. The first missing field, in this order, is the one reported."""

    id: str
    job_class: str = msgspec.field(name="lane")
    team: str = msgspec.field(name="crew")
    shape: str
    priority: str = msgspec.field(name="rank")
    tasks: int = msgspec.field(name="parts")
    cpus: float
    gpus: float = msgspec.field(name="cards")
    mem_gb: float
    image: str = msgspec.field(name="bundle")
    image_gb: float = msgspec.field(name="size_gb")
    one_zone: bool = msgspec.field(name="together")
    spread: bool = msgspec.field(name="apart")
    spot: bool = msgspec.field(name="loaners")
    estimate_s: float = msgspec.field(name="guess_s")
    checkpoint_interval_s: float = msgspec.field(name="bookmark_s")
    checkpoint_save_s: float = msgspec.field(name="stash_s")
    types: list[str] | None = msgspec.field(name="builds", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    deadline_s: float | None = msgspec.field(name="due_s", default=None)


# Fields that share a check, in the order in which they are checked. Error texts use their wire names.
_NAME_FIELDS = ("job_class", "team", "image")
_AMOUNT_FIELDS = (
    "cpus",
    "gpus",
    "mem_gb",
    "image_gb",
    "estimate_s",
    "checkpoint_interval_s",
    "checkpoint_save_s",
    "deadline_s",
)
_WIRE_NAMES = {field.name: field.encode_name for field in msgspec.structs.fields(_Submission)}


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise InvalidError("a field appears twice")
    return fields


def _reject_constant(name: str) -> Any:
    raise InvalidError(f"{name} is not JSON")


def parse_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object without duplicate fields or non-finite numbers; InvalidError for anything else.

    Uses the standard library's parser because only that one reports duplicate fields. Submissions are rare,
    so its speed does not matter.
    """
    try:
        value = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_fields,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise InvalidError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise InvalidError("not an object")
    return value


def parse_job_id(text: str) -> str | None:
    """Return `text` if it is a well-formed job id, else None."""
    return text if JOB_ID_PATTERN.fullmatch(text) else None


def parse_submission(body: bytes) -> JobSpec:
    """Decode a submission and check every field. InvalidError names the invalid field."""
    try:
        submission = msgspec.convert(parse_object(body), _Submission, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidError(str(error)) from error
    _check_choices(submission)
    _check_names_and_amounts(submission)
    return JobSpec(
        id=submission.id,
        job_class=submission.job_class,
        team=submission.team,
        priority=_PRIORITIES[submission.priority],
        tasks=submission.tasks,
        cpus=submission.cpus,
        gpus=submission.gpus,
        mem_gb=submission.mem_gb,
        image=submission.image,
        image_gb=submission.image_gb,
        types=submission.types,
        zone=submission.zone,
        one_zone=submission.one_zone,
        spread=submission.spread,
        spot=submission.spot,
        estimate_s=submission.estimate_s,
        checkpoint_interval_s=submission.checkpoint_interval_s,
        checkpoint_save_s=submission.checkpoint_save_s,
        deadline_s=submission.deadline_s,
        shape=_SHAPES[submission.shape],
    )


def _check_choices(submission: _Submission) -> None:
    if parse_job_id(submission.id) is None:
        raise InvalidError("`$.id`: not a job id")
    if submission.shape not in _SHAPES:
        raise InvalidError(f"`$.shape`: unknown shape {submission.shape[:40]!r}")
    if submission.priority not in _PRIORITIES:
        raise InvalidError(f"`$.rank`: unknown rank {submission.priority[:40]!r}")
    if not 1 <= submission.tasks <= MAX_TASKS:
        raise InvalidError(f"`$.parts`: not within 1 to {MAX_TASKS}")


def _check_names_and_amounts(submission: _Submission) -> None:
    for name in _NAME_FIELDS:
        if not 0 < len(getattr(submission, name)) <= MAX_NAME:
            raise InvalidError(f"`$.{_WIRE_NAMES[name]}`: empty or too long")
    for name in _AMOUNT_FIELDS:
        amount = getattr(submission, name)
        if amount is not None and not (math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT):
            raise InvalidError(f"`$.{_WIRE_NAMES[name]}`: must be a finite number, 0 or more")
    if submission.cpus == 0 and submission.gpus == 0:
        raise InvalidError("`$.cpus`: a task takes some CPU or a card")
    if submission.types is not None and not all(0 < len(name) <= MAX_NAME for name in submission.types):
        raise InvalidError("`$.builds`: empty or too long")


def job_phase(state: JobState) -> str:
    """The job's phase in responses to users."""
    if state.record.cancelled:
        return "aborted"
    if state.record.finished:
        return "done"
    return "running" if state.open else "pending"


def encode_job_status(state: JobState) -> bytes:
    """The body of the response to a submission, a query or a cancellation."""
    return orjson.dumps(
        {"id": state.record.spec.id, "phase": job_phase(state), "done": state.done, "running": state.open}
    )


def encode_refusal(job_class: str, team: str, reason: str, level: int, revision: int) -> bytes:
    """The body of a response that refuses a submission because of overload.

    `level`: number of the admission level that refuses it; `revision`: the store revision of that level.
    """
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


class _Priority(msgspec.Struct):
    """The only field of a submission that is read before the submission is validated."""

    priority: str = msgspec.field(name="rank", default="")


_priority_decoder = msgspec.json.Decoder(_Priority)


def parse_priority(body: bytes) -> int:
    """The priority of a submission that is not validated yet; the lowest if it has no valid priority."""
    try:
        return _PRIORITIES.get(_priority_decoder.decode(body).priority, 0)
    except msgspec.DecodeError:
        return 0


def encode_error(text: str) -> bytes:
    """The body of any other error response; `text` is cut to 500 characters."""
    return orjson.dumps({"error": text[:500]})
