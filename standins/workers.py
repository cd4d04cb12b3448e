"""Stand-in workers that speak the workers' protocol (PROTOCOL) over real sockets, one thread each."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from standins.http_service import HttpService, Request, Response
from standins.late_copies import LateCopies
from standins.message_sizes import MessageSizes

HEARTBEAT_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True)
class MachineKind:
    """A machine type, as listed in the cloud's catalog."""

    label: str
    cpus: float
    mem_gb: float
    fetch_gb_per_s: float = 1.0
    rate: float = 0.2

    def catalog_row(self, zones: list[str]) -> dict[str, Any]:
        """Return the catalog entry in the format of the cloud's API, offered in `zones`."""
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
    """Fault injection for one worker. Any thread may change the fields at any time."""

    unreachable_controllers: set[str] = field(default_factory=set)  # heartbeats to them are lost
    is_partitioned: bool = False  # heartbeats to all controllers are lost
    is_hung: bool = False  # the worker does nothing; its lease does not expire
    fails_tasks: bool = False  # every task fails on start
    heartbeat_delay_s: float = 0.0  # waits this long before each heartbeat
    responses_to_drop: int = 0  # number of next responses to heartbeats that are lost
    reclaim_notice_s: float | None = None  # heartbeats announce a reclaim of the machine in this time


@dataclass
class Attempt:
    """A task attempt on a worker."""

    task_id: str
    number: int
    phase: str = "pulling"
    cause: str | None = None
    phase_started_at: float = 0.0  # monotonic clock, seconds

    def heartbeat_entry(self) -> dict[str, Any]:
        """Return the entry for this attempt in a heartbeat."""
        return {"part": self.task_id, "try": self.number, "phase": self.phase, "cause": self.cause}


@dataclass(frozen=True)
class AttemptEvent:
    """A state change of a task attempt. Events are ordered by their position in the history."""

    task_id: str
    number: int
    machine: str
    # running, done, error or halted; if the worker dropped the attempt: lost (it had not ended) or forgotten
    # (it had ended and was not yet reaped)
    kind: str
    at: float = field(default=0.0, compare=False)  # monotonic clock, seconds


class WorkerFleet:
    """All workers, the uploaded job descriptions, and the history of task attempts."""

    def __init__(self, controllers: dict[str, str], heartbeat_interval_s: float, lease_s: float) -> None:
        """`controllers` maps each controller's name to its address for workers and users."""
        self.controllers = controllers
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lease_s = lease_s
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}  # run time of each task, by job ID
        self.workers: dict[str, Worker] = {}
        self.history: list[AttemptEvent] = []
        self.fetches: list[tuple[str, str]] = []  # (machine name, image)
        self.late_copies: LateCopies | None = None  # sends copies of messages, if a test sets it
        self._launch_count = 0

    def launch(self, kind: MachineKind, zone: str, spot: bool, images: tuple[str, ...] = ()) -> "Worker":
        """Start a new machine without boot time, with `images` in its cache."""
        self._launch_count += 1
        worker = Worker(self, f"vm-{self._launch_count:06d}", kind, zone, spot, images)
        self.workers[worker.name] = worker
        worker.start()
        return worker

    def delete(self, name: str) -> None:
        """Delete a machine and its task attempts. Does nothing if the machine does not exist."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    def upload(self, job: dict[str, Any], run_s: float) -> None:
        """Store a job's description, as users do before submitting it. Each of its tasks runs for `run_s`."""
        self.jobs[job["id"]] = job
        self.run_s[job["id"]] = run_s

    def set_zone_partitioned(self, zone: str, partitioned: bool) -> None:
        """Partition the machines of a zone from all controllers if `partitioned`, else reconnect them.

        Partitioned machines keep running.
        """
        for worker in list(self.workers.values()):
            if worker.zone == zone:
                worker.controls.is_partitioned = partitioned
                worker.refuse_commands(partitioned)

    def close(self) -> None:
        """Delete all machines."""
        for name in list(self.workers):
            self.delete(name)

    def loads(self) -> dict[str, float]:
        """Return the used fraction of each machine's CPUs, by machine name."""
        return {name: worker.used_cpus() / worker.kind.cpus for name, worker in list(self.workers.items())}


class Worker:
    """One machine and its worker: a thread sends heartbeats, an HTTP service executes direct commands."""

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
        self.message_sizes = MessageSizes()
        self.epoch = 1
        self.sequence = 0
        self.fencing_token = 0
        self.tasks: dict[tuple[str, int], Attempt] = {}
        self.controller = next(iter(fleet.controllers))
        self._launched_at = self._lease_renewed_at = time.monotonic()
        self._lock = threading.RLock()  # guards tasks, epoch, sequence number and fencing token
        self._has_unreported_changes = True
        self._stopped = threading.Event()
        self._connection: tuple[str, http.client.HTTPConnection] | None = None
        self._service = HttpService(self._handle)
        self.address = self._service.address

    def start(self) -> None:
        """Start the thread that runs tasks and sends heartbeats."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop the worker and drop all its task attempts."""
        self._stopped.set()
        self._service.close()
        with self._lock:
            self._drop_all_tasks()

    def refuse_commands(self, refuse: bool) -> None:
        """Answer direct commands with 503 if `refuse`, else accept them again."""
        self._service.controls.is_down = refuse

    def begin_next_epoch(self) -> None:
        """Kill and forget all tasks, as when the lease has expired."""
        with self._lock:
            self._drop_all_tasks()
            self.epoch += 1
            self._lease_renewed_at = time.monotonic()
            self._has_unreported_changes = True

    def begin_anew(self) -> None:
        """Come back as a worker that knows nothing, in its first epoch."""
        with self._lock:
            self._drop_all_tasks()
            self.epoch, self.sequence, self.fencing_token = 1, 0, 0
            self._lease_renewed_at = time.monotonic()
            self._has_unreported_changes = True
            if self._connection is not None:
                self._connection[1].close()

    def age_s(self) -> float:
        """Return the seconds since the launch."""
        return time.monotonic() - self._launched_at

    def used_cpus(self) -> float:
        """Return the CPUs of all attempts that have not ended."""
        with self._lock:
            return float(sum(self._job(a)["cpus"] for a in self.tasks.values() if a.phase != "ended"))

    def _job(self, attempt: Attempt) -> dict[str, Any]:
        return self.fleet.jobs[attempt.task_id.partition("/")[0]]

    def _run(self) -> None:
        sent_at = 0.0
        while not self._stopped.wait(POLL_INTERVAL_S):
            if self.controls.is_hung:
                continue
            with self._lock:
                self._advance_tasks()
            now = time.monotonic()
            if now - sent_at >= (0.5 if self._has_unreported_changes else self.fleet.heartbeat_interval_s):
                sent_at = now
                self._has_unreported_changes = False
                self._send_heartbeat()

    # -- tasks -----------------------------------------------------------------------------------------

    def _advance_tasks(self) -> None:
        now = time.monotonic()
        if now - self._lease_renewed_at > self.fleet.lease_s:
            self.begin_next_epoch()
        for attempt in self.tasks.values():
            if attempt.phase == "pulling":
                self._fetch_image(attempt, now)
            elif (
                attempt.phase == "running"
                and now - attempt.phase_started_at >= self.fleet.run_s[self._job(attempt)["id"]]
            ):
                attempt.cause = "done"
                self._enter_phase(attempt, "ended", now)

    def _fetch_image(self, attempt: Attempt, now: float) -> None:
        """Enter phase `running` once the image is cached. Concurrent fetches share the link's bandwidth."""
        job = self._job(attempt)
        fetching = {self._job(a)["bundle"] for a in self.tasks.values() if a.phase == "pulling"}
        fetch_s = job["size_gb"] / self.kind.fetch_gb_per_s * len(fetching - self.images)
        if job["bundle"] in self.images or now - attempt.phase_started_at >= fetch_s:
            if job["bundle"] not in self.images:
                self.images.add(job["bundle"])
                self.fleet.fetches.append((self.name, job["bundle"]))
            self._enter_phase(attempt, "running", now)

    def _enter_phase(self, attempt: Attempt, phase: str, now: float) -> None:
        attempt.phase, attempt.phase_started_at = phase, now
        self._has_unreported_changes = True
        event_kind = phase if phase == "running" else str(attempt.cause)
        if event_kind in ("running", "done", "halted", "error"):
            self.fleet.history.append(
                AttemptEvent(attempt.task_id, attempt.number, self.name, event_kind, now)
            )

    def _drop_all_tasks(self) -> None:
        now = time.monotonic()
        for attempt in self.tasks.values():
            event_kind = "forgotten" if attempt.phase == "ended" else "lost"
            self.fleet.history.append(
                AttemptEvent(attempt.task_id, attempt.number, self.name, event_kind, now)
            )
        self.tasks.clear()

    def _execute(self, command: dict[str, Any]) -> None:
        key = (command["part"], command["try"])
        existing = self.tasks.get(key)
        now = time.monotonic()
        if command["verb"] == "start" and existing is None:
            attempt = Attempt(command["part"], command["try"], phase_started_at=now)
            job = self.fleet.jobs.get(attempt.task_id.partition("/")[0])
            other_attempt_runs = any(
                a.task_id == attempt.task_id and a.phase != "ended" for a in self.tasks.values()
            )
            if job is None or other_attempt_runs:
                attempt.phase, attempt.cause = "ended", "busy" if job else "unknown"
            elif self.used_cpus() + job["cpus"] > self.kind.cpus + 1e-6:
                attempt.phase, attempt.cause = "ended", "full"
            elif self.controls.fails_tasks:
                attempt.cause = "error"
                self._enter_phase(attempt, "ended", now)
            self.tasks[key] = attempt
        elif command["verb"] == "halt" and existing is not None and existing.phase != "ended":
            existing.cause = "halted"
            self._enter_phase(existing, "ended", now)
        elif command["verb"] == "reap" and existing is not None and existing.phase == "ended":
            del self.tasks[key]
        self._has_unreported_changes = True

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
            "parts": [a.heartbeat_entry() for a in self.tasks.values()],
        }

    def _handle(self, request: Request) -> Response:
        if request.path != "/commands" or self.controls.is_hung:
            with self._lock:
                return Response(200, self._heartbeat())
        if self.fleet.late_copies is not None:
            self.fleet.late_copies.add_command(lambda: self._execute_direct(request.body))
        return self._execute_direct(request.body)

    def _execute_direct(self, body: dict[str, Any]) -> Response:
        with self._lock:
            if body["baton"] < self.fencing_token or body["shift"] != self.epoch:
                return Response(409, self._heartbeat())
            self.fencing_token = body["baton"]
            for command in body["orders"]:
                self._execute(command)
            return Response(200, self._heartbeat())

    def _send_heartbeat(self) -> None:
        controller = self.controller
        if self.controls.heartbeat_delay_s:
            time.sleep(self.controls.heartbeat_delay_s)
        with self._lock:
            body = self._heartbeat()
            epoch = self.epoch
        sent_at = time.monotonic()
        status, response = 0, b""
        if not self.controls.is_partitioned and controller not in self.controls.unreachable_controllers:
            report = json.dumps(body).encode()
            if self.fleet.late_copies is not None:
                self.fleet.late_copies.add_heartbeat(report)
            status, response = self._post(controller, report)
            self.message_sizes.record(report, status, response)
        if status and self.controls.responses_to_drop > 0:
            self.controls.responses_to_drop -= 1
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
        self._has_unreported_changes = True

    def _on_response(self, response: dict[str, Any], sent_at: float, epoch: int) -> None:
        with self._lock:
            if epoch != self.epoch or response.get("baton", -1) < self.fencing_token:
                return
            if response["baton"] > self.fencing_token:
                self._has_unreported_changes = True
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
                    http.client.HTTPConnection(address, timeout=HEARTBEAT_TIMEOUT_S),
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
