"""Validation, settings, script, limit, transport: the parts that the stories don't reach."""

import dataclasses
import json
import socket
import threading
from pathlib import Path

import orjson
import pytest
from fakes.cluster import SETTINGS, Cluster

from bayford import cli, config, script
from bayford.clock import NEVER
from bayford.coordination.leadership.membership import lacks_failover_neighbour
from bayford.protocol import jobs, mesh, workers
from bayford.scheduling import scaling
from bayford.scheduling.policy import Policy, setting_name
from bayford.storage import records
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_handlers import UserHandler
from bayford.transport.http_server import HttpServer, Request, Response

GOOD = json.loads(Cluster(1).job(1))
TEXT = SETTINGS.format(name="n9", zone="north", writes=15.0, value_kb=8.0, cancel_s=42.0, next_limits="")


def test_a_good_submission_survives_the_record():
    spec = jobs.parse_submission(orjson.dumps(GOOD | {"builds": ["small"], "due_s": 9.5}))
    record = records.Record(spec, 5.0, 0.0, True, 2)
    assert records.decode(orjson.loads(orjson.dumps(records.encode(record)))) == record
    for bad in ({}, [1, 2], "x", {"pieces": 2, "text": "!!"}):
        with pytest.raises(records.UnreadableError):
            records.decode(bad)


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
def test_every_field_is_checked(change):
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(orjson.dumps(GOOD | change))


@pytest.mark.parametrize("field", [k for k in GOOD if k not in ("builds", "yard", "due_s")])
def test_a_missing_field_is_malformed(field):
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(orjson.dumps({k: v for k, v in GOOD.items() if k != field}))


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"7", b"{", b'{"id":"a","id":"b"}', b"\xff", b'{"cpus":NaN}', b"[" * 100_000]
)
def test_what_is_no_object_is_malformed(body):
    with pytest.raises(jobs.InvalidError):
        jobs.parse_submission(body)


def test_non_finite_numbers_and_duplicates_are_malformed():
    text = orjson.dumps(GOOD).decode()
    for bad in ('"cpus":1e999', '"cpus":Infinity', '"cpus":1.0,"cpus":1.0'):
        with pytest.raises(jobs.InvalidError):
            jobs.parse_submission(text.replace('"cpus":1.0', bad).encode())


def test_null_fields_may_be_absent_and_unknown_ones_are_ignored():
    body = {k: v for k, v in GOOD.items() if k not in ("builds", "yard", "due_s")} | {"colour": "red"}
    spec = jobs.parse_submission(orjson.dumps(body))
    assert spec.types is None and spec.zone is None and spec.deadline_s is None


def test_settings_name_the_field_at_fault(tmp_path, capsys):
    assert config.parse(TEXT + "\n[extra]\nx = 1\n").member == "n9"
    for old, new, field in (
        ("lease_s = 12.0", "", "lease_s"),
        ("lease_s = 12.0", 'lease_s = "x"', "lease_s"),
        ('front = "127.0.0.1:1"', 'front = "nowhere"', "front"),
        ("rps = 3.0", "rps = 0.0", "cloud.rps"),
    ):
        path = tmp_path / "s.toml"
        path.write_text(TEXT.replace(old, new))
        assert cli.main(["check-config", "--config", str(path)]) == 2
        assert field in capsys.readouterr().err
    assert cli.main(["check-config", "--config", str(tmp_path / "none.toml")]) == 2


def test_the_script_sets_policy_and_its_errors_name_the_line(tmp_path):
    settings = config.parse(TEXT)
    text = "_n = len(site['zones'])\nif _n == 2:\n    aging_s = 7\npreempt_per_round = 2 * _n\n"
    policy = script.evaluate(text, "p.star", settings)
    assert policy == Policy(aging_s=7.0, preempt_per_round=4)
    for bad, line in (
        ("aging_s = 1\nagin_s = 2\n", "p.star:2"),
        ("x = \n", "p.star:1"),
        ("aging_s = 1 / 0\n", "p.star:1"),
        ("load('os', 'x')\n", "p.star"),
        ("aging_s = open('/etc/passwd')\n", "p.star:1"),
        ("aging_s = 'long'\n", "aging_s"),
        ("aging_s = -1.0\n", "aging_s"),
        ("guarantee_first = 3\n", "guarantee_first"),
    ):
        with pytest.raises(config.SettingsError) as caught:
            script.evaluate(bad, "p.star", settings)
        assert line in str(caught.value)
    path, star = tmp_path / "s.toml", tmp_path / "p.star"
    path.write_text(TEXT)
    star.write_text("aging_s = nothing\n")
    assert cli.main(["check-config", "--config", str(path), "--script", str(star)]) == 2


def test_the_shipped_script_documents_every_default():
    shipped = (Path(__file__).parent.parent / "deploy" / "policy.star").read_text()
    lines = [ln[2:] for ln in shipped.splitlines() if ln.startswith("# ") and " = " in ln]
    text = "\n".join(ln.split("#")[0] for ln in lines)
    assert script.evaluate(text, "p.star", config.parse(TEXT)) == Policy()
    assert all(any(ln.startswith(f"{setting_name(f)} =") for ln in lines) for f in Policy.__slots__)


def test_the_limit_falls_when_requests_get_slower_and_rises_again():
    now = [0.0]
    limit = ConcurrencyLimit(start=32.0, window=20, clock=lambda: now[0])

    def burst(seconds: float, count: int) -> None:
        for _ in range(count):
            waiting = [limit.enter() for _ in range(limit.limit)]
            assert all(w.__enter__() for w in waiting)
            with limit.enter() as entered:
                assert not entered, "over the limit: refused at once"
            now[0] += seconds
            for w in waiting:
                w.__exit__(None, None, None)

    burst(0.03, 5)
    fast = limit.limit
    assert fast > 32
    burst(0.5, 6)
    slow = limit.limit
    assert slow < fast / 2
    burst(0.03, 8)
    assert limit.limit > slow


def test_fleet_prefers_spot_remembers_refusals_and_takes_on_demand_machines_only_in_need():
    types = Cluster(1).cloud.catalog()
    spot, on_demand = scaling.MachinePool(0, 0, True), scaling.MachinePool(0, 0, False)
    need = scaling.Demand(frozenset({spot, on_demand}), 8, 1.0, 0.0, 1.0, 20.0, False, 0, 640.0, 640.0)

    def ask(need, refused=(), spare=None, yields=0.0, busy=50.0):
        need = dataclasses.replace(need, yielded=yields)
        got = scaling.plan_launches([need], types, spare or {}, frozenset(refused), busy, 1e9, 2.0)
        return [(r.pool, r.count) for r in got]

    assert ask(need) == [(spot, 2)]
    assert ask(need, spare={spot: 1}) == [(spot, 1)]
    assert ask(need, busy=1.0) == []
    assert ask(need, refused=[spot]) == []
    alone = dataclasses.replace(need, spot_cpus=0.0)
    assert ask(alone) == [(spot, 2)]
    assert ask(alone, refused=[spot]) == [(on_demand, 2)], "no cheap one is there nor to be had"
    late = scaling.Demand(need.pools, 8, 1.0, 0.0, 1.0, 20.0, False, 3, 640.0, 640.0)
    assert ask(late, refused=[spot]) == [(on_demand, 1)], "only as many as are worth it"
    urgent = scaling.Demand(need.pools, 8, 1.0, 0.0, 1.0, 20.0, True, 0, 640.0, 640.0)
    assert ask(urgent, refused=[spot]) == [(on_demand, 2)]
    assert ask(urgent, refused=[spot], yields=8.0) == [], "it may push out what yields"


def test_the_leaders_neighbour_should_be_in_the_other_zone():
    zones = {f"n{n}": "east" if n % 2 else "west" for n in range(7)}
    assert [name for name in sorted(zones) if lacks_failover_neighbour(name, zones)] == ["n6"], (
        "n0 is next, and west too"
    )
    assert not any(lacks_failover_neighbour(name, {"n0": "a", "n1": "a"}) for name in ("n0", "n1")), (
        "one zone: no difference"
    )


def test_a_heartbeat_survives_the_relay():
    body = (
        b'{"dock":"vm-1","addr":"1.2.3.4:5","build":"small","yard":"north","loaners":true,"shift":2,'
        b'"tick":9,"baton":4,"recall_s":null,"new":1,'
        b'"parts":[{"part":"req-1/3","try":2,"phase":"ended","cause":"done"}]}'
    )
    heartbeat = workers.parse_heartbeat(body)
    assert mesh.unpack_heartbeat(orjson.loads(orjson.dumps(mesh.pack_heartbeat(heartbeat)))) == heartbeat
    with pytest.raises(jobs.InvalidError):
        workers.parse_heartbeat(body.replace(b'"shift":2', b'"shift":"2"'))


def test_the_heartbeats_of_a_whole_zone_fit_into_few_changes_of_the_state_service():
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
    texts = mesh.pack_heartbeats(heartbeats, 8 * 1024 - 64)
    assert len(texts) <= 3 and all(len(text) <= 8 * 1024 - 64 for text in texts)
    assert [r for text in texts for r in mesh.unpack_heartbeats(text)] == heartbeats
    for bad in ("!", "", texts[0][:-5]):
        with pytest.raises(ValueError):
            mesh.unpack_heartbeats(bad)


def _ask(port: int, raw: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)
        out = b""
        while True:
            got = sock.recv(65536)
            if not got:
                return out
            out += got


def test_the_server_refuses_what_it_must_and_keeps_connections():
    def handle(request: Request) -> Response:
        return Response(200, request.body or request.path.encode())

    server = HttpServer("127.0.0.1", 0, handle, 8, "test")
    server.start()
    two = b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
    answer = _ask(server.port, two)
    assert answer.count(b"200 OK") == 2 and answer.endswith(b"hi")
    chunked = b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    assert _ask(server.port, chunked).endswith(b"abc")
    assert b" 413 " in _ask(server.port, b"POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")
    assert b" 400 " in _ask(server.port, b"nonsense\r\n\r\n")
    assert b" 431 " in _ask(server.port, b"GET /" + b"a" * 9000)
    half = b"POST /b HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"
    assert _ask(server.port, half) == b"", "a body that stops half way gets no answer"
    assert threading.active_count() < 20


def test_in_a_crowd_users_do_not_keep_connections_and_what_a_cut_left_behind_goes_soon():
    """A fleet that comes back from a cut found its own old connections, kept for 40 s, in its way."""
    cluster = Cluster()
    front = UserHandler(cluster.nodes["n0"], ConcurrencyLimit())
    server = HttpServer("127.0.0.1", 0, front.handle, 4, "crowd")
    server.start()
    ask = b"GET /api/jobs/req-000001 HTTP/1.1\r\n\r\n"

    def connect() -> socket.socket:
        return socket.create_connection(("127.0.0.1", server.port), timeout=5)

    def answer(sock: socket.socket) -> bytes:
        sock.sendall(ask)
        return sock.recv(65536)

    with connect() as first, connect() as second, connect() as third:
        for sock in (first, second, third):
            assert b"Connection: close" not in answer(sock), "no crowd, the connection is kept"
        with connect() as fourth:
            assert b"Connection: close" in answer(fourth) and fourth.recv(1) == b""
        assert b"Connection: close" not in answer(first), "there is room again"
    facts = cluster.settings("n0").facts.workers
    heartbeat = orjson.dumps(
        {
            "dock": "vm-000001",
            "addr": "10.1.0.1:9000",
            "build": "small",
            "yard": "north",
            "loaners": True,
            "shift": 1,
            "tick": 1,
            "baton": 0,
            "recall_s": None,
            "parts": [],
        }
    )
    kept = front.handle(Request("POST", workers.HEARTBEAT_PATH, heartbeat, NEVER))
    assert (
        kept.status in (200, 421, 503)
        and 1.25 * facts.heartbeat_interval_s + 4.0 < kept.idle_s < facts.lease_s
    )


@pytest.mark.parametrize(
    ("coming", "field"),
    [
        ("value_kb = 0", "value_kb"),
        ("txn_ops = -1", "txn_ops"),
        ("rps = 0.0", "rps"),
        ('write_rps = "x"', "write_rps"),
    ],
)
def test_limits_to_come_are_checked_like_every_setting(coming, field):
    text = SETTINGS.format(
        name="n9",
        zone="north",
        writes=15.0,
        value_kb=8.0,
        cancel_s=42.0,
        next_limits=f"[facts.state.next]\n{coming}",
    )
    with pytest.raises(config.SettingsError, match=f"state.next.{field}"):
        config.parse(text)
    found = config.parse(text.replace(coming, "novelty = 3")).facts.state.next
    assert found is not None and found.value_kb is None, "each may be absent, unknown ones are ignored"
