"""Load summaries: the load and cached images of each machine, written periodically by the leader.

A summary has one entry per machine: name, load, and images as indexes into a table of names. It is split into
as many values as the maximum value size requires, each with its own table. Readers use the newest entry of
each machine. Summaries only influence the choice of machines, so a late, incomplete or missing one results in
worse placements and has no other effect.
"""

from typing import Any

import orjson

from bayford.storage.key_value_store import Put, Row
from bayford.storage.records import SUMMARIES

MAX_HEADER_BYTES = 64  # upper bound of a value's size without its entries and table

MachineLoad = tuple[str, float, list[str]]  # name, load, names of the images in its cache


def encode(
    member: str, at: float, machines: list[MachineLoad], value_bytes: int, previous_count: int
) -> list[Put]:
    """Return the writes of a summary, split into values of at most `value_bytes` bytes.

    `at`: when the summary was made, as time of day in seconds. `previous_count`: the number of values of the
    member's previous summary; surplus ones are deleted.
    """
    chunks: list[tuple[dict[str, int], list[list[Any]]]] = [({}, [])]  # table of images, entries
    free_bytes = value_bytes - MAX_HEADER_BYTES
    for name, load, cached_images in machines:
        images = cached_images
        table, entries = chunks[-1]
        entry_bytes = _entry_bytes(name, images, table)
        if entry_bytes > free_bytes and entries:
            table, entries = {}, []
            chunks.append((table, entries))
            free_bytes = value_bytes - MAX_HEADER_BYTES
            entry_bytes = _entry_bytes(name, images, table)
        while entry_bytes > free_bytes and images:  # too many images for one value: omits the rest
            images = images[: len(images) // 2]
            entry_bytes = _entry_bytes(name, images, table)
        entries.append([name, load, [table.setdefault(image, len(table)) for image in images]])
        free_bytes -= entry_bytes
    puts = [
        Put(f"{SUMMARIES}{member}/{index}", {"at": round(at, 1), "images": list(table), "rows": entries})
        for index, (table, entries) in enumerate(chunks)
    ]
    return puts + [Put(f"{SUMMARIES}{member}/{index}", None) for index in range(len(chunks), previous_count)]


def _entry_bytes(name: str, images: list[str], table: dict[str, int]) -> int:
    """Return the size of a machine's entry, including the image names to be added to the table."""
    new_names = sum(len(orjson.dumps(image)) + 1 for image in images if image not in table)
    return len(orjson.dumps(name)) + 12 + 4 * len(images) + new_names


def newest_images(rows: list[Row], earliest: float) -> dict[str, list[str]]:
    """Return the images by machine, each from its newest summary, ignoring those older than `earliest`."""
    images_by_machine: dict[str, list[str]] = {}
    recent = [row for row in rows if row.value["at"] >= earliest]
    for row in sorted(recent, key=lambda row: row.value["at"]):
        table = row.value["images"]
        for name, _, images in row.value["rows"]:
            images_by_machine[name] = [table[index] for index in images]
    return images_by_machine
