"""Three real controllers under a flood at ten times the served rate; two of them are restarted."""

import random
import threading
from pathlib import Path
from typing import Any

from standins.admission_history import (
    accepted_under,
    jobs_accepted_against_level,
    jobs_decided_inconsistently,
    unjustified_refusals,
    urgent_jobs_started_late,
)
from standins.history import tasks_completed_again, tasks_run_concurrently
from standins.site import KIND, Site, await_state
from standins.state_service import StateService
from standins.users import Users
from tools.flood_trial import KEEP_IDLE, RPS, SERVED_PER_S, TEAMS, WRITE_RPS, flow_of, make_job

SCRIPT = KEEP_IDLE + "admission = True\nadmission_window_s = 4.0\nadmission_clear_s = 4.0\n"
MACHINES = 4
RUN_S = 0.5
PER_S, SECONDS = SERVED_PER_S * 10, 12.0


def test_a_flood_at_ten_times_the_served_rate_while_two_controllers_are_killed_and_restarted(
    tmp_path: Path,
) -> None:
    rng = random.Random(5)
    state = StateService(RPS, WRITE_RPS)
    with Site(tmp_path, SCRIPT, MACHINES, teams=TEAMS, state=state) as site:
        for n in range(MACHINES):
            site.fleet.launch(KIND, "north" if n % 2 else "south", True)
        await_state(lambda: site.leader() is not None, "a controller is leader")
        users = Users(site, 5)
        flood = threading.Thread(
            target=users.flood, args=(lambda n: make_job(rng, n, PER_S), PER_S, SECONDS, RUN_S), daemon=True
        )
        flood.start()

        def levels() -> list[Any]:
            return [row.value for row in state.history() if row.key == "b/admission"]

        await_state(lambda: len(levels()) >= 2, "part of the flood is refused")
        leader = site.leader()
        assert leader is not None
        ended = [leader, next(name for name in site.controllers.front_addresses if name != leader)]
        for name in ended:
            site.controllers.kill(name)
        await_state(lambda: site.leader() not in (None, leader), "another controller is leader")
        for name in ended:
            site.start(name)
        before = len(levels())
        await_state(lambda: len(levels()) >= before + 2, "the next leader records admission levels")
        flood.join()
        submissions = list(users.submissions)
        await_state(
            lambda: not levels()[-1]["windows"] and not levels()[-1]["accept_rps"],
            "admission no longer limits submissions",
        )
        users.close()
        accepted = [s for s in submissions if s.accepted_at is not None]
        names = [s.job["id"] for s in accepted]

        def unfinished() -> set[str]:
            done = {event.task_id for event in list(site.fleet.history) if event.kind == "done"}
            return {f"{name}/0" for name in names} - done

        await_state(lambda: not unfinished(), "all accepted jobs are done")

        answers, changes = users.all_answers(), state.history()
        flows = {s.job["id"]: flow_of(s.job) for s in submissions}
        assert any(answer.status == 429 for answer in answers), "some submissions were refused with 429"
        assert (
            jobs_accepted_against_level(changes, flows) == []
            and unjustified_refusals(changes, answers, flows) == []
        )
        assert jobs_decided_inconsistently([*answers, *accepted_under(changes)]) == []
        history = list(site.fleet.history)
        assert tasks_run_concurrently(history) == [] and tasks_completed_again(history) == []
        served = {(s.job["lane"], s.job["crew"]) for s in accepted}
        assert served == {(s.job["lane"], s.job["crew"]) for s in submissions}, (
            "every class of every team had submissions accepted"
        )
        builds = [s for s in submissions if s.job["lane"] == "hot-builds"]
        sweeps = [s for s in submissions if s.job["lane"] == "rebuild-sweep"]
        share = [
            sum(s.accepted_at is not None for s in submitted) / len(submitted)
            for submitted in (builds, sweeps)
        ]
        assert share[0] > 2 * share[1], (
            "the accepted share of urgent jobs is more than twice that of the others"
        )
        first_attempts: dict[str, int] = {}
        for event in history:
            if event.kind == "running":
                first_attempts.setdefault(event.task_id.partition("/")[0], event.number)
        urgent_accepted_first = [
            (build.job["id"], sweep.job["id"])
            for build, sweep in zip(builds, sweeps, strict=False)
            if build.accepted_at and sweep.accepted_at and build.accepted_at < sweep.accepted_at - 1.0
        ]
        assert urgent_jobs_started_late(first_attempts, urgent_accepted_first) == []
