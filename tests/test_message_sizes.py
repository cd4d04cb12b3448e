"""Messages to and from workers keep to PROTOCOL's limit of 64 KiB, and the work on full machines gets done.

The fake cluster refuses a longer heartbeat with 413, and fails a test in which a controller sends a longer
message.
"""

import json
import random
import string
from typing import Any

import msgspec
import pytest
from cluster_helpers import kill_controller, leader_and_other, leader_of
from fakes.cluster import MAX_MESSAGE_BYTES, Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster
from fakes.worker import Attempt, FakeWorker
from zone_helpers import cut_zone_off, reconnect_zones, recovery_cluster, running_in_zone, zone_state

from bayford.coordination.api.cancellation_notices import CancellationNotices
from bayford.protocol import jobs, mesh, message_sizes, workers
from bayford.scheduling.policy import Policy

CPUS = 0.001  # of a task that is so small that only the sizes of messages bound how many fit on a machine
LONGEST_JOB_ID = "req-" + "x" * 64
LARGEST_INTEGER = 2**64 - 1


def spaced_and_reordered(message: dict[str, Any]) -> bytes:
    """JSON with a space after each comma and colon, the fields in another order, and the slash escaped."""
    fields = dict(reversed(message.items()))
    fields["parts"] = [dict(reversed(task.items())) for task in message["parts"]]
    return json.dumps(fields).replace("/", "\\/").encode()


def indented(message: dict[str, Any]) -> bytes:
    """JSON with each field on a line of its own, without the fields that PROTOCOL lets a worker omit."""
    return json.dumps(json.loads(without_optional_fields(message)), indent=2).encode()


def without_optional_fields(message: dict[str, Any]) -> bytes:
    """JSON without the fields that PROTOCOL lets a worker omit."""
    tasks = [{key: value for key, value in t.items() if value not in (None, False)} for t in message["parts"]]
    return msgspec.json.encode(message | {"parts": tasks})


def small_tasks(cluster: Cluster, number: int, parts: int, **fields: Any) -> bytes:
    """The body of a submission of a job of many small tasks."""
    defaults = {"crew": "blue", "parts": parts, "cpus": CPUS, "mem_gb": 0.0, "guess_s": 500.0}
    return cluster.job(number, **defaults | fields)


def finish_all(cluster: Cluster) -> None:
    """Complete all tasks that run."""
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)


def run_to_completion(cluster: Cluster, job_id: str, max_rounds: int) -> int:
    """Complete the tasks that run until the job is done; returns the number of rounds that this took.

    No round takes longer than 5 s, and after each of them no heartbeat may have been refused.
    """
    for completed_rounds in range(1, max_rounds + 1):
        finish_all(cluster)
        run_for(cluster, 5.0, cloud=False)
        assert not any(worker.refused_reports for worker in cluster.workers.values())
        if all(cluster.query(name, job_id) == "done" for name in cluster.nodes):
            return completed_rounds
    raise AssertionError(f"not done: {job_id} after {max_rounds} rounds")


# Guards against a line of over 64 KiB to a worker, and against heartbeats that every controller refuses.
def test_a_job_of_more_small_tasks_than_a_machine_can_report_is_done_on_one_machine() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    cluster.submit("n0", small_tasks(cluster, 1, 1600))
    run_for(cluster, 4.0, cloud=False)
    assert 500 <= len(worker.running()) < 1600, "as many as can be reported"
    assert worker.epoch == 1
    assert run_to_completion(cluster, "req-000001", max_rounds=4) <= 4
    assert worker.epoch == 1, "the lease never expires"


# Guards against a bound that holds only for short names and small integers.
@pytest.mark.parametrize("encode", [msgspec.json.encode, spaced_and_reordered])
def test_the_longest_names_and_largest_integers_fit_into_the_messages_of_a_full_machine(encode: Any) -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    worker.encode = encode
    state = leader_of(cluster).scheduler.state
    state.next_attempt = LARGEST_INTEGER - 100_000
    cluster.submit("n0", small_tasks(cluster, 1, 1000, id=LONGEST_JOB_ID))
    run_for(cluster, 4.0, cloud=False)
    running = len(worker.running())
    assert running >= message_sizes.MIN_REPORTABLE_TASKS
    for attempt in worker.tasks.values():
        attempt.phase, attempt.reason, attempt.checkpointed = "ended", "incomplete", False
    assert len(worker.encode(msgspec.to_builtins(worker.heartbeat()))) <= MAX_MESSAGE_BYTES
    for attempt in worker.tasks.values():
        attempt.phase, attempt.reason, attempt.checkpointed = "running", None, False
    run_to_completion(cluster, LONGEST_JOB_ID, max_rounds=4)
    assert worker.epoch == 1


# Guards against a bound that holds only for the JSON of our own stand-in.
def test_an_indented_heartbeat_of_a_full_machine_fits() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    worker.encode = indented
    leader_of(cluster).scheduler.state.next_attempt = 1_000_000
    cluster.submit("n0", small_tasks(cluster, 1, 1000))
    run_for(cluster, 4.0, cloud=False)
    run_to_completion(cluster, "req-000001", max_rounds=4)
    assert worker.epoch == 1


# Guards against starts beside ended tasks that the worker still lists.
def test_a_machine_whose_ended_tasks_cannot_be_reaped_yet_gets_no_more_starts_than_it_can_report() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    cluster.submit("n0", small_tasks(cluster, 1, 1600))
    run_for(cluster, 4.0, cloud=False)
    finish_all(cluster)
    cluster.store.down = True  # the ends can't be made durable, so that nothing is reaped
    run_for(cluster, 4.0, cloud=False)
    assert len(worker.tasks) >= 500 and not worker.running()
    cluster.store.down = False
    run_to_completion(cluster, "req-000001", max_rounds=5)
    assert worker.epoch == 1


# Guards against stops of over 64 KiB, and against some of them being left out again and again.
def test_stops_that_do_not_fit_into_one_response_are_sent_in_the_following_ones() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    worker.encode = without_optional_fields
    cluster.submit("n0", small_tasks(cluster, 1, 2))
    run_for(cluster, 3.0, cloud=False)
    cluster.specs["req-old"] = cluster.specs["req-000001"]
    for number in range(1250):  # attempts that the leader does not know
        worker.tasks[f"req-old/{number}", 1] = Attempt(f"req-old/{number}", 1, "running")
    assert cluster.heartbeat(worker) == 200
    ended = sum(attempt.phase == "ended" for attempt in worker.tasks.values())
    assert 1000 < ended < 1250, "what does not fit is left to the next response"
    # Reaped at once: entries of ended attempts are longer, and this many of them could not be reported.
    worker.tasks = {key: attempt for key, attempt in worker.tasks.items() if attempt.phase != "ended"}
    assert cluster.heartbeat(worker) == 200
    assert worker.running() == ["req-000001/0", "req-000001/1"]
    assert f"deferred_commands={1250 - ended}" in leader_of(cluster).scheduler.waiting_report()[-1]


def fill_as_an_earlier_release(cluster: Cluster, worker: FakeWorker, number: int, parts: int) -> None:
    """All tasks of a new job run on the machine, although it could not report them in their longest form."""
    leader = leader_of(cluster)
    worker.encode = without_optional_fields
    assert cluster.submit(leader.name, small_tasks(cluster, number, parts)) == 201
    leader.watch_cache.pull(0.0)
    leader.scheduler.state.jobs[f"req-{number:06d}"].report_bytes = 0
    cluster.step_controller(leader.name)
    for placement in leader.scheduler.state.machines[0].open.values():
        worker.tasks[placement.key] = Attempt(*placement.key, "running")
    assert len(worker.running()) == parts
    assert cluster.heartbeat(worker) == 200


# Guards against a direct command of over 64 KiB, and against stops that count as sent though they were not.
def test_stops_that_do_not_fit_into_one_direct_command_are_sent_in_several() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    fill_as_an_earlier_release(cluster, worker, 1, parts=1150)
    worker.cannot_send = True  # only direct commands reach it
    assert cluster.cancel("n0", "req-000001") == "aborted"
    cluster.step_controller("n0")
    assert worker.running() == []


# Guards against a queue entry for each stop: those of one machine kept other machines' stops out, and each
# waited for an answer of its own.
def test_a_machine_that_does_not_answer_gets_one_direct_command_however_many_stops_it_has() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    fill_as_an_earlier_release(cluster, worker, 1, parts=1150)
    worker.unresponsive = True
    cluster.cancel("n0", "req-000001")
    cluster.step_controller("n0")
    placements = leader_of(cluster).scheduler.state.machines[0].open.values()
    assert 0 < sum(placement.stop_sent for placement in placements) < 1150


# Guards against a relay that sends a machine more starts than it can report.
def test_a_relay_starts_no_more_tasks_than_a_machine_can_report() -> None:
    cluster = started_cluster(machines=1, nodes=3)
    worker = cluster.first_worker()
    leader, _, other = leader_and_other(cluster)
    cluster.submit(other, small_tasks(cluster, 1, 1600))
    cluster.step_controller(leader)  # the placements are durable, nothing is started
    cluster.network_cuts.add((worker.name, leader))
    run_for(cluster, 15.0, cloud=False)
    assert 500 <= len(worker.running()) < 1600
    assert run_to_completion(cluster, "req-000001", max_rounds=12) <= 12
    assert worker.epoch == 1


# Guards against a response of over 64 KiB from a relay that can't read the state service.
def test_a_relay_in_an_outage_sends_the_stops_that_do_not_fit_in_the_following_responses() -> None:
    cluster = started_cluster(machines=1, nodes=3)
    relay = cluster.nodes[leader_and_other(cluster)[2]].relay
    worker = cluster.first_worker()
    relay.on_cancelled([LONGEST_JOB_ID])
    for number in range(1000):
        worker.tasks[f"{LONGEST_JOB_ID}/{number}", 1] = Attempt(f"{LONGEST_JOB_ID}/{number}", 1, "running")
    all_stops: list[workers.Command] = [workers.Stop(*key, 0.0) for key in worker.tasks]
    fewest = -(-len(workers.encode_response(1, all_stops)) // MAX_MESSAGE_BYTES)
    responses = 0
    while worker.running():
        stops = relay.stop_commands(worker.heartbeat())
        assert stops and len(workers.encode_response(LARGEST_INTEGER, stops)) <= MAX_MESSAGE_BYTES
        for stop in stops:
            worker.tasks[stop.task_id, stop.attempt].phase = "ended"
        responses += 1
    assert responses == fewest > 1
    assert relay.deferred_commands > 0


# Guards against a relayed heartbeat that is too large for a value of the state service.
def test_the_leader_hears_of_all_tasks_of_a_full_machine_that_only_a_relay_reaches() -> None:
    cluster = started_cluster(machines=1, nodes=3, value_kb=4.0)
    cluster.store.value_bytes = 4096
    worker = cluster.first_worker()
    leader, _, other = leader_and_other(cluster)
    cluster.network_cuts.add((worker.name, leader))
    rng = random.Random(1)
    job_ids = ["req-" + "".join(rng.choices(string.ascii_letters, k=64)) for _ in range(340)]
    for number, job_id in enumerate(job_ids):
        assert cluster.submit(other, small_tasks(cluster, number, 1, id=job_id)) == 201
    run_for(cluster, 20.0, cloud=False)
    assert len(worker.running()) == 340
    finish_all(cluster)
    run_for(cluster, 30.0, cloud=False)
    assert [job_id for job_id in job_ids if cluster.query(other, job_id) != "done"] == []
    assert cluster.store.too_large_count == 0 and worker.epoch == 1


def test_commands_are_deferred_in_the_order_of_their_harm() -> None:
    stops: list[workers.Command] = [workers.Stop(f"{LONGEST_JOB_ID}/{n}", 1, 0.0) for n in range(1000)]
    starts = [workers.Start(f"{LONGEST_JOB_ID}/{n}", 1) for n in range(1000)]
    chosen = message_sizes.bounded_commands(stops, starts, [])
    assert chosen.commands == stops[: len(chosen.commands)]
    assert chosen.deferred == 2000 - len(chosen.commands)
    assert len(workers.encode_response(LARGEST_INTEGER, chosen.commands)) <= MAX_MESSAGE_BYTES
    longest = message_sizes.LONGEST_COMMAND_BYTES
    assert (
        len(workers.encode_response(1, stops[: len(chosen.commands) + 1])) > MAX_MESSAGE_BYTES - 2 * longest
    )


@pytest.mark.parametrize("listed", [0, 100, 365, 366, 367, 1000])
def test_the_starts_that_are_sent_can_be_reported_beside_the_listed_tasks(listed: int) -> None:
    listed_keys = [(f"{LONGEST_JOB_ID}/{n + 20_000}", 1) for n in range(listed)]
    starts = [workers.Start(f"{LONGEST_JOB_ID}/{n + 10_000}", LARGEST_INTEGER) for n in range(400)]
    chosen = message_sizes.bounded_commands([], starts, listed_keys).commands
    assert len(chosen) == max(0, min(400, message_sizes.MIN_REPORTABLE_TASKS - listed))


# Guards against room for the tasks alone: the fields around them may be long too.
def test_the_longest_heartbeat_of_a_full_machine_fits_and_one_with_another_task_may_not() -> None:
    name = "x" * jobs.MAX_NAME
    sizes = []
    for count in (message_sizes.MIN_REPORTABLE_TASKS, message_sizes.MIN_REPORTABLE_TASKS + 1):
        tasks = [
            workers.TaskState(
                f"{LONGEST_JOB_ID}/{jobs.MAX_TASKS - 1}", LARGEST_INTEGER, "ended", "incomplete"
            )
            for _ in range(count)
        ]
        heartbeat = workers.Heartbeat(
            machine=name,
            address=name,
            type=name,
            zone=name,
            spot=False,
            epoch=LARGEST_INTEGER,
            sequence=LARGEST_INTEGER,
            fencing_token=LARGEST_INTEGER,
            tasks=tasks,
            reclaim_notice_s=message_sizes.LONGEST_DURATION_S,
        )
        sizes.append(len(spaced_and_reordered(msgspec.to_builtins(heartbeat))))
    assert sizes[0] <= MAX_MESSAGE_BYTES < sizes[1]


def reports_fit(cluster: Cluster) -> bool:
    """Whether no worker had a heartbeat refused or lost its lease, and each machine's tasks are in bounds."""
    machines = leader_of(cluster).scheduler.state.machines.values()
    in_bounds = all(machine.free_report_bytes >= 0 for machine in machines)
    return in_bounds and not any(w.refused_reports or w.epoch > 1 for w in cluster.workers.values())


# Guards against each way to place tasks that fills one machine beyond what it can report, while others idle.
@pytest.mark.parametrize(
    ("policy", "fields"),
    [
        ({}, {}),
        ({"spread": True}, {}),
        ({}, {"together": True}),
        ({}, {"shape": "gang"}),
        ({}, {"shape": "daemon", "rank": "critical", "guess_s": 0.0}),
    ],
    ids=["array", "array by cost", "array in one zone", "gang", "service"],
)
def test_small_tasks_beyond_the_bound_of_one_machine_run_on_the_others(
    policy: dict[str, Any], fields: dict[str, Any]
) -> None:
    cluster = started_cluster(machines=3, policy=Policy(hold_s=0.0, hold_idle_s=0.0, **policy))
    cluster.submit("n0", small_tasks(cluster, 1, 1200, **fields))
    run_for(cluster, 15.0, cloud=False)
    assert len(running_tasks(cluster)) == 1200
    assert reports_fit(cluster)


# Guards against ways to place tasks that fill machines evenly, but beyond what they can report.
@pytest.mark.parametrize(
    ("policy", "fields"),
    [({"spread": True}, {}), ({}, {"shape": "daemon", "rank": "critical", "guess_s": 0.0})],
    ids=["array by cost", "service"],
)
def test_small_tasks_beyond_the_bound_of_all_machines_wait(
    policy: dict[str, Any], fields: dict[str, Any]
) -> None:
    cluster = started_cluster(machines=3, policy=Policy(hold_s=0.0, hold_idle_s=0.0, **policy))
    cluster.submit("n0", small_tasks(cluster, 1, 2700, **fields))
    run_for(cluster, 15.0, cloud=False)
    assert reports_fit(cluster)
    assert len(running_tasks(cluster)) >= 3 * message_sizes.MIN_REPORTABLE_TASKS


# Guards against a returning zone whose machines get back more tasks than they can report.
def test_small_tasks_return_to_the_machines_of_a_lost_zone_within_what_they_can_report() -> None:
    cluster = recovery_cluster(machines=8)  # half of them in the zone that is lost
    cluster.submit("n0", small_tasks(cluster, 1, 2600, lane="hot", yard="south"))
    run_for(cluster, 10.0)
    before = len(running_in_zone(cluster))
    assert 4 * 500 <= before < 2600
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost" and not running_in_zone(cluster)
    reconnect_zones(cluster)
    run_for(cluster, 60.0)
    assert len(running_in_zone(cluster)) >= before - 50, "those with longer numbers take more room"
    assert not any(worker.refused_reports for worker in cluster.workers.values())


# Guards against a search over machines that have CPUs left but can't report another task.
def test_a_machine_that_can_report_no_further_task_is_not_searched() -> None:
    cluster = started_cluster(machines=1)
    state = leader_of(cluster).scheduler.state
    assert len(state.capacity_index) == 1
    cluster.submit("n0", small_tasks(cluster, 1, 1600))
    run_for(cluster, 4.0, cloud=False)
    assert len(state.capacity_index) == 0 and state.machines[0].free_cpus > 1.0
    finish_all(cluster)
    cluster.heartbeat(cluster.first_worker())
    longest = message_sizes.LONGEST_REPORT_ENTRY_BYTES
    assert state.machines[0].free_report_bytes < 10 * longest, "ended tasks are listed until they are reaped"
    assert reports_fit(cluster)


# Guards against urgent work that waits because a machine full of small tasks has CPUs left.
def test_urgent_work_preempts_small_tasks_on_machines_that_can_report_no_more() -> None:
    cluster = started_cluster(machines=2)
    cluster.submit("n0", small_tasks(cluster, 1, 1600))
    run_for(cluster, 4.0, cloud=False)
    cluster.submit("n0", small_tasks(cluster, 2, 2, rank="urgent", id=LONGEST_JOB_ID))
    run_for(cluster, 30.0, cloud=False)
    assert sum(task_id.startswith(LONGEST_JOB_ID) for task_id in running_tasks(cluster)) == 2
    assert reports_fit(cluster)


# Guards against a new leader that starts what an earlier release has placed beyond the bound, or that lets
# the machine lose its lease again and again.
def test_a_machine_filled_by_an_earlier_release_keeps_its_tasks_and_gets_no_further_ones() -> None:
    cluster = started_cluster(machines=1, nodes=2)
    worker = cluster.first_worker()
    leader, _, other = leader_and_other(cluster)
    state = cluster.nodes[leader].scheduler.state
    cluster.submit(leader, small_tasks(cluster, 1, 1200))
    cluster.nodes[leader].watch_cache.pull(0.0)
    state.jobs["req-000001"].report_bytes = 0  # as a release without the bound
    cluster.step_controller(leader)
    assert len(state.machines[0].open) == 1200
    run_for(cluster, 1.0, cloud=False)
    started = set(worker.running())
    assert 500 <= len(started) < 1200
    kill_controller(cluster, leader)
    run_for(cluster, 12.0, cloud=False)
    assert cluster.require_leader() == other
    assert set(worker.running()) == started, "its started tasks go on, no others are sent"
    assert leader_of(cluster).scheduler.state.machines[0].free_report_bytes < 0
    run_to_completion(cluster, "req-000001", max_rounds=6)
    assert worker.epoch == 1
    assert leader_of(cluster).scheduler.state.starts == 1200 - len(started), "only starts that are sent count"
    assert leader_of(cluster).scheduler.state.machines[0].free_report_bytes >= 0


# Guards against a notice of over 64 KiB, which the other controller answers with 413 until it is dropped.
def test_many_cancellations_are_told_to_the_leader_in_several_messages_and_none_is_lost() -> None:
    delivered: dict[str, float] = {}
    messages_left = 2  # then the leader does not answer any more

    def notify(cancelled: dict[str, float]) -> bool:
        nonlocal messages_left
        body = mesh.encode_cancelled(cancelled)
        if len(body) > MAX_MESSAGE_BYTES or not messages_left:
            return False
        messages_left -= 1
        delivered.update(mesh.decode_cancelled(body))
        return True

    wall = 1_764_888_888.123456
    notices = CancellationNotices("n0", {"n1": notify}, lambda: "n1", cancel_s=42.0, wall=lambda: wall)
    jobs = [f"req-{number:064d}" for number in range(2000)]
    for job_id in jobs:
        notices.add(job_id, wall)
    assert not notices.send()
    assert 0 < len(delivered) < 2000
    messages_left = 100
    assert notices.send()
    assert delivered == dict.fromkeys(jobs, wall)
    assert messages_left > 95, "only the rest is sent again, in few messages"


# Guards against notices that are dropped without a trace when the leader stays out of reach.
def test_notices_that_expire_undelivered_are_counted_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    wall = 1_764_888_888.0
    notices = CancellationNotices(
        "n0", {"n1": lambda cancelled: False}, lambda: "n1", cancel_s=42.0, wall=lambda: wall
    )
    for number in range(2000):
        notices.add(f"req-{number:06d}", wall)
    assert not notices.send()
    wall += 42.0
    assert notices.send()
    assert caplog.messages == ["cancellation notices expired undelivered: count=2000 max_age_s=42"]


# Guards against an answer to a user that is over the limit for some job that can be accepted.
def test_the_answers_about_the_largest_accepted_job_are_short() -> None:
    cluster = started_cluster(machines=1)
    node = cluster.nodes["n0"]
    longest_name = "\u20ac" * jobs.MAX_NAME
    fields = {"lane": longest_name, "bundle": longest_name, "crew": "open"}
    body = small_tasks(cluster, 1, jobs.MAX_TASKS, id=LONGEST_JOB_ID, **fields)
    answers = [node.submit(body), node.submit(body), node.query(LONGEST_JOB_ID), node.cancel(LONGEST_JOB_ID)]
    assert [answer.status for answer in answers] == [201, 200, 200, 200]
    answers.append(node.submit(body.replace(b'"shape":"batch"', b'"shape":"' + b"\\u0001" * 10_000 + b'"')))
    assert answers[-1].status == 400
    refusal = jobs.encode_refusal(longest_name, longest_name, "backlog", LARGEST_INTEGER, LARGEST_INTEGER)
    assert max(len(text) for text in (refusal, *(answer.body for answer in answers))) < 4096
