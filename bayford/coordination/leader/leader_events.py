"""Events that notify other components of a controller of changes to the leader's state.

`LeaderState` publishes each event to all subscribed listeners while its lock is held. A listener must return
quickly, do no I/O, and take no lock that any thread holds while it calls the state.
"""

from collections.abc import Sequence

from bayford.coordination.leader.commit_batch import Migration
from bayford.scheduling.model import JobSpec, Placement


class LeaderListener:
    """Base class of subscribers to the leader's state. Each method does nothing unless overridden."""

    def on_leadership_acquired(self) -> None:
        """Called when a leadership term has begun and all jobs and machines have been rebuilt."""

    def on_job_accepted(self, spec: JobSpec) -> None:
        """Called when a new job has been accepted."""

    def on_task_placed(self, placement: Placement) -> None:
        """Called when a task has been placed on a machine. The placement is not durable yet."""

    def on_task_done(self, placement: Placement) -> None:
        """Called when a task has completed. Its completion is not durable yet."""

    def on_commands_ready(self, machine: int) -> None:
        """Called when there may be commands for a machine whose heartbeat is being held."""

    def on_stop_requested(self, machine: int) -> None:
        """Called when the stop of a task on the machine has been requested."""

    def on_machine_deleted(self, machine: int) -> None:
        """Called when the cloud has confirmed the deletion of the machine."""

    def on_migrations_counted(self, migrations: Sequence[Migration]) -> None:
        """Called when the restart counts of these migrations are durable, so that they may start."""


class LeaderEvents(LeaderListener):
    """Forwards every event to all listeners, in the order of their subscription."""

    def __init__(self) -> None:
        self._listeners: list[LeaderListener] = []

    def subscribe(self, listener: LeaderListener) -> None:
        """Add a listener. Must be called before the controller's threads start."""
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
