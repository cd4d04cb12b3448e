"""Jobs whose tasks failed: each starts again in time on any machine that has room, however few there are.

The users' rule: once the troubles are over, no job is left waiting for 90 s beside a machine with room. The
machine of a failure is avoided by the job, not excluded.
"""

from typing import Any

import pytest
from cluster_helpers import kill_controller, leader_of
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker

from bayford.coordination.leader import task_failures
from bayford.scheduling.failed_machines import (
    FIRST_AVOIDANCE_S,
    MAX_AVOIDANCE_S,
    MAX_REMEMBERED_MACHINES,
    FailedMachines,
)
from bayford.scheduling.model import Job
from bayford.scheduling.policy import Policy

WAITING_LIMIT_S = 90.0  # as the users have it
LONG_RUN_S = 500.0
SPREAD = Policy(hold_s=0.0, hold_idle_s=0.0, spread=True)


def cluster_of_ordinary_machines(count: int, **cluster_fields: Any) -> Cluster:
    """A cluster of on-demand machines whose cloud launches no others."""
    cluster = started_cluster(machines=0, **cluster_fields)
    for _ in range(count):
        cluster.machine(spot=False)
    cluster.cloud.capacity = 0
    run_for(cluster, 3.0, cloud=False)
    return cluster


def fail_starts_until_failed(cluster: Cluster, worker: FakeWorker) -> None:
    """Lets the machine fail what it starts until a task has failed on it; it is sound from then on."""
    worker.fails_starts = True
    before = sum(job.errors for job in state_jobs(cluster))
    for _ in range(40):
        run_for(cluster, 0.5)
        if sum(job.errors for job in state_jobs(cluster)) > before:
            break
    else:
        pytest.fail("no task failed")
    worker.fails_starts = False


def state_jobs(cluster: Cluster) -> list[Job]:
    """The jobs of the leader's state."""
    return list(leader_of(cluster).scheduler.state.jobs.values())


def seconds_until_running(cluster: Cluster, tasks: int) -> float:
    """Runs the cluster until this many tasks run; the test fails if that takes as long as the limit."""
    began = cluster.clock.now
    while len(running_tasks(cluster)) < tasks:
        run_for(cluster, 0.5)
        assert cluster.clock.now - began < WAITING_LIMIT_S, "a job waits beside a machine with room"
    return cluster.clock.now - began


# Guards against a job that is kept off the only machine for good because a task of it failed there once.
@pytest.mark.parametrize(
    ("tasks", "fields"),
    [
        (1, {}),
        (4, {"parts": 4}),
        (2, {"parts": 2, "together": True}),
        (1, {"rank": "urgent"}),
        (2, {"parts": 2, "shape": "gang"}),
        (1, {"shape": "daemon", "rank": "critical", "guess_s": 0.0}),
        (1, {"bookmark_s": 5.0, "stash_s": 1.0}),
    ],
    ids=["task", "array", "one zone", "urgent", "gang", "service", "checkpoints"],
)
@pytest.mark.parametrize("policy", [None, SPREAD], ids=["plain", "spread"])
def test_a_job_that_failed_on_the_only_machine_runs_there_again(
    tasks: int, fields: dict[str, Any], policy: Policy | None
) -> None:
    cluster = cluster_of_ordinary_machines(1, policy=policy)
    worker = cluster.first_worker()
    worker.fails_starts = True
    cluster.submit("n0", cluster.job(1, **{"parts": 1, "guess_s": LONG_RUN_S} | fields))
    fail_starts_until_failed(cluster, worker)
    assert seconds_until_running(cluster, tasks) < 10.0, "nothing else has room, so it is used at once"


# Guards against the same with a second machine: it is full, so the job waits beside the first one.
def test_a_job_that_failed_on_the_only_machine_with_room_runs_there_again() -> None:
    cluster = cluster_of_ordinary_machines(2)
    faulty, full = cluster.workers.values()
    cluster.submit("n0", cluster.job(1, parts=8, guess_s=LONG_RUN_S))
    run_for(cluster, 4.0)
    faulty.finish(faulty.running()[0])
    run_for(cluster, 1.0)
    faulty.fails_starts = True
    cluster.submit("n0", cluster.job(2, parts=1, crew="blue", guess_s=LONG_RUN_S))
    fail_starts_until_failed(cluster, faulty)
    assert len(full.running()) == 4
    seconds_until_running(cluster, 8)
    assert "req-000002/0" in faulty.running()


# Guards against the same after a failover: the new leader reads the ended attempt that is not yet reaped.
def test_a_job_that_failed_just_before_the_leader_was_killed_runs_on_the_only_machine() -> None:
    cluster = cluster_of_ordinary_machines(1, nodes=3)
    worker = cluster.first_worker()
    worker.fails_starts = True
    cluster.submit("n0", cluster.job(1, parts=1, guess_s=LONG_RUN_S))
    for _ in range(20):
        run_for(cluster, 0.5)
        if any(attempt.phase == "ended" for attempt in worker.tasks.values()):
            break
    kill_controller(cluster, cluster.require_leader())
    worker.fails_starts = False
    assert any(attempt.phase == "ended" for attempt in worker.tasks.values()), "not reaped"
    seconds_until_running(cluster, 1)


# Guards against urgent work that may preempt nothing, because it failed on the only machine.
def test_an_urgent_job_that_failed_on_the_only_machine_preempts_there() -> None:
    cluster = cluster_of_ordinary_machines(1)
    worker = cluster.first_worker()
    worker.fails_starts = True
    cluster.submit("n0", cluster.job(1, parts=1, cpus=4.0, rank="urgent", guess_s=LONG_RUN_S))
    fail_starts_until_failed(cluster, worker)
    cluster.submit("n0", cluster.job(2, parts=4, crew="blue", rank="idle", guess_s=LONG_RUN_S))
    for _ in range(int(2 * WAITING_LIMIT_S)):
        run_for(cluster, 0.5)
        if worker.running() == ["req-000001/0"]:
            return
    pytest.fail("the urgent job waits")


# Guards against a failed replica that waits beside the only machine with room while others of its job run.
def test_a_replica_that_failed_once_runs_again_though_other_machines_are_full() -> None:
    cluster = cluster_of_ordinary_machines(2)
    cluster.submit("n0", cluster.service(1, parts=2, cpus=4.0))
    run_for(cluster, 6.0)
    assert len(running_tasks(cluster)) == 2
    cluster.first_worker().finish(cluster.first_worker().running()[0], "error")
    run_for(cluster, 1.0)
    assert seconds_until_running(cluster, 2) < 15.0


# Guards against a machine that takes nothing for good because it is quarantined and kept for its services.
def test_a_quarantined_machine_that_services_keep_takes_work_again_some_time_after_its_last_failure() -> None:
    cluster = cluster_of_ordinary_machines(1)
    worker = cluster.first_worker()
    cluster.submit("n0", cluster.service(1, parts=1))
    run_for(cluster, 10.0)
    worker.fails_starts = True
    for number in (2, 3):
        cluster.submit("n0", cluster.job(number, parts=1, crew="blue", guess_s=LONG_RUN_S))
    run_for(cluster, 10.0)
    (machine,) = leader_of(cluster).scheduler.state.machines.values()
    assert machine.quarantined and worker.name not in cluster.cloud.deleted
    worker.fails_starts = False
    seconds_until_running(cluster, 3)
    assert worker.name not in cluster.cloud.deleted


def test_a_faulty_machine_is_not_given_the_same_job_while_others_have_room() -> None:
    cluster = cluster_of_ordinary_machines(3)
    faulty = cluster.first_worker()
    faulty.fails_starts = True
    cluster.submit("n0", cluster.job(1, parts=1, guess_s=LONG_RUN_S))
    fail_starts_until_failed(cluster, faulty)
    faulty.fails_starts = True
    seconds_until_running(cluster, 1)
    for _ in range(8):
        run_for(cluster, 2.0, cloud=False)
        for worker in cluster.workers.values():
            for task_id in worker.running():
                worker.finish(task_id, "halted")
    (job,) = state_jobs(cluster)
    assert job.errors == 1, "it was placed on the other machines each time"


# Guards against a job that is tried again and again on the only machine without a pause.
def test_a_job_that_fails_on_the_only_machine_backs_off_and_the_machine_is_replaced_once() -> None:
    cluster = cluster_of_ordinary_machines(1)
    cluster.cloud.capacity = 100
    cluster.submit("n0", cluster.job(1, parts=1, guess_s=LONG_RUN_S))
    for _ in range(int(8 * WAITING_LIMIT_S)):
        for worker in cluster.workers.values():
            worker.fails_starts = True
        run_for(cluster, 0.5)
    (job,) = state_jobs(cluster)
    assert 10 <= job.errors <= 40, "three runs for each back-off of up to 45 s, in six minutes"
    assert job.backoff_count >= 4
    quarantined = [machine.quarantined for machine in leader_of(cluster).scheduler.state.machines.values()]
    assert cluster.cloud.deleted.count("vm-000001") == 1
    assert not any(quarantined), "the job failed on two machines, so no other is replaced for it"


# Guards against the end of a trouble that a job spends in back-off for longer than the limit.
def test_a_job_that_backed_off_for_long_starts_within_the_limit_after_the_trouble() -> None:
    cluster = cluster_of_ordinary_machines(4)
    for worker in cluster.workers.values():
        worker.fails_starts = True
    cluster.submit("n0", cluster.job(1, parts=1, guess_s=LONG_RUN_S))
    longest_s = 0.0
    for _ in range(600):
        run_for(cluster, 0.5, cloud=False)
        longest_s = max(longest_s, state_jobs(cluster)[0].not_before - cluster.clock.now)
    assert 0.8 * task_failures.MAX_JOB_BACKOFF_S < longest_s <= task_failures.MAX_JOB_BACKOFF_S
    for worker in cluster.workers.values():
        worker.fails_starts = False
    assert seconds_until_running(cluster, 1) < 60.0


# Guards against a task that always fails, and is started without a pause because other tasks were done once.
def test_an_array_of_which_only_failing_tasks_are_left_backs_off(caplog: pytest.LogCaptureFixture) -> None:
    cluster = cluster_of_ordinary_machines(2)
    cluster.submit("n0", cluster.job(1, parts=4, guess_s=LONG_RUN_S))
    run_for(cluster, 4.0)
    for task in (1, 2, 3):
        cluster.finish(f"req-000001/{task}")
    for half_second in range(400):
        if half_second == 2 * int(task_failures.COMPLETION_MEMORY_S):
            caplog.clear()
        for worker in cluster.workers.values():
            worker.finish("req-000001/0", "error")
        run_for(cluster, 0.5)
    (job,) = state_jobs(cluster)
    assert job.backoff_count >= 2
    assert "machine quarantined" not in caplog.text, "its failures do not replace machine after machine"


def test_failed_machines_are_avoided_for_a_bounded_time_that_grows_with_repeated_failures() -> None:
    failed = FailedMachines()
    assert failed.record(1, 0.0, 10.0)
    assert not failed.record(1, 5.0, 11.0), "placed before the first failure: the same run"
    assert failed.avoids(1, 11.0 + FIRST_AVOIDANCE_S - 1.0)
    assert not failed.avoids(1, 11.0 + FIRST_AVOIDANCE_S)
    assert not failed.avoids(2, 11.0)
    assert failed.record(1, 12.0, 13.0)
    assert failed.avoids(1, 13.0 + 2.0 * FIRST_AVOIDANCE_S - 1.0)
    for n in range(20):
        failed.record(1, 14.0 + n, 14.5 + n)
    assert failed.avoids(1, 33.5 + MAX_AVOIDANCE_S - 1.0) and not failed.avoids(1, 33.5 + MAX_AVOIDANCE_S)
    assert failed.failed_since(1, 33.5) and not failed.failed_since(1, 34.0)
    failed.forget(1)
    assert not failed.avoids(1, 33.5)
    for machine in range(20):
        failed.record(machine, 0.0, 40.0 + machine)
    assert len(failed) == MAX_REMEMBERED_MACHINES and set(failed) == set(range(12, 20)), "the latest failures"


# Guards against a job that is kept off on-demand machines for as long as its spot machines are full.
def test_a_job_that_waits_for_full_spot_machines_starts_on_an_on_demand_machine_in_time() -> None:
    cluster = started_cluster(machines=2)
    cluster.cloud.capacity = 0
    cluster.submit("n0", cluster.job(1, parts=8, guess_s=LONG_RUN_S))
    run_for(cluster, 4.0)
    on_demand = cluster.machine(spot=False)
    cluster.submit("n0", cluster.job(2, parts=1, crew="blue", loaners=False, guess_s=LONG_RUN_S))
    run_for(cluster, 4.0)
    assert on_demand.running() == ["req-000002/0"]
    cluster.submit("n0", cluster.job(3, parts=1, crew="blue", guess_s=20.0))
    run_for(cluster, 20.0)
    assert "req-000003/0" not in running_tasks(cluster), "spot machines are awaited first"
    seconds_until_running(cluster, 10)
    assert "req-000003/0" in on_demand.running()
