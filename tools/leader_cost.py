"""What a leader's decisions cost by the size of the fleet: processor time and memory, in memory alone.

    python3 tools/owner_cost.py [--machines 48 500 4000] [--seed 1] [--spread]

Builds the scheduler of one controller with that many simulated machines of four CPUs, without sockets and
threads, and runs it through a start, a full fleet with a backlog, and a fleet of which one machine in twenty
has room. Each size runs in a process of its own. Figures are processor time of this machine, not simulated.
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

from bayford.config import Settings, parse  # noqa: E402
from bayford.coordination.leader.leader_events import LeaderListener  # noqa: E402
from bayford.coordination.leader.recovered_state import RecoveredState  # noqa: E402
from bayford.coordination.leader.scheduler import Scheduler  # noqa: E402
from bayford.protocol import workers  # noqa: E402
from bayford.protocol.cloud_api import Listed  # noqa: E402
from bayford.scheduling.model import PRIORITIES, JobSpec, MachineType  # noqa: E402
from bayford.scheduling.policy import Policy  # noqa: E402
from bayford.storage import records  # noqa: E402
from bayford.storage.task_log import TaskLog  # noqa: E402

T = TypeVar("T")

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
    """An engine that owns `count` machines, and the task log that it writes."""

    def __init__(self, count: int, seed: int, policy: Policy) -> None:
        self.now = 1000.0
        settings: Settings = parse(SETTINGS)
        self.scheduler = Scheduler(settings, policy, lambda: self.now, lambda: self.now, random.Random(seed))
        self.task_log = TaskLog(settings_bytes())
        self.scheduler.connect(self, LeaderListener())
        self.rng = random.Random(seed)
        self.version = 1
        self.jobs = 0
        self.ticks = dict.fromkeys((f"vm-{n:06d}" for n in range(count)), 0)
        self.scheduler.set_types([TYPE])
        self.scheduler.recover(RecoveredState(term=1, fencing_token=1, as_of=self.now))
        self.scheduler.on_list([self._listed(n, name) for n, name in enumerate(self.ticks)], self.now)
        for name in self.ticks:
            self.heartbeat(name)

    def with_task_log(self, call: Callable[[TaskLog], T]) -> T:
        """See `TaskLogSource`."""
        return call(self.task_log)

    def _listed(self, n: int, name: str) -> Listed:
        return Listed(name, "10.0.0.1:9", TYPE.name, TYPE.zones[n % 2], True, "running", 30.0)

    def heartbeat(self, name: str) -> None:
        """One heartbeat of a machine on which all that was placed there runs, and its answer."""
        scheduler = self.scheduler
        self.ticks[name] += 1
        machine = scheduler.state.machines.get(scheduler.state.machine_names.index(name))
        placements = list(machine.open.values()) if machine is not None else []
        states = [workers.TaskState(p.task_id, p.attempt, workers.RUNNING) for p in placements if p.durable]
        zone = TYPE.zones[int(name[3:]) % 2]
        heartbeat = workers.Heartbeat(
            name, "10.0.0.1:9", TYPE.name, zone, True, 1, self.ticks[name], 1, states
        )
        index = scheduler.on_heartbeat(heartbeat, self.now)
        assert index is not None, f"the report of {name} was not taken in"
        scheduler.hold_s(index)
        commands, _ = scheduler.commands_for(index, self.now)
        scheduler.on_answered(index, heartbeat, commands)

    def report_all(self, names: list[str]) -> None:
        """A heartbeat of each of these machines."""
        for name in names:
            self.heartbeat(name)

    def submit(self, tasks: int, priority: str = "normal", cpus: float = 1.0, images: int = 40) -> None:
        """A job of that many tasks, its image one of `images`."""
        self.jobs += 1
        self.version += 1
        spec = JobSpec(
            f"req-{self.jobs:06d}",
            f"class-{priority}",
            "open",
            PRIORITIES.index(priority),
            tasks,
            cpus,
            0.0,
            2.0,
            f"img-{self.rng.randrange(images)}",
            1.0,
            None,
            None,
            False,
            False,
            True,
            300.0,
            0.0,
            0.0,
            None,
        )
        self.scheduler.reconcile_job(records.Record(spec, self.now), self.version)

    def compare_and_swap(self) -> int:
        """Write all that has changed; how many transactions that took."""
        count = 0
        while (batch := self.scheduler.take_batch(TXN_OPS)) is not None:
            self.version += 1
            for put in batch.puts:
                if put.key.startswith(records.LOG):
                    self.task_log.apply_row(put.key, self.version, put.value)
            self.scheduler.committed(batch)
            count += 1
        return count

    def round(self) -> None:
        """One scheduling round, some time after the one before."""
        self.now += ROUND_S
        self.scheduler.round()


def settings_bytes() -> int:
    """Bytes of a value of the state service."""
    return int(VALUE_KB * 1024)


def milliseconds(
    call: Callable[[], object], times: int, of: Callable[[list[float]], float] = statistics.median
) -> float:
    """Processor time of a call, the median of some calls or what `of` makes of them."""
    took = []
    for _ in range(times):
        began = time.process_time()
        call()
        took.append((time.process_time() - began) * 1e3)
    return of(took)


def memory_mb() -> float:
    """What this process holds at present."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(count: int, seed: int, policy: Policy) -> str:
    """A line of figures for a fleet of `count` machines."""
    before = memory_mb()
    fleet = SimulatedFleet(count, seed, policy)
    whole = int(count * CPUS)
    first = 20 * 40  # the same work for every size, on an idle fleet
    for _ in range(20):
        fleet.submit(min(40, whole // 24))
    start_ms = milliseconds(fleet.round, 1)
    while sum(len(m.open) for m in fleet.scheduler.state.machines.values()) < whole:
        fleet.submit(200)
        fleet.round()
    transactions = fleet.compare_and_swap()
    names = list(fleet.ticks)
    for name in names:
        fleet.heartbeat(name)
    report_us = milliseconds(lambda: fleet.report_all(names), 3) / count * 1e3
    for _ in range(10):
        fleet.submit(40)
    full_ms = milliseconds(fleet.round, 9)
    for _ in range(10):
        fleet.submit(40, "urgent")
    urgent_ms = milliseconds(fleet.round, 9, max)  # victims are not looked for in every round
    fleet_ms = milliseconds(lambda: fleet.scheduler.scaling_step(fleet.now), 5)
    rows = len(fleet.task_log.segments)
    return (
        f"{count:6d} {start_ms:9.1f} {full_ms:9.2f} {urgent_ms:9.2f} {report_us:10.0f} {fleet_ms:9.2f} "
        f"{memory_mb() - before:8.1f} {transactions:7d} {rows:6d} {min(first, whole):7d}"
    )


def _in_process(count: int, seed: int, policy: Policy) -> str:
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(measure, (count, seed, policy))


def main() -> None:
    """Print a table, a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--machines", type=int, nargs="+", default=[48, 500, 4000])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print("machines  start ms   full ms urgent ms  report us  fleet ms    MB   writes   rows  placed")
    for count in args.machines:
        print(_in_process(count, args.seed, Policy()), flush=True)


if __name__ == "__main__":
    main()
