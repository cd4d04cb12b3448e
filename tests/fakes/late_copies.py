"""Second copies of messages that arrive late, from milliseconds to well over a lease after the first."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson

from bayford.clock import NEVER
from bayford.protocol import workers
from bayford.storage.key_value_store import LeaseGoneError, Put

if TYPE_CHECKING:
    from fakes.cluster import Cluster

DELAYS_S = (0.005, 0.3, 1.0, 2.5, 6.0, 13.0, 40.0)
COPIES_OF_COMMAND = 2
SPREAD = 0.3  # a delay is drawn from this share below and above one of these


class LateCopies:
    """Delivers copies of the messages of a cluster: heartbeats, direct commands, writes and cloud requests.

    Nobody reads the response to a copy. Copies of responses to heartbeats are not delivered: a worker reads
    one response to each heartbeat, within 4 s, and has one heartbeat in flight.
    """

    def __init__(self, cluster: Cluster, share: float) -> None:
        """`share`: probability with which a message is copied, 0 to 1. Direct commands, which are few, are
        all copied."""
        self._cluster = cluster
        self._share = share
        self._numbers = itertools.count()  # tie breaker for the queue
        self._due: list[tuple[float, int, Callable[[], None]]] = []  # heap by the time of arrival
        self.heartbeats = 0  # copies delivered to a controller, like the following
        self.commands = 0
        self.writes = 0
        self.cloud_requests = 0
        self.starts: list[str] = []  # tasks whose start was in the response to a copy
        cluster.store.on_write = self.add_write
        cluster.cloud.on_request = self.add_cloud_request

    def add_heartbeat(self, heartbeat: workers.Heartbeat) -> None:
        """Maybe schedule a copy of a heartbeat, to a controller drawn when it arrives."""
        self._schedule(lambda: self._deliver_heartbeat(heartbeat))

    def add_command(self, machine: str, body: bytes) -> None:
        """Schedule copies of a direct command."""

        def deliver() -> None:
            worker = self._cluster.workers.get(machine)
            if worker is not None and not worker.hung:
                self.commands += 1
                worker.execute_direct(orjson.loads(body))

        for _ in range(COPIES_OF_COMMAND):
            self._schedule_after_delay(deliver)

    def add_write(self, conditions: dict[str, int], puts: list[Put]) -> None:
        """Maybe schedule a copy of a transaction of the key-value store."""

        def deliver() -> None:
            self.writes += 1
            try:
                self._cluster.store.execute(conditions, puts)
            except LeaseGoneError:
                pass

        self._schedule(deliver)

    def add_cloud_request(self, execute: Callable[[], object]) -> None:
        """Maybe schedule a copy of a launch or a deletion."""

        def deliver() -> None:
            self.cloud_requests += 1
            execute()

        self._schedule(deliver)

    def _schedule(self, deliver: Callable[[], None]) -> None:
        if self._cluster.rng.random() < self._share:
            self._schedule_after_delay(deliver)

    def _schedule_after_delay(self, deliver: Callable[[], None]) -> None:
        rng = self._cluster.rng
        delay_s = rng.choice(DELAYS_S) * rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        heapq.heappush(self._due, (self._cluster.clock.now + delay_s, next(self._numbers), deliver))

    def deliver_due(self) -> None:
        """Deliver the copies whose time has come."""
        while self._due and self._due[0][0] <= self._cluster.clock.now:
            heapq.heappop(self._due)[2]()

    def _deliver_heartbeat(self, heartbeat: workers.Heartbeat) -> None:
        cluster = self._cluster
        running = sorted(name for name in cluster.nodes if name not in cluster.paused)
        if not running:
            return
        self.heartbeats += 1
        node = cluster.nodes[cluster.rng.choice(running)]
        reply = node.heartbeat(heartbeat, NEVER)
        if reply.status != 200:
            return
        orders = orjson.loads(reply.body)["orders"]
        self.starts += [order["part"] for order in orders if order["verb"] == "start"]
