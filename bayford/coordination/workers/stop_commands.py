"""Stops tasks by direct commands to their machines, without waiting for the next heartbeat."""

import queue
from collections.abc import Callable

from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.signals import Signals
from bayford.protocol import workers

QUEUE_SIZE = 16_384  # machines with tasks to stop; the response to the next heartbeat carries what is over
SENDER_THREADS = 3

SendCommand = Callable[[str, bytes], bytes | None]  # address and body; the worker's heartbeat, or no answer


class StopCommands(LeaderListener):
    """The machines to which stop commands have to be sent. `step` runs in several threads."""

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

    @property
    def pending(self) -> bool:
        """Whether any machine waits for a command."""
        return not self._machines.empty()

    def on_stop_requested(self, machine: int) -> None:
        """See `LeaderListener`."""
        try:
            self._machines.put_nowait(machine)
        except queue.Full:
            pass  # the response to the machine's next heartbeat carries the command as well

    def step(self) -> float:
        """Send the next machine its stop commands."""
        index = self._machines.get()
        record = self._membership.record
        # A controller that may not lead any more has nothing to stop, since the fencing token is another
        # leader's. Except for tasks of cancelled jobs: a cancellation is final on any view.
        leads = record.version == self._scheduler.term and self._is_verified_leader()
        found = self._scheduler.stop_commands_for(index, cancelled_alone=not leads)
        if found is None:
            return 0.0
        address, epoch, commands = found
        body = self.send(address, workers.encode_stop_commands(record.fencing_token, epoch, commands))
        if body is not None:
            # The worker's state as of now. It settles no response that is still on its way, so `after`,
            # which closes placements that have not started, is not claimed.
            self._scheduler.on_heartbeat(workers.parse_heartbeat(body), asked=True)
            self._signals.round.set()
        return 0.0
