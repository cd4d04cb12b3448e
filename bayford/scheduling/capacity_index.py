"""Machines with free capacity, indexed: the best ones for a job are found without a search of the fleet.

The order is that of `placement_rules.score`: machines that hold the image, then those that fetch it, then the
rest; in each, spot before on-demand ones, the fullest first, the lowest number first. Machines of one pool
with the same free CPUs lie in one bucket, in the order of their numbers; a search goes through the buckets
in the order of the score and stops when it has enough. Pure: no clock, no I/O.
"""

import bisect
import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from bayford.scheduling import placement_rules
from bayford.scheduling.model import EPS, Job, Machine


class BucketKey(NamedTuple):
    """What the machines of a bucket have in common."""

    type: int | None
    zone: int | None
    spot: bool
    free_cpus: float


@dataclass(slots=True)
class _Bucket:
    free_cpus: float  # of the first machine in it, unrounded
    free_share: float  # the same as a share of its CPUs
    indices: list[int] = field(default_factory=list)  # of machines, ascending


class CapacityIndex:
    """The machines that have some CPU or GPU free. Called under the lock of the leader's state."""

    def __init__(self) -> None:
        self.machines: dict[int, Machine] = {}
        self._keys: dict[int, BucketKey] = {}
        self._buckets: dict[BucketKey, _Bucket] = {}
        self._holders: dict[int, set[int]] = {}  # machines by image, those without free capacity too

    def __len__(self) -> int:
        return len(self.machines)

    def update(self, machine: Machine) -> None:
        """The machine's reserved capacity, or what is known of the machine, has changed."""
        old_key = self._keys.get(machine.index)
        new_key: BucketKey | None = None
        if machine.free_cpus > EPS or machine.free_gpus > EPS:
            new_key = BucketKey(machine.type, machine.zone, machine.spot, round(machine.free_cpus, 4))
        if new_key == old_key:
            return
        if old_key is not None:
            self._take_out(machine.index, old_key)
        if new_key is not None:
            self._put_in(machine, new_key)

    def remove(self, machine: Machine) -> None:
        """The machine is gone."""
        key = self._keys.get(machine.index)
        if key is not None:
            self._take_out(machine.index, key)
        for image in machine.images:
            self.dropped(machine, image)

    def holds(self, machine: Machine, image: int) -> None:
        """The machine has the image, or fetches it."""
        self._holders.setdefault(image, set()).add(machine.index)

    def dropped(self, machine: Machine, image: int) -> None:
        """The machine no longer has the image."""
        holders = self._holders.get(image)
        if holders is not None:
            holders.discard(machine.index)
            if not holders:
                del self._holders[image]

    def _put_in(self, machine: Machine, key: BucketKey) -> None:
        bucket = self._buckets.get(key)
        if bucket is None:
            share = machine.free_cpus / max(machine.cpus, EPS)
            bucket = self._buckets[key] = _Bucket(machine.free_cpus, share)
        bisect.insort(bucket.indices, machine.index)
        self._keys[machine.index] = key
        self.machines[machine.index] = machine

    def _take_out(self, index: int, key: BucketKey) -> None:
        bucket = self._buckets[key]
        del bucket.indices[bisect.bisect_left(bucket.indices, index)]
        if not bucket.indices:
            del self._buckets[key]
        del self._keys[index]
        del self.machines[index]

    def best(
        self, job: Job, count: int, may_take: Callable[[Machine], bool], with_image_only: bool = False
    ) -> list[Machine]:
        """Up to `count` machines with room for a task of the job, the best first.

        `may_take` says whether a machine may be used at all, free capacity aside. `with_image_only`: none
        that would have to begin a fetch.
        """
        best = self._holding(job, count, may_take)
        if with_image_only or len(best) >= count:
            return best
        taken = {machine.index for machine in best}
        for machine in self._in_order(job):
            if machine.index not in taken and job.image not in machine.images and may_take(machine):
                best.append(machine)
                if len(best) == count:
                    break
        return best

    def least_loaded(self, job: Job, count: int, may_take: Callable[[Machine], bool]) -> list[Machine]:
        """Machines with room for a task of the job to choose from by load: up to `count` of the least loaded
        and as many of those that hold the job's image or fetch it."""
        candidates = {}
        for machine in self._in_order(job, emptiest=True):
            if may_take(machine):
                candidates[machine.index] = machine
                if len(candidates) == count:
                    break
        holders = (
            machine
            for machine in map(self.machines.get, self._holders.get(job.image, ()))
            if machine is not None and machine.has_room(job.spec) and may_take(machine)
        )
        for machine in heapq.nsmallest(count, holders, key=lambda m: (-m.free_cpus / m.cpus, m.index)):
            candidates[machine.index] = machine
        return list(candidates.values())

    def _holding(self, job: Job, count: int, may_take: Callable[[Machine], bool]) -> list[Machine]:
        """The best machines that hold or fetch the job's image."""
        holders = self._holders.get(job.image)
        if not holders or not self.machines:
            return []
        if count * len(self.machines) >= len(holders) ** 2:
            fitting = (
                machine
                for machine in map(self.machines.get, holders)
                if machine is not None and machine.has_room(job.spec) and may_take(machine)
            )
            return heapq.nsmallest(count, fitting, key=lambda machine: placement_rules.score(job, machine))
        # So many hold it that a walk in the order of the score meets enough of them soon.
        with_image: list[Machine] = []
        fetching: list[Machine] = []
        for machine in self._in_order(job):
            fetched = machine.images.get(job.image)
            if fetched is None or (not fetched and len(fetching) == count) or not may_take(machine):
                continue
            (with_image if fetched else fetching).append(machine)
            if len(with_image) == count:
                break
        return (with_image + fetching)[:count]

    def _in_order(self, job: Job, emptiest: bool = False) -> Iterator[Machine]:
        """All machines with room for a task of the job by the score, images aside; or the emptiest first."""
        spec = job.spec
        fitting = [
            (-bucket.free_share if emptiest else float(not key.spot), bucket.free_cpus, bucket)
            for key, bucket in self._buckets.items()
            if bucket.free_cpus + EPS >= spec.cpus
            and (spec.spot or not key.spot)
            and (job.types is None or key.type in job.types)
            and (job.zone is None or key.zone == job.zone)
        ]
        fitting.sort(key=lambda entry: entry[:2])
        begin = 0
        while begin < len(fitting):
            # Buckets of one rank, of several types or zones, are walked together.
            end = begin + 1
            while end < len(fitting) and fitting[end][:2] == fitting[begin][:2]:
                end += 1
            same_rank = [entry[2].indices for entry in fitting[begin:end]]
            for index in same_rank[0] if len(same_rank) == 1 else heapq.merge(*same_rank):
                machine = self.machines[index]
                if machine.has_room(spec):
                    yield machine
            begin = end
