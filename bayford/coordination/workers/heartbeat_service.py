"""Answers workers' heartbeats: as the leader, as a relay, or with a redirect to the leader."""

import threading
from collections.abc import Callable

from bayford.clock import NEVER
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

RECOVERY_WAIT_S = 2.0  # how long a heartbeat waits until a new leader has recovered its state
RECORD_READ_TIMEOUT_S = 0.5  # how long a heartbeat waits for a read of a newer leadership record
RELAY_READ_TIMEOUT_S = 1.5  # how long a relayed heartbeat waits for a read of the task log
MAX_FIRST_SEQUENCE = 2  # highest sequence number that the first heartbeats of a worker may have


def may_start(sent_after: float, keep_alive: bool) -> bool:
    """Returns whether the response to a heartbeat may contain starts.

    The heartbeat must have come on a connection on which this controller has answered before. A late copy
    comes on a connection of its own, to which no worker listens, so that no copy ever brings forth a start.
    A controller that closes each connection after one response can't tell; there, only the order of the
    machine's heartbeats keeps copies out. A start in the response to a copy is executed by nobody.
    """
    return sent_after > NEVER or not keep_alive


class HeartbeatService(LeaderListener):
    """Answers heartbeats. Called concurrently by the threads that serve the workers' connections."""

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
        # By machine: wakes the thread that holds the machine's heartbeat until there are commands for it.
        self._commands_ready: dict[int, threading.Event] = {}
        # Machines whose responses contain starts and wait for a read that verifies leadership.
        self._awaiting_read: set[int] = set()

    # -- events of the leader's state, and of its verification ----------------------------------------------

    def on_commands_ready(self, machine: int) -> None:
        """See `LeaderListener`."""
        event = self._commands_ready.get(machine)
        if event is not None:
            event.set()

    def on_stop_requested(self, machine: int) -> None:
        """See `LeaderListener`."""
        self.on_commands_ready(machine)

    def on_machine_deleted(self, machine: int) -> None:
        """See `LeaderListener`."""
        self._commands_ready.pop(machine, None)

    def on_leadership_verified(self) -> None:
        """Wake the heartbeats whose responses contain starts and waited for a read to verify leadership."""
        waiting, self._awaiting_read = self._awaiting_read, set()
        for machine in waiting:
            self.on_commands_ready(machine)

    # -- heartbeats ------------------------------------------------------------------------------------

    def answer(self, heartbeat: workers.Heartbeat, sent_after: float, keep_alive: bool = True) -> Reply:
        """Answer a worker's heartbeat.

        `sent_after`: time of the steady clock at or after which the worker certainly sent it.
        `keep_alive`: whether the connection stays open after the response. If it does, the response may
        be held back until there are commands to put into it, for the time that the policy allows.
        """
        arrived_at = self._clock()
        if self._connectivity.is_isolated():
            # The worker still reaches this controller, which can neither read nor write the store, and
            # another controller has taken over as leader or is about to. With this error the worker looks for
            # that one while its lease is still valid.
            return Reply(503, jobs.encode_error("cut off from the state service and the other controllers"))
        if not self._knows_newest_leader(heartbeat):
            return Reply(503, jobs.encode_error("a newer leadership record exists"))
        record = self._membership.record
        if self._membership.is_leader():
            return self._answer_as_leader(heartbeat, arrived_at, sent_after, keep_alive)
        if not record.leader or not self._membership.is_live(record.leader, record.incarnation):
            return Reply(503, jobs.encode_error("no leader yet"))
        redirect_to = self._redirect_target(heartbeat, record)
        if redirect_to is not None:
            return Reply(421, workers.encode_redirect(redirect_to))
        return self._answer_as_relay(heartbeat, may_start(sent_after, keep_alive))

    def _knows_newest_leader(self, heartbeat: workers.Heartbeat) -> bool:
        """Returns whether this controller knows the worker's fencing token or a higher one.

        If not, it reads the leadership record first. Until it has read the record with the higher token,
        workers get only error responses.
        """
        if heartbeat.fencing_token <= self._membership.record.fencing_token:
            return True
        self._membership.observe_token(heartbeat.fencing_token)
        self._watch_cache.refresh(RECORD_READ_TIMEOUT_S)
        return heartbeat.fencing_token <= self._membership.record.fencing_token

    def _redirect_target(self, heartbeat: workers.Heartbeat, record: LeadershipRecord) -> str | None:
        """Returns the controller to redirect the worker to, None if this one answers as the relay."""
        if not self._relay.record_order(heartbeat):
            return record.leader
        leader_unreachable = record.leader in self._peers.unreachable
        # A heartbeat with the current fencing token and a higher sequence number than a worker's first ones
        # comes from a worker that the leader has answered before.
        has_lost_leader = (
            heartbeat.fencing_token == record.fencing_token and heartbeat.sequence > MAX_FIRST_SEQUENCE
        )
        if not self._relay.should_answer(
            heartbeat.machine, record.fencing_token, leader_unreachable, has_lost_leader
        ):
            return record.leader
        if not self._connectivity.is_store_reachable():
            # Without the store this controller can neither pass the heartbeat on nor read the commands, and
            # the leader would treat the machine as unresponsive. Redirect to a reachable controller that has
            # the store.
            candidates = [name for name in self._peers.served_peers() if name != record.leader]
            if candidates:
                return candidates[0]
        return None

    def _answer_as_leader(
        self, heartbeat: workers.Heartbeat, arrived_at: float, sent_after: float, keep_alive: bool
    ) -> Reply:
        scheduler = self._scheduler
        record = self._membership.record
        if not self._has_recovered(record):
            return Reply(503, jobs.encode_error("reading the records"))
        if not self._verifier.await_verified_leader():
            return Reply(503, jobs.encode_error("leadership not verified"))
        index = scheduler.on_heartbeat(heartbeat, sent_after)
        if index is None:
            return Reply(200, workers.encode_response(record.fencing_token, []))
        event = self._commands_ready[index] = threading.Event()
        self._signals.round.set()
        if scheduler.has_pending_writes():
            self._signals.commit.set()
        hold_s = scheduler.hold_s(index) if keep_alive else 0.0
        with_starts = may_start(sent_after, keep_alive)
        commands = self._await_commands(index, event, arrived_at, hold_s, with_starts)
        if (
            self._membership.record.version != record.version
            or scheduler.term != record.version
            or not self._verifier.is_verified_leader()
        ):
            return Reply(503, jobs.encode_error("no longer the leader"))
        scheduler.on_answered(index, heartbeat, commands)
        return Reply(200, workers.encode_response(record.fencing_token, commands))

    def _has_recovered(self, record: LeadershipRecord) -> bool:
        """Returns whether the scheduler has recovered for this record, waiting up to `RECOVERY_WAIT_S`."""
        scheduler = self._scheduler
        recovered = self._leadership.recovered
        if not scheduler.complete or scheduler.term != record.version:
            self._pause(recovered, RECOVERY_WAIT_S)
        return scheduler.complete and scheduler.term == record.version

    def _await_commands(
        self, index: int, event: threading.Event, arrived_at: float, hold_s: float, with_starts: bool
    ) -> list[workers.Command]:
        """Returns the commands for a machine as soon as there are any, or without any after the hold time.

        Starts are held back until a read that was sent after the heartbeat arrived has verified leadership.
        """
        while True:
            event.clear()
            commands, read_needed = self._scheduler.commands_for(index, arrived_at, with_starts)
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

    def _answer_as_relay(self, heartbeat: workers.Heartbeat, with_starts: bool) -> Reply:
        self._relay.store_heartbeat(heartbeat)
        is_refreshed = self._watch_cache.refresh(RELAY_READ_TIMEOUT_S)
        # The token is read before the commands, so that they are never sent with the token of a later leader.
        fencing_token = self._membership.record.fencing_token
        if is_refreshed:
            commands = self._relay.commands(heartbeat, with_starts)
            return Reply(200, workers.encode_response(fencing_token, commands))
        # The key-value store is unavailable or refuses this controller. If the fencing token known here is
        # outdated, a worker that has seen a higher one drops this response. A stale view is not sufficient to
        # start tasks. It is sufficient to stop cancelled ones, because a cancellation is final.
        if self._clock() - self._watch_cache.as_of > self._scheduler.staleness_limit():
            return Reply(503, jobs.encode_error("no view of the state"))
        return Reply(200, workers.encode_response(fencing_token, self._relay.stop_commands(heartbeat)))
