"""The machines that the leader knows, their types, and the images that each of them holds. The base of
`leader_state.LeaderState`, under its lock."""

import threading
from collections.abc import Iterable, Mapping, Sequence

from bayford.scheduling.capacity_index import CapacityIndex
from bayford.scheduling.model import Interner, Job, Machine, MachineType

AttemptKey = tuple[str, int]  # task name, attempt


class MachineRegistry:
    """Machines by index, with the name tables that give the indices."""

    def __init__(self, zones: Iterable[str]) -> None:
        self.lock = threading.Lock()
        self.machine_names = Interner()
        self.zones = Interner(zones)
        self.type_names = Interner()
        self.images = Interner()
        self.types: list[MachineType] = []
        self.clear_machines()

    def clear_machines(self) -> None:
        """Forget every machine; names, their indices and types are kept."""
        self.machines: dict[int, Machine] = {}
        self.capacity_index = CapacityIndex()  # those with some CPU or card free
        self.reclaim_pending: dict[int, Machine] = {}  # those that the cloud is about to take
        self.seen: dict[
            int, dict[AttemptKey, str]
        ] = {}  # what the last heartbeat said: phase of each attempt
        self.deleted_machines: set[str] = set()
        self.summarized_images: Mapping[str, Sequence[str]] = {}
        self.image_gb: dict[int, float] = {}

    def machine_named(self, name: str, now: float) -> Machine:
        """The machine of this name, a new one if nothing of it was known."""
        index = self.machine_names.index(name)
        machine = self.machines.get(index)
        if machine is None:
            machine = Machine(index, name, last_heartbeat_at=now, launched_at=now, idle_since=now)
            machine.images = {self.images.index(i): True for i in self.summarized_images.get(name, ())}
            for image in machine.images:
                self.capacity_index.holds(machine, image)
            self.machines[index] = machine
            self.seen[index] = {}
        return machine

    def learn_type(self, machine: Machine, type_name: str) -> None:
        """Take in a machine's type, and with it its size, unless it is known already."""
        index = self.type_names.index(type_name)
        if machine.type is not None or index >= len(self.types):
            return
        kind = self.types[index]
        if not kind.zones:  # named by a job, unknown to the cloud's catalog
            return
        machine.type = index
        machine.cpus, machine.gpus, machine.mem_gb = kind.cpus, kind.gpus, kind.mem_gb
        machine.free_cpus += kind.cpus  # what is booked already was subtracted from 0
        machine.free_gpus += kind.gpus
        machine.free_mem += kind.mem_gb
        self.capacity_index.update(machine)

    def use_image(self, machine: Machine, job: Job, there: bool) -> None:
        """A task of the job is on the machine, and with `there` its image too. The machine keeps those that
        were used last, so in our snapshot the ones used longest ago go when the cache is full."""
        had = machine.images.pop(job.image, False)
        machine.images[job.image] = had or there
        self.capacity_index.holds(machine, job.image)
        self.image_gb[job.image] = job.spec.image_gb
        cache = self.types[machine.type].cache_gb if machine.type is not None else 0.0
        if had or not there or not cache:
            return
        used = {placement.job.image for placement in machine.open.values()} | {job.image}
        left = sum(self.image_gb.get(image, 0.0) for image in machine.images) - cache
        for image in [i for i in machine.images if i not in used]:
            if left <= 0:
                break
            del machine.images[image]
            self.capacity_index.dropped(machine, image)
            left -= self.image_gb.get(image, 0.0)

    def zone_of(self, machine: int) -> int | None:
        """Where a machine stands, None if that is not known yet."""
        found = self.machines.get(machine)
        return None if found is None else found.zone

    def fetch_s(self, job: Job, machine: Machine) -> float:
        """How long the machine fetches the job's image, if it has the whole rate for it."""
        if machine.type is None:
            return 0.0
        return job.spec.image_gb / max(self.types[machine.type].fetch_gb_per_s, 0.01)

    def set_types(self, types: list[MachineType]) -> None:
        """The catalog, as the cloud gave it; prices move, so this comes again and again."""
        with self.lock:
            for kind in types:
                self.type_names.index(kind.name)
            table = {kind.name: kind for kind in types}
            kept = {t.name: t for t in self.types}
            for name in self.type_names.names:
                if name in kept and name not in table:
                    table[name] = kept[name]
            # A name that a job alone brought up has no row; types[] must follow types_by exactly.
            sent_commands = []
            for name in self.type_names.names:
                unknown = MachineType(name, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0, ())
                sent_commands.append(table.get(name, unknown))
            self.types = sent_commands

    def catalog(self) -> list[MachineType]:
        """The types that the cloud has, empty before the first catalog."""
        with self.lock:
            return [t for t in self.types if t.zones]
