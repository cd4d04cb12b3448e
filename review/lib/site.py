"""Settings and jobs of the users' sites, as far as the cases need them."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lib.deployment import Record

BROKEN, HELD, NOT_RUN = 1, 0, 2


def facts(
    *,
    nodes: int,
    zones: list[str],
    teams: dict[str, tuple[float, float]],
    objectives: str,
    workers: dict[str, float],
    state: dict[str, float],
    cloud: dict[str, float],
    machine: dict[str, float],
) -> str:
    """Return the settings from `[facts]` on. `teams`: guaranteed CPUs and limit by name."""
    zone_list = ", ".join(f'"{zone}"' for zone in zones)
    text = f"[facts]\nnodes = {nodes}\nzones = [{zone_list}]\ntime_bound_ms = 5.0\n"
    for name, (cpus, cpus_max) in teams.items():
        text += f'[[facts.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {cpus_max}\n'
        text += "gpus = 0.0\ngpus_max = 0.0\n"
    text += objectives
    for section, values in (
        ("workers", workers),
        ("state", state),
        ("cloud", cloud),
        ("machine_limits", machine),
    ):
        text += f"[facts.{section}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())
    return text


def job(job_id: str, lane: str, crew: str, rank: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a submission; `fields` override the defaults."""
    return {
        "id": job_id,
        "lane": lane,
        "crew": crew,
        "shape": "batch",
        "rank": rank,
        "parts": 1,
        "cpus": 1.0,
        "cards": 0.0,
        "mem_gb": 2.0,
        "bundle": "img-01",
        "size_gb": 0.5,
        "builds": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": True,
        "guess_s": 10.0,
        "bookmark_s": 0.0,
        "stash_s": 0.0,
        "due_s": None,
    } | fields


def run_case(case: Path, play: Callable[[Path, Record], int]) -> None:
    """Run a case in a temporary folder and exit with its result: 1 broken, 0 held, 2 could not run."""
    record = Record(case / "record.txt")
    result = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            result = play(Path(folder), record)
    except Exception as error:  # noqa: BLE001 - top of the program: whatever fails, the case could not run
        record.add(f"error: {error!r}")
    record.add(f"exit {result}")
    sys.exit(result)
