"""What workers tell the leader, and what they are answered."""

import logging

from bayford.clock import NEVER
from bayford.coordination.leader.leader_state import AttemptKey, LeaderState
from bayford.coordination.leadership.transfer import WorkerContact
from bayford.protocol import workers
from bayford.scheduling.model import EPS, GANG, SERVICE, Job, Machine, Placement

log = logging.getLogger("bayford.engine")

ANSWER_S = 4.5  # a worker drops answers that come later than 4 s
UNACKNOWLEDGED_RESPONSES = 3  # so many answers in a row of which nothing shows
UNEXPECTED_LEASE_EXPIRIES = 2
RUNS_S = 5.0  # a task that has run for so long is no failure
STEADY_S = 30.0  # a replica of a service that ran for so long begins anew
REST_S = 30.0  # and one that ends at every start waits for so long at the most


class HeartbeatHandler:
    """Heartbeats in, orders out. Takes the lock of the leader's state by itself."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state

    def on_heartbeat(
        self, heartbeat: workers.Heartbeat, after: float = NEVER, relay: str = "", asked: bool = False
    ) -> int | None:
        """Take a heartbeat in; its machine's index, or None if a newer one was here before.

        `after` is a moment before which the heartbeat was certainly not sent: the answer to the heartbeat
        before it on the same connection. Heartbeats may be minutes late, and only this tells. `asked`: it is
        the answer to a direct command, and an answer of ours may still be on its way.
        """
        with self._state.lock:
            if (
                not self._state.leader
                or not self._state.complete
                or heartbeat.machine in self._state.deleted_machines
            ):
                return None
            now = self._state.clock()
            machine = self._state.machine_named(heartbeat.machine, now)
            order = (heartbeat.epoch, heartbeat.sequence)
            if order <= (machine.epoch, machine.sequence) and machine.registered:
                # Overtaken, by an answer of /commands perhaps: it tells nothing, but it can be answered.
                return machine.index if heartbeat.epoch == machine.epoch else None
            self._state.last_heartbeat_received_at = now
            if heartbeat.epoch > machine.epoch:
                self._on_new_epoch(machine, heartbeat.epoch, now)
            seen = {(state.task_id, state.attempt): state.phase for state in heartbeat.tasks}
            if not asked and not relay:
                self._check_acknowledged(machine, seen)
            self._note_heartbeat(machine, heartbeat, relay, now)
            for state in heartbeat.tasks:
                placement = machine.open.get((state.task_id, state.attempt))
                if placement is not None:
                    self._reconcile_task(machine, placement, state, now)
            self._state.seen[machine.index] = seen
            self._close_unstarted(machine, seen, after)
            if not machine.open and machine.idle_since <= 0:
                machine.idle_since = now
            return machine.index

    def _note_heartbeat(self, machine: Machine, heartbeat: workers.Heartbeat, relay: str, now: float) -> None:
        if heartbeat.fencing_token >= self._state.fencing_token:
            # Whoever says our token was answered in this term. A late copy, or a machine that we do not
            # reach, never does, and gets no work.
            machine.token_acknowledged = True
        machine.sequence = heartbeat.sequence
        machine.last_heartbeat_at = now
        machine.relay = relay
        if relay:
            machine.last_answered_at = now  # by the relay, a moment ago
        if not machine.registered:
            self._register(machine, heartbeat, now)
        if heartbeat.reclaim_notice_s is not None:
            if machine.reclaim_at is None:
                log.info("machine %s: taken by the cloud in %.0f s", machine.name, heartbeat.reclaim_notice_s)
            machine.reclaim_at = now + heartbeat.reclaim_notice_s
            self._state.reclaim_pending[machine.index] = machine

    def _register(self, machine: Machine, heartbeat: workers.Heartbeat, now: float) -> None:
        machine.registered = True
        machine.address = heartbeat.address
        machine.zone = self._state.zones.index(heartbeat.zone)
        machine.spot = heartbeat.spot
        machine.idle_since = now
        self._state.learn_type(machine, heartbeat.type)
        self._state.capacity_index.update(machine)

    def _on_new_epoch(self, machine: Machine, epoch: int, now: float) -> None:
        """The worker's lease ran out: it has killed and forgotten all tasks of earlier epochs."""
        facts = self._state.settings.facts.workers
        if machine.registered and now - machine.last_answered_at < facts.lease_s - ANSWER_S:
            # Its lease ran out although it was answered well within it: it may not hear us.
            machine.lease_expiries += 1
            if machine.lease_expiries >= UNEXPECTED_LEASE_EXPIRIES:
                self._mark_unresponsive(
                    machine, f"{machine.lease_expiries} leases ran out although it was answered"
                )
        machine.sent_commands.clear()
        lost = [p for p in machine.open.values() if p.epoch < epoch]
        if machine.registered and lost:
            log.info("machine %s: session %d, %d tasks lost", machine.name, epoch, len(lost))
        machine.epoch = epoch
        machine.sequence = -1
        self._state.seen[machine.index] = {}
        for placement in lost:
            self._state.close(machine, placement, now)
            placement.job.requeue(placement.task)

    def _check_acknowledged(self, machine: Machine, seen: dict[AttemptKey, str]) -> None:
        """Whether anything of the last answer shows. A worker has one heartbeat in flight, so this one was
        sent after that answer came, or never will."""
        if not machine.sent_commands:
            return
        acknowledged = False
        for task_id, attempt, verb in machine.sent_commands:
            phase = seen.get((task_id, attempt))
            if verb == workers.START:
                acknowledged = acknowledged or phase is not None
            elif verb == workers.REAP:
                acknowledged = acknowledged or phase is None
            else:
                acknowledged = acknowledged or phase not in (
                    workers.RUNNING,
                    workers.FETCHING,
                    workers.GATHERING,
                )
        machine.sent_commands.clear()
        if acknowledged:
            machine.unacknowledged = machine.lease_expiries = 0
            return
        machine.unacknowledged += 1
        if machine.unacknowledged >= UNACKNOWLEDGED_RESPONSES:
            self._mark_unresponsive(machine, f"nothing of {machine.unacknowledged} answers shows")

    def _mark_unresponsive(self, machine: Machine, why: str) -> None:
        """A machine that is heard and does not hear: no more work, and another in its place. What it has
        counts as there until its deletion is confirmed."""
        others = sum(m.registered for m in self._state.machines.values())
        doubted = sum(m.unacknowledged > 0 or m.lease_expiries > 0 for m in self._state.machines.values())
        if machine.quarantined or doubted > max(3, others // 4):
            return  # so many at a time: the fault is ours, or the network's
        machine.quarantined = machine.lost = True
        log.error("machine %s does not hear us: %s", machine.name, why)

    def _reconcile_task(
        self, machine: Machine, placement: Placement, state: workers.TaskState, now: float
    ) -> None:
        placement.started = True
        if state.phase == workers.FETCHING:
            machine.images.setdefault(placement.job.image, False)
            self._state.capacity_index.holds(machine, placement.job.image)
        elif state.phase == workers.RUNNING:
            if placement.running_since is None:
                placement.running_since = now - self._ran_before(placement)
                self._state.use_image(machine, placement.job, there=True)
                if placement.job.is_service and placement.placed_at:
                    self._up(machine, placement, now)
            elif placement.job.is_service and now - RUNS_S > placement.running_since > machine.failed_at:
                # Where services run nothing is ever done: that it runs is what speaks for the machine.
                machine.failed_jobs.clear()
        elif state.phase == workers.ENDED:
            self._ended(machine, placement, state, now)

    def _ran_before(self, placement: Placement) -> float:
        """How long a task that is first seen running has run. For one that a leader before us has placed
        nobody knows; half of what it is expected to, where from the failover on it would seem to have hardly
        begun, and be cheap to stop."""
        return (
            0.0
            if placement.placed_here or placement.job.is_service
            else 0.5 * self._state.expected(placement.job)
        )

    def _up(self, machine: Machine, placement: Placement, now: float) -> None:
        """Say how long a replica was away, and of what that was made up."""
        job = placement.job
        # A leader before us may have seen it up: what is missing since we are leader is all that we know.
        since, unknown = job.down_since.pop(placement.task, (max(job.created, self._state.leader_since), 0.0))
        log.info(
            "replica %s up on %s after %.1f s: %.1f unnoticed, %.1f until placed, %.1f start and fetch",
            placement.task_id,
            machine.name,
            unknown + now - since,
            unknown,
            placement.placed_at - since,
            now - placement.placed_at,
        )

    def _ended(self, machine: Machine, placement: Placement, state: workers.TaskState, now: float) -> None:
        job = placement.job
        self._state.close(machine, placement, now)
        if state.reason == workers.DONE and job.spec.shape != SERVICE:
            self._done(machine, placement, now)
            return
        if job.cancelled:
            return
        if job.is_service and state.reason in (workers.DONE, workers.ERROR):
            self._back_off_replica(job, placement, now)
        else:
            job.requeue(placement.task)
        if job.spec.shape == GANG:
            # One task down, the gang is down: stop the others, so that all can come together again.
            for other in job.open.values():
                if not other.stopping:
                    self._state.stop(other, job.spec.checkpoint_grace_s)
        if state.reason not in (workers.STOPPED, workers.PEER_LOST, workers.GANG_INCOMPLETE, workers.DONE):
            self._not_run(machine, placement, state, now)

    def _done(self, machine: Machine, placement: Placement, now: float) -> None:
        """A task has completed."""
        job = placement.job
        job.done.add(placement.task)
        self._state.events.on_task_done(placement)
        self._state.use_image(machine, job, there=True)
        machine.completed_tasks += 1
        machine.failed_jobs.clear()
        if placement.running_since is not None and placement.placed_here:
            # Runs counted from a failover taught that everything ends within seconds: the backlog seemed to
            # be nothing, so too little was launched and nothing was stopped for urgent work.
            self._state.run_times.observe(job.job_class, job.spec.estimate_s, now - placement.running_since)
        if job.finished:
            log.info("job %s done after %.1f s", job.spec.id, now - job.created)
            self._state.queue_completion(job)

    def _not_run(self, machine: Machine, placement: Placement, state: workers.TaskState, now: float) -> None:
        """A task has failed, or its machine has refused it."""
        job = placement.job
        if state.reason == workers.FULL:
            # The late snapshot was wrong; wait for a newer heartbeat before trying this machine again.
            self._state.refusals += 1
            machine.backoff_until = now + 1.0
            log.debug("machine %s refused %s: full", machine.name, placement.task_id)
        elif state.reason == workers.ERROR:
            self._failed(machine, job, placement.task_id, now)
        else:
            log.info("machine %s refused %s: %s", machine.name, placement.task_id, state.reason)
            if state.reason == workers.UNKNOWN and job.not_before <= now:
                # A submission that its user gave up on and that was executed late: no worker may ever know
                # it. Tried every other second it would keep room from everybody else for ever.
                self._back_off(job, now, 2.0)
            job.not_before = max(job.not_before, now + 2.0)

    def _back_off_replica(self, job: Job, placement: Placement, now: float) -> None:
        """A replica of a service has ended by itself: again at once, but one that ends again and again only
        after a while, each time a longer one. The job's other replicas go on."""
        ran = placement.running_since is not None and now - placement.running_since > STEADY_S
        consecutive_exits = 0 if ran else job.consecutive_exits.get(placement.task, 0)
        job.consecutive_exits[placement.task] = consecutive_exits + 1
        if consecutive_exits:
            job.backing_off[placement.task] = now + min(REST_S, 2.0 ** min(consecutive_exits - 1, 10))
        else:
            job.requeue(placement.task)

    def _back_off(self, job: Job, now: float, first_s: float) -> float:
        """Try the job again only after a while, each time a longer one."""
        wait = min(60.0, first_s * 2.0 ** min(job.backoff_count, 5))
        job.backoff_count += 1
        job.not_before = now + wait
        return wait

    def _failed(self, machine: Machine, job: Job, task_id: str, now: float) -> None:
        """A task failed: blame the machine if it fails several jobs, the job if it fails everywhere."""
        job.errors += 1
        job.failed_on.add(machine.index)
        machine.failed_at = now
        machine.failed_jobs[job.spec.id] = machine.failed_jobs.get(job.spec.id, 0) + 1
        log.error(
            "run failed: task %s on %s (%d failed runs of the job, on %d machines)",
            task_id,
            machine.name,
            job.errors,
            len(job.failed_on),
        )
        # Of hundreds of machines some are sick at the same time, and a large array meets several of them: as
        # long as it runs elsewhere, the fault is not the job's.
        runs = bool(job.done) or any(
            p.running_since is not None and now - p.running_since > RUNS_S and p.machine not in job.failed_on
            for p in job.open.values()
        )
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs and job.is_service:
            job.failed_on.clear()  # its replicas rest, each by itself
            return
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs:
            wait = self._back_off(job, now, 8.0)
            job.failed_on.clear()
            log.error("job %s fails on every machine; next try in %.0f s", job.spec.id, wait)
            return
        if len(job.failed_on) > 8:
            job.failed_on.clear()
        several = len(machine.failed_jobs) >= 2
        # A replica that can't run anywhere would cost one machine after the other.
        alone = sum(machine.failed_jobs.values()) >= 2 and runs and not job.is_service
        if (several or alone) and not machine.quarantined:
            machine.quarantined = True
            log.error("machine %s quarantined: %s failed there", machine.name, list(machine.failed_jobs))
        elif not several:
            machine.backoff_until = max(machine.backoff_until, now + 3.0)

    def _close_unstarted(self, machine: Machine, seen: dict[AttemptKey, str], after: float) -> None:
        """Close what a cancelled job had on its way here and the worker does not have.

        Safe only for a heartbeat sent after the cancellation was committed: no node answers that heartbeat or
        a later one with the start (the gate reads the cancellation), and a worker has one heartbeat in
        flight, so the answer to an earlier one has been dropped or executed already. A heartbeat that was
        merely received after the cancellation may have been held back by a cut and prove nothing.
        """
        now = self._state.clock()
        for key, placement in list(machine.open.items()):
            absent = key not in seen and placement.epoch == machine.epoch
            if placement.job.cancelled and absent and after >= placement.job.cancel_known:
                self._state.close(machine, placement, now)

    def worker_contact(self, since: float) -> WorkerContact:
        """How many machines have been heard after `since`, directly and through each relay."""
        direct = 0
        relayed: dict[str, int] = {}
        with self._state.lock:
            for machine in self._state.machines.values():
                if not machine.registered or machine.last_heartbeat_at < since:
                    continue
                if machine.relay:
                    relayed[machine.relay] = relayed.get(machine.relay, 0) + 1
                else:
                    direct += 1
        return WorkerContact(direct, relayed)

    def on_answered(self, index: int, heartbeat: workers.Heartbeat, commands: list[workers.Command]) -> None:
        """A heartbeat is answered with these. An answer to a late copy reaches nobody and doesn't count."""
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is not None and (machine.epoch, machine.sequence) == (
                heartbeat.epoch,
                heartbeat.sequence,
            ):
                machine.last_answered_at = self._state.clock()
                machine.sent_commands = [(o.task_id, o.attempt, o.verb) for o in commands]

    def commands_for(self, index: int, arrival: float) -> tuple[list[workers.Command], bool]:
        """What to answer the machine's heartbeat that came at `arrival`, and whether starts await the gate.

        The gate: a start goes out only if we were verifiably the leader at some moment after the heartbeat
        arrived, and the placement is durable and still open now.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader:
                return [], False
            seen = self._state.seen[index]
            commands: list[workers.Command] = []
            gated = False
            for key, phase in seen.items():
                placement = machine.open.get(key)
                task_id, attempt = key
                if phase == workers.ENDED:
                    name, task = workers.split_task(task_id) or ("", 0)
                    if placement is None and not self._state.is_uncommitted(name, task):
                        commands.append(workers.Reap(task_id, attempt))
                elif placement is None:
                    commands.append(workers.Stop(task_id, attempt, 0.0))
                elif placement.stopping:
                    commands.append(workers.Stop(task_id, attempt, placement.stop_grace_s))
            for key, placement in machine.open.items():
                if key in seen or not placement.durable or placement.epoch != machine.epoch:
                    continue
                if placement.job.cancelled:
                    continue
                if self._state.verified_at <= arrival:
                    gated = True
                    continue
                commands.append(workers.Start(placement.task_id, placement.attempt))
                self._state.starts += 1
            return commands, gated

    def stop_commands_for(
        self, index: int, cancelled_alone: bool = False
    ) -> tuple[str, int, list[workers.Command]] | None:
        """Address, epoch and the stops that are worth a direct command to this machine now; with
        `cancelled_alone` those of cancelled jobs, which are right whoever owns them.

        Only stops go that way: a copy that comes late stops an attempt that was to stop anyway.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.leader or not machine.address:
                return None
            placements = [p for p in machine.open.values() if p.job.cancelled or not cancelled_alone]
            stop_commands: list[workers.Command] = [
                workers.Stop(placement.task_id, placement.attempt, placement.stop_grace_s)
                for placement in placements
                if placement.stopping and placement.started and not placement.stop_sent
            ]
            for placement in placements:
                placement.stop_sent = placement.stop_sent or placement.stopping
            return (machine.address, machine.epoch, stop_commands) if stop_commands else None

    def hold_s(self, index: int) -> float:
        """How long it pays to keep this machine's heartbeat, waiting for work to answer it with.

        A worker's lease counts from the sending of its heartbeat, and it drops answers after 4 s, so a short
        wait costs nothing but the news of tasks that end meanwhile.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not machine.usable:
                return 0.0
            if not machine.open:
                return min(
                    self._state.policy.hold_idle_s,
                    self._state.settings.facts.workers.heartbeat_interval_s * 0.75,
                )
            if machine.free_cpus > EPS or any(not p.durable for p in machine.open.values()):
                return self._state.policy.hold_s
            return 0.0
