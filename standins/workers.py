"""Stand-in workers: one thread each, reporting over real sockets, by the protocol of the users' page."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from standins.http_service import Answer, Call, HttpService

ANSWER_S = 4.0  # a worker waits so long for an answer
STEP_S = 0.05


@dataclass(frozen=True)
class MachineKind:
    """A row of the cloud's catalog."""

    label: str
    cpus: float
    mem_gb: float
    fetch_gb_per_s: float = 1.0
    rate: float = 0.2

    def catalog_row(self, zones: list[str]) -> dict[str, Any]:
        """As the catalog has it."""
        return {
            "label": self.label,
            "cpus": self.cpus,
            "cards": 0,
            "mem_gb": self.mem_gb,
            "cache_gb": 100.0,
            "fetch_gb_per_s": self.fetch_gb_per_s,
            "rate": self.rate,
            "market_price": self.rate / 3,
            "boot_s": 1.0,
            "yards": zones,
        }


@dataclass
class WorkerControls:
    """Troubles of one worker. Set at any time."""

    cut_from: set[str] = field(default_factory=set)  # controllers that it can't reach
    mute: bool = False  # it reaches no controller
    hung: bool = False  # it does nothing at all
    fails: bool = False  # every task that it starts fails
    delay_s: float = 0.0  # before each heartbeat
    lose_answers: int = 0  # so many answers to its heartbeats don't arrive
    reclaim_notice_s: float | None = None  # the cloud is about to take it


@dataclass
class Attempt:
    """A task attempt on a worker."""

    task_id: str
    number: int
    phase: str = "pulling"
    cause: str | None = None
    since: float = 0.0  # when the phase began

    def state(self) -> dict[str, Any]:
        """As a heartbeat has it."""
        return {"part": self.task_id, "try": self.number, "phase": self.phase, "cause": self.cause}


@dataclass(frozen=True)
class Event:
    """Something that became of an attempt; the order of events is their order in the history."""

    task_id: str
    number: int
    machine: str
    what: str  # running, done, error, stopped, lost, or forgotten: it had ended, and nobody has reaped it
    at: float = field(default=0.0, compare=False)  # on the steady clock


class WorkerFleet:
    """All workers, the jobs that their users have uploaded, and the history of what ran."""

    def __init__(self, controllers: dict[str, str], heartbeat_interval_s: float, lease_s: float) -> None:
        """`controllers`: front addresses by name."""
        self.controllers = controllers
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lease_s = lease_s
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}  # how long each task of a job runs
        self.workers: dict[str, Worker] = {}
        self.history: list[Event] = []
        self.fetches: list[tuple[str, str]] = []  # machine, image
        self._begun = 0

    def begin(self, kind: MachineKind, zone: str, spot: bool, images: tuple[str, ...] = ()) -> "Worker":
        """A new machine that is up at once."""
        self._begun += 1
        worker = Worker(self, f"vm-{self._begun:06d}", kind, zone, spot, images)
        self.workers[worker.name] = worker
        worker.start()
        return worker

    def end(self, name: str) -> None:
        """The machine and all on it are gone."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    def upload(self, job: dict[str, Any], run_s: float) -> None:
        """Users upload a job's description before they submit it."""
        self.jobs[job["id"]] = job
        self.run_s[job["id"]] = run_s

    def cut_zone(self, zone: str, away: bool) -> None:
        """Cut the machines of a zone from everybody, or bring them back. They run on meanwhile."""
        for worker in list(self.workers.values()):
            if worker.zone == zone:
                worker.controls.mute = away
                worker.refuse_commands(away)

    def close(self) -> None:
        """End all."""
        for name in list(self.workers):
            self.end(name)

    def loads(self) -> dict[str, float]:
        """Share of its CPUs that each machine has in use."""
        return {name: worker.used_cpus() / worker.kind.cpus for name, worker in list(self.workers.items())}


class Worker:
    """One machine."""

    def __init__(
        self, fleet: WorkerFleet, name: str, kind: MachineKind, zone: str, spot: bool, images: tuple[str, ...]
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.images = set(images)
        self.controls = WorkerControls()
        self.epoch = 1
        self.sequence = 0
        self.fencing_token = 0
        self.tasks: dict[tuple[str, int], Attempt] = {}
        self.at = next(iter(fleet.controllers))
        self._began = self._answered = time.monotonic()
        self._lock = threading.RLock()
        self._changed = True
        self._over = threading.Event()
        self._connection: tuple[str, http.client.HTTPConnection] | None = None
        self._service = HttpService(self._serve)
        self.address = self._service.address

    def start(self) -> None:
        """Report and run tasks in a thread of its own."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Gone, with all on it."""
        self._over.set()
        self._service.close()
        with self._lock:
            self._lose_all()

    def refuse_commands(self, refuse: bool) -> None:
        """Whether direct commands get through to this machine."""
        self._service.controls.down = refuse

    def age_s(self) -> float:
        """Since it was launched."""
        return time.monotonic() - self._began

    def used_cpus(self) -> float:
        """CPUs of the tasks that are there."""
        with self._lock:
            return float(sum(self._job(a)["cpus"] for a in self.tasks.values() if a.phase != "ended"))

    def _job(self, attempt: Attempt) -> dict[str, Any]:
        return self.fleet.jobs[attempt.task_id.partition("/")[0]]

    def _run(self) -> None:
        registered = 0.0
        while not self._over.wait(STEP_S):
            if self.controls.hung:
                continue
            with self._lock:
                self._go_on()
            now = time.monotonic()
            if now - registered >= (0.5 if self._changed else self.fleet.heartbeat_interval_s):
                registered = now
                self._changed = False
                self._report()

    # -- tasks -----------------------------------------------------------------------------------------

    def _go_on(self) -> None:
        now = time.monotonic()
        if now - self._answered > self.fleet.lease_s:
            self._lose_all()
            self.epoch += 1
            self._answered = now
            self._changed = True
        for attempt in self.tasks.values():
            job = self._job(attempt)
            if attempt.phase == "pulling":
                fetching = {self._job(a)["bundle"] for a in self.tasks.values() if a.phase == "pulling"}
                fetch_s = job["size_gb"] / self.kind.fetch_gb_per_s * len(fetching - self.images)
                if job["bundle"] in self.images or now - attempt.since >= fetch_s:
                    if job["bundle"] not in self.images:
                        self.images.add(job["bundle"])
                        self.fleet.fetches.append((self.name, job["bundle"]))
                    self._enter(attempt, "running", now)
            elif attempt.phase == "running" and now - attempt.since >= self.fleet.run_s[job["id"]]:
                attempt.cause = "done"
                self._enter(attempt, "ended", now)

    def _enter(self, attempt: Attempt, phase: str, now: float) -> None:
        attempt.phase, attempt.since = phase, now
        self._changed = True
        what = phase if phase == "running" else str(attempt.cause)
        if what in ("running", "done", "halted", "error"):
            self.fleet.history.append(Event(attempt.task_id, attempt.number, self.name, what, now))

    def _lose_all(self) -> None:
        now = time.monotonic()
        for attempt in self.tasks.values():
            what = "forgotten" if attempt.phase == "ended" else "lost"
            self.fleet.history.append(Event(attempt.task_id, attempt.number, self.name, what, now))
        self.tasks.clear()

    def _obey(self, order: dict[str, Any]) -> None:
        key = (order["part"], order["try"])
        have = self.tasks.get(key)
        now = time.monotonic()
        if order["verb"] == "start" and have is None:
            attempt = Attempt(order["part"], order["try"], since=now)
            job = self.fleet.jobs.get(attempt.task_id.partition("/")[0])
            busy = any(a.task_id == attempt.task_id and a.phase != "ended" for a in self.tasks.values())
            if job is None or busy:
                attempt.phase, attempt.cause = "ended", "busy" if job else "unknown"
            elif self.used_cpus() + job["cpus"] > self.kind.cpus + 1e-6:
                attempt.phase, attempt.cause = "ended", "full"
            elif self.controls.fails:
                attempt.cause = "error"
                self._enter(attempt, "ended", now)
            self.tasks[key] = attempt
        elif order["verb"] == "halt" and have is not None and have.phase != "ended":
            have.cause = "halted"
            self._enter(have, "ended", now)
        elif order["verb"] == "reap" and have is not None and have.phase == "ended":
            del self.tasks[key]
        self._changed = True

    # -- the protocol ----------------------------------------------------------------------------------

    def _body(self) -> dict[str, Any]:
        self.sequence += 1
        return {
            "dock": self.name,
            "addr": self.address,
            "build": self.kind.label,
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.epoch,
            "tick": self.sequence,
            "baton": self.fencing_token,
            "recall_s": self.controls.reclaim_notice_s,
            "parts": [a.state() for a in self.tasks.values()],
        }

    def _serve(self, call: Call) -> Answer:
        with self._lock:
            if call.path == "/commands" and not self.controls.hung:
                if call.body["baton"] < self.fencing_token or call.body["shift"] != self.epoch:
                    return Answer(409, self._body())
                self.fencing_token = call.body["baton"]
                for order in call.body["orders"]:
                    self._obey(order)
            return Answer(200, self._body())

    def _report(self) -> None:
        node = self.at
        if self.controls.delay_s:
            time.sleep(self.controls.delay_s)
        with self._lock:
            body = self._body()
            epoch = self.epoch
        sent = time.monotonic()
        status, answer = 0, b""
        if not self.controls.mute and node not in self.controls.cut_from:
            status, answer = self._post(node, json.dumps(body).encode())
        if status and self.controls.lose_answers > 0:
            self.controls.lose_answers -= 1
            return
        if status == 200:
            self._take(json.loads(answer), sent, epoch)
            return
        named = json.loads(answer).get("foreman") if status == 421 else None
        names = list(self.fleet.controllers)
        if named in names and named != node:
            self.at = named
        else:
            self.at = names[(names.index(node) + 1) % len(names)]
            self._over.wait(1.0)
        self._changed = True

    def _take(self, answer: dict[str, Any], sent: float, epoch: int) -> None:
        with self._lock:
            if epoch != self.epoch or answer.get("baton", -1) < self.fencing_token:
                return
            if answer["baton"] > self.fencing_token:
                self._changed = True
            self.fencing_token = answer["baton"]
            self._answered = max(self._answered, sent)
            for order in answer["orders"]:
                self._obey(order)

    def _post(self, node: str, body: bytes) -> tuple[int, bytes]:
        try:
            if self._connection is None or self._connection[0] != node:
                if self._connection is not None:
                    self._connection[1].close()
                address = self.fleet.controllers[node]
                self._connection = (node, http.client.HTTPConnection(address, timeout=ANSWER_S))
            connection = self._connection[1]
            connection.request("POST", "/v1/report", body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            if self._connection is not None:
                self._connection[1].close()
            self._connection = None
            return 0, b""
