"""Messages between controllers: over the mesh, or through the key-value store if the mesh is partitioned."""

import base64
import zlib
from typing import Any, NamedTuple

import msgspec
import orjson

from bayford.protocol.errors import ProtocolError
from bayford.protocol.jobs import MAX_JOB_ID_CHARS
from bayford.protocol.message_sizes import LONGEST_DURATION_S, MAX_MESSAGE_BYTES
from bayford.protocol.workers import ENDED, Heartbeat, TaskState

STATUS_PATH = "/mesh/status"
CANCELLED_PATH = "/mesh/cancelled"  # the first two releases do not serve it and respond 404
# Incremented with each version that may run at a site together with an older one. Controllers announce it
# only in `Status`: a member key's value is compared for exact equality, and rows and records allow no unknown
# fields.
RELEASE = 4


_LONGEST_CANCELLED_BYTES = len(orjson.dumps({"x" * MAX_JOB_ID_CHARS: LONGEST_DURATION_S}))
MAX_CANCELLED_PER_MESSAGE = MAX_MESSAGE_BYTES // _LONGEST_CANCELLED_BYTES


class UnreadableHeartbeatsError(ProtocolError, ValueError):
    """A text in a relay's record that was not produced by `pack_heartbeats`."""


class Submitted(msgspec.Struct):
    """A sample of the jobs recently submitted to one controller (`admission.distinct`).

    It consists of the jobs whose hash is below `threshold`.
    """

    threshold: int
    flows: list[tuple[int, str, str]]  # priority, class, team
    jobs: list[tuple[int, int]]  # hash of the job's id, index into `flows`


class Status(msgspec.Struct):
    """One controller's view of the leadership record, and further facts that other controllers need."""

    member: str
    fencing_token: int = msgspec.field(name="token")
    leader: str = msgspec.field(name="owner")
    served: bool = False  # whether the state service recently responded to this controller
    release: int = 1  # of the program (`RELEASE`); the first release did not send this field
    submitted: Submitted | None = None  # sent only while admission is on


_status_decoder = msgspec.json.Decoder(Status)
_cancelled_decoder = msgspec.json.Decoder(dict[str, float])


def encode_status(status: Status) -> bytes:
    """Encode a status as a message body."""
    return orjson.dumps(msgspec.to_builtins(status))


def decode_status(body: bytes) -> Status:
    """Decode the body of a status; msgspec errors for anything else."""
    return _status_decoder.decode(body)


def encode_cancelled(jobs: dict[str, float]) -> bytes:
    """Encode confirmed cancellations as a message body: job id -> wall-clock time."""
    return orjson.dumps(jobs)


def split_cancelled(jobs: dict[str, float]) -> list[dict[str, float]]:
    """Split confirmed cancellations into parts that each fit into one message."""
    entries = list(jobs.items())
    return [
        dict(entries[begin : begin + MAX_CANCELLED_PER_MESSAGE])
        for begin in range(0, len(entries), MAX_CANCELLED_PER_MESSAGE)
    ]


def decode_cancelled(body: bytes) -> dict[str, float]:
    """Decode the body of confirmed cancellations; msgspec errors for anything else."""
    return _cancelled_decoder.decode(body)


def pack_heartbeat(heartbeat: Heartbeat) -> list[Any]:
    """Convert a heartbeat to the compact list that relays' records contain.

    The order of the fields must not change, because other releases read these records.
    """
    return [
        heartbeat.machine,
        heartbeat.address,
        heartbeat.type,
        heartbeat.zone,
        int(heartbeat.spot),
        heartbeat.epoch,
        heartbeat.sequence,
        heartbeat.fencing_token,
        heartbeat.reclaim_notice_s,
        [
            [task.task_id, task.attempt, task.phase, task.reason, int(task.checkpointed)]
            for task in heartbeat.tasks
        ],
    ]


def unpack_heartbeat(packed: list[Any]) -> Heartbeat:
    """The inverse of `pack_heartbeat`. Ignores fields that a later release may append."""
    machine, address, kind, zone, spot, epoch, sequence, fencing_token, reclaim_notice_s, tasks = packed[:10]
    return Heartbeat(
        machine=machine,
        address=address,
        type=kind,
        zone=zone,
        spot=bool(spot),
        epoch=epoch,
        sequence=sequence,
        fencing_token=fencing_token,
        reclaim_notice_s=reclaim_notice_s,
        tasks=[_unpack_task(task) for task in tasks],
    )


def _unpack_task(packed: list[Any]) -> TaskState:
    task_id, attempt, phase, reason, checkpointed = packed[:5]
    return TaskState(
        task_id=task_id, attempt=attempt, phase=phase, reason=reason, checkpointed=bool(checkpointed)
    )


class HeartbeatPart(NamedTuple):
    """A heartbeat with all its tasks, or with some of them if it did not fit into one text."""

    heartbeat: Heartbeat
    number: int  # of the part, from 0
    total: int  # number of parts


def pack_heartbeats(heartbeats: list[Heartbeat], max_chars: int) -> list[str]:
    """Pack heartbeats into few texts of at most `max_chars` characters each, halving the list until each
    part fits. A single heartbeat that does not fit is packed in parts, each with some of its tasks.

    During a partition between zones, one relay may forward the heartbeats of hundreds of machines, and each
    text is one write from the small rate of writes per second that all controllers share. Heartbeats are
    similar to each other, so compression reduces them to a fifth. Base 85 is used because its alphabet has no
    character that JSON escapes.
    """
    if not heartbeats:
        return []
    text = _pack_text([pack_heartbeat(heartbeat) for heartbeat in heartbeats])
    if len(text) <= max_chars or (len(heartbeats) == 1 and len(heartbeats[0].tasks) <= 1):
        return [text]
    if len(heartbeats) == 1:
        return _pack_parts(heartbeats[0], max_chars)
    half = len(heartbeats) // 2
    return pack_heartbeats(heartbeats[:half], max_chars) + pack_heartbeats(heartbeats[half:], max_chars)


def _pack_text(packed: list[list[Any]]) -> str:
    return base64.b85encode(zlib.compress(orjson.dumps(packed), 6)).decode()


def _pack_parts(heartbeat: Heartbeat, max_chars: int) -> list[str]:
    """Pack a heartbeat into the smallest power of two of parts of which each fits.

    Each part ends with its number and the number of parts, which earlier releases ignore. They apply the
    first part that they read as if it were the whole and then pass over the others, which are no newer.
    Ended tasks come first, so that they are in that part: their ends must not wait, unlike the rest.
    """
    tasks = sorted(heartbeat.tasks, key=lambda task: task.phase != ENDED)
    count = 2
    while True:
        size = -(-len(tasks) // count)
        parts = [
            msgspec.structs.replace(heartbeat, tasks=tasks[begin : begin + size])
            for begin in range(0, len(tasks), size)
        ]
        texts = [
            _pack_text([[*pack_heartbeat(part), [number, len(parts)]]]) for number, part in enumerate(parts)
        ]
        if size <= 1 or all(len(text) <= max_chars for text in texts):
            return texts
        count *= 2


def unpack_heartbeats(text: str) -> list[HeartbeatPart]:
    """Unpack the heartbeats of one text; UnreadableHeartbeatsError, a ValueError, for anything else."""
    try:
        body = zlib.decompress(base64.b85decode(text))
        return [_unpack_part(packed) for packed in orjson.loads(body)]
    except (zlib.error, TypeError, ValueError) as error:
        raise UnreadableHeartbeatsError(f"text contains no packed heartbeats: {error!r}") from error


def _unpack_part(packed: list[Any]) -> HeartbeatPart:
    number, total = packed[10] if len(packed) > 10 else (0, 1)
    return HeartbeatPart(unpack_heartbeat(packed), number, total)
