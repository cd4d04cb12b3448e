"""Starts the controllers of a small deployment on loopback, with the commands of the deploy file."""

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

from standins.ports import PortBlock

ROOT = Path(__file__).resolve().parents[2]
USER_WAIT_S = 5.0  # how long a user waits for the response to a submission
POLL_WAIT_S = 2.0  # how long a user waits for the response to a question


class Record:
    """What was sent, answered and run, line by line in `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()  # guards the file
        self.began = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line, also to standard output."""
        line = f"{time.monotonic() - self.began:7.2f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)

    def at_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began


class Deployment:
    """The processes of the controllers."""

    def __init__(
        self, folder: Path, zones: dict[str, str], facts: str, cloud: str, states: dict[str, str]
    ) -> None:
        """`zones`: by controller. `facts`: the settings from `[facts]` on. `states`: the address of the state
        service by controller."""
        self._folder = folder
        self._ports = PortBlock(2 * len(zones))
        fronts = {name: f"127.0.0.1:{self._ports.ports[2 * n]}" for n, name in enumerate(zones)}
        meshes = {name: f"127.0.0.1:{self._ports.ports[2 * n + 1]}" for n, name in enumerate(zones)}
        self.fronts = fronts
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        for name, zone in zones.items():
            seeds = "".join(
                f'[[seeds]]\nmember = "{peer}"\nsite = "{peer_zone}"\nendpoint = "{meshes[peer]}"\n'
                for peer, peer_zone in zones.items()
                if peer != name
            )
            (folder / f"{name}.toml").write_text(
                f'member = "{name}"\nsite = "{zone}"\nfront = "{fronts[name]}"\n'
                f'mesh_addr = "{meshes[name]}"\n{seeds}'
                f'[outside]\ncloud = "{cloud}"\nstate = "{states[name]}"\n{facts}'
            )
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self._command = str(deploy["run"]).split()
        if self._command[0] == "python3":
            self._command[0] = sys.executable

    def start(self, name: str) -> None:
        """Start or restart a controller."""
        with (self._folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [*self._command, str(self._folder / f"{name}.toml")],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )

    def kill(self, name: str) -> None:
        """Kill a controller without notice."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a controller, such as SIGSTOP."""
        self._running[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the id of a controller's process."""
        return self._running[name].pid

    def ended(self) -> list[str]:
        """Return the controllers that have ended by themselves."""
        return [name for name, process in self._running.items() if process.poll() is not None]

    def close(self) -> None:
        """Kill all controllers."""
        for name in list(self._running):
            self.kill(name)
        self._ports.close()

    def request(
        self, name: str, method: str, path: str, body: Any = None, wait_s: float = USER_WAIT_S
    ) -> tuple[int, Any]:
        """Send a user's request; return status and body, (0, None) without a response in time."""
        connection = http.client.HTTPConnection(self.fronts[name], timeout=wait_s)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"null")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, None
        finally:
            connection.close()

    def is_up(self, name: str) -> bool:
        """Return whether a controller passes the health check."""
        return self.request(name, "GET", "/up", wait_s=1.0)[0] == 200

    def await_up(self, names: list[str], timeout_s: float) -> bool:
        """Wait until all of these controllers pass the health check; return whether they do."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(self.is_up(name) for name in names):
                return True
            time.sleep(0.2)
        return False

    def submit(self, job: dict[str, Any], record: Record, limit_s: float = 60.0) -> bool:
        """Submit a job to one healthy controller after the other until one accepts it."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for name in list(self._running):
                if not self.is_up(name):
                    continue
                status, body = self.request(name, "POST", "/api/jobs", job)
                record.add(f"submit {job['id']} to {name}: {status} {body}")
                if status in (200, 201):
                    return True
            time.sleep(1.0)
        return False
