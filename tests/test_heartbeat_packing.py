"""Encoding of heartbeats that controllers pass to each other."""

import orjson
import pytest

from bayford.protocol import jobs, mesh, workers

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
    assert [heartbeat for text in packed for heartbeat in mesh.unpack_heartbeats(text)] == heartbeats
    for invalid in ("!", "", packed[0][:-5]):
        with pytest.raises(mesh.UnreadableHeartbeatsError):
            mesh.unpack_heartbeats(invalid)
