"""Late copies of messages that carry or bring forth starts; the simulated cluster checks the rules.

They guard against a failure seen on another service: a late copy of a start, carried out and answered
before, ran a task on two machines at once, and ran a cancelled task again, after a controller or machine had
come back within a second.
"""

import itertools
from typing import Any

import pytest
from cluster_helpers import clear_faults, kill_controller, leader_of, recover_and_check
from fakes.cluster import Cluster
from fakes.late_copies import LateCopies
from fakes.scenarios import run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker
from test_random_concurrent_faults import EAGER_MIGRATION

from bayford.clock import NEVER
from bayford.scheduling.policy import Policy

RETURNS_S = (0.0, 0.2, 0.9)  # how long a process or machine is away
LONG_RUN_S = 500.0


class BusyCluster:
    """A cluster under random requests and short absences, drawn from a seed, with copies of its messages."""

    def __init__(self, seed: int, policy: Policy | None) -> None:
        self.cluster = Cluster(3, seed=seed, policy=policy)
        for n in range(4):
            self.cluster.machine(zone="north" if n % 2 else "south", spot=n % 3 > 0)
        run_for(self.cluster, 2.0)
        self.copies = self.cluster.late_copies = LateCopies(self.cluster, share=0.5)
        self._numbers = itertools.count(1)

    def play(self, steps: int) -> None:
        """Play this many steps of half a second to two seconds."""
        for _ in range(steps):
            self._submit()
            self._cancel()
            self._end_tasks()
            self._return_controller()
            self._return_machine()
            self._lose_connections()
            self._delay_writes()
            run_for(self.cluster, self.cluster.rng.choice([0.5, 0.5, 1.0, 2.0]))

    def _submit(self) -> None:
        """Submit normal work, which fills the machines, and urgent work, which preempts it."""
        cluster, rng = self.cluster, self.cluster.rng
        for _ in range(rng.choice([0, 0, 1, 2])):
            fields: dict[str, Any] = {
                "parts": rng.choice([1, 1, 2, 8]),
                "crew": rng.choice(["red", "blue"]),
                "rank": rng.choice(["idle", "normal", "urgent"]),
                "guess_s": rng.choice([1.0, LONG_RUN_S]),
                "bookmark_s": rng.choice([0.0, 5.0]),
                "together": rng.random() < 0.1,
            }
            node = rng.choice(sorted(cluster.nodes))
            cluster.submit(node, cluster.job(next(self._numbers), **fields))

    def _cancel(self) -> None:
        cluster, rng = self.cluster, self.cluster.rng
        if cluster.accepted and rng.random() < 0.4:
            cluster.cancel(rng.choice(sorted(cluster.nodes)), rng.choice(sorted(cluster.accepted)))

    def _end_tasks(self) -> None:
        for task_id in running_tasks(self.cluster):
            if self.cluster.rng.random() < 0.1:
                self.cluster.finish(task_id)

    def _return_controller(self) -> None:
        """End a controller, mostly the leader, which is back within a second with empty memory."""
        cluster, rng = self.cluster, self.cluster.rng
        if rng.random() < 0.15:
            name = cluster.leader() if rng.random() < 0.7 else None
            name = name or rng.choice(sorted(cluster.nodes))
            kill_controller(cluster, name)
            cluster.pass_time(rng.choice(RETURNS_S))
            cluster.boot(name)

    def _return_machine(self) -> None:
        """Let a machine be away for a moment; it is back in the same epoch, the next, or as a new worker."""
        cluster, rng = self.cluster, self.cluster.rng
        if cluster.workers and rng.random() < 0.3:
            worker = cluster.workers[rng.choice(sorted(cluster.workers))]
            worker.hung = True
            run_for(cluster, rng.choice([0.0, 0.5]))
            worker.hung = False
            rng.choice([lambda: None, worker.begin_next_epoch, worker.begin_anew])()

    def _lose_connections(self) -> None:
        """Sometimes cut the leader's connections to a machine, so that a relay answers it."""
        cluster, rng = self.cluster, self.cluster.rng
        if rng.random() < 0.1 and cluster.workers:
            name = rng.choice(sorted(cluster.workers))
            cluster.network_cuts.add((name, cluster.leader() or "n0"))
        elif rng.random() < 0.2:
            cluster.network_cuts.clear()

    def _delay_writes(self) -> None:
        """Sometimes have the leader's transactions carried out late and unanswered."""
        cluster, rng = self.cluster, self.cluster.rng
        if rng.random() < 0.15:
            cluster.store.write_delay_s[cluster.leader() or "n0"] = rng.uniform(2.0, 12.0)
        elif rng.random() < 0.3:
            cluster.store.write_delay_s.clear()


@pytest.mark.parametrize(
    ("seed", "policy"), [(s, None) for s in range(16)] + [(s, EAGER_MIGRATION) for s in range(16, 24)]
)
def test_late_copies_of_all_messages_start_nothing(seed: int, policy: Policy | None) -> None:
    busy = BusyCluster(seed, policy)
    busy.play(60)
    clear_faults(busy.cluster)
    recover_and_check(busy.cluster, 200.0)
    copies = busy.copies
    assert min(copies.heartbeats, copies.commands, copies.writes) > 0
    assert copies.starts == [], "no worker waits for the response to a copy"


def started_worker() -> tuple[Cluster, FakeWorker]:
    """A cluster with one machine that runs the first of two tasks of job 1."""
    cluster = started_cluster(machines=1, nodes=3)
    cluster.cloud.capacity = 0
    cluster.submit("n0", cluster.job(1, parts=1, guess_s=LONG_RUN_S))
    run_for(cluster, 4.0)
    assert running_tasks(cluster) == ["req-000001/0"]
    return cluster, cluster.first_worker()


# Guards against a machine that is answered, but whose heartbeats count for nothing until their sequence
# number exceeds that of the worker before. It is replaced: what had been placed there runs elsewhere, once.
@pytest.mark.parametrize("is_cancelled", [False, True], ids=["running", "cancelled"])
def test_the_tasks_of_a_machine_that_is_back_at_once_as_a_new_worker_run_again(is_cancelled: bool) -> None:
    cluster, worker = started_worker()
    run_for(cluster, 60.0)
    old = [heartbeat for heartbeat in cluster.sent_heartbeats if heartbeat.machine == worker.name]
    worker.begin_anew()
    cluster.submit("n0", cluster.job(2, parts=1, guess_s=LONG_RUN_S))
    if is_cancelled:
        assert cluster.cancel("n0", "req-000001") == "aborted"
    expected = ["req-000002/0"] if is_cancelled else ["req-000001/0", "req-000002/0"]
    for copy in old[-10:]:
        cluster.replay(copy, cluster.rng.choice(sorted(cluster.nodes)))
        run_for(cluster, 1.0)
    assert running_tasks(cluster) == expected
    assert cluster.cloud.deleted == [worker.name]


# Guards against machines that never get a start, because there are more of them than connections are allowed,
# so that each connection is closed after its first response.
@pytest.mark.parametrize("is_relayed", [False, True], ids=["leader", "relay"])
def test_a_machine_whose_connection_is_closed_after_each_response_gets_starts(is_relayed: bool) -> None:
    cluster = Cluster(3)
    cluster.closes_connections = True
    for _ in range(3):
        cluster.machine()
    run_for(cluster, 4.0)
    if is_relayed:
        cluster.network_cuts.add((cluster.first_worker().name, cluster.require_leader()))
        run_for(cluster, 6.0, cloud=False)
    cluster.submit("n0", cluster.job(1, parts=12, crew="blue", guess_s=LONG_RUN_S))
    run_for(cluster, 8.0, cloud=False)
    assert len(running_tasks(cluster)) == 12


# Guards against starts in the response to a copy of a heartbeat, one for each time that it came.
@pytest.mark.parametrize("is_new_leader", [False, True], ids=["same leader", "new leader"])
def test_the_response_to_a_copy_of_a_heartbeat_holds_no_start(is_new_leader: bool) -> None:
    cluster, worker = started_worker()
    old = [heartbeat for heartbeat in cluster.sent_heartbeats if heartbeat.machine == worker.name]
    worker.cannot_send = True
    cluster.submit("n0", cluster.job(2, parts=1))
    run_for(cluster, 1.5)
    if is_new_leader:
        kill_controller(cluster, cluster.require_leader())
        run_for(cluster, 10.0, heartbeats=False, cloud=False)
    assert any(
        placement.durable for placement in leader_of(cluster).scheduler.state.jobs["req-000002"].open.values()
    )
    for heartbeat in old[-10:]:
        reply = leader_of(cluster).heartbeat(heartbeat, NEVER)
        assert reply.status == 200 and b'"start"' not in reply.body
    worker.cannot_send = False
    run_for(cluster, 4.0)
    assert "req-000002/0" in running_tasks(cluster), "the worker itself gets the start"
