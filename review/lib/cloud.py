"""A stand-in cloud with machine types in zones, a capacity of each kind, and the usual bounds of PROTOCOL."""

import threading
import time
from dataclasses import dataclass
from typing import Any

from standins.http_service import HttpService, Request, Response, ServiceControls
from standins.workers import MachineKind, Worker, WorkerFleet

MAX_HIRED = 50
MAX_LISTED = 500


@dataclass
class Offer:
    """A machine type in one zone. The two counts may change at any time."""

    kind: MachineKind
    zone: str
    spot_price: float
    boot_s: float
    spot: int  # machines that may be up at once
    ordinary: int


class Cloud:
    """Rents, lists and deletes machines. They are up within a second."""

    def __init__(self, fleet: WorkerFleet, offers: list[Offer]) -> None:
        self.offers = offers
        self.controls = ServiceControls()
        self.deleted: list[str] = []
        self._fleet = fleet
        self._lock = threading.Lock()  # guards all rentals
        self._hired: dict[str, list[str]] = {}  # by the name of the request
        self._service = HttpService(self._handle, self.controls)
        self.address = self._service.address

    def close(self) -> None:
        """Stop serving."""
        self._service.close()

    def machines(self) -> list[Worker]:
        """Return the machines that are up."""
        return list(self._fleet.workers.values())

    def _handle(self, request: Request) -> Response:
        with self._lock:
            if request.path == "/catalog":
                return Response(200, {"builds": [self._catalog_row(offer) for offer in self.offers]})
            if request.path == "/hosts/delete":
                for name in request.body["docks"]:
                    self._fleet.delete(name)
                    self.deleted.append(name)
                return Response(200)
            if request.path == "/hosts" and request.method == "POST":
                return self._hire(request.body)
            if request.path == "/hosts":
                return self._list(request.query)
            return Response(400)

    @staticmethod
    def _catalog_row(offer: Offer) -> dict[str, Any]:
        row = offer.kind.catalog_row([offer.zone])
        return row | {"boot_s": offer.boot_s, "market_price": offer.spot_price, "cache_gb": 50.0}

    def _hire(self, body: dict[str, Any]) -> Response:
        if body["hire"] not in self._hired:
            offer = next(o for o in self.offers if (o.kind.label, o.zone) == (body["build"], body["yard"]))
            up = sum(
                (w.kind.label, w.zone, w.spot) == (body["build"], body["yard"], body["loaners"])
                for w in self.machines()
            )
            capacity = offer.spot if body["loaners"] else offer.ordinary
            count = min(body["count"], MAX_HIRED, capacity - up)
            if count <= 0:
                return Response(503, {"error": "no capacity"})
            workers = [self._fleet.launch(offer.kind, offer.zone, body["loaners"]) for _ in range(count)]
            self._hired[body["hire"]] = [worker.name for worker in workers]
        return Response(200, {"docks": self._hired[body["hire"]]})

    def _list(self, query: dict[str, str]) -> Response:
        limit = min(MAX_LISTED, int(query.get("limit", MAX_LISTED)))
        workers = sorted(
            (w for w in self.machines() if w.name > query.get("since", "")), key=lambda worker: worker.name
        )
        rows = [
            {
                "id": worker.name,
                "addr": worker.address,
                "build": worker.kind.label,
                "yard": worker.zone,
                "loaners": worker.spot,
                "phase": "running",
                "held_s": worker.age_s(),
            }
            for worker in workers[:limit]
        ]
        return Response(200, {"docks": rows, "more": len(workers) > limit})


def log_new_events(fleet: WorkerFleet, seen: int, began: float) -> tuple[list[str], int]:
    """Return lines on what has run since `seen` events, and the present number of events."""
    events = fleet.history[seen:]
    lines = [
        f"{event.machine}: {event.task_id} try {event.number} {event.kind} at {event.at - began:.2f}"
        for event in events
    ]
    return lines, seen + len(events)


def wait_until(condition: Any, timeout_s: float) -> bool:
    """Wait until `condition()` holds; return whether it does."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return bool(condition())
