"""Random faults and user requests in a seeded order; the cluster checks every rule."""

import pytest
from fakes.cluster import Cluster
from fakes.scenarios import running_tasks


@pytest.mark.parametrize(("seed", "upgrade"), [(s, False) for s in range(6)] + [(s, True) for s in range(8)])
def test_random_faults_break_no_rule(seed: int, upgrade: bool) -> None:  # noqa: C901 (a list of events)
    """Crashes, cuts, lost responses, outages and users in a seeded order; the cluster checks every rule.

    With `upgrade`, all controllers are old at first, each comes back new at some moment, the limits fall
    after that, and a third of the jobs are services.
    """
    next_limits = "value_kb = 0.45\ntxn_ops = 3" if upgrade else ""
    cluster = Cluster(
        3, seed=seed, value_kb=1.0, next_limits=next_limits, old_release=["n0", "n1", "n2"] if upgrade else []
    )
    for n in range(6):
        cluster.machine("small", "north" if n % 2 else "south", spot=n % 3 > 0)
    rng = cluster.rng
    number = 0
    services: list[str] = []
    for step in range(400):
        event = rng.random()
        if upgrade and step in (60, 110, 170):
            cluster.old_release.discard(f"n{step % 3}" if step != 170 else sorted(cluster.old_release)[0])
            for name in cluster.nodes:
                if name not in cluster.old_release and cluster.nodes[name].release == 1:
                    cluster.boot(name)
        if upgrade and step == 230:
            assert not cluster.old_release
            cluster.store.value_bytes, cluster.store.txn_ops = 460, 3
        names = list(cluster.nodes)
        node = rng.choice(names)
        if event < 0.10 and number < 30:
            number += 1
            body = cluster.job(
                number,
                parts=rng.randint(1, 6),
                crew=rng.choice(["red", "blue"]),
                rank=rng.choice(["idle", "normal", "urgent"]),
                together=rng.random() < 0.2,
                loaners=rng.random() < 0.8,
            )
            if upgrade and number % 3 == 0:
                body = cluster.service(
                    number,
                    parts=rng.randint(1, 3),
                    crew=rng.choice(["red", "blue"]),
                    rank=rng.choice(["normal", "critical"]),
                    loaners=rng.random() < 0.5,
                    apart=rng.random() < 0.2,
                )
                services.append(f"req-{number:06d}")
            cluster.submit(node, body)
        elif event < 0.14 and cluster.accepted:
            cluster.cancel(node, rng.choice(sorted(cluster.accepted)))
        elif event < 0.20:
            cluster.boot(node)
        elif event < 0.24:
            cluster.store.loses_next_response_to.add(node)
        elif event < 0.28:
            cluster.store.delays_next_write_of.add(node)
        elif event < 0.32:
            cluster.store.execute_delayed_writes()
        elif event < 0.34:
            cluster.store.down = not cluster.store.down
        elif event < 0.37:
            cluster.store.unavailable_to ^= {node}
        elif event < 0.42 and cluster.workers:
            cluster.network_cuts ^= {(rng.choice(sorted(cluster.workers)), node)}
        elif event < 0.44:
            cluster.cloud.deletes_lost = not cluster.cloud.deletes_lost
        elif event < 0.46 and cluster.cloud.late_deletes:
            cluster.cloud.execute_delete(cluster.cloud.late_deletes.pop())
        elif event < 0.60:
            running = running_tasks(cluster)
            if running:
                cluster.finish(rng.choice(running))
        elif event < 0.70 and cluster.workers:
            worker = cluster.workers[rng.choice(sorted(cluster.workers))]
            worker.check_lease()
            cluster.heartbeat(worker, node)
        elif event < 0.72 and cluster.workers:
            worker = cluster.workers[rng.choice(sorted(cluster.workers))]
            worker.unresponsive = not worker.unresponsive and rng.random() < 0.3
        elif event < 0.75:
            cluster.cloud_step(node)
        elif event < 0.77 and cluster.sent_heartbeats:
            cluster.replay(rng.choice(cluster.sent_heartbeats), node)
        elif event < 0.78:
            cluster.store.unreachable_from ^= {node}
            cluster.mesh_cuts ^= {node}
        elif event < 0.79:
            cluster.boot(node)  # and again within the same instant, perhaps amid an election
            cluster.boot(rng.choice(names))
        elif event < 0.80:
            cluster.paused ^= {node}
        elif event < 0.81 and cluster.workers:
            # Many at once: they fall silent together, and come back together or not at all.
            many = rng.sample(sorted(cluster.workers), (len(cluster.workers) + 1) // 2)
            if rng.random() < 0.5:
                cluster.network_cuts |= {(name, other) for name in many for other in names}
            else:
                for name in many[: len(many) // 2]:
                    cluster.workers.pop(name)
                cluster.network_cuts.clear()
        elif event < 0.83 and cluster.accepted:
            cluster.query(node, rng.choice(sorted(cluster.accepted)))
        else:
            cluster.step(rng.choice([0.2, 0.5, 1.0, 3.0]))
            for worker in list(cluster.workers.values()):
                if rng.random() < 0.3:
                    cluster.heartbeat_to_any(worker)
        cluster.check()
    cluster.store.down = False
    cluster.store.unreachable_from.clear()
    cluster.mesh_cuts.clear()
    cluster.paused.clear()
    for worker in cluster.workers.values():
        worker.unresponsive = False
    cluster.store.unavailable_to.clear()
    cluster.store.execute_delayed_writes()
    cluster.network_cuts.clear()
    cluster.cloud.deletes_lost = False
    for _ in range(10):
        cluster.step(1.0)
    for name in cluster.nodes:
        for job_id in sorted(cluster.accepted):
            assert cluster.query(name, job_id) is not None, (
                f"{job_id} is not answered 10 s after all troubles"
            )
    for _ in range(250):
        cluster.step(1.0)
        for name in list(cluster.nodes):
            cluster.cloud_step(name)
        for task_id in running_tasks(cluster):
            if task_id.split("/")[0] not in services:
                cluster.finish(task_id)
    # A cancellation may have been executed although its user got no response.
    standing = sorted(j for j in services if j in cluster.accepted and cluster.query("n0", j) != "aborted")
    for job_id in sorted(cluster.accepted - {*standing}):
        assert cluster.query("n0", job_id) in ("done", "aborted"), f"{job_id} never ended"
    # Services that stand get what its teams' limits of 8 and 16 CPUs allow, and never more or twice.
    used = {
        team: sum(cluster.specs[j].tasks for j in standing if cluster.specs[j].team == team)
        for team in ("red", "blue")
    }
    replicas = [p for p in running_tasks(cluster) if p.split("/")[0] in standing]
    assert len(replicas) == len(set(replicas)) == min(8, used["red"]) + min(16, used["blue"]), (
        f"{replicas} of {standing}"
    )
    for job_id in standing:
        assert cluster.cancel("n0", job_id) == "aborted"
    for _ in range(10):
        cluster.step(1.0)
    assert not running_tasks(cluster)
