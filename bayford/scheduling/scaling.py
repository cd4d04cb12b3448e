"""When to launch and when to return machines. Pure: the caller counts, this decides."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from bayford.scheduling.model import EPS, MachineType

MIN_CHARGE_S = 60.0  # a deleted machine costs at least this long


class MachinePool(NamedTuple):
    """A kind of machine that can be asked for: type, zone, spot or ordinary."""

    type: int
    zone: int
    spot: bool


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting work of one shape: who may serve it and how much of it there is."""

    pools: frozenset[MachinePool]
    tasks: int
    cpus: float
    gpus: float
    mem_gb: float
    run_s: float  # expected seconds of one task
    urgent: bool
    on_demand: int  # how many of the tasks are worth on-demand machines, for else the aim is missed
    hosts: float  # CPUs of the present fleet, what is coming included, that may serve it
    spot_cpus: float  # the spot ones of them
    yielded: float = 0.0  # CPUs that other work gives up for it
    is_service: bool = False  # a service's replicas, which never end


@dataclass(frozen=True, slots=True)
class Group:
    """Services that the same kinds of machine may serve, and how many of each kind alone would hold them all,
    the reserve included. All kinds are on-demand ones."""

    pools: frozenset[MachinePool]
    machines: dict[int, float]  # by type


@dataclass(frozen=True, slots=True)
class LaunchPlan:
    """Launch `count` machines of this kind."""

    pool: MachinePool
    count: int
    why: str


def slots(kind: MachineType, cpus: float, gpus: float, mem_gb: float) -> int:
    """How many such tasks an empty machine holds."""
    most = 1e9
    if cpus > 0:
        most = min(most, (kind.cpus + EPS) / cpus)
    if gpus > 0:
        most = min(most, (kind.gpus + EPS) / gpus)
    if mem_gb > 0:
        most = min(most, (kind.mem_gb + EPS) / mem_gb)
    return int(most)


def plan_launches(
    demands: Sequence[Demand],
    types: Sequence[MachineType],
    spare: Mapping[MachinePool, int],
    refused: frozenset[MachinePool],
    busy_s: float,
    ordinary_after_s: float,
    patience_s: float,
) -> list[LaunchPlan]:
    """What to launch for `demands`.

    `spare` counts machines that are coming up, by kind; they serve needs first. `busy_s` is how long the
    present fleet needs for its backlog: work that the fleet clears within `patience_s` waits for it, and
    on-demand machines are taken only when the backlog exceeds `ordinary_after_s` or for urgent work
    that no room can serve which other work gives up for it.

    A fleet that may not serve a job is no reason for it to wait: work that no machine of the present fleet
    may take needs one of its own, an on-demand one where no spot one may serve it or is to be had.
    """
    coming = dict(spare)
    ask: dict[MachinePool, tuple[int, str]] = {}
    for need in sorted(demands, key=lambda n: (not n.urgent, not n.on_demand, -n.run_s)):
        left = need.tasks
        for pool in need.pools:
            have = coming.get(pool, 0)
            per = slots(types[pool.type], need.cpus, need.gpus, need.mem_gb)
            if have and per:
                use = min(have, -(-left // per))
                coming[pool] = have - use
                left -= use * per
                if left <= 0:
                    break
        own_s = need.tasks * need.cpus * need.run_s / need.hosts if need.hosts else float("inf")
        if left <= 0 or (not need.urgent and max(busy_s, own_s) < patience_s):
            continue
        stranded = not need.spot_cpus and not any(o.spot for o in need.pools - refused)
        on_demand = left if busy_s >= ordinary_after_s or stranded else min(left, need.on_demand)
        if need.urgent:
            on_demand = max(on_demand, left - int((need.yielded + EPS) / max(need.cpus, EPS)))
        choices = []
        for pool in need.pools - refused:
            kind = types[pool.type]
            per = slots(kind, need.cpus, need.gpus, need.mem_gb)
            if not per:
                continue
            if not pool.spot and not on_demand:
                continue
            rate = kind.spot_price if pool.spot else kind.price
            choices.append((rate / per * (1.0 + kind.boot_s / (MIN_CHARGE_S * 4)), pool, per))
        for _, pool, per in sorted(choices, key=lambda c: (c[0], c[1].type, c[1].zone, c[1].spot)):
            count = min(50, -(-(left if pool.spot else on_demand) // per))
            before, why = ask.get(pool, (0, "urgent work waits" if need.urgent else "backlog"))
            ask[pool] = (before + count, why)
            break
    return [LaunchPlan(pool, min(50, count), why) for pool, (count, why) in ask.items()]


def plan_service_launches(
    groups: Sequence[Group],
    types: Sequence[MachineType],
    have: Mapping[MachinePool, int],
    refused: frozenset[MachinePool],
    hurry: bool = False,
) -> list[LaunchPlan]:
    """What to launch that the services and their reserve have room.

    `have`: the machines by kind, those that are coming included. Of equally on-demand ones those in the zone
    that has least, so that the loss of a zone takes few replicas; in a `hurry` those that boot soonest.
    """
    out: dict[MachinePool, int] = {}
    for group in groups:
        zones: dict[int, float] = {}
        share = 0.0
        for pool in group.pools:
            count = have.get(pool, 0) + out.get(pool, 0)
            share += count / group.machines[pool.type]
            zones[pool.zone] = zones.get(pool.zone, 0.0) + types[pool.type].cpus * count
        if share >= 1.0 or not group.pools - refused:
            continue

        def rank(o: MachinePool, group: Group = group, zones: dict[int, float] = zones) -> tuple[float, ...]:
            kind = types[o.type]
            first = kind.boot_s if hurry else zones[o.zone]
            return (round(kind.price * group.machines[o.type], 6), first, o.type, o.zone)

        best = min(group.pools - refused, key=rank)
        lacking = math.ceil((1.0 - share) * group.machines[best.type] - EPS)
        if lacking > 0:
            out[best] = out.get(best, 0) + lacking
    return [LaunchPlan(pool, min(50, count), "services") for pool, count in out.items()]


def should_terminate(idle_s: float, age_s: float, ordinary: bool, waiting: bool, keep_s: float) -> bool:
    """Whether an idle machine goes back. Below the minimum charge, keeping it costs nothing."""
    if waiting or age_s < MIN_CHARGE_S:
        return False
    return idle_s > keep_s * (0.4 if ordinary else 1.0)
