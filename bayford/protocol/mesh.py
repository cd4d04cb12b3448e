"""What controllers tell one another: over the mesh, and through the store when the mesh is cut."""

import base64
import zlib
from typing import Any

import msgspec
import orjson

from bayford.protocol.workers import Report, TaskState

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
    """One controller's view of the map."""

    member: str
    token: int
    owner: str
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


def pack_report(report: Report) -> list[Any]:
    """A report as a compact row of a relay's record."""
    return [
        report.machine, report.address, report.type, report.zone, int(report.spot), report.session,
        report.tick, report.token, report.notice_s,
        [[t.part, t.attempt, t.phase, t.why, int(t.saved)] for t in report.tasks],
    ]  # fmt: skip


def unpack_report(row: list[Any]) -> Report:
    """The inverse of `pack_report`."""
    return Report(
        machine=row[0], address=row[1], type=row[2], zone=row[3], spot=bool(row[4]), session=row[5],
        tick=row[6], token=row[7], notice_s=row[8],
        tasks=[TaskState(part=t[0], attempt=t[1], phase=t[2], why=t[3], saved=bool(t[4])) for t in row[9]],
    )  # fmt: skip


def pack_reports(reports: list[Report], most: int) -> list[str]:
    """Reports as texts of at most `most` characters, as few as they fit into.

    In a cut between zones hundreds of machines speak through one relay, and each text is one of the few
    changes a second that all controllers share. The reports are much alike and shrink to a fifth. The
    alphabet of base 85 has no character that JSON escapes.
    """
    if not reports:
        return []
    body = orjson.dumps([pack_report(report) for report in reports])
    text = base64.b85encode(zlib.compress(body, 6)).decode()
    if len(text) <= most or len(reports) == 1:
        return [text]
    half = len(reports) // 2
    return pack_reports(reports[:half], most) + pack_reports(reports[half:], most)


def unpack_reports(text: str) -> list[Report]:
    """The inverse, of one text; raises ValueError for anything else."""
    try:
        return [unpack_report(row) for row in orjson.loads(zlib.decompress(base64.b85decode(text)))]
    except (zlib.error, IndexError, TypeError) as bad:
        raise ValueError(f"not reports: {bad!r}") from bad
