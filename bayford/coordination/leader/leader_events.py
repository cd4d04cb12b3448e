"""What the parts of a controller learn of changes of the leader's state.

`LeaderState` publishes each change to all subscribed listeners. Every method is called under the lock of the
state: a listener has to be short, do no I/O and take no lock that is ever held while the state is called.
"""

from collections.abc import Sequence

from bayford.coordination.leader.commit_batch import Migration
from bayford.scheduling.model import JobSpec, Placement


class LeaderListener:
    """A subscriber to the leader's state. Each method does nothing unless it is overridden."""

    def on_leadership_acquired(self) -> None:
        """A leadership term has begun; all jobs and machines have been rebuilt."""

    def on_job_accepted(self, spec: JobSpec) -> None:
        """A job that was not known before is now served."""

    def on_task_placed(self, placement: Placement) -> None:
        """A task has been put on a machine; the placement is not durable yet."""

    def on_task_done(self, placement: Placement) -> None:
        """A task has completed; its end is not durable yet."""

    def on_commands_ready(self, machine: int) -> None:
        """There may be commands for a machine whose heartbeat is being held."""

    def on_stop_requested(self, machine: int) -> None:
        """A task on the machine is to be stopped."""

    def on_machine_deleted(self, machine: int) -> None:
        """The cloud has confirmed that the machine is gone."""

    def on_migrations_counted(self, migrations: Sequence[Migration]) -> None:
        """The restart counts of these migrations are durable: they may begin."""


class LeaderEvents(LeaderListener):
    """Passes every event on to all subscribers, in the order in which they subscribed."""

    def __init__(self) -> None:
        self._listeners: list[LeaderListener] = []

    def subscribe(self, listener: LeaderListener) -> None:
        """Add a listener. Called while the controller is put together, before its threads start."""
        self._listeners.append(listener)

    def on_leadership_acquired(self) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_leadership_acquired()

    def on_job_accepted(self, spec: JobSpec) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_job_accepted(spec)

    def on_task_placed(self, placement: Placement) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_task_placed(placement)

    def on_task_done(self, placement: Placement) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_task_done(placement)

    def on_commands_ready(self, machine: int) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_commands_ready(machine)

    def on_stop_requested(self, machine: int) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_stop_requested(machine)

    def on_machine_deleted(self, machine: int) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_machine_deleted(machine)

    def on_migrations_counted(self, migrations: Sequence[Migration]) -> None:
        """See `LeaderListener`."""
        for listener in self._listeners:
            listener.on_migrations_counted(migrations)
