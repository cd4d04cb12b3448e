"""The record of zones as operators read it: text from a template, or JSON."""

import time
from typing import Any

import jinja2
import msgspec
import orjson

from bayford.recovery.zone_record import Loss, ZoneRecord

TEMPLATE = """\
{%- for zone in zones %}
zone {{ zone.zone }}: {{ zone.state }} since {{ zone.since | at }}
{%- if zone.flaps %}, {{ zone.flaps }} flaps{% endif %}
{%- for loss in zone.losses %}
  suspected {{ loss.suspected | at }}, lost {{ loss.lost | at }}, {{ loss.returned | back }}
    {{ loss | totals }}
  {%- for line in loss | fates %}
    {{ line }}
  {%- endfor %}
{%- else %}
  never lost
{%- endfor %}
{%- else %}
no zone was ever lost
{%- endfor %}
"""


def _at(wall: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(wall)) + " UTC"


def _back(wall: float) -> str:
    return f"returned {_at(wall)}" if wall else "not back"


def _ranges(flat: list[int]) -> str:
    pairs = zip(flat[::2], flat[1::2], strict=True)
    return ", ".join(str(first) if first == last else f"{first}-{last}" for first, last in pairs)


def _totals(loss: Loss) -> str:
    totals = loss.totals()
    tasks = sum(totals.values())
    return (
        f"{tasks} tasks: {totals.get('finished', 0)} finished there, {totals.get('again', 0)} run again, "
        f"{totals.get('cancelled', 0)} cancelled, {totals.get('over', 0)} over when an owner began, "
        f"{totals.get('open', 0)} open"
    )


def _outcomes(loss: Loss) -> list[str]:
    out = [
        f"{job} run again: {', '.join(f'{e.task} on {e.machine}' for e in found)}"
        for job, found in loss.again.items()
    ]
    outcomes = {
        "finished there": loss.finished,
        "cancelled": loss.cancelled,
        "over when an owner began": loss.over,
        "open": loss.open,
    }
    for fate, jobs in outcomes.items():
        out += [f"{job} {fate}: {_ranges(flat)}" for job, flat in jobs.items()]
    return out


def as_text(zones: list[ZoneRecord]) -> str:
    """For a terminal."""
    environment = jinja2.Environment(undefined=jinja2.StrictUndefined, autoescape=False)
    environment.filters |= {"at": _at, "back": _back, "fates": _outcomes, "totals": _totals}
    return environment.from_string(TEMPLATE).render(zones=zones).strip("\n")


def as_json(zones: list[ZoneRecord]) -> str:
    """For programs: the records as they are stored, and totals for each loss."""
    out: list[dict[str, Any]] = []
    for zone in zones:
        row = msgspec.to_builtins(zone)
        for told, loss in zip(row["losses"], zone.losses, strict=True):
            told["totals"] = loss.totals()
        out.append(row)
    return orjson.dumps({"zones": out}, option=orjson.OPT_INDENT_2).decode()
