"""Tests with 4,000 machines: start, failover, loss of 500 machines, and the rate and connection limits."""

import collections
import itertools
import random
import socket
import threading
import time

import orjson
from fakes.cluster import Cluster
from fakes.worker import Attempt

from bayford.config import Settings
from bayford.coordination.leader.cloud_operations import LEADER_SHARE, LIST_SHARE, CloudOperations
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.scaling_actions import Deletion, LaunchRequest, ScalingActions
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.workers.relayed_heartbeats import RelayedHeartbeats
from bayford.protocol import workers
from bayford.protocol.cloud_api import MACHINES_PER_PAGE, CloudBusyError, ListedMachine, MachinePage
from bayford.scheduling.model import MachineType
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import Row
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_handlers import UserHandler
from bayford.transport.http_server import HttpServer

MACHINES = 4000
CPUS = 4  # per machine
LOST_MACHINES = 500
STEP_S = 0.5
LEASE_S = 12.0  # as in the settings of the simulated cluster
MAX_TRIES, RETRY_DELAY_S = 80, 0.05  # in total well below the idle timeout of a connection of a worker
HEARTBEAT_STEPS = 4  # steps between two heartbeats of a worker: 2 s, as in the settings


def run_with_many_machines(cluster: Cluster, seconds: float, until_running: int | None = None) -> None:
    """Advances the clock in steps of half a second; ends early once `until_running` tasks run.

    In each step a quarter of the workers sends heartbeats, so each worker sends one every 2 s.
    """
    for step in range(int(seconds / STEP_S)):
        cluster.pass_time(STEP_S)
        for n, worker in enumerate(list(cluster.workers.values())):
            if n % HEARTBEAT_STEPS == step % HEARTBEAT_STEPS:
                cluster.heartbeat_to_any(worker)
        for name in list(cluster.nodes):
            cluster.step_controller(name)
        if step % HEARTBEAT_STEPS == 0:
            for name in list(cluster.nodes):
                cluster.cloud_step(name)
            cluster.check()
        if until_running is not None and running_count(cluster) >= until_running:
            return


def running_count(cluster: Cluster) -> int:
    """Returns the number of running tasks."""
    return sum(len(worker.running()) for worker in cluster.workers.values())


def test_start_failover_and_loss_of_500_machines_at_4000_machines() -> None:
    cluster = Cluster(nodes=3, value_kb=8.0)
    cluster.pause_s = 0.0005  # each of 4,000 heartbeats waits for a read of the store; the waits add up here
    cluster.cloud.capacity = 0  # no additional machines, only replacements of deleted ones
    for n in range(MACHINES):
        cluster.machine(zone="north" if n % 2 else "south")
    tasks = MACHINES * CPUS
    for number in range(4):
        body = cluster.job(number + 1, crew="open", parts=tasks // 4, guess_s=5000.0, mem_gb=2.0)
        assert cluster.submit("n0", body) == 201

    run_with_many_machines(cluster, 40.0, until_running=tasks)
    assert running_count(cluster) == tasks, "every CPU is in use"
    first = cluster.leader()
    assert first is not None
    assert len(cluster.nodes[first].scheduler.state.machines) == MACHINES

    before = {worker.name: sorted(worker.running()) for worker in cluster.workers.values()}
    del cluster.nodes[first]
    run_with_many_machines(cluster, 30.0)
    second = cluster.leader()
    assert second not in (None, first)
    assert {worker.name: sorted(worker.running()) for worker in cluster.workers.values()} == before
    assert cluster.cloud.deleted == [], "a failover deletes no machine"

    lost = list(cluster.workers.values())[:: MACHINES // LOST_MACHINES]
    assert len(lost) == LOST_MACHINES
    for worker in lost:
        worker.hung = True
    run_with_many_machines(cluster, 30.0)
    assert set(cluster.cloud.deleted) == {worker.name for worker in lost}
    run_with_many_machines(cluster, 40.0, until_running=tasks)
    task_ids = collections.Counter(
        task_id for worker in cluster.workers.values() for task_id in worker.running()
    )
    assert len(task_ids) == tasks
    assert set(task_ids.values()) == {1}
    assert len(cluster.workers) == MACHINES


class RateLimitedCloud:
    """A cloud with the rate limit of the protocol: 429 above its rate and a burst worth two seconds."""

    def __init__(self, rps: float, count: int) -> None:
        self.now = 0.0
        self.rps = rps
        self.tokens = 2.0 * rps
        self.refilled_at = 0.0
        self.names = [f"vm-{n:06d}" for n in range(count)]
        self.calls: list[tuple[float, str]] = []
        self.busy_count = 0

    def _take_token(self, call: str) -> None:
        self.tokens = min(2.0 * self.rps, self.tokens + (self.now - self.refilled_at) * self.rps)
        self.refilled_at = self.now
        if self.tokens < 1.0:
            self.busy_count += 1
            raise CloudBusyError("429")
        self.tokens -= 1.0
        self.calls.append((self.now, call))

    def catalog(self) -> list[MachineType]:
        return []

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        self._take_token("launch")
        return [f"{request}-{n}" for n in range(count)]

    def delete(self, names: list[str]) -> None:
        self._take_token("delete")

    def list_machines(self, since: str) -> MachinePage:
        self._take_token("list")
        after = [name for name in self.names if name > since]
        page = [
            ListedMachine(name, "", "small", "north", True, "running", 9.0)
            for name in after[:MACHINES_PER_PAGE]
        ]
        return MachinePage(page, len(after) > MACHINES_PER_PAGE)


class AlwaysVerifiedLeader:
    """A leader that is always verified."""

    def is_verified_leader(self) -> bool:
        return True

    def has_no_competing_leader(self) -> bool:
        return False


def leader_with_cloud(cloud: RateLimitedCloud, settings: Settings) -> tuple[Scheduler, CloudOperations]:
    scheduler = Scheduler(settings, Policy(), lambda: cloud.now, lambda: cloud.now, random.Random(1))
    scheduler.set_types([MachineType("small", 4.0, 0.0, 32.0, 0.2, 0.06, 20.0, 0.5, ("north", "south"))])
    scheduler.recover(RecoveredState(term=1, fencing_token=1, as_of=0.0))

    def pause(event: threading.Event, seconds: float) -> None:
        cloud.now += seconds

    operations = CloudOperations(
        cloud, scheduler, AlwaysVerifiedLeader(), cloud.rps, "r-n0", lambda: cloud.now, pause, lambda: None
    )
    return scheduler, operations


def test_listing_4000_machines_keeps_within_the_rate_and_leaves_a_share_for_launches() -> None:
    """Guards against requesting all pages at once.

    That exceeded the cloud's burst limit, so the list was never complete.
    """
    cloud = RateLimitedCloud(rps=3.0, count=MACHINES)
    scheduler, operations = leader_with_cloud(cloud, Cluster().settings("n0"))
    request = LaunchRequest("small", "north", True, 50, "backlog")
    lists = 0
    while cloud.now < 60.0:
        wait_s = operations.list_step()
        next_list = cloud.now + wait_s
        lists += 1
        # In production another thread launches meanwhile, as fast as the rate allows.
        while cloud.now < next_list:
            operations.launch(request)
            cloud.now += 0.05
    assert cloud.busy_count == 0
    assert (
        len([name for name in cloud.names if scheduler.state.machine_names.find(name) is not None])
        == MACHINES
    )
    assert lists >= 4, "the state of each machine is read every 15 s"
    kinds = collections.Counter(kind for _, kind in cloud.calls)
    assert kinds["list"] <= 1.1 * LIST_SHARE * LEADER_SHARE * cloud.rps * cloud.now
    assert kinds["launch"] >= 60, "the rest of the rate is for launches"


def test_more_launches_than_the_queue_holds_do_not_delay_deletions() -> None:
    cloud = RateLimitedCloud(rps=3.0, count=0)
    scheduler, operations = leader_with_cloud(cloud, Cluster().settings("n0"))
    requests = [LaunchRequest("small", "north", True, 50, "backlog")] * 400
    for request in requests:
        scheduler.autoscaler._add_launching(scheduler.autoscaler._pool(request), request.count)
    operations.enqueue(ScalingActions(requests, [Deletion("vm-000001", "idle")]))
    assert operations.delete(["vm-000001"])
    waiting = sum(scheduler.state.launching.values())
    assert MACHINES <= waiting < 400 * 50, (
        "launches that the full queue rejected do not stay counted and are planned again"
    )


def test_a_relay_recognizes_repeated_heartbeats_of_4000_machines() -> None:
    cluster = Cluster(nodes=2)
    relay = cluster.nodes["n1"].relay
    heartbeats = [cluster.machine().heartbeat() for _ in range(MACHINES + 500)]
    assert all(relay.record_order(heartbeat) for heartbeat in heartbeats)
    assert not any(relay.record_order(heartbeat) for heartbeat in heartbeats), (
        "each of them was received before"
    )


def test_a_relay_of_4000_machines_keeps_within_the_write_rate_and_forwards_each_machine() -> None:
    """Guards against writing all relay values at once.

    The store refused them repeatedly, and the pause after so many writes exceeded a lease.
    """
    cluster = Cluster(nodes=2, value_kb=4.0, writes=15.0)
    relaying = cluster.nodes["n1"]
    cluster.store.write_rps = 15.0
    cluster.pass_time(2.0)
    fleet = [cluster.machine() for _ in range(MACHINES)]
    last_heartbeat_at: dict[str, list[float]] = {worker.name: [] for worker in fleet}
    seen_versions: dict[str, int] = {}
    rng = random.Random(1)
    for _ in range(60):
        cluster.pass_time(0.5)
        for worker in fleet[::HEARTBEAT_STEPS]:
            # Two different tasks in each heartbeat.
            task_ids = [f"req-{rng.randrange(200):06d}/{rng.randrange(2000)}" for _ in range(2)]
            worker.tasks = {
                (task_id, n): Attempt(task_id, rng.randrange(10**5), "running")
                for n, task_id in enumerate(task_ids)
            }
            relaying.relay.store_heartbeat(worker.heartbeat())
        fleet = fleet[1:] + fleet[:1]
        cluster.try_step(relaying.relay_publisher.publish)
        for key, (value, version, _) in cluster.store.rows.items():
            if key.startswith(records.RELAYS) and seen_versions.get(key) != version:
                seen_versions[key] = version
                row = Row(key, value, version)
                for heartbeat in RelayedHeartbeats().decode(row, cluster.clock.wall())[1]:
                    last_heartbeat_at[heartbeat.machine].append(cluster.clock.now)
    assert cluster.store.rate_limited_count == 0
    assert len(seen_versions) > 2 * cluster.store.write_rps, "more values than may be written in two seconds"
    end = cluster.clock.now
    gaps = [
        max(later - before for before, later in itertools.pairwise([*times, end]))
        for times in last_heartbeat_at.values()
    ]
    assert max(gaps) <= LEASE_S


def test_preemption_covers_the_whole_of_a_large_fleet_and_stops_a_fixed_share_of_its_tasks() -> None:
    cluster = Cluster(value_kb=8.0)
    cluster.pause_s = 0.0005
    node = cluster.nodes["n0"]
    scheduler = node.scheduler
    machines = 3 * scheduler.policy.preempt_machines
    fleet = [cluster.machine(zone="north" if n % 2 else "south") for n in range(machines)]
    for _ in range(2):
        cluster.pass_time(0.5)
        for worker in fleet:
            cluster.heartbeat(worker, "n0")
    cluster.submit("n0", cluster.job(1, crew="open", parts=machines * CPUS, guess_s=900.0, mem_gb=1.0))
    node.watch_cache.pull(0.0)
    scheduler.round()
    assert len(scheduler.state.jobs["req-000001"].open) == machines * CPUS
    cluster.submit("n0", cluster.job(2, crew="open", rank="urgent", parts=machines, cpus=4.0, mem_gb=1.0))
    node.watch_cache.pull(0.0)
    stops = []
    for _ in range(4):
        cluster.pass_time(1.0)
        before = len(scheduler.state.stopping)
        scheduler.round()
        stops.append(len(scheduler.state.stopping) - before)
    share = int(scheduler.policy.preempt_share * machines * CPUS)
    assert share > scheduler.policy.preempt_per_round
    assert all(share <= stopped < share + CPUS for stopped in stops)
    stopped_on = {placement.machine for placement in scheduler.state.stopping}
    thirds = {index * 3 // machines for index in stopped_on}
    assert thirds == {0, 1, 2}, "tasks of every third of the fleet are preempted"


class KeepAliveWorkers:
    """Workers that send heartbeats to a server and keep their connections unless the server closes them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.connections: dict[int, socket.socket] = {}

    def close(self) -> None:
        for sock in self.connections.values():
            sock.close()

    def send_heartbeat(self, number: int, sequence: int) -> bool:
        """Sends a heartbeat of this worker; returns whether it is answered with status 200."""
        sock = self.connections.get(number) or socket.create_connection(("127.0.0.1", self.port), timeout=5)
        data = self._body(number, sequence)
        head = f"POST {workers.HEARTBEAT_PATH} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
        try:
            sock.sendall(head.encode() + data)
            answer = sock.recv(65536)
        except OSError:
            answer = b""
        if b"Connection: close" in answer or not answer:
            sock.close()
            self.connections.pop(number, None)
        else:
            self.connections[number] = sock
        return answer.startswith(b"HTTP/1.1 200")

    def is_answered_within_tries(self, number: int, sequence: int) -> bool:
        """Sends a heartbeat up to MAX_TRIES times; returns whether it is answered.

        Workers retry as well, since a closed connection counts towards the limit until its thread has ended.
        The tries end before the server would close idle connections of other workers.
        """
        for _ in range(MAX_TRIES):
            if self.send_heartbeat(number, sequence):
                return True
            time.sleep(RETRY_DELAY_S)
        return False

    @staticmethod
    def _body(number: int, sequence: int) -> bytes:
        return orjson.dumps(
            {
                "dock": f"vm-{number:06d}",
                "addr": "10.1.0.1:9000",
                "build": "small",
                "yard": "north",
                "loaners": True,
                "shift": 1,
                "tick": sequence,
                "baton": 0,
                "recall_s": None,
                "parts": [],
            }
        )


def test_more_workers_than_connections_are_all_answered_in_turn() -> None:
    """Guards against workers that keep all connections, so that others are refused until a lease expires."""
    max_connections, clients = 8, 40
    cluster = Cluster()
    cluster.step()
    handler = UserHandler(cluster.nodes["n0"], ConcurrencyLimit())
    server = HttpServer("127.0.0.1", 0, handler.handle, max_connections, "front")
    server.start()
    fleet = KeepAliveWorkers(server.port)
    for sequence in range(1, 4):
        assert all(fleet.is_answered_within_tries(number, sequence) for number in range(clients)), (
            "each worker is answered for each heartbeat"
        )
    assert 0 < len(fleet.connections) < max_connections, (
        "some workers keep their connections, fewer than the limit"
    )
    fleet.close()
