"""Placement of tasks: machine choice, order of jobs, and use of team quotas."""

import msgspec
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster

from bayford.clock import NEVER


def test_the_team_limit_holds_and_counts_placements_that_have_not_started() -> None:
    cluster = started_cluster(machines=6)
    cluster.submit("n0", cluster.job(1, parts=30))
    for _ in range(4):
        cluster.step()  # each step checks the limit of 8 CPUs
    assert len(running_tasks(cluster)) == 8


def test_a_team_limit_of_0_means_unlimited() -> None:
    """Guards against reading a limit of 0 as no capacity, with which a whole deployment ran no task."""
    cluster = started_cluster(machines=9)
    card = cluster.machine("cards")
    assert cluster.submit("n0", cluster.job(3, crew="open", cards=1.0, cpus=4.0, parts=2)) == 201
    for _ in range(4):
        cluster.step()
    assert len(card.running()) == 2
    cluster.cloud.execute_delete([card.name])
    assert cluster.submit("n0", cluster.job(1, crew="open", parts=2500, guess_s=500.0)) == 201
    assert cluster.submit("n0", cluster.service(2, crew="open", parts=40, loaners=True)) == 201
    for _ in range(6):
        cluster.step()
    assert len(running_tasks(cluster)) == 36
    cluster.cloud_step("n0")
    assert len(cluster.workers) > 50, "machines are launched for all waiting tasks"


def test_one_zone_spread_zone_spot_and_machine_type_are_honoured() -> None:
    cluster = Cluster(1)
    for zone in ("north", "south"):
        for spot in (True, False):
            cluster.machine("small", zone, spot)
            cluster.machine("small", zone, spot)
    for _ in range(3):
        cluster.step()
    # The cluster checks the constraints at every start of a task.
    cluster.submit("n0", cluster.job(1, parts=8, together=True, crew="blue"))
    cluster.submit("n0", cluster.job(2, parts=5, apart=True, crew="red"))
    cluster.submit("n0", cluster.job(3, parts=1, loaners=False, yard="south", crew="red"))
    for _ in range(6):
        cluster.step()
    assert len(running_tasks(cluster)) == 14


def test_a_gang_is_placed_and_restarted_as_a_whole() -> None:
    cluster = started_cluster(machines=2)
    cluster.cloud.capacity = 0
    cluster.submit("n0", cluster.job(1, parts=6, crew="blue"))
    cluster.step()
    cluster.step()
    cluster.submit("n0", cluster.job(2, shape="gang", parts=4, crew="red"))
    for _ in range(3):
        cluster.step()
    assert not any(p.startswith("req-000002") for p in running_tasks(cluster)), (
        "only two of the four tasks fit"
    )
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)
    for _ in range(4):
        cluster.step()
    assert len(running_tasks(cluster)) == 4
    attempts = {a.number for worker in cluster.workers.values() for a in worker.tasks.values()}
    assert len(attempts) == 1
    for worker in cluster.workers.values():
        if "req-000002/1" in worker.running():
            worker.finish("req-000002/1", "error")
    for _ in range(14):
        cluster.step()
    assert len(running_tasks(cluster)) == 4
    assert cluster.nodes["n0"].submit(cluster.job(3, shape="gang", parts=9))[0] == 422, (
        "the gang exceeds the team's limit"
    )


def test_a_task_refused_for_lack_of_capacity_is_tried_elsewhere() -> None:
    cluster = started_cluster(machines=2)
    full = cluster.first_worker()
    full.fails_starts, full.failure_reason = True, "full"
    cluster.submit("n0", cluster.job(1, parts=4))
    for _ in range(8):
        cluster.step()
    assert len(running_tasks(cluster)) == 4
    assert cluster.nodes["n0"].scheduler.state.refusals > 0


def test_capacity_goes_to_a_job_whose_image_is_cached_before_a_smaller_job_without_it() -> None:
    cluster = started_cluster(machines=4)  # 16 CPUs
    scheduler = cluster.nodes["n0"].scheduler
    cluster.submit("n0", cluster.job(1, crew="blue", parts=8, bundle="img-a", guess_s=10.0))
    run_for(cluster, 1.0, cloud=False)
    assert len({p.machine for p in scheduler.state.jobs["req-000001"].open.values()}) == 2
    cluster.submit("n0", cluster.job(2, crew="red", parts=8, bundle="img-b", guess_s=10.0))
    run_for(cluster, 3.0, cloud=False)
    assert len(running_tasks(cluster)) == 16
    # Capacity is released on the machines with img-a. The smaller job would be scheduled first, but would
    # have to fetch its image there.
    cluster.submit("n0", cluster.job(3, crew="blue", parts=4, bundle="img-b", guess_s=10.0))
    cluster.submit("n0", cluster.job(4, crew="blue", parts=8, bundle="img-a", guess_s=10.0))
    scheduler.state.images_at = NEVER
    for task_id in [p for p in running_tasks(cluster) if p.startswith("req-000001/")]:
        cluster.finish(task_id)
    run_for(cluster, 3.0, cloud=False)
    assert len(scheduler.state.jobs["req-000004"].open) == 8 and not scheduler.state.jobs["req-000003"].open
    for task_id in [p for p in running_tasks(cluster) if p.startswith("req-000002/")]:
        cluster.finish(task_id)
    run_for(cluster, 3.0, cloud=False)
    assert len(scheduler.state.jobs["req-000003"].open) == 4


def test_the_record_of_a_machines_images_drops_the_least_recently_used() -> None:
    cluster = started_cluster(machines=1)
    scheduler = cluster.nodes["n0"].scheduler
    scheduler.state.types = [msgspec.structs.replace(each, cache_gb=2.5) for each in scheduler.types]
    for number, image in enumerate(["img-a", "img-b", "img-a", "img-c"], 1):
        cluster.submit("n0", cluster.job(number, parts=1, bundle=image, size_gb=1.0))
        run_for(cluster, 2.0, cloud=False)
        cluster.finish(f"req-{number:06d}/0")
        run_for(cluster, 1.0, cloud=False)
    machine = next(iter(scheduler.state.machines.values()))
    assert [scheduler.state.images[i] for i in machine.images] == ["img-a", "img-c"]


def test_without_a_service_level_objective_the_longest_tasks_are_scheduled_first() -> None:
    cluster = started_cluster(machines=1)
    scheduler = cluster.nodes["n0"].scheduler
    for number, guess in enumerate([5.0, 90.0, 30.0], 1):
        # The job needs 5 CPUs and so exceeds its team's guarantee of 4.
        cluster.submit("n0", cluster.job(number, parts=5, guess_s=guess))
    run_for(cluster, 2.0, cloud=False)
    assert {p.split("/")[0] for p in running_tasks(cluster)} == {"req-000002"}
    scheduler.state.objectives.completion_targets_s = {"sweep": 60.0}
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)
    run_for(cluster, 2.0, cloud=False)
    assert {p.split("/")[0] for p in running_tasks(cluster)} == {"req-000001"}, (
        "with an objective, the job with the least remaining work is scheduled first"
    )


def test_a_job_within_its_teams_guarantee_goes_before_a_job_beyond_the_guarantee_of_another_team() -> None:
    cluster = started_cluster(machines=1)
    cluster.submit("n0", cluster.job(1, crew="blue", parts=4, guess_s=50.0))
    run_for(cluster, 2.0, cloud=False)
    assert len(running_tasks(cluster)) == 4
    # With the unfinished job, the next job of blue exceeds blue's guarantee of 4 CPUs; it has less work left.
    cluster.submit("n0", cluster.job(2, crew="blue", parts=1, guess_s=1.0))
    cluster.submit("n0", cluster.job(3, crew="red", parts=4, guess_s=60.0))
    assert cluster.nodes["n0"].scheduler.scheduling.queue.jobs_within_guarantee() == {
        "req-000001",
        "req-000003",
    }
    cluster.finish("req-000001/0")
    run_for(cluster, 2.0, cloud=False)
    assert "req-000003/0" in running_tasks(cluster) and "req-000002/0" not in running_tasks(cluster)


def test_a_large_array_of_idle_priority_is_not_starved_by_small_urgent_jobs() -> None:
    """In every `turn_s`, plus the time until capacity is released, `turn_share` of its tasks start."""
    cluster = started_cluster(machines=2)  # 8 CPUs, and no more can be launched
    cluster.cloud.capacity = 0
    policy = cluster.nodes["n0"].scheduler.policy
    cluster.submit("n0", cluster.job(1, crew="red", parts=100, rank="idle", guess_s=10.0))
    number = 1
    started_at: dict[str, float] = {}
    for _ in range(240):
        while sum(len(j.waiting) for j in cluster.nodes["n0"].scheduler.state.jobs.values()) < 60:
            number += 1
            cluster.submit("n0", cluster.job(number, crew="blue", parts=4, rank="urgent", guess_s=10.0))
        run_for(cluster, 2.0, cloud=False)
        for task_id in running_tasks(cluster):
            started_at.setdefault(task_id, cluster.clock.now)
            if cluster.clock.now - started_at[task_id] >= 10.0:
                cluster.finish(task_id)
    start_times = sorted(
        at - 1000.0 for task_id, at in started_at.items() if task_id.startswith("req-000001/")
    )
    assert start_times[0] <= policy.turn_s + 20.0
    turns = int(480 / (policy.turn_s + 20.0))
    assert len(start_times) >= turns * 2, "2 of 100 tasks start per turn"
    done = [task_id for task_id in cluster.done_tasks if task_id.startswith("req-000001/")]
    assert len(done) >= len(start_times) - 2, "no task of the array was preempted"


def test_the_balancer_frees_capacity_that_a_waiting_task_needs() -> None:
    """A task restricted to a zone waits while tasks with checkpoints that may run anywhere fill that zone."""
    cluster = Cluster(1)
    cluster.cloud.capacity = 0
    cluster.machine("small", "north")
    for _ in range(3):
        cluster.step()
    cluster.submit("n0", cluster.job(1, parts=2, cpus=2.0, crew="blue", bookmark_s=5.0, stash_s=1.0))
    cluster.step()
    cluster.step()
    cluster.machine("small", "south")
    cluster.step()
    cluster.submit("n0", cluster.job(2, parts=1, cpus=2.0, yard="north", crew="red"))
    for _ in range(8):
        cluster.step()
    assert cluster.nodes["n0"].scheduler.state.migrations == 1, "exactly one task migrates"
    north, south = cluster.workers.values()
    assert "req-000002/0" in north.running()
    assert len(south.running()) == 1 and south.running()[0].startswith("req-000001/")
