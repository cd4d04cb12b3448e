"""Summaries: what a controller writes about its machines every now and then.

One summary is a table of image names and a row a machine: name, load, images by index. It goes into as many
values as the service's limit needs. Readers take the newest whole one; a summary steers choices only, so a
late, torn or missing one costs placements that are less good, and nothing else.
"""

from typing import Any

import orjson

from bayford.storage.records import SUMMARIES
from bayford.storage.store import Put, Row

Picture = list[tuple[str, float, list[str]]]


def encode(member: str, at: float, picture: Picture, value_bytes: int, before: int) -> list[Put]:
    """The writes of a summary; `before` is how many values the last one had."""
    images: dict[str, int] = {}
    chunks: list[list[Any]] = [[]]
    size = 0
    for name, load, have in picture:
        row = [name, load, [images.setdefault(i, len(images)) for i in have]]
        length = len(orjson.dumps(row)) + 1
        names = sum(len(i) + 3 for i in images)
        if chunks[-1] and size + length + names > value_bytes - 64:
            chunks.append([])
            size = 0
        chunks[-1].append(row)
        size += length
    table = list(images)
    puts = [
        Put(f"{SUMMARIES}{member}/{n}", {"at": round(at, 1), "images": table, "rows": chunk})
        for n, chunk in enumerate(chunks)
    ]
    return puts + [Put(f"{SUMMARIES}{member}/{n}", None) for n in range(len(chunks), before)]


def newest(rows: list[Row], oldest: float) -> dict[str, list[str]]:
    """Images by machine from the summaries written after `oldest`, the newer one winning."""
    out: dict[str, list[str]] = {}
    for row in sorted((r for r in rows if r.value["at"] >= oldest), key=lambda r: r.value["at"]):
        table = row.value["images"]
        for name, _, have in row.value["rows"]:
            out[name] = [table[i] for i in have]
    return out
