"""Stand-in cloud API whose machines are stand-in workers."""

import threading
from typing import Any

from standins.http_service import HttpService, Request, Response, ServiceControls
from standins.workers import MachineKind, Worker, WorkerFleet


class Cloud:
    """Launches, lists and deletes machines of `kinds` in `zones`, at most `capacity` at a time."""

    def __init__(self, fleet: WorkerFleet, kinds: list[MachineKind], zones: list[str], capacity: int) -> None:
        self.controls = ServiceControls()
        self._fleet = fleet
        self._kinds = {kind.label: kind for kind in kinds}
        self._zones = zones
        self.capacity = capacity
        self._lock = threading.Lock()
        self._launched: dict[str, list[str]] = {}  # launch request ID -> names of its machines
        self._service = HttpService(self._handle, self.controls)
        self.address = self._service.address

    def close(self) -> None:
        """Stop serving."""
        self._service.close()

    def _handle(self, request: Request) -> Response:
        with self._lock:
            if request.path == "/catalog":
                return Response(
                    200, {"builds": [kind.catalog_row(self._zones) for kind in self._kinds.values()]}
                )
            if request.path == "/hosts/delete":
                for name in request.body["docks"]:
                    self._fleet.delete(name)
                return Response(200)
            if request.path == "/hosts" and request.method == "POST":
                return self._launch(request.body)
            if request.path == "/hosts":
                return self._list(request.query)
            return Response(400)

    def _launch(self, body: dict[str, Any]) -> Response:
        if body["hire"] not in self._launched:
            count = min(body["count"], self.capacity - len(self._fleet.workers))
            if count <= 0:
                return Response(503, {"error": "no capacity"})
            kind = self._kinds[body["build"]]
            workers = [self._fleet.launch(kind, body["yard"], body["loaners"]) for _ in range(count)]
            self._launched[body["hire"]] = [worker.name for worker in workers]
        return Response(200, {"docks": self._launched[body["hire"]]})

    def _list(self, query: dict[str, str]) -> Response:
        limit = int(query.get("limit", 500))
        names = sorted(name for name in self._fleet.workers if name > query.get("since", ""))
        rows = [self._row(self._fleet.workers[name]) for name in names[:limit]]
        return Response(200, {"docks": rows, "more": len(names) > limit})

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
