"""A small site on loopback: state service, cloud, workers and controllers."""

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Any, Self

from standins.cloud import Cloud
from standins.controllers import Controllers
from standins.state_service import StateService
from standins.workers import MachineKind, WorkerFleet

ZONES = ["north", "south"]
KIND = MachineKind("eight", 8.0, 64.0)
FACTS = """
[facts]
nodes = 3
zones = ["north", "south"]
{teams}
[[facts.objectives]]
kind = "finished"
class = "hot-builds"
within_s = 60.0
[[facts.objectives]]
kind = "finished"
class = "mirror-trickle"
within_s = 600.0
[[facts.objectives]]
kind = "finished"
class = "rebuild-sweep"
within_s = 600.0
[facts.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = {cancel_s}
[facts.state]
rps = 100.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 3.0
list_lag_s = 1.0
[facts.machine_limits]
mem_mb = 250.0
"""


# The sites whose controllers `await_state` watches: those between `__enter__` and `__exit__`.
_open_sites: list["Site"] = []


class Site:
    """The services, workers and controllers of one site; the context manager starts and stops them."""

    def __init__(
        self,
        folder: Path,
        script: str,
        capacity: int = 20,
        lease_s: float = 12.0,
        teams: Mapping[str, float] = MappingProxyType({"builders": 0.0}),
        state: StateService | None = None,
    ) -> None:
        """`teams` maps each team to its guaranteed CPUs, 0 for no guarantee."""
        controller_zones = {"n0": "north", "n1": "south", "n2": "north"}
        team_tables = "".join(
            f'[[facts.teams]]\nname = "{name}"\ncpus = {cpus}\n' for name, cpus in teams.items()
        )
        facts = FACTS.format(teams=team_tables, report_s=lease_s / 6, lease_s=lease_s, cancel_s=lease_s * 3.5)
        self.controllers = Controllers(folder, controller_zones, facts, script)
        self.state = state or StateService()
        self.fleet = WorkerFleet(
            self.controllers.front_addresses, heartbeat_interval_s=lease_s / 6, lease_s=lease_s
        )
        self.cloud = Cloud(self.fleet, [KIND], ZONES, capacity)

        self._exit_callbacks: list[Callable[[], None]] = []

    def call_on_exit(self, callback: Callable[[], None]) -> None:
        """Call `callback` before the services and controllers are stopped, also if the test has failed."""
        self._exit_callbacks.append(callback)

    def __enter__(self) -> Self:
        _open_sites.append(self)
        for name in self.controllers.front_addresses:
            self.start(name)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        _open_sites.remove(self)
        for callback in self._exit_callbacks:
            callback()
        self.controllers.close()
        self.fleet.close()
        self.cloud.close()
        self.state.close()

    def start(self, name: str) -> None:
        """Start or restart a controller."""
        self.controllers.start(name, self.state.address, self.cloud.address)

    def leader(self) -> str | None:
        """Return the leader named by the leadership record in the state service, None without one."""
        leaders = self.state.values("b/map").get("b/map", {}).get("owners")
        return next(iter(leaders.values()), None) if isinstance(leaders, dict) else None

    def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Upload a job and submit it until a controller accepts it. Each of its tasks runs for `run_s`."""
        self.fleet.upload(job, run_s)
        self.controllers.submit(job)

    def phases(self, job_id: str) -> dict[str, str | None]:
        """Return the phase of a job that each controller reports, None for a status other than 200."""
        phases: dict[str, str | None] = {}
        for name in self.controllers.front_addresses:
            status, body = self.controllers.send_request(name, "GET", f"/api/jobs/{job_id}")
            phases[name] = body["phase"] if status == 200 else None
        return phases


def job(number: int, image: str, tasks: int, job_class: str = "hot-builds", **fields: Any) -> dict[str, Any]:
    """Return the body of a submission, with the protocol's field names; `fields` override the defaults."""
    return {
        "id": f"req-{number:06d}",
        "lane": job_class,
        "crew": "builders",
        "shape": "batch",
        "rank": "urgent",
        "parts": tasks,
        "cpus": 1.0,
        "cards": 0.0,
        "mem_gb": 2.0,
        "bundle": image,
        "size_gb": 0.5,
        "builds": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": True,
        "guess_s": 30.0,
        "bookmark_s": 0.0,
        "stash_s": 0.0,
        "due_s": None,
    } | fields


def await_state(condition: Callable[[], bool], description: str, timeout_s: float = 120.0) -> None:
    """Wait until `condition` returns true; raises `TimeoutError` after `timeout_s`.

    The generous default only ends a test that hangs; it does not assert how long the wait may take. Raises
    `ControllerEndedError` as soon as a controller of an open site has ended by itself.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        for site in _open_sites:
            site.controllers.raise_if_ended()
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout_s:.0f} s waiting for: {description}")
        time.sleep(0.1)
