"""The service at 4,000 machines: a start, a failover and the loss of 500 machines, and its fixed limits."""

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
from bayford.coordination.leader.autoscaler import Deletion, LaunchRequest, ScalingActions
from bayford.coordination.leader.cloud_operations import LEADER_SHARE, LIST_SHARE, CloudOperations
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.workers.relay import heartbeats_in
from bayford.protocol import workers
from bayford.protocol.cloud_api import LIST_PAGE, CloudBusyError, Listed, MachinePage
from bayford.scheduling.model import MachineType
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import Row
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_handlers import UserHandler
from bayford.transport.http_server import HttpServer

MACHINES = 4000
CPUS = 4  # of each machine
LOST = 500
STEP_S = 0.5
LEASE_S = 12.0  # of the simulated settings
TRIES, RETRY_S = 80, 0.05  # together well below the time for which a silent worker's connection is kept
REPORT_STEPS = 4  # a worker reports every two seconds, as the settings say


def pass_scaled(cluster: Cluster, seconds: float, until_running: int | None = None) -> None:
    """Time passes; of the workers a quarter heartbeats in each half second, each every two seconds."""
    for step in range(int(seconds / STEP_S)):
        cluster.pass_time(STEP_S)
        for n, worker in enumerate(list(cluster.workers.values())):
            if n % REPORT_STEPS == step % REPORT_STEPS:
                cluster.heartbeat_to_any(worker)
        for name in list(cluster.nodes):
            cluster.step_controller(name)
        if step % REPORT_STEPS == 0:
            for name in list(cluster.nodes):
                cluster.cloud_step(name)
            cluster.check()
        if until_running is not None and running_count(cluster) >= until_running:
            return


def running_count(cluster: Cluster) -> int:
    """How many tasks run."""
    return sum(len(worker.running()) for worker in cluster.workers.values())


def test_4000_machines_start_change_their_leader_and_lose_500():
    cluster = Cluster(nodes=3, value_kb=8.0)
    cluster.pause_s = 0.0005  # 4,000 heartbeats wait for a read each, and their times add up here
    cluster.cloud.capacity = 0  # no more than these, but in the place of some that are deleted
    for n in range(MACHINES):
        cluster.machine(zone="north" if n % 2 else "south")
    tasks = MACHINES * CPUS
    for number in range(4):
        body = cluster.job(number + 1, crew="open", parts=tasks // 4, guess_s=5000.0, mem_gb=2.0)
        assert cluster.submit("n0", body) == 201

    pass_scaled(cluster, 40.0, until_running=tasks)
    assert running_count(cluster) == tasks, "every machine is used to the full"
    first = cluster.leader()
    assert first is not None
    assert len(cluster.nodes[first].scheduler.state.machines) == MACHINES

    before = {worker.name: sorted(worker.running()) for worker in cluster.workers.values()}
    del cluster.nodes[first]
    pass_scaled(cluster, 30.0)
    second = cluster.leader()
    assert second not in (None, first)
    assert {worker.name: sorted(worker.running()) for worker in cluster.workers.values()} == before
    assert cluster.cloud.deleted == [], "a takeover costs no machine"

    lost = list(cluster.workers.values())[:: MACHINES // LOST]
    assert len(lost) == LOST
    for worker in lost:
        worker.hung = True
    pass_scaled(cluster, 30.0)
    assert set(cluster.cloud.deleted) == {worker.name for worker in lost}
    pass_scaled(cluster, 40.0, until_running=tasks)
    parts = collections.Counter(
        task_id for worker in cluster.workers.values() for task_id in worker.running()
    )
    assert len(parts) == tasks and set(parts.values()) == {1}
    assert len(cluster.workers) == MACHINES


class PacedCloud:
    """A cloud that answers 429 above its rate, with bursts worth two seconds, as its page says."""

    def __init__(self, rps: float, count: int) -> None:
        self.now = 0.0
        self.rps = rps
        self.checkpointed = 2.0 * rps
        self.filled = 0.0
        self.names = [f"vm-{n:06d}" for n in range(count)]
        self.calls: list[tuple[float, str]] = []
        self.busy = 0

    def _enter(self, call: str) -> None:
        self.checkpointed = min(2.0 * self.rps, self.checkpointed + (self.now - self.filled) * self.rps)
        self.filled = self.now
        if self.checkpointed < 1.0:
            self.busy += 1
            raise CloudBusyError("429")
        self.checkpointed -= 1.0
        self.calls.append((self.now, call))

    def catalog(self) -> list[MachineType]:
        return []

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        self._enter("rent")
        return [f"{request}-{n}" for n in range(count)]

    def delete(self, names: list[str]) -> None:
        self._enter("delete")

    def machines(self, since: str) -> MachinePage:
        self._enter("list")
        after = [name for name in self.names if name > since]
        page = [Listed(name, "", "small", "north", True, "running", 9.0) for name in after[:LIST_PAGE]]
        return MachinePage(page, len(after) > LIST_PAGE)


class SureOwner:
    """Standing that nobody doubts."""

    def is_verified_leader(self) -> bool:
        return True

    def no_competing_leader(self) -> bool:
        return False


def leader_with_cloud(cloud: PacedCloud, settings: Settings) -> tuple[Scheduler, CloudOperations]:
    scheduler = Scheduler(settings, Policy(), lambda: cloud.now, lambda: cloud.now, random.Random(1))
    scheduler.set_types([MachineType("small", 4.0, 0.0, 32.0, 0.2, 0.06, 20.0, 0.5, ("north", "south"))])
    scheduler.recover(RecoveredState(term=1, fencing_token=1, as_of=0.0))

    def pause(event: threading.Event, seconds: float) -> None:
        cloud.now += seconds

    calls = CloudOperations(
        cloud, scheduler, SureOwner(), cloud.rps, "r-n0", lambda: cloud.now, pause, lambda: None
    )
    return scheduler, calls


def test_the_list_of_4000_machines_keeps_to_the_rate_and_leaves_room_for_rentals():
    """All pages at once were more than the cloud takes in a burst, so that the list was never read whole."""
    cloud = PacedCloud(rps=3.0, count=MACHINES)
    scheduler, calls = leader_with_cloud(cloud, Cluster().settings("n0"))
    order = LaunchRequest("small", "north", True, 50, "backlog")
    lists = 0
    while cloud.now < 60.0:
        wait_s = calls.list_step()
        next_list = cloud.now + wait_s
        lists += 1
        while cloud.now < next_list:  # the thread beside it, which rents as fast as it may
            calls.launch(order)
            cloud.now += 0.05
    assert cloud.busy == 0
    assert (
        len([name for name in cloud.names if scheduler.state.machine_names.find(name) is not None])
        == MACHINES
    )
    assert lists >= 4, "each machine's fate is seen within a quarter of a minute"
    kinds = collections.Counter(kind for _, kind in cloud.calls)
    assert kinds["list"] <= 1.1 * LIST_SHARE * LEADER_SHARE * cloud.rps * cloud.now
    assert kinds["rent"] >= 60, "the rest of the rate is for the others"


def test_more_rentals_than_the_queue_holds_do_not_hold_up_deletions():
    cloud = PacedCloud(rps=3.0, count=0)
    scheduler, calls = leader_with_cloud(cloud, Cluster().settings("n0"))
    commands = [LaunchRequest("small", "north", True, 50, "backlog")] * 400
    for order in commands:
        scheduler.autoscaler._asked_for(scheduler.autoscaler._pool(order), order.count)
    calls.carry_out(ScalingActions(commands, [Deletion("vm-000001", "idle")]))
    assert calls.delete(["vm-000001"])
    waiting = sum(scheduler.state.launching.values())
    assert MACHINES <= waiting < 400 * 50, "what the queue did not take is decided anew"


def test_a_relay_knows_late_copies_of_4000_machines_heartbeats():
    cluster = Cluster(nodes=2)
    relay = cluster.nodes["n1"].relay
    heartbeats = [cluster.machine().heartbeat() for _ in range(MACHINES + 500)]
    assert not any(relay.stale(heartbeat) for heartbeat in heartbeats)
    assert all(relay.stale(heartbeat) for heartbeat in heartbeats), "each of them was here before"


def test_a_relay_of_4000_machines_keeps_to_the_rate_and_the_leader_hears_each():
    """All values at once were refused, again and again, and the pause for so many exceeded a lease."""
    cluster = Cluster(nodes=2, value_kb=4.0, writes=15.0)
    relaying = cluster.nodes["n1"]
    cluster.store.write_rps = 15.0
    cluster.pass_time(2.0)
    fleet = [cluster.machine() for _ in range(MACHINES)]
    last_heartbeat_at: dict[str, list[float]] = {worker.name: [] for worker in fleet}
    seen: dict[str, int] = {}
    rng = random.Random(1)
    for _ in range(60):
        cluster.pass_time(0.5)
        for worker in fleet[::REPORT_STEPS]:
            # Its two tasks are others each time.
            parts = [f"req-{rng.randrange(200):06d}/{rng.randrange(2000)}" for _ in range(2)]
            worker.tasks = {
                (task_id, n): Attempt(task_id, rng.randrange(10**5), "running")
                for n, task_id in enumerate(parts)
            }
            relaying.relay.note(worker.heartbeat())
        fleet = fleet[1:] + fleet[:1]
        cluster.try_step(relaying._publish)
        for key, (value, version, _) in cluster.store.rows.items():
            if key.startswith(records.RELAYS) and seen.get(key) != version:
                seen[key] = version
                for heartbeat in heartbeats_in(Row(key, value, version), cluster.clock.wall())[1]:
                    last_heartbeat_at[heartbeat.machine].append(cluster.clock.now)
    assert cluster.store.rate_limited_count == 0
    assert len(seen) > 2 * cluster.store.write_rps, "more values than may be written in two seconds"
    ends = cluster.clock.now
    gaps = [
        max(later - before for before, later in itertools.pairwise([*times, ends]))
        for times in last_heartbeat_at.values()
    ]
    assert max(gaps) <= LEASE_S


def test_searches_for_tasks_to_stop_go_through_a_large_fleet_and_stop_in_proportion():
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
    parts = {index * 3 // machines for index in stopped_on}
    assert parts == {0, 1, 2}, "no part of the fleet is spared"


def test_a_fleet_of_more_machines_than_connections_takes_turns():
    """Workers kept their connections: those which came last were turned away until a lease ran out."""
    most, clients = 8, 40
    cluster = Cluster()
    cluster.step()
    front = UserHandler(cluster.nodes["n0"], ConcurrencyLimit())
    server = HttpServer("127.0.0.1", 0, front.handle, most, "front")
    server.start()
    connections: dict[int, socket.socket] = {}

    def body(number: int, sequence: int) -> bytes:
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

    def heartbeat(number: int, sequence: int) -> bool:
        """Whether the heartbeat of this worker is answered."""
        sock = connections.get(number) or socket.create_connection(("127.0.0.1", server.port), timeout=5)
        data = body(number, sequence)
        head = f"POST {workers.HEARTBEAT_PATH} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
        try:
            sock.sendall(head.encode() + data)
            answer = sock.recv(65536)
        except OSError:
            answer = b""
        if b"Connection: close" in answer or not answer:
            sock.close()
            connections.pop(number, None)
        else:
            connections[number] = sock
        return answer.startswith(b"HTTP/1.1 200")

    def answered_soon(number: int, sequence: int) -> bool:
        """As workers do, it tries again where it was turned away: a connection that was closed counts until
        its thread has ended. Not for so long that the server would close idle connections of others."""
        for _ in range(TRIES):
            if heartbeat(number, sequence):
                return True
            time.sleep(RETRY_S)
        return False

    for sequence in range(1, 4):
        assert all(answered_soon(number, sequence) for number in range(clients)), (
            "each is answered in each turn"
        )
    assert 0 < len(connections) < most, "as many as may keep theirs do"
    for sock in connections.values():
        sock.close()
