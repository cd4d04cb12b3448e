"""Admission with several controllers that fail: stories against the simulated cluster."""

import logging
import threading

import msgspec
import orjson
import pytest
from fakes.cluster import Cluster
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bayford.admission.choice import decide
from bayford.admission.level import POSITIONS, Flow, Level, Window, encode
from bayford.coordination.leader.admission_control import TaskLogFacts, WorkloadFacts
from bayford.protocol import jobs
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import Put, Row
from standins.admission_history import (
    Told,
    accepted_under,
    against_level,
    began_too_late,
    chosen_differently,
    refused_wrongly,
)
from standins.history import done_again
from standins.workers import Event

KEY = "07" * 32
ON = Policy(
    hold_s=0.0,
    hold_idle_s=0.0,
    admission=True,
    extra_classes=("sweep", "build"),
    admission_window_s=6.0,
    admission_clear_s=4.0,
)
SWEEP = Flow(1, "sweep", "red")
NODES = ("n0", "n1", "n2")


def admission_cluster(policy=ON, machines=4):
    cluster = Cluster(nodes=3, policy=policy, writes=10.0)
    for _ in range(machines):
        cluster.machine(spot=False)
    for _ in range(4):
        cluster.step()
    return cluster


def level(share, number=1, start=0, key=KEY):
    width = int(share * POSITIONS)
    return Level(number, 1.0, key, "submissions", windows=(Window(1, "sweep", "red", start, width),))


def publish(cluster, value):
    """A level appears in the store; what the leader would write is left out."""
    outcome = cluster.store.execute({}, [Put(records.ADMISSION, value)])
    assert outcome.applied
    return outcome.revision


def body_of(cluster, number, **fields):
    return cluster.job(number, parts=1, **fields)


def answer(cluster, node, number, **fields):
    """Submit; what was told, with the level that a refusal names."""
    body = body_of(cluster, number, **fields)
    reply = cluster.nodes[node].submit(body)
    if reply.status in (200, 201):
        cluster.specs[f"req-{number:06d}"] = jobs.parse_submission(body)
        cluster.accepted.add(f"req-{number:06d}")
    revision = orjson.loads(reply.body)["revision"] if reply.status == 429 else 0
    return Told(node, f"req-{number:06d}", reply.status, revision)


def refused_number(found, flow=SWEEP, start=1):
    """A job that this level refuses."""
    return next(n for n in range(start, 10_000) if not decide(found, flow, f"req-{n:06d}").admitted)


def stored_level(cluster):
    return msgspec.convert(cluster.store.rows[records.ADMISSION][0], Level)


def flood(cluster, seconds, first, per_s=30, nodes=NODES, **fields):
    """New jobs come, and each that is refused comes again when it was told to. All answers."""
    told, due = [], []
    for step in range(int(seconds * 2)):
        now = cluster.clock.now
        fresh = [(now, first + step * (per_s // 2) + n) for n in range(per_s // 2)]
        again = [entry for entry in due if entry[0] <= now]
        due = [entry for entry in due if entry[0] > now]
        for at, number in again + fresh:
            node = nodes[number % len(nodes)]
            if node not in cluster.nodes:
                continue
            told.append(answer(cluster, node, number, **fields))
            if told[-1].status in (429, 503):
                due.append((at + 3.0, number))
        cluster.step()
    return told


def test_three_controllers_answer_alike_while_the_level_changes(monkeypatch):
    """One has read the old level when the new one is written: its acceptance must not stand."""
    cluster = admission_cluster()
    publish(cluster, encode(level(0.5), 4096))
    strict = level(0.1, 2)
    number = next(
        n
        for n in range(1, 9999)
        if decide(level(0.5), SWEEP, f"req-{n:06d}").admitted
        and not decide(strict, SWEEP, f"req-{n:06d}").admitted
    )
    commit = cluster.store.execute

    def level_first(conditions, puts):
        if any(put.key.startswith(records.JOBS) for put in puts) and stored_level(cluster).number == 1:
            commit({}, [Put(records.ADMISSION, encode(strict, 4096))])
        return commit(conditions, puts)

    monkeypatch.setattr(cluster.store, "execute", level_first)
    told = [answer(cluster, node, number) for node in NODES]
    assert [each.status for each in told] == [429, 429, 429]
    assert len({each.revision for each in told}) == 1
    assert records.key(f"req-{number:06d}") not in cluster.store.rows


def test_a_controller_that_restarts_answers_by_the_level_it_has_still_to_read():
    cluster = admission_cluster()
    revision = publish(cluster, encode(level(0.1), 4096))
    number = refused_number(level(0.1))
    cluster.boot("n2")
    assert answer(cluster, "n2", number) == Told("n2", f"req-{number:06d}", 429, revision)


@pytest.mark.parametrize("how", ["unreachable_from", "unavailable_to", "reads_unanswered_for"])
def test_a_controller_cut_from_the_state_service_decides_nothing_by_an_old_level(how):
    cluster = admission_cluster()
    publish(cluster, encode(level(0.5), 4096))
    admitted = next(n for n in range(1, 99) if decide(level(0.5), SWEEP, f"req-{n:06d}").admitted)
    assert answer(cluster, "n2", refused_number(level(0.5))).status == 429
    getattr(cluster.store, how).add("n2")
    publish(cluster, encode(level(0.01, 2), 4096))
    assert answer(cluster, "n2", admitted).status == 503
    assert answer(cluster, "n2", refused_number(level(0.5))).status == 503


def test_a_level_carried_out_after_its_successors_has_no_effect():
    cluster = admission_cluster()
    leader = cluster.leader()
    flood(cluster, 6, 1)
    cluster.store.delays_next_write_of.add(leader)
    node = cluster.nodes[leader]
    node._admission.not_written()
    assert not cluster.try_step(node.admission_once), "its answer is lost"
    assert cluster.store.delayed_writes and cluster.store.delayed_writes[0][1][0].key == records.ADMISSION
    del cluster.nodes[leader]
    rest = [name for name in NODES if name != leader]
    flood(cluster, 8, 1000, nodes=rest)
    before = cluster.store.rows[records.ADMISSION]
    assert cluster.leader() not in (None, leader) and not cluster.store.execute_delayed_writes()[0].applied
    assert cluster.store.rows[records.ADMISSION] == before


def test_an_acceptance_whose_answer_was_lost_stays_one_while_the_level_rises():
    cluster = admission_cluster()
    number = refused_number(level(0.1))
    cluster.store.loses_next_response_to.add("n1")
    assert answer(cluster, "n1", number).status == 503
    publish(cluster, encode(level(0.1), 4096))
    assert [answer(cluster, node, number).status for node in NODES] == [200, 200, 200]


def test_an_acceptance_carried_out_late_does_not_stand_against_a_newer_level():
    cluster = admission_cluster()
    number = refused_number(level(0.1))
    cluster.store.delays_next_write_of.add("n1")
    assert answer(cluster, "n1", number).status == 503
    publish(cluster, encode(level(0.1), 4096))
    assert not cluster.store.execute_delayed_writes()[0].applied
    assert [answer(cluster, node, number).status for node in NODES] == [429, 429, 429]


def test_a_refusal_is_answered_at_once_and_writes_nothing():
    cluster = admission_cluster()
    publish(cluster, encode(level(0.1), 4096))
    number = refused_number(level(0.1))
    before = dict(cluster.store.rows)
    reply = cluster.nodes["n0"].submit(body_of(cluster, number))
    said = orjson.loads(reply.body)
    assert (reply.status, said["class"], said["team"], said["reason"]) == (429, "sweep", "red", "submissions")
    assert 1 <= reply.retry_after_s <= 30 and cluster.store.rows == before
    again = cluster.nodes["n1"].submit(body_of(cluster, number))
    assert (again.status, orjson.loads(again.body)) == (429, said), "whoever is asked"
    assert answer(cluster, "n0", number, rank="urgent", lane="build").status == 201, "another flow"


def test_cancellations_questions_and_repeats_pass_in_a_flood():
    cluster = admission_cluster()
    number = refused_number(level(0.01))
    assert answer(cluster, "n0", number).status == 201
    publish(cluster, encode(level(0.01), 4096))
    assert answer(cluster, "n1", number).status == 200
    assert cluster.query("n2", f"req-{number:06d}") is not None
    assert cluster.cancel("n1", f"req-{number:06d}") == "aborted"
    assert answer(cluster, "n0", number).status == 200


def test_jobs_that_are_never_valid_count_for_nothing():
    cluster = admission_cluster()
    for number in range(1, 200):
        node = cluster.nodes[NODES[number % 3]]
        assert node.submit(body_of(cluster, number, crew="nobody")).status == 422
        assert node.submit(body_of(cluster, number, cpus=-1.0)).status == 400
        if not number % 20:
            cluster.step()
    assert not any(node._gate.submitted().jobs for node in cluster.nodes.values())
    assert records.ADMISSION not in cluster.store.rows


@pytest.mark.parametrize("broken", [None, {"v": 9}, "odd", encode(level(0.5), 4096) | {"v": 2}])
def test_a_level_that_is_deleted_or_unreadable_admits_everything_and_is_replaced(broken, caplog):
    cluster = admission_cluster()
    publish(cluster, encode(level(0.01), 4096))
    number = refused_number(level(0.01))
    assert answer(cluster, "n1", number).status == 429
    with caplog.at_level(logging.ERROR):
        publish(cluster, broken)
        assert [answer(cluster, node, number).status for node in NODES] == [201, 200, 200]
        answer(cluster, "n1", number + 1)
    assert broken is None or "everything is admitted" in caplog.text
    told = flood(cluster, 6, 1000)
    assert 429 in {each.status for each in told} and stored_level(cluster).windows


def test_a_level_is_not_in_force_beside_a_controller_that_knows_none():
    """It comes back on the old version, and goes again."""
    cluster = admission_cluster()
    publish(cluster, encode(level(0.01), 4096))
    number = refused_number(level(0.01))
    assert answer(cluster, "n0", number).status == 429
    cluster.boot("n2", Policy(hold_s=0.0, hold_idle_s=0.0))
    assert [answer(cluster, node, number).status for node in ("n0", "n1", "n2")] == [201, 200, 200]
    told = flood(cluster, 6, 1000)
    assert {each.status for each in told} <= {201, 200, 503}
    cluster.boot("n2")
    assert answer(cluster, "n0", refused_number(level(0.01), start=5000)).status == 429


def test_a_flood_of_one_team_leaves_the_others_alone_and_ends():
    """Also the urgent class, a team without a guarantee, and the end: all is admitted, without swinging."""
    cluster = admission_cluster(machines=8)
    cluster.store.write_rps = 10.0
    others = {"crew": "blue"}
    told, names_process, urgent = [], [], []
    for round_number in range(12):
        told += flood(cluster, 1, 1000 + 100 * round_number, per_s=40)
        names_process.append(answer(cluster, NODES[round_number % 3], 10 + round_number, **others))
        urgent.append(
            answer(cluster, NODES[round_number % 3], 50 + round_number, lane="build", rank="urgent")
        )
    refusing = stored_level(cluster)
    assert refusing.windows and {window.team for window in refusing.windows} == {"red"}
    assert {window.job_class for window in refusing.windows} == {"sweep"}, "urgent ones go first"
    assert all(each.status != 429 for each in names_process + urgent)
    assert cluster.nodes[cluster.leader()].writes.rate < 4.0, "the ledger keeps to what the acceptances leave"
    assert any(each.status == 201 for each in told[-400:]), "the flood itself goes on"
    numbers = []
    for _ in range(60):
        cluster.step()
        numbers.append(stored_level(cluster).number)
    assert stored_level(cluster).is_open
    assert cluster.nodes[cluster.leader()].writes.rate == pytest.approx(7.0)
    assert len(set(numbers[30:])) == 1, "no swinging"
    assert answer(cluster, "n1", 9999).status == 201
    history = [Row(row.key, row.value, row.version) for row in cluster.store.changes]
    flows = {each.job_id: SWEEP for each in told}
    assert against_level(history, flows) == [] and refused_wrongly(history, told, flows) == []


def test_urgent_jobs_are_told_as_done_before_the_long_queue_of_others():
    cluster = admission_cluster(machines=2)
    leader = cluster.leader()
    scheduler = cluster.nodes[leader].scheduler
    for number in range(1, 5):
        assert answer(cluster, leader, number).status == 201
    assert answer(cluster, leader, 5, lane="build", rank="urgent").status == 201
    for _ in range(4):
        cluster.step()
    for urgent in (False, True):  # the urgent one is the last to end
        for worker in cluster.workers.values():
            for task_id in [p for p in worker.running() if p.startswith("req-000005") == urgent]:
                cluster.done_tasks.add(task_id)
                worker.finish(task_id)
            cluster.heartbeat(worker)
    assert (
        list(scheduler.state.pending_completions)[-1] == "req-000005"
        and len(scheduler.state.pending_completions) == 5
    )
    batch = scheduler.take_batch(2)
    assert batch.over[0] == "req-000005" and len(batch.over) == 1


def test_accepted_jobs_are_noted_while_the_leader_works_out_a_level():
    """The leader's state is locked when it tells of an accepted job: neither may wait for the other."""
    cluster = admission_cluster()
    node = cluster.nodes[cluster.leader()]
    control, task_log = node._admission, TaskLogFacts(0, 0.0)

    def gather():
        control.note_accepted(SWEEP, cluster.clock.now)  # as another thread does under the state's lock
        return WorkloadFacts(frozenset(), {})

    step = threading.Thread(
        target=control.step,
        args=(node.scheduler.term, node._gate.view(), gather, task_log, cluster.clock.now + 9.0, 1.0),
        daemon=True,
    )
    step.start()
    step.join(5.0)
    assert not step.is_alive()


def test_a_backlog_counts_only_while_the_cloud_gives_no_more_machines():
    cluster = admission_cluster(machines=2)
    leader = cluster.leader()
    scheduler = cluster.nodes[leader].scheduler
    cluster.submit(leader, cluster.job(1, parts=50, guess_s=100.0, crew="open"))
    cluster.step()
    assert scheduler.workload_facts().backlog_s == {}, "the fleet may still grow"
    cluster.cloud.capacity = 0
    for _ in range(4):
        cluster.cloud_step(leader)
        cluster.step()
    facts = scheduler.workload_facts()
    assert facts.backlog_s[1] == pytest.approx(50 * 100.0 / 8.0, rel=0.2)
    assert facts.over_guarantee == {"open"}, "50 CPUs of open work, none guaranteed"
    cluster.machine(spot=False)
    cluster.machine(spot=False)
    cluster.cloud.capacity = 10
    cluster.pass_time(30.0)
    cluster.cloud_step(leader)
    assert scheduler.workload_facts().backlog_s == {}, "machines are asked for again"


def test_a_new_leader_in_a_flood_goes_on_with_the_level():
    cluster = admission_cluster()
    told = flood(cluster, 8, 1)
    before = stored_level(cluster)
    leader = cluster.leader()
    assert before.windows and leader is not None
    del cluster.nodes[leader]
    told += flood(cluster, 6, 1000, nodes=[name for name in NODES if name != leader])
    assert cluster.leader() not in (None, leader)
    after = stored_level(cluster)
    assert after.number > before.number and after.key == before.key and after.since == before.since
    cluster.boot(leader)
    told += flood(cluster, 8, 2000)
    history = [Row(row.key, row.value, row.version) for row in cluster.store.changes]
    flows = {each.job_id: SWEEP for each in told}
    assert against_level(history, flows) == [] and refused_wrongly(history, told, flows) == []


class Admission(RuleBasedStateMachine):
    """Three controllers, a level that changes, lost and late writes, restarts: whatever is played."""

    def __init__(self):
        super().__init__()
        self.cluster = admission_cluster(machines=1)
        self.told = []
        self.number = 0

    @rule(share=st.sampled_from([0.05, 0.3, 0.7]), start=st.integers(0, POSITIONS - 1))
    def publish(self, share, start):
        row = self.cluster.store.rows.get(records.ADMISSION)
        number = 1 if row is None else row[0]["number"] + 1
        publish(self.cluster, encode(level(share, number, start), 4096))

    @rule(node=st.sampled_from(NODES), number=st.integers(1, 6))
    def submit(self, node, number):
        self.told.append(answer(self.cluster, node, number))

    @rule(
        node=st.sampled_from(NODES), fault=st.sampled_from(["loses_next_response_to", "delays_next_write_of"])
    )
    def lose(self, node, fault):
        getattr(self.cluster.store, fault).add(node)

    @rule(node=st.sampled_from(NODES), cut=st.booleans())
    def cut(self, node, cut):
        (self.cluster.store.unavailable_to.add if cut else self.cluster.store.unavailable_to.discard)(node)

    @rule()
    def carry_out_late(self):
        self.cluster.store.execute_delayed_writes()

    @rule(node=st.sampled_from(NODES), knows=st.booleans())
    def restart(self, node, knows):
        self.cluster.boot(node, ON if knows else Policy(hold_s=0.0, hold_idle_s=0.0))

    @precondition(lambda self: records.ADMISSION in self.cluster.store.rows)
    @rule()
    def delete_level(self):
        self.cluster.store.execute({}, [Put(records.ADMISSION, None)])

    @rule()
    def go_on(self):
        self.cluster.step()

    @invariant()
    def nothing_stands_against_its_level(self):
        flows = {f"req-{n:06d}": SWEEP for n in range(1, 7)}
        assert against_level(self.cluster.store.changes, flows) == []
        assert refused_wrongly(self.cluster.store.changes, self.told, flows) == []


Admission.TestCase.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=25, deadline=None
)
TestAdmission = Admission.TestCase


LEVEL = Row(records.ADMISSION, encode(level(0.01), 4096), 5)
LOST = f"req-{refused_number(level(0.01)):06d}"
WRITTEN = Row(records.key(LOST), [], 6)
FLOWS = {LOST: SWEEP}


def test_the_checks_find_what_is_wrong():
    assert against_level([LEVEL, WRITTEN], FLOWS) == [LOST]
    assert against_level([WRITTEN, LEVEL], FLOWS) == []
    assert against_level([Row(records.MEMBERS + "n0", "i", 1), LEVEL, WRITTEN], FLOWS) == []
    refused = Told("n0", LOST, 429, 5)
    assert refused_wrongly([LEVEL], [refused], FLOWS) == []
    assert refused_wrongly([LEVEL], [Told("n0", LOST, 429, 4)], FLOWS), "by no level"
    assert refused_wrongly([Row(records.key(LOST), [], 3), LEVEL], [refused], FLOWS), "known already"
    admitting = Row(records.ADMISSION, encode(level(1.0), 4096), 5)
    assert refused_wrongly([admitting], [refused], FLOWS)
    assert chosen_differently([refused, *accepted_under([LEVEL, WRITTEN])]) == [LOST]
    assert chosen_differently([refused, *accepted_under([WRITTEN, LEVEL])]) == []
    done, forgotten = Event("req-1/0", 1, "vm-1", "done"), Event("req-1/0", 1, "vm-1", "forgotten")
    again = Event("req-1/0", 2, "vm-2", "done")
    assert done_again([done, again]) == ["req-1/0"] and done_again([done, forgotten, again]) == []
    assert began_too_late({"a": 5, "b": 3}, [("a", "b")]) == ["a"]
    assert began_too_late({"a": 2, "b": 3}, [("a", "b")]) == [] == began_too_late({}, [("a", "b")])
    assert began_too_late({"b": 3}, [("a", "b")]) == ["a"]
