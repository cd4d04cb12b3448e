"""Machines are launched for waiting work and deleted when idle or reclaimed."""

from typing import Any

import pytest
from fakes.scenarios import run_for, running_tasks, started_cluster

from bayford.protocol.cloud_api import NoCapacityError


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


def test_a_launch_request_is_never_used_twice_even_by_another_incarnation() -> None:
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


def test_a_reclaim_notice_stops_new_work_and_the_machine_is_deleted() -> None:
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
def test_work_that_no_machine_of_the_fleet_may_take_gets_one_of_its_own(fields: dict[str, Any]) -> None:
    """An idle fleet that may not serve a job was reason enough to launch nothing; the job waited for ever."""
    cluster = started_cluster(machines=3)
    cluster.submit("n0", cluster.job(1, **fields))
    run_for(cluster, 12.0)
    # The cluster checks that the place is allowed.
    assert len(running_tasks(cluster)) == cluster.specs["req-000001"].tasks


def test_where_no_spot_machine_can_be_launched_stranded_work_gets_an_on_demand_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = started_cluster(machines=3)
    launch = cluster.cloud.launch

    def no_spot(request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        if spot:
            raise NoCapacityError
        return launch(request, kind, zone, spot, count)

    monkeypatch.setattr(cluster.cloud, "launch", no_spot)
    cluster.submit("n0", cluster.job(1, builds=["cards"], parts=1))
    run_for(cluster, 12.0)
    assert len(running_tasks(cluster)) == 1
