"""Tests of admission control with several controllers and injected faults, in the simulated cluster."""

import logging
import threading
from collections.abc import Sequence
from typing import Any

import msgspec
import orjson
import pytest
from cluster_helpers import leader_of
from fakes.cluster import Cluster
from fakes.scenarios import reportable_tasks
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bayford.admission.choice import decide
from bayford.admission.facts import TaskLogFacts, WorkloadFacts
from bayford.admission.level import POSITIONS, Flow, Level, Window, encode
from bayford.coordination.controller import Controller
from bayford.coordination.leader.admission_publisher import AdmissionPublisher
from bayford.protocol import jobs
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import Outcome, Put, Row
from standins.admission_history import (
    SubmissionAnswer,
    accepted_under,
    jobs_accepted_against_level,
    jobs_decided_inconsistently,
    unjustified_refusals,
    urgent_jobs_started_late,
)
from standins.history import tasks_completed_again
from standins.workers import AttemptEvent

KEY = "07" * 32
ADMISSION_ON = Policy(
    hold_s=0.0,
    hold_idle_s=0.0,
    admission=True,
    extra_classes=("sweep", "build"),
    admission_window_s=6.0,
    admission_clear_s=4.0,
)
SWEEP = Flow(1, "sweep", "red")
NODES = ("n0", "n1", "n2")


def admission_cluster(policy: Policy = ADMISSION_ON, machines: int = 4) -> Cluster:
    """Returns a cluster of three controllers with admission control, a leader and idle on-demand machines."""
    cluster = Cluster(nodes=3, policy=policy, writes=10.0)
    for _ in range(machines):
        cluster.machine(spot=False)
    for _ in range(4):
        cluster.step()
    return cluster


@pytest.fixture(name="cluster")
def _cluster() -> Cluster:
    return admission_cluster()


def level(share: float, number: int = 1, start: int = 0, key: str = KEY) -> Level:
    """Returns a level that admits this share of the positions of the flow SWEEP."""
    width = int(share * POSITIONS)
    return Level(number, 1.0, key, "submissions", windows=(Window(1, "sweep", "red", start, width),))


def publish(cluster: Cluster, value: object) -> int:
    """Stores an admission level as the leader would; returns the store's revision after the write."""
    outcome = cluster.store.execute({}, [Put(records.ADMISSION, value)])
    assert outcome.applied
    return outcome.revision


def submission_body(cluster: Cluster, number: int, **fields: Any) -> bytes:
    """Returns the body of a submission of a job with one task."""
    return cluster.job(number, parts=1, **fields)


def submit(cluster: Cluster, node: str, number: int, **fields: Any) -> SubmissionAnswer:
    """Submits a job; returns the answer, with the revision of the level that a refusal names."""
    body = submission_body(cluster, number, **fields)
    response = cluster.nodes[node].submit(body)
    if response.status in (200, 201):
        cluster.specs[f"req-{number:06d}"] = jobs.parse_submission(body)
        cluster.accepted.add(f"req-{number:06d}")
    revision = orjson.loads(response.body)["revision"] if response.status == 429 else 0
    return SubmissionAnswer(node, f"req-{number:06d}", response.status, revision)


def refused_number(in_force: Level, flow: Flow = SWEEP, start: int = 1) -> int:
    """Returns the number of the first job from `start` on that this level refuses."""
    return next(n for n in range(start, 10_000) if not decide(in_force, flow, f"req-{n:06d}").admitted)


def stored_level(cluster: Cluster) -> Level:
    """Returns the level in the store."""
    return msgspec.convert(cluster.store.rows[records.ADMISSION][0], Level)


def flood(
    cluster: Cluster, seconds: float, first: int, per_s: int = 30, nodes: Sequence[str] = NODES, **fields: Any
) -> list[SubmissionAnswer]:
    """Submits new jobs, numbered from `first`, and each refused job again after 3 s; returns all answers."""
    answers: list[SubmissionAnswer] = []
    retries: list[tuple[float, int]] = []
    for step in range(int(seconds * 2)):
        now = cluster.clock.now
        new_jobs = [(now, first + step * (per_s // 2) + n) for n in range(per_s // 2)]
        repeated = [entry for entry in retries if entry[0] <= now]
        retries = [entry for entry in retries if entry[0] > now]
        for submit_at, number in repeated + new_jobs:
            node = nodes[number % len(nodes)]
            if node not in cluster.nodes:
                continue
            answers.append(submit(cluster, node, number, **fields))
            if answers[-1].status in (429, 503):
                retries.append((submit_at + 3.0, number))
        cluster.step()
    return answers


def test_three_controllers_give_the_same_answer_while_the_level_changes(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The level changes after a controller has read it and before the job is written: the write must fail."""
    publish(cluster, encode(level(0.5), 4096))
    strict = level(0.1, 2)
    number = next(
        n
        for n in range(1, 9999)
        if decide(level(0.5), SWEEP, f"req-{n:06d}").admitted
        and not decide(strict, SWEEP, f"req-{n:06d}").admitted
    )
    commit = cluster.store.execute

    def publish_level_before_acceptance(conditions: dict[str, int], puts: list[Put]) -> Outcome:
        if any(put.key.startswith(records.JOBS) for put in puts) and stored_level(cluster).number == 1:
            commit({}, [Put(records.ADMISSION, encode(strict, 4096))])
        return commit(conditions, puts)

    monkeypatch.setattr(cluster.store, "execute", publish_level_before_acceptance)
    answers = [submit(cluster, node, number) for node in NODES]
    assert [answer.status for answer in answers] == [429, 429, 429]
    assert len({answer.revision for answer in answers}) == 1
    assert records.job_key(f"req-{number:06d}") not in cluster.store.rows


def test_a_restarted_controller_answers_by_the_stored_level(cluster: Cluster) -> None:
    revision = publish(cluster, encode(level(0.1), 4096))
    number = refused_number(level(0.1))
    cluster.boot("n2")
    assert submit(cluster, "n2", number) == SubmissionAnswer("n2", f"req-{number:06d}", 429, revision)


@pytest.mark.parametrize("fault", ["unreachable_from", "unavailable_to", "reads_unanswered_for"])
def test_a_controller_without_the_store_does_not_decide_by_a_stale_level(
    cluster: Cluster, fault: str
) -> None:
    publish(cluster, encode(level(0.5), 4096))
    admitted = next(n for n in range(1, 99) if decide(level(0.5), SWEEP, f"req-{n:06d}").admitted)
    assert submit(cluster, "n2", refused_number(level(0.5))).status == 429
    getattr(cluster.store, fault).add("n2")
    publish(cluster, encode(level(0.01, 2), 4096))
    assert submit(cluster, "n2", admitted).status == 503
    assert submit(cluster, "n2", refused_number(level(0.5))).status == 503


def admission_of(node: Controller) -> AdmissionPublisher:
    """Returns the controller's admission publisher; admission control is enabled in these clusters."""
    assert node.admission is not None
    return node.admission


def test_a_delayed_write_of_a_level_fails_after_newer_levels(cluster: Cluster) -> None:
    leader = cluster.require_leader()
    flood(cluster, 6, 1)
    cluster.store.delays_next_write_of.add(leader)
    node = cluster.nodes[leader]
    admission_of(node).control.on_write_failed()
    assert not cluster.try_step(admission_of(node).publish_once), "the response to the write must be lost"
    assert cluster.store.delayed_writes
    assert cluster.store.delayed_writes[0][1][0].key == records.ADMISSION
    del cluster.nodes[leader]
    other_nodes = [name for name in NODES if name != leader]
    flood(cluster, 8, 1000, nodes=other_nodes)
    before = cluster.store.rows[records.ADMISSION]
    assert cluster.leader() not in (None, leader)
    assert not cluster.store.execute_delayed_writes()[0].applied
    assert cluster.store.rows[records.ADMISSION] == before


def test_an_acceptance_whose_response_was_lost_remains_valid_under_a_stricter_level(cluster: Cluster) -> None:
    number = refused_number(level(0.1))
    cluster.store.loses_next_response_to.add("n1")
    assert submit(cluster, "n1", number).status == 503
    publish(cluster, encode(level(0.1), 4096))
    assert [submit(cluster, node, number).status for node in NODES] == [200, 200, 200]


def test_a_delayed_write_of_an_acceptance_fails_under_a_newer_level(cluster: Cluster) -> None:
    number = refused_number(level(0.1))
    cluster.store.delays_next_write_of.add("n1")
    assert submit(cluster, "n1", number).status == 503
    publish(cluster, encode(level(0.1), 4096))
    assert not cluster.store.execute_delayed_writes()[0].applied
    assert [submit(cluster, node, number).status for node in NODES] == [429, 429, 429]


def test_a_refusal_is_answered_at_once_and_writes_nothing(cluster: Cluster) -> None:
    publish(cluster, encode(level(0.1), 4096))
    number = refused_number(level(0.1))
    before = dict(cluster.store.rows)
    response = cluster.nodes["n0"].submit(submission_body(cluster, number))
    body = orjson.loads(response.body)
    assert (response.status, body["class"], body["team"], body["reason"]) == (
        429,
        "sweep",
        "red",
        "submissions",
    )
    assert 1 <= response.retry_after_s <= 30
    assert cluster.store.rows == before
    repeated = cluster.nodes["n1"].submit(submission_body(cluster, number))
    assert (repeated.status, orjson.loads(repeated.body)) == (429, body), (
        "every controller must give the same answer"
    )
    assert submit(cluster, "n0", number, rank="urgent", lane="build").status == 201, (
        "a job of another flow is admitted"
    )


def test_cancellations_queries_and_repeated_submissions_are_answered_while_jobs_are_refused(
    cluster: Cluster,
) -> None:
    number = refused_number(level(0.01))
    assert submit(cluster, "n0", number).status == 201
    publish(cluster, encode(level(0.01), 4096))
    assert submit(cluster, "n1", number).status == 200
    assert cluster.query("n2", f"req-{number:06d}") is not None
    assert cluster.cancel("n1", f"req-{number:06d}") == "aborted"
    assert submit(cluster, "n0", number).status == 200


def test_invalid_submissions_do_not_count_as_demand(cluster: Cluster) -> None:
    for number in range(1, 200):
        node = cluster.nodes[NODES[number % 3]]
        assert node.submit(submission_body(cluster, number, crew="nobody")).status == 422
        assert node.submit(submission_body(cluster, number, cpus=-1.0)).status == 400
        if not number % 20:
            cluster.step()
    assert not any(admission_of(node).gate.submission_sample().jobs for node in cluster.nodes.values())
    assert records.ADMISSION not in cluster.store.rows


@pytest.mark.parametrize("unreadable", [None, {"v": 9}, "odd", encode(level(0.5), 4096) | {"v": 2}])
def test_a_deleted_or_unreadable_level_admits_everything_and_is_replaced(
    cluster: Cluster, unreadable: object, caplog: pytest.LogCaptureFixture
) -> None:
    publish(cluster, encode(level(0.01), 4096))
    number = refused_number(level(0.01))
    assert submit(cluster, "n1", number).status == 429
    with caplog.at_level(logging.ERROR):
        publish(cluster, unreadable)
        assert [submit(cluster, node, number).status for node in NODES] == [201, 200, 200]
        submit(cluster, "n1", number + 1)
    assert unreadable is None or "everything is admitted" in caplog.text
    answers = flood(cluster, 6, 1000)
    assert 429 in {answer.status for answer in answers}
    assert stored_level(cluster).windows


def test_a_level_is_not_in_force_beside_a_controller_without_admission(cluster: Cluster) -> None:
    """A controller restarts with a release without admission, then with admission again."""
    publish(cluster, encode(level(0.01), 4096))
    number = refused_number(level(0.01))
    assert submit(cluster, "n0", number).status == 429
    cluster.boot("n2", Policy(hold_s=0.0, hold_idle_s=0.0))
    assert [submit(cluster, node, number).status for node in ("n0", "n1", "n2")] == [201, 200, 200]
    answers = flood(cluster, 6, 1000)
    assert {answer.status for answer in answers} <= {201, 200, 503}
    cluster.boot("n2")
    assert submit(cluster, "n0", refused_number(level(0.01), start=5000)).status == 429


def test_a_flood_of_one_team_does_not_affect_others_and_all_is_admitted_again_afterwards() -> None:
    """No job of another team and no urgent job is refused; after the flood the level opens and stays open."""
    cluster = admission_cluster(machines=8)
    cluster.store.write_rps = 10.0
    other_team = {"crew": "blue"}
    answers, other_team_answers, urgent_answers = [], [], []
    for round_number in range(12):
        answers += flood(cluster, 1, 1000 + 100 * round_number, per_s=40)
        other_team_answers.append(submit(cluster, NODES[round_number % 3], 10 + round_number, **other_team))
        urgent_answers.append(
            submit(cluster, NODES[round_number % 3], 50 + round_number, lane="build", rank="urgent")
        )
    refusing = stored_level(cluster)
    assert refusing.windows
    assert {window.team for window in refusing.windows} == {"red"}
    assert {window.job_class for window in refusing.windows} == {"sweep"}, "urgent jobs are admitted first"
    assert all(answer.status != 429 for answer in other_team_answers + urgent_answers)
    leader = leader_of(cluster)
    assert leader.commit_loop.writes.rate < 4.0, (
        "the task log is limited to the write rate that acceptances leave"
    )
    assert any(answer.status == 201 for answer in answers[-400:]), (
        "jobs of the flood itself are still accepted"
    )
    numbers = []
    for _ in range(60):
        cluster.step()
        numbers.append(stored_level(cluster).number)
    assert stored_level(cluster).is_open
    assert leader.commit_loop.writes.rate == pytest.approx(7.0)
    assert len(set(numbers[30:])) == 1, "the level must not oscillate"
    assert submit(cluster, "n1", 9999).status == 201
    history = [Row(row.key, row.value, row.version) for row in cluster.store.changes]
    flows = {answer.job_id: SWEEP for answer in answers}
    assert jobs_accepted_against_level(history, flows) == []
    assert unjustified_refusals(history, answers, flows) == []


def test_completions_of_urgent_jobs_are_recorded_before_those_of_others() -> None:
    cluster = admission_cluster(machines=2)
    leader = cluster.require_leader()
    scheduler = cluster.nodes[leader].scheduler
    for number in range(1, 5):
        assert submit(cluster, leader, number).status == 201
    assert submit(cluster, leader, 5, lane="build", rank="urgent").status == 201
    for _ in range(4):
        cluster.step()
    for urgent in (False, True):  # the urgent job ends last
        for worker in cluster.workers.values():
            for task_id in [
                running for running in worker.running() if running.startswith("req-000005") == urgent
            ]:
                cluster.done_tasks.add(task_id)
                worker.finish(task_id)
            cluster.heartbeat(worker)
    assert list(scheduler.state.pending_completions)[-1] == "req-000005"
    assert len(scheduler.state.pending_completions) == 5
    batch = scheduler.take_batch(2)
    assert batch is not None
    assert batch.closed_jobs[0] == "req-000005"
    assert len(batch.closed_jobs) == 1


def test_accepted_jobs_are_recorded_while_the_leader_computes_a_level(cluster: Cluster) -> None:
    """Guards against a deadlock: accepted jobs are recorded under the lock of the leader's state.

    The step gathers its facts under the same lock, so it must not hold the lock of the admission control
    while it does.
    """
    node = leader_of(cluster)
    control, task_log = admission_of(node).control, TaskLogFacts(0, 0.0)

    def gather() -> WorkloadFacts:
        # As another thread does that holds the lock of the leader's state.
        control.note_accepted(SWEEP, cluster.clock.now)
        return WorkloadFacts(frozenset(), {})

    step = threading.Thread(
        target=control.step,
        args=(
            node.scheduler.term,
            admission_of(node).gate.view(),
            gather,
            task_log,
            cluster.clock.now + 9.0,
            1.0,
        ),
        daemon=True,
    )
    step.start()
    step.join(5.0)
    assert not step.is_alive()


def test_a_backlog_counts_only_while_the_cloud_cannot_launch_more_machines() -> None:
    cluster = admission_cluster(machines=2)
    leader = cluster.require_leader()
    scheduler = cluster.nodes[leader].scheduler
    cluster.submit(leader, cluster.job(1, parts=50, guess_s=100.0, crew="open"))
    cluster.step()
    assert scheduler.workload_facts().backlog_s == {}, "more machines can still be launched"
    cluster.cloud.capacity = 0
    for _ in range(4):
        cluster.cloud_step(leader)
        cluster.step()
    facts = scheduler.workload_facts()
    assert facts.backlog_s[1] == pytest.approx(50 * 100.0 / 8.0, rel=0.2)
    assert facts.over_guarantee == {"open"}, "50 CPUs of work of the team `open`, which has no guarantee"
    cluster.machine(spot=False)
    cluster.machine(spot=False)
    cluster.cloud.capacity = 10
    cluster.pass_time(30.0)
    cluster.cloud_step(leader)
    assert scheduler.workload_facts().backlog_s == {}, "machines can be launched again"


# Guards against a backlog of tiny tasks that seems to take no time, so that nothing is refused.
def test_the_backlog_of_tiny_tasks_counts_the_machines_that_they_fill() -> None:
    cluster = admission_cluster(machines=2)
    leader = cluster.require_leader()
    scheduler = cluster.nodes[leader].scheduler
    job = cluster.job(1, parts=8 * reportable_tasks(), cpus=1e-5, mem_gb=0.0, guess_s=100.0, crew="open")
    cluster.submit(leader, job)
    cluster.step()
    cluster.cloud.capacity = 0
    for _ in range(4):
        cluster.cloud_step(leader)
        cluster.step()
    facts = scheduler.workload_facts()
    assert facts.backlog_s[1] == pytest.approx(8 * 100.0 / 2, rel=0.2), (
        "eight machines' worth on two machines"
    )
    assert facts.over_guarantee == {"open"}, "by its CPUs, however few"


def test_a_new_leader_continues_the_level_during_a_flood(cluster: Cluster) -> None:
    answers = flood(cluster, 8, 1)
    before = stored_level(cluster)
    leader = cluster.leader()
    assert before.windows
    assert leader is not None
    del cluster.nodes[leader]
    answers += flood(cluster, 6, 1000, nodes=[name for name in NODES if name != leader])
    assert cluster.leader() not in (None, leader)
    after = stored_level(cluster)
    assert after.number > before.number
    assert after.key == before.key
    assert after.since == before.since
    cluster.boot(leader)
    answers += flood(cluster, 8, 2000)
    history = [Row(row.key, row.value, row.version) for row in cluster.store.changes]
    flows = {answer.job_id: SWEEP for answer in answers}
    assert jobs_accepted_against_level(history, flows) == []
    assert unjustified_refusals(history, answers, flows) == []


class AdmissionUnderFaults(RuleBasedStateMachine):
    """Three controllers with random changes of the level, lost and delayed writes, outages and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = admission_cluster(machines=1)
        self.answers: list[SubmissionAnswer] = []
        self.number = 0

    @rule(share=st.sampled_from([0.05, 0.3, 0.7]), start=st.integers(0, POSITIONS - 1))
    def publish(self, share: float, start: int) -> None:
        row = self.cluster.store.rows.get(records.ADMISSION)
        number = 1 if row is None else row[0]["number"] + 1
        publish(self.cluster, encode(level(share, number, start), 4096))

    @rule(node=st.sampled_from(NODES), number=st.integers(1, 6))
    def submit(self, node: str, number: int) -> None:
        self.answers.append(submit(self.cluster, node, number))

    @rule(
        node=st.sampled_from(NODES), fault=st.sampled_from(["loses_next_response_to", "delays_next_write_of"])
    )
    def inject_write_fault(self, node: str, fault: str) -> None:
        getattr(self.cluster.store, fault).add(node)

    @rule(node=st.sampled_from(NODES), is_cut=st.booleans())
    def change_store_connection(self, node: str, is_cut: bool) -> None:
        (self.cluster.store.unavailable_to.add if is_cut else self.cluster.store.unavailable_to.discard)(node)

    @rule()
    def apply_delayed_writes(self) -> None:
        self.cluster.store.execute_delayed_writes()

    @rule(node=st.sampled_from(NODES), has_admission=st.booleans())
    def restart(self, node: str, has_admission: bool) -> None:
        self.cluster.boot(node, ADMISSION_ON if has_admission else Policy(hold_s=0.0, hold_idle_s=0.0))

    @precondition(lambda self: records.ADMISSION in self.cluster.store.rows)
    @rule()
    def delete_level(self) -> None:
        self.cluster.store.execute({}, [Put(records.ADMISSION, None)])

    @rule()
    def execute_step(self) -> None:
        self.cluster.step()

    @invariant()
    def answers_follow_the_level(self) -> None:
        flows = {f"req-{n:06d}": SWEEP for n in range(1, 7)}
        assert jobs_accepted_against_level(self.cluster.store.changes, flows) == []
        assert unjustified_refusals(self.cluster.store.changes, self.answers, flows) == []


AdmissionUnderFaults.TestCase.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=25, deadline=None
)
TestAdmissionUnderFaults = AdmissionUnderFaults.TestCase


LEVEL = Row(records.ADMISSION, encode(level(0.01), 4096), 5)
REFUSED_JOB = f"req-{refused_number(level(0.01)):06d}"
ACCEPTANCE = Row(records.job_key(REFUSED_JOB), [], 6)
FLOWS = {REFUSED_JOB: SWEEP}


def test_the_history_checks_find_violations() -> None:
    assert jobs_accepted_against_level([LEVEL, ACCEPTANCE], FLOWS) == [REFUSED_JOB]
    assert jobs_accepted_against_level([ACCEPTANCE, LEVEL], FLOWS) == []
    assert jobs_accepted_against_level([Row(records.MEMBERS + "n0", "i", 1), LEVEL, ACCEPTANCE], FLOWS) == []
    refused = SubmissionAnswer("n0", REFUSED_JOB, 429, 5)
    assert unjustified_refusals([LEVEL], [refused], FLOWS) == []
    assert unjustified_refusals([LEVEL], [SubmissionAnswer("n0", REFUSED_JOB, 429, 4)], FLOWS), (
        "refused by no stored level"
    )
    assert unjustified_refusals([Row(records.job_key(REFUSED_JOB), [], 3), LEVEL], [refused], FLOWS), (
        "refused after its acceptance"
    )
    admitting_level = Row(records.ADMISSION, encode(level(1.0), 4096), 5)
    assert unjustified_refusals([admitting_level], [refused], FLOWS)
    assert jobs_decided_inconsistently([refused, *accepted_under([LEVEL, ACCEPTANCE])]) == [REFUSED_JOB]
    assert jobs_decided_inconsistently([refused, *accepted_under([ACCEPTANCE, LEVEL])]) == []
    done, forgotten = (
        AttemptEvent("req-1/0", 1, "vm-1", "done"),
        AttemptEvent("req-1/0", 1, "vm-1", "forgotten"),
    )
    repeated = AttemptEvent("req-1/0", 2, "vm-2", "done")
    assert tasks_completed_again([done, repeated]) == ["req-1/0"]
    assert tasks_completed_again([done, forgotten, repeated]) == []
    assert urgent_jobs_started_late({"a": 5, "b": 3}, [("a", "b")]) == ["a"]
    assert (
        urgent_jobs_started_late({"a": 2, "b": 3}, [("a", "b")])
        == []
        == urgent_jobs_started_late({}, [("a", "b")])
    )
    assert urgent_jobs_started_late({"b": 3}, [("a", "b")]) == ["a"]
