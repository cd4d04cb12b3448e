"""An in-memory cloud: two machine types, launch requests, deletions, and injected faults."""

from __future__ import annotations

from collections.abc import Callable

from bayford.protocol.cloud_api import (
    MACHINES_PER_PAGE,
    CloudBusyError,
    ListedMachine,
    MachinePage,
    NoCapacityError,
)
from bayford.scheduling.model import MachineType
from fakes.worker import FakeWorker

SMALL_TYPE = MachineType("small", 4.0, 0.0, 32.0, 0.2, 0.06, 20.0, 0.5, ("north", "south"))
GPU_TYPE = MachineType("cards", 8.0, 2.0, 64.0, 2.0, 0.9, 30.0, 0.5, ("north",))


class FakeCloud:
    """Launches, lists and deletes machines. Each machine gets a worker, which is up immediately."""

    def __init__(self, new_worker: Callable[[str, MachineType, str, bool], FakeWorker]) -> None:
        """`new_worker` creates the worker of a machine, given its name, machine type, zone and spot flag."""
        self.new_worker = new_worker
        self.workers: dict[str, FakeWorker] = {}  # by machine name
        self.machines_launched = 0
        self.requests: dict[str, list[str]] = {}  # launch request -> names of its machines
        self.capacity = 100  # number of machines that can still be launched
        self.down = False
        self.deletes_lost = False  # deletions get no response and are kept in `late_deletes`
        self.late_deletes: list[list[str]] = []
        self.deleted: list[str] = []
        self.list_calls = 0
        # Called with a repetition of each launch and deletion that a controller requests.
        self.on_request: Callable[[Callable[[], object]], None] | None = None

    def catalog(self) -> list[MachineType]:
        return [SMALL_TYPE, GPU_TYPE]

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        if self.down:
            raise CloudBusyError("503")
        if self.on_request is not None:
            self.on_request(lambda: self.execute_launch(request, kind, zone, spot, count))
        names = self.execute_launch(request, kind, zone, spot, count)
        if not names:
            raise NoCapacityError
        return names

    def execute_launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch machines, or return those of an earlier request of this name; none without capacity."""
        if request in self.requests:
            return self.requests[request]
        count = min(count, self.capacity)
        if count <= 0:
            return []
        self.capacity -= count
        names = [self.start_machine(kind, zone, spot).name for _ in range(count)]
        self.requests[request] = names
        return names

    def start_machine(self, kind: str = "small", zone: str = "north", spot: bool = True) -> FakeWorker:
        self.machines_launched += 1
        name = f"vm-{self.machines_launched:06d}"
        machine_type = SMALL_TYPE if kind == "small" else GPU_TYPE
        worker = self.new_worker(name, machine_type, zone, spot)
        self.workers[name] = worker
        return worker

    def delete(self, names: list[str]) -> None:
        if self.down:
            raise CloudBusyError("503")
        if self.deletes_lost:
            self.late_deletes.append(names)
            raise CloudBusyError("no answer")
        if self.on_request is not None:
            self.on_request(lambda: self.execute_delete(names))
        self.execute_delete(names)

    def execute_delete(self, names: list[str]) -> None:
        for name in names:
            if self.workers.pop(name, None) is not None:
                self.capacity += 1
            self.deleted.append(name)

    def list_machines(self, since: str) -> MachinePage:
        if self.down:
            raise CloudBusyError("503")
        self.list_calls += 1
        listed = [
            ListedMachine(
                worker.name, "10.0.0.9:9", worker.kind.name, worker.zone, worker.spot, "running", 5.0
            )
            for worker in self.workers.values()
            if worker.name > since
        ]
        return MachinePage(listed[:MACHINES_PER_PAGE], len(listed) > MACHINES_PER_PAGE)
