"""A typed client of the cloud's HTTP interface."""

from collections.abc import Callable
from typing import Protocol

import msgspec
import orjson

from bayford.protocol.errors import ProtocolError
from bayford.scheduling.model import MachineType
from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError

MACHINES_PER_PAGE = 500  # maximum number of machines in one response of the cloud
MACHINES_PER_DELETE = 100  # maximum number of machines in one delete request

# Sends a request (method, path, body, timeout in seconds) and returns the status and body of the response.
# Raises UnavailableError or OutcomeUnknownError if there is no response.
HttpCall = Callable[[str, str, bytes | None, float], tuple[int, bytes]]


class CloudBusyError(ProtocolError):
    """The cloud refused the request (429, 503) or did not respond in time. The request may be retried."""


class NoCapacityError(ProtocolError):
    """The cloud has no machine of the requested type, zone and purchase model (spot or on-demand)."""


# Phases of a listed machine that is not booting. A failed one has stopped by itself.
RUNNING, FAILED = "running", "failed"


class ListedMachine(msgspec.Struct):
    """One machine in the cloud's list. `age_s`: seconds from its launch request to the time of the list."""

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
    spot_price: float | None = msgspec.field(name="market_price", default=None)  # None: the same as `price`
    fetch_gb_per_s: float = 1.0
    cache_gb: float = 0.0


class _Catalog(msgspec.Struct):
    types: list[_CatalogEntry] = msgspec.field(name="builds")


class MachinePage(msgspec.Struct):
    """One page of the cloud's machine list, sorted by name. `more`: whether further pages follow."""

    machines: list[ListedMachine] = msgspec.field(name="docks")
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
    """The cloud as used by a controller. Methods raise CloudBusyError if the request may be retried."""

    def catalog(self) -> list[MachineType]:
        """The machine types with their current prices."""

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch up to `count` machines of the type `kind`, and return their names.

        `request` is unique to this launch request and makes it idempotent: a retry under the same name
        launches no further machines. NoCapacityError if no such machine is available.
        """

    def delete(self, names: list[str]) -> None:
        """Delete machines; they no longer exist when this returns."""

    def list_machines(self, since: str) -> MachinePage:
        """One page of the cloud's machine list, which lags behind its actual state.

        The page starts after the machine name `since`, or at the beginning if that is empty.
        """


class CloudApi:
    """`Cloud` over HTTP. Requests are sent through `call`, with a timeout of `timeout_s` each."""

    def __init__(self, call: HttpCall, timeout_s: float = 4.0) -> None:
        self._call = call
        self._timeout_s = timeout_s

    def _request(self, method: str, path: str, body: msgspec.Struct | None = None) -> bytes:
        data = None if body is None else orjson.dumps(msgspec.to_builtins(body))
        try:
            status, raw = self._call(method, path, data, self._timeout_s)
        except (UnavailableError, OutcomeUnknownError, ValueError) as error:
            # ValueError: a machine name that is not valid in a path.
            raise CloudBusyError(f"{path}: {error!r}") from error
        if status == 200:
            return raw
        if status == 503 and b"no capacity" in raw:
            raise NoCapacityError(f"{path}: no capacity")
        raise CloudBusyError(f"{path}: {status} {raw[:120]!r}")

    def catalog(self) -> list[MachineType]:
        """The machine types with their current prices."""
        catalog = msgspec.json.decode(self._request("GET", "/catalog"), type=_Catalog)
        return [_machine_type(entry) for entry in catalog.types]

    def launch(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Launch machines and return their names."""
        body = _LaunchRequest(request=request, type=kind, zone=zone, spot=spot, count=count)
        return msgspec.json.decode(self._request("POST", "/hosts", body), type=_Launched).machines

    def delete(self, names: list[str]) -> None:
        """Delete machines in batches. After an error, some of them may have been deleted."""
        for first in range(0, len(names), MACHINES_PER_DELETE):
            self._request("POST", "/hosts/delete", _DeleteRequest(names[first : first + MACHINES_PER_DELETE]))

    def list_machines(self, since: str) -> MachinePage:
        """One page of the machine list."""
        path = f"/hosts?since={since}&limit={MACHINES_PER_PAGE}"
        return msgspec.json.decode(self._request("GET", path), type=MachinePage)


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
