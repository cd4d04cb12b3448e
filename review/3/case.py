"""A machine fails what it starts for a few seconds; a job that failed there once is not started again."""

import os
import time
from pathlib import Path

from lib.cloud import Cloud, log_new_events, wait_until
from lib.deployment import Deployment, Record
from lib.pakiety import CONTROLLERS, FACTS, LEASE_S, LIMITS, REPORT_S, TEAMS, offers
from lib.site import BROKEN, HELD, NOT_RUN, job, run_case
from lib.state import State

from standins.workers import WorkerFleet

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WAITING_S = 90.0  # the bound of the rule
START_LIMIT_S = 8.0
FIRST, SECOND = "req-000001", "req-000002"


def play(folder: Path, record: Record) -> int:
    """Start the site and play the case on it."""
    state = State(LIMITS)
    fleet = WorkerFleet({}, REPORT_S, LEASE_S)
    cloud = Cloud(fleet, offers())
    states = {name: state.address_for(name) for name in CONTROLLERS}
    deployment = Deployment(folder, CONTROLLERS, FACTS, cloud.address, states)
    fleet.controllers = deployment.fronts
    try:
        for name in CONTROLLERS:
            deployment.start(name)
        if not deployment.await_up(list(CONTROLLERS), START_LIMIT_S):
            record.add("the controllers did not start in time")
            return NOT_RUN
        return play_site(deployment, fleet, cloud, record)
    finally:
        deployment.close()
        fleet.close()
        cloud.close()
        state.close()


def play_site(deployment: Deployment, fleet: WorkerFleet, cloud: Cloud, record: Record) -> int:
    """Let the first machine be sick for a while, then watch the job for `WAITING_S`."""
    small = {"mem_gb": 5.5, "bundle": "img-01", "size_gb": 0.3, "guess_s": 12.0}
    first = job(FIRST, "rebuild-sweep", "docs-crew", "normal", **small)
    fleet.upload(first, 10.0)
    if not deployment.submit(first, record, 10.0) or not wait_until(lambda: bool(fleet.workers), 10.0):
        return NOT_RUN
    machine = cloud.machines()[0]
    record.add(f"machine {machine.name} ({machine.kind.label}, {machine.kind.cpus} CPUs) is up")
    if HAS_TROUBLE:
        machine.controls.fails_tasks = True
        record.add(f"trouble: {machine.name} fails every task that it starts")
        if not wait_until(lambda: any(e.kind == "error" for e in fleet.history), 20.0):
            return NOT_RUN
        machine.controls.fails_tasks = False
    over = time.monotonic()
    record.add("no trouble from here on")
    second = job(SECOND, "rebuild-sweep", "docs-crew", "normal", **small)
    fleet.upload(second, 5.0)
    if not deployment.submit(second, record, 10.0):
        return NOT_RUN
    result = watch(deployment, fleet, cloud, record, over)
    record.add(f"machines deleted: {cloud.deleted}; controllers that ended: {deployment.ended()}")
    return result


def watch(deployment: Deployment, fleet: WorkerFleet, cloud: Cloud, record: Record, over: float) -> int:
    """Ask about the job until it has started or has waited for `WAITING_S` beside a machine with room."""
    seen, asked = 0, 0
    waits_since = over  # since then the job waits while a machine that fits has room
    while time.monotonic() - waits_since < WAITING_S + 1.0:
        lines, seen = log_new_events(fleet, seen, record.began)
        for line in lines:
            record.add(line)
        name = list(CONTROLLERS)[asked % len(CONTROLLERS)]
        asked += 1
        for job_id in (FIRST, SECOND):
            status, body = deployment.request(name, "GET", f"/api/jobs/{job_id}", wait_s=2.0)
            record.add(f"ask {job_id} at {name}: {status} {body}")
        if any(e.task_id == f"{FIRST}/0" and e.kind == "running" and e.at >= over for e in fleet.history):
            record.add(f"{FIRST} has started")
            return HELD
        used = {worker.name: worker.used_cpus() for worker in cloud.machines()}
        record.add(f"CPUs in use: {used}; limit of the team: {TEAMS['docs-crew'][1]}")
        if not any(worker.kind.cpus - used[worker.name] >= 1.0 for worker in cloud.machines()):
            waits_since = time.monotonic()
        time.sleep(2.0)
    record.add(f"{FIRST} has waited for {time.monotonic() - waits_since:.1f} s beside a machine with room")
    return BROKEN


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
