"""Scales the fleet: decides on launches and deletions, and processes the cloud's responses."""

import dataclasses
import logging
from collections.abc import Iterable, Sequence

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_deletions import MachineDeletions
from bayford.coordination.leader.scaling_actions import LaunchRequest, ScalingActions
from bayford.coordination.leader.scheduling_round import SchedulingRound
from bayford.coordination.leader.service_capacity import ServiceCapacity
from bayford.coordination.leader.waiting_demand import WaitingDemand, backlog_s
from bayford.protocol.cloud_api import FAILED, RUNNING, ListedMachine
from bayford.scheduling import scaling
from bayford.scheduling.scaling import Demand, LaunchPlan, MachinePool, PooledMachine, ServiceGroup

log = logging.getLogger(__name__)


class Autoscaler:
    """Controls the size of the fleet. The public methods acquire the lock of the leader's state."""

    def __init__(self, state: LeaderState, scheduling: SchedulingRound) -> None:
        """`scheduling` provides the queue that defines the order in which jobs are served."""
        self._state = state
        self._waiting_demand = WaitingDemand(state, scheduling.queue)
        self._services = ServiceCapacity(state)
        self._deletions = MachineDeletions(state)

    # -- decisions -------------------------------------------------------------------------------------

    def scaling_step(self, listening_since: float) -> ScalingActions:
        """Returns the machines to launch and to delete now.

        `listening_since`: time of the steady clock before which this process was stalled or rejected
        heartbeats. Silence of a machine before that time is not counted.
        """
        actions = ScalingActions()
        with self._state.lock:
            if not self._state.leader or not self._state.complete or not self._state.types:
                return actions
            now = self._state.clock()
            present = self._present_machines()
            demands = self._waiting_demand.estimate(now, present)
            groups = self._services.group_services(now)
            self._state.service_machines = self._services.kept_machines(groups, present)
            actions.deletions += self._deletions.decide(now, bool(demands), listening_since)
            # `decide` has marked further machines for deletion.
            remaining_machines = [entry for entry in present if not entry.machine.deleting]
            if self._list_is_complete():
                actions.launches += self._plan_launches(now, demands, groups, remaining_machines)
        return actions

    def overdue_machines(self) -> set[str]:
        """Returns the machines to delete even while no controller can verify that it is the leader.

        See `MachineDeletions.overdue`.
        """
        with self._state.lock:
            return {machine.name for machine in self._deletions.overdue()}

    def request_overdue_deletions(self) -> ScalingActions:
        """Returns the deletions of overdue machines that have not been requested yet."""
        with self._state.lock:
            return ScalingActions(deletions=self._deletions.delete_overdue())

    def _present_machines(self) -> list[PooledMachine]:
        """Returns the machines of known type and zone that are neither being deleted nor quarantined."""
        present = []
        pools: dict[tuple[int, int, bool], MachinePool] = {}  # one shared object per pool
        for machine in self._state.machines.values():
            if machine.type is None or machine.zone is None or machine.quarantined or machine.deleting:
                continue
            key = (machine.type, machine.zone, machine.spot)
            pool = pools.get(key)
            if pool is None:
                pool = pools[key] = MachinePool(*key)
            present.append(PooledMachine(pool, machine))
        return present

    def _list_is_complete(self) -> bool:
        """Returns whether the cloud's list includes all machines that the previous leader launched.

        The list lags behind launches. Launching before it is complete could duplicate the previous leader's
        most recent launches.
        """
        state = self._state
        lag_s = state.settings.facts.cloud.list_lag_s if state.recovered_predecessor else 0.0
        return state.listed_at >= state.leader_since + lag_s

    def _plan_launches(
        self, now: float, demands: list[Demand], groups: list[ServiceGroup], machines: list[PooledMachine]
    ) -> list[LaunchRequest]:
        state = self._state
        booting = dict(state.launching)
        remaining = dict(state.launching)  # excludes machines about to be reclaimed
        for pool, machine in machines:
            if not machine.registered:
                booting[pool] = booting.get(pool, 0) + 1
            if machine.reclaim_at is None:
                remaining[pool] = remaining.get(pool, 0) + 1
        waiting_s = backlog_s(demands, state, machines)
        refused = frozenset(pool for pool, until in state.refused.items() if until > now)
        service_waits = any(demand.is_service for demand in demands)
        plans = scaling.plan_service_launches(groups, state.types, remaining, refused, service_waits)
        for plan in plans:
            booting[plan.pool] = booting.get(plan.pool, 0) + plan.count
        plans += scaling.plan_launches(
            demands,
            state.types,
            booting,
            refused,
            backlog_s=waiting_s,
            ordinary_after_s=state.policy.ordinary_after_s,
            patience_s=state.policy.patience_s,
        )
        return [
            self._create_request(plan, waiting_s)
            for plan in self._limit_launches_into_returning_zones(plans, machines)
        ]

    def _create_request(self, plan: LaunchPlan, waiting_s: float) -> LaunchRequest:
        """Counts the plan's machines as being launched and returns the launch request for them."""
        pool = plan.pool
        self._add_launching(pool, plan.count)
        type_name, zone = self._state.type_names[pool.type], self._state.zones[pool.zone]
        log.info(
            "scaling out: machines=%d type=%s zone=%s spot=%s backlog_s=%.0f reason=%s",
            plan.count,
            type_name,
            zone,
            pool.spot,
            waiting_s,
            plan.reason,
        )
        return LaunchRequest(type_name, zone, pool.spot, plan.count, plan.reason)

    def _limit_launches_into_returning_zones(
        self, plans: list[LaunchPlan], machines: Sequence[PooledMachine]
    ) -> list[LaunchPlan]:
        """Limits launches into a returning zone until one of its machines is verified.

        Until then at most `recovery_least` machines are present or being launched there, to test the zone.
        """
        state = self._state
        verified_zones = {pool.zone for pool, machine in machines if machine.index in state.verified_machines}
        limited_plans = []
        for plan in plans:
            zone = plan.pool.zone
            if zone in state.returning_zones and zone not in verified_zones:
                launching = sum(count for pool, count in state.launching.items() if pool.zone == zone)
                present = sum(pool.zone == zone for pool, _ in machines)
                count = min(plan.count, state.policy.recovery_least - launching - present)
                if count <= 0:
                    continue
                limited_plans.append(dataclasses.replace(plan, count=count))
            else:
                limited_plans.append(plan)
        return limited_plans

    # -- responses of the cloud ------------------------------------------------------------------------

    def on_list(self, listed: Iterable[ListedMachine], began: float) -> None:
        """Processes the cloud's list of machines, requested at `began`.

        The list lags: a machine that is missing from it may already be running.
        """
        with self._state.lock:
            if not self._state.leader:
                return
            now = self._state.clock()
            self._state.listed_at = began
            names = set()
            for entry in listed:
                names.add(entry.name)
                if entry.name not in self._state.deleted_machines:
                    self._reconcile_listed(entry, began, now)
            for machine in self._state.machines.values():
                if machine.listed and machine.name not in names:
                    machine.missing_from_lists += 1

    def _reconcile_listed(self, entry: ListedMachine, began: float, now: float) -> None:
        is_new = self._state.machine_names.find(entry.name) not in self._state.machines
        machine = self._state.get_or_add_machine(entry.name, now)
        if is_new:
            log.info("machine found in the cloud's list: machine=%s phase=%s", entry.name, entry.phase)
        machine.launched_at = min(machine.launched_at, began - entry.age_s)
        machine.listed = True
        machine.missing_from_lists = 0
        if machine.zone is None:
            machine.zone = self._state.zones.index(entry.zone)
            machine.spot = entry.spot
        if machine.type is None:
            self._state.set_machine_type(machine, entry.type)
        if entry.phase == RUNNING:
            machine.listed_running = True
        elif entry.phase == FAILED:
            machine.quarantined = machine.lost = True

    def on_launched(self, request: LaunchRequest, names: list[str], began: float) -> None:
        """Processes the response to a launch request.

        `names`: the launched machines, fewer than requested if the cloud lacks capacity, none if it refused.
        `began`: time of the first attempt to send the request.
        """
        with self._state.lock:
            pool = self._pool(request)
            self._add_launching(pool, -request.count)
            now = self._state.clock()
            if len(names) < request.count:
                self._state.refused[pool] = now + self._state.policy.refused_s
                log.info(
                    "cloud lacks capacity: launched=%d requested=%d type=%s zone=%s spot=%s",
                    len(names),
                    request.count,
                    request.type,
                    request.zone,
                    request.spot,
                )
            if not self._state.leader:
                return
            for name in names:
                if name in self._state.deleted_machines:
                    continue
                machine = self._state.get_or_add_machine(name, now)
                machine.launched_at = min(machine.launched_at, began)
                machine.zone = pool.zone
                machine.spot = pool.spot
                self._state.set_machine_type(machine, request.type)

    def on_launch_failed(self, request: LaunchRequest) -> None:
        """Handles a launch request that was not sent. The pool is not marked as refused by the cloud."""
        with self._state.lock:
            self._add_launching(self._pool(request), -request.count)

    def _pool(self, request: LaunchRequest) -> MachinePool:
        state = self._state
        return MachinePool(
            state.type_names.index(request.type), state.zones.index(request.zone), request.spot
        )

    def _add_launching(self, pool: MachinePool, count: int) -> None:
        """Adds `count`, which may be negative, to the number of machines being launched in the pool."""
        launching = self._state.launching
        launching[pool] = max(0, launching.get(pool, 0) + count)
        if not launching[pool]:
            del launching[pool]

    def on_deletion_confirmed(self, names: Iterable[str]) -> None:
        """Handles a confirmed deletion (status 200): the machines and all tasks on them no longer exist."""
        with self._state.lock:
            now = self._state.clock()
            for name in names:
                index = self._state.machine_names.find(name)
                machine = self._state.machines.pop(index, None) if index is not None else None
                self._state.deleted_machines.add(name)
                if machine is None:
                    continue
                for placement in list(machine.open.values()):
                    self._state.close(machine, placement, now)
                    placement.job.requeue(placement.task)
                self._state.reported_phases.pop(machine.index, None)
                self._state.capacity_index.remove(machine)
                self._state.events.on_machine_deleted(machine.index)
                self._state.reclaim_pending.pop(machine.index, None)

    def on_deletion_unconfirmed(self, names: Iterable[str]) -> None:
        """Handles a deletion that was not confirmed: the next steps decide again.

        The machine may or may not exist.
        """
        with self._state.lock:
            for name in names:
                index = self._state.machine_names.find(name)
                machine = self._state.machines.get(index) if index is not None else None
                if machine is not None:
                    machine.deleting = False
