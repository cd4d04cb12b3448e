"""Real controllers, stand-in workers, cloud and state service over loopback sockets."""

import collections
import math
from pathlib import Path

from standins.site import KIND, Site, await_state, job
from standins.workers import Event

ALL_PARTS = (Path(__file__).parent.parent / "deploy" / "all-parts.star").read_text()
KEEP_IDLE = "\nkeep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"  # however slow this machine is
MACHINES = 20
JOBS = 10
TASKS = 4  # of each job, so that a quarter of the fleet is used
IMAGES = ["img-0", "img-1", "img-2"]


def ran_twice(history: list[Event]) -> list[str]:
    """Tasks that began to run while they ran."""
    running: dict[str, tuple[int, str]] = {}
    out = []
    for event in history:
        attempt = (event.number, event.machine)
        if event.what == "running":
            if event.part in running:
                out.append(event.part)
            running[event.part] = attempt
        elif running.get(event.part) == attempt:
            del running[event.part]
    return out


def test_a_burst_whose_images_lie_on_three_machines_is_spread_and_ends_once(tmp_path):
    with Site(tmp_path, ALL_PARTS + KEEP_IDLE, MACHINES) as site:
        for n in range(MACHINES):
            images = (IMAGES[n],) if n < len(IMAGES) else ()
            site.fleet.begin(KIND, "north" if n % 2 else "south", True, images)
        # A first job of each image, so that the controllers learn where it lies.
        for n, image in enumerate(IMAGES):
            site.submit(job(900 + n, image, 1), run_s=0.2)
        firsts = [f"req-{900 + n:06d}" for n in range(len(IMAGES))]
        await_state(
            lambda: all(set(site.phases(name).values()) == {"done"} for name in firsts), "the first jobs"
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

        owner = site.owner()
        assert owner is not None
        site.controllers.kill(owner)
        await_state(lambda: site.owner() not in (None, owner), "another owner")
        site.start(owner)
        for name in names:
            site.fleet.run_s[name] = 0.0
        await_state(lambda: all(set(site.phases(name).values()) == {"done"} for name in names), "the end")
        history = list(site.fleet.history)
        done = collections.Counter(e.part for e in history if e.what == "done" and e.part[:10] in names)
        assert done == {f"{name}/{task}": 1 for name in names for task in range(TASKS)}
        assert ran_twice(history) == []
        for n in range(JOBS):
            status, body = site.controllers.ask("n0", "POST", "/api/jobs", job(n, IMAGES[n % 3], TASKS))
            assert (status, body["phase"]) == (200, "done"), "a repeated submission gets the one final answer"
        assert any("tasks on" in site.controllers.log(name) for name in site.controllers.fronts)
