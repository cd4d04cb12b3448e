"""Answers the heartbeats of workers: as the leader, as a relay, or with a redirect to the leader."""

import threading
from collections.abc import Callable

from bayford.coordination.api.responses import Reply
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership.connectivity import Connectivity
from bayford.coordination.leadership.manager import LeadershipManager
from bayford.coordination.leadership.membership import LeadershipRecord, Membership
from bayford.coordination.leadership.peers import Peers
from bayford.coordination.leadership.verification import (
    VERIFICATION_WAIT_S,
    WAKE_PERIOD_S,
    LeadershipVerifier,
    Pause,
)
from bayford.coordination.signals import Signals
from bayford.coordination.workers.relay import Relay
from bayford.protocol import jobs, workers
from bayford.storage.watch_cache import WatchCache

RECOVERY_WAIT_S = 2.0  # how long a heartbeat waits for a new leader to have recovered
RECORD_READ_S = 0.5  # how long it waits for the read of a newer leadership record
RELAY_READ_S = 1.5  # how long a relayed heartbeat waits for a read of the task log
FIRST_SEQUENCES = 2  # the first heartbeats of a worker may have such sequence numbers


class HeartbeatService(LeaderListener):
    """Called by the threads of the workers' connections, many at a time."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        leadership: LeadershipManager,
        membership: Membership,
        verifier: LeadershipVerifier,
        connectivity: Connectivity,
        peers: Peers,
        relay: Relay,
        watch_cache: WatchCache,
        signals: Signals,
        clock: Callable[[], float],
        pause: Pause,
    ) -> None:
        self._scheduler = scheduler
        self._leadership = leadership
        self._membership = membership
        self._verifier = verifier
        self._connectivity = connectivity
        self._peers = peers
        self._relay = relay
        self._watch_cache = watch_cache
        self._signals = signals
        self._clock = clock
        self._pause = pause
        # By machine: wakes the thread that holds its heartbeat until there are commands for it.
        self._ready: dict[int, threading.Event] = {}
        # Machines whose heartbeats wait for a read before the response may carry their starts.
        self._awaiting_read: set[int] = set()

    # -- events of the leader's state, and of reads ------------------------------------------------------

    def on_commands_ready(self, machine: int) -> None:
        """See `LeaderListener`."""
        event = self._ready.get(machine)
        if event is not None:
            event.set()

    def on_stop_requested(self, machine: int) -> None:
        """See `LeaderListener`."""
        self.on_commands_ready(machine)

    def on_machine_deleted(self, machine: int) -> None:
        """See `LeaderListener`."""
        self._ready.pop(machine, None)

    def on_leadership_verified(self) -> None:
        """A read has verified leadership: heartbeats that waited for it may get their starts."""
        waiting, self._awaiting_read = self._awaiting_read, set()
        for machine in waiting:
            self.on_commands_ready(machine)

    # -- heartbeats ------------------------------------------------------------------------------------

    def answer(self, heartbeat: workers.Heartbeat, after: float, hold: bool = True) -> Reply:
        """Answer a worker's heartbeat.

        `after`: steady clock, a moment before which it was certainly not sent. `hold`: the response may be
        held for a moment until there is work to put into it.
        """
        arrived_at = self._clock()
        if self._connectivity.is_isolated():
            # The worker still reaches this controller, which can neither read nor write, and another has
            # taken over or is about to: let the worker find that one while its lease lasts.
            return Reply(503, jobs.error("cut off from the state service and the other controllers"))
        if not self._knows_newest_leader(heartbeat):
            return Reply(503, jobs.error("a newer leadership record exists"))
        record = self._membership.record
        if self._membership.is_leader():
            return self._answer_as_leader(heartbeat, arrived_at, after, hold)
        if not record.leader or not self._membership.is_live(record.leader, record.incarnation):
            return Reply(503, jobs.error("no leader yet"))
        redirect_to = self._redirect_target(heartbeat, record)
        if redirect_to is not None:
            return Reply(421, workers.redirect(redirect_to))
        return self._answer_as_relay(heartbeat)

    def _knows_newest_leader(self, heartbeat: workers.Heartbeat) -> bool:
        """Whether the worker has seen no higher fencing token than this controller, after a read if need be.
        Until the record of a higher token has been read, nothing is said to workers."""
        if heartbeat.fencing_token <= self._membership.record.fencing_token:
            return True
        self._membership.observe_token(heartbeat.fencing_token)
        self._watch_cache.refresh(RECORD_READ_S)
        return heartbeat.fencing_token <= self._membership.record.fencing_token

    def _redirect_target(self, heartbeat: workers.Heartbeat, record: LeadershipRecord) -> str | None:
        """The controller that the worker is sent to; None if this one answers it on the leader's behalf."""
        if self._relay.stale(heartbeat):
            return record.leader
        leader_unreachable = record.leader in self._peers.unreachable
        # A later heartbeat with the current fencing token comes from a worker that the leader has answered.
        left_leader = heartbeat.fencing_token == record.fencing_token and heartbeat.sequence > FIRST_SEQUENCES
        if not self._relay.should_answer(heartbeat.machine, leader_unreachable, left_leader):
            return record.leader
        if not self._connectivity.store_reachable():
            # This controller could neither pass the heartbeat on nor know the commands, and the leader would
            # take the machine for silent: another controller in reach can do both.
            able = [name for name in self._peers.served() if name != record.leader]
            if able:
                return able[0]
        return None

    def _answer_as_leader(
        self, heartbeat: workers.Heartbeat, arrived_at: float, after: float, hold: bool
    ) -> Reply:
        scheduler = self._scheduler
        record = self._membership.record
        if not self._has_recovered(record):
            return Reply(503, jobs.error("reading the records"))
        if not self._verifier.await_verified_leader():
            return Reply(503, jobs.error("leadership not verified"))
        index = scheduler.on_heartbeat(heartbeat, after)
        if index is None:
            return Reply(200, workers.encode_response(record.fencing_token, []))
        event = self._ready[index] = threading.Event()
        self._signals.round.set()
        if scheduler.has_pending_writes():
            self._signals.commit.set()
        commands = self._await_commands(index, event, arrived_at, hold)
        if (
            self._membership.record.version != record.version
            or scheduler.term != record.version
            or not self._verifier.is_verified_leader()
        ):
            return Reply(503, jobs.error("no longer the leader"))
        scheduler.on_answered(index, heartbeat, commands)
        return Reply(200, workers.encode_response(record.fencing_token, commands))

    def _has_recovered(self, record: LeadershipRecord) -> bool:
        """Whether the scheduler has recovered for this leadership record; waits a moment for it."""
        scheduler = self._scheduler
        recovered = self._leadership.recovered
        if not scheduler.complete or scheduler.term != record.version:
            self._pause(recovered, RECOVERY_WAIT_S)
        return scheduler.complete and scheduler.term == record.version

    def _await_commands(
        self, index: int, event: threading.Event, arrived_at: float, hold: bool
    ) -> list[workers.Command]:
        """The commands for a machine, as soon as there are any, or after its heartbeat was held long enough.
        Starts wait for a read that was sent after the heartbeat arrived."""
        hold_s = self._scheduler.hold_s(index) if hold else 0.0
        while True:
            event.clear()
            commands, read_needed = self._scheduler.commands_for(index, arrived_at)
            waited_s = self._clock() - arrived_at
            if read_needed:
                if waited_s >= VERIFICATION_WAIT_S + hold_s:
                    return commands
                self._awaiting_read.add(index)
                self._signals.verify.set()
                self._pause(event, WAKE_PERIOD_S)
            elif commands or waited_s >= hold_s:
                return commands
            else:
                self._pause(event, hold_s - waited_s)

    def _answer_as_relay(self, heartbeat: workers.Heartbeat) -> Reply:
        self._relay.note(heartbeat)
        fresh = self._watch_cache.refresh(RELAY_READ_S)
        # Read before the commands are: they must not go out under the token of a later leader.
        fencing_token = self._membership.record.fencing_token
        if fresh:
            return Reply(200, workers.encode_response(fencing_token, self._relay.commands(heartbeat)))
        # The state service is out or refuses this controller. The fencing token known here may be old, but
        # then the worker has seen a higher one and drops this response. Without a fresh view nothing starts;
        # a cancellation is final on any view, so cancelled tasks stop.
        if self._clock() - self._watch_cache.as_of > self._scheduler.staleness_limit():
            return Reply(503, jobs.error("no view of the state"))
        return Reply(200, workers.encode_response(fencing_token, self._relay.stop_commands(heartbeat)))
