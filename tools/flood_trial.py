"""Run a small site on loopback under a flood of submissions and print the results per job class.

    python3 tools/flood_trial.py                       # half a minute at the load that the site serves
    python3 tools/flood_trial.py --times 1 3 10 --seconds 60 --seeds 1 2 --admission off on --ends

Runs three real controllers with stand-in workers, cloud and state service in real time. `--times` is the
submission rate as a multiple of the rate that the site serves; most submissions are sweeps of one team, and
urgent builds keep their rate. `--ends` kills the leader and another controller during the flood and restarts
them. Not run in CI.
"""

import argparse
import random
import re
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

# E402: these imports need the path set above.
from bayford.admission.level import Flow  # noqa: E402
from bayford.scheduling.model import PRIORITIES  # noqa: E402
from standins.admission_history import jobs_accepted_against_level, unjustified_refusals  # noqa: E402
from standins.history import tasks_run_concurrently  # noqa: E402
from standins.site import KIND, Site, await_state, job  # noqa: E402
from standins.state_service import StateService  # noqa: E402
from standins.users import Submission, Users  # noqa: E402

WRITE_RPS, RPS = 15.0, 100.0
SERVED_PER_S = 4.0  # one-task jobs; each costs an acceptance, a completion and part of a row in writes
MACHINES = 6
RUN_S = 2.0
TEAMS = {"builders": 16.0, "mirrors": 8.0, "guests": 0.0}
BUILDS_PER_S = 0.8  # urgent builds, independent of the rate of the flood
BUILDS = (("hot-builds", "urgent", "builders"), ("hot-builds", "urgent", "mirrors"))
FLOOD = (
    *(("rebuild-sweep", "normal", "builders"),) * 6,
    ("rebuild-sweep", "normal", "guests"),
    ("mirror-trickle", "idle", "mirrors"),
)
KEEP_IDLE = "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
SETTLE_S = 70.0  # longer than the users retry, so that all retries have ended
REQUEST_COUNTS_LINE = re.compile(
    r"store requests: component=(\w+) requests=(\d+) changes=(\d+) refused=(\d+)"
)


def make_job(rng: random.Random, number: int, per_s: float) -> dict[str, Any]:
    """Return a random one-task job for a total submission rate of `per_s`."""
    urgent = rng.random() < BUILDS_PER_S / per_s
    job_class, rank, team = rng.choice(BUILDS if urgent else FLOOD)
    return job(number, f"img-{job_class}", 1, job_class, rank=rank, crew=team, size_gb=0.1, guess_s=RUN_S)


def flow_of(submitted: dict[str, Any]) -> Flow:
    """Return the flow that admission control assigns a submission to."""
    return Flow(PRIORITIES.index(submitted["rank"]), submitted["lane"], submitted["crew"])


def kill_and_restart_controllers(site: Site, seconds: float) -> None:
    """Kill the leader and another controller after a third of `seconds`; restart them 3 s later."""
    time.sleep(seconds / 3)
    leader = site.leader() or "n0"
    killed = [leader, next(name for name in site.controllers.front_addresses if name != leader)]
    for name in killed:
        site.controllers.kill(name)
    time.sleep(3.0)
    for name in killed:
        site.start(name)


def format_percentiles(values: Sequence[float]) -> str:
    """Format the 50th, 90th and 99th percentiles as columns."""
    if len(values) < 2:
        return f"{values[0]:5.1f}     -     -" if values else "    -     -     -"
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return f"{cuts[49]:5.1f} {cuts[89]:5.1f} {cuts[98]:5.1f}"


def format_class_row(site: Site, job_class: str, submissions: list[Submission]) -> str:
    """Format the table row of one job class."""
    of_class = [s for s in submissions if s.job["lane"] == job_class]
    started_at: dict[str, float] = {}
    done = set()
    for event in list(site.fleet.history):
        name = event.task_id.partition("/")[0]
        if event.kind == "running":
            started_at.setdefault(name, event.at)
        elif event.kind == "done":
            done.add(name)
    waits = [started_at[s.job["id"]] - s.first_at for s in of_class if s.job["id"] in started_at]
    waits_after_acceptance = [
        started_at[s.job["id"]] - s.accepted_at
        for s in of_class
        if s.job["id"] in started_at and s.accepted_at
    ]
    statuses = [answer.status for s in of_class for answer in s.answers]
    accepted = [s for s in of_class if s.accepted_at is not None]
    ended = sum(s.job["id"] in done for s in of_class)
    return (
        f"  {job_class:15} {len(of_class):7d} {len(accepted):8d} "
        f"{statuses.count(429):7d} {statuses.count(503):6d} {len(of_class) - len(accepted):8d} {ended:6d}"
        f"    {format_percentiles(waits)}   {format_percentiles(waits_after_acceptance)}"
    )


def format_request_counts(site: Site) -> str:
    """Format the counts of requests to the state service per component, from the controllers' logs."""
    counts: dict[str, list[int]] = {}
    for name in site.controllers.front_addresses:
        log = site.controllers.log(name)
        last_lines = {match[1]: match for match in REQUEST_COUNTS_LINE.finditer(log)}
        for component, match in last_lines.items():
            total = counts.setdefault(component, [0, 0, 0])
            for n in range(3):
                total[n] += int(match[n + 2])
    return "; ".join(
        f"{component} {changes} changes, {refused} of {requests} requests refused"
        for component, (requests, changes, refused) in counts.items()
    )


def show_progress(users: Users, seconds: float, finished: threading.Event) -> None:
    """Print the progress of the trial to standard error every second until `finished` is set."""
    started = time.monotonic()
    while not finished.wait(1.0):
        accepted = sum(s.accepted_at is not None for s in users.submissions)
        elapsed_s = time.monotonic() - started
        print(
            f"\r{elapsed_s:4.0f} of {seconds:.0f} s: {len(users.submissions)} submitted, {accepted} accepted",
            end="",
            file=sys.stderr,
            flush=True,
        )
    print("\r" + " " * 70 + "\r", end="", file=sys.stderr, flush=True)


@dataclass(frozen=True, slots=True)
class TrialSetup:
    """The parameters of one run.

    `load_factor` is the submission rate as a multiple of the rate that the site serves. If `kill` is set, two
    controllers are killed and restarted during the flood.
    """

    load_factor: float
    seconds: float
    seed: int
    admission: bool
    kill: bool

    @property
    def settle_s(self) -> float:
        """Seconds after the flood during which the users still retry."""
        return SETTLE_S if self.load_factor > 1 else 8.0

    def title(self) -> str:
        """Return the heading of the table."""
        return (
            f"{self.load_factor:g} times what the site serves, {self.seconds:.0f} s, seed {self.seed}, "
            f"admission {'on' if self.admission else 'off'}{', controllers end' if self.kill else ''}"
        )


def run_trial(setup: TrialSetup, folder: Path) -> bool:
    """Run one trial and print its table; return whether the checks found no violation."""
    script = KEEP_IDLE + f"admission = {setup.admission}\nadmission_clear_s = 5.0\n"
    state = StateService(RPS, WRITE_RPS)
    with Site(folder, script, MACHINES, teams=TEAMS, state=state) as site:
        for n in range(MACHINES):
            site.fleet.launch(KIND, "north" if n % 2 else "south", True)
        await_state(lambda: site.leader() is not None, "a leader")
        time.sleep(2.0)
        users = Users(site, setup.seed)
        writes_per_s = run_flood(site, users, setup)
        # The remaining jobs complete, and the controllers log their request counts.
        time.sleep(16.0 if setup.load_factor > 1 else 6.0)
        print_results(site, users, setup, writes_per_s)
        return report_violations(site, users)


def run_flood(site: Site, users: Users, setup: TrialSetup) -> float:
    """Run the flood, then wait for retries; return the changes per second in the store during the flood."""
    rng = random.Random(setup.seed)
    finished = threading.Event()
    progress_args = (users, setup.seconds + setup.settle_s, finished)
    threading.Thread(target=show_progress, args=progress_args, daemon=True).start()
    if setup.kill:
        threading.Thread(target=kill_and_restart_controllers, args=(site, setup.seconds), daemon=True).start()
    started, changes = time.monotonic(), site.state.changes
    per_s = SERVED_PER_S * setup.load_factor
    users.flood(lambda n: make_job(rng, n, per_s), per_s, setup.seconds, RUN_S)
    writes_per_s = (site.state.changes - changes) / (time.monotonic() - started)
    time.sleep(setup.settle_s)
    finished.set()
    users.close()
    return writes_per_s


def print_results(site: Site, users: Users, setup: TrialSetup, writes_per_s: float) -> None:
    """Print the table of job classes and the load of the state service."""
    print(setup.title())
    print(
        "  class           offered accepted refused    503 given up   done   "
        "wait 50, 90, 99%   after acceptance"
    )
    for job_class in ("hot-builds", "rebuild-sweep", "mirror-trickle"):
        print(format_class_row(site, job_class, users.submissions))
    print(
        f"  state service: {writes_per_s:.1f} changes a second in the flood, "
        f"{site.state.refused_requests} requests refused, "
        f"{site.state.max_renewal_gap_s:.1f} s the longest without a renewed lease"
    )
    print(f"  {format_request_counts(site)}", flush=True)


def report_violations(site: Site, users: Users) -> bool:
    """Print violations in the histories of admission and task attempts; return whether there are none."""
    flows = {s.job["id"]: flow_of(s.job) for s in users.submissions}
    history = site.state.history()
    violations = [
        *jobs_accepted_against_level(history, flows),
        *unjustified_refusals(history, users.all_answers(), flows),
    ]
    tasks_run_twice = tasks_run_concurrently(site.fleet.history)
    if violations or tasks_run_twice:
        print(f"  WRONG: against their level {violations[:5]}; ran twice {tasks_run_twice[:5]}")
    return not violations and not tasks_run_twice


def main() -> int:
    """Run a trial for each combination of the options; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--times", type=float, nargs="+", default=[1.0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--admission", choices=["off", "on"], nargs="+", default=["on"])
    parser.add_argument("--ends", action="store_true")
    args = parser.parse_args()
    passed = True
    for times in args.times:
        for admission in args.admission:
            for seed in args.seeds:
                with tempfile.TemporaryDirectory() as folder:
                    setup = TrialSetup(times, args.seconds, seed, admission == "on", args.ends)
                    passed &= run_trial(setup, Path(folder))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
