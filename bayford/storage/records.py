"""How a job is stored in the state service, and the keys of everything that is.

Two things are kept apart, since they change at different rates. What the user decides, which is the job and
its cancellation, and that it is done, is in one small record under `b/j/<id>`: written when the job is
accepted, cancelled or complete, and by its version the one place where a cancellation and the last task's end
are put in order. What the leader decides, which is where each task is and which are done, changes hundreds of
times a second and is in the task log (`storage.task_log`), where one write carries the changes of many
jobs.

The values here are read by other releases of a rolling upgrade, too: neither the keys nor the order of fields
may change.
"""

import json
from typing import Any

import msgspec
import orjson

from bayford.scheduling.model import JobSpec
from bayford.storage.errors import StorageError

PREFIX = "b/"
JOBS = "b/j/"
LOG = "b/log/"
# The size of a value that the task log was laid out for; the first release knows no such key.
LAYOUT = "b/layout"
LEADERSHIP = "b/map"
ADMISSION = "b/admission"  # the leader's admission level; from release 4 on
FEATURES = "b/feature/"  # what a live controller keeps to, beside its member key; from release 4 on
ZONES = "b/zone/"  # state and losses of a zone; from release 3 on
MIGRATION_COUNTS = "b/moves/"  # restarts by moves, a key for each job that was ever moved; from release 3 on
MEMBERS = "b/member/"
RELAYS = "b/relay/"
SUMMARIES = "b/sum/"


class UnreadableError(StorageError):
    """A value in the store that no release writes. Never taken for an absent one."""


class Record(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A job as its users know it. Stored as an array, so the order of the fields is part of the record."""

    spec: JobSpec
    created: float  # time of day in seconds, for deadlines
    cancelled: float = 0.0  # time of day of the cancellation, 0 if there is none
    finished: bool = False
    done: int = 0  # tasks done when it was over

    @property
    def over(self) -> bool:
        """Final: nothing may change the record any more."""
        return self.finished or self.cancelled > 0


class State(msgspec.Struct):
    """A job's record and where the task log stands with it, of one revision."""

    record: Record
    version: int  # of the record
    open: int = 0  # tasks on machines
    done: int = 0  # tasks done


def key(job_id: str) -> str:
    """The key of a job's record."""
    return JOBS + job_id


def migration_counts_key(job_id: str) -> str:
    """The key of the counts of a job's restarts by moves."""
    return MIGRATION_COUNTS + job_id


def encode(record: Record) -> Any:
    """The value of a record."""
    return msgspec.to_builtins(record)


def size(value: Any) -> int:
    """Bytes of a value as JSON, in whichever of the two usual ways to write it is the longer."""
    return max(len(orjson.dumps(value)), len(json.dumps(value, separators=(",", ":"))))


def fitted(record: Record, max_bytes: int) -> Any:
    """The value of a final record in at most `max_bytes` bytes, as far as that can be.

    It may have been accepted when values could be larger. Nothing of the job starts any more, so what only
    says where and with what it might run can go; its team and amounts stay, since tasks of it may still be
    there.
    """
    value = encode(record)
    if size(value) <= max_bytes:
        return value
    bare = msgspec.structs.replace(record.spec, types=None, zone=None, image="-", job_class="-")
    return encode(msgspec.structs.replace(record, spec=bare))


def decode(value: Any) -> Record:
    """A record from its value; UnreadableError if it is none. The caller knows the key, and names it."""
    try:
        return msgspec.convert(value, Record)
    except msgspec.ValidationError as error:
        raise UnreadableError(f"not a job record: {error}") from error
