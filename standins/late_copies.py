"""Copies of heartbeats and direct commands that arrive milliseconds to seconds after the first."""

import http.client
import json
import random
import threading
from collections.abc import Callable, Mapping

DELAYS_S = (0.005, 0.2, 0.8, 2.0, 5.0, 9.0)
COPIES_OF_COMMAND = 3
CONNECTION_TIMEOUT_S = 4.0


class LateCopies:
    """Sends copies of messages, each on a connection of its own. `close` ends the pending ones."""

    def __init__(self, controllers: Mapping[str, str], seed: int) -> None:
        """`controllers` maps each controller's name to its address for workers."""
        self._controllers = controllers
        self._rng = random.Random(seed)
        self._lock = threading.Lock()  # guards the fields below
        self._timers: list[threading.Timer] = []
        self._closed = False
        self.heartbeats = 0  # copies that were answered
        self.commands = 0  # copies that were delivered
        self.starts: list[str] = []  # tasks whose start was in the response to a copy of a heartbeat

    def add_heartbeat(self, body: bytes) -> None:
        """Schedule a copy of a worker's heartbeat to one of the controllers."""
        self._schedule(lambda: self._send_heartbeat(body))

    def add_command(self, deliver: Callable[[], object]) -> None:
        """Schedule copies of a direct command; `deliver` executes it at the worker."""

        def deliver_and_count() -> None:
            deliver()
            with self._lock:
                self.commands += 1

        for _ in range(COPIES_OF_COMMAND):
            self._schedule(deliver_and_count)

    def close(self) -> None:
        """Cancel the copies that have not been sent."""
        with self._lock:
            self._closed = True
            for timer in self._timers:
                timer.cancel()

    def _schedule(self, deliver: Callable[[], None]) -> None:
        with self._lock:
            if self._closed:
                return
            delay_s = self._rng.choice(DELAYS_S)
            timer = threading.Timer(delay_s, deliver)
            timer.daemon = True
            self._timers = [pending for pending in self._timers if pending.is_alive()]
            self._timers.append(timer)
            timer.start()

    def _send_heartbeat(self, body: bytes) -> None:
        with self._lock:
            address = self._controllers[self._rng.choice(sorted(self._controllers))]
        connection = http.client.HTTPConnection(address, timeout=CONNECTION_TIMEOUT_S)
        try:
            connection.request("POST", "/v1/report", body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            return  # the controller is down
        finally:
            connection.close()
        with self._lock:
            self.heartbeats += 1
            if response.status == 200:
                self.starts += [order["part"] for order in answer["orders"] if order["verb"] == "start"]
