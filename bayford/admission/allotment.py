"""How a capacity of acceptances is divided among flows that ask for more.

Floors of classes first, then teams within their guarantee, then by priority; in one priority the team with
the least above its guarantee is served first, which is max-min fairness on that excess.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bayford.admission.level import Flow

BISECTION_ROUNDS = 60  # enough for any float
EPSILON = 1e-9  # jobs a second: less is nothing


@dataclass(frozen=True, slots=True)
class Floors:
    """The least share of the capacity that a class is given, as far as it asks for it."""

    default: float
    by_class: Mapping[str, float] = field(default_factory=dict)

    def of(self, job_class: str) -> float:
        """The floor of one class."""
        return self.by_class.get(job_class, self.default)


def water_fill(amount: float, wants: Mapping[str, float], levels: Mapping[str, float]) -> dict[str, float]:
    """Divide `amount` so that the lowest rise first, up to one common level.

    `wants`: the most that each is given. `levels`: what each has already, by the same names.
    """
    if sum(wants.values()) <= amount:
        return dict(wants)
    low = min(levels.values(), default=0.0)
    high = max((levels[name] + want for name, want in wants.items()), default=0.0)
    for _ in range(BISECTION_ROUNDS):
        middle = (low + high) / 2
        if sum(min(want, max(0.0, middle - levels[name])) for name, want in wants.items()) > amount:
            high = middle
        else:
            low = middle
    return {name: min(want, max(0.0, low - levels[name])) for name, want in wants.items()}


class Allotment:
    """One division of a capacity, in jobs a second. Made for one call of `divide`."""

    def __init__(
        self, capacity: float, demand: Mapping[Flow, float], guarantees: Mapping[str, float], floors: Floors
    ) -> None:
        """`demand`: what each flow asks for. `guarantees`: jobs a second that are each team's own."""
        self._left = capacity
        self._capacity = capacity
        self._demand = demand
        self._guarantees = guarantees
        self._floors = floors
        self.rates: dict[Flow, float] = dict.fromkeys(demand, 0.0)

    def divide(self, exempt: Iterable[str]) -> dict[Flow, float]:
        """Jobs a second of each flow. `exempt`: teams within their guarantee, given all they ask for."""
        self._give_floors()
        for team in exempt:
            self._give(team, [flow for flow in self._demand if flow.team == team], self._capacity)
        for priority in sorted({flow.priority for flow in self._demand}, reverse=True):
            self._give_priority(priority)
        return self.rates

    def _wants(self, flow: Flow) -> float:
        return max(0.0, self._demand[flow] - self.rates[flow])

    def _give(self, team: str, flows: list[Flow], amount: float) -> None:
        """Give the team at most `amount` more, divided among its `flows` as they still want it."""
        wanted = sum(self._wants(flow) for flow in flows if flow.team == team)
        given = min(amount, wanted)
        if given <= EPSILON:
            return
        for flow in flows:
            if flow.team == team:
                self.rates[flow] += self._wants(flow) * given / wanted
        self._left = max(0.0, self._left - given)

    def _divide_among_teams(self, amount: float, flows: list[Flow], levels: Mapping[str, float]) -> None:
        wants: dict[str, float] = {}
        for flow in flows:
            wants[flow.team] = wants.get(flow.team, 0.0) + self._wants(flow)
        shares = water_fill(amount, wants, {team: levels.get(team, 0.0) for team in wants})
        for team, share in shares.items():
            self._give(team, flows, share)

    def _give_floors(self) -> None:
        for priority, job_class in sorted({(flow.priority, flow.job_class) for flow in self._demand}):
            flows = [
                flow for flow in self._demand if (flow.priority, flow.job_class) == (priority, job_class)
            ]
            self._divide_among_teams(self._floors.of(job_class) * self._capacity, flows, {})

    def _give_priority(self, priority: int) -> None:
        flows = [flow for flow in self._demand if flow.priority == priority]
        given: dict[str, float] = {}
        for flow, rate in self.rates.items():
            given[flow.team] = given.get(flow.team, 0.0) + rate
        excess = {team: rate - self._guarantees.get(team, 0.0) for team, rate in given.items()}
        self._divide_among_teams(self._left, flows, excess)
