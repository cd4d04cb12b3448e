"""Which controllers keep to the admission level: a level is in force only if all that live do.

Each states so under a key of its own, written with its member key in one transaction under one lease, so
that a reader of one sees the other. Releases without levels write no such key.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from bayford.storage import records
from bayford.storage.key_value_store import Row

ADMISSION = "admission"


def value(incarnation: str, names: Iterable[str]) -> Any:
    """The value that a controller stores. `incarnation`: this process of it; `names`: what it keeps to."""
    return {"member": incarnation, "features": sorted(names)}


def lacking(members: Iterable[Row], features: Iterable[Row]) -> list[str]:
    """The live controllers that don't state that they keep to the level, sorted by name.

    Both kinds of rows have to be of one revision.
    """
    stated: Mapping[str, Any] = {row.key[len(records.FEATURES) :]: row.value for row in features}
    incarnations = {row.key[len(records.MEMBERS) :]: row.value for row in members}
    return sorted(
        name for name, incarnation in incarnations.items() if not _keeps(stated.get(name), incarnation)
    )


def _keeps(stated: Any, incarnation: str) -> bool:
    """Whether this process of the controller, and not an earlier one, stated that it keeps to levels."""
    return (
        isinstance(stated, dict)
        and stated.get("member") == incarnation
        and isinstance(stated.get("features"), list)
        and ADMISSION in stated["features"]
    )
