"""The scheduling round: drain machines that the cloud takes, place what waits, preempt, balance."""

import dataclasses

from bayford.coordination.leader.balancer import Balancer
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.load_spreader import LoadSpreader
from bayford.coordination.leader.migrator import Migrator
from bayford.coordination.leader.preemptor import Preemptor
from bayford.coordination.leader.scheduling_queue import QueueEntry, SchedulingQueue
from bayford.coordination.leader.task_placer import NO_ROOM, TaskPlacer
from bayford.recovery import return_order
from bayford.scheduling.model import GANG, URGENT, Job, Machine

IMAGE_COUNT_PERIOD_S = 2.0  # how often it is worked out which images are on many machines


class SchedulingRound:
    """One round over the queue of waiting work. The public methods take the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self.queue = SchedulingQueue(state)
        self.preemptor = Preemptor(state)
        self.migrator = Migrator(state)
        self.balancer = Balancer(state, self.migrator)
        self.spreader = LoadSpreader(state, self.balancer, self.migrator)
        self._placer = TaskPlacer(state, self.queue, self.spreader)

    def round(self) -> None:
        """Place what waits, then make room for work that may preempt other work."""
        with self._state.lock:
            if not self._state.leader or not self._state.complete:
                return
            now = self._state.clock()
            for machine in self._state.reclaim_pending.values():
                self._drain(machine, now)
            queue = self.queue.in_order(now)
            self.preemptor.make_room_under_limits(now)
            if not queue:
                self.spreader.step(False, now)
                return
            self._place_all(queue, now)
            waiting = list(dict.fromkeys(entry.job for entry in queue))
            self.preemptor.make_room(waiting, now)
            if now - self._state.balanced_at >= self._state.policy.balance_every_s:
                self._state.balanced_at = now
                self.balancer.free_room(waiting, now)
            self.spreader.step(any(job.waiting for job in waiting), now)

    def waiting(self, max_jobs: int = 5) -> list[str]:
        """For the log: the jobs that have waited longest and why they wait, and the state of the whole."""
        with self._state.lock:
            if not self._state.leader:
                return []
            return self.queue.report(self._state.clock(), max_jobs)

    def _place_all(self, queue: list[QueueEntry], now: float) -> None:
        """Place the queue's tasks until no machine has room: the work of a round follows the free capacity.

        In a backlog, room on a machine without a job's image is better left to a job whose image is there,
        as long as the first finds its own on enough other machines: a fetch takes as long as many a task.
        """
        if self._state.returning_zones:
            queue = self._place_returning(queue, now)
        common_images = self._common_images(now) if self._state.capacity_index else frozenset()
        deferred: list[tuple[Job, int]] = []
        for entry in queue:
            job, count = entry.job, entry.count
            if not self._state.capacity_index:
                job.why_waiting = NO_ROOM
                continue
            # Where load is spread, the cost of a fetch is weighed against the load instead.
            wait_for_image = (
                not self._state.policy.spread
                and job.image in common_images
                and job.spec.priority < URGENT
                and job.spec.shape != GANG
            )
            waiting_before = len(job.waiting)
            self._placer.place(job, count, now, with_image_only=wait_for_image)
            count -= waiting_before - len(job.waiting)
            if wait_for_image and count > 0 and job.waiting:
                deferred.append((job, count))
        for job, count in deferred:
            if not self._state.capacity_index:
                break
            self._placer.place(job, count, now)

    def _place_returning(self, queue: list[QueueEntry], now: float) -> list[QueueEntry]:
        """Offer the room of zones that return in the operators' order; what is left of the queue.

        A class further down is offered what those above it leave. Each machine fetches one image at a time.
        """
        return_ranks = self._state.policy.return_order
        left = {}
        for entry in sorted(queue, key=lambda entry: return_order.rank(entry.job, return_ranks)):
            waiting_before = len(entry.job.waiting)
            if waiting_before and self._state.capacity_index:
                self._placer.place(entry.job, entry.count, now, returning=True)
            placed = waiting_before - len(entry.job.waiting)
            left[entry.order, entry.job.spec.id] = entry.count - placed
        counted = [dataclasses.replace(entry, count=left[entry.order, entry.job.spec.id]) for entry in queue]
        return [entry for entry in counted if entry.count > 0 and entry.job.waiting]

    def _common_images(self, now: float) -> frozenset[int]:
        """Images that are on so many machines that a job may wait for room on one of them."""
        if now - self._state.images_at > IMAGE_COUNT_PERIOD_S:
            self._state.images_at = now
            holders: dict[int, int] = {}
            machines = [machine for machine in self._state.machines.values() if machine.usable]
            for machine in machines:
                for image, fetched in machine.images.items():
                    holders[image] = holders.get(image, 0) + fetched
            enough = self._state.policy.image_share * len(machines)
            self._state.local_images = frozenset(image for image, count in holders.items() if count > enough)
        return self._state.local_images

    def _drain(self, machine: Machine, now: float) -> None:
        """The cloud has given notice that it takes the machine: have tasks save their progress while there
        is time for it, and stop early those that can't finish."""
        left_s = (machine.reclaim_at or now) - now
        heartbeat_interval_s = self._state.settings.facts.workers.heartbeat_interval_s
        for placement in machine.open.values():
            if placement.stopping:
                continue
            job = placement.job
            if job.spec.checkpoint_interval_s:
                save_s = job.spec.checkpoint_grace_s + 1.5 * heartbeat_interval_s + 1.0
                if left_s <= save_s + 1.0:
                    self._state.stop(placement, job.spec.checkpoint_grace_s)
                continue
            ran_s = 0.0 if placement.running_since is None else now - placement.running_since
            if max(0.0, self._state.expected(job) - ran_s) > left_s * 1.5:
                self._state.stop(placement, 0.0)
