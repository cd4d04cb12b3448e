"""Real controllers with stand-ins for workers, cloud and state service, over loopback sockets."""

import math
from pathlib import Path

import pytest

from bayford.recovery.zone_record import decode, key
from standins.history import (
    jobs_with_inconsistent_phase,
    out_of_order,
    tasks_not_completed_once,
    tasks_run_concurrently,
)
from standins.site import KIND, Site, await_state, job
from standins.workers import AttemptEvent

ALL_FEATURES = (Path(__file__).parent.parent / "deploy" / "all-parts.star").read_text()
# Keeps idle machines, however slow the test runs.
KEEP_IDLE = "\nkeep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
MACHINES = 20
JOBS = 10
TASKS = 4  # per job; the jobs then use a quarter of the fleet
IMAGES = ["img-0", "img-1", "img-2"]


def test_a_burst_of_jobs_whose_images_are_on_three_machines_is_spread_and_each_task_is_done_once(
    tmp_path: Path,
) -> None:
    with Site(tmp_path, ALL_FEATURES + KEEP_IDLE, MACHINES) as site:
        for n in range(MACHINES):
            images = (IMAGES[n],) if n < len(IMAGES) else ()
            site.fleet.launch(KIND, "north" if n % 2 else "south", True, images)
        # One job for each image first, so that the controllers learn which machine has the image.
        for n, image in enumerate(IMAGES):
            site.submit(job(900 + n, image, 1), run_s=0.2)
        first_jobs = [f"req-{900 + n:06d}" for n in range(len(IMAGES))]
        await_state(
            lambda: all(set(site.phases(name).values()) == {"done"} for name in first_jobs),
            "the first jobs are done",
        )
        names = [f"req-{n:06d}" for n in range(JOBS)]
        for n in range(JOBS):
            site.submit(job(n, IMAGES[n % len(IMAGES)], TASKS), run_s=math.inf)

        def running() -> int:
            workers = list(site.fleet.workers.values())
            return sum(a.phase == "running" for w in workers for a in list(w.tasks.values()))

        await_state(lambda: running() == JOBS * TASKS, "all tasks run")
        loads = site.fleet.loads()
        average = sum(loads.values()) / len(loads)
        assert len(loads) == MACHINES and average == JOBS * TASKS / (MACHINES * KIND.cpus)
        assert max(loads.values()) <= 2.0 * average

        leader = site.leader()
        assert leader is not None
        site.controllers.kill(leader)
        await_state(lambda: site.leader() not in (None, leader), "another controller is leader")
        site.start(leader)
        for name in names:
            site.fleet.run_s[name] = 0.0
        await_state(
            lambda: all(set(site.phases(name).values()) == {"done"} for name in names), "all jobs are done"
        )
        history = list(site.fleet.history)
        assert (
            tasks_not_completed_once(history, [f"{name}/{task}" for name in names for task in range(TASKS)])
            == []
        )
        assert tasks_run_concurrently(history) == []
        for n in range(JOBS):
            status, body = site.controllers.send_request(
                "n0", "POST", "/api/jobs", job(n, IMAGES[n % 3], TASKS)
            )
            assert (status, body["phase"]) == (200, "done"), "a repeated submission gets the one final answer"
        assert any(
            "placed by cost: job=" in site.controllers.log(name) for name in site.controllers.front_addresses
        )


A, B = AttemptEvent("req-1/0", 1, "vm-1", "running"), AttemptEvent("req-1/0", 2, "vm-2", "running")
A_DONE, B_DONE = AttemptEvent("req-1/0", 1, "vm-1", "done"), AttemptEvent("req-1/0", 2, "vm-2", "done")
A_LOST = AttemptEvent("req-1/0", 1, "vm-1", "lost")
LATER = AttemptEvent("req-2/0", 3, "vm-2", "running")


@pytest.mark.parametrize(
    ("history", "twice", "not_once", "order"),
    [
        ([A, A_LOST, B, B_DONE, LATER], [], [], []),
        ([A, B, A_LOST, B_DONE, LATER], ["req-1/0"], [], []),  # a second attempt starts while the first runs
        ([A, A_DONE, B, B_DONE, LATER], [], ["req-1/0"], []),  # the task is done twice
        ([A, A_LOST, B, LATER], [], ["req-1/0"], []),  # the task is never done
        # req-2 starts on vm-2 before req-1.
        ([A, A_LOST, AttemptEvent("req-2/0", 1, "vm-2", "running"), B, B_DONE], [], [], ["req-2"]),
        ([A, A_DONE, LATER], [], [], ["req-2"]),  # req-1 never starts on vm-2
    ],
)
def test_the_history_checks_report_violations(
    history: list[AttemptEvent], twice: list[str], not_once: list[str], order: list[str]
) -> None:
    assert tasks_run_concurrently(history) == twice
    assert tasks_not_completed_once(history, ["req-1/0"]) == not_once
    assert out_of_order(history, ["vm-2"], ["req-1", "req-2"]) == order


@pytest.mark.parametrize(
    ("phases", "wrong"),
    [
        ({"n0": "done", "n1": "done"}, []),
        ({"n0": "done", "n1": "running"}, ["req-1"]),
        ({"n0": "done", "n1": "aborted"}, ["req-1"]),
        ({"n0": "done", "n1": None}, ["req-1"]),
        ({}, ["req-1"]),
    ],
)
def test_the_answer_check_reports_jobs_without_one_common_answer(
    phases: dict[str, str | None], wrong: list[str]
) -> None:
    assert jobs_with_inconsistent_phase({"req-1": phases}, "done") == wrong


RECOVERY_SCRIPT = (
    'recovery = True\nextra_classes = ["rebuild-sweep"]\nreturn_order = ["hot-builds", "rebuild-sweep"]\n'
)


def test_jobs_have_one_final_answer_after_a_zone_is_cut_off_flaps_and_returns(tmp_path: Path) -> None:
    """The leader is killed meanwhile; jobs bound to the zone restart in the order of `return_order`."""
    with Site(tmp_path, RECOVERY_SCRIPT + KEEP_IDLE, 12, lease_s=6.0) as site:
        for n in range(12):
            site.fleet.launch(KIND, "south" if n % 2 else "north", True)

        def south() -> list[str]:
            return [name for name, worker in site.fleet.workers.items() if worker.zone == "south"]

        def state() -> str:
            found = site.state.values("b/zone/").get(key("south"))
            return decode(found).state if found is not None else "up"

        site.submit(job(0, "img-0", 48, "mirror-trickle"), run_s=math.inf)
        await_state(lambda: sum(site.fleet.loads().values()) == 6.0, "all tasks run")
        site.fleet.set_zone_partitioned("south", partitioned=True)
        await_state(lambda: state() == "lost", "the loss is recorded")
        bound = {"yard": "south", "rank": "normal"}
        for number, name in ((1, "mirror-trickle"), (2, "rebuild-sweep"), (3, "hot-builds")):
            site.submit(job(number, f"img-{number}", 6, name, **bound), run_s=math.inf)
        leader = site.leader()
        assert leader is not None
        site.controllers.kill(leader)
        await_state(lambda: site.leader() not in (None, leader), "another controller is leader")
        site.start(leader)
        for away in (False, True, False):  # it flaps
            site.fleet.set_zone_partitioned("south", away)
        names = [f"req-{n:06d}" for n in range(4)]
        tasks = [f"{names[0]}/{n}" for n in range(48)]
        tasks += [f"{name}/{n}" for name in names[1:] for n in range(6)]

        def running() -> set[str]:
            workers = list(site.fleet.workers.values())
            return {a.task_id for w in workers for a in list(w.tasks.values()) if a.phase == "running"}

        await_state(lambda: running() == set(tasks), "everything runs again")
        await_state(lambda: state() == "up", "the zone is up")
        assert out_of_order(site.fleet.history, south(), [names[3], names[2], names[1]]) == []
        for name in names:
            site.fleet.run_s[name] = 0.0
        await_state(
            lambda: all(set(site.phases(name).values()) == {"done"} for name in names), "all jobs are done"
        )
        history = list(site.fleet.history)
        assert tasks_run_concurrently(history) == [] and tasks_not_completed_once(history, tasks) == []
        assert jobs_with_inconsistent_phase({name: site.phases(name) for name in names}, "done") == []
        status, body = site.controllers.send_request(
            "n0", "POST", "/api/jobs", job(0, "img-0", 48, "mirror-trickle")
        )
        assert (status, body["phase"]) == (200, "done")
        losses = decode(site.state.values("b/zone/")[key("south")]).losses
        assert losses and all(loss.totals()["open"] == 0 for loss in losses)
