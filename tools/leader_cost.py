"""Measure processor time and memory of a leader's decisions by fleet size, in memory only.

    python3 tools/leader_cost.py [--machines 48 500 4000] [--seed 1]

Builds the scheduler of one controller with the given number of simulated four-CPU machines, without sockets
and threads. Places tasks on the idle fleet, fills it, and then runs rounds with a backlog of normal and later
urgent jobs. Each size runs in its own process. Times are processor time of this machine, not simulated time:

start ms     one scheduling round that places the first tasks (`placed`) on the idle fleet
full ms      one round on the full fleet with a backlog, median of 9
urgent ms    one round with urgent jobs in the backlog, maximum of 9
report us    one heartbeat and its response, mean over the fleet, median of 3
fleet ms     one autoscaling step, median of 5
MB           increase of resident memory by the fleet and its tasks
writes       transactions that made the placements durable
rows         rows of the task log after these transactions
"""

import argparse
import multiprocessing
import random
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

# E402: these imports need the path set above.
from bayford.config import Settings, parse
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.scheduler import Scheduler
from bayford.protocol import workers
from bayford.protocol.cloud_api import ListedMachine
from bayford.scheduling.model import PRIORITIES, JobSpec, MachineType
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.task_log import TaskLog

Result = TypeVar("Result")

CPUS = 4.0
TYPE = MachineType("four", CPUS, 0.0, 32.0, 0.2, 0.06, 20.0, 0.5, ("north", "south"), 40.0)
VALUE_KB = 4.0
TXN_OPS = 8
ROUND_S = 0.1
SETTINGS = f"""
member = "n0"
site = "north"
front = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts]
zones = ["north", "south"]
[[facts.teams]]
name = "open"
[facts.workers]
report_s = 4.0
lease_s = 22.0
cancel_s = 52.0
[facts.state]
rps = 100.0
write_rps = 15.0
value_kb = {VALUE_KB}
txn_ops = {TXN_OPS}
[facts.cloud]
rps = 3.0
list_lag_s = 6.0
"""


class SimulatedFleet:
    """A leader's scheduler with `count` simulated machines and its task log."""

    def __init__(self, count: int, seed: int, policy: Policy) -> None:
        self.now = 1000.0
        settings: Settings = parse(SETTINGS)
        self.scheduler = Scheduler(settings, policy, lambda: self.now, lambda: self.now, random.Random(seed))
        self.task_log = TaskLog(max_value_bytes())
        self.scheduler.connect(self, LeaderListener())
        self.rng = random.Random(seed)
        self.version = 1
        self.job_count = 0
        self.sequences = dict.fromkeys((f"vm-{n:06d}" for n in range(count)), 0)
        self.scheduler.set_types([TYPE])
        self.scheduler.recover(RecoveredState(term=1, fencing_token=1, as_of=self.now))
        self.scheduler.on_list([self._listed(n, name) for n, name in enumerate(self.sequences)], self.now)
        for name in self.sequences:
            self.heartbeat(name)

    def with_task_log(self, call: Callable[[TaskLog], Result]) -> Result:
        """Implement `TaskLogSource`."""
        return call(self.task_log)

    def _listed(self, n: int, name: str) -> ListedMachine:
        return ListedMachine(name, "10.0.0.1:9", TYPE.name, TYPE.zones[n % 2], True, "running", 30.0)

    def heartbeat(self, name: str) -> None:
        """Process a heartbeat in which all durable placements of a machine are running, and its response."""
        scheduler = self.scheduler
        self.sequences[name] += 1
        machine = scheduler.state.machines.get(scheduler.state.machine_names.index(name))
        placements = list(machine.open.values()) if machine is not None else []
        task_states = [
            workers.TaskState(p.task_id, p.attempt, workers.RUNNING) for p in placements if p.durable
        ]
        zone = TYPE.zones[int(name[3:]) % 2]
        heartbeat = workers.Heartbeat(
            name, "10.0.0.1:9", TYPE.name, zone, True, 1, self.sequences[name], 1, task_states
        )
        index = scheduler.on_heartbeat(heartbeat, self.now)
        assert index is not None, f"the heartbeat of {name} was refused"
        scheduler.hold_s(index)
        commands, _ = scheduler.commands_for(index, self.now)
        scheduler.on_answered(index, heartbeat, commands)

    def heartbeat_all(self, names: list[str]) -> None:
        """Process one heartbeat of each of these machines."""
        for name in names:
            self.heartbeat(name)

    def submit(self, tasks: int, priority: str = "normal", cpus: float = 1.0, images: int = 40) -> None:
        """Submit a job with this number of tasks and one of `images` images, drawn at random."""
        self.job_count += 1
        self.version += 1
        spec = JobSpec(
            id=f"req-{self.job_count:06d}",
            job_class=f"class-{priority}",
            team="open",
            priority=PRIORITIES.index(priority),
            tasks=tasks,
            cpus=cpus,
            gpus=0.0,
            mem_gb=2.0,
            image=f"img-{self.rng.randrange(images)}",
            image_gb=1.0,
            types=None,
            zone=None,
            one_zone=False,
            spread=False,
            spot=True,
            estimate_s=300.0,
            checkpoint_interval_s=0.0,
            checkpoint_save_s=0.0,
            deadline_s=None,
        )
        self.scheduler.reconcile_job(records.Record(spec, self.now), self.version)

    def commit_all(self) -> int:
        """Make all changes durable; return the number of transactions."""
        count = 0
        while (batch := self.scheduler.take_batch(TXN_OPS)) is not None:
            self.version += 1
            for put in batch.puts:
                if put.key.startswith(records.LOG):
                    self.task_log.apply_row(put.key, self.version, put.value)
            self.scheduler.on_committed(batch)
            count += 1
        return count

    def run_round(self) -> None:
        """Run a scheduling round, ROUND_S of simulated time after the previous one."""
        self.now += ROUND_S
        self.scheduler.round()


def max_value_bytes() -> int:
    """Return the largest value that the state service accepts, in bytes."""
    return int(VALUE_KB * 1024)


def measure_cpu_ms(
    call: Callable[[], object], times: int, statistic: Callable[[list[float]], float] = statistics.median
) -> float:
    """Return `statistic` of the processor times, in ms, of `times` calls of `call`."""
    durations_ms = []
    for _ in range(times):
        started_s = time.process_time()
        call()
        durations_ms.append((time.process_time() - started_s) * 1e3)
    return statistic(durations_ms)


def memory_mb() -> float:
    """Return the resident memory of this process in MB, 0 if /proc does not list it."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_fleet(count: int, seed: int, policy: Policy) -> str:
    """Return the table row for a fleet of `count` machines."""
    memory_before_mb = memory_mb()
    fleet = SimulatedFleet(count, seed, policy)
    total_cpus = int(count * CPUS)
    initial_tasks = 20 * 40  # the same for every fleet size that can hold them
    for _ in range(20):
        fleet.submit(min(40, total_cpus // 24))
    start_ms = measure_cpu_ms(fleet.run_round, 1)
    while sum(len(m.open) for m in fleet.scheduler.state.machines.values()) < total_cpus:
        fleet.submit(200)
        fleet.run_round()
    transactions = fleet.commit_all()
    names = list(fleet.sequences)
    for name in names:
        fleet.heartbeat(name)
    report_us = measure_cpu_ms(lambda: fleet.heartbeat_all(names), 3) / count * 1e3
    for _ in range(10):
        fleet.submit(40)
    full_ms = measure_cpu_ms(fleet.run_round, 9)
    for _ in range(10):
        fleet.submit(40, "urgent")
    # The maximum, because not every round searches for tasks to preempt.
    urgent_ms = measure_cpu_ms(fleet.run_round, 9, max)
    fleet_ms = measure_cpu_ms(lambda: fleet.scheduler.scaling_step(fleet.now), 5)
    rows = len(fleet.task_log.segments)
    placed = min(initial_tasks, total_cpus)
    return (
        f"{count:6d} {start_ms:9.1f} {full_ms:9.2f} {urgent_ms:9.2f} {report_us:10.0f} {fleet_ms:9.2f} "
        f"{memory_mb() - memory_before_mb:8.1f} {transactions:7d} {rows:6d} {placed:7d}"
    )


def _measure_in_subprocess(count: int, seed: int, policy: Policy) -> str:
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(measure_fleet, (count, seed, policy))


def main() -> None:
    """Print a table with a row per fleet size."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--machines", type=int, nargs="+", default=[48, 500, 4000])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print("machines  start ms   full ms urgent ms  report us  fleet ms    MB   writes   rows  placed")
    for count in args.machines:
        print(_measure_in_subprocess(count, args.seed, Policy()), flush=True)


if __name__ == "__main__":
    main()
