"""Random faults and user requests in an order drawn from a seed; the simulated cluster checks every rule."""

import pytest
from fakes.cluster import Cluster
from fakes.scenarios import running_tasks

MAX_JOBS = 30
EVENTS = 400


class RandomFaults:
    """Plays a sequence of random events on a simulated cluster.

    An event is a number between 0 and 1. Each of the methods below handles one range of numbers and
    returns whether it handled the event. An event whose condition does not hold goes to the next branch.
    """

    def __init__(self, seed: int, upgrade: bool) -> None:
        """With `upgrade`, all controllers start with the old release and a third of the jobs are services."""
        self.upgrade = upgrade
        self.cluster = Cluster(
            3,
            seed=seed,
            value_kb=1.0,
            next_limits="value_kb = 0.45\ntxn_ops = 3" if upgrade else "",
            old_release=["n0", "n1", "n2"] if upgrade else [],
        )
        for n in range(6):
            self.cluster.machine("small", "north" if n % 2 else "south", spot=n % 3 > 0)
        self.rng = self.cluster.rng
        self.jobs = 0
        self.services: list[str] = []

    def play(self) -> None:
        for step in range(EVENTS):
            event = self.rng.random()
            if self.upgrade:
                self.upgrade_step(step)
            names = list(self.cluster.nodes)
            node = self.rng.choice(names)
            if not (
                self.request(event, node)
                or self.store_fault(event, node)
                or self.network_or_cloud_fault(event, node)
                or self.task_or_worker_event(event, node)
                or self.controller_fault(event, node, names)
                or self.mass_outage_or_query(event, node, names)
            ):
                self.cluster.step(self.rng.choice([0.2, 0.5, 1.0, 3.0]))
                for worker in list(self.cluster.workers.values()):
                    if self.rng.random() < 0.3:
                        self.cluster.heartbeat_to_any(worker)
            self.cluster.check()

    def upgrade_step(self, step: int) -> None:
        """Restarts the controllers one by one with the new release, then lowers the store's limits."""
        cluster = self.cluster
        if step in (60, 110, 170):
            cluster.old_release.discard(f"n{step % 3}" if step != 170 else min(cluster.old_release))
            for name in cluster.nodes:
                if name not in cluster.old_release and cluster.nodes[name].release == 1:
                    cluster.boot(name)
        if step == 230:
            assert not cluster.old_release
            cluster.store.value_bytes, cluster.store.txn_ops = 460, 3

    def request(self, event: float, node: str) -> bool:
        if event < 0.10 and self.jobs < MAX_JOBS:
            self.jobs += 1
            self.cluster.submit(node, self.submission())
        elif event < 0.14 and self.cluster.accepted:
            self.cluster.cancel(node, self.rng.choice(sorted(self.cluster.accepted)))
        else:
            return False
        return True

    def submission(self) -> bytes:
        rng = self.rng
        body = self.cluster.job(
            self.jobs,
            parts=rng.randint(1, 6),
            crew=rng.choice(["red", "blue"]),
            rank=rng.choice(["idle", "normal", "urgent"]),
            together=rng.random() < 0.2,
            loaners=rng.random() < 0.8,
        )
        if not self.upgrade or self.jobs % 3 != 0:
            return body
        self.services.append(f"req-{self.jobs:06d}")
        return self.cluster.service(
            self.jobs,
            parts=rng.randint(1, 3),
            crew=rng.choice(["red", "blue"]),
            rank=rng.choice(["normal", "critical"]),
            loaners=rng.random() < 0.5,
            apart=rng.random() < 0.2,
        )

    def store_fault(self, event: float, node: str) -> bool:
        store = self.cluster.store
        if event < 0.20:
            self.cluster.boot(node)
        elif event < 0.24:
            store.loses_next_response_to.add(node)
        elif event < 0.28:
            store.delays_next_write_of.add(node)
        elif event < 0.32:
            store.execute_delayed_writes()
        elif event < 0.34:
            store.down = not store.down
        elif event < 0.37:
            store.unavailable_to ^= {node}
        else:
            return False
        return True

    def network_or_cloud_fault(self, event: float, node: str) -> bool:
        cloud = self.cluster.cloud
        if event < 0.42 and self.cluster.workers:
            self.cluster.network_cuts ^= {(self.rng.choice(sorted(self.cluster.workers)), node)}
        elif event < 0.44:
            cloud.deletes_lost = not cloud.deletes_lost
        elif event < 0.46 and cloud.late_deletes:
            cloud.execute_delete(cloud.late_deletes.pop())
        else:
            return False
        return True

    def task_or_worker_event(self, event: float, node: str) -> bool:
        cluster, rng = self.cluster, self.rng
        if event < 0.60:
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
        else:
            return False
        return True

    def controller_fault(self, event: float, node: str, names: list[str]) -> bool:
        cluster, rng = self.cluster, self.rng
        if event < 0.75:
            cluster.cloud_step(node)
        elif event < 0.77 and cluster.sent_heartbeats:
            cluster.replay(rng.choice(cluster.sent_heartbeats), node)
        elif event < 0.78:
            cluster.store.unreachable_from ^= {node}
            cluster.mesh_cuts ^= {node}
        elif event < 0.79:
            cluster.boot(node)  # restarted again at the same time, perhaps during an election
            cluster.boot(rng.choice(names))
        elif event < 0.80:
            cluster.paused ^= {node}
        else:
            return False
        return True

    def mass_outage_or_query(self, event: float, node: str, names: list[str]) -> bool:
        cluster, rng = self.cluster, self.rng
        if event < 0.81 and cluster.workers:
            # Half of the workers become silent together; or a quarter is removed and all network cuts end.
            sampled = rng.sample(sorted(cluster.workers), (len(cluster.workers) + 1) // 2)
            if rng.random() < 0.5:
                cluster.network_cuts |= {(name, other) for name in sampled for other in names}
            else:
                for name in sampled[: len(sampled) // 2]:
                    cluster.workers.pop(name)
                cluster.network_cuts.clear()
        elif event < 0.83 and cluster.accepted:
            cluster.query(node, rng.choice(sorted(cluster.accepted)))
        else:
            return False
        return True

    def end_faults(self) -> None:
        cluster = self.cluster
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

    def run_until_tasks_end(self) -> None:
        """Runs long enough for all tasks to end, except those of services."""
        cluster = self.cluster
        for _ in range(250):
            cluster.step(1.0)
            for name in list(cluster.nodes):
                cluster.cloud_step(name)
            for task_id in running_tasks(cluster):
                if task_id.split("/")[0] not in self.services:
                    cluster.finish(task_id)


@pytest.mark.parametrize(("seed", "upgrade"), [(s, False) for s in range(6)] + [(s, True) for s in range(8)])
def test_random_faults_break_no_rule(seed: int, upgrade: bool) -> None:
    """Crashes, network cuts, lost responses, outages and user requests in an order drawn from the seed."""
    faults = RandomFaults(seed, upgrade)
    cluster = faults.cluster
    faults.play()
    faults.end_faults()
    for _ in range(10):
        cluster.step(1.0)
    for name in cluster.nodes:
        for job_id in sorted(cluster.accepted):
            assert cluster.query(name, job_id) is not None, (
                f"{job_id} has no answer 10 s after all faults have ended"
            )
    faults.run_until_tasks_end()
    # A cancellation may have been executed although its user got no response.
    services = [job_id for job_id in faults.services if job_id in cluster.accepted]
    active_services = sorted(job_id for job_id in services if cluster.query("n0", job_id) != "aborted")
    for job_id in sorted(cluster.accepted - {*active_services}):
        assert cluster.query("n0", job_id) in ("done", "aborted"), f"{job_id} never ended"
    # Services that are not cancelled run as many replicas as their teams' limits of 8 and 16 CPUs
    # allow, never more, and no replica twice.
    used = {
        team: sum(
            cluster.specs[job_id].tasks for job_id in active_services if cluster.specs[job_id].team == team
        )
        for team in ("red", "blue")
    }
    replicas = [task_id for task_id in running_tasks(cluster) if task_id.split("/")[0] in active_services]
    assert len(replicas) == len(set(replicas)) == min(8, used["red"]) + min(16, used["blue"]), (
        f"{replicas} of {active_services}"
    )
    for job_id in active_services:
        assert cluster.cancel("n0", job_id) == "aborted"
    for _ in range(10):
        cluster.step(1.0)
    assert not running_tasks(cluster)
