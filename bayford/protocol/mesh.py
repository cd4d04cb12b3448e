"""What controllers send one another: over the mesh, and through the store when the mesh is cut."""

import base64
import zlib
from typing import Any

import msgspec
import orjson

from bayford.protocol.errors import ProtocolError
from bayford.protocol.workers import Heartbeat, TaskState

STATUS_PATH = "/mesh/status"
CANCELLED_PATH = "/mesh/cancelled"  # unknown to the first two releases, which answer 404
# Raised with each version that an older one may meet at a site. A controller announces it here and
# nowhere else: a member's value is compared letter by letter, and rows and records take no unknown fields.
RELEASE = 4


class UnreadableHeartbeatsError(ProtocolError, ValueError):
    """A text in a relay's record that is not what `pack_heartbeats` makes."""


class Submitted(msgspec.Struct):
    """A sample of the jobs that were submitted to one controller of late (`admission.distinct`)."""

    threshold: int
    flows: list[tuple[int, str, str]]  # priority, class, team
    jobs: list[tuple[int, int]]  # hash of the job's id, index into `flows`


class Status(msgspec.Struct):
    """One controller's view of the leadership record, and what others need to know of it."""

    member: str
    fencing_token: int = msgspec.field(name="token")
    leader: str = msgspec.field(name="owner")
    served: bool = False  # whether the state service answered it of late
    release: int = 1  # of the program; the first one did not say
    submitted: Submitted | None = None  # with admission on


_status = msgspec.json.Decoder(Status)
_cancelled = msgspec.json.Decoder(dict[str, float])


def encode_status(status: Status) -> bytes:
    """The body of a status."""
    return orjson.dumps(msgspec.to_builtins(status))


def decode_status(body: bytes) -> Status:
    """A status from its body; msgspec errors for anything else."""
    return _status.decode(body)


def encode_cancelled(jobs: dict[str, float]) -> bytes:
    """The body of confirmed cancellations: job id -> time of day."""
    return orjson.dumps(jobs)


def decode_cancelled(body: bytes) -> dict[str, float]:
    """Confirmed cancellations from their body; msgspec errors for anything else."""
    return _cancelled.decode(body)


def pack_heartbeat(heartbeat: Heartbeat) -> list[Any]:
    """A heartbeat as a compact list in a relay's record. Other releases read it: the order of the fields
    stays."""
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
    """The inverse of `pack_heartbeat`. Fields that a later release may add at the end are passed over."""
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


def pack_heartbeats(heartbeats: list[Heartbeat], max_chars: int) -> list[str]:
    """Heartbeats as texts of at most `max_chars` characters each, as few as they fit into. One that does
    not fit by itself has a text that is longer.

    In a cut between zones hundreds of machines are heard through one relay, and each text is one of the few
    changes a second that all controllers share. The heartbeats are much alike and shrink to a fifth. The
    alphabet of base 85 has no character that JSON escapes.
    """
    if not heartbeats:
        return []
    body = orjson.dumps([pack_heartbeat(heartbeat) for heartbeat in heartbeats])
    text = base64.b85encode(zlib.compress(body, 6)).decode()
    if len(text) <= max_chars or len(heartbeats) == 1:
        return [text]
    half = len(heartbeats) // 2
    return pack_heartbeats(heartbeats[:half], max_chars) + pack_heartbeats(heartbeats[half:], max_chars)


def unpack_heartbeats(text: str) -> list[Heartbeat]:
    """The heartbeats in one text; UnreadableHeartbeatsError, a ValueError, for anything else."""
    try:
        body = zlib.decompress(base64.b85decode(text))
        return [unpack_heartbeat(packed) for packed in orjson.loads(body)]
    except (zlib.error, TypeError, ValueError) as error:
        raise UnreadableHeartbeatsError(f"not heartbeats: {error!r}") from error
