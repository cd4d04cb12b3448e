"""Stand-in workers: one thread each, which sends heartbeats over real sockets, by PROTOCOL."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from standins.http_service import HttpService, Request, Response

RESPONSE_TIMEOUT_S = 4.0  # of a heartbeat
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
        """The row in the form of the cloud's API."""
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
    """Faults of one worker. Set at any time, by any thread."""

    cut_from: set[str] = field(default_factory=set)  # controllers that its heartbeats don't reach
    mute: bool = False  # its heartbeats reach no controller
    hung: bool = False  # it does nothing at all, and its lease does not expire
    fails: bool = False  # every task that it starts fails
    delay_s: float = 0.0  # before each heartbeat
    lose_answers: int = 0  # so many more responses to its heartbeats don't arrive
    reclaim_notice_s: float | None = None  # announced in its heartbeats: the cloud takes it back


@dataclass
class Attempt:
    """A task attempt on a worker."""

    task_id: str
    number: int
    phase: str = "pulling"
    cause: str | None = None
    since: float = 0.0  # when the phase began, on the steady clock

    def state(self) -> dict[str, Any]:
        """Its entry in a heartbeat."""
        return {"part": self.task_id, "try": self.number, "phase": self.phase, "cause": self.cause}


@dataclass(frozen=True)
class AttemptEvent:
    """A change of a task attempt; the order of events is their order in the history."""

    task_id: str
    number: int
    machine: str
    kind: str  # running, done, error, halted, lost, or forgotten: it had ended and was not reaped
    at: float = field(default=0.0, compare=False)  # on the steady clock


class WorkerFleet:
    """All workers, the jobs that users have uploaded, and the history of attempts."""

    def __init__(self, controllers: dict[str, str], heartbeat_interval_s: float, lease_s: float) -> None:
        """`controllers`: their addresses for workers and users, by name."""
        self.controllers = controllers
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lease_s = lease_s
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}  # how long each task of a job runs
        self.workers: dict[str, Worker] = {}
        self.history: list[AttemptEvent] = []
        self.fetches: list[tuple[str, str]] = []  # machine, image
        self._launched = 0

    def launch(self, kind: MachineKind, zone: str, spot: bool, images: tuple[str, ...] = ()) -> "Worker":
        """A new machine that is up at once, with these images in its cache."""
        self._launched += 1
        worker = Worker(self, f"vm-{self._launched:06d}", kind, zone, spot, images)
        self.workers[worker.name] = worker
        worker.start()
        return worker

    def delete(self, name: str) -> None:
        """Delete a machine and all on it."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    def upload(self, job: dict[str, Any], run_s: float) -> None:
        """Store a job's description, as users do before they submit it. Its tasks run for `run_s` each."""
        self.jobs[job["id"]] = job
        self.run_s[job["id"]] = run_s

    def set_zone_partitioned(self, zone: str, partitioned: bool) -> None:
        """Partition the machines of a zone from all controllers, or reconnect them. They run on meanwhile."""
        for worker in list(self.workers.values()):
            if worker.zone == zone:
                worker.controls.mute = partitioned
                worker.refuse_commands(partitioned)

    def close(self) -> None:
        """Delete all machines."""
        for name in list(self.workers):
            self.delete(name)

    def loads(self) -> dict[str, float]:
        """Share of its CPUs that each machine has in use."""
        return {name: worker.used_cpus() / worker.kind.cpus for name, worker in list(self.workers.items())}


class Worker:
    """One machine and the worker on it. Its thread sends heartbeats; its service executes direct commands."""

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
        self.controller = next(iter(fleet.controllers))
        self._launched_at = self._lease_renewed_at = time.monotonic()
        self._lock = threading.RLock()  # guards tasks, epoch, sequence and fencing token
        self._changed = True
        self._stopped = threading.Event()
        self._connection: tuple[str, http.client.HTTPConnection] | None = None
        self._service = HttpService(self._handle)
        self.address = self._service.address

    def start(self) -> None:
        """Send heartbeats and run tasks in a thread of its own."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop, and lose all tasks."""
        self._stopped.set()
        self._service.close()
        with self._lock:
            self._drop_all_tasks()

    def refuse_commands(self, refuse: bool) -> None:
        """Whether direct commands get 503 from now on."""
        self._service.controls.down = refuse

    def age_s(self) -> float:
        """Seconds since its launch."""
        return time.monotonic() - self._launched_at

    def used_cpus(self) -> float:
        """CPUs of the tasks that have not ended."""
        with self._lock:
            return float(sum(self._job(a)["cpus"] for a in self.tasks.values() if a.phase != "ended"))

    def _job(self, attempt: Attempt) -> dict[str, Any]:
        return self.fleet.jobs[attempt.task_id.partition("/")[0]]

    def _run(self) -> None:
        sent_at = 0.0
        while not self._stopped.wait(STEP_S):
            if self.controls.hung:
                continue
            with self._lock:
                self._advance_tasks()
            now = time.monotonic()
            if now - sent_at >= (0.5 if self._changed else self.fleet.heartbeat_interval_s):
                sent_at = now
                self._changed = False
                self._send_heartbeat()

    # -- tasks -----------------------------------------------------------------------------------------

    def _advance_tasks(self) -> None:
        now = time.monotonic()
        if now - self._lease_renewed_at > self.fleet.lease_s:
            self._drop_all_tasks()
            self.epoch += 1
            self._lease_renewed_at = now
            self._changed = True
        for attempt in self.tasks.values():
            if attempt.phase == "pulling":
                self._fetch_image(attempt, now)
            elif (
                attempt.phase == "running"
                and now - attempt.since >= self.fleet.run_s[self._job(attempt)["id"]]
            ):
                attempt.cause = "done"
                self._enter_phase(attempt, "ended", now)

    def _fetch_image(self, attempt: Attempt, now: float) -> None:
        """Run the attempt once its image is there; images fetched at the same time share the link."""
        job = self._job(attempt)
        fetching = {self._job(a)["bundle"] for a in self.tasks.values() if a.phase == "pulling"}
        fetch_s = job["size_gb"] / self.kind.fetch_gb_per_s * len(fetching - self.images)
        if job["bundle"] in self.images or now - attempt.since >= fetch_s:
            if job["bundle"] not in self.images:
                self.images.add(job["bundle"])
                self.fleet.fetches.append((self.name, job["bundle"]))
            self._enter_phase(attempt, "running", now)

    def _enter_phase(self, attempt: Attempt, phase: str, now: float) -> None:
        attempt.phase, attempt.since = phase, now
        self._changed = True
        what = phase if phase == "running" else str(attempt.cause)
        if what in ("running", "done", "halted", "error"):
            self.fleet.history.append(AttemptEvent(attempt.task_id, attempt.number, self.name, what, now))

    def _drop_all_tasks(self) -> None:
        now = time.monotonic()
        for attempt in self.tasks.values():
            what = "forgotten" if attempt.phase == "ended" else "lost"
            self.fleet.history.append(AttemptEvent(attempt.task_id, attempt.number, self.name, what, now))
        self.tasks.clear()

    def _execute(self, command: dict[str, Any]) -> None:
        key = (command["part"], command["try"])
        known = self.tasks.get(key)
        now = time.monotonic()
        if command["verb"] == "start" and known is None:
            attempt = Attempt(command["part"], command["try"], since=now)
            job = self.fleet.jobs.get(attempt.task_id.partition("/")[0])
            other_attempt_runs = any(
                a.task_id == attempt.task_id and a.phase != "ended" for a in self.tasks.values()
            )
            if job is None or other_attempt_runs:
                attempt.phase, attempt.cause = "ended", "busy" if job else "unknown"
            elif self.used_cpus() + job["cpus"] > self.kind.cpus + 1e-6:
                attempt.phase, attempt.cause = "ended", "full"
            elif self.controls.fails:
                attempt.cause = "error"
                self._enter_phase(attempt, "ended", now)
            self.tasks[key] = attempt
        elif command["verb"] == "halt" and known is not None and known.phase != "ended":
            known.cause = "halted"
            self._enter_phase(known, "ended", now)
        elif command["verb"] == "reap" and known is not None and known.phase == "ended":
            del self.tasks[key]
        self._changed = True

    # -- the protocol ----------------------------------------------------------------------------------

    def _heartbeat(self) -> dict[str, Any]:
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

    def _handle(self, request: Request) -> Response:
        with self._lock:
            if request.path == "/commands" and not self.controls.hung:
                if request.body["baton"] < self.fencing_token or request.body["shift"] != self.epoch:
                    return Response(409, self._heartbeat())
                self.fencing_token = request.body["baton"]
                for command in request.body["orders"]:
                    self._execute(command)
            return Response(200, self._heartbeat())

    def _send_heartbeat(self) -> None:
        controller = self.controller
        if self.controls.delay_s:
            time.sleep(self.controls.delay_s)
        with self._lock:
            body = self._heartbeat()
            epoch = self.epoch
        sent_at = time.monotonic()
        status, response = 0, b""
        if not self.controls.mute and controller not in self.controls.cut_from:
            status, response = self._post(controller, json.dumps(body).encode())
        if status and self.controls.lose_answers > 0:
            self.controls.lose_answers -= 1
            return
        if status == 200:
            self._on_response(json.loads(response), sent_at, epoch)
            return
        leader = json.loads(response).get("foreman") if status == 421 else None
        names = list(self.fleet.controllers)
        if leader in names and leader != controller:
            self.controller = leader
        else:
            self.controller = names[(names.index(controller) + 1) % len(names)]
            self._stopped.wait(1.0)
        self._changed = True

    def _on_response(self, response: dict[str, Any], sent_at: float, epoch: int) -> None:
        with self._lock:
            if epoch != self.epoch or response.get("baton", -1) < self.fencing_token:
                return
            if response["baton"] > self.fencing_token:
                self._changed = True
            self.fencing_token = response["baton"]
            self._lease_renewed_at = max(self._lease_renewed_at, sent_at)
            for command in response["orders"]:
                self._execute(command)

    def _post(self, controller: str, body: bytes) -> tuple[int, bytes]:
        try:
            if self._connection is None or self._connection[0] != controller:
                if self._connection is not None:
                    self._connection[1].close()
                address = self.fleet.controllers[controller]
                self._connection = (
                    controller,
                    http.client.HTTPConnection(address, timeout=RESPONSE_TIMEOUT_S),
                )
            connection = self._connection[1]
            connection.request("POST", "/v1/report", body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            if self._connection is not None:
                self._connection[1].close()
            self._connection = None
            return 0, b""
