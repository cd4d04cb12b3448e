"""Reports of workers and the orders they are answered with."""

import msgspec
import orjson

from bayford.protocol.jobs import InvalidError

REPORT_PATH = "/v1/report"
COMMANDS_PATH = "/commands"
FULL, BUSY, UNKNOWN = "full", "busy", "unknown"
DONE, HALTED, ERROR = "done", "halted", "error"
PEERS, ALONE = "mates_gone", "incomplete"  # a gang that lost a task, or never came together
START, HALT, REAP = "start", "halt", "reap"
FETCHING, GATHERING, RUNNING, SAVING, ENDED = "pulling", "gathering", "running", "flushing", "ended"


class TaskState(msgspec.Struct):
    """One task attempt on a machine, as its worker tells."""

    part: str
    attempt: int = msgspec.field(name="try")
    phase: str
    why: str | None = msgspec.field(name="cause", default=None)
    saved: bool = msgspec.field(name="stored", default=False)


class Report(msgspec.Struct):
    """A worker's report."""

    machine: str = msgspec.field(name="dock")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    session: int = msgspec.field(name="shift")
    tick: int
    token: int = msgspec.field(name="baton")
    tasks: list[TaskState] = msgspec.field(name="parts")
    notice_s: float | None = msgspec.field(name="recall_s", default=None)


class Start(msgspec.Struct):
    """Start a task attempt."""

    part: str
    attempt: int = msgspec.field(name="try")
    verb: str = START


class Halt(msgspec.Struct):
    """Stop a task attempt, giving it `grace_s` to save."""

    part: str
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="wind_s", default=0.0)
    verb: str = HALT


class Reap(msgspec.Struct):
    """Forget an ended task attempt."""

    part: str
    attempt: int = msgspec.field(name="try")
    verb: str = REAP


Order = Start | Halt | Reap

_decoder = msgspec.json.Decoder(Report)
_encoder = msgspec.json.Encoder()


def parse_report(body: bytes) -> Report:
    """Decode and check a report."""
    try:
        report = _decoder.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as bad:
        raise InvalidError(str(bad)) from bad
    if not report.machine or report.session < 0 or report.tick < 0:
        raise InvalidError("a report without machine, session or tick")
    return report


class _Commands(msgspec.Struct):
    baton: int
    shift: int
    orders: list[Order]


def commands(token: int, session: int, orders: list[Order]) -> bytes:
    """The body of direct commands."""
    return _encoder.encode(_Commands(token, session, orders))


class _Answer(msgspec.Struct):
    baton: int
    orders: list[Order]


def answer(token: int, orders: list[Order]) -> bytes:
    """The response that a worker executes."""
    return _encoder.encode(_Answer(token, orders))


def redirect(member: str | None) -> bytes:
    """The body of a 421."""
    return orjson.dumps({} if member is None else {"foreman": member})


def split_task(part: str) -> tuple[str, int] | None:
    """`req-7/3` as job id and task number."""
    job, slash, number = part.rpartition("/")
    if not slash or not number.isdigit():
        return None
    return job, int(number)


def task_name(job: str, task: int) -> str:
    """The inverse of `split_task`."""
    return f"{job}/{task}"
