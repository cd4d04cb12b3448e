"""A small site on loopback under a flood of submissions: what became of each class.

    python3 tools/flood_trial.py                       # half a minute at the load that the site serves
    python3 tools/flood_trial.py --times 1 3 10 --seconds 60 --seeds 1 2 --admission off on --ends

Three real controllers, stand-in workers, cloud and state service in real time. `--times`: submissions beside
what the site serves; most are sweeps of one team, urgent builds keep their rate. `--ends`: the leader and
another controller are killed in the flood and come back. Not for CI.
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
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from bayford.admission.level import Flow  # noqa: E402
from bayford.scheduling.model import PRIORITIES  # noqa: E402
from standins.admission_history import against_level, refused_wrongly  # noqa: E402
from standins.history import ran_twice  # noqa: E402
from standins.site import KIND, Site, await_state, job  # noqa: E402
from standins.state_service import StateService  # noqa: E402
from standins.users import Submission, Users  # noqa: E402

WRITE_RPS, RPS = 15.0, 100.0
SERVED_PER_S = 4.0  # one-task jobs: an acceptance, an end and a part of a row each
MACHINES = 6
RUN_S = 2.0
TEAMS = {"builders": 16.0, "mirrors": 8.0, "guests": 0.0}
BUILDS_PER_S = 0.8  # urgent ones, whatever the flood
BUILDS = (("hot-builds", "urgent", "builders"), ("hot-builds", "urgent", "mirrors"))
FLOOD = (
    *(("rebuild-sweep", "normal", "builders"),) * 6,
    ("rebuild-sweep", "normal", "guests"),
    ("mirror-trickle", "idle", "mirrors"),
)
KEEP_IDLE = "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
SETTLE_S = 70.0  # users repeat for so long; then the rest has to end
LEDGER_LINE = re.compile(r"state service, (\w+): (\d+) requests, (\d+) changes, (\d+) refused")


def make_job(rng: random.Random, number: int, per_s: float) -> dict[str, Any]:
    """A one-task job, one of so many a second."""
    urgent = rng.random() < BUILDS_PER_S / per_s
    job_class, rank, team = rng.choice(BUILDS if urgent else FLOOD)
    return job(number, f"img-{job_class}", 1, job_class, rank=rank, crew=team, size_gb=0.1, guess_s=RUN_S)


def flow_of(submitted: dict[str, Any]) -> Flow:
    """The flow that admission counts a submission to."""
    return Flow(PRIORITIES.index(submitted["rank"]), submitted["lane"], submitted["crew"])


def end_controllers(site: Site, seconds: float) -> None:
    """The leader and another end after a third of the time, and come back after 3 s."""
    time.sleep(seconds / 3)
    leader = site.leader() or "n0"
    ended = [leader, next(name for name in site.controllers.fronts if name != leader)]
    for name in ended:
        site.controllers.kill(name)
    time.sleep(3.0)
    for name in ended:
        site.start(name)


def percentiles(values: Sequence[float]) -> str:
    """50th, 90th and 99th."""
    if len(values) < 2:
        return f"{values[0]:5.1f}     -     -" if values else "    -     -     -"
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return f"{cuts[49]:5.1f} {cuts[89]:5.1f} {cuts[98]:5.1f}"


def class_line(site: Site, job_class: str, submissions: list[Submission]) -> str:
    """What became of one class."""
    own = [s for s in submissions if s.job["lane"] == job_class]
    begun: dict[str, float] = {}
    done = set()
    for event in list(site.fleet.history):
        name = event.task_id.partition("/")[0]
        if event.what == "running":
            begun.setdefault(name, event.at)
        elif event.what == "done":
            done.add(name)
    waits = [begun[s.job["id"]] - s.first_at for s in own if s.job["id"] in begun]
    after = [begun[s.job["id"]] - s.accepted_at for s in own if s.job["id"] in begun and s.accepted_at]
    statuses = [answer.status for s in own for answer in s.answers]
    accepted = [s for s in own if s.accepted_at is not None]
    ended = sum(s.job["id"] in done for s in own)
    return (
        f"  {job_class:15} {len(own):7d} {len(accepted):8d} "
        f"{statuses.count(429):7d} {statuses.count(503):6d} {len(own) - len(accepted):8d} {ended:6d}"
        f"    {percentiles(waits)}   {percentiles(after)}"
    )


def requests_line(site: Site) -> str:
    """Whose requests the state service refused, by the controllers' own counts."""
    counts: dict[str, list[int]] = {}
    for name in site.controllers.fronts:
        last = {found[1]: found for found in LEDGER_LINE.finditer(site.controllers.log(name))}
        for part, found in last.items():
            total = counts.setdefault(part, [0, 0, 0])
            for n in range(3):
                total[n] += int(found[n + 2])
    return "; ".join(
        f"{part} {changes} changes, {refused} of {requests} requests refused"
        for part, (requests, changes, refused) in counts.items()
    )


def show_progress(users: Users, seconds: float, over: threading.Event) -> None:
    """A line on standard error that tells how far it is."""
    began = time.monotonic()
    while not over.wait(1.0):
        accepted = sum(s.accepted_at is not None for s in users.submissions)
        passed = time.monotonic() - began
        print(
            f"\r{passed:4.0f} of {seconds:.0f} s: {len(users.submissions)} submitted, {accepted} accepted",
            end="",
            file=sys.stderr,
            flush=True,
        )
    print("\r" + " " * 70 + "\r", end="", file=sys.stderr, flush=True)


def trial(times: float, seconds: float, seed: int, admission: bool, ends: bool, folder: Path) -> bool:
    """One run; prints its table. Whether the checks found nothing."""
    script = KEEP_IDLE + f"admission = {admission}\nadmission_clear_s = 5.0\n"
    rng = random.Random(seed)
    state = StateService(RPS, WRITE_RPS)
    with Site(folder, script, MACHINES, teams=TEAMS, state=state) as site:
        for n in range(MACHINES):
            site.fleet.launch(KIND, "north" if n % 2 else "south", True)
        await_state(lambda: site.leader() is not None, "an owner")
        time.sleep(2.0)
        users = Users(site, seed)
        over = threading.Event()
        settle_s = SETTLE_S if times > 1 else 8.0
        threading.Thread(target=show_progress, args=(users, seconds + settle_s, over), daemon=True).start()
        if ends:
            threading.Thread(target=end_controllers, args=(site, seconds), daemon=True).start()
        began, changes = time.monotonic(), state.changes
        per_s = SERVED_PER_S * times
        users.flood(lambda n: make_job(rng, n, per_s), per_s, seconds, RUN_S)
        flood_s, written = time.monotonic() - began, state.changes - changes
        time.sleep(settle_s)
        over.set()
        users.close()
        time.sleep(16.0 if times > 1 else 6.0)  # the rest ends, and the controllers log their counts
        print(
            f"{times:g} times what the site serves, {seconds:.0f} s, seed {seed}, admission "
            f"{'on' if admission else 'off'}{', controllers end' if ends else ''}"
        )
        print(
            "  class           offered accepted refused    503 given up   done   "
            "wait 50, 90, 99%   after acceptance"
        )
        for job_class in ("hot-builds", "rebuild-sweep", "mirror-trickle"):
            print(class_line(site, job_class, users.submissions))
        print(
            f"  state service: {written / flood_s:.1f} changes a second in the flood, "
            f"{state.refused} requests refused, "
            f"{state.longest_unrenewed_s:.1f} s the longest without a renewed lease"
        )
        print(f"  {requests_line(site)}", flush=True)
        flows = {s.job["id"]: flow_of(s.job) for s in users.submissions}
        history = state.history()
        wrong = [*against_level(history, flows), *refused_wrongly(history, users.all_answers(), flows)]
        twice = ran_twice(site.fleet.history)
        if wrong or twice:
            print(f"  WRONG: against their level {wrong[:5]}; ran twice {twice[:5]}")
        return not wrong and not twice


def main() -> int:
    """Print a table for each run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--times", type=float, nargs="+", default=[1.0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--admission", choices=["off", "on"], nargs="+", default=["on"])
    parser.add_argument("--ends", action="store_true")
    args = parser.parse_args()
    good = True
    for times in args.times:
        for admission in args.admission:
            for seed in args.seeds:
                with tempfile.TemporaryDirectory() as folder:
                    good &= trial(times, args.seconds, seed, admission == "on", args.ends, Path(folder))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
