"""The cloud's HTTP interface, typed."""

from collections.abc import Callable
from typing import Protocol

import msgspec
import orjson

from bayford.scheduling.model import MachineType

LIST_PAGE = 500  # the most machines that the cloud puts into one answer

Caller = Callable[[str, str, bytes | None, float], tuple[int, bytes]]


class CloudBusyError(Exception):
    """Refused or no answer: 429, 503 trouble, timeout. The same request may be sent again."""


class NoCapacityError(Exception):
    """None available of this type, zone and kind."""


class Listed(msgspec.Struct):
    """One machine of the cloud's list."""

    name: str = msgspec.field(name="id")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    phase: str
    age_s: float = msgspec.field(name="held_s")


class _Build(msgspec.Struct):
    label: str
    cpus: float
    mem_gb: float
    rate: float
    boot_s: float
    yards: list[str]
    cards: float = 0.0
    market_price: float | None = None
    fetch_gb_per_s: float = 1.0
    cache_gb: float = 0.0


class _Catalog(msgspec.Struct):
    builds: list[_Build]


class MachinePage(msgspec.Struct):
    """A part of the cloud's list, in the order of the names; `more` follow."""

    machines: list[Listed] = msgspec.field(name="docks")
    more: bool = False


class _Rented(msgspec.Struct):
    docks: list[str]


class Cloud(Protocol):
    """What the controller asks of the cloud."""

    def catalog(self) -> list[MachineType]:
        """The machine types and their present prices."""

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch up to `count` machines; the request's name is never used for another."""

    def delete(self, names: list[str]) -> None:
        """Delete machines; when this returns they are gone."""

    def machines(self, since: str) -> MachinePage:
        """One page of the cloud's lagging list: the machines after `since`, all if that is empty."""


class CloudApi:
    """`Cloud` over HTTP. `call` raises any exception for no answer."""

    def __init__(self, call: Caller, timeout_s: float = 4.0) -> None:
        self._call = call
        self._timeout = timeout_s

    def _ask(self, method: str, path: str, body: object = None) -> bytes:
        data = None if body is None else orjson.dumps(body)
        try:
            status, raw = self._call(method, path, data, self._timeout)
        except Exception as bad:
            raise CloudBusyError(f"{path}: {bad!r}") from bad
        if status == 200:
            return raw
        if status == 503 and b"no capacity" in raw:
            raise NoCapacityError
        raise CloudBusyError(f"{path}: {status} {raw[:120]!r}")

    def catalog(self) -> list[MachineType]:
        """The machine types."""
        got = msgspec.json.decode(self._ask("GET", "/catalog"), type=_Catalog)
        return [
            MachineType(
                b.label,
                b.cpus,
                b.cards,
                b.mem_gb,
                b.rate,
                b.rate if b.market_price is None else b.market_price,
                b.boot_s,
                b.fetch_gb_per_s,
                tuple(b.yards),
                b.cache_gb,
            )
            for b in got.builds
        ]

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch machines."""
        body = {"hire": request, "build": kind, "yard": zone, "loaners": spot, "count": count}
        return msgspec.json.decode(self._ask("POST", "/hosts", body), type=_Rented).docks

    def delete(self, names: list[str]) -> None:
        """Delete machines, 100 a request."""
        for at in range(0, len(names), 100):
            self._ask("POST", "/hosts/delete", {"docks": names[at : at + 100]})

    def machines(self, since: str) -> MachinePage:
        """One page of the list."""
        path = f"/hosts?since={since}&limit={LIST_PAGE}"
        return msgspec.json.decode(self._ask("GET", path), type=MachinePage)
