"""What controllers tell one another: over the mesh, and through the store when the mesh is cut."""

import base64
import zlib
from typing import Any

import msgspec
import orjson

from bayford.protocol.workers import Heartbeat, TaskState

STATUS_PATH = "/mesh/status"
CANCELLED_PATH = "/mesh/cancelled"  # unknown to the first two releases, which answer 404
# Raised with each version that an older one may meet at a site. A controller says it to the others here and
# nowhere else: a member's value is compared letter by letter, and rows and records take no unknown fields.
RELEASE = 4


class Submitted(msgspec.Struct):
    """A sample of the jobs that were submitted to one controller lately (`admission.distinct`)."""

    threshold: int
    flows: list[tuple[int, str, str]]  # priority, class, team
    jobs: list[tuple[int, int]]  # hash, which of the flows


class Status(msgspec.Struct):
    """One controller's view of the leadership record."""

    member: str
    fencing_token: int = msgspec.field(name="token")
    leader: str = msgspec.field(name="owner")
    served: bool = False  # by the state service, lately
    release: int = 1  # of the program; the first one did not say
    submitted: Submitted | None = None  # with admission on


_status = msgspec.json.Decoder(Status)
_cancelled = msgspec.json.Decoder(dict[str, float])


def encode_status(status: Status) -> bytes:
    """For the mesh."""
    return orjson.dumps(msgspec.to_builtins(status))


def decode_status(body: bytes) -> Status:
    """From the mesh; raises msgspec errors for anything else."""
    return _status.decode(body)


def encode_cancelled(jobs: dict[str, float]) -> bytes:
    """Confirmed cancellations: job and time of day."""
    return orjson.dumps(jobs)


def decode_cancelled(body: bytes) -> dict[str, float]:
    """From the mesh; raises msgspec errors for anything else."""
    return _cancelled.decode(body)


def pack_heartbeat(heartbeat: Heartbeat) -> list[Any]:
    """A heartbeat as a compact row of a relay's record."""
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
        [[t.task_id, t.attempt, t.phase, t.reason, int(t.checkpointed)] for t in heartbeat.tasks],
    ]


def unpack_heartbeat(row: list[Any]) -> Heartbeat:
    """The inverse of `pack_heartbeat`."""
    return Heartbeat(
        machine=row[0],
        address=row[1],
        type=row[2],
        zone=row[3],
        spot=bool(row[4]),
        epoch=row[5],
        sequence=row[6],
        fencing_token=row[7],
        reclaim_notice_s=row[8],
        tasks=[
            TaskState(task_id=t[0], attempt=t[1], phase=t[2], reason=t[3], checkpointed=bool(t[4]))
            for t in row[9]
        ],
    )


def pack_heartbeats(heartbeats: list[Heartbeat], most: int) -> list[str]:
    """Reports as texts of at most `most` characters, as few as they fit into.

    In a cut between zones hundreds of machines speak through one relay, and each text is one of the few
    changes a second that all controllers share. The heartbeats are much alike and shrink to a fifth. The
    alphabet of base 85 has no character that JSON escapes.
    """
    if not heartbeats:
        return []
    body = orjson.dumps([pack_heartbeat(heartbeat) for heartbeat in heartbeats])
    text = base64.b85encode(zlib.compress(body, 6)).decode()
    if len(text) <= most or len(heartbeats) == 1:
        return [text]
    half = len(heartbeats) // 2
    return pack_heartbeats(heartbeats[:half], most) + pack_heartbeats(heartbeats[half:], most)


def unpack_heartbeats(text: str) -> list[Heartbeat]:
    """The inverse, of one text; raises ValueError for anything else."""
    try:
        return [unpack_heartbeat(row) for row in orjson.loads(zlib.decompress(base64.b85decode(text)))]
    except (zlib.error, IndexError, TypeError) as bad:
        raise ValueError(f"not reports: {bad!r}") from bad
