"""The cloud's HTTP interface, typed."""

from collections.abc import Callable
from typing import Protocol

import msgspec
import orjson

from bayford.protocol.errors import ProtocolError
from bayford.scheduling.model import MachineType
from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError

LIST_PAGE = 500  # the most machines that the cloud puts into one response
DELETE_PAGE = 100  # machines in one request to delete

# method, path, body, seconds to wait -> status, body. Raises UnavailableError or OutcomeUnknownError for no
# response.
Caller = Callable[[str, str, bytes | None, float], tuple[int, bytes]]


class CloudBusyError(ProtocolError):
    """Refused or no response: 429, 503 trouble, timeout. The same request may be sent again."""


class NoCapacityError(ProtocolError):
    """None available of this type, in this zone, spot or on-demand."""


class Listed(msgspec.Struct):
    """One machine of the cloud's list, `age_s` seconds after it was asked for, as of the list's time."""

    name: str = msgspec.field(name="id")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    phase: str
    age_s: float = msgspec.field(name="held_s")


class _CatalogEntry(msgspec.Struct):
    name: str = msgspec.field(name="label")
    cpus: float
    mem_gb: float
    price: float = msgspec.field(name="rate")
    boot_s: float
    zones: list[str] = msgspec.field(name="yards")
    gpus: float = msgspec.field(name="cards", default=0.0)
    spot_price: float | None = msgspec.field(name="market_price", default=None)  # None: no other price
    fetch_gb_per_s: float = 1.0
    cache_gb: float = 0.0


class _Catalog(msgspec.Struct):
    types: list[_CatalogEntry] = msgspec.field(name="builds")


class MachinePage(msgspec.Struct):
    """A part of the cloud's list, in the order of the names; `more` follow."""

    machines: list[Listed] = msgspec.field(name="docks")
    more: bool = False


class _LaunchRequest(msgspec.Struct):
    request: str = msgspec.field(name="hire")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    count: int


class _Launched(msgspec.Struct):
    machines: list[str] = msgspec.field(name="docks")


class _DeleteRequest(msgspec.Struct):
    machines: list[str] = msgspec.field(name="docks")


class Cloud(Protocol):
    """What the controller asks of the cloud. Every method raises CloudBusyError if it may be asked again."""

    def catalog(self) -> list[MachineType]:
        """The machine types and their present prices."""

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch up to `count` machines of the type `kind`, and return their names.

        The request's name is never used for another: asked again under it, the cloud launches nothing more.
        NoCapacityError if there are none to be had.
        """

    def delete(self, names: list[str]) -> None:
        """Delete machines; when this returns they are gone."""

    def machines(self, since: str) -> MachinePage:
        """One page of the cloud's lagging list: the machines after `since`, all if that is empty."""


class CloudApi:
    """`Cloud` over HTTP: `call` carries each request, `timeout_s` bounds it."""

    def __init__(self, call: Caller, timeout_s: float = 4.0) -> None:
        self._call = call
        self._timeout_s = timeout_s

    def _ask(self, method: str, path: str, body: msgspec.Struct | None = None) -> bytes:
        data = None if body is None else orjson.dumps(msgspec.to_builtins(body))
        try:
            status, raw = self._call(method, path, data, self._timeout_s)
        except (UnavailableError, OutcomeUnknownError, ValueError) as error:
            # ValueError: a machine's name that no path can hold.
            raise CloudBusyError(f"{path}: {error!r}") from error
        if status == 200:
            return raw
        if status == 503 and b"no capacity" in raw:
            raise NoCapacityError(f"{path}: no capacity")
        raise CloudBusyError(f"{path}: {status} {raw[:120]!r}")

    def catalog(self) -> list[MachineType]:
        """The machine types."""
        catalog = msgspec.json.decode(self._ask("GET", "/catalog"), type=_Catalog)
        return [_machine_type(entry) for entry in catalog.types]

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch machines."""
        body = _LaunchRequest(request=request, type=kind, zone=zone, spot=spot, count=count)
        return msgspec.json.decode(self._ask("POST", "/hosts", body), type=_Launched).machines

    def delete(self, names: list[str]) -> None:
        """Delete machines, some in a request. After an error, some of them may be gone."""
        for first in range(0, len(names), DELETE_PAGE):
            self._ask("POST", "/hosts/delete", _DeleteRequest(names[first : first + DELETE_PAGE]))

    def machines(self, since: str) -> MachinePage:
        """One page of the list."""
        path = f"/hosts?since={since}&limit={LIST_PAGE}"
        return msgspec.json.decode(self._ask("GET", path), type=MachinePage)


def _machine_type(entry: _CatalogEntry) -> MachineType:
    return MachineType(
        name=entry.name,
        cpus=entry.cpus,
        gpus=entry.gpus,
        mem_gb=entry.mem_gb,
        price=entry.price,
        spot_price=entry.price if entry.spot_price is None else entry.spot_price,
        boot_s=entry.boot_s,
        fetch_gb_per_s=entry.fetch_gb_per_s,
        zones=tuple(entry.zones),
        cache_gb=entry.cache_gb,
    )
