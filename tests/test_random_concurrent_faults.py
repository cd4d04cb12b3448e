"""Two or three faults at the same time, drawn from a seed; the simulated cluster checks the rules."""

from typing import Any

import pytest
from cluster_helpers import clear_faults, kill_controller, recover_and_check
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks

from bayford.scheduling.policy import Policy

# Faults are drawn by their position, so another order changes which faults a seed produces.
STORE_FAULTS = ("refused", "outage", "gap", "unanswered", "lagging", "blind")
CONTROLLER_FAULTS = ("isolated", "peers", "ends", "all end", "frozen")
WORKER_FAULTS = ("cut", "copies", "slow", "unresponsive", "cannot_send", "hung")
FAULTS = STORE_FAULTS + CONTROLLER_FAULTS + WORKER_FAULTS


def begin_fault(cluster: Cluster, fault: str) -> None:
    """Starts one fault on machines and controllers drawn from the cluster's seed."""
    rng = cluster.rng
    node = rng.choice(sorted(cluster.nodes))
    leader = cluster.leader() or node
    affected = rng.sample(sorted(cluster.workers), min(2, len(cluster.workers)))
    if fault in STORE_FAULTS:
        begin_store_fault(cluster, fault, leader, node)
    elif fault in CONTROLLER_FAULTS:
        begin_controller_fault(cluster, fault, leader, node)
    else:
        begin_worker_fault(cluster, fault, leader, affected)


def begin_store_fault(cluster: Cluster, fault: str, leader: str, node: str) -> None:
    """Makes the key-value store fail for the leader, for `node`, or for all controllers."""
    rng = cluster.rng
    if fault == "refused":
        cluster.store.unavailable_to.add(leader)
    elif fault == "outage":
        cluster.store.down = True
    elif fault == "gap":
        names = sorted(cluster.nodes)
        cluster.store.unavailable_to.add(leader)
        run_for(cluster, rng.choice([0.5, 1.5, 2.5]))
        for job_id in sorted(cluster.accepted)[-3:]:
            cluster.cancel(rng.choice([n for n in names if n != leader] or names), job_id)
        cluster.store.down = True
    elif fault == "unanswered":
        cluster.store.loses_responses_to.add(rng.choice([leader, node]))
    elif fault == "lagging":
        cluster.store.write_delay_s[rng.choice([leader, node])] = rng.uniform(2.0, 12.0)
    else:
        cluster.store.reads_unanswered_for.add(leader)


def begin_controller_fault(cluster: Cluster, fault: str, leader: str, node: str) -> None:
    """Isolates, kills or pauses a controller, or kills all controllers."""
    rng = cluster.rng
    if fault == "isolated":
        cluster.store.unreachable_from.add(leader)
        cluster.mesh_cuts.add(leader)
    elif fault == "peers":
        cluster.mesh_cuts.add(node)
    elif fault == "ends":
        kill_controller(cluster, leader)
        if rng.random() < 0.5 or not cluster.nodes:
            cluster.boot(leader)  # restarted at once
    elif fault == "all end":
        for name in sorted(cluster.nodes):
            kill_controller(cluster, name)
        cluster.pass_time(rng.choice([0.0, 1.0, 16.0]))
        cluster.boot(node)
    else:
        cluster.paused.add(leader)


def begin_worker_fault(cluster: Cluster, fault: str, leader: str, affected: list[str]) -> None:
    """Drops, delays or repeats heartbeats, or makes the affected workers fail."""
    rng = cluster.rng
    if fault == "cut":
        cluster.network_cuts |= {
            (name, other)
            for name in affected
            for other in (cluster.names if rng.random() < 0.5 else [leader])
        }
    elif fault == "copies":
        for heartbeat in rng.sample(cluster.sent_heartbeats, min(20, len(cluster.sent_heartbeats))):
            cluster.replay(heartbeat, rng.choice(sorted(cluster.nodes)))
    elif fault == "slow":
        cluster.response_delay_s = rng.uniform(0.5, 3.5)
    else:
        for name in affected:
            setattr(cluster.workers[name], fault, True)


EAGER_MIGRATION = Policy(  # migrates every task that may be migrated, as early as possible
    hold_s=0.0,
    hold_idle_s=0.0,
    spread=True,
    spread_rest_s=1.0,
    spread_every_s=0.5,
    spread_threshold=1.0,
    spread_restarts_default=2,
    spread_lossy=("sweep",),
    extra_classes=("sweep",),
    balance_share=1.0,
)


@pytest.mark.parametrize(
    ("seed", "policy"), [(s, None) for s in range(24)] + [(s, EAGER_MIGRATION) for s in range(24, 24 + 12)]
)
def test_random_concurrent_faults(seed: int, policy: Policy | None) -> None:
    cluster = Cluster(3, seed=seed, policy=policy)
    for n in range(5):
        cluster.machine(zone="north" if n % 2 else "south", spot=n % 3 > 0)
    run_for(cluster, 2.0)
    rng = cluster.rng
    number = 0
    fields: dict[int, dict[str, Any]] = {}
    for _ in range(4):
        faults = rng.sample(FAULTS, rng.choice([2, 3]))
        for step in range(24):
            if step in (4, 8, 12) and faults:
                begin_fault(cluster, faults.pop())
            for _ in range(rng.choice([0, 0, 1, 2])):
                number += 1
                fields[number] = {
                    "parts": rng.choice([1, 1, 2, 3, 8]),
                    "crew": rng.choice(["red", "blue"]),
                    "rank": rng.choice(["idle", "normal", "urgent"]),
                    "guess_s": rng.choice([5.0, 500.0]),
                    "yard": rng.choice([None, None, "south"]),
                    "together": rng.random() < 0.1,
                }
                cluster.submit(rng.choice(sorted(cluster.nodes)), cluster.job(number, **fields[number]))
            known = sorted(cluster.accepted)
            if known and rng.random() < 0.4:
                cluster.cancel(rng.choice(sorted(cluster.nodes)), rng.choice(known))
            if known and rng.random() < 0.4:
                queried = int(rng.choice(known)[4:])
                cluster.query_everywhere(queried, **fields[queried])
            for task_id in running_tasks(cluster):
                if rng.random() < 0.05:
                    cluster.finish(task_id)
            run_for(cluster, rng.choice([0.5, 1.0, 2.0]))
        clear_faults(cluster)
    recover_and_check(cluster, 200.0)


# Guards against heartbeats and responses of over 64 KiB under faults: starts that were sent in vain, ended
# tasks that can't be reaped, machines that change between the leader and a relay.
@pytest.mark.parametrize(
    ("seed", "policy"), [(s, None) for s in range(10)] + [(s, EAGER_MIGRATION) for s in (8, 9)]
)
def test_random_concurrent_faults_on_machines_full_of_small_tasks(seed: int, policy: Policy | None) -> None:
    cluster = Cluster(3, seed=seed, policy=policy)
    for n in range(3):
        cluster.machine(zone="north" if n % 2 else "south")
    run_for(cluster, 2.0)
    rng = cluster.rng
    machines = dict(cluster.workers)
    for number in range(8):
        job = cluster.job(
            number,
            parts=rng.choice([100, 400, 900]),
            cpus=0.001,
            mem_gb=0.0,
            crew=rng.choice(["red", "blue"]),
            rank=rng.choice(["idle", "normal", "urgent"]),
            guess_s=500.0,
            together=rng.random() < 0.2,
        )
        cluster.submit(rng.choice(sorted(cluster.nodes)), job)
        begin_fault(cluster, rng.choice(FAULTS))
        for _ in range(6):
            for task_id in running_tasks(cluster):
                if rng.random() < 0.2:
                    cluster.finish(task_id)
            run_for(cluster, rng.choice([0.5, 1.0, 2.0]))
            machines |= cluster.workers
        if cluster.accepted and rng.random() < 0.3:
            cluster.cancel(rng.choice(sorted(cluster.nodes)), rng.choice(sorted(cluster.accepted)))
        clear_faults(cluster)
        run_for(cluster, 3.0)
    recover_and_check(cluster, 150.0)
    machines |= cluster.workers
    assert max(worker.longest_report for worker in machines.values()) > 32 * 1024, "some machine was full"
    assert not any(worker.refused_reports for worker in machines.values())
