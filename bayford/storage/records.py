"""The stored form of a job, and the keys of all data in the key-value store.

A job is stored in two places, because its parts change at different rates. A small record under `b/j/<id>`
has the job specification and whether the job is cancelled or finished. It is written when the job is
accepted, cancelled or finished, and only compare-and-swap on its version orders a cancellation and the end of
the last task. The placement and completion of tasks, which the leader decides, change hundreds of times a
second. They are in the task log (`storage.task_log`), where one write carries the changes of many jobs.

During a rolling upgrade other releases read these values, too, so neither the keys nor the order of the
fields may change.
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
# The value size that determines the task log's block size. The first release does not use this key.
LAYOUT = "b/layout"
LEADERSHIP = "b/map"
ADMISSION = "b/admission"  # the leader's admission level; since release 4
FEATURES = "b/feature/"  # features of a live controller, written with its member key; since release 4
ZONES = "b/zone/"  # state and losses of a zone; since release 3
MIGRATION_COUNTS = "b/moves/"  # restarts by migration, one key per migrated job; since release 3
MEMBERS = "b/member/"
RELAYS = "b/relay/"
SUMMARIES = "b/sum/"


class UnreadableError(StorageError):
    """A stored value that no release writes. It must not be treated as an absent value."""


class Record(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The stored record of a job. It is encoded as an array, so the order of the fields is significant."""

    spec: JobSpec
    created: float  # time of day in seconds; deadlines are relative to it
    cancelled: float = 0.0  # time of day of the cancellation in seconds; 0 if not cancelled
    finished: bool = False
    done: int = 0  # number of tasks done when the job finished or was cancelled

    @property
    def is_final(self) -> bool:
        """Whether the record is final: it must not change again."""
        return self.finished or self.cancelled > 0


class JobState(msgspec.Struct):
    """A job's record and its task counts from the task log, both of the same revision."""

    record: Record
    version: int  # of the record
    open: int = 0  # number of tasks on machines
    done: int = 0  # number of tasks done


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS + job_id


def migration_counts_key(job_id: str) -> str:
    """Return the key of a job's counts of restarts by migration."""
    return MIGRATION_COUNTS + job_id


def encode(record: Record) -> Any:
    """Return the value of a record."""
    return msgspec.to_builtins(record)


def encoded_size(value: Any) -> int:
    """Return the size of a value as JSON in bytes: the larger of the results of the two usual encoders."""
    return max(len(orjson.dumps(value)), len(json.dumps(value, separators=(",", ":"))))


def encode_within(record: Record, max_bytes: int) -> Any:
    """Return the value of a final record, reduced if it is larger than `max_bytes` bytes.

    The job may have been accepted when the maximum value size was larger. None of its tasks will start again,
    so the fields that only say where and with what they may run are cleared. Its team and resource amounts
    stay, since some of its tasks may still be on machines. The result may still exceed `max_bytes`.
    """
    value = encode(record)
    if encoded_size(value) <= max_bytes:
        return value
    reduced_spec = msgspec.structs.replace(record.spec, types=None, zone=None, image="-", job_class="-")
    return encode(msgspec.structs.replace(record, spec=reduced_spec))


def decode(value: Any) -> Record:
    """Decode a record. Raises UnreadableError, without the key; the caller reports the key."""
    try:
        return msgspec.convert(value, Record)
    except msgspec.ValidationError as error:
        raise UnreadableError(f"not a job record: {error}") from error
