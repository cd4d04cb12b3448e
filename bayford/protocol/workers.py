"""Workers' heartbeats, and the commands that controllers send in response."""

import msgspec
import orjson

from bayford.protocol.jobs import InvalidError

HEARTBEAT_PATH = "/v1/report"
COMMANDS_PATH = "/commands"

# Why a task attempt ended (`TaskState.reason`).
FULL, BUSY, UNKNOWN = "full", "busy", "unknown"  # the worker refused to start it
DONE, STOPPED, ERROR = "done", "halted", "error"
PEER_LOST, GANG_INCOMPLETE = (
    "mates_gone",
    "incomplete",
)  # a task of its gang was lost, or the gang never became complete

# Phases of a task attempt (`TaskState.phase`).
FETCHING, GATHERING, RUNNING, CHECKPOINTING, ENDED = "pulling", "gathering", "running", "flushing", "ended"

START, STOP, REAP = "start", "halt", "reap"  # verbs of commands


class TaskState(msgspec.Struct):
    """The status of one task attempt on a machine, as its worker reports it."""

    task_id: str = msgspec.field(name="part")
    attempt: int = msgspec.field(name="try")
    phase: str
    reason: str | None = msgspec.field(name="cause", default=None)
    checkpointed: bool = msgspec.field(name="stored", default=False)


class Heartbeat(msgspec.Struct):
    """A worker's heartbeat. `sequence` orders the heartbeats of one epoch."""

    machine: str = msgspec.field(name="dock")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    epoch: int = msgspec.field(name="shift")
    sequence: int = msgspec.field(name="tick")
    fencing_token: int = msgspec.field(name="baton")
    tasks: list[TaskState] = msgspec.field(name="parts")
    reclaim_notice_s: float | None = msgspec.field(name="recall_s", default=None)

    @property
    def order(self) -> tuple[int, int]:
        """Its position among the machine's heartbeats: of two, the one with the larger order is newer."""
        return (self.epoch, self.sequence)


class Start(msgspec.Struct):
    """Start a task attempt."""

    task_id: str = msgspec.field(name="part")
    attempt: int = msgspec.field(name="try")
    verb: str = START


class Stop(msgspec.Struct):
    """Stop a task attempt after allowing it `grace_s` seconds to save a checkpoint."""

    task_id: str = msgspec.field(name="part")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="wind_s", default=0.0)
    verb: str = STOP


class Reap(msgspec.Struct):
    """Discard the state of an ended task attempt."""

    task_id: str = msgspec.field(name="part")
    attempt: int = msgspec.field(name="try")
    verb: str = REAP


Command = Start | Stop | Reap

_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
_encoder = msgspec.json.Encoder()


def parse_heartbeat(body: bytes) -> Heartbeat:
    """Decode and check a heartbeat. InvalidError describes the fault, with wire names."""
    try:
        heartbeat = _heartbeat_decoder.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidError(str(error)) from error
    if not heartbeat.machine or heartbeat.epoch < 0 or heartbeat.sequence < 0:
        raise InvalidError("a report without machine, session or tick")
    return heartbeat


def encode_command(command: Command) -> bytes:
    """One command as it stands in the message to the worker."""
    return _encoder.encode(command)


class _Commands(msgspec.Struct):
    fencing_token: int = msgspec.field(name="baton")
    epoch: int = msgspec.field(name="shift")
    commands: list[Command] = msgspec.field(name="orders")


def encode_stop_commands(fencing_token: int, epoch: int, commands: list[Command]) -> bytes:
    """The body of a request that sends commands to a worker, instead of in a heartbeat response."""
    return _encoder.encode(_Commands(fencing_token, epoch, commands))


class _Response(msgspec.Struct):
    fencing_token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders")


def encode_response(fencing_token: int, commands: list[Command]) -> bytes:
    """The body of the response to a heartbeat, with the commands that the worker is to execute."""
    return _encoder.encode(_Response(fencing_token, commands))


def encode_redirect(member: str | None) -> bytes:
    """The body of a 421 response. `member`: the leader, None if it is not known."""
    return orjson.dumps({} if member is None else {"foreman": member})


def parse_task_id(task_id: str) -> tuple[str, int] | None:
    """Split a task id such as `req-7/3` into job id and task number; None for a malformed one."""
    job, slash, number = task_id.rpartition("/")
    if not slash or not number.isdigit():
        return None
    return job, int(number)


def format_task_id(job: str, task: int) -> str:
    """The id of a task; the inverse of `parse_task_id`."""
    return f"{job}/{task}"
