"""The balancer, checked against the paper's definitions and small worked examples."""

import random

import pytest

from bayford.scheduling import tempered
from bayford.scheduling.tempered import Host, Item, SearchLimits

ALLOW_ALL = lambda key, target: True  # noqa: E731


def host(index: int, cpus: float, *items: float) -> Host:
    """A host whose movable tasks use these numbers of CPUs, and equal amounts of memory in GB."""
    tasks = [Item((f"req-{index}/{n}", 1), (c, 0.0, c, 0)) for n, c in enumerate(items)]
    used = sum(items)
    return Host(index, cpus, (cpus - used, 0.0, cpus - used, 0), tasks)


def test_imbalance_is_equation_1() -> None:
    assert tempered.imbalance([1.0, 1.0, 1.0]) == 0.0
    assert tempered.imbalance([2.0, 1.0, 0.0]) == pytest.approx(1.0)
    assert tempered.imbalance([0.0, 0.0]) == 0.0


def test_the_modified_cmf_weighs_by_headroom_below_the_highest_load() -> None:
    # ls = max(average load 0.53, highest load 0.8) = 0.8, so the weights 1 - load / ls are 0.75, 0.25 and 0
    assert tempered.build_cmf([0.2, 0.6, 0.8]) == pytest.approx([0.75, 1.0, 1.0])
    assert tempered.build_cmf([0.5, 0.5]) == [], "no host has headroom below the highest load"
    assert tempered.build_cmf([0.0, 0.0]) == pytest.approx([0.5, 1.0])


def test_no_weight_is_negative_when_a_target_is_above_the_average() -> None:
    cmf = tempered.build_cmf([0.1, 0.9])
    assert cmf == sorted(cmf) and cmf[-1] == pytest.approx(1.0)
    rng = random.Random(3)
    assert {tempered.sample(cmf, rng) for _ in range(50)} == {0}, (
        "the host with the highest load is never drawn"
    )


def test_the_relaxed_criterion_is_the_load_gap() -> None:
    assert tempered.criterion(0.29, 0.9, 0.6)
    assert not tempered.criterion(0.3, 0.9, 0.6)


def test_fewest_migrations_order() -> None:
    items = [Item((f"t{n}", 1), (c, 0.0, 0.0, 0)) for n, c in enumerate([1, 5, 3, 2, 8])]
    loads = [i.demand[0] for i in tempered.order_fewest(items, lambda i: i.demand[0], 2.5)]
    assert loads == [3, 2, 1, 5, 8], (
        "smallest sufficient, then lighter ones descending, then heavier ones ascending"
    )
    loads = [i.demand[0] for i in tempered.order_fewest(items, lambda i: i.demand[0], 9.0)]
    assert loads == [8, 5, 3, 2, 1], "none suffices: descending"
    loads = [i.demand[0] for i in tempered.order_fewest(items, lambda i: i.demand[0], 5.0)]
    assert loads[0] == 5, "a load equal to the required capacity suffices"


def test_a_worked_example_moves_one_task() -> None:
    hosts = [host(0, 4, 2, 1, 1), host(1, 4, 1), host(2, 4, 2)]
    plan = tempered.free_room(
        hosts, 0, (2.0, 0.0, 2.0, 0), SearchLimits(8, 3, 3), ALLOW_ALL, random.Random(1)
    )
    assert plan is not None
    assert [m.key[0] for m in plan.moves] == ["req-0/0"]
    assert plan.moves[0].target == 1, "a migration to host 2 would only swap the loads"
    # loads afterwards: 0.5, 0.75, 0.5, on average 0.583
    assert plan.imbalance == pytest.approx(0.75 / (1.75 / 3) - 1)
    assert [len(h.items) for h in hosts] == [3, 1, 1], "the input snapshot is not modified"


def test_every_resource_must_fit_and_the_job_must_allow_the_target() -> None:
    hosts = [host(0, 4, 2, 2), host(1, 4)]
    hosts[1].free = (4.0, 0.0, 1.0, 0)
    counts = SearchLimits(8, 3, 3)
    assert tempered.free_room(hosts, 0, (2.0, 0.0, 2.0, 0), counts, ALLOW_ALL, random.Random(1)) is None
    hosts[1].free = (4.0, 0.0, 4.0, 0)
    deny_all = lambda key, target: False  # noqa: E731
    assert tempered.free_room(hosts, 0, (2.0, 0.0, 2.0, 0), counts, deny_all, random.Random(1)) is None
    assert tempered.free_room(hosts, 0, (2.0, 0.0, 2.0, 0), counts, ALLOW_ALL, random.Random(1)) is not None


@pytest.mark.parametrize("seed", range(20))
def test_the_highest_load_never_rises_through_an_accepted_move(seed: int) -> None:
    """Lemma 1 of the paper, for the machines in the snapshot, also of different sizes."""
    rng = random.Random(seed)
    hosts = [
        host(n, rng.choice([4, 8]), *(rng.choice([0.5, 1, 2]) for _ in range(rng.randint(0, 4))))
        for n in range(6)
    ]
    hosts = [h for h in hosts if h.free[0] >= 0]
    source = max(hosts, key=lambda h: h.load)
    for _ in range(10):
        before = max(h.load for h in hosts)
        others = [h for h in hosts if h is not source]
        moves = tempered.transfer(source, others, source.load, lambda host: False, 1, ALLOW_ALL, rng)
        assert max(h.load for h in hosts) <= before + 1e-9
        if not moves:
            break


def test_best_of_trials_is_no_worse_than_any_single_trial() -> None:
    hosts = [host(0, 8, 3, 3), host(1, 8, 2), host(2, 8, 1), host(3, 8, 4)]
    need = (5.0, 0.0, 5.0, 0)
    rng = random.Random(5)
    state = rng.getstate()
    best = tempered.free_room(hosts, 0, need, SearchLimits(10, 1, 4), ALLOW_ALL, rng)
    rng.setstate(state)
    singles = [tempered.free_room(hosts, 0, need, SearchLimits(1, 1, 4), ALLOW_ALL, rng) for _ in range(10)]
    imbalances = [s.imbalance for s in singles if s is not None]
    assert best is not None and best.imbalance == min(imbalances)
    assert len(set(imbalances)) > 1, "trials have different results"


def test_the_budget_rounds_up_and_permits_a_move_while_any_task_runs() -> None:
    assert [tempered.budget(n, 0.02) for n in (0, 1, 50, 51, 150)] == [0, 1, 1, 2, 3]


def test_migrations_free_room_in_a_heartbeat_and_only_to_machines_that_have_some() -> None:
    """A full task list is as much a lack of room as CPUs in use, at the source and at the target."""
    items = [Item((f"req-0/{n}", 1), (0.5, 0.0, 0.0, 100)) for n in range(4)]
    limits = SearchLimits(8, 3, 1)
    for target_bytes, moves in ((99, 0), (100, 1)):
        source = Host(0, 4.0, (2.0, 0.0, 4.0, 50), items)
        target = Host(1, 4.0, (4.0, 0.0, 4.0, target_bytes), [])
        plan = tempered.free_room(
            [source, target], 0, (0.5, 0.0, 0.0, 120), limits, ALLOW_ALL, random.Random(1)
        )
        assert (0 if plan is None else len(plan.moves)) == moves
