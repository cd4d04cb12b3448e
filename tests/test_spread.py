"""Load spread: machine choice and migration plans on random fleets, and migrations in a simulated cluster."""

import dataclasses
import random
from typing import Any

import pytest
from fakes.cluster import LIMITS, Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster
from hypothesis import given
from hypothesis import strategies as st
from test_capacity_index import CPUS, indexed, jobs, machines, make_job

from bayford.scheduling import placement_rules, resources, tempered
from bayford.scheduling.model import Job, Machine, MachineType, Placement
from bayford.scheduling.placement_rules import Suitability
from bayford.scheduling.policy import Policy
from bayford.scheduling.tempered import Host, Item, SearchLimits
from bayford.spread.machine_snapshot import snapshot_of
from bayford.spread.rebalance import Rebalancing, Relocation, rebalance
from bayford.spread.restarts import RestartBudget, UnreadableCountsError
from bayford.spread.score import Chooser, Weights, rendezvous
from bayford.storage import records

SPREAD = Policy(hold_s=0.0, hold_idle_s=0.0, spread=True, spread_rest_s=20.0, extra_classes=("sweep",))
PACKED = Policy(hold_s=0.0, hold_idle_s=0.0)
FETCH_S = 2.0  # time to fetch an image over an otherwise idle link


# -- choosing machines


def choose(job: Job, fleet: list[Machine], count: int, weights: Weights) -> list[Machine]:
    """Choose machines for `count` tasks; capacity is reserved for each task before the next choice."""
    average = 1.0 - sum(m.free_cpus for m in fleet) / sum(m.cpus for m in fleet)
    chooser = Chooser(job, fleet, average, weights, lambda machine: FETCH_S)
    chosen: list[Machine] = []
    while len(chosen) < count and (choice := chooser.next()) is not None:
        choice.machine.reserve(job)
        choice.machine.images.setdefault(job.image, False)
        chosen.append(choice.machine)
        chooser.return_machine(choice)
    return chosen


def idle_machines(count: int) -> list[Machine]:
    """Machines without tasks and cached images, in two zones."""
    return [
        Machine(
            n,
            f"vm-{n}",
            type=0,
            zone=n % 2,
            spot=True,
            cpus=CPUS,
            token_acknowledged=True,
            free_cpus=CPUS,
            free_mem=64.0,
        )
        for n in range(count)
    ]


@given(st.lists(machines, min_size=1, max_size=30), jobs, st.integers(1, 20))
def test_chosen_machines_are_eligible_and_have_capacity(fleet: list[Machine], job: Job, count: int) -> None:
    capacity_index = indexed(fleet)

    def may_take(machine: Machine) -> bool:
        return placement_rules.suitability(job, machine, {}, 0.0) is Suitability.PREFERRED

    candidates = capacity_index.least_loaded(job, count, may_take)
    chosen = choose(job, candidates, count, Weights()) if candidates else []
    assert all(may_take(machine) for machine in chosen)
    assert all(m.free_cpus >= -1e-6 and m.free_mem >= -1e-6 for m in fleet)
    fits = [m for m in fleet if may_take(m) and m.has_room(job)]
    assert len(chosen) == count or not fits, (
        "fewer machines than tasks only if no eligible machine has capacity left"
    )


@pytest.mark.parametrize(
    ("weights", "prefers_cached_image"),
    [
        (Weights(load_s=0.0), True),  # image locality only
        (Weights(fetch=0.0), False),  # load balance only
        # The load of a machine in use to three quarters costs more than a fetch of 2 s.
        (Weights(fetch=1.0, load_s=10.0), False),
        (Weights(fetch=10.0, load_s=10.0), True),
    ],
)
def test_weights_decide_between_a_busy_machine_with_the_image_and_an_idle_one(
    weights: Weights, prefers_cached_image: bool
) -> None:
    busy, idle = idle_machines(2)
    busy.images[1] = True
    busy.free_cpus = 0.25 * CPUS
    chosen = choose(make_job(1, 1.0, 1.0, None, True), [busy, idle], 1, weights)
    assert chosen == [busy if prefers_cached_image else idle]


def test_machines_with_a_popular_image_get_more_load_but_are_not_filled() -> None:
    """They get tasks until their load costs more than fetching the image elsewhere."""
    fleet = idle_machines(20)
    for machine in fleet[:3]:
        machine.images[1] = True
    job = make_job(1, 1.0, 1.0, None, True, tasks=40)
    choose(job, fleet, 40, Weights())
    loads = [1.0 - m.free_cpus / m.cpus for m in fleet]
    assert max(loads) <= 2.0 * sum(loads) / len(loads)
    assert min(loads[:3]) > sum(loads[3:]) / len(loads[3:]), "machines with the image get more load"


def test_without_cached_images_the_choice_is_deterministic_and_spread() -> None:
    """As after the return of a zone: several machines fetch the image, and each run chooses the same ones."""
    first = choose(make_job(1, 1.0, 1.0, None, True), idle_machines(12), 6, Weights())
    again = choose(make_job(1, 1.0, 1.0, None, True), idle_machines(12), 6, Weights())
    assert [m.name for m in first] == [m.name for m in again]
    assert len({m.name for m in first}) >= 2


@given(st.sets(st.integers(0, 500), min_size=2, max_size=30), st.text(max_size=8))
def test_the_preferred_machine_of_an_image_changes_only_if_it_is_removed(
    numbers: set[int], image: str
) -> None:
    names = [f"vm-{n}" for n in sorted(numbers)]
    best = max(names, key=lambda name: rendezvous(image, name))
    for removed in names:
        if removed != best:
            remaining = [name for name in names if name != removed]
            assert max(remaining, key=lambda name: rendezvous(image, name)) == best


# -- migration plans


@st.composite
def hosts(draw: st.DrawFn) -> list[Host]:
    """Machines with tasks, in the form that `rebalance` expects."""
    drawn = []
    for index in range(draw(st.integers(2, 8))):
        cpus = draw(st.sampled_from([4.0, 8.0]))
        tasks = draw(st.lists(st.sampled_from([0.5, 1.0, 2.0]), max_size=int(cpus / 2)))
        items = [Item((f"req-{index}/{n}", 1), (need, 0.0, need, 0)) for n, need in enumerate(tasks)]
        free = cpus - sum(tasks)
        drawn.append(Host(index, cpus, (free, 0.0, free, 0), items))
    return drawn


@given(hosts(), st.integers(0, 6), st.sampled_from([1.0, 1.5, 2.0]), st.integers(0, 1000))
def test_a_plan_migrates_each_task_once_within_the_budget_and_lowers_the_highest_load(
    fleet: list[Host], max_moves: int, threshold: float, seed: int
) -> None:
    before = {host.index: (host.free, list(host.items)) for host in fleet}
    plan = rebalance(
        fleet, threshold, SearchLimits(4, 3, max_moves), lambda key, target: True, random.Random(seed)
    )
    assert {host.index: (host.free, host.items) for host in fleet} == before, (
        "planning does not modify the machines"
    )
    if plan is None:
        return
    assert 0 < len(plan.relocations) <= max_moves
    keys = [relocation.key for relocation in plan.relocations]
    assert len(set(keys)) == len(keys), "no task migrates twice"
    loads = initial_loads = {host.index: host.load for host in fleet}
    hosts_by_index = {host.index: host for host in fleet}
    for relocation in plan.relocations:
        source, target = hosts_by_index[relocation.source], hosts_by_index[relocation.target]
        need = next(item.demand for item in before[source.index][1] if item.key == relocation.key)
        assert tempered.criterion(need[0] / target.cpus, loads[source.index], loads[target.index])
        assert resources.fits(need, target.free)
        target.free, source.free = resources.sub(target.free, need), resources.add(source.free, need)
        loads = {host.index: host.load for host in fleet}
    assert abs(tempered.imbalance(loads.values()) - plan.after) < 1e-6
    assert plan.after <= plan.before + 1e-6
    excess_loads = [
        sum(max(0.0, load - limit) for load in host_loads)
        for host_loads, limit in (
            (initial_loads.values(), threshold * sum(initial_loads.values()) / len(initial_loads)),
            (loads.values(), threshold * sum(loads.values()) / len(loads)),
        )
    ]
    assert plan.after < plan.before - 1e-6 or excess_loads[1] < excess_loads[0]


@given(hosts(), st.integers(0, 50))
def test_successive_migration_plans_converge(fleet: list[Host], seed: int) -> None:
    """No migration undoes another one: after a finite number of plans, no further plan is made."""
    rng = random.Random(seed)
    hosts_by_index = {host.index: host for host in fleet}
    for _ in range(200):
        plan = rebalance(fleet, 1.0, SearchLimits(4, 3, 2), lambda key, target: True, rng)
        if plan is None:
            break
        for relocation in plan.relocations:
            source, target = hosts_by_index[relocation.source], hosts_by_index[relocation.target]
            item = next(i for i in source.items if i.key == relocation.key)
            source.items.remove(item)
            target.items.append(item)
            source.free, target.free = (
                resources.add(source.free, item.demand),
                resources.sub(target.free, item.demand),
            )
    else:
        pytest.fail("migration plans do not converge")


def test_a_small_budget_relieves_equally_loaded_machines_one_at_a_time() -> None:
    """Guards against a planner that makes no plan when several machines share the highest load.

    The highest load decreases only when the last of them is relieved, so it must not be the only criterion.
    """
    fleet = [
        Host(n, 4.0, (0.0, 0.0, 0.0, 0), [Item((f"req-{n}/{t}", 1), (1.0, 0.0, 1.0, 0)) for t in range(4)])
        for n in range(3)
    ]
    fleet += [Host(n, 4.0, (4.0, 0.0, 4.0, 0), []) for n in range(3, 12)]
    plan = rebalance(fleet, 2.0, SearchLimits(4, 3, 1), lambda key, target: True, random.Random(1))
    assert plan is not None
    assert len(plan.relocations) == 1


def test_no_plan_is_made_when_no_migration_helps() -> None:
    balanced = [
        Host(n, 4.0, (3.0, 0.0, 3.0, 0), [Item((f"req-{n}/0", 1), (1.0, 0.0, 1.0, 0))]) for n in range(4)
    ]
    one_large = [Host(n, 4.0, (4.0, 0.0, 4.0, 0), []) for n in range(3)]
    one_large.append(Host(3, 4.0, (0.0, 0.0, 0.0, 0), [Item(("req-9/0", 1), (4.0, 0.0, 4.0, 0))]))
    for fleet in (balanced, one_large):
        for seed in range(20):
            assert (
                rebalance(fleet, 1.0, SearchLimits(4, 3, 4), lambda k, t: True, random.Random(seed)) is None
            )


# -- restart budgets


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=40), st.integers(0, 3))
def test_no_task_is_restarted_more_often_than_allowed_across_failovers(
    events: list[tuple[int, bool]], limit: int
) -> None:
    budget = RestartBudget({"sweep": limit}, 9)
    restarts_of = dict.fromkeys(range(4), 0)
    for task, failover in events:
        if failover and budget.has_counts("req-1"):
            stored = budget.encode("req-1")
            budget = RestartBudget({"sweep": limit}, 9)
            budget.load("req-1", stored)
        if budget.allows("req-1", "sweep", task):
            budget.record_migration("req-1", task)
            restarts_of[task] += 1
    assert max(restarts_of.values()) <= limit


@pytest.mark.parametrize(
    "stored", [None, 3, {"v": 2, "t": []}, {"v": 1, "t": [[0, "x"]]}, {"v": 1, "t": [[0, -1]]}]
)
def test_unreadable_restart_counts_allow_no_migration(stored: object) -> None:
    budget = RestartBudget({}, 5)
    with pytest.raises(UnreadableCountsError):
        budget.load("req-1", stored)
    assert not budget.allows("req-1", "sweep", 0)
    assert budget.allows("req-2", "sweep", 0)


def test_restart_counts_that_fill_a_value_allow_no_more_tasks() -> None:
    budget = RestartBudget({}, 1, value_bytes=384)
    task = 0
    while budget.allows("req-1", "sweep", 10**5 - task):
        budget.record_migration("req-1", 10**5 - task)
        task += 1
    assert task > 10
    assert records.encoded_size(budget.encode("req-1")) <= 384


# -- the leader's migrations


def unbalanced_cluster(tasks: int = 4, nodes: int = 1, **job: Any) -> Cluster:
    """Four machines, of which one runs all tasks of job 1, and a leader with load spread enabled."""
    cluster = started_cluster(machines=4, nodes=nodes, policy=PACKED)
    fields = {"crew": "open", "parts": tasks, "bookmark_s": 5.0, "stash_s": 1.0, "guess_s": 900.0} | job
    cluster.submit("n0", cluster.job(1, **fields))
    run_for(cluster, 4.0, cloud=False)
    assert sorted(len(worker.running()) for worker in cluster.workers.values()) == [0, 0, 0, tasks]
    cluster.policy = SPREAD
    for node in cluster.nodes.values():
        node.scheduler.state.policy = SPREAD
    return cluster


def task_counts(cluster: Cluster) -> list[int]:
    """The number of tasks on each machine, in ascending order."""
    return sorted(len(worker.running()) for worker in cluster.workers.values())


def restarts(cluster: Cluster) -> dict[str, int]:
    """Task -> number of its restarts."""
    return {task_id: len(workers) - 1 for task_id, workers in cluster.started_on.items()}


def test_running_tasks_migrate_from_an_overloaded_machine_at_most_once() -> None:
    cluster = unbalanced_cluster()
    run_for(cluster, 120.0, cloud=False)
    assert task_counts(cluster)[-1] <= 2, "highest load is at most twice the average"
    assert len(running_tasks(cluster)) == 4
    assert max(restarts(cluster).values()) == 1
    assert sum(restarts(cluster).values()) <= 3
    stored = cluster.store.rows[records.migration_counts_key("req-000001")][0]
    assert sum(count for _, count in stored["t"]) == sum(restarts(cluster).values())


@pytest.mark.parametrize(
    "job",
    [
        {"bookmark_s": 0.0},  # saves no checkpoints
        {"guess_s": 12.0},  # expected to end soon
    ],
)
def test_tasks_without_checkpoints_or_near_their_end_are_not_migrated(job: dict[str, Any]) -> None:
    cluster = unbalanced_cluster(**job)
    before = {worker.name: worker.running() for worker in cluster.workers.values()}
    run_for(cluster, 60.0, cloud=False)
    assert {worker.name: worker.running() for worker in cluster.workers.values()} == before


def test_tasks_of_a_lossy_class_are_migrated_without_checkpoints() -> None:
    cluster = unbalanced_cluster(bookmark_s=0.0, guess_s=9000.0)
    cluster.nodes["n0"].scheduler.state.policy = dataclasses.replace(SPREAD, spread_lossy=("sweep",))
    run_for(cluster, 60.0, cloud=False)
    assert task_counts(cluster)[-1] <= 2


def test_tasks_of_a_class_without_restarts_are_not_migrated() -> None:
    cluster = unbalanced_cluster()
    cluster.policy = dataclasses.replace(SPREAD, spread_restarts={"sweep": 0})
    cluster.boot("n0")
    run_for(cluster, 60.0, cloud=False)
    assert task_counts(cluster) == [0, 0, 0, 4]


def test_successive_leaders_restart_no_task_more_often_than_allowed(caplog: pytest.LogCaptureFixture) -> None:
    cluster = unbalanced_cluster(nodes=3)
    with caplog.at_level("INFO", logger="bayford.coordination.leader.load_spreader"):
        for _ in range(8):
            run_for(cluster, 40.0, cloud=False)
            cluster.boot(cluster.leader() or "n0")
            run_for(cluster, 8.0, cloud=False)
            # Tasks of all machines but one are lost and placed on that one again, so the load is unbalanced.
            scheduler = cluster.nodes[cluster.leader() or "n0"].scheduler
            scheduler.state.policy = PACKED
            _, *others = sorted(cluster.workers.values(), key=lambda worker: -len(worker.running()))
            for worker in others:
                worker.tasks.clear()
                worker.epoch += 1
            run_for(cluster, 4.0, cloud=False)
            scheduler.state.policy = SPREAD
    migrated = [r.getMessage().split()[1] for r in caplog.records if r.getMessage().startswith("migrating: ")]
    assert migrated and len(set(migrated)) == len(migrated), (
        "each task migrates at most once, across all leaders"
    )


def decide_migration(cluster: Cluster) -> Placement:
    """Advance until a migration is decided but not yet written; returns the placement to be migrated."""
    scheduler = cluster.nodes["n0"].scheduler
    for _ in range(120):
        cluster.pass_time(0.5)
        for worker in cluster.workers.values():
            cluster.heartbeat(worker, "n0")
        scheduler.round()
        if scheduler.state.uncounted_migrations:
            return scheduler.state.uncounted_migrations["req-000001"][0].placement
    pytest.fail("no migration was decided")


def trigger_event(cluster: Cluster, event: str, placement: Placement, target: int) -> None:
    """Trigger an event while a task migrates to machine `target`."""
    node = cluster.nodes["n0"]
    if event == "done":
        cluster.finish(placement.task_id)
        for worker in cluster.workers.values():
            cluster.heartbeat(worker, "n0")
    elif event == "cancelled":
        assert cluster.cancel("n0", "req-000001") == "aborted"
    elif event == "target":
        cluster.cloud.execute_delete([node.scheduler.state.machine_names[target]])
        node.scheduler.on_deletion_confirmed([node.scheduler.state.machine_names[target]])
    else:
        cluster.boot("n0")


@pytest.mark.parametrize("counted", [False, True])
@pytest.mark.parametrize("event", ["done", "cancelled", "target", "leader"])
def test_an_event_during_a_migration_is_handled(event: str, counted: bool) -> None:
    """The task completes or its job is cancelled, the target is deleted, or the leader restarts.

    The event happens either before or after the migration is durable and the stop command is sent.
    """
    cluster = unbalanced_cluster()
    placement = decide_migration(cluster)
    node = cluster.nodes["n0"]
    target = node.scheduler.state.uncounted_migrations["req-000001"][0].target
    if counted:
        node.commit_loop.commit_once()
        assert placement.stopping
        assert node.scheduler.state.migrations >= 1
    trigger_event(cluster, event, placement, target)
    if event != "leader" and not counted:
        before = node.scheduler.state.migrations, set(node.scheduler.state.stopping)
        node.watch_cache.pull(0.0)
        node.commit_loop.commit_once()
        assert (node.scheduler.state.migrations, set(node.scheduler.state.stopping) - {placement}) == (
            0,
            before[1] - {placement},
        )
        assert placement.stop_grace_s == 0.0
    run_for(cluster, 60.0)
    assert not cluster.nodes["n0"].scheduler.state.stopping
    if event == "cancelled":
        assert running_tasks(cluster) == []
        return
    remaining = {f"req-000001/{n}" for n in range(4)} - cluster.done_tasks
    assert set(running_tasks(cluster)) == remaining
    assert len(running_tasks(cluster)) == len(remaining)
    assert restarts(cluster)[placement.task_id] <= 1
    if event == "done":
        for task_id in remaining:
            cluster.finish(task_id)
        run_for(cluster, 10.0, cloud=False)
        assert cluster.query("n0", "req-000001") == "done"


def test_no_migration_while_a_task_waits_for_capacity() -> None:
    cluster = unbalanced_cluster()
    cluster.submit("n0", cluster.job(2, crew="open", parts=1, yard="south"))
    run_for(cluster, 40.0, cloud=False)
    assert cluster.nodes["n0"].scheduler.state.migrations == 0
    assert cluster.nodes["n0"].scheduler.state.jobs["req-000002"].waiting == [0]


def test_capacity_for_a_migrating_task_is_reserved_for_its_job_alone() -> None:
    """Guards against a shared reservation: the first job used it, the second stayed on its old machine."""
    cluster = unbalanced_cluster(tasks=2)
    scheduler = cluster.nodes["n0"].scheduler
    scheduler.state.policy = PACKED
    cluster.submit("n0", cluster.job(2, crew="open", bookmark_s=5.0, stash_s=1.0, guess_s=900.0))
    run_for(cluster, 4.0, cloud=False)
    scheduler.state.policy = SPREAD
    source = max(scheduler.state.machines.values(), key=lambda machine: len(machine.open))
    target = next(machine for machine in scheduler.state.machines.values() if not machine.open)
    keys = [next(k for k, p in source.open.items() if p.job.spec.id == f"req-00000{n}") for n in (1, 2)]
    moves = tuple(Relocation(key, source.index, target.index) for key in keys)
    known = {m.index: snapshot_of(m, cluster.clock.now) for m in (source, target)}
    scheduler.scheduling.spreader._carry_out(Rebalancing(moves, 1.0, 0.5), known, cluster.clock.now)
    assert list(scheduler.state.uncounted_migrations) == ["req-000001"]
    first, second = scheduler.state.jobs["req-000001"], scheduler.state.jobs["req-000002"]
    assert placement_rules.suitability(first, target, {}, cluster.clock.now) is Suitability.PREFERRED
    assert placement_rules.suitability(second, target, {}, cluster.clock.now) is Suitability.EXCLUDED


def test_no_team_limit_is_exceeded_with_load_spread() -> None:
    cluster = started_cluster(machines=6, policy=SPREAD)
    for number in range(4):
        cluster.submit("n0", cluster.job(number, parts=6))
    run_for(cluster, 10.0, cloud=False)
    assert len(running_tasks(cluster)) == LIMITS["red"]


def test_restart_counts_of_ended_jobs_are_deleted() -> None:
    cluster = unbalanced_cluster()
    decide_migration(cluster)
    run_for(cluster, 10.0, cloud=False)
    assert records.migration_counts_key("req-000001") in cluster.store.rows
    cluster.cancel("n0", "req-000001")
    run_for(cluster, 5.0, cloud=False)
    cluster.submit("n0", cluster.job(2, crew="open"))  # the counts are deleted together with another change
    run_for(cluster, 5.0, cloud=False)
    assert records.migration_counts_key("req-000001") not in cluster.store.rows


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"reclaim_at": 130.0}, id="reclaim notice"),
        pytest.param({"last_heartbeat_at": 90.0}, id="silent"),
        pytest.param({"token_acknowledged": False}, id="unresponsive"),
        pytest.param({"backoff_until": 102.0}, id="in back-off"),
        pytest.param({"relay": "n2"}, id="relayed"),
        pytest.param({"deleting": True}, id="deleting"),
    ],
)
def test_an_unavailable_idle_machine_is_no_migration_target(change: dict[str, object]) -> None:
    machine = idle_machines(1)[0]
    machine.registered, machine.last_heartbeat_at = True, 100.0
    assert snapshot_of(machine, 101.0).accepts(5.0)
    for name, value in change.items():
        setattr(machine, name, value)
    assert not snapshot_of(machine, 101.0).accepts(5.0)


def test_a_placement_hint_has_priority_over_machines_with_the_image() -> None:
    """Guards against the search for machines with the image ignoring the hint.

    The task was then placed on its old machine again.
    """
    cluster = started_cluster(machines=4, policy=PACKED)
    scheduler = cluster.nodes["n0"].scheduler
    cluster.submit("n0", cluster.job(1, crew="open", parts=1))
    cluster.nodes["n0"].watch_cache.pull(0.0)
    job = scheduler.state.jobs["req-000001"]
    image_machine, target = sorted(scheduler.state.machines)[:2]
    scheduler.state.machines[image_machine].images[job.image] = True
    scheduler.state.capacity_index.add_image(scheduler.state.machines[image_machine], job.image)
    job.migration_targets[0] = target
    scheduler.round()
    assert job.open[0].machine == target


def test_machines_with_late_heartbeats_are_no_migration_targets() -> None:
    cluster = unbalanced_cluster()
    for worker in list(cluster.workers.values()):
        worker.cannot_send = not worker.running()  # the idle machines send no heartbeats
    for _ in range(8):
        cluster.pass_time(1.0)
        for worker in cluster.workers.values():
            cluster.heartbeat(worker, "n0")
        cluster.step_controller("n0")
    assert cluster.nodes["n0"].scheduler.state.migrations == 0


def test_a_machine_of_an_unlisted_type_gets_no_work_and_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    cluster = unbalanced_cluster()
    unlisted_machine = cluster.machine()
    unlisted_machine.kind = MachineType("odd", 4.0, 0.0, 32.0, 0.2, 0.06, 20.0, 0.5, ("north",))
    with caplog.at_level("ERROR", logger="bayford.coordination.leader.load_spreader"):
        run_for(cluster, 40.0, cloud=False)
    messages = [
        r for r in caplog.records if unlisted_machine.name in r.getMessage() and "catalog" in r.getMessage()
    ]
    assert len(messages) == 1
    assert unlisted_machine.running() == []
