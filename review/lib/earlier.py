"""The jobs of earlier days: their records, and a way to bring them into the store of a running site."""

import time
from collections.abc import Iterable
from functools import partial
from typing import Any

from bayford.scheduling.model import JobSpec
from bayford.storage import records
from lib.cloud import wait_until
from lib.deployment import Deployment, Record
from lib.state import State

JOBS_PER_STEP = 8_000  # between two looks of the controllers: fewer changes than the store keeps
DAYS_S = 900_000  # the jobs are of the last ten days


def earlier_job(number: int) -> Any:
    """Return the record of a job that is done, as the service has written it on an earlier day."""
    spec = JobSpec(
        id=f"req-{number:06d}",
        job_class="hot-builds",
        team="build-farm",
        priority=2,
        tasks=18,
        cpus=2.0,
        gpus=0.0,
        mem_gb=12.0,
        image=f"img-{number % 20:02d}",
        image_gb=0.5,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=True,
        estimate_s=20.0,
        checkpoint_interval_s=0.0,
        checkpoint_save_s=0.0,
        deadline_s=70.0,
    )
    return records.encode(records.Record(spec, time.time() - DAYS_S + number, 0.0, True, spec.tasks))


def knows(deployment: Deployment, name: str, job_id: str) -> bool:
    """Return whether a controller answers a question about a job."""
    return deployment.request(name, "GET", f"/api/jobs/{job_id}", wait_s=2.0)[0] == 200


def pass_days(
    deployment: Deployment, state: State, record: Record, controllers: Iterable[str], jobs: int
) -> bool:
    """Write the records of the earlier jobs while the controllers follow; returns whether all know them."""
    for begin in range(0, jobs, JOBS_PER_STEP):
        numbers = range(begin, min(begin + JOBS_PER_STEP, jobs))
        state.seed({records.job_key(f"req-{n:06d}"): earlier_job(n) for n in numbers})
        for name in controllers:
            if not wait_until(partial(knows, deployment, name, f"req-{numbers[-1]:06d}"), 10.0):
                record.add(f"{name} does not follow the store")
                return False
    record.add(f"the store holds {jobs} jobs that are done, and all controllers know them")
    return True
