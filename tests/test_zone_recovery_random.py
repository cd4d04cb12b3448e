"""Loss and return of zones under random faults; the invariants are checked after each step."""

import random

from fakes.scenarios import run_for, running_tasks
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from zone_helpers import (
    cut_zone_off,
    reconnect_zones,
    recovery_cluster,
)

from bayford.protocol.workers import Heartbeat


class ZonesUnderFaults(RuleBasedStateMachine):
    """Random partitions, reconnections, late heartbeats, cancellations and failovers."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.cluster = recovery_cluster(machines=6, seed=seed)
        self.copied_heartbeats: list[Heartbeat] = []
        self.number = 0
        self.rng = random.Random(seed)

    @rule(
        parts=st.integers(1, 8),
        lane=st.sampled_from(["hot", "sweep", "trickle"]),
        yard=st.sampled_from([None, "south"]),
    )
    def submit(self, parts: int, lane: str, yard: str | None) -> None:
        self.number += 1
        job = self.cluster.job(self.number, crew="open", parts=parts, lane=lane, yard=yard, guess_s=900.0)
        self.cluster.submit(self.rng.choice(sorted(self.cluster.nodes)), job)

    @rule(zone=st.sampled_from(["south", "north"]))
    def cut_off_zone(self, zone: str) -> None:
        cut_zone_off(self.cluster, zone)

    @rule()
    def heal_partitions(self) -> None:
        reconnect_zones(self.cluster)

    @rule()
    def copy_heartbeats(self) -> None:
        self.copied_heartbeats += [worker.heartbeat() for worker in self.cluster.workers.values()]

    @precondition(lambda self: self.copied_heartbeats)
    @rule()
    def replay_copied_heartbeats(self) -> None:
        for heartbeat in self.copied_heartbeats[-6:]:
            self.cluster.replay(heartbeat, self.rng.choice(sorted(self.cluster.nodes)))

    @precondition(lambda self: self.cluster.accepted)
    @rule()
    def cancel(self) -> None:
        self.cluster.cancel("n0", self.rng.choice(sorted(self.cluster.accepted)))

    @rule()
    def finish_some_tasks(self) -> None:
        for task_id in running_tasks(self.cluster)[::3]:
            self.cluster.finish(task_id)

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule()
    def end_leader(self) -> None:
        self.cluster.boot(self.cluster.require_leader())

    @rule(seconds=st.sampled_from([1.0, 4.0, 14.0]))
    def wait(self, seconds: float) -> None:
        run_for(self.cluster, seconds)

    @invariant()
    def invariants_hold(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self.cluster.check()
        assert len(running_tasks(self.cluster)) == len(set(running_tasks(self.cluster)))
        leader = self.cluster.leader()
        if leader is None:
            return
        scheduler = self.cluster.nodes[leader].scheduler
        for losses in scheduler.zone_monitor.losses.values():
            for outcomes in losses:
                outcome_sets = [
                    outcomes.open,
                    outcomes.finished,
                    set(outcomes.rerun),
                    outcomes.cancelled,
                    outcomes.ended_unseen,
                ]
                assert sum(len(keys) for keys in outcome_sets) == len(set().union(*outcome_sets))

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            reconnect_zones(self.cluster)
            run_for(self.cluster, 90.0)
            for job_id in sorted(self.cluster.accepted):
                assert self.cluster.query("n0", job_id) is not None, "an accepted job must stay known"


TestZonesUnderFaults = ZonesUnderFaults.TestCase
TestZonesUnderFaults.settings = settings(
    max_examples=12, stateful_step_count=16, deadline=None, derandomize=True, database=None
)
