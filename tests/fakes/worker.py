"""A worker that follows the protocol (fencing tokens, epochs, lease, commands), with injected faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import orjson

from bayford.coordination.api.responses import Reply
from bayford.protocol import workers
from bayford.scheduling.model import MachineType

if TYPE_CHECKING:
    from fakes.cluster import Cluster


def encoded_copy(heartbeat: workers.Heartbeat) -> workers.Heartbeat:
    """A copy of a heartbeat, encoded and decoded as for the network."""
    return msgspec.convert(msgspec.to_builtins(heartbeat), workers.Heartbeat)


Encode = Callable[[dict[str, Any]], bytes]  # writes a message as JSON


@dataclass
class Attempt:
    """An attempt to run a task on a worker."""

    task_id: str
    number: int
    phase: str
    reason: str | None = None
    checkpointed: bool = False


class InFlightResponse(NamedTuple):
    """A delayed response to a heartbeat."""

    arrives_at: float
    response: Reply
    sent_at: float  # when the heartbeat was sent
    epoch: int  # the worker's epoch in the heartbeat
    node: str


@dataclass
class FakeWorker:
    """A worker on a simulated machine."""

    cluster: Cluster
    name: str
    kind: MachineType
    zone: str
    spot: bool
    epoch: int = 1
    sequence: int = 0
    fencing_token: int = 0
    last_answered_at: float = 0.0  # sending time of the latest heartbeat that got a response
    reclaim_notice_s: float | None = None
    tasks: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    last_response_at: dict[str, float] = field(default_factory=dict)  # by controller
    reports_to: str = ""  # the controller to which it sends the next heartbeat
    unresponsive: bool = False  # its heartbeats arrive, but no response reaches it
    hung: bool = False  # it neither communicates nor checks its lease; its tasks remain
    cannot_send: bool = False  # its heartbeats reach no controller; direct commands still arrive
    fails_starts: bool = False  # every attempt ends immediately with `failure_reason`
    failure_reason: str = "error"
    response_in_flight: InFlightResponse | None = None
    encode: Encode = msgspec.json.encode  # how it writes its heartbeats
    longest_report: int = 0  # bytes of its longest heartbeat so far
    refused_reports: int = 0  # heartbeats over the size limit
    started_attempts: set[tuple[str, int]] = field(default_factory=set)  # all since the worker began

    def encoded_heartbeat(self) -> bytes:
        """The next heartbeat as the body of a request or response."""
        body = self.encode(msgspec.to_builtins(self.heartbeat()))
        self.longest_report = max(self.longest_report, len(body))
        return body

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
        if not self.hung and self.cluster.clock.now - self.last_answered_at > self.cluster.lease_s:
            self.begin_next_epoch()

    def receive(self, reply: Reply, sent_at: float, epoch: int, node: str = "") -> int:
        """Process a response as PROTOCOL specifies; returns its HTTP status, 0 if it is stale."""
        if reply.status != 200:
            return reply.status
        response = orjson.loads(reply.body)
        if epoch != self.epoch or response["baton"] < self.fencing_token:
            return 0
        self.fencing_token = response["baton"]
        self.last_answered_at = max(self.last_answered_at, sent_at)
        self.last_response_at[node] = self.cluster.clock.now
        for command in response["orders"]:
            self.execute(command)
        return 200

    def execute_direct(self, request: dict[str, Any]) -> None:
        """Execute a direct command, unless its token or its session is outdated."""
        if request["baton"] >= self.fencing_token and request["shift"] == self.epoch:
            self.fencing_token = request["baton"]
            for command in request["orders"]:
                self.execute(command)

    def begin_anew(self) -> None:
        """Come back as a worker that knows nothing, in its first epoch."""
        self.tasks.clear()
        self.started_attempts.clear()
        self.epoch, self.sequence, self.fencing_token = 1, 0, 0
        self.last_response_at.clear()
        self.last_answered_at = self.cluster.clock.now
        self.response_in_flight = None

    def begin_next_epoch(self) -> None:
        """Kill and forget all tasks, as when the lease has expired."""
        self.tasks.clear()
        self.epoch += 1
        self.last_answered_at = self.cluster.clock.now

    def execute(self, command: dict[str, Any]) -> None:
        key = (command["part"], command["try"])
        existing = self.tasks.get(key)
        if command["verb"] == "start":
            if existing is not None:
                return
            job_id, number = workers.parse_task_id(command["part"])  # type: ignore[misc]
            spec = self.cluster.specs.get(job_id)
            attempt = Attempt(command["part"], command["try"], "running")
            self.tasks[key] = attempt
            active_attempts = [
                a for a in self.tasks.values() if a.task_id == command["part"] and a.phase != "ended"
            ]
            used = sum(
                self.cluster.specs[a.task_id.split("/")[0]].cpus
                for a in self.tasks.values()
                if a.phase != "ended" and a is not attempt
            )
            if spec is None:
                attempt.phase, attempt.reason = "ended", "unknown"
            elif len(active_attempts) > 1:
                attempt.phase, attempt.reason = "ended", "busy"
            elif used + spec.cpus > self.kind.cpus + 1e-6:
                attempt.phase, attempt.reason = "ended", "full"
            elif self.fails_starts:
                attempt.phase, attempt.reason = "ended", self.failure_reason
            else:
                assert key not in self.started_attempts, f"{key} started again on {self.name}"
                self.started_attempts.add(key)
                self.cluster.on_task_started(self, job_id, number)
        elif command["verb"] == "halt":
            if existing is not None and existing.phase != "ended":
                existing.phase, existing.reason = "ended", "halted"
        elif existing is not None and existing.phase == "ended":
            del self.tasks[key]

    def finish(self, task_id: str, reason: str = "done") -> None:
        for attempt in self.tasks.values():
            if attempt.task_id == task_id and attempt.phase != "ended":
                attempt.phase, attempt.reason = "ended", reason

    def running(self) -> list[str]:
        return [a.task_id for a in self.tasks.values() if a.phase != "ended"]
