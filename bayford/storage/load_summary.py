"""Summaries: what a controller writes about its machines every now and then.

One summary is a row a machine: name, load, images by index into a table of names. It goes into as many
values as the service's limit needs, each with a table of its own. Readers take the newest whole one; a
summary steers choices only, so a late, torn or missing one costs placements that are less good, and nothing
else.
"""

from typing import Any

import orjson

from bayford.storage.key_value_store import Put, Row
from bayford.storage.records import SUMMARIES

Picture = list[tuple[str, float, list[str]]]


def encode(member: str, at: float, picture: Picture, value_bytes: int, before: int) -> list[Put]:
    """The writes of a summary; `before` is how many values the last one had."""
    chunks: list[tuple[dict[str, int], list[list[Any]]]] = [({}, [])]
    left = value_bytes - 64
    for name, load, have in picture:
        images, rows = chunks[-1]
        need = _bytes(name, have, images)
        if need > left and rows:
            images, rows = {}, []
            chunks.append((images, rows))
            left = value_bytes - 64
            need = _bytes(name, have, images)
        while need > left and have:  # more images than a value can name: the rest is not told
            have = have[: len(have) // 2]
            need = _bytes(name, have, images)
        rows.append([name, load, [images.setdefault(i, len(images)) for i in have]])
        left -= need
    puts = [
        Put(f"{SUMMARIES}{member}/{n}", {"at": round(at, 1), "images": list(images), "rows": rows})
        for n, (images, rows) in enumerate(chunks)
    ]
    return puts + [Put(f"{SUMMARIES}{member}/{n}", None) for n in range(len(chunks), before)]


def _bytes(name: str, have: list[str], images: dict[str, int]) -> int:
    """What a machine's row and the names that the table lacks take."""
    new = sum(len(orjson.dumps(i)) + 1 for i in have if i not in images)
    return len(orjson.dumps(name)) + 12 + 4 * len(have) + new


def newest(rows: list[Row], oldest: float) -> dict[str, list[str]]:
    """Images by machine from the summaries written after `oldest`, the newer one winning."""
    out: dict[str, list[str]] = {}
    for row in sorted((r for r in rows if r.value["at"] >= oldest), key=lambda r: r.value["at"]):
        table = row.value["images"]
        for name, _, have in row.value["rows"]:
            out[name] = [table[i] for i in have]
    return out
