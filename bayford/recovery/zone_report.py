"""The record of zones as operators read it: text from a template, or JSON."""

from typing import Any

import jinja2
import msgspec
import orjson

from bayford.clock import format_wall_time
from bayford.recovery.zone_record import (
    CANCELLED,
    ENDED_UNSEEN,
    FINISHED,
    OPEN,
    RERUN,
    Loss,
    ZoneRecord,
)

TEMPLATE = """\
{%- for zone in zones %}
zone {{ zone.zone }}: {{ zone.state }} since {{ zone.since | at }}
{%- if zone.flaps %}, {{ zone.flaps }} flaps{% endif %}
{%- for loss in zone.losses %}
  suspected {{ loss.suspected | at }}, lost {{ loss.lost | at }}, {{ loss.returned | back }}
    {{ loss | totals }}
  {%- for line in loss | outcomes %}
    {{ line }}
  {%- endfor %}
{%- else %}
  never lost
{%- endfor %}
{%- else %}
no zone was ever lost
{%- endfor %}
"""


def _back(wall: float) -> str:
    return f"returned {format_wall_time(wall)}" if wall else "not back"


def _ranges(flat: list[int]) -> str:
    """Task numbers in words. `flat`: first, last, first, last, …"""
    pairs = zip(flat[::2], flat[1::2], strict=True)
    return ", ".join(str(first) if first == last else f"{first}-{last}" for first, last in pairs)


def _totals(loss: Loss) -> str:
    totals = loss.totals()
    tasks = sum(totals.values())
    return (
        f"{tasks} tasks: {totals.get(FINISHED, 0)} finished there, {totals.get(RERUN, 0)} run again, "
        f"{totals.get(CANCELLED, 0)} cancelled, {totals.get(ENDED_UNSEEN, 0)} over when a leader began, "
        f"{totals.get(OPEN, 0)} open"
    )


def _outcomes(loss: Loss) -> list[str]:
    lines = [
        f"{job_id} run again: {', '.join(f'{rerun.task} on {rerun.machine}' for rerun in reruns)}"
        for job_id, reruns in loss.rerun.items()
    ]
    by_outcome = {
        "finished there": loss.finished,
        "cancelled": loss.cancelled,
        "over when a leader began": loss.ended_unseen,
        "open": loss.open,
    }
    for outcome, jobs in by_outcome.items():
        lines += [f"{job_id} {outcome}: {_ranges(flat)}" for job_id, flat in jobs.items()]
    return lines


def as_text(zones: list[ZoneRecord]) -> str:
    """For a terminal."""
    environment = jinja2.Environment(undefined=jinja2.StrictUndefined, autoescape=False)
    environment.filters |= {"at": format_wall_time, "back": _back, "outcomes": _outcomes, "totals": _totals}
    return environment.from_string(TEMPLATE).render(zones=zones).strip("\n")


def as_json(zones: list[ZoneRecord]) -> str:
    """For programs: the records as they are stored, and totals for each loss."""
    reports: list[dict[str, Any]] = []
    for zone in zones:
        report = msgspec.to_builtins(zone)
        for stored_loss, loss in zip(report["losses"], zone.losses, strict=True):
            stored_loss["totals"] = loss.totals()
        reports.append(report)
    return orjson.dumps({"zones": reports}, option=orjson.OPT_INDENT_2).decode()
