"""Finds the controllers that apply the admission level. A level is in force only if all live controllers do.

Each controller announces its features under its own key. It writes that key together with its member key, in
one transaction and under one lease, so a reader that sees one sees the other. Releases without admission
levels write no such key.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from bayford.storage import records
from bayford.storage.key_value_store import Row

ADMISSION = "admission"


def encode(incarnation: str, names: Iterable[str]) -> Any:
    """Returns the value that a controller stores: its process (`incarnation`) and its features (`names`)."""
    return {"member": incarnation, "features": sorted(names)}


def controllers_without_admission(members: Iterable[Row], features: Iterable[Row]) -> list[str]:
    """Returns the live controllers that don't announce the admission feature, sorted by name.

    `members` and `features` must be of the same revision.
    """
    announced: Mapping[str, Any] = {row.key[len(records.FEATURES) :]: row.value for row in features}
    incarnations = {row.key[len(records.MEMBERS) :]: row.value for row in members}
    return sorted(
        name
        for name, incarnation in incarnations.items()
        if not _supports_admission(announced.get(name), incarnation)
    )


def _supports_admission(announced: Any, incarnation: str) -> bool:
    """Returns whether this process of the controller, and not an earlier one, announced admission levels."""
    return (
        isinstance(announced, dict)
        and announced.get("member") == incarnation
        and isinstance(announced.get("features"), list)
        and ADMISSION in announced["features"]
    )
