"""Shared by the cases of the second review: one small site on loopback with the real controllers.

The controllers are started with the `run` line of `deploy/service.toml`. The state service, the cloud and the
workers are the project's stand-ins. Everything that is sent, answered and run goes to the case's record.
"""

import contextlib
import http.client
import json
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins import workers  # noqa: E402 - importable only after the path is set
from standins.cloud import Cloud  # noqa: E402
from standins.ports import PortBlock  # noqa: E402
from standins.state_service import StateService  # noqa: E402
from standins.workers import MachineKind, Worker, WorkerFleet  # noqa: E402

__all__ = ["Cloud", "MachineKind", "Record", "Site", "Worker", "job", "run_case", "workers"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

# The deployment of DEPLOY's example and of the brief's first site.
ZONES = ["gdansk-rack", "krakow-rack"]
MEMBERS = {"dock-0": "gdansk-rack", "dock-1": "krakow-rack", "dock-2": "gdansk-rack"}
REPORT_S, LEASE_S, CANCEL_S = 2.0, 12.0, 42.0
MEM_MB = 186.0
RESTART_S = 5.0
WROBEL = MachineKind("wrobel", 4.0, 32.0, 0.25, 0.19)
SOKOL = MachineKind("sokol", 8.0, 64.0, 0.6, 0.38)
KINDS = {kind.label: kind for kind in (WROBEL, SOKOL)}
TEAMS = [
    ("registry-core", 40.0, 88.0),
    ("build-farm", 48.0, 168.0),
    ("security-desk", 56.0, 168.0),
    ("docs-crew", 32.0, 80.0),
    ("mirror-guild", 32.0, 80.0),
]
FACTS = f"""
[facts]
nodes = 3
zones = {json.dumps(ZONES)}
time_bound_ms = 5.0
[[facts.objectives]]
kind = "finished"
class = "rebuild-sweep"
within_s = 80.0
share = 0.8
[[facts.objectives]]
kind = "deadline"
class = "hot-builds"
share = 0.9
times = 1.0
[[facts.objectives]]
kind = "wait"
class = "hot-builds"
within_s = 4.0
share = 0.88
[[facts.objectives]]
kind = "finished"
class = "mirror-trickle"
within_s = 180.0
share = 0.65
[facts.workers]
report_s = {REPORT_S}
lease_s = {LEASE_S}
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = {CANCEL_S}
[facts.state]
rps = 100.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 3.0
list_lag_s = 6.0
[facts.machine_limits]
core_share = 0.54
mem_mb = {MEM_MB}
fd_limit = 1500
"""


class Record:
    """The case's `record.txt`: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line, which is printed too."""
        with self._lock:
            line = f"{time.monotonic() - self._started_at:8.2f} {text}"
            print(line, flush=True)
            self._file.write(line + "\n")
            self._file.flush()


class Site:
    """One site; a context manager that ends all processes it has started."""

    def __init__(
        self, record: Record, kinds: list[MachineKind], capacity: int, state: StateService | None = None
    ) -> None:
        self.record = record
        self._exit = contextlib.ExitStack()
        self.folder = Path(self._exit.enter_context(tempfile.TemporaryDirectory(prefix="bayford-case-")))
        self._ports = PortBlock(2 * len(MEMBERS))
        self._exit.callback(self._ports.close)
        ports = self._ports.ports
        self.fronts = {name: f"127.0.0.1:{ports[2 * n]}" for n, name in enumerate(MEMBERS)}
        self.meshes = {name: f"127.0.0.1:{ports[2 * n + 1]}" for n, name in enumerate(MEMBERS)}
        self.state = state or StateService(rps=100.0, write_rps=15.0)
        self._exit.callback(self.state.close)
        self.fleet = WorkerFleet(self.fronts, REPORT_S, LEASE_S)
        self._exit.callback(self.fleet.close)
        self.cloud = Cloud(self.fleet, kinds, ZONES, capacity)
        self._exit.callback(self.cloud.close)
        # By controller, where a proxy stands between: the addresses of the state service and the cloud, and
        # those of the peers, by both names.
        self.state_addresses: dict[str, str] = {}
        self.cloud_addresses: dict[str, str] = {}
        self.mesh_addresses: dict[tuple[str, str], str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._history_written = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for name in list(self.processes):
            self.kill(name)
        self._exit.close()

    def start(self, name: str) -> None:
        """Start one controller, with the command of the deploy file."""
        peers = "".join(
            f'[[seeds]]\nmember = "{peer}"\nsite = "{zone}"\n'
            f'endpoint = "{self.mesh_addresses.get((name, peer), self.meshes[peer])}"\n'
            for peer, zone in MEMBERS.items()
            if peer != name
        )
        teams = "".join(
            f'[[facts.teams]]\nname = "{team}"\ncpus = {cpus}\ncpus_max = {most}\n'
            "gpus = 0.0\ngpus_max = 0.0\n"
            for team, cpus, most in TEAMS
        )
        state = self.state_addresses.get(name, self.state.address)
        cloud = self.cloud_addresses.get(name, self.cloud.address)
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            f'member = "{name}"\nsite = "{MEMBERS[name]}"\nfront = "{self.fronts[name]}"\n'
            f'mesh_addr = "{self.meshes[name]}"\n{peers}'
            f'[outside]\ncloud = "{cloud}"\nstate = "{state}"\n{FACTS}{teams}'
        )
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*shlex.split(run), str(settings)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.record.write(f"start {name} pid={self.processes[name].pid}")

    def start_all(self) -> None:
        """Start all controllers and wait until each reports itself healthy."""
        for name in MEMBERS:
            self.start(name)
        self.wait_for(lambda: all(self.is_up(name) for name in MEMBERS), 30.0, "all controllers healthy")

    def kill(self, name: str) -> None:
        """End a controller with no signal that it could handle, as the platform does."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"end {name}")

    def is_up(self, name: str) -> bool:
        """Return whether `GET /up` gets 200."""
        return self.request(name, "GET", "/up", quiet=True)[0] == 200

    def leader(self) -> str:
        """Return the leader that the state service's record names, empty without one."""
        owners = (self.state.values("b/map").get("b/map") or {}).get("owners") or {}
        return next(iter(owners.values()), "")

    def log_lines(self, *words: str) -> list[str]:
        """Return the controllers' log lines with one of these words."""
        return [
            f"{name}: {line}"
            for name in MEMBERS
            if (self.folder / f"{name}.log").exists()
            for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
            if any(word in line for word in words)
        ]

    def request(
        self, name: str, method: str, path: str, body: Any = None, quiet: bool = False, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to one controller. Returns status and body, (0, None) without an answer."""
        connection = http.client.HTTPConnection(self.fronts[name], timeout=timeout_s)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            response = connection.getresponse()
            status, answer = response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            status, answer = 0, None
        finally:
            connection.close()
        if not quiet:
            self.record.write(f"{name} {method} {path} -> {status} {json.dumps(answer)}")
        return status, answer

    def submit(self, job: dict[str, Any], run_s: float, timeout_s: float = 30.0) -> bool:
        """Upload a job and submit it until it is accepted; its tasks run for `run_s`."""
        self.fleet.upload(job, run_s)
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for name in list(self.processes):
                if self.request(name, "POST", "/api/jobs", job)[0] in (200, 201):
                    return True
            time.sleep(1.0)
        return False

    def poll(self, job_id: str, quiet: bool = False) -> str:
        """Return the phase of a job as the first controller that answers reports it, empty without one."""
        for name in list(self.processes):
            status, body = self.request(name, "GET", f"/api/jobs/{job_id}", quiet=quiet, timeout_s=2.0)
            if status == 200:
                return str(body["phase"])
        return ""

    def write_history(self) -> None:
        """Write what has been run since the last call to the record."""
        events = self.fleet.history[self._history_written :]
        self._history_written += len(events)
        for event in events:
            self.record.write(f"worker {event.machine}: {event.task_id} try={event.number} {event.kind}")

    def wait_for(self, condition: Callable[[], bool], timeout_s: float, text: str) -> None:
        """Wait for a condition that the case needs; raises `TimeoutError`."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(text)
            time.sleep(0.2)


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return the body of a submission; `fields` override the defaults."""
    return {
        "id": f"req-{number:06d}",
        "lane": "rebuild-sweep",
        "crew": "registry-core",
        "shape": "batch",
        "rank": "normal",
        "parts": 1,
        "cpus": 1.0,
        "cards": 0.0,
        "mem_gb": 5.5,
        "bundle": "img-01",
        "size_gb": 0.2,
        "builds": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": True,
        "guess_s": 5.0,
        "bookmark_s": 0.0,
        "stash_s": 0.0,
        "due_s": None,
    } | fields


def run_case(folder: Path, case: Callable[[Record], int]) -> int:
    """Run a case and return its exit status; a case that can't run returns 2."""
    # A case that is ended from outside ends its own processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    record.write(f"trouble={'yes' if TROUBLE else 'no'}")
    try:
        status = case(record)
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        record.write(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record.write(f"exit {status}: {'rule broken' if status == BROKEN else 'rule held'}")
    return status
