"""Launch plans: the machines requested from the cloud to meet demand."""

import dataclasses
from collections.abc import Sequence

from fakes.cluster import Cluster

from bayford.scheduling import scaling


def test_launch_plans_prefer_spot_and_take_on_demand_machines_only_where_needed() -> None:
    types = Cluster(1).cloud.catalog()
    spot, on_demand = scaling.MachinePool(0, 0, True), scaling.MachinePool(0, 0, False)
    demand = scaling.Demand(
        pools=frozenset({spot, on_demand}),
        tasks=8,
        cpus=1.0,
        gpus=0.0,
        mem_gb=1.0,
        fleet_cpus=1.0,
        run_s=20.0,
        urgent=False,
        on_demand=0,
        host_cpus=640.0,
        spot_cpus=640.0,
    )

    def plan_for(
        demand: scaling.Demand,
        refused: Sequence[scaling.MachinePool] = (),
        spare: dict[scaling.MachinePool, int] | None = None,
        preemptible: float = 0.0,
        busy: float = 50.0,
    ) -> list[tuple[scaling.MachinePool, int]]:
        demand = dataclasses.replace(demand, preemptible_cpus=preemptible)
        plans = scaling.plan_launches([demand], types, spare or {}, frozenset(refused), busy, 1e9, 2.0)
        return [(plan.pool, plan.count) for plan in plans]

    assert plan_for(demand) == [(spot, 2)]
    assert plan_for(demand, spare={spot: 1}) == [(spot, 1)]
    assert plan_for(demand, busy=1.0) == []
    assert plan_for(demand, refused=[spot]) == []
    without_spot = dataclasses.replace(demand, spot_cpus=0.0)
    assert plan_for(without_spot) == [(spot, 2)]
    assert plan_for(without_spot, refused=[spot]) == [(on_demand, 2)], (
        "spot machines neither exist nor can be launched"
    )
    late = dataclasses.replace(demand, on_demand=3)
    assert plan_for(late, refused=[spot]) == [(on_demand, 1)], (
        "on-demand machines only for tasks that would miss their deadline"
    )
    urgent = dataclasses.replace(demand, urgent=True)
    assert plan_for(urgent, refused=[spot]) == [(on_demand, 2)]
    assert plan_for(urgent, refused=[spot], preemptible=8.0) == [], (
        "preempting work of lower priority meets the demand"
    )
