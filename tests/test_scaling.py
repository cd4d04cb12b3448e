"""Launches of machines for waiting work, and deletion of idle and reclaimed machines."""

from typing import Any

import pytest
from fakes.cluster import Cluster
from fakes.scenarios import reportable_tasks, run_for, running_tasks, started_cluster

from bayford.protocol.cloud_api import NoCapacityError
from bayford.scheduling import scaling


def refuse_spot_machines(cluster: Cluster, monkeypatch: pytest.MonkeyPatch) -> None:
    """The cloud has no spot machines; on-demand ones can be launched."""
    launch = cluster.cloud.launch

    def no_spot(request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        if spot:
            raise NoCapacityError
        return launch(request, kind, zone, spot, count)

    monkeypatch.setattr(cluster.cloud, "launch", no_spot)


def test_machines_are_launched_for_waiting_work_and_idle_ones_are_deleted() -> None:
    cluster = started_cluster(machines=0)
    cluster.submit("n0", cluster.job(1, parts=8))
    cluster.step()
    cluster.cloud_step("n0")
    assert len(cluster.workers) == 2 and all(worker.spot for worker in cluster.workers.values())
    for _ in range(4):
        cluster.step()
    running = running_tasks(cluster)
    assert len(running) == 8
    for task_id in running:
        cluster.finish(task_id)
    for _ in range(200):
        cluster.step(1.0)
        cluster.cloud_step("n0")
    assert not cluster.workers


def test_a_launch_request_id_is_not_reused_after_a_restart_of_the_leader() -> None:
    cluster = started_cluster(machines=0)
    cluster.submit("n0", cluster.job(1, parts=4))
    cluster.step()
    cluster.cloud_step("n0")
    first = set(cluster.cloud.requests)
    for worker in list(cluster.workers):
        cluster.workers.pop(worker)
    cluster.boot("n0")
    for _ in range(12):
        cluster.step()
    cluster.cloud_step("n0")
    assert len(cluster.cloud.requests) > len(first)


def test_a_machine_with_a_reclaim_notice_is_deleted() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    cluster.submit("n0", cluster.job(1, parts=1, guess_s=200.0))
    cluster.step()
    cluster.step()
    worker.reclaim_notice_s = 20.0
    cluster.cloud.capacity = 0
    for _ in range(4):
        cluster.step()
        cluster.cloud_step("n0")
    assert worker.name in cluster.cloud.deleted


@pytest.mark.parametrize("fields", [{"loaners": False}, {"builds": ["cards"], "parts": 1}])
def test_a_machine_is_launched_for_work_that_no_idle_machine_may_run(fields: dict[str, Any]) -> None:
    """Guards against launching nothing because idle machines exist that are not eligible for the job.

    The job then waited indefinitely.
    """
    cluster = started_cluster(machines=3)
    cluster.submit("n0", cluster.job(1, **fields))
    run_for(cluster, 12.0)
    # The cluster checks that the machines are eligible.
    assert len(running_tasks(cluster)) == cluster.specs["req-000001"].tasks


def test_an_on_demand_machine_is_launched_for_waiting_work_when_spot_machines_are_unavailable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = started_cluster(machines=3)
    refuse_spot_machines(cluster, monkeypatch)
    cluster.submit("n0", cluster.job(1, builds=["cards"], parts=1))
    run_for(cluster, 12.0)
    assert len(running_tasks(cluster)) == 1


# Guards against a fleet that seems large enough for tiny tasks because its CPUs are.
@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"rank": "urgent"},
        {"loaners": False},
        {"shape": "daemon", "rank": "critical", "guess_s": 0.0, "loaners": False},
    ],
    ids=["spot", "urgent", "on-demand", "service"],
)
def test_tiny_tasks_get_as_many_machines_as_tasks_that_need_as_many_for_their_cpus(
    fields: dict[str, Any],
) -> None:
    machines = []
    for parts, cpus in ((16, 1.0), (4 * reportable_tasks(), 1e-5)):  # either job fills four machines
        cluster = started_cluster(machines=1)
        job = cluster.job(
            1, **{"crew": "blue", "mem_gb": 0.0, "guess_s": 500.0} | fields, parts=parts, cpus=cpus
        )
        cluster.submit("n0", job)
        run_for(cluster, 20.0)
        assert len(running_tasks(cluster)) == parts
        machines.append(len(cluster.workers))
    assert machines[0] == machines[1]


# Guards against machines full of urgent tiny tasks that seem to have CPUs left for other urgent work.
def test_urgent_tiny_tasks_get_on_demand_machines_when_no_spot_machine_can_be_launched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    running = []
    for parts, cpus in ((16, 1.0), (4 * reportable_tasks(), 1e-5)):  # either job fills four machines
        cluster = started_cluster(machines=3)
        refuse_spot_machines(cluster, monkeypatch)
        job = cluster.job(
            1, crew="blue", rank="urgent", parts=parts, cpus=cpus, mem_gb=0.0, guess_s=20.0, due_s=None
        )
        cluster.submit("n0", job)
        run_for(cluster, 30.0)
        running.append(len(running_tasks(cluster)) / parts)
    assert running == [1.0, 1.0]


# Guards against a deadline that is missed because running tiny tasks seem to leave the fleet free.
def test_tiny_tasks_with_a_deadline_get_on_demand_machines_beside_running_tiny_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    running = []
    for per_machine, cpus in ((4, 1.0), (reportable_tasks(), 1e-5)):
        cluster = started_cluster(machines=3)
        refuse_spot_machines(cluster, monkeypatch)
        fields = {"crew": "blue", "cpus": cpus, "mem_gb": 0.0, "guess_s": 100.0}
        cluster.submit("n0", cluster.job(1, parts=3 * per_machine, **fields))
        run_for(cluster, 5.0, cloud=False)
        cluster.submit("n0", cluster.job(2, parts=per_machine, due_s=180.0, **fields))
        run_for(cluster, 20.0)
        running.append(len(running_tasks(cluster)) / per_machine)
    assert running == [4.0, 4.0], "the present fleet can't meet the deadline"


def test_a_task_uses_up_its_share_of_a_machine_that_can_report_no_more() -> None:
    types = Cluster(1).cloud.catalog()
    pools = [scaling.MachinePool(0, 0, True), scaling.MachinePool(1, 0, True)]
    assert scaling.slots(types[0], 1.0, 0.0, 1.0, max_per_machine=100) == 4
    assert scaling.slots(types[0], 0.01, 0.0, 0.0, max_per_machine=100) == 100
    assert scaling.fleet_cpus(1.0, pools, types, max_per_machine=100) == 1.0, "as its CPUs say"
    assert scaling.fleet_cpus(0.01, pools, types, max_per_machine=100) == 0.04, "a hundredth of four CPUs"
    assert scaling.fleet_cpus(0.01, [], types, max_per_machine=100) == 0.01
