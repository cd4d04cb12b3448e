"""Processes of real controllers, and requests of users to them."""

import http.client
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


def free_ports(count: int) -> list[int]:
    """Ports of the loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Controllers:
    """The controllers of one site; each may be killed and started again."""

    def __init__(self, folder: Path, zones: dict[str, str], facts: str, script: str) -> None:
        """`zones`: the zone of each controller, by name. `facts`: `[facts]` of the settings, as TOML."""
        self._folder = folder
        self._zones = zones
        self._facts = facts
        self._script = folder / "policy.star"
        self._script.write_text(script)
        ports = free_ports(2 * len(zones))
        self.front_addresses = {name: f"127.0.0.1:{ports[2 * n]}" for n, name in enumerate(zones)}
        self._meshes = {name: f"127.0.0.1:{ports[2 * n + 1]}" for n, name in enumerate(zones)}
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, state: str, cloud: str) -> None:
        """Start, or start again, one controller."""
        seeds = "".join(
            f'[[seeds]]\nmember = "{peer}"\nsite = "{zone}"\nendpoint = "{self._meshes[peer]}"\n'
            for peer, zone in self._zones.items()
            if peer != name
        )
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            f'member = "{name}"\nsite = "{self._zones[name]}"\nfront = "{self.front_addresses[name]}"\n'
            f'mesh_addr = "{self._meshes[name]}"\n{seeds}'
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
        """Kill a controller's process."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill all that run."""
        for name in list(self._running):
            self.kill(name)

    def log(self, name: str) -> str:
        """What a controller has logged so far."""
        return (self._folder / f"{name}.log").read_text()

    def send_request(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """A user's request to one controller: status and body; status 0 without a response."""
        status, answer, _ = self.send_request_with_retry_after(name, method, path, body)
        return status, answer

    def send_request_with_retry_after(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any, float]:
        """The same, and the seconds of `Retry-After`, 0 without that header."""
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
        """Submit as users do, to one controller after the other, until one accepts; its name."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for name in list(self._running):
                status, _ = self.send_request(name, "POST", "/api/jobs", job)
                if status in (200, 201):
                    return name
            time.sleep(0.2)
        raise TimeoutError(f"{job['id']} was accepted by no controller")
