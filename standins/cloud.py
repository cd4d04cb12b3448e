"""A cloud that rents stand-in workers."""

import threading
from typing import Any

from standins.http_service import Answer, Call, HttpService, ServiceControls
from standins.workers import MachineKind, Worker, WorkerFleet


class Cloud:
    """Machines of some kinds in some zones, up to a capacity."""

    def __init__(self, fleet: WorkerFleet, kinds: list[MachineKind], zones: list[str], capacity: int) -> None:
        self.controls = ServiceControls()
        self._fleet = fleet
        self._kinds = {kind.label: kind for kind in kinds}
        self._zones = zones
        self.capacity = capacity
        self._lock = threading.Lock()
        self._hired: dict[str, list[str]] = {}
        self._service = HttpService(self._handle, self.controls)
        self.address = self._service.address

    def close(self) -> None:
        """Stop serving."""
        self._service.close()

    def _handle(self, call: Call) -> Answer:
        with self._lock:
            if call.path == "/catalog":
                return Answer(
                    200, {"builds": [kind.catalog_row(self._zones) for kind in self._kinds.values()]}
                )
            if call.path == "/hosts/delete":
                for name in call.body["docks"]:
                    self._fleet.end(name)
                return Answer(200)
            if call.path == "/hosts" and call.method == "POST":
                return self._rent(call.body)
            if call.path == "/hosts":
                return self._list(call.query)
            return Answer(400)

    def _rent(self, body: dict[str, Any]) -> Answer:
        if body["hire"] not in self._hired:
            count = min(body["count"], self.capacity - len(self._fleet.workers))
            if count <= 0:
                return Answer(503, {"error": "no capacity"})
            kind = self._kinds[body["build"]]
            launched_at = [self._fleet.begin(kind, body["yard"], body["loaners"]) for _ in range(count)]
            self._hired[body["hire"]] = [worker.name for worker in launched_at]
        return Answer(200, {"docks": self._hired[body["hire"]]})

    def _list(self, query: dict[str, str]) -> Answer:
        limit = int(query.get("limit", 500))
        names = sorted(name for name in self._fleet.workers if name > query.get("since", ""))
        rows = [self._row(self._fleet.workers[name]) for name in names[:limit]]
        return Answer(200, {"docks": rows, "more": len(names) > limit})

    def _row(self, worker: Worker) -> dict[str, Any]:
        return {
            "id": worker.name,
            "addr": worker.address,
            "build": worker.kind.label,
            "yard": worker.zone,
            "loaners": worker.spot,
            "phase": "running",
            "held_s": worker.age_s(),
        }
