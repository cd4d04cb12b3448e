"""What controllers tell one another: over the mesh, and through the store when the mesh is cut."""

from typing import Any

import msgspec
import orjson

from bayford.protocol.workers import Report, TaskState

STATUS_PATH = "/mesh/status"


class Status(msgspec.Struct):
    """One controller's view of the map."""

    member: str
    token: int
    owner: str
    served: bool = False  # by the state service, lately


_status = msgspec.json.Decoder(Status)


def encode_status(status: Status) -> bytes:
    """For the mesh."""
    return orjson.dumps(msgspec.structs.asdict(status))


def decode_status(body: bytes) -> Status:
    """From the mesh; raises msgspec errors for anything else."""
    return _status.decode(body)


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
