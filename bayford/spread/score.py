"""Chooses machines for tasks by weighing the cost of fetching the image against the load of the machine.

All costs are in seconds. A fetch costs its time on the machine's link, which other fetches share. Load costs
`load_s` times the share of reserved CPUs above the fleet's average, so an idle machine is preferred to a busy
one that has the image if the fetch costs less. Ties are broken by rendezvous hashing of the image: its choice
stays the same while that machine exists, whichever other machines are added or removed. Tasks of an image
thus concentrate on few machines, without a table of which machine has which image.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from bayford.scheduling.model import Job, Machine
from bayford.scheduling.resources import EPS

SLOWDOWN_PER_FETCH = 1.0  # relative slowdown of a fetch by each other fetch on the same link
REMAINING_FETCH_SHARE = 0.5  # assumed share of its time that a fetch in progress still takes
HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class Weights:
    """The weights of the parts of the cost."""

    fetch: float = 1.0  # seconds of cost per second of fetching
    load_s: float = 10.0  # seconds of cost for a load (0 to 1) that is 1 above the average
    affinity_s: float = 0.5  # maximum seconds of cost by which rendezvous hashes can differ


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of placing a task on a machine, by part, in seconds."""

    fetch_s: float
    load_s: float
    affinity_s: float

    @property
    def total(self) -> float:
        """The sum of all parts."""
        return self.fetch_s + self.load_s + self.affinity_s


@dataclass(frozen=True, slots=True)
class Choice:
    """The machine chosen for one task, with the cost that decided."""

    machine: Machine
    cost: Cost
    load: float  # reserved share of its CPUs, including the task


def rendezvous(image: str, machine: str) -> float:
    """Returns a number in [0, 1) for the pair; an image prefers the machine with the highest number.

    It depends on nothing else, so an added or removed machine affects only the images that prefer it.
    """
    return xxhash.xxh3_64_intdigest(f"{image}\0{machine}".encode()) / HASH_RANGE


def fetch_time(job: Job, machine: Machine, fetch_s: float) -> float:
    """Returns the seconds until the machine has the job's image. `fetch_s`: fetch time on an idle link."""
    fetched = machine.images.get(job.image)
    if fetched:
        return 0.0
    if fetched is not None:
        return REMAINING_FETCH_SHARE * fetch_s
    other_fetches = sum(not fetched for fetched in machine.images.values())
    return fetch_s * (1.0 + SLOWDOWN_PER_FETCH * other_fetches)


class Chooser:
    """Chooses machines for the tasks of one job, one at a time, since each placement changes the costs."""

    def __init__(
        self,
        job: Job,
        candidates: Iterable[Machine],
        average: float,
        weights: Weights,
        fetch_s: Callable[[Machine], float],
    ) -> None:
        """`average`: the fleet's average load. `fetch_s`: seconds to fetch the image on an idle link."""
        self._job = job
        self._average = average
        self._weights = weights
        self._fetch_s = fetch_s
        self._heap: list[tuple[float, int, Machine, Cost]] = []
        for machine in candidates:
            self._push(machine)

    def _push(self, machine: Machine) -> None:
        if machine.cpus > EPS and machine.has_room(self._job):
            cost = self.cost(machine)
            heapq.heappush(self._heap, (cost.total, machine.index, machine, cost))

    def cost(self, machine: Machine) -> Cost:
        """Returns the cost of one more task of the job on this machine in its present state."""
        weights = self._weights
        fetch = weights.fetch * fetch_time(self._job, machine, self._fetch_s(machine))
        load_above_average = self._load_with_task(machine) - self._average
        affinity = weights.affinity_s * (1.0 - rendezvous(self._job.spec.image, machine.name))
        return Cost(fetch, weights.load_s * load_above_average, affinity)

    def _load_with_task(self, machine: Machine) -> float:
        return 1.0 - (machine.free_cpus - self._job.spec.cpus) / machine.cpus

    def next(self) -> Choice | None:
        """Returns the machine with the lowest cost, or None if none has room.

        The caller reserves room for the task on the machine and then calls `return_machine`.
        """
        while self._heap:
            _, _, machine, cost = heapq.heappop(self._heap)
            if machine.has_room(self._job):
                return Choice(machine, cost, self._load_with_task(machine))
        return None

    def return_machine(self, choice: Choice) -> None:
        """Make the chosen machine available for further tasks, after room for this one has been reserved."""
        self._push(choice.machine)


def describe(choices: Iterable[Choice], had_image: Mapping[int, bool]) -> str:
    """Returns a summary of the choices, of which there must be at least one, for the log.

    `had_image`: by machine index, whether the machine had the image before.
    """
    chosen = list(choices)
    with_image = sum(had_image.get(choice.machine.index, False) for choice in chosen)
    machines = len({choice.machine.index for choice in chosen})
    loads = [choice.load for choice in chosen]
    max_fetch_s = max(choice.cost.fetch_s for choice in chosen)
    return (
        f"tasks={len(chosen)} machines={machines} with_image={with_image} max_fetch_s={max_fetch_s:.1f} "
        f"min_load={min(loads):.2f} max_load={max(loads):.2f}"
    )
