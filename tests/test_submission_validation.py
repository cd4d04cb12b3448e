"""Tests of the validation of submissions and of their stored records."""

import json

import orjson
import pytest
from fakes.cluster import Cluster

from bayford.protocol import jobs
from bayford.storage import records

VALID_SUBMISSION = json.loads(Cluster(1).job(1))
NULLABLE = ("builds", "yard", "due_s")


def test_the_record_of_a_valid_submission_is_unchanged_by_encoding_and_decoding() -> None:
    spec = jobs.parse_submission(orjson.dumps(VALID_SUBMISSION | {"builds": ["small"], "due_s": 9.5}))
    record = records.Record(spec, 5.0, 0.0, True, 2)
    assert records.decode(orjson.loads(orjson.dumps(records.encode(record)))) == record


@pytest.mark.parametrize("stored", [{}, [1, 2], "x", {"pieces": 2, "text": "!!"}])
def test_a_malformed_record_is_unreadable(stored: object) -> None:
    with pytest.raises(records.UnreadableError):
        records.decode(stored)


@pytest.mark.parametrize(
    "change",
    [
        {"id": "job 1"},
        {"id": "../x"},
        {"id": 7},
        {"parts": 0},
        {"parts": 100_001},
        {"parts": 2.5},
        {"parts": True},
        {"cpus": -1.0},
        {"cpus": "1"},
        {"cpus": None},
        {"rank": "top"},
        {"shape": "tree"},
        {"together": 1},
        {"builds": "small"},
        {"builds": [1]},
        {"yard": 3},
        {"bundle": ""},
        {"crew": None},
        {"due_s": -1.0},
        {"guess_s": [1]},
        {"mem_gb": 1e300},
    ],
)
def test_a_submission_with_an_invalid_field_is_refused(change: dict[str, object]) -> None:
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(orjson.dumps(VALID_SUBMISSION | change))


@pytest.mark.parametrize("field", [k for k in VALID_SUBMISSION if k not in NULLABLE])
def test_a_submission_without_a_required_field_is_refused(field: str) -> None:
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(orjson.dumps({k: v for k, v in VALID_SUBMISSION.items() if k != field}))


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"7", b"{", b'{"id":"a","id":"b"}', b"\xff", b'{"cpus":NaN}', b"[" * 100_000]
)
def test_a_body_that_is_not_a_json_object_is_refused(body: bytes) -> None:
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(body)


@pytest.mark.parametrize("fields", ['"cpus":1e999', '"cpus":Infinity', '"cpus":1.0,"cpus":1.0'])
def test_non_finite_numbers_and_duplicate_fields_are_refused(fields: str) -> None:
    text = orjson.dumps(VALID_SUBMISSION).decode()
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(text.replace('"cpus":1.0', fields).encode())


def test_nullable_fields_may_be_absent_and_unknown_fields_are_ignored() -> None:
    body = {k: v for k, v in VALID_SUBMISSION.items() if k not in NULLABLE} | {"colour": "red"}
    spec = jobs.parse_submission(orjson.dumps(body))
    assert spec.types is None
    assert spec.zone is None
    assert spec.deadline_s is None
