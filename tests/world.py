"""An in-memory world for the stories: state service, cloud, workers and a clock that the story moves.

Nothing here waits on the real clock; the order of events is the story's, or that of a seeded generator.
"""

from __future__ import annotations

import bisect
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson

from bayford.clock import NEVER
from bayford.config import Settings, parse
from bayford.coordination.controller import Controller
from bayford.coordination.leader.scheduler import Scheduler
from bayford.protocol import jobs, mesh, workers
from bayford.protocol.cloud_api import LIST_PAGE, CloudBusyError, Listed, MachinePage, NoCapacityError
from bayford.scheduling.model import MachineType
from bayford.scheduling.policy import Policy
from bayford.storage import records
from bayford.storage.key_value_store import (
    LeaseGoneError,
    Outcome,
    OutcomeUnknownError,
    Put,
    Row,
    TooLargeError,
    UnavailableError,
)

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
{coming}
[facts.cloud]
rps = 3.0
list_lag_s = 6.0
"""

LIMITS = {"red": 8.0, "blue": 16.0, "open": float("inf")}

SMALL = MachineType("small", 4.0, 0.0, 32.0, 0.2, 0.06, 20.0, 0.5, ("north", "south"))
CARDS = MachineType("cards", 8.0, 2.0, 64.0, 2.0, 0.9, 30.0, 0.5, ("north",))


class Clock:
    """Steady time and time of day of the story."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + 1.7e9


class FakeState:
    """The state service by its page: versions, leases, transactions, changes; and its faults."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, tuple[float, float]] = {}  # id -> until, ttl
        self.epoch = 10
        self.log: list[Row] = []
        self.down = False
        self.refuses: set[str] = set()  # nodes that get 503
        self.lose_answer: set[str] = set()  # nodes whose next transaction is executed, its answer lost
        self.hold: set[str] = set()  # nodes whose next transaction is executed when the story says
        self.held: list[tuple[dict[str, int], list[Put]]] = []
        self.lost: set[str] = set()  # nodes that get no answer at all
        self.unanswered: set[str] = set()  # nodes whose transactions are carried out, every answer lost
        self.lagging: dict[str, float] = {}  # nodes whose transactions get no answer and come this late
        self.due: list[tuple[float, dict[str, int], list[Put]]] = []
        self.came_late = 0  # of those, carried out
        self.blind: set[str] = set()  # nodes whose reads get no answer; their transactions are carried out
        self.sizes: list[int] = []
        self.value_bytes = 1 << 20  # the limits that are in force
        self.txn_ops = 1 << 20
        self.refused = 0  # for their size
        self.write_rps: float | None = None  # if set, changes above it get 429; bursts of a second's worth
        self.saved_writes = 0.0
        self.saved_at = 0.0
        self.too_many = 0

    def expire(self) -> None:
        ripe = [entry for entry in self.due if entry[0] <= self.clock.now and not self.down]
        self.due = [entry for entry in self.due if entry not in ripe]
        for _, conditions, puts in ripe:
            try:
                self.came_late += self.execute(conditions, puts).applied
            except LeaseGoneError:
                pass
        for lease, (until, _) in list(self.leases.items()):
            if until <= self.clock.now and not self.down:
                del self.leases[lease]
                keys = [k for k, row in self.rows.items() if row[2] == lease]
                if keys:
                    self._change([Put(k, None) for k in keys])

    def _change(self, puts: list[Put]) -> int:
        self.epoch += 1
        for put in puts:
            if put.value is None:
                if self.rows.pop(put.key, None) is not None:
                    self.log.append(Row(put.key, None, self.epoch))
            else:
                value = orjson.loads(orjson.dumps(put.value))
                self.sizes.append(len(orjson.dumps(value)))
                self.rows[put.key] = (value, self.epoch, put.lease)
                self.log.append(Row(put.key, value, self.epoch))
        return self.epoch

    def execute(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        self.expire()
        for put in puts:
            if put.lease is not None and put.lease not in self.leases:
                raise LeaseGoneError
        failed = [k for k, s in conditions.items() if self.rows.get(k, (None, 0, None))[1] != s]
        if failed:
            return Outcome(self.epoch, tuple(failed))
        return Outcome(self._change(puts) if puts else self.epoch)

    def within_rate(self, changes: int) -> bool:
        """Whether so many changes are within the rate now."""
        if self.write_rps is None:
            return True
        elapsed = self.clock.now - self.saved_at
        self.saved_writes = min(self.write_rps, self.saved_writes + elapsed * self.write_rps)
        self.saved_at = self.clock.now
        if self.saved_writes < changes:
            self.too_many += 1
            return False
        self.saved_writes -= changes
        return True

    def release(self) -> list[Outcome]:
        """Execute the held transactions, late."""
        held, self.held = self.held, []
        out = []
        for conditions, puts in held:
            try:
                out.append(self.execute(conditions, puts))
            except LeaseGoneError:
                pass
        return out


class StateOf:
    """One node's connection to the state service."""

    def __init__(self, state: FakeState, node: str) -> None:
        self.state = state
        self.node = node

    def _check(self) -> None:
        if self.node in self.state.lost:
            raise UnavailableError("no connection")
        if self.state.down or self.node in self.state.refuses:
            raise UnavailableError("503", refused=True)
        self.state.expire()

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        self._check()
        if self.node in self.state.blind:
            raise OutcomeUnknownError("no answer")
        rows = [Row(k, v, s) for k, (v, s, _) in sorted(self.state.rows.items()) if k.startswith(prefix)]
        return rows, self.state.epoch

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        self._check()
        if len(puts) > self.state.txn_ops or any(
            put.value is not None and len(orjson.dumps(put.value)) > self.state.value_bytes for put in puts
        ):
            self.state.refused += 1
            raise TooLargeError("400")
        if not self.state.within_rate(len(puts)):
            raise UnavailableError("429", refused=True)
        if puts and self.node in self.state.hold:
            self.state.hold.discard(self.node)
            self.state.held.append((dict(conditions), list(puts)))
            raise OutcomeUnknownError("no answer")
        if puts and self.node in self.state.lagging:
            at = self.state.clock.now + self.state.lagging[self.node]
            self.state.due.append((at, dict(conditions), list(puts)))
            raise OutcomeUnknownError("no answer")
        outcome = self.state.execute(conditions, puts)
        if puts and self.node in self.state.lose_answer | self.state.unanswered:
            self.state.lose_answer.discard(self.node)
            raise OutcomeUnknownError("answer lost")
        return outcome

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        self._check()
        if self.node in self.state.blind:
            raise OutcomeUnknownError("no answer")
        first = bisect.bisect_right(self.state.log, since, key=lambda row: row.version)
        found = [r for r in self.state.log[first:] if r.key.startswith(prefix)]
        return found, self.state.epoch

    def grant_lease(self, ttl_s: float) -> int:
        self._check()
        number = len(self.state.leases) + self.state.epoch * 1000
        self.state.leases[number] = (self.state.clock.now + ttl_s, ttl_s)
        return number

    def renew_lease(self, lease: int) -> None:
        self._check()
        if lease not in self.state.leases:
            raise LeaseGoneError
        ttl = self.state.leases[lease][1]
        self.state.leases[lease] = (self.state.clock.now + ttl, ttl)


def copy_of(heartbeat: workers.Heartbeat) -> workers.Heartbeat:
    """As if it had gone over the wire."""
    return msgspec.convert(msgspec.to_builtins(heartbeat), workers.Heartbeat)


@dataclass
class Attempt:
    """A task attempt on a worker."""

    task_id: str
    number: int
    phase: str
    reason: str | None = None
    checkpointed: bool = False


@dataclass
class Worker:
    """A machine's worker by the protocol: tokens, epochs, leases, orders."""

    world: World
    name: str
    kind: MachineType
    zone: str
    spot: bool
    epoch: int = 1
    sequence: int = 0
    fencing_token: int = 0
    answered: float = 0.0  # sending time of the last answered report
    reclaim_notice_s: float | None = None
    tasks: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    ever: set[tuple[str, int]] = field(default_factory=set)
    last_answer: dict[str, float] = field(default_factory=dict)  # node -> when it answered last
    at: str = ""  # the node that it reports to when it finds its own way
    deaf: bool = False  # its heartbeats arrive, no answer reaches it
    hung: bool = False  # it does nothing; what runs there goes on once it does
    mute: bool = False  # it reaches no controller, direct commands reach it
    fails: bool = False
    sick_with: str = "error"
    coming: tuple[float, tuple[int, bytes], float, int, str] | None = None  # an answer on its way, and when

    def heartbeat(self) -> workers.Heartbeat:
        self.sequence += 1
        states = [
            workers.TaskState(
                task_id=a.task_id,
                attempt=a.number,
                phase=a.phase,
                reason=a.reason,
                checkpointed=a.checkpointed,
            )
            for a in self.tasks.values()
        ]
        return workers.Heartbeat(
            machine=self.name,
            address=f"{self.name}:9",
            type=self.kind.name,
            zone=self.zone,
            spot=self.spot,
            epoch=self.epoch,
            sequence=self.sequence,
            fencing_token=self.fencing_token,
            tasks=states,
            reclaim_notice_s=self.reclaim_notice_s,
        )

    def check_lease(self) -> None:
        if not self.hung and self.world.clock.now - self.answered > self.world.lease_s:
            self.tasks.clear()
            self.epoch += 1
            self.answered = self.world.clock.now

    def take(self, answer: tuple[int, bytes], sent: float, epoch: int, node: str = "") -> int:
        """Take a response in, as PROTOCOL says; returns its status."""
        status, body = answer[0], answer[1]
        if status != 200:
            return status
        got = orjson.loads(body)
        if epoch != self.epoch or got["baton"] < self.fencing_token:
            return 0
        self.fencing_token = got["baton"]
        self.answered = max(self.answered, sent)
        self.last_answer[node] = self.world.clock.now
        for order in got["orders"]:
            self.obey(order)
        return 200

    def obey(self, order: dict[str, Any]) -> None:
        key = (order["part"], order["try"])
        have = self.tasks.get(key)
        if order["verb"] == "start":
            if have is not None:
                return
            job_id, number = workers.split_task(order["part"])  # type: ignore[misc]
            spec = self.world.specs.get(job_id)
            attempt = Attempt(order["part"], order["try"], "running")
            self.tasks[key] = attempt
            busy = [a for a in self.tasks.values() if a.task_id == order["part"] and a.phase != "ended"]
            used = sum(
                self.world.specs[a.task_id.split("/")[0]].cpus
                for a in self.tasks.values()
                if a.phase != "ended" and a is not attempt
            )
            if spec is None:
                attempt.phase, attempt.reason = "ended", "unknown"
            elif len(busy) > 1:
                attempt.phase, attempt.reason = "ended", "busy"
            elif used + spec.cpus > self.kind.cpus + 1e-6:
                attempt.phase, attempt.reason = "ended", "full"
            elif self.fails:
                attempt.phase, attempt.reason = "ended", self.sick_with
            else:
                self.world.started(self, job_id, number)
        elif order["verb"] == "halt":
            if have is not None and have.phase != "ended":
                have.phase, have.reason = "ended", "halted"
        elif have is not None and have.phase == "ended":
            del self.tasks[key]

    def finish(self, task_id: str, reason: str = "done") -> None:
        for attempt in self.tasks.values():
            if attempt.task_id == task_id and attempt.phase != "ended":
                attempt.phase, attempt.reason = "ended", reason

    def running(self) -> list[str]:
        return [a.task_id for a in self.tasks.values() if a.phase != "ended"]


class World:
    """Everything together, and the watch over PROTOCOL's rules."""

    def __init__(
        self,
        nodes: int = 1,
        value_kb: float = 8.0,
        writes: float = 1000.0,
        seed: int = 1,
        coming: str = "",
        old: Iterable[str] = (),
        cancel_s: float = 42.0,
        policy: Policy | None = None,
    ) -> None:
        """`coming`: the settings' `state.next`, in TOML. `old`: nodes of the first release; they know of no
        limits to come and don't say what they run. (Their formats are in tests/fixtures, their code is
        not.)"""
        self.clock = Clock()
        self.policy = policy or Policy(hold_s=0.0, hold_idle_s=0.0)
        self.state = FakeState(self.clock)
        self.lease_s = 12.0
        self.cancel_s = cancel_s
        self.rng = random.Random(seed)
        self.value_kb = value_kb
        self.write_rps = writes
        self.coming = coming
        self.old = set(old)
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, Any] = {}
        self.launched_at = 0
        self.requests: dict[str, list[str]] = {}
        self.capacity = 100
        self.cloud_down = False
        self.deletes_lost = False
        self.late_deletes: list[list[str]] = []
        self.deleted: list[str] = []
        self.list_calls = 0
        self.cancelled: dict[str, float] = {}
        self.told: dict[str, str] = {}
        self.accepted: set[str] = set()
        self.done_tasks: set[str] = set()
        self.starters: dict[str, list[Worker]] = {}  # the workers that have ever started each task
        self.pause_s = 0.05  # how far the clock goes on while a thread of a controller waits
        self.incarnations = 0
        self.cut: set[tuple[str, str]] = set()  # (worker, node) pairs that can't talk
        self.under_way: float | None = None  # since when the answer that a worker now executes was
        self.slow_s = 0.0  # how long answers to heartbeats take
        self.late_starts: list[str] = []  # begun by answers that were on their way at the cancellation
        self.frozen: set[str] = set()  # nodes that stand still while their clocks run on
        self.mesh_cut: set[str] = set()  # nodes that the other controllers don't reach
        self.sent: list[workers.Heartbeat] = []  # copies of heartbeats, to come once more, late
        self.nodes: dict[str, Controller] = {}
        self.names = [f"n{n}" for n in range(nodes)]
        for name in self.names:
            self.boot(name)

    # -- controllers -----------------------------------------------------------------------------------

    def settings(self, name: str) -> Settings:
        zone = "south" if name == "n1" else "north"
        coming = f"[facts.state.next]\n{self.coming}" if self.coming and name not in self.old else ""
        text = SETTINGS.format(
            name=name,
            zone=zone,
            cancel_s=self.cancel_s,
            writes=self.write_rps,
            value_kb=self.value_kb,
            coming=coming,
        )
        if name == "n0":  # no controller is its own peer
            text = text.replace(
                'member = "n0"\nsite = "north"\nendpoint', 'member = "n1"\nsite = "south"\nendpoint'
            )
        return parse(text)

    def boot(self, name: str, policy: Policy | None = None) -> Controller:
        """(Re)start a controller with nothing in memory."""
        self.incarnations += 1
        settings = self.settings(name)
        policy = policy or self.policy
        scheduler = Scheduler(settings, policy, self.clock, self.clock.wall, random.Random(7))
        node: Controller

        def pause(event: Any, seconds: float) -> None:
            # Threads of the real thing would run meanwhile: the group commit, and the one that reads.
            try:
                if node.scheduler.leader:
                    node.commit_loop.commit_once()
                    node.leadership.verify_once()
            except (UnavailableError, OutcomeUnknownError, LeaseGoneError):
                pass
            self.pass_time(min(seconds, self.pause_s))

        def meets(other: str) -> bool:
            return other in self.nodes and other not in self.frozen and not self.mesh_cut & {name, other}

        def asker(other: str) -> Callable[[float], Any]:
            def ask(timeout_s: float) -> Any:
                return self.nodes[other].status() if meets(other) else None

            return ask

        def notifier(other: str) -> Callable[[dict[str, float]], bool]:
            def notify(cancelled: dict[str, float]) -> bool:
                if not meets(other):
                    return False
                if other not in self.old:
                    self.nodes[other].on_cancellations(
                        mesh.decode_cancelled(mesh.encode_cancelled(cancelled))
                    )
                return True

            return notify

        others = [other for other in self.names if other != name]
        peers = {other: asker(other) for other in others}
        node = Controller(
            settings,
            scheduler,
            StateOf(self.state, name),
            self,
            f"i{self.incarnations}",
            peers,
            {other: notifier(other) for other in others},
            lambda address, body: self.command(name, address, body),
            clock=self.clock,
            wall=self.clock.wall,
            pause=pause,
            threaded=False,
            release=1 if name in self.old else mesh.RELEASE,
        )
        scheduler.set_types(self.catalog())
        self.nodes[name] = node
        self.join(name)
        return node

    def join(self, name: str) -> None:
        self.try_(lambda: self.nodes[name].watch_cache.pull(0.0))
        self.try_(lambda: self.nodes[name].membership_step())

    @staticmethod
    def try_(step: Callable[[], object]) -> bool:
        try:
            step()
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError, CloudBusyError):
            return False
        return True

    def pass_time(self, seconds: float) -> None:
        """The clock goes on; a controller notices if it stood still meanwhile."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + 0.5)
            for name, node in self.nodes.items():
                if name not in self.frozen:
                    node.stall_detector.resumed_at()

    def step_node(self, name: str) -> None:
        """What the threads of one controller do in a while."""
        if name in self.frozen:
            return
        node = self.nodes[name]
        self.try_(lambda: node.watch_cache.pull(0.0))
        self.try_(node.membership_step)
        self.try_(node.peer_poller.step)
        node.notices.send()
        if node.admission is not None:
            self.try_(node.admission.publish_once)
        if node.scheduler.leader:
            node.scheduler.round()
            for _ in range(3):
                self.try_(node.commit_loop.commit_once)
            node.leadership.verify_once()
        while node.stop_commands.pending:
            node.stop_commands.step()

    def fleet(self, name: str) -> None:
        """What the cloud threads of one controller do in a while."""
        node = self.nodes[name]
        if not node.scheduler.leader or name in self.frozen:
            return
        self.try_(node.cloud_operations.list_step)
        step = node.scaling_loop.scaling_once()
        for launch in step.launches:
            node.cloud_operations.launch(launch)
        if step.deletions:
            node.cloud_operations.delete([deletion.machine for deletion in step.deletions])
        if node.scheduler.policy.recovery:
            self.try_(node.scaling_loop.monitor_zones)

    def step(self, seconds: float = 0.5) -> None:
        """Some time passes: every controller steps, every worker reports to the leader."""
        self.pass_time(seconds)
        self.state.expire()
        for name in list(self.nodes):
            self.step_node(name)
        for worker in list(self.workers.values()):
            worker.check_lease()
            self.heartbeat(worker)
        for name in list(self.nodes):
            self.step_node(name)
        self.check()

    def leader(self) -> str | None:
        for name, node in self.nodes.items():
            if node.scheduler.leader and name not in self.frozen:
                return name
        return None

    def heartbeat(self, worker: Worker, node: str | None = None) -> int:
        """The worker reports to a node, or to the leader."""
        node = node or self.leader()
        if node is None or not self.reaches(worker, node):
            return 0
        if worker.coming is not None:  # one heartbeat in flight
            due, arriving, at, epoch, by = worker.coming
            if self.clock.now < due:
                return 0
            worker.coming = None
            if self.clock.now - at <= 4.0:
                self.under_way = at
                worker.take(arriving, at, epoch, by)
                self.under_way = None
        heartbeat = worker.heartbeat()
        sent = self.clock.now
        after = worker.last_answer.get(node, NEVER)
        self.sent = self.sent[-200:] + [heartbeat]
        answer = self.nodes[node].heartbeat(copy_of(heartbeat), after)
        if worker.name not in self.workers or worker.deaf:
            return 0
        if self.slow_s:
            worker.coming = (sent + self.slow_s, answer, sent, heartbeat.epoch, node)
            return 0
        status = worker.take(answer, sent, heartbeat.epoch, node)
        if status == 421:
            worker.at = orjson.loads(answer[1]).get("foreman", worker.at)
        return status

    def reaches(self, worker: Worker, node: str) -> bool:
        if worker.hung or worker.mute:
            return False
        return node in self.nodes and node not in self.frozen and (worker.name, node) not in self.cut

    def wander(self, worker: Worker) -> int:
        """The worker reports where it last was answered or was sent to, else to the next node."""
        worker.check_lease()
        node = worker.at = worker.at or self.names[0]
        status = self.heartbeat(worker, node)
        if status not in (200, 421) or (status == 421 and worker.at == node):
            worker.at = self.names[(self.names.index(node) + 1) % len(self.names)]
        return status

    def command(self, node: str, address: str, body: bytes) -> bytes | None:
        """A direct command reaches the worker, or nobody answers."""
        worker = self.workers.get(address.partition(":")[0])
        if worker is None or worker.deaf or worker.hung or (worker.name, node) in self.cut:
            return None
        got = orjson.loads(body)
        if got["baton"] >= worker.fencing_token and got["shift"] == worker.epoch:
            worker.fencing_token = got["baton"]
            for order in got["orders"]:
                worker.obey(order)
        return msgspec.json.encode(worker.heartbeat())

    def replay(self, heartbeat: workers.Heartbeat, node: str) -> None:
        """A copy of an old heartbeat comes late, on a connection of its own; nobody reads the answer."""
        if node in self.nodes and node not in self.frozen:
            self.nodes[node].heartbeat(copy_of(heartbeat), NEVER)

    # -- users -----------------------------------------------------------------------------------------

    def daemon(self, number: int, **fields: Any) -> bytes:
        """A service of two replicas that the users' new page allows."""
        new = {"lane": "desk", "shape": "daemon", "rank": "critical", "loaners": False, "guess_s": 0.0}
        return self.job(number, **new | fields)

    def job(self, number: int, **fields: Any) -> bytes:
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
        status, answer, _ = self.nodes[node].submit(body)
        if status in (200, 201):
            spec = jobs.parse_submission(body)
            self.specs[spec.id] = spec
            self.accepted.add(spec.id)
            self.hear(spec.id, orjson.loads(answer)["phase"])
        return status

    def cancel(self, node: str, job_id: str) -> str | None:
        status, answer, _ = self.nodes[node].cancel(job_id)
        if status != 200:
            return None
        phase = orjson.loads(answer)["phase"]
        self.hear(job_id, phase)
        if phase == "aborted":
            self.cancelled.setdefault(job_id, self.clock.now)
        return phase

    def query(self, node: str, job_id: str) -> str | None:
        status, answer, _ = self.nodes[node].query(job_id)
        if status == 404:
            assert job_id not in self.accepted, f"forgotten: {job_id}"
            return None
        if status != 200:
            return None
        assert job_id in self.specs, f"invented: {job_id}"
        phase = orjson.loads(answer)["phase"]
        self.hear(job_id, phase)
        return phase

    def look(self, number: int, **fields: Any) -> list[str | None]:
        """Users ask at all nodes and repeat the submission, all within an instant; what they were told."""
        told: list[str | None] = []
        for name in self.nodes:
            told.append(self.query(name, f"req-{number:06d}"))
            status, body, _ = self.nodes[name].submit(self.job(number, **fields))
            assert status in (200, 503), f"forgotten: a repeated submission is answered {status}"
            if status == 200:
                told.append(orjson.loads(body)["phase"])
                self.hear(f"req-{number:06d}", told[-1])
        return told

    def hear(self, job_id: str, phase: str) -> None:
        """A user is told a phase: it never goes back from a final one, and done means done."""
        before = self.told.get(job_id)
        if before in ("done", "aborted"):
            assert phase == before, f"went_back: {job_id} {before} -> {phase}"
        if phase == "done":
            spec = self.specs[job_id]
            undone = [t for t in range(spec.tasks) if f"{job_id}/{t}" not in self.done_tasks]
            assert not undone, f"not_done: {job_id} {undone}"
        self.told[job_id] = phase

    # -- rules -----------------------------------------------------------------------------------------

    def started(self, worker: Worker, job_id: str, task: int) -> None:
        """Called at every start: ran_twice, wrong_place, ran_cancelled."""
        task_id = f"{job_id}/{task}"
        spec = self.specs[job_id]
        for other in self.starters.setdefault(task_id, []):
            if other is not worker and self.workers.get(other.name) is other:
                assert task_id not in other.running(), (
                    f"ran_twice: {task_id} on {worker.name} and {other.name}"
                )
        self.starters[task_id].append(worker)
        assert spec.spot or not worker.spot, f"wrong_place: {task_id} on a spot machine"
        assert spec.types is None or worker.kind.name in spec.types, f"wrong_place: {task_id} type"
        assert spec.zone is None or spec.zone == worker.zone, f"wrong_place: {task_id} zone"
        zones = []
        if spec.one_zone or spec.spread:
            zones = [w.zone for w in self.workers.values() for p in w.running() if p.split("/")[0] == job_id]
        if spec.one_zone:
            assert len(set(zones)) <= 1, f"wrong_place: {task_id} not together"
        if spec.spread:
            assert zones.count(worker.zone) <= (spec.tasks + 1) // 2, f"wrong_place: {task_id} not apart"
        if job_id in self.cancelled:
            # Only an answer that is on its way when the cancellation is confirmed may still start a task.
            known = self.under_way is None or self.under_way > self.cancelled[job_id]
            assert not known, f"{task_id} started by an answer from after its confirmed cancellation"
            self.late_starts.append(task_id)

    def check(self) -> None:
        """The rules that hold at every moment."""
        used: dict[str, float] = {}
        for worker in self.workers.values():
            for task_id in worker.running():
                spec = self.specs[task_id.split("/")[0]]
                used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                if spec.id in self.cancelled:
                    late = self.clock.now - self.cancelled[spec.id]
                    assert late <= self.cancel_s, f"ran_cancelled: {task_id} {late} s after"
        for team, cpus in used.items():
            assert cpus <= LIMITS[team] + 1e-6, f"quota: {team} uses {cpus}"

    def stuck(self) -> list[str]:
        """Jobs with a waiting task that fits on a machine with room while its team is under its limit."""
        used: dict[str, float] = {}
        free = {name: worker.kind.cpus for name, worker in self.workers.items()}
        for name, worker in self.workers.items():
            for task_id in worker.running():
                spec = self.specs[task_id.split("/")[0]]
                used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                free[name] -= spec.cpus
        placed = {task_id for worker in self.workers.values() for task_id in worker.running()}
        out = []
        for job_id in sorted(self.accepted):
            spec = self.specs[job_id]
            parts = {f"{job_id}/{task}" for task in range(spec.tasks)}
            # A cancellation may have been carried out although its user got no answer.
            cancelled = records.decode(self.state.rows[records.key(job_id)][0]).cancelled
            if cancelled or not parts - placed - self.done_tasks:
                continue
            fits = any(
                free[name] >= spec.cpus
                and (spec.spot or not worker.spot)
                and spec.zone in (None, worker.zone)
                and (spec.types is None or worker.kind.name in spec.types)
                and not worker.deaf
                and not worker.hung
                and not worker.mute
                for name, worker in self.workers.items()
            )
            if fits and used.get(spec.team, 0.0) + spec.cpus <= LIMITS[spec.team]:
                out.append(job_id)
        return out

    # -- cloud -----------------------------------------------------------------------------------------

    def catalog(self) -> list[MachineType]:
        return [SMALL, CARDS]

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        if self.cloud_down:
            raise CloudBusyError("503")
        if request in self.requests:
            return self.requests[request]
        count = min(count, self.capacity)
        if count <= 0:
            raise NoCapacityError
        self.capacity -= count
        names = [self.machine(kind, zone, spot).name for _ in range(count)]
        self.requests[request] = names
        return names

    def machine(self, kind: str = "small", zone: str = "north", spot: bool = True) -> Worker:
        self.launched_at += 1
        name = f"vm-{self.launched_at:06d}"
        found = SMALL if kind == "small" else CARDS
        worker = Worker(self, name, found, zone, spot, answered=self.clock.now)
        self.workers[name] = worker
        return worker

    def delete(self, names: list[str]) -> None:
        if self.cloud_down:
            raise CloudBusyError("503")
        if self.deletes_lost:
            self.late_deletes.append(names)
            raise CloudBusyError("no answer")
        self.execute_delete(names)

    def execute_delete(self, names: list[str]) -> None:
        for name in names:
            if self.workers.pop(name, None) is not None:
                self.capacity += 1
            self.deleted.append(name)

    def machines(self, since: str) -> MachinePage:
        if self.cloud_down:
            raise CloudBusyError("503")
        self.list_calls += 1
        listed = [
            Listed(w.name, "10.0.0.9:9", w.kind.name, w.zone, w.spot, "running", 5.0)
            for w in self.workers.values()
            if w.name > since
        ]
        return MachinePage(listed[:LIST_PAGE], len(listed) > LIST_PAGE)

    def finish(self, task_id: str) -> None:
        """The task completes wherever it runs."""
        for worker in self.workers.values():
            if task_id in worker.running():
                worker.finish(task_id)
                self.done_tasks.add(task_id)
