"""Load summaries: what a leader writes about its machines every now and then.

One summary has an entry a machine: name, load, images by index into a table of names. It goes into as many
values as the service's limit needs, each with a table of its own. Readers take the newest entry of each
machine; a summary steers choices only, so a late, incomplete or missing one costs placements that are less
good, and nothing else.
"""

from typing import Any

import orjson

from bayford.storage.key_value_store import Put, Row
from bayford.storage.records import SUMMARIES

HEAD_BYTES = 64  # a value without its entries and table, at the longest

MachineLoad = tuple[str, float, list[str]]  # name, load, names of the images in its cache


def encode(
    member: str, at: float, machines: list[MachineLoad], value_bytes: int, previous_values: int
) -> list[Put]:
    """The writes of a summary made at `at`, a time of day, in values of at most `value_bytes`.

    `previous_values`: how many values the member's last summary had; those that are not needed are deleted.
    """
    chunks: list[tuple[dict[str, int], list[list[Any]]]] = [({}, [])]  # table of images, entries
    left = value_bytes - HEAD_BYTES
    for name, load, cached_images in machines:
        images = cached_images
        table, entries = chunks[-1]
        entry_bytes = _entry_bytes(name, images, table)
        if entry_bytes > left and entries:
            table, entries = {}, []
            chunks.append((table, entries))
            left = value_bytes - HEAD_BYTES
            entry_bytes = _entry_bytes(name, images, table)
        while entry_bytes > left and images:  # more images than a value can name: the rest is left out
            images = images[: len(images) // 2]
            entry_bytes = _entry_bytes(name, images, table)
        entries.append([name, load, [table.setdefault(image, len(table)) for image in images]])
        left -= entry_bytes
    puts = [
        Put(f"{SUMMARIES}{member}/{n}", {"at": round(at, 1), "images": list(table), "rows": entries})
        for n, (table, entries) in enumerate(chunks)
    ]
    return puts + [Put(f"{SUMMARIES}{member}/{n}", None) for n in range(len(chunks), previous_values)]


def _entry_bytes(name: str, images: list[str], table: dict[str, int]) -> int:
    """What a machine's entry takes, with the names that the table lacks."""
    new_names = sum(len(orjson.dumps(image)) + 1 for image in images if image not in table)
    return len(orjson.dumps(name)) + 12 + 4 * len(images) + new_names


def newest(rows: list[Row], oldest: float) -> dict[str, list[str]]:
    """Images by machine, from the summaries written at `oldest` or later; the newest has precedence."""
    images_of: dict[str, list[str]] = {}
    recent = [row for row in rows if row.value["at"] >= oldest]
    for row in sorted(recent, key=lambda row: row.value["at"]):
        table = row.value["images"]
        for name, _, images in row.value["rows"]:
            images_of[name] = [table[index] for index in images]
    return images_of
