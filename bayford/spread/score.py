"""Which machine a task goes to: what the fetch of its image costs, against how loaded the machine is.

Both are seconds. A fetch costs its time on the machine's link, shared with other fetches. Load costs
`load_s` for each share of the CPUs above the fleet's average, so that a busy machine which holds the image
loses against an idle one when the fetch is cheaper. Among machines that cost the same the one is taken that
rendezvous hashing gives the image: the same for as long as that machine is there, whoever comes or goes
beside it, so that tasks of one image meet on few machines without a table of who has what.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from bayford.scheduling.model import EPS, Job, Machine

SHARED_FETCH = 1.0  # how much longer a fetch takes for each other one on the same link, as a share of it
FETCH_LEFT = 0.5  # a fetch under way has this part of its time left, as a guess
HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class Weights:
    """How much each part of the cost counts."""

    fetch: float = 1.0  # seconds of cost for a second of fetching
    load_s: float = 10.0  # seconds for a whole machine's load above the average
    affinity_s: float = 0.5  # seconds at the most between machines that differ by rendezvous hashing alone


@dataclass(frozen=True, slots=True)
class Cost:
    """What it costs to place a task on a machine, in seconds, part by part."""

    fetch_s: float
    load_s: float
    affinity_s: float

    @property
    def total(self) -> float:
        """All parts together."""
        return self.fetch_s + self.load_s + self.affinity_s


@dataclass(frozen=True, slots=True)
class Choice:
    """A machine for one task, and why."""

    machine: Machine
    cost: Cost
    load: float  # reserved share of its CPUs, the task included


def rendezvous(image: str, machine: str) -> float:
    """A number in [0, 1) for a pair; the machine with the highest one is the image's. It depends on nothing
    else, so that a machine which comes or goes changes only what is its own."""
    return xxhash.xxh3_64_intdigest(f"{image}\0{machine}".encode()) / HASH_RANGE


def fetch_time(job: Job, machine: Machine, fetch_s: float) -> float:
    """How long until the machine has the job's image, `fetch_s` if it has its link to itself."""
    fetched = machine.images.get(job.image)
    if fetched:
        return 0.0
    if fetched is not None:
        return FETCH_LEFT * fetch_s
    other_fetches = sum(not fetched for fetched in machine.images.values())
    return fetch_s * (1.0 + SHARED_FETCH * other_fetches)


class Chooser:
    """Chooses machines for the tasks of one job, one after the other; each choice changes the costs."""

    def __init__(
        self,
        job: Job,
        candidates: Iterable[Machine],
        average: float,
        weights: Weights,
        fetch_s: Callable[[Machine], float],
    ) -> None:
        """`average`: the fleet's load. `fetch_s`: how long a machine fetches the image by itself."""
        self._job = job
        self._average = average
        self._weights = weights
        self._fetch_s = fetch_s
        self._heap: list[tuple[float, int, Machine, Cost]] = []
        for machine in candidates:
            self._push(machine)

    def _push(self, machine: Machine) -> None:
        if machine.cpus > EPS and machine.has_room(self._job.spec):
            cost = self.cost(machine)
            heapq.heappush(self._heap, (cost.total, machine.index, machine, cost))

    def cost(self, machine: Machine) -> Cost:
        """What one more task of the job costs on this machine as it is."""
        weights = self._weights
        fetch = weights.fetch * fetch_time(self._job, machine, self._fetch_s(machine))
        above = self._load_with_task(machine) - self._average
        affinity = weights.affinity_s * (1.0 - rendezvous(self._job.spec.image, machine.name))
        return Cost(fetch, weights.load_s * above, affinity)

    def _load_with_task(self, machine: Machine) -> float:
        return 1.0 - (machine.free_cpus - self._job.spec.cpus) / machine.cpus

    def next(self) -> Choice | None:
        """The machine that costs least now, None if none has room. The caller reserves the machine for the
        task and calls `placed`."""
        while self._heap:
            _, _, machine, cost = heapq.heappop(self._heap)
            if machine.has_room(self._job.spec):
                return Choice(machine, cost, self._load_with_task(machine))
        return None

    def placed(self, choice: Choice) -> None:
        """The chosen machine has been reserved for a task, and may take more."""
        self._push(choice.machine)


def describe(choices: Iterable[Choice], had_image: Mapping[int, bool]) -> str:
    """For the log: how many tasks go where, and what decided. `had_image`: by machine, whether it held the
    image already. There must be at least one choice."""
    chosen = list(choices)
    holding = sum(had_image.get(choice.machine.index, False) for choice in chosen)
    machines = len({choice.machine.index for choice in chosen})
    loads = [choice.load for choice in chosen]
    max_fetch_s = max(choice.cost.fetch_s for choice in chosen)
    return (
        f"tasks={len(chosen)} machines={machines} with_image={holding} max_fetch_s={max_fetch_s:.1f} "
        f"min_load={min(loads):.2f} max_load={max(loads):.2f}"
    )
