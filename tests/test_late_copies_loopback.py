"""Real controllers whose workers' messages arrive again late, over loopback sockets.

They guard against a late copy of a start that runs a task twice, or a cancelled one again, after a controller
or a machine has come back within a second.
"""

import math
import random
import time
from pathlib import Path

from standins.history import attempts_run_again, tasks_run_concurrently
from standins.late_copies import DELAYS_S, LateCopies
from standins.site import KIND, Site, await_state, job
from standins.workers import Worker

SEED = 1
KEEP_IDLE = "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
LEASE_S = 6.0
RESPONSE_LIMIT_S = 4.0  # a worker drops responses that are older, as PROTOCOL has it
STEPS = 28
STEP_S = 0.4


class _Disturbances:
    """Submissions, cancellations and short absences, drawn from a seed."""

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self.submitted: list[str] = []
        self.cancelled: dict[str, float] = {}  # job ID -> when its user was told, monotonic clock

    def step(self, number: int) -> None:
        """Submit a job; sometimes cancel one, and let a controller or a machine be away for a moment."""
        rng, site = self._rng, self._site
        is_long = rng.random() < 0.3
        submission = job(number, f"img-{number % 3}", rng.choice([1, 2, 6]), size_gb=0.1, rank="normal")
        if rng.random() < 0.3:
            submission |= {"rank": "urgent"}  # preempts when the machines are full
        site.submit(submission, run_s=60.0 if is_long else 0.3)
        self.submitted.append(submission["id"])
        if is_long or rng.random() < 0.2:
            self._cancel(rng.choice(self.submitted))
        if number % 8 == 5:
            self._return_controller()
        if number % 4 == 0:
            self._return_machine(rng.choice(list(site.fleet.workers.values())))
        time.sleep(STEP_S)

    def cancel_unfinished(self) -> None:
        """Cancel every job that was not cancelled yet, unless it is done."""
        for job_id in self.submitted:
            self._cancel(job_id)

    def _cancel(self, job_id: str) -> None:
        for name in self._site.controllers.front_addresses:
            status, answer = self._site.controllers.send_request(
                name, "POST", f"/api/jobs/{job_id}/cancel", {}
            )
            if status == 200 and answer["phase"] == "aborted":
                self.cancelled.setdefault(job_id, time.monotonic())
                return

    def _return_controller(self) -> None:
        leader = self._site.leader()
        if leader is not None:
            self._site.controllers.kill(leader)
            time.sleep(self._rng.choice([0.0, 0.5]))
            self._site.start(leader)

    def _return_machine(self, worker: Worker) -> None:
        worker.controls.is_hung = True
        time.sleep(self._rng.choice([0.0, 0.5]))
        worker.controls.is_hung = False
        self._rng.choice([lambda: None, worker.begin_next_epoch, worker.begin_anew])()


def test_late_copies_of_heartbeats_and_direct_commands_start_nothing(tmp_path: Path) -> None:
    with Site(tmp_path, KEEP_IDLE, capacity=6, lease_s=LEASE_S) as site:
        copies = site.fleet.late_copies = LateCopies(site.fleet.controllers, SEED)
        site.call_on_exit(copies.close)
        for n in range(3):
            site.fleet.launch(KIND, "north" if n % 2 else "south", True)
        await_state(lambda: site.leader() is not None, "a controller is leader")
        disturbances = _Disturbances(site, random.Random(SEED))
        for number in range(STEPS):
            disturbances.step(number)
        site.submit(job(STEPS, "img-0", 4), run_s=math.inf)
        disturbances.cancel_unfinished()
        time.sleep(max(DELAYS_S))
        await_state(
            lambda: (
                {a.task_id for w in list(site.fleet.workers.values()) for a in list(w.tasks.values())}
                == {f"req-{STEPS:06d}/{task}" for task in range(4)}
            ),
            "only the last job runs",
        )
        history = list(site.fleet.history)
        assert min(copies.heartbeats, copies.commands) > 10
        assert copies.starts == [], "no worker waits for the response to a copy"
        assert tasks_run_concurrently(history) == []
        assert attempts_run_again(history) == []
        late_starts = [
            event
            for event in history
            if event.kind == "running"
            and event.at
            > disturbances.cancelled.get(event.task_id.partition("/")[0], math.inf) + RESPONSE_LIMIT_S
        ]
        assert late_starts == []
