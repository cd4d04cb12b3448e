"""The owner's engine: all decisions over its jobs and machines, in memory, without I/O.

Everything runs under one short lock. Threads in `controller` carry the results out: the group commit writes
what `take_batch` hands over, the cloud threads do what `fleet_step` asks, and answers to reports carry what
`orders_for` lists. The safety argument is in docs/architecture.md; the rules that it rests on are stated
where the code keeps them.

It is built in four steps, each on the one before: `owner_state` (records and versions), `worker_reports`,
`scheduling_round` (placement, preemption, the balancer), `autoscaler` (machines).
"""

from bayford.coordination.autoscaler import Autoscaler


class Engine(Autoscaler):
    """All jobs and machines of this controller while it owns them."""
