"""Registry of the leader's machines, their types, and the container images cached on each of them.

This is the part of the leader's state that does not depend on terms, quotas or writes.
`leader_state.LeaderState` inherits from it. Does no I/O.
"""

import threading
from collections.abc import Iterable, Mapping, Sequence

from bayford.protocol import message_sizes
from bayford.scheduling.capacity_index import CapacityIndex
from bayford.scheduling.model import AttemptKey, Interner, Job, Machine, MachineType

MIN_FETCH_GB_PER_S = 0.01  # lower bound that avoids a division by zero if the catalog gives 0


class MachineRegistry:
    """Machines by index, and the interners that map names to indices.

    Names and types are kept across leadership terms, machines are not. Callers must hold `lock`, except for
    the methods documented to take it themselves.
    """

    def __init__(self, zones: Iterable[str]) -> None:
        # Guards every field of this class and its subclass. Held only for short in-memory operations, never
        # during I/O.
        self.lock = threading.Lock()
        self.machine_names = Interner()
        self.zones = Interner(zones)
        self.type_names = Interner()
        self.images = Interner()
        self.types: list[MachineType] = []  # by type index; always replaced, never modified in place
        self.clear_machines()

    def clear_machines(self) -> None:
        """Remove all machines. Names, their indices and types are kept."""
        self.machines: dict[int, Machine] = {}  # by machine index
        self.capacity_index = CapacityIndex(message_sizes.SHORTEST_REPORT_ENTRY_BYTES)
        self.reclaim_pending: dict[int, Machine] = {}  # by machine index: with a reclaim notice
        # By machine index: the phase of each attempt in the last heartbeat.
        self.reported_phases: dict[int, dict[AttemptKey, str]] = {}
        self.deleted_machines: set[str] = set()  # names; late heartbeats from these machines are ignored
        # Image names by machine name, from the last load summary.
        self.summarized_images: Mapping[str, Sequence[str]] = {}
        self._image_gb: dict[int, float] = {}  # size by image index

    def get_or_add_machine(self, name: str, now: float) -> Machine:
        """Return the machine with this name, adding one first seen at `now` (steady clock) if unknown."""
        index = self.machine_names.index(name)
        machine = self.machines.get(index)
        if machine is None:
            machine = Machine(
                index,
                name,
                last_heartbeat_at=now,
                launched_at=now,
                idle_since=now,
                free_report_bytes=message_sizes.MAX_REPORT_ENTRIES_BYTES,
            )
            machine.images = {self.images.index(i): True for i in self.summarized_images.get(name, ())}
            for image in machine.images:
                self.capacity_index.add_image(machine, image)
            self.machines[index] = machine
            self.reported_phases[index] = {}
        return machine

    def set_machine_type(self, machine: Machine, type_name: str) -> None:
        """Set a machine's type and thereby its size, unless the type is already set or not in the catalog."""
        index = self.type_names.index(type_name)
        if machine.type is not None or index >= len(self.types):
            return
        machine_type = self.types[index]
        if not machine_type.zones:  # only named by a job, not in the cloud's catalog
            return
        machine.type = index
        machine.cpus, machine.gpus, machine.mem_gb = machine_type.cpus, machine_type.gpus, machine_type.mem_gb
        machine.free_cpus += machine_type.cpus  # may be negative: capacity reserved earlier
        machine.free_gpus += machine_type.gpus
        machine.free_mem += machine_type.mem_gb
        self.capacity_index.update(machine)

    def use_image(self, machine: Machine, job: Job, is_fetched: bool) -> None:
        """Record that the machine uses the job's image; `is_fetched` says whether it has been fetched.

        A machine evicts the least recently used images when its image cache is full; this model of the cache
        does the same.
        """
        was_fetched = machine.images.pop(job.image, False)
        machine.images[job.image] = was_fetched or is_fetched
        self.capacity_index.add_image(machine, job.image)
        self._image_gb[job.image] = job.spec.image_gb
        cache_gb = self.types[machine.type].cache_gb if machine.type is not None else 0.0
        if was_fetched or not is_fetched or not cache_gb:
            return
        used = {placement.job.image for placement in machine.open.values()} | {job.image}
        excess_gb = sum(self._image_gb.get(image, 0.0) for image in machine.images) - cache_gb
        for image in [i for i in machine.images if i not in used]:
            if excess_gb <= 0:
                break
            del machine.images[image]
            self.capacity_index.remove_image(machine, image)
            excess_gb -= self._image_gb.get(image, 0.0)

    def zone_of(self, machine: int) -> int | None:
        """Return the zone of the machine with this index, or None if the machine or its zone is unknown."""
        known = self.machines.get(machine)
        return None if known is None else known.zone

    def fetch_s(self, job: Job, machine: Machine) -> float:
        """Return how many seconds the machine takes to fetch the job's image at its full fetch rate; 0 for a
        machine of unknown type."""
        if machine.type is None:
            return 0.0
        return job.spec.image_gb / max(self.types[machine.type].fetch_gb_per_s, MIN_FETCH_GB_PER_S)

    def set_types(self, types: list[MachineType]) -> None:
        """Update the types from the cloud's catalog. Called repeatedly, as prices change. Takes the lock."""
        with self.lock:
            for machine_type in types:
                self.type_names.index(machine_type.name)
            offered = {machine_type.name: machine_type for machine_type in types}
            known = {machine_type.name: machine_type for machine_type in self.types}
            # `types` has exactly one entry for each index of `type_names`: a name that only a job has used
            # gets an unknown type.
            self.types = [
                offered.get(name) or known.get(name) or _unknown_type(name) for name in self.type_names.names
            ]

    def catalog(self) -> list[MachineType]:
        """Return the types in the cloud's catalog, empty before the first catalog. Takes the lock."""
        with self.lock:
            return [machine_type for machine_type in self.types if machine_type.zones]


def _unknown_type(name: str) -> MachineType:
    """Return a placeholder for a type that is not in the catalog. It has no zones and no capacity, so that no
    machine of it is launched and no task fits."""
    return MachineType(
        name,
        cpus=0.0,
        gpus=0.0,
        mem_gb=0.0,
        price=0.0,
        spot_price=0.0,
        boot_s=0.0,
        fetch_gb_per_s=1.0,
        zones=(),
    )
