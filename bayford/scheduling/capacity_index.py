"""Index of the machines with free capacity, which finds the best machines for a job without a fleet scan.

The order is that of `placement_rules.score`: machines that hold the image, then those that are fetching it,
then the rest; within each group spot machines before on-demand ones, then by ascending free CPUs, then by
ascending machine index. Machines of one pool with the same free CPUs share a bucket, sorted by machine index.
A search visits the buckets in the order of the score and stops when it has found enough machines. Pure: no
clock, no I/O.
"""

import bisect
import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from bayford.scheduling import placement_rules
from bayford.scheduling.model import Job, Machine
from bayford.scheduling.resources import EPS


class BucketKey(NamedTuple):
    """The properties that all machines of a bucket share."""

    type: int | None
    zone: int | None
    spot: bool
    free_cpus: float


@dataclass(slots=True)
class _Bucket:
    free_cpus: float  # free CPUs of the first machine added, unrounded
    free_share: float  # `free_cpus` as a share of that machine's CPUs
    indices: list[int] = field(default_factory=list)  # machine indices, ascending


class CapacityIndex:
    """The machines with free CPUs or GPUs. The lock of the leader's state must be held."""

    def __init__(self, min_report_bytes: int = 0) -> None:
        """`min_report_bytes`: with fewer left in its heartbeat, a machine takes no task of any job."""
        self._min_report_bytes = min_report_bytes
        self.machines: dict[int, Machine] = {}
        self._keys: dict[int, BucketKey] = {}
        self._buckets: dict[BucketKey, _Bucket] = {}
        # Indices of the machines that hold or are fetching an image, by image; includes full machines.
        self._holders: dict[int, set[int]] = {}

    def __len__(self) -> int:
        return len(self.machines)

    def update(self, machine: Machine) -> None:
        """Update the index after a change of the machine's free capacity, type, zone or spot flag."""
        old_key = self._keys.get(machine.index)
        new_key: BucketKey | None = None
        can_report = machine.free_report_bytes >= self._min_report_bytes
        if can_report and (machine.free_cpus > EPS or machine.free_gpus > EPS):
            new_key = BucketKey(machine.type, machine.zone, machine.spot, round(machine.free_cpus, 4))
        if new_key == old_key:
            return
        if old_key is not None:
            self._delete(machine.index, old_key)
        if new_key is not None:
            self._insert(machine, new_key)

    def remove(self, machine: Machine) -> None:
        """Remove a machine that no longer exists, with its images."""
        key = self._keys.get(machine.index)
        if key is not None:
            self._delete(machine.index, key)
        for image in machine.images:
            self.remove_image(machine, image)

    def add_image(self, machine: Machine, image: int) -> None:
        """Record that the machine holds the image or is fetching it."""
        holders = self._holders.get(image)
        if holders is None:
            holders = self._holders[image] = set()
        holders.add(machine.index)

    def remove_image(self, machine: Machine, image: int) -> None:
        """Record that the machine no longer has the image."""
        holders = self._holders.get(image)
        if holders is not None:
            holders.discard(machine.index)
            if not holders:
                del self._holders[image]

    def _insert(self, machine: Machine, key: BucketKey) -> None:
        bucket = self._buckets.get(key)
        if bucket is None:
            share = machine.free_cpus / max(machine.cpus, EPS)
            bucket = self._buckets[key] = _Bucket(machine.free_cpus, share)
        bisect.insort(bucket.indices, machine.index)
        self._keys[machine.index] = key
        self.machines[machine.index] = machine

    def _delete(self, index: int, key: BucketKey) -> None:
        bucket = self._buckets[key]
        del bucket.indices[bisect.bisect_left(bucket.indices, index)]
        if not bucket.indices:
            del self._buckets[key]
        del self._keys[index]
        del self.machines[index]

    def best(
        self, job: Job, count: int, may_take: Callable[[Machine], bool], with_image_only: bool = False
    ) -> list[Machine]:
        """Returns up to `count` machines with free capacity for a task of the job, the best first.

        `may_take` returns whether a machine may be used at all, regardless of its free capacity.
        `with_image_only`: only machines that hold the image or are already fetching it.
        """
        best = self._best_with_image(job, count, may_take)
        if with_image_only or len(best) >= count:
            return best
        chosen = {machine.index for machine in best}
        for machine in self._fitting_machines(job):
            if machine.index not in chosen and job.image not in machine.images and may_take(machine):
                best.append(machine)
                if len(best) == count:
                    break
        return best

    def least_loaded(self, job: Job, count: int, may_take: Callable[[Machine], bool]) -> list[Machine]:
        """Returns candidates for a placement by load, all with free capacity for a task of the job.

        They are up to `count` of the least loaded machines, and up to `count` of the least loaded ones that
        hold the job's image or are fetching it.
        """
        candidates = {}
        for machine in self._fitting_machines(job, least_loaded_first=True):
            if may_take(machine):
                candidates[machine.index] = machine
                if len(candidates) == count:
                    break
        holders = (
            machine
            for machine in map(self.machines.get, self._holders.get(job.image, ()))
            if machine is not None and machine.has_room(job) and may_take(machine)
        )
        for machine in heapq.nsmallest(count, holders, key=lambda m: (-m.free_cpus / m.cpus, m.index)):
            candidates[machine.index] = machine
        return list(candidates.values())

    def _best_with_image(self, job: Job, count: int, may_take: Callable[[Machine], bool]) -> list[Machine]:
        """Returns the best machines that hold the job's image or are fetching it."""
        holders = self._holders.get(job.image)
        if not holders or not self.machines:
            return []
        if count * len(self.machines) >= len(holders) ** 2:
            fitting = (
                machine
                for machine in map(self.machines.get, holders)
                if machine is not None and machine.has_room(job) and may_take(machine)
            )
            return heapq.nsmallest(count, fitting, key=lambda machine: placement_rules.score(job, machine))
        # So many machines hold the image that iterating in the order of the score finds enough of them early.
        with_image: list[Machine] = []
        fetching: list[Machine] = []
        for machine in self._fitting_machines(job):
            fetched = machine.images.get(job.image)
            if fetched is None or (not fetched and len(fetching) == count) or not may_take(machine):
                continue
            (with_image if fetched else fetching).append(machine)
            if len(with_image) == count:
                break
        return (with_image + fetching)[:count]

    def _fitting_machines(self, job: Job, least_loaded_first: bool = False) -> Iterator[Machine]:
        """Yields all machines with free capacity for a task of the job.

        They come in the order of the score without regard to images, or by ascending load.
        """
        spec = job.spec
        fitting = [
            (-bucket.free_share if least_loaded_first else float(not key.spot), bucket.free_cpus, bucket)
            for key, bucket in self._buckets.items()
            if bucket.free_cpus + EPS >= spec.cpus
            and (spec.spot or not key.spot)
            and (job.types is None or key.type in job.types)
            and (job.zone is None or key.zone == job.zone)
        ]
        fitting.sort(key=lambda entry: entry[:2])
        begin = 0
        while begin < len(fitting):
            # Buckets of equal rank, which differ by type or zone, are merged by machine index.
            end = begin + 1
            while end < len(fitting) and fitting[end][:2] == fitting[begin][:2]:
                end += 1
            same_rank = [entry[2].indices for entry in fitting[begin:end]]
            for index in same_rank[0] if len(same_rank) == 1 else heapq.merge(*same_rank):
                machine = self.machines[index]
                if machine.has_room(job):
                    yield machine
            begin = end
