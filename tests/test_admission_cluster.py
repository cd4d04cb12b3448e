"""Admission with several controllers that fail: stories against the simulated cluster."""

import logging
import threading

import msgspec
import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from world import World

from bayford.admission.choice import decide
from bayford.admission.facts import TaskLogFacts, WorkloadFacts
from bayford.admission.level import POSITIONS, Flow, Level, Window, encode
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


def cluster(policy=ON, machines=4):
    w = World(nodes=3, policy=policy, writes=10.0)
    for _ in range(machines):
        w.machine(spot=False)
    for _ in range(4):
        w.step()
    return w


def level(share, number=1, start=0, key=KEY):
    width = int(share * POSITIONS)
    return Level(number, 1.0, key, "submissions", windows=(Window(1, "sweep", "red", start, width),))


def publish(w, value):
    """A level appears in the store; what the leader would write is left out."""
    outcome = w.state.execute({}, [Put(records.ADMISSION, value)])
    assert outcome.applied
    return outcome.revision


def body_of(w, number, **fields):
    return w.job(number, parts=1, **fields)


def answer(w, node, number, **fields):
    """Submit; what was told, with the level that a refusal names."""
    body = body_of(w, number, **fields)
    reply = w.nodes[node].submit(body)
    if reply.status in (200, 201):
        w.specs[f"req-{number:06d}"] = jobs.parse_submission(body)
        w.accepted.add(f"req-{number:06d}")
    revision = orjson.loads(reply.body)["revision"] if reply.status == 429 else 0
    return Told(node, f"req-{number:06d}", reply.status, revision)


def refused_number(found, flow=SWEEP, start=1):
    """A job that this level refuses."""
    return next(n for n in range(start, 10_000) if not decide(found, flow, f"req-{n:06d}").admitted)


def stored_level(w):
    return msgspec.convert(w.state.rows[records.ADMISSION][0], Level)


def flood(w, seconds, first, per_s=30, nodes=NODES, **fields):
    """New jobs come, and each that is refused comes again when it was told to. All answers."""
    told, due = [], []
    for step in range(int(seconds * 2)):
        now = w.clock.now
        fresh = [(now, first + step * (per_s // 2) + n) for n in range(per_s // 2)]
        again = [entry for entry in due if entry[0] <= now]
        due = [entry for entry in due if entry[0] > now]
        for at, number in again + fresh:
            node = nodes[number % len(nodes)]
            if node not in w.nodes:
                continue
            told.append(answer(w, node, number, **fields))
            if told[-1].status in (429, 503):
                due.append((at + 3.0, number))
        w.step()
    return told


def test_three_controllers_answer_alike_while_the_level_changes(monkeypatch):
    """One has read the old level when the new one is written: its acceptance must not stand."""
    w = cluster()
    publish(w, encode(level(0.5), 4096))
    strict = level(0.1, 2)
    number = next(
        n
        for n in range(1, 9999)
        if decide(level(0.5), SWEEP, f"req-{n:06d}").admitted
        and not decide(strict, SWEEP, f"req-{n:06d}").admitted
    )
    commit = w.state.execute

    def level_first(conditions, puts):
        if any(put.key.startswith(records.JOBS) for put in puts) and stored_level(w).number == 1:
            commit({}, [Put(records.ADMISSION, encode(strict, 4096))])
        return commit(conditions, puts)

    monkeypatch.setattr(w.state, "execute", level_first)
    told = [answer(w, node, number) for node in NODES]
    assert [each.status for each in told] == [429, 429, 429]
    assert len({each.revision for each in told}) == 1
    assert records.key(f"req-{number:06d}") not in w.state.rows


def test_a_controller_that_restarts_answers_by_the_level_it_has_still_to_read():
    w = cluster()
    revision = publish(w, encode(level(0.1), 4096))
    number = refused_number(level(0.1))
    w.boot("n2")
    assert answer(w, "n2", number) == Told("n2", f"req-{number:06d}", 429, revision)


@pytest.mark.parametrize("how", ["lost", "refuses", "blind"])
def test_a_controller_cut_from_the_state_service_decides_nothing_by_an_old_level(how):
    w = cluster()
    publish(w, encode(level(0.5), 4096))
    admitted = next(n for n in range(1, 99) if decide(level(0.5), SWEEP, f"req-{n:06d}").admitted)
    assert answer(w, "n2", refused_number(level(0.5))).status == 429
    getattr(w.state, how).add("n2")
    publish(w, encode(level(0.01, 2), 4096))
    assert answer(w, "n2", admitted).status == 503
    assert answer(w, "n2", refused_number(level(0.5))).status == 503


def test_a_level_carried_out_after_its_successors_has_no_effect():
    w = cluster()
    leader = w.leader()
    flood(w, 6, 1)
    w.state.hold.add(leader)
    node = w.nodes[leader]
    node.admission.control.not_written()
    assert not w.try_(node.admission.publish_once), "its answer is lost"
    assert w.state.held and w.state.held[0][1][0].key == records.ADMISSION
    del w.nodes[leader]
    rest = [name for name in NODES if name != leader]
    flood(w, 8, 1000, nodes=rest)
    before = w.state.rows[records.ADMISSION]
    assert w.leader() not in (None, leader) and not w.state.release()[0].applied
    assert w.state.rows[records.ADMISSION] == before


def test_an_acceptance_whose_answer_was_lost_stays_one_while_the_level_rises():
    w = cluster()
    number = refused_number(level(0.1))
    w.state.lose_answer.add("n1")
    assert answer(w, "n1", number).status == 503
    publish(w, encode(level(0.1), 4096))
    assert [answer(w, node, number).status for node in NODES] == [200, 200, 200]


def test_an_acceptance_carried_out_late_does_not_stand_against_a_newer_level():
    w = cluster()
    number = refused_number(level(0.1))
    w.state.hold.add("n1")
    assert answer(w, "n1", number).status == 503
    publish(w, encode(level(0.1), 4096))
    assert not w.state.release()[0].applied
    assert [answer(w, node, number).status for node in NODES] == [429, 429, 429]


def test_a_refusal_is_answered_at_once_and_writes_nothing():
    w = cluster()
    publish(w, encode(level(0.1), 4096))
    number = refused_number(level(0.1))
    before = dict(w.state.rows)
    reply = w.nodes["n0"].submit(body_of(w, number))
    said = orjson.loads(reply.body)
    assert (reply.status, said["class"], said["team"], said["reason"]) == (429, "sweep", "red", "submissions")
    assert 1 <= reply.retry_after_s <= 30 and w.state.rows == before
    again = w.nodes["n1"].submit(body_of(w, number))
    assert (again.status, orjson.loads(again.body)) == (429, said), "whoever is asked"
    assert answer(w, "n0", number, rank="urgent", lane="build").status == 201, "another flow"


def test_cancellations_questions_and_repeats_pass_in_a_flood():
    w = cluster()
    number = refused_number(level(0.01))
    assert answer(w, "n0", number).status == 201
    publish(w, encode(level(0.01), 4096))
    assert answer(w, "n1", number).status == 200
    assert w.query("n2", f"req-{number:06d}") is not None
    assert w.cancel("n1", f"req-{number:06d}") == "aborted"
    assert answer(w, "n0", number).status == 200


def test_jobs_that_are_never_valid_count_for_nothing():
    w = cluster()
    for number in range(1, 200):
        node = w.nodes[NODES[number % 3]]
        assert node.submit(body_of(w, number, crew="nobody")).status == 422
        assert node.submit(body_of(w, number, cpus=-1.0)).status == 400
        if not number % 20:
            w.step()
    assert not any(node.admission.gate.submitted().jobs for node in w.nodes.values())
    assert records.ADMISSION not in w.state.rows


@pytest.mark.parametrize("broken", [None, {"v": 9}, "odd", encode(level(0.5), 4096) | {"v": 2}])
def test_a_level_that_is_deleted_or_unreadable_admits_everything_and_is_replaced(broken, caplog):
    w = cluster()
    publish(w, encode(level(0.01), 4096))
    number = refused_number(level(0.01))
    assert answer(w, "n1", number).status == 429
    with caplog.at_level(logging.ERROR):
        publish(w, broken)
        assert [answer(w, node, number).status for node in NODES] == [201, 200, 200]
        answer(w, "n1", number + 1)
    assert broken is None or "everything is admitted" in caplog.text
    told = flood(w, 6, 1000)
    assert 429 in {each.status for each in told} and stored_level(w).windows


def test_a_level_is_not_in_force_beside_a_controller_that_knows_none():
    """It comes back on the old version, and goes again."""
    w = cluster()
    publish(w, encode(level(0.01), 4096))
    number = refused_number(level(0.01))
    assert answer(w, "n0", number).status == 429
    w.boot("n2", Policy(hold_s=0.0, hold_idle_s=0.0))
    assert [answer(w, node, number).status for node in ("n0", "n1", "n2")] == [201, 200, 200]
    told = flood(w, 6, 1000)
    assert {each.status for each in told} <= {201, 200, 503}
    w.boot("n2")
    assert answer(w, "n0", refused_number(level(0.01), start=5000)).status == 429


def test_a_flood_of_one_team_leaves_the_others_alone_and_ends():
    """Also the urgent class, a team without a guarantee, and the end: all is admitted, without swinging."""
    w = cluster(machines=8)
    w.state.write_rps = 10.0
    others = {"crew": "blue"}
    told, names_process, urgent = [], [], []
    for round_number in range(12):
        told += flood(w, 1, 1000 + 100 * round_number, per_s=40)
        names_process.append(answer(w, NODES[round_number % 3], 10 + round_number, **others))
        urgent.append(answer(w, NODES[round_number % 3], 50 + round_number, lane="build", rank="urgent"))
    refusing = stored_level(w)
    assert refusing.windows and {window.team for window in refusing.windows} == {"red"}
    assert {window.job_class for window in refusing.windows} == {"sweep"}, "urgent ones go first"
    assert all(each.status != 429 for each in names_process + urgent)
    assert w.nodes[w.leader()].commit_loop.writes.rate < 4.0, "the ledger keeps to what the acceptances leave"
    assert any(each.status == 201 for each in told[-400:]), "the flood itself goes on"
    numbers = []
    for _ in range(60):
        w.step()
        numbers.append(stored_level(w).number)
    assert stored_level(w).is_open
    assert w.nodes[w.leader()].commit_loop.writes.rate == pytest.approx(7.0)
    assert len(set(numbers[30:])) == 1, "no swinging"
    assert answer(w, "n1", 9999).status == 201
    history = [Row(row.key, row.value, row.version) for row in w.state.log]
    flows = {each.job_id: SWEEP for each in told}
    assert against_level(history, flows) == [] and refused_wrongly(history, told, flows) == []


def test_urgent_jobs_are_told_as_done_before_the_long_queue_of_others():
    w = cluster(machines=2)
    leader = w.leader()
    scheduler = w.nodes[leader].scheduler
    for number in range(1, 5):
        assert answer(w, leader, number).status == 201
    assert answer(w, leader, 5, lane="build", rank="urgent").status == 201
    for _ in range(4):
        w.step()
    for urgent in (False, True):  # the urgent one is the last to end
        for worker in w.workers.values():
            for task_id in [p for p in worker.running() if p.startswith("req-000005") == urgent]:
                w.done_tasks.add(task_id)
                worker.finish(task_id)
            w.heartbeat(worker)
    assert (
        list(scheduler.state.pending_completions)[-1] == "req-000005"
        and len(scheduler.state.pending_completions) == 5
    )
    batch = scheduler.take_batch(2)
    assert batch.over[0] == "req-000005" and len(batch.over) == 1


def test_accepted_jobs_are_noted_while_the_leader_works_out_a_level():
    """The leader's state is locked when it tells of an accepted job: neither may wait for the other."""
    w = cluster()
    node = w.nodes[w.leader()]
    control, task_log = node.admission.control, TaskLogFacts(0, 0.0)

    def gather():
        control.note_accepted(SWEEP, w.clock.now)  # as another thread does under the state's lock
        return WorkloadFacts(frozenset(), {})

    step = threading.Thread(
        target=control.step,
        args=(node.scheduler.term, node.admission.gate.view(), gather, task_log, w.clock.now + 9.0, 1.0),
        daemon=True,
    )
    step.start()
    step.join(5.0)
    assert not step.is_alive()


def test_a_backlog_counts_only_while_the_cloud_gives_no_more_machines():
    w = cluster(machines=2)
    leader = w.leader()
    scheduler = w.nodes[leader].scheduler
    w.submit(leader, w.job(1, parts=50, guess_s=100.0, crew="open"))
    w.step()
    assert scheduler.workload_facts().backlog_s == {}, "the fleet may still grow"
    w.capacity = 0
    for _ in range(4):
        w.fleet(leader)
        w.step()
    facts = scheduler.workload_facts()
    assert facts.backlog_s[1] == pytest.approx(50 * 100.0 / 8.0, rel=0.2)
    assert facts.over_guarantee == {"open"}, "50 CPUs of open work, none guaranteed"
    w.machine(spot=False)
    w.machine(spot=False)
    w.capacity = 10
    w.pass_time(30.0)
    w.fleet(leader)
    assert scheduler.workload_facts().backlog_s == {}, "machines are asked for again"


def test_a_new_leader_in_a_flood_goes_on_with_the_level():
    w = cluster()
    told = flood(w, 8, 1)
    before = stored_level(w)
    leader = w.leader()
    assert before.windows and leader is not None
    del w.nodes[leader]
    told += flood(w, 6, 1000, nodes=[name for name in NODES if name != leader])
    assert w.leader() not in (None, leader)
    after = stored_level(w)
    assert after.number > before.number and after.key == before.key and after.since == before.since
    w.boot(leader)
    told += flood(w, 8, 2000)
    history = [Row(row.key, row.value, row.version) for row in w.state.log]
    flows = {each.job_id: SWEEP for each in told}
    assert against_level(history, flows) == [] and refused_wrongly(history, told, flows) == []


class Admission(RuleBasedStateMachine):
    """Three controllers, a level that changes, lost and late writes, restarts: whatever is played."""

    def __init__(self):
        super().__init__()
        self.w = cluster(machines=1)
        self.told = []
        self.number = 0

    @rule(share=st.sampled_from([0.05, 0.3, 0.7]), start=st.integers(0, POSITIONS - 1))
    def publish(self, share, start):
        row = self.w.state.rows.get(records.ADMISSION)
        number = 1 if row is None else row[0]["number"] + 1
        publish(self.w, encode(level(share, number, start), 4096))

    @rule(node=st.sampled_from(NODES), number=st.integers(1, 6))
    def submit(self, node, number):
        self.told.append(answer(self.w, node, number))

    @rule(node=st.sampled_from(NODES), fault=st.sampled_from(["lose_answer", "hold"]))
    def lose(self, node, fault):
        getattr(self.w.state, fault).add(node)

    @rule(node=st.sampled_from(NODES), cut=st.booleans())
    def cut(self, node, cut):
        (self.w.state.refuses.add if cut else self.w.state.refuses.discard)(node)

    @rule()
    def carry_out_late(self):
        self.w.state.release()

    @rule(node=st.sampled_from(NODES), knows=st.booleans())
    def restart(self, node, knows):
        self.w.boot(node, ON if knows else Policy(hold_s=0.0, hold_idle_s=0.0))

    @precondition(lambda self: records.ADMISSION in self.w.state.rows)
    @rule()
    def delete_level(self):
        self.w.state.execute({}, [Put(records.ADMISSION, None)])

    @rule()
    def go_on(self):
        self.w.step()

    @invariant()
    def nothing_stands_against_its_level(self):
        flows = {f"req-{n:06d}": SWEEP for n in range(1, 7)}
        assert against_level(self.w.state.log, flows) == []
        assert refused_wrongly(self.w.state.log, self.told, flows) == []


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
