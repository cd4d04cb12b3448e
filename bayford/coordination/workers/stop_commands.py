"""Sends stop commands directly to machines, without waiting for their next heartbeats."""

import queue
import threading
from collections.abc import Callable

from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.signals import Signals
from bayford.protocol import workers

QUEUE_SIZE = 16_384  # machines; those beyond it get the command in the response to their next heartbeat
SENDER_THREADS = 3

SendCommand = Callable[[str, bytes], bytes | None]  # (address, body) to heartbeat, None: no answer


class StopCommands(LeaderListener):
    """A queue of the machines to send stop commands to. `step` is called by several threads."""

    def __init__(
        self,
        scheduler: Scheduler,
        membership: Membership,
        is_verified_leader: Callable[[], bool],
        send: SendCommand,
        signals: Signals,
    ) -> None:
        self._scheduler = scheduler
        self._membership = membership
        self._is_verified_leader = is_verified_leader
        self.send = send
        self._signals = signals
        self._machines: queue.Queue[int] = queue.Queue(QUEUE_SIZE)
        self._lock = threading.Lock()  # guards `_queued`
        self._queued: set[int] = set()  # the machines in the queue: one entry serves all stops of a machine

    @property
    def pending(self) -> bool:
        """Returns whether any machine is queued."""
        return not self._machines.empty()

    def on_stop_requested(self, machine: int) -> None:
        """See `LeaderListener`."""
        with self._lock:
            if machine in self._queued:
                return
            try:
                self._machines.put_nowait(machine)
            except queue.Full:
                return  # the response to the machine's next heartbeat contains the command as well
            self._queued.add(machine)

    def step(self) -> float:
        """Wait for the next queued machine and send it its stop commands, in as many messages as they take.

        After a message without an answer the rest is left to the responses to the machine's heartbeats.
        """
        index = self._machines.get()
        with self._lock:
            self._queued.discard(index)  # before the stops are taken, so that a later one queues it again
        while self._send_next(index):
            pass
        return 0.0

    def _send_next(self, index: int) -> bool:
        """Send one message of stop commands to the machine. Returns whether it was answered."""
        record = self._membership.record
        # A controller that may have lost leadership must not stop tasks, because the fencing token may belong
        # to another leader. Tasks of cancelled jobs are the exception: a cancellation is final, even in a
        # stale view.
        is_leader = record.version == self._scheduler.term and self._is_verified_leader()
        target = self._scheduler.take_stop_commands(index, cancelled_alone=not is_leader)
        if target is None:
            return False
        address, epoch, commands = target
        body = self.send(address, workers.encode_stop_commands(record.fencing_token, epoch, commands))
        if body is None:
            return False
        # The answer has the worker's current state, but an earlier response may still be in flight to the
        # worker. So `sent_after`, which would close placements that have not started, is not passed.
        self._scheduler.on_heartbeat(workers.parse_heartbeat(body), is_command_response=True)
        self._signals.round.set()
        return True
