"""Real controllers and machines with as many small tasks as fit into a message, over loopback sockets.

They guard against responses and heartbeats of over 64 KiB, which made a full machine lose its lease, and with
it all of its tasks, again and again.
"""

import math
import random
import string
from pathlib import Path
from typing import Any

from standins.history import tasks_not_completed_once, tasks_run_concurrently
from standins.site import KIND, Site, await_state, job
from standins.workers import Worker

MAX_MESSAGE_BYTES = 64 * 1024  # as PROTOCOL has it
KEEP_IDLE = "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
IMAGE = "img-0"
LEASE_S = 6.0
CANCEL_S = 3.5 * LEASE_S  # as `Site` sets it


def small_tasks(number: int, tasks: int, **fields: Any) -> dict[str, Any]:
    """A submission of a job of tasks so small that only messages bound how many run on a machine."""
    return job(number, IMAGE, tasks, cpus=0.001, mem_gb=0.001, guess_s=3.0) | fields


def open_site(folder: Path) -> Site:
    """A site that launches no machines by itself."""
    return Site(folder, KEEP_IDLE, capacity=0, lease_s=LEASE_S)


def launch(site: Site, count: int) -> list[Worker]:
    """Start machines that have the image."""
    zones = ["north", "south"]
    return [site.fleet.launch(KIND, zones[n % 2], True, (IMAGE,)) for n in range(count)]


def running(workers: list[Worker]) -> int:
    """The number of tasks that run on these machines."""
    return sum(a.phase == "running" for worker in workers for a in list(worker.tasks.values()))


def is_done(site: Site, *job_ids: str) -> bool:
    """Whether every controller reports these jobs as done."""
    return all(set(site.phases(job_id).values()) == {"done"} for job_id in job_ids)


def check_messages(workers: list[Worker]) -> None:
    """Check that all messages kept to the limit, and that no machine lost its lease."""
    for worker in workers:
        sizes = worker.message_sizes
        assert sizes.longest_response_line <= MAX_MESSAGE_BYTES
        assert sizes.longest_report <= MAX_MESSAGE_BYTES
        assert sizes.refused_reports == 0
        assert worker.epoch == 1, "the lease never expired"


def test_thousands_of_tasks_on_several_machines_are_done_once_though_the_leader_is_killed(
    tmp_path: Path,
) -> None:
    with open_site(tmp_path) as site:
        workers = launch(site, 4)
        site.submit(small_tasks(1, 3000), run_s=4.0)
        await_state(lambda: running(workers) > 4 * 400, "all machines are full")
        leader = site.leader()
        assert leader is not None
        site.controllers.kill(leader)
        await_state(lambda: site.leader() not in (None, leader), "another controller is leader")
        site.start(leader)
        await_state(lambda: is_done(site, "req-000001"), "the job is done")
        history = list(site.fleet.history)
        tasks = [f"req-000001/{task}" for task in range(3000)]
        assert tasks_not_completed_once(history, tasks) == []
        assert tasks_run_concurrently(history) == []
        check_messages(workers)


def test_a_full_machine_whose_job_is_cancelled_stops_it_in_time_and_goes_on_with_other_work(
    tmp_path: Path,
) -> None:
    with open_site(tmp_path) as site:
        workers = launch(site, 1)
        site.submit(small_tasks(1, 1600), run_s=math.inf)
        await_state(lambda: running(workers) > 400, "the machine is full")
        site.submit(small_tasks(2, 600, rank="normal"), run_s=0.5)
        status, answer = site.controllers.send_request("n1", "POST", "/api/jobs/req-000001/cancel", {})
        assert (status, answer["phase"]) == (200, "aborted")
        await_state(
            lambda: (
                not any(
                    attempt.task_id.startswith("req-000001") and attempt.phase != "ended"
                    for attempt in list(workers[0].tasks.values())
                )
            ),
            "every task of the cancelled job is gone",
            timeout_s=CANCEL_S,
        )
        await_state(lambda: is_done(site, "req-000002"), "the other job is done")
        check_messages(workers)


def test_the_jobs_of_a_full_machine_that_only_a_relay_reaches_are_done(tmp_path: Path) -> None:
    with open_site(tmp_path) as site:
        # The leader reaches most machines, so that it keeps the leadership.
        others = [site.fleet.launch(KIND, "north", True, (IMAGE,)) for _ in range(3)]
        cut_off = site.fleet.launch(KIND, "south", True, (IMAGE,))
        await_state(lambda: site.leader() is not None, "there is a leader")
        leader = site.leader()
        assert leader is not None
        cut_off.controls.unreachable_controllers.add(leader)
        cut_off.refuse_commands(True)
        rng = random.Random(1)
        job_ids = ["req-" + "".join(rng.choices(string.ascii_letters, k=64)) for _ in range(5)]
        for number, job_id in enumerate(job_ids):
            site.submit(small_tasks(number, 110, id=job_id, yard="south"), run_s=1.0)
        await_state(lambda: running([cut_off]) > 300, "the machine is full")
        await_state(lambda: is_done(site, *job_ids), "the jobs are done")
        assert site.leader() == leader and cut_off.controller != leader
        check_messages([cut_off, *others])
