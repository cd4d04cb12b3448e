"""An in-memory cluster of controllers, workers, cloud and key-value store that checks PROTOCOL's rules.

Nothing here waits on the real clock. The test, or a seeded random generator, determines the order of events.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import orjson

from bayford.clock import NEVER
from bayford.config import Settings, parse
from bayford.coordination.controller import Controller
from bayford.coordination.leader.scheduler import Scheduler
from bayford.protocol import jobs, mesh, workers
from bayford.protocol.cloud_api import CloudBusyError
from bayford.scheduling.model import MachineType
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import LeaseGoneError, OutcomeUnknownError, UnavailableError
from fakes.clock import Clock
from fakes.cloud import FakeCloud
from fakes.key_value_store import FakeKeyValueStore, StoreConnection
from fakes.late_copies import LateCopies
from fakes.worker import FakeWorker, InFlightResponse, encoded_copy

SETTINGS = """
member = "{name}"
site = "{zone}"
front = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[[seeds]]
member = "n0"
site = "north"
endpoint = "127.0.0.1:3"
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[facts]
nodes = 3
zones = ["north", "south"]
[[facts.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[[facts.teams]]
name = "blue"
cpus = 4.0
cpus_max = 16.0
gpus = 1.0
gpus_max = 2.0
[[facts.teams]]
name = "open"
cpus = 0.0
cpus_max = 0.0
[facts.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = {cancel_s}
[facts.state]
rps = 100.0
write_rps = {writes}
value_kb = {value_kb}
txn_ops = 12
{next_limits}
[facts.cloud]
rps = 3.0
list_lag_s = 6.0
"""

MAX_MESSAGE_BYTES = 64 * 1024  # of a request body and of a line of a response, as PROTOCOL has it
LIMITS = {"red": 8.0, "blue": 16.0, "open": float("inf")}


class Cluster:
    """Controllers, workers, cloud and key-value store; checks PROTOCOL's rules in every step."""

    def __init__(
        self,
        nodes: int = 1,
        value_kb: float = 8.0,
        writes: float = 1000.0,
        seed: int = 1,
        next_limits: str = "",
        old_release: Iterable[str] = (),
        cancel_s: float = 42.0,
        policy: Policy | None = None,
    ) -> None:
        """`nodes`: number of controllers. `next_limits`: the `state.next` table of the settings, as TOML.

        `old_release`: controllers that behave as in the first release: they ignore `next_limits` and do not
        publish their release. (tests/fixtures holds data formats of that release, not its code.)
        """
        self.clock = Clock()
        self.policy = policy or Policy(hold_s=0.0, hold_idle_s=0.0)
        self.store = FakeKeyValueStore(self.clock)
        self.lease_s = 12.0
        self.cancel_s = cancel_s
        self.rng = random.Random(seed)
        self.value_kb = value_kb
        self.write_rps = writes
        self.next_limits = next_limits
        self.old_release = set(old_release)
        self.cloud = FakeCloud(self._new_worker)
        self.workers = self.cloud.workers
        self.specs: dict[str, Any] = {}
        self.cancelled: dict[str, float] = {}  # job -> time at which its user got the confirmation
        self.last_reported_phases: dict[str, str] = {}  # job -> phase in the last response to its user
        self.accepted: set[str] = set()
        self.done_tasks: set[str] = set()
        self.started_on: dict[str, list[FakeWorker]] = {}  # task -> all workers that have started it
        self.pause_s = 0.05  # maximum clock advance while a controller thread waits
        self.incarnations = 0
        self.network_cuts: set[tuple[str, str]] = set()  # (worker, controller) pairs without a connection
        # While a worker executes a delayed response: the time at which the heartbeat was sent.
        self.executing_response_sent_at: float | None = None
        self.response_delay_s = 0.0  # delay of responses to heartbeats
        self.late_starts: list[str] = []  # tasks started by a response in flight at the cancellation
        self.paused: set[str] = set()  # controllers whose processes are suspended; the clock continues
        self.mesh_cuts: set[str] = set()  # controllers without a connection to any other controller
        self.sent_heartbeats: list[workers.Heartbeat] = []  # the most recent ones, for `replay`
        self.late_copies: LateCopies | None = None  # delivers copies of messages, if a test sets it
        self.closes_connections = False  # controllers close the connection of a worker after each response
        self.nodes: dict[str, Controller] = {}
        self.names = [f"n{n}" for n in range(nodes)]
        for name in self.names:
            self.boot(name)

    # -- controllers -----------------------------------------------------------------------------------

    def settings(self, name: str) -> Settings:
        zone = "south" if name == "n1" else "north"
        has_next_limits = self.next_limits and name not in self.old_release
        next_limits = f"[facts.state.next]\n{self.next_limits}" if has_next_limits else ""
        text = SETTINGS.format(
            name=name,
            zone=zone,
            cancel_s=self.cancel_s,
            writes=self.write_rps,
            value_kb=self.value_kb,
            next_limits=next_limits,
        )
        if name == "n0":  # no controller is its own peer
            text = text.replace(
                'member = "n0"\nsite = "north"\nendpoint', 'member = "n1"\nsite = "south"\nendpoint'
            )
        return parse(text)

    def boot(self, name: str, policy: Policy | None = None) -> Controller:
        """Start or restart a controller with empty memory."""
        self.incarnations += 1
        settings = self.settings(name)
        policy = policy or self.policy
        scheduler = Scheduler(settings, policy, self.clock, self.clock.wall, random.Random(7))
        node: Controller

        def pause(event: Any, seconds: float) -> None:
            # In a real controller, other threads commit and verify the leadership during the wait.
            try:
                if node.scheduler.leader:
                    node.commit_loop.commit_once()
                    node.leadership.verify_once()
            except (UnavailableError, OutcomeUnknownError, LeaseGoneError):
                pass
            self.pass_time(min(seconds, self.pause_s))

        def is_reachable(other: str) -> bool:
            return other in self.nodes and other not in self.paused and not self.mesh_cuts & {name, other}

        def status_client(other: str) -> Callable[[float], Any]:
            def request_status(timeout_s: float) -> Any:
                return self.nodes[other].status() if is_reachable(other) else None

            return request_status

        def cancellation_client(other: str) -> Callable[[dict[str, float]], bool]:
            def notify(cancelled: dict[str, float]) -> bool:
                if not is_reachable(other):
                    return False
                if other not in self.old_release:
                    self.nodes[other].on_cancellations(
                        mesh.decode_cancelled(mesh.encode_cancelled(cancelled))
                    )
                return True

            return notify

        others = [other for other in self.names if other != name]
        peers = {other: status_client(other) for other in others}
        node = Controller(
            settings,
            scheduler,
            StoreConnection(self.store, name),
            self.cloud,
            f"i{self.incarnations}",
            peers,
            {other: cancellation_client(other) for other in others},
            lambda address, body: self.command(name, address, body),
            clock=self.clock,
            wall=self.clock.wall,
            pause=pause,
            threaded=False,
            release=1 if name in self.old_release else mesh.RELEASE,
        )
        scheduler.set_types(self.cloud.catalog())
        self.nodes[name] = node
        self.register_member(name)
        return node

    def register_member(self, name: str) -> None:
        """Let the controller read the store and register its membership."""
        self.try_step(lambda: self.nodes[name].watch_cache.pull(0.0))
        self.try_step(self.nodes[name].membership_step)

    @staticmethod
    def try_step(step: Callable[[], object]) -> bool:
        """Run a step that a fault of the store or the cloud may abort; returns whether it completed."""
        try:
            step()
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError, CloudBusyError):
            return False
        return True

    def pass_time(self, seconds: float) -> None:
        """Advance the clock; running controllers update their stall detectors every 0.5 s."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + 0.5)
            if self.late_copies is not None:
                self.late_copies.deliver_due()
            for name, node in self.nodes.items():
                if name not in self.paused:
                    node.stall_detector.resumed_at()

    def step_controller(self, name: str) -> None:
        """Run one iteration of the threads of a controller."""
        if name in self.paused:
            return
        node = self.nodes[name]
        self.try_step(lambda: node.watch_cache.pull(0.0))
        self.try_step(node.membership_step)
        self.try_step(node.peer_poller.step)
        node.notices.send()
        if node.admission is not None:
            self.try_step(node.admission.publish_once)
        if node.scheduler.leader:
            node.scheduler.round()
            for _ in range(3):
                self.try_step(node.commit_loop.commit_once)
            node.leadership.verify_once()
        while node.stop_commands.pending:
            node.stop_commands.step()

    def cloud_step(self, name: str) -> None:
        """Run one iteration of the cloud threads of a controller, if it leads."""
        node = self.nodes[name]
        if not node.scheduler.leader or name in self.paused:
            return
        self.try_step(node.cloud_operations.list_step)
        step = node.scaling_loop.decide_scaling()
        for launch in step.launches:
            node.cloud_operations.launch(launch)
        if step.deletions:
            node.cloud_operations.delete([deletion.machine for deletion in step.deletions])
        if node.scheduler.policy.recovery:
            self.try_step(node.scaling_loop.monitor_zones)

    def step(self, seconds: float = 0.5) -> None:
        """Advance the clock, step all controllers, send all heartbeats to the leader, check the rules."""
        self.pass_time(seconds)
        self.store.process_due()
        for name in list(self.nodes):
            self.step_controller(name)
        for worker in list(self.workers.values()):
            worker.check_lease()
            self.heartbeat(worker)
        for name in list(self.nodes):
            self.step_controller(name)
        self.check()

    def leader(self) -> str | None:
        """The name of a controller that leads and is not paused, or None."""
        for name, node in self.nodes.items():
            if node.scheduler.leader and name not in self.paused:
                return name
        return None

    def require_leader(self) -> str:
        """The leader's name; fails the test if there is none."""
        name = self.leader()
        assert name is not None, "no controller leads"
        return name

    def heartbeat(self, worker: FakeWorker, node: str | None = None) -> int:
        """Send a heartbeat, by default to the leader; returns the HTTP status, 0 without a response."""
        node = node or self.leader()
        if node is None or not self.reaches(worker, node):
            return 0
        if worker.response_in_flight is not None:  # at most one heartbeat in flight
            late = worker.response_in_flight
            if self.clock.now < late.arrives_at:
                return 0
            worker.response_in_flight = None
            if self.clock.now - late.sent_at <= 4.0:
                self.executing_response_sent_at = late.sent_at
                worker.receive(late.response, late.sent_at, late.epoch, late.node)
                self.executing_response_sent_at = None
        body = worker.encoded_heartbeat()
        sent = self.clock.now
        after = worker.last_response_at.get(node, NEVER)
        if len(body) > MAX_MESSAGE_BYTES:
            worker.refused_reports += 1
            return 413
        heartbeat = workers.parse_heartbeat(body)
        self.sent_heartbeats = [*self.sent_heartbeats[-200:], heartbeat]
        if self.late_copies is not None:
            self.late_copies.add_heartbeat(heartbeat)
        if self.closes_connections:
            after = NEVER
        reply = self.nodes[node].heartbeat(encoded_copy(heartbeat), after, not self.closes_connections)
        assert len(reply.body) <= MAX_MESSAGE_BYTES, f"a response to a worker of {len(reply.body)} bytes"
        if worker.name not in self.workers or worker.unresponsive:
            return 0
        if self.response_delay_s:
            worker.response_in_flight = InFlightResponse(
                sent + self.response_delay_s, reply, sent, heartbeat.epoch, node
            )
            return 0
        status = worker.receive(reply, sent, heartbeat.epoch, node)
        if status == 421:
            worker.reports_to = orjson.loads(reply[1]).get("foreman", worker.reports_to)
        return status

    def reaches(self, worker: FakeWorker, node: str) -> bool:
        if worker.hung or worker.cannot_send:
            return False
        return node in self.nodes and node not in self.paused and (worker.name, node) not in self.network_cuts

    def heartbeat_to_any(self, worker: FakeWorker) -> int:
        """Send a heartbeat to the controller that the worker currently reports to; returns the HTTP status.

        On an error, or a redirect to the same controller, the worker uses the next controller from then on.
        """
        worker.check_lease()
        node = worker.reports_to = worker.reports_to or self.names[0]
        status = self.heartbeat(worker, node)
        if status not in (200, 421) or (status == 421 and worker.reports_to == node):
            worker.reports_to = self.names[(self.names.index(node) + 1) % len(self.names)]
        return status

    def command(self, node: str, address: str, body: bytes) -> bytes | None:
        """Send a direct command to a worker; returns its response, or None if it cannot be reached."""
        worker = self.workers.get(address.partition(":")[0])
        if worker is None or worker.unresponsive or worker.hung or (worker.name, node) in self.network_cuts:
            return None
        assert len(body) <= MAX_MESSAGE_BYTES, f"a direct command of {len(body)} bytes"
        worker.execute_direct(orjson.loads(body))
        if self.late_copies is not None:
            self.late_copies.add_command(worker.name, body)
        return worker.encoded_heartbeat()

    def replay(self, heartbeat: workers.Heartbeat, node: str) -> None:
        """Deliver a copy of an old heartbeat late, on a separate connection; the response is not read."""
        if node in self.nodes and node not in self.paused:
            self.nodes[node].heartbeat(encoded_copy(heartbeat), NEVER)

    def machine(self, kind: str = "small", zone: str = "north", spot: bool = True) -> FakeWorker:
        """Add a machine that no controller has launched."""
        return self.cloud.start_machine(kind, zone, spot)

    def first_worker(self) -> FakeWorker:
        """The worker of the oldest machine."""
        return next(iter(self.workers.values()))

    def _new_worker(self, name: str, machine_type: MachineType, zone: str, spot: bool) -> FakeWorker:
        return FakeWorker(self, name, machine_type, zone, spot, last_answered_at=self.clock.now)

    # -- users -----------------------------------------------------------------------------------------

    def service(self, number: int, **fields: Any) -> bytes:
        """The body of a submission: a service with two replicas, unless `fields` override it."""
        new = {"lane": "desk", "shape": "daemon", "rank": "critical", "loaners": False, "guess_s": 0.0}
        return self.job(number, **new | fields)

    def job(self, number: int, **fields: Any) -> bytes:
        """The body of a submission: a job array with two tasks; `fields` (of PROTOCOL) override it."""
        body = {
            "id": f"req-{number:06d}",
            "lane": "sweep",
            "crew": "red",
            "shape": "batch",
            "rank": "normal",
            "parts": 2,
            "cpus": 1.0,
            "cards": 0.0,
            "mem_gb": 1.0,
            "bundle": "img-1",
            "size_gb": 1.0,
            "builds": None,
            "yard": None,
            "together": False,
            "apart": False,
            "loaners": True,
            "guess_s": 20.0,
            "bookmark_s": 0.0,
            "stash_s": 0.0,
            "due_s": None,
        }
        body.update(fields)
        return orjson.dumps(body)

    def submit(self, node: str, body: bytes) -> int:
        status, reply, _ = self.nodes[node].submit(body)
        if status in (200, 201):
            spec = jobs.parse_submission(body)
            self.specs[spec.id] = spec
            self.accepted.add(spec.id)
            self.on_phase(spec.id, orjson.loads(reply)["phase"])
        return status

    def cancel(self, node: str, job_id: str) -> str | None:
        status, reply, _ = self.nodes[node].cancel(job_id)
        if status != 200:
            return None
        phase: str = orjson.loads(reply)["phase"]
        self.on_phase(job_id, phase)
        if phase == "aborted":
            self.cancelled.setdefault(job_id, self.clock.now)
        return phase

    def query(self, node: str, job_id: str) -> str | None:
        status, reply, _ = self.nodes[node].query(job_id)
        if status == 404:
            assert job_id not in self.accepted, f"forgotten: {job_id}"
            return None
        if status != 200:
            return None
        assert job_id in self.specs, f"invented: {job_id}"
        phase: str = orjson.loads(reply)["phase"]
        self.on_phase(job_id, phase)
        return phase

    def query_everywhere(self, number: int, **fields: Any) -> list[str | None]:
        """Query a job and repeat its submission on all controllers at one instant; returns the phases."""
        phases: list[str | None] = []
        for name in self.nodes:
            phases.append(self.query(name, f"req-{number:06d}"))
            status, body, _ = self.nodes[name].submit(self.job(number, **fields))
            assert status in (200, 503), f"forgotten: repeated submission got status {status}"
            if status == 200:
                phase: str = orjson.loads(body)["phase"]
                phases.append(phase)
                self.on_phase(f"req-{number:06d}", phase)
        return phases

    def on_phase(self, job_id: str, phase: str) -> None:
        """Check a phase sent to a user: a final phase never changes, and all tasks of a done job are done."""
        before = self.last_reported_phases.get(job_id)
        if before in ("done", "aborted"):
            assert phase == before, f"went_back: {job_id} {before} -> {phase}"
        if phase == "done":
            spec = self.specs[job_id]
            incomplete_tasks = [t for t in range(spec.tasks) if f"{job_id}/{t}" not in self.done_tasks]
            assert not incomplete_tasks, f"not_done: {job_id} {incomplete_tasks}"
        self.last_reported_phases[job_id] = phase

    # -- checks ----------------------------------------------------------------------------------------

    def on_task_started(self, worker: FakeWorker, job_id: str, task: int) -> None:
        """Check the rules ran_twice, wrong_place and ran_cancelled; called at every start of a task."""
        task_id = f"{job_id}/{task}"
        spec = self.specs[job_id]
        for other in self.started_on.setdefault(task_id, []):
            if other is not worker and self.workers.get(other.name) is other:
                assert task_id not in other.running(), (
                    f"ran_twice: {task_id} on {worker.name} and {other.name}"
                )
        self.started_on[task_id].append(worker)
        assert spec.spot or not worker.spot, f"wrong_place: {task_id} on a spot machine"
        assert spec.types is None or worker.kind.name in spec.types, (
            f"wrong_place: {task_id} on a machine of another type"
        )
        assert spec.zone is None or spec.zone == worker.zone, f"wrong_place: {task_id} in another zone"
        zones = []
        if spec.one_zone or spec.spread:
            zones = [
                other.zone
                for other in self.workers.values()
                for running in other.running()
                if running.split("/")[0] == job_id
            ]
        if spec.one_zone:
            assert len(set(zones)) <= 1, f"wrong_place: {task_id} not in the zone of its job"
        if spec.spread:
            assert zones.count(worker.zone) <= (spec.tasks + 1) // 2, (
                f"wrong_place: {task_id} not spread over zones"
            )
        if job_id in self.cancelled:
            # Only a response that was in flight when the cancellation was confirmed may still start a task.
            sent_at = self.executing_response_sent_at
            sent_after_cancellation = sent_at is None or sent_at > self.cancelled[job_id]
            assert not sent_after_cancellation, (
                f"{task_id} started by a response sent after the confirmed cancellation"
            )
            self.late_starts.append(task_id)

    def check(self) -> None:
        """Check the rules that hold at any time.

        Tasks of a cancelled job end within `cancel_s`, and no team exceeds its limit.
        """
        used: dict[str, float] = {}
        for worker in self.workers.values():
            for task_id in worker.running():
                spec = self.specs[task_id.split("/")[0]]
                used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                if spec.id in self.cancelled:
                    late = self.clock.now - self.cancelled[spec.id]
                    assert late <= self.cancel_s, f"ran_cancelled: {task_id} {late} s after its cancellation"
        for team, cpus in used.items():
            assert cpus <= LIMITS[team] + 1e-6, f"quota: {team} uses {cpus}"

    def stuck_jobs(self) -> list[str]:
        """Jobs with a waiting task that fits on a machine and within the limit of its team."""
        used: dict[str, float] = {}
        free = {name: worker.kind.cpus for name, worker in self.workers.items()}
        for name, worker in self.workers.items():
            for task_id in worker.running():
                spec = self.specs[task_id.split("/")[0]]
                used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                free[name] -= spec.cpus
        placed = {task_id for worker in self.workers.values() for task_id in worker.running()}
        stuck = []
        for job_id in sorted(self.accepted):
            spec = self.specs[job_id]
            tasks = {f"{job_id}/{task}" for task in range(spec.tasks)}
            # A cancellation may have been stored although its user got no response.
            cancelled = records.decode(self.store.rows[records.job_key(job_id)][0]).cancelled
            if cancelled or not tasks - placed - self.done_tasks:
                continue
            fits = any(
                free[name] >= spec.cpus
                and (spec.spot or not worker.spot)
                and spec.zone in (None, worker.zone)
                and (spec.types is None or worker.kind.name in spec.types)
                and not worker.unresponsive
                and not worker.hung
                and not worker.cannot_send
                for name, worker in self.workers.items()
            )
            if fits and used.get(spec.team, 0.0) + spec.cpus <= LIMITS[spec.team]:
                stuck.append(job_id)
        return stuck

    def finish(self, task_id: str) -> None:
        """Complete a task on every worker that runs it."""
        for worker in self.workers.values():
            if task_id in worker.running():
                worker.finish(task_id)
                self.done_tasks.add(task_id)
