"""Formats the admission level for operators, as text from a template or as JSON."""

from typing import Any

import jinja2
import msgspec
import orjson

from bayford.admission.level import POSITIONS, Level
from bayford.clock import format_wall_time
from bayford.scheduling.model import PRIORITIES

TEMPLATE = """\
{%- if level is none %}
no level: everything is admitted
{%- elif level.is_open %}
level {{ level.number }}: everything is admitted since {{ level.since | at }}
{%- else %}
level {{ level.number }}: refusing for {{ level.reason }} since {{ level.since | at }}
{%- if level.accept_rps %}
  {{ "%.1f" | format(level.accept_rps) }} acceptances a second at all controllers together
{%- endif %}
{%- for window in level.windows | sort(attribute="priority", reverse=true) %}
  {{ window.job_class or "other classes" }} ({{ window.priority | priority_name }}) of {{ window.team }}: \
{{ "%.1f" | format(window | percent) }}% admitted at a time
{%- endfor %}
{%- endif %}
{%- if lacking %}
not in force: {{ lacking | join(", ") }} keep to no level (an older release, or admission is off there)
{%- endif %}
"""


def _priority_name(priority: int) -> str:
    return PRIORITIES[priority] if 0 <= priority < len(PRIORITIES) else str(priority)


def as_text(level: Level | None, lacking: list[str]) -> str:
    """Returns the text for a terminal. `lacking`: controllers that don't apply admission levels."""
    environment = jinja2.Environment(undefined=jinja2.StrictUndefined, autoescape=False)
    environment.filters |= {
        "at": format_wall_time,
        "priority_name": _priority_name,
        "percent": lambda window: 100.0 * window.width / POSITIONS,
    }
    return environment.from_string(TEMPLATE).render(level=level, lacking=lacking).strip("\n")


def as_json(level: Level | None, lacking: list[str]) -> str:
    """Returns the JSON for programs, without the hash key, with which users could choose admitted ids."""
    fields: dict[str, Any] | None = None
    if level is not None:
        fields = msgspec.to_builtins(level)
        del fields["key"]
        fields["windows"] = [
            {
                "priority": _priority_name(window.priority),
                "class": window.job_class,
                "team": window.team,
                "admitted": window.width / POSITIONS,
            }
            for window in level.windows
        ]
    report = {"level": fields, "in_force": level is not None and not lacking, "lacking": lacking}
    return orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
