"""Machines that are silent, unresponsive or fail the tasks they start, and jobs that fail on all machines."""

from fakes.scenarios import run_for, running_tasks, started_cluster


def test_a_silent_machine_is_deleted_before_its_tasks_are_requeued() -> None:
    cluster = started_cluster(machines=1)
    cluster.cloud.capacity = 0
    cluster.submit("n0", cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    silent = cluster.first_worker()
    cluster.network_cuts.add((silent.name, "n0"))
    spare = cluster.machine()
    cluster.cloud.deletes_lost = True
    for _ in range(40):
        cluster.step(1.0)
        cluster.cloud_step("n0")
    assert cluster.cloud.late_deletes, "deletion was requested"
    assert running_tasks(cluster) in ([], ["req-000001/0"]) and not spare.running(), (
        "no proof of the deletion yet, so nothing is requeued"
    )
    cluster.cloud.deletes_lost = False
    for _ in range(3):
        cluster.step(1.0)
        cluster.cloud_step("n0")
    assert silent.name in cluster.cloud.deleted
    cluster.step()
    assert spare.running() == ["req-000001/0"]


def test_many_machines_that_become_silent_together_get_more_time_than_a_single_one() -> None:
    cluster = started_cluster(machines=8)
    cluster.submit("n0", cluster.job(1, crew="blue", parts=16, guess_s=200.0))
    run_for(cluster, 3.0)
    before = running_tasks(cluster)
    cut = sorted(cluster.workers)[:4]
    cluster.network_cuts |= {(name, "n0") for name in cut}
    run_for(cluster, 20.0)
    assert cluster.cloud.deleted == [], "most likely a network cut, so no machine is deleted yet"
    cluster.network_cuts.clear()
    run_for(cluster, 5.0)
    assert len(running_tasks(cluster)) == 16 and before
    cluster.network_cuts.add((cut[0], "n0"))
    run_for(cluster, 20.0)
    assert cluster.cloud.deleted == [cut[0]]


def test_an_unresponsive_machine_is_replaced_and_its_work_runs_elsewhere() -> None:
    cluster = started_cluster(machines=1)
    unresponsive = cluster.first_worker()
    unresponsive.unresponsive = True
    cluster.submit("n0", cluster.job(1))
    run_for(cluster, 8.0)
    assert unresponsive.name in cluster.cloud.deleted, (
        "detected by starts missing from its heartbeats, long before a lease expires"
    )
    assert running_tasks(cluster) == ["req-000001/0", "req-000001/1"]


def test_running_tasks_of_an_unresponsive_machine_run_elsewhere_after_its_deletion() -> None:
    cluster = started_cluster(machines=1)
    unresponsive = cluster.first_worker()
    cluster.submit("n0", cluster.job(1, parts=4))
    run_for(cluster, 3.0, cloud=False)
    assert len(running_tasks(cluster)) == 4
    unresponsive.unresponsive = True
    run_for(cluster, 40.0)
    assert unresponsive.name in cluster.cloud.deleted
    assert len(running_tasks(cluster)) == 4


def test_an_idle_unresponsive_machine_is_detected_by_its_expired_leases() -> None:
    cluster = started_cluster(machines=1)
    unresponsive = cluster.first_worker()
    unresponsive.unresponsive = True
    run_for(cluster, 26.0, cloud=False)
    machine = next(iter(cluster.nodes["n0"].scheduler.state.machines.values()))
    assert unresponsive.epoch == 3 and machine.quarantined, (
        "two leases expired although its heartbeats were answered"
    )


def test_cancelled_tasks_on_unresponsive_machines_are_stopped_in_time() -> None:
    cluster = started_cluster(machines=2)
    cluster.submit("n0", cluster.job(1, parts=8))
    run_for(cluster, 3.0, cloud=False)
    for worker in cluster.workers.values():
        worker.unresponsive = True
    cluster.cancel("n0", "req-000001")
    run_for(cluster, cluster.cancel_s)  # the cluster checks `cancel_s`
    assert running_tasks(cluster) == []


def test_many_seemingly_unresponsive_machines_are_a_fault_of_the_controllers_and_none_is_deleted() -> None:
    cluster = started_cluster(machines=8)
    for worker in cluster.workers.values():
        worker.unresponsive = True
    cluster.submit("n0", cluster.job(1, crew="blue", parts=16))
    run_for(cluster, 6.0)
    assert cluster.cloud.deleted == []


def test_a_machine_that_fails_several_jobs_is_quarantined_and_deleted() -> None:
    cluster = started_cluster(machines=2)
    faulty = cluster.first_worker()
    faulty.fails_starts = True
    for n in range(1, 5):
        cluster.submit("n0", cluster.job(n, parts=2))
    for _ in range(12):
        cluster.step(1.0)
        cluster.cloud_step("n0")
    assert faulty.name in cluster.cloud.deleted
    assert sum(name in cluster.cloud.deleted for name in ("vm-000001", "vm-000002")) == 1


def test_a_job_that_fails_on_all_machines_backs_off_and_no_machine_is_quarantined() -> None:
    cluster = started_cluster(machines=5)
    for worker in cluster.workers.values():
        worker.fails_starts = True
    cluster.submit("n0", cluster.job(1, parts=1))
    for _ in range(20):
        cluster.step(1.0)
        cluster.cloud_step("n0")
    job = cluster.nodes["n0"].scheduler.state.jobs["req-000001"]
    assert 3 <= job.errors <= 8
    assert job.not_before > cluster.clock.now
    assert not any(m.quarantined for m in cluster.nodes["n0"].scheduler.state.machines.values())


def test_an_array_that_fails_on_some_machines_and_runs_on_others_does_not_back_off() -> None:
    cluster = started_cluster(machines=4)
    cluster.submit("n0", cluster.job(1, crew="blue", parts=40, guess_s=60.0))
    run_for(cluster, 8.0, cloud=False)
    faulty = sorted(cluster.workers)[:3]
    for name in faulty:
        worker = cluster.workers[name]
        worker.fails_starts = True
        worker.finish(worker.running()[0], "error")
    run_for(cluster, 4.0)
    job = cluster.nodes["n0"].scheduler.state.jobs["req-000001"]
    assert job.errors >= 3 and job.backoff_count == 0
    for name in faulty:
        if name in cluster.workers and cluster.workers[name].running():
            cluster.workers[name].finish(cluster.workers[name].running()[0], "error")
    run_for(cluster, 6.0)
    assert set(faulty) <= set(cluster.cloud.deleted), (
        "two failures suffice, as the job runs on other machines"
    )
