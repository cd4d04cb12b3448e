"""Encoding of heartbeats that controllers pass to each other."""

import base64
import random
import string
import zlib

import orjson
import pytest

from bayford.coordination.workers.relayed_heartbeats import MAX_ROW_AGE_S, RelayedHeartbeats
from bayford.protocol import jobs, mesh, message_sizes, workers
from bayford.storage.key_value_store import Row

BODY = (
    b'{"dock":"vm-1","addr":"1.2.3.4:5","build":"small","yard":"north","loaners":true,"shift":2,'
    b'"tick":9,"baton":4,"recall_s":null,"new":1,'
    b'"parts":[{"part":"req-1/3","try":2,"phase":"ended","cause":"done"}]}'
)


def test_a_heartbeat_is_unchanged_by_packing_and_unpacking() -> None:
    heartbeat = workers.parse_heartbeat(BODY)
    assert mesh.unpack_heartbeat(orjson.loads(orjson.dumps(mesh.pack_heartbeat(heartbeat)))) == heartbeat


def test_a_heartbeat_with_a_field_of_the_wrong_type_is_refused() -> None:
    with pytest.raises(jobs.InvalidError):
        workers.parse_heartbeat(BODY.replace(b'"shift":2', b'"shift":"2"'))


def test_the_heartbeats_of_a_whole_zone_fit_into_few_values() -> None:
    heartbeats = [
        workers.Heartbeat(
            machine=f"vm-{n:06d}",
            address=f"10.1.{n // 250}.{n % 250}:9000",
            type="wrobel",
            zone="krakow",
            spot=True,
            epoch=1,
            sequence=n * 7,
            fencing_token=3,
            tasks=[
                workers.TaskState(
                    task_id=f"req-{n * 37 % 999:06d}/{k + n}", attempt=n * 4 + k, phase="running"
                )
                for k in range(4)
            ],
        )
        for n in range(320)
    ]
    packed = mesh.pack_heartbeats(heartbeats, 8 * 1024 - 64)
    assert len(packed) <= 3
    assert all(len(text) <= 8 * 1024 - 64 for text in packed)
    parts = [part for text in packed for part in mesh.unpack_heartbeats(text)]
    assert parts == [(heartbeat, 0, 1) for heartbeat in heartbeats]
    for invalid in ("!", "", packed[0][:-5]):
        with pytest.raises(mesh.UnreadableHeartbeatsError):
            mesh.unpack_heartbeats(invalid)


VALUE_BYTES = 4096
ENVELOPE_BYTES = 64


def full_machine(sequence: int = 1) -> workers.Heartbeat:
    """A heartbeat with as many tasks as a machine can report, each of a job with a long random id."""
    rng = random.Random(1)
    tasks = [
        workers.TaskState("req-" + "".join(rng.choices(string.ascii_letters, k=64)) + "/0", n + 1, "running")
        for n in range(message_sizes.MIN_REPORTABLE_TASKS)
    ]
    for task in tasks[-3:]:
        task.phase, task.reason = workers.ENDED, workers.DONE
    return workers.Heartbeat("vm-1", "10.0.0.1:9", "small", "north", True, 1, sequence, 1, tasks)


def rows_of(heartbeat: workers.Heartbeat, at: float = 0.0, value_bytes: int = VALUE_BYTES) -> list[Row]:
    """The rows in which a relay passes a heartbeat on."""
    texts = mesh.pack_heartbeats([heartbeat], value_bytes - ENVELOPE_BYTES)
    values = [{"at": at, "reports": text} for text in texts]
    assert all(len(orjson.dumps(value)) <= value_bytes for value in values)
    return [Row(f"b/relay/n2/{number}", value, 1) for number, value in enumerate(values)]


# Guards against a value of the state service that is too large to be written, so that the leader never hears
# of the machine.
def test_a_heartbeat_that_does_not_fit_into_one_value_is_split_and_joined() -> None:
    heartbeat = full_machine()
    rows = rows_of(heartbeat)
    assert len(rows) > 1
    relayed = RelayedHeartbeats()
    results = [relayed.decode(row, 0.0)[1] for row in random.Random(2).sample(rows, len(rows))]
    assert [len(result) for result in results] == [0] * (len(rows) - 1) + [1]
    (joined,) = results[-1]
    assert sorted(joined.tasks, key=lambda task: task.attempt) == heartbeat.tasks
    assert joined.order == heartbeat.order and joined.machine == "vm-1"


def test_parts_of_different_heartbeats_are_not_joined_and_old_ones_are_forgotten() -> None:
    relayed = RelayedHeartbeats()
    older, newer = rows_of(full_machine(1)), rows_of(full_machine(2))
    for row in [*older[:-1], newer[0], older[-1]]:
        assert relayed.decode(row, 0.0)[1] == []
    results = [heartbeat for row in newer[1:] for heartbeat in relayed.decode(row, 0.0)[1]]
    assert [heartbeat.sequence for heartbeat in results] == [2]
    late = MAX_ROW_AGE_S + 1.0
    relayed.decode(older[0], 0.0)
    assert all(relayed.decode(Row(row.key, row.value | {"at": late}, 2), late)[1] == [] for row in older[1:])


# Guards against a heartbeat that lacks tasks, or lists them twice, after the size of values has changed.
@pytest.mark.parametrize(
    ("before", "after"), [(VALUE_BYTES, 4 * VALUE_BYTES), (4 * VALUE_BYTES, VALUE_BYTES)]
)
@pytest.mark.parametrize("read_before", [1, 2, 3])
def test_parts_of_the_same_heartbeat_that_was_split_twice_are_not_mixed(
    before: int, after: int, read_before: int
) -> None:
    heartbeat = full_machine()
    first, second = rows_of(heartbeat, value_bytes=before), rows_of(heartbeat, value_bytes=after)
    assert len(first) != len(second) and min(len(first), len(second)) > 1
    relayed = RelayedHeartbeats()
    rows = [*first[: min(read_before, len(first) - 1)], *second]
    results = [heartbeat for row in rows for heartbeat in relayed.decode(row, 0.0)[1]]
    assert [sorted(result.tasks, key=lambda task: task.attempt) for result in results] == [heartbeat.tasks]


def test_an_earlier_release_reads_the_ended_tasks_from_the_first_part() -> None:
    """It reads the first ten fields of a heartbeat and ignores the rest, as `tests/fixtures` has the form."""
    first = rows_of(full_machine())[0].value["reports"]
    (packed,) = orjson.loads(zlib.decompress(base64.b85decode(first)))
    heartbeat = mesh.unpack_heartbeat(packed)
    assert [task.phase for task in heartbeat.tasks[:4]] == ["ended"] * 3 + ["running"]


@pytest.mark.parametrize("tasks", [0, 1, 2, 3])
def test_a_heartbeat_is_not_split_further_than_into_single_tasks(tasks: int) -> None:
    heartbeat = full_machine()
    heartbeat.tasks = heartbeat.tasks[:tasks]
    texts = mesh.pack_heartbeats([heartbeat], max_chars=10)
    assert len(texts) == max(1, tasks)
