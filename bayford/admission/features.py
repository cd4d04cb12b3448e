"""Which controllers keep to the admission level: a level is in force only if all that live do.

Each says so under a key of its own, written with its member key in one transaction under one lease, so that
whoever reads one sees the other. Releases that know no levels write no such key.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from bayford.storage import records
from bayford.storage.key_value_store import Row

ADMISSION = "admission"


def value(incarnation: str, names: Iterable[str]) -> Any:
    """What a controller stores of itself."""
    return {"member": incarnation, "features": sorted(names)}


def lacking(members: Iterable[Row], features: Iterable[Row]) -> list[str]:
    """The live controllers that don't say that they keep to the level."""
    said: Mapping[str, Any] = {row.key[len(records.FEATURES) :]: row.value for row in features}
    names = {row.key[len(records.MEMBERS) :]: row.value for row in members}
    return sorted(name for name, incarnation in names.items() if not _keeps(said.get(name), incarnation))


def _keeps(told: Any, incarnation: str) -> bool:
    """Whether it is this process of the controller that says so, and not one before it."""
    return (
        isinstance(told, dict)
        and told.get("member") == incarnation
        and isinstance(told.get("features"), list)
        and ADMISSION in told["features"]
    )
