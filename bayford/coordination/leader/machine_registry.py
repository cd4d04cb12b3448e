"""The machines that the leader knows, their types, and the images that each of them holds.

The part of the leader's state that knows nothing of terms, quotas or writes. `leader_state.LeaderState`
extends it, so that its fields are read as those of the state. No I/O.
"""

import threading
from collections.abc import Iterable, Mapping, Sequence

from bayford.scheduling.capacity_index import CapacityIndex
from bayford.scheduling.model import AttemptKey, Interner, Job, Machine, MachineType

MIN_FETCH_GB_PER_S = 0.01  # a catalog that says 0 must not divide by it


class MachineRegistry:
    """Machines by index, with the name tables that give the indices.

    Names and types outlive a leadership term, machines do not. Called under `lock`, but for the methods that
    say that they take it.
    """

    def __init__(self, zones: Iterable[str]) -> None:
        # Guards every field of the state, here and in the subclass. It is held for short steps in memory
        # alone, never over I/O.
        self.lock = threading.Lock()
        self.machine_names = Interner()
        self.zones = Interner(zones)
        self.type_names = Interner()
        self.images = Interner()
        self.types: list[MachineType] = []  # by type index; replaced as a whole, never changed in place
        self.clear_machines()

    def clear_machines(self) -> None:
        """Forget every machine; names, their indices and types are kept."""
        self.machines: dict[int, Machine] = {}  # by machine index
        self.capacity_index = CapacityIndex()  # machines with some CPU or GPU free
        self.reclaim_pending: dict[int, Machine] = {}  # machines that the cloud is about to reclaim
        # By machine index: the phase of each attempt, as the last heartbeat gave it.
        self.seen: dict[int, dict[AttemptKey, str]] = {}
        self.deleted_machines: set[str] = set()  # names; a late heartbeat of one of these is ignored
        # Image names by machine name, as the last load summary gave them.
        self.summarized_images: Mapping[str, Sequence[str]] = {}
        self._image_gb: dict[int, float] = {}  # size by image index

    def machine_named(self, name: str, now: float) -> Machine:
        """The machine of this name; a new one, known since `now` (steady clock), if there was none."""
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
        machine_type = self.types[index]
        if not machine_type.zones:  # named by a job, unknown to the cloud's catalog
            return
        machine.type = index
        machine.cpus, machine.gpus, machine.mem_gb = machine_type.cpus, machine_type.gpus, machine_type.mem_gb
        machine.free_cpus += machine_type.cpus  # what is reserved already was subtracted from 0
        machine.free_gpus += machine_type.gpus
        machine.free_mem += machine_type.mem_gb
        self.capacity_index.update(machine)

    def use_image(self, machine: Machine, job: Job, there: bool) -> None:
        """A task of the job is on the machine, and with `there` its image too.

        The machine keeps the images that were used last, so this model of its cache drops the ones used
        longest ago when the cache is full.
        """
        was_there = machine.images.pop(job.image, False)
        machine.images[job.image] = was_there or there
        self.capacity_index.holds(machine, job.image)
        self._image_gb[job.image] = job.spec.image_gb
        cache_gb = self.types[machine.type].cache_gb if machine.type is not None else 0.0
        if was_there or not there or not cache_gb:
            return
        used = {placement.job.image for placement in machine.open.values()} | {job.image}
        excess_gb = sum(self._image_gb.get(image, 0.0) for image in machine.images) - cache_gb
        for image in [i for i in machine.images if i not in used]:
            if excess_gb <= 0:
                break
            del machine.images[image]
            self.capacity_index.dropped(machine, image)
            excess_gb -= self._image_gb.get(image, 0.0)

    def zone_of(self, machine: int) -> int | None:
        """The zone of the machine with this index, None if that is not known yet."""
        known = self.machines.get(machine)
        return None if known is None else known.zone

    def fetch_s(self, job: Job, machine: Machine) -> float:
        """Seconds in which the machine fetches the job's image, if it has the whole rate for it; 0 for a
        machine of unknown type."""
        if machine.type is None:
            return 0.0
        return job.spec.image_gb / max(self.types[machine.type].fetch_gb_per_s, MIN_FETCH_GB_PER_S)

    def set_types(self, types: list[MachineType]) -> None:
        """Take in the cloud's catalog. Prices change, so it comes again and again. Takes the lock."""
        with self.lock:
            for machine_type in types:
                self.type_names.index(machine_type.name)
            offered = {machine_type.name: machine_type for machine_type in types}
            known = {machine_type.name: machine_type for machine_type in self.types}
            # `types` follows the indices of `type_names` exactly: a name that only a job has brought up
            # takes its place as an unknown type.
            self.types = [
                offered.get(name) or known.get(name) or _unknown_type(name) for name in self.type_names.names
            ]

    def catalog(self) -> list[MachineType]:
        """The types that the cloud has, empty before the first catalog. Takes the lock."""
        with self.lock:
            return [machine_type for machine_type in self.types if machine_type.zones]


def _unknown_type(name: str) -> MachineType:
    """A type that the catalog lacks: no zone has it, so nothing is launched or fits."""
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
