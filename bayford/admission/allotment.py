"""Divides the capacity for acceptances among flows whose total demand exceeds it.

The order is: the floors of the job classes, teams within their guarantee, then priorities from high to low.
Within a priority the team with the lowest excess over its guarantee is served first, which is max-min
fairness on that excess.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bayford.admission.level import Flow

BISECTION_ROUNDS = 60  # enough for any range of floats
EPSILON = 1e-9  # jobs per second; smaller amounts are ignored


@dataclass(frozen=True, slots=True)
class Floors:
    """The minimum share of the capacity that each job class is allotted, up to its demand."""

    default: float
    by_class: Mapping[str, float] = field(default_factory=dict)

    def of(self, job_class: str) -> float:
        """Returns the floor of a job class."""
        return self.by_class.get(job_class, self.default)


def water_fill(
    amount: float, unmet_demands: Mapping[str, float], levels: Mapping[str, float]
) -> dict[str, float]:
    """Returns a division of `amount` that raises the lowest levels first, up to a common level.

    `unmet_demands`: the maximum to give to each name. `levels`: the amount that each name already has.
    """
    if sum(unmet_demands.values()) <= amount:
        return dict(unmet_demands)
    low = min(levels.values(), default=0.0)
    high = max((levels[name] + unmet for name, unmet in unmet_demands.items()), default=0.0)
    for _ in range(BISECTION_ROUNDS):
        middle = (low + high) / 2
        if sum(min(unmet, max(0.0, middle - levels[name])) for name, unmet in unmet_demands.items()) > amount:
            high = middle
        else:
            low = middle
    return {name: min(unmet, max(0.0, low - levels[name])) for name, unmet in unmet_demands.items()}


class Allotment:
    """One division of a capacity, in jobs per second. Each instance serves a single call of `divide`."""

    def __init__(
        self, capacity: float, demand: Mapping[Flow, float], guarantees: Mapping[str, float], floors: Floors
    ) -> None:
        """`demand`: new jobs per second by flow. `guarantees`: jobs per second guaranteed, by team."""
        self._remaining = capacity
        self._capacity = capacity
        self._demand = demand
        self._guarantees = guarantees
        self._floors = floors
        self.rates: dict[Flow, float] = dict.fromkeys(demand, 0.0)

    def divide(self, exempt: Iterable[str]) -> dict[Flow, float]:
        """Returns the jobs per second of each flow. `exempt`: teams whose whole demand is allotted."""
        self._allot_floors()
        for team in exempt:
            self._allot_to_team(team, [flow for flow in self._demand if flow.team == team], self._capacity)
        for priority in sorted({flow.priority for flow in self._demand}, reverse=True):
            self._allot_priority(priority)
        return self.rates

    def _unmet_demand(self, flow: Flow) -> float:
        return max(0.0, self._demand[flow] - self.rates[flow])

    def _allot_to_team(self, team: str, flows: list[Flow], amount: float) -> None:
        """Allot at most `amount` more to the team, in proportion to the unmet demand of its `flows`."""
        team_demand = sum(self._unmet_demand(flow) for flow in flows if flow.team == team)
        allotted = min(amount, team_demand)
        if allotted <= EPSILON:
            return
        for flow in flows:
            if flow.team == team:
                self.rates[flow] += self._unmet_demand(flow) * allotted / team_demand
        self._remaining = max(0.0, self._remaining - allotted)

    def _divide_among_teams(self, amount: float, flows: list[Flow], levels: Mapping[str, float]) -> None:
        unmet_demands: dict[str, float] = {}
        for flow in flows:
            unmet_demands[flow.team] = unmet_demands.get(flow.team, 0.0) + self._unmet_demand(flow)
        shares = water_fill(amount, unmet_demands, {team: levels.get(team, 0.0) for team in unmet_demands})
        for team, share in shares.items():
            self._allot_to_team(team, flows, share)

    def _allot_floors(self) -> None:
        for priority, job_class in sorted({(flow.priority, flow.job_class) for flow in self._demand}):
            flows = [
                flow for flow in self._demand if (flow.priority, flow.job_class) == (priority, job_class)
            ]
            self._divide_among_teams(self._floors.of(job_class) * self._capacity, flows, {})

    def _allot_priority(self, priority: int) -> None:
        flows = [flow for flow in self._demand if flow.priority == priority]
        allotted_by_team: dict[str, float] = {}
        for flow, rate in self.rates.items():
            allotted_by_team[flow.team] = allotted_by_team.get(flow.team, 0.0) + rate
        excess = {team: rate - self._guarantees.get(team, 0.0) for team, rate in allotted_by_team.items()}
        self._divide_among_teams(self._remaining, flows, excess)
