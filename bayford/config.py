"""The settings file that the platform provides, read and checked before the controller starts.

Fields are named by the terms of the glossary. Where the file uses another name, `msgspec.field` maps it here
and nowhere else. Error messages use the names in the file.
"""

import math
import tomllib
from pathlib import Path

import msgspec


class SettingsError(Exception):
    """The settings file or the operators' script is invalid; the message names the field or the line."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller."""

    member: str  # its name
    zone: str = msgspec.field(name="site")
    endpoint: str  # HOST:PORT of its mesh


class ServiceAddresses(msgspec.Struct, frozen=True):
    """Addresses of the services that the controllers use, HOST:PORT."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantees and limits. 0: no guarantee or no limit."""

    name: str
    cpus: float = 0.0  # guarantee
    cpus_max: float = 0.0  # limit
    gpus: float = 0.0  # guarantee
    gpus_max: float = 0.0  # limit


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of the users for a class of jobs. A field that is None is not specified."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None  # share of the jobs


class Workers(msgspec.Struct, frozen=True):
    """Intervals and time limits of workers, in seconds."""

    heartbeat_interval_s: float = msgspec.field(name="report_s")
    lease_s: float
    cancel_s: float


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have from an unannounced time on. None: that limit stays."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateServiceLimits(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float  # requests a second
    write_rps: float  # changes of keys a second
    value_kb: float  # size of a value, in KiB
    txn_ops: int  # conditions and changes in a transaction
    next: NextState | None = None


class Cloud(msgspec.Struct, frozen=True):
    """Limits of the cloud."""

    rps: float  # requests a second
    list_lag_s: float  # usual delay of its machine list; sometimes twice as long


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources that this controller may use on its own machine."""

    core_share: float = 1.0  # of one processor core
    mem_mb: float = 256.0
    fd_limit: int = 1024  # open files and sockets


class Facts(msgspec.Struct, frozen=True):
    """The deployment: zones, teams, limits."""

    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: StateServiceLimits
    cloud: Cloud
    nodes: int = 1  # controllers
    time_bound_ms: float = 0.0
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True):
    """The contents of a settings file. Unknown fields are ignored, so that the platform can add new ones."""

    member: str  # this controller's name
    zone: str = msgspec.field(name="site")  # this controller's zone
    front_address: str = msgspec.field(name="front")  # HOST:PORT for users and workers
    mesh_address: str = msgspec.field(name="mesh_addr")  # HOST:PORT for the other controllers
    services: ServiceAddresses = msgspec.field(name="outside")
    facts: Facts
    peers: list[Peer] = msgspec.field(name="seeds", default_factory=list)


def split_address(address: str, field: str = "address") -> tuple[str, int]:
    """Split an address such as `10.0.0.1:8080` into host and port; SettingsError names the field."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"`$.{field}`: {address!r} is not HOST:PORT")
    return host, int(port)


def parse(text: str) -> Settings:
    """Read and check settings. SettingsError: they are invalid; the message names the field."""
    try:
        settings = msgspec.convert(tomllib.loads(text), Settings)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check_addresses(settings)
    _check_members(settings)
    _check_amounts(settings.facts)
    _check_teams(settings.facts.teams)
    return settings


def _check_addresses(settings: Settings) -> None:
    split_address(settings.front_address, "front")
    split_address(settings.mesh_address, "mesh_addr")
    split_address(settings.services.cloud, "outside.cloud")
    split_address(settings.services.state, "outside.state")
    for n, peer in enumerate(settings.peers):
        split_address(peer.endpoint, f"seeds[{n}].endpoint")


def _check_members(settings: Settings) -> None:
    """Check that the zones and controllers have unique names and each controller is in one of the zones."""
    zones = settings.facts.zones
    if not zones:
        raise SettingsError("`$.facts.zones`: names no zone")
    if len(set(zones)) != len(zones):
        raise SettingsError("`$.facts.zones`: a zone's name appears twice")
    if settings.zone not in zones:
        raise SettingsError(f"`$.site`: {settings.zone!r} is not in `facts.zones`")
    members = {settings.member}
    for n, peer in enumerate(settings.peers):
        if peer.member in members:
            raise SettingsError(f"`$.seeds[{n}].member`: {peer.member!r} appears twice")
        members.add(peer.member)
        if peer.zone not in zones:
            raise SettingsError(f"`$.seeds[{n}].site`: {peer.zone!r} is not in `facts.zones`")


def _check_amounts(facts: Facts) -> None:
    positive: dict[str, float] = {
        "nodes": facts.nodes,
        "workers.report_s": facts.workers.heartbeat_interval_s,
        "workers.lease_s": facts.workers.lease_s,
        "workers.cancel_s": facts.workers.cancel_s,
        "state.rps": facts.state.rps,
        "state.write_rps": facts.state.write_rps,
        "state.value_kb": facts.state.value_kb,
        "state.txn_ops": facts.state.txn_ops,
        "cloud.rps": facts.cloud.rps,
        "machine_limits.core_share": facts.machine_limits.core_share,
        "machine_limits.mem_mb": facts.machine_limits.mem_mb,
        "machine_limits.fd_limit": facts.machine_limits.fd_limit,
    }
    if facts.state.next is not None:
        next_limits = msgspec.structs.asdict(facts.state.next)
        positive |= {f"state.next.{name}": value for name, value in next_limits.items() if value is not None}
    for field, value in positive.items():
        if not 0 < value < math.inf:  # the comparison is false for NaN
            raise SettingsError(f"`$.facts.{field}`: must be above 0 and finite, is {value}")
    non_negative = {"cloud.list_lag_s": facts.cloud.list_lag_s, "time_bound_ms": facts.time_bound_ms}
    for n, objective in enumerate(facts.objectives):
        if objective.within_s is not None:
            non_negative[f"objectives[{n}].within_s"] = objective.within_s
        if objective.share is not None:
            non_negative[f"objectives[{n}].share"] = objective.share
    _check_non_negative("$.facts", non_negative)


def _check_teams(teams: list[Team]) -> None:
    names = [team.name for team in teams]
    if len(set(names)) != len(names):
        raise SettingsError("`$.facts.teams`: a team's name appears twice")
    for n, team in enumerate(teams):
        amounts = {name: value for name, value in msgspec.structs.asdict(team).items() if name != "name"}
        _check_non_negative(f"$.facts.teams[{n}]", amounts)


def _check_non_negative(where: str, amounts: dict[str, float]) -> None:
    for field, value in amounts.items():
        if not 0 <= value < math.inf:
            raise SettingsError(f"`{where}.{field}`: must be 0 or more and finite, is {value}")


def load(path: str) -> Settings:
    """Read and check the file at `path`. SettingsError: it can't be read or is invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path}: {error}") from error
    return parse(text)
