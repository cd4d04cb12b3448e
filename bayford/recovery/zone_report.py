"""Formats zone records for operators, as text or as JSON."""

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


def _format_return(wall: float) -> str:
    return f"returned {format_wall_time(wall)}" if wall else "not back"


def _format_ranges(ranges: list[int]) -> str:
    """Formats task numbers. `ranges`: first, last, first, last, …, both ends included."""
    pairs = zip(ranges[::2], ranges[1::2], strict=True)
    return ", ".join(str(first) if first == last else f"{first}-{last}" for first, last in pairs)


def _format_totals(loss: Loss) -> str:
    totals = loss.totals()
    tasks = sum(totals.values())
    return (
        f"{tasks} tasks: {totals.get(FINISHED, 0)} finished there, {totals.get(RERUN, 0)} run again, "
        f"{totals.get(CANCELLED, 0)} cancelled, {totals.get(ENDED_UNSEEN, 0)} over when a leader began, "
        f"{totals.get(OPEN, 0)} open"
    )


def _format_outcomes(loss: Loss) -> list[str]:
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
    for outcome, ranges_by_job in by_outcome.items():
        lines += [f"{job_id} {outcome}: {_format_ranges(ranges)}" for job_id, ranges in ranges_by_job.items()]
    return lines


def as_text(zones: list[ZoneRecord]) -> str:
    """Returns the report as text for a terminal."""
    environment = jinja2.Environment(undefined=jinja2.StrictUndefined, autoescape=False)
    environment.filters |= {
        "at": format_wall_time,
        "back": _format_return,
        "outcomes": _format_outcomes,
        "totals": _format_totals,
    }
    return environment.from_string(TEMPLATE).render(zones=zones).strip("\n")


def as_json(zones: list[ZoneRecord]) -> str:
    """Returns the stored records as JSON for programs, with totals added to each loss."""
    reports: list[dict[str, Any]] = []
    for zone in zones:
        report = msgspec.to_builtins(zone)
        for stored_loss, loss in zip(report["losses"], zone.losses, strict=True):
            stored_loss["totals"] = loss.totals()
        reports.append(report)
    return orjson.dumps({"zones": reports}, option=orjson.OPT_INDENT_2).decode()
