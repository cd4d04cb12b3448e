"""Starts and kills processes of real controllers, and sends user requests to them."""

import http.client
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from standins.ports import PortBlock

ROOT = Path(__file__).resolve().parent.parent


LOG_TAIL_LINES = 20  # of the log of a controller that has ended, in the error


class ControllerEndedError(Exception):
    """A controller has ended although nobody killed it; the message has the end of its log."""


class Controllers:
    """The controller processes of one site, each of which can be killed and restarted."""

    def __init__(self, folder: Path, zones: dict[str, str], facts: str, script: str) -> None:
        """`zones` maps each controller to its zone; `facts` is the settings' `[facts]` section as TOML."""
        self._folder = folder
        self._zones = zones
        self._facts = facts
        self._script = folder / "policy.star"
        self._script.write_text(script)
        self._port_block = PortBlock(2 * len(zones))
        ports = self._port_block.ports
        self.front_addresses = {name: f"127.0.0.1:{ports[2 * n]}" for n, name in enumerate(zones)}
        self._mesh_addresses = {name: f"127.0.0.1:{ports[2 * n + 1]}" for n, name in enumerate(zones)}
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, state: str, cloud: str) -> None:
        """Start or restart one controller; `state` and `cloud` are the addresses of these services."""
        seeds = "".join(
            f'[[seeds]]\nmember = "{peer}"\nsite = "{zone}"\nendpoint = "{self._mesh_addresses[peer]}"\n'
            for peer, zone in self._zones.items()
            if peer != name
        )
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            f'member = "{name}"\nsite = "{self._zones[name]}"\nfront = "{self.front_addresses[name]}"\n'
            f'mesh_addr = "{self._mesh_addresses[name]}"\n{seeds}'
            f'[outside]\ncloud = "{cloud}"\nstate = "{state}"\n{self._facts}'
        )
        command = [sys.executable, "-m", "bayford", "serve", "--config", str(settings)]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [*command, "--script", str(self._script)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": os.pathsep.join((str(ROOT), str(ROOT / "target" / "deps")))},
            )

    def kill(self, name: str) -> None:
        """Kill a controller's process (SIGKILL) and wait for its exit."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def all_addresses(self) -> list[str]:
        """Return the addresses that the controllers listen on, for users and workers and for each other."""
        return [*self.front_addresses.values(), *self._mesh_addresses.values()]

    def close(self) -> None:
        """Kill all running controllers and release their ports."""
        for name in list(self._running):
            self.kill(name)
        self._port_block.close()

    def raise_if_ended(self) -> None:
        """Raise `ControllerEndedError` if a controller that was not killed has ended."""
        for name, process in list(self._running.items()):
            status = process.poll()
            # `kill`, in another thread, removes a process before it ends it.
            if status is not None and self._running.get(name) is process:
                log_tail = "\n".join(self.log(name).splitlines()[-LOG_TAIL_LINES:])
                raise ControllerEndedError(f"controller {name} ended with status {status}:\n{log_tail}")

    def log(self, name: str) -> str:
        """Return the text that a controller has logged."""
        return (self._folder / f"{name}.log").read_text()

    def send_request(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a user's request to one controller; return status and body, (0, None) without a response."""
        status, response_body, _ = self.send_request_with_retry_after(name, method, path, body)
        return status, response_body

    def send_request_with_retry_after(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any, float]:
        """Like `send_request`, but also return the seconds of the `Retry-After` header, 0 without it."""
        connection = http.client.HTTPConnection(self.front_addresses[name], timeout=5.0)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            response = connection.getresponse()
            retry_after_s = float(response.getheader("Retry-After") or 0)
            return response.status, json.loads(response.read()), retry_after_s
        except (OSError, http.client.HTTPException, ValueError):
            return 0, None, 0.0
        finally:
            connection.close()

    def submit(self, job: dict[str, Any], timeout_s: float = 60.0) -> str:
        """Submit a job to each running controller in turn until one accepts it; return that one's name.

        Raises `TimeoutError` if none has accepted the job within `timeout_s`, `ControllerEndedError` if a
        controller has ended by itself.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            self.raise_if_ended()
            for name in list(self._running):
                status, _ = self.send_request(name, "POST", "/api/jobs", job)
                if status in (200, 201):
                    return name
            time.sleep(0.2)
        raise TimeoutError(f"no controller accepted job {job['id']} within {timeout_s:.0f} s")
