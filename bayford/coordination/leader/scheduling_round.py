"""The scheduling round: drains machines that the cloud is reclaiming, places waiting tasks, preempts and
balances."""

import dataclasses

from bayford.coordination.leader.balancer import Balancer
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.load_spreader import LoadSpreader
from bayford.coordination.leader.migrator import Migrator
from bayford.coordination.leader.preemptor import Preemptor
from bayford.coordination.leader.scheduling_queue import QueueEntry, SchedulingQueue
from bayford.coordination.leader.task_placer import NO_ROOM, TaskPlacer
from bayford.recovery import return_order
from bayford.scheduling.model import GANG, URGENT, Machine

IMAGE_COUNT_PERIOD_S = 2.0  # between recomputations of the images that are on many machines


class SchedulingRound:
    """Runs rounds over the queue of waiting work. The public methods acquire the lock of the leader's
    state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self.queue = SchedulingQueue(state)
        self.preemptor = Preemptor(state)
        self.migrator = Migrator(state)
        self.balancer = Balancer(state, self.migrator)
        self.spreader = LoadSpreader(state, self.balancer, self.migrator)
        self._placer = TaskPlacer(state, self.queue, self.spreader)

    def round(self) -> None:
        """Run one round: place waiting tasks, then make room for the rest by preemption and migration."""
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

    def waiting_report(self, max_jobs: int = 5) -> list[str]:
        """Return log lines: the longest-waiting jobs, at most `max_jobs`, with the reasons why they wait, and
        totals of the scheduler. Empty if this controller is not the leader."""
        with self._state.lock:
            if not self._state.leader:
                return []
            return self.queue.report(self._state.clock(), max_jobs)

    def _place_all(self, queue: list[QueueEntry], now: float) -> None:
        """Place the queue's tasks until no machine has room, so that the cost of a round is proportional to
        the free capacity.

        Returning zones come last: work that may run elsewhere leaves their capacity to the work that may not.
        """
        unplaced = self._place_in_other_zones(queue, now)
        if self._state.returning_zones:
            self._place_returning(unplaced, now)

    def _place_in_other_zones(self, queue: list[QueueEntry], now: float) -> list[QueueEntry]:
        """Place tasks in all zones but the returning ones, in the order of service. Return the entries that
        still have tasks to place, none if no machine has room.

        A job whose image is on enough machines is first placed only on machines that have the image. In a
        backlog, this leaves room on the other machines to jobs whose images are there; fetching an image
        takes as long as many tasks run.
        """
        common_images = self._common_images(now) if self._state.capacity_index else frozenset()
        unplaced: list[QueueEntry] = []
        deferred: list[QueueEntry] = []
        for entry in queue:
            job = entry.job
            if not self._state.capacity_index:
                job.waiting_reason = NO_ROOM
                continue
            # With load spread, the placement cost weighs the fetch against the load instead.
            waits_for_image = (
                not self._state.policy.spread
                and job.image in common_images
                and job.spec.priority < URGENT
                and job.spec.shape != GANG
            )
            remaining = self._place_entry(entry, now, with_image_only=waits_for_image)
            if remaining.count > 0 and job.waiting:
                (deferred if waits_for_image else unplaced).append(remaining)
        unplaced += [self._place_entry(entry, now) for entry in deferred]
        return unplaced

    def _place_returning(self, queue: list[QueueEntry], now: float) -> None:
        """Place tasks in returning zones, job classes in the order that the operators configured.

        Each class gets the capacity that the classes before it leave. Each machine fetches one image at a
        time.
        """
        return_ranks = self._state.policy.return_order
        for entry in sorted(queue, key=lambda entry: return_order.rank(entry.job, return_ranks)):
            self._place_entry(entry, now, returning=True)

    def _place_entry(
        self, entry: QueueEntry, now: float, with_image_only: bool = False, returning: bool = False
    ) -> QueueEntry:
        """Place tasks of one entry (see `TaskPlacer.place`) and return it with the count that is left."""
        job = entry.job
        waiting_before = len(job.waiting)
        if entry.count > 0 and waiting_before and self._state.capacity_index:
            self._placer.place(job, entry.count, now, with_image_only, returning)
        placed = waiting_before - len(job.waiting)
        return dataclasses.replace(entry, count=entry.count - placed) if placed else entry

    def _common_images(self, now: float) -> frozenset[int]:
        """Return the images that are on more than `image_share` of the usable machines, so that jobs may wait
        for room on one of these. Recomputed every `IMAGE_COUNT_PERIOD_S`."""
        if now - self._state.images_at > IMAGE_COUNT_PERIOD_S:
            self._state.images_at = now
            machine_counts: dict[int, int] = {}
            machines = [machine for machine in self._state.machines.values() if machine.usable]
            for machine in machines:
                for image, fetched in machine.images.items():
                    machine_counts[image] = machine_counts.get(image, 0) + fetched
            min_count = self._state.policy.image_share * len(machines)
            self._state.local_images = frozenset(
                image for image, count in machine_counts.items() if count > min_count
            )
        return self._state.local_images

    def _drain(self, machine: Machine, now: float) -> None:
        """Drain a machine that the cloud will reclaim: stop checkpointing tasks just in time to save a
        checkpoint, and stop other tasks now if they are not expected to finish in time."""
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
            if max(0.0, self._state.expected_run_s(job) - ran_s) > left_s * 1.5:
                self._state.stop(placement, 0.0)
