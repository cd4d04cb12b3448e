"""The leader's watch over its zones: states, what is closed meanwhile, and the record of each loss.

The transitions are those of `recovery.zone_health`. All of it is called under the lock of the leader's state.
"""

import logging
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.leader_state import LeaderState
from bayford.recovery import zone_record
from bayford.recovery.task_outcomes import TaskKey, TaskOutcomes
from bayford.recovery.zone_health import (
    HealthTimes,
    LeadershipFacts,
    ZoneFacts,
    ZoneState,
    ZoneStatus,
    advance,
    find_unknown_reason,
)
from bayford.scheduling.model import Placement
from bayford.storage.key_value_store import Put

log = logging.getLogger(__name__)

MISSED_HEARTBEATS = 2.5  # a machine that missed so many heartbeats is silent
HEARTBEATS_TO_VERIFY = 2  # a machine of a zone that returns gets work after so many heartbeats
WRITE_PERIOD_S = 2.0  # from one write of task outcomes to the next, at the least

NO_MACHINES = ZoneFacts(machines=0, alive=0, answering=0)


class _HeartbeatCount(NamedTuple):
    """Heartbeats of one machine since its zone began to return."""

    received: int = 0
    last: tuple[int, int] = (-1, -1)  # the machine's epoch, and the sequence number in it


class ZoneMonitor(LeaderListener):
    """States of all zones, in this leader's term. Zones are known by their index in `LeaderState.zones`."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        facts, policy = state.settings.facts, state.policy
        self.times = HealthTimes(
            lease_s=facts.workers.lease_s,
            heartbeat_interval_s=facts.workers.heartbeat_interval_s,
            min_machines=policy.recovery_least,
            settle_leases=policy.recovery_settle_leases,
            flap_memory_s=policy.recovery_flap_memory_s,
        )
        self._controllers: Mapping[str, str] = {}
        self._begin_term()
        state.events.subscribe(self)

    def _begin_term(self) -> None:
        self.statuses: dict[int, ZoneStatus] = {}
        self.losses: dict[int, list[TaskOutcomes]] = {}  # by zone, the newest last
        self._unwritten: set[int] = set()  # zones whose records have changed
        self._written_at = 0.0
        self._heartbeats: dict[int, _HeartbeatCount] = {}  # by machine

    def on_leadership_acquired(self) -> None:
        """This controller has become leader: go on from the records of the leader before."""
        self._begin_term()
        state = self._state
        if not state.policy.recovery:
            return
        for name, value in state.zone_records.items():
            zone = state.zones.find(name)
            try:
                record = zone_record.decode(value)
                status = self._status_of(record)
            except (zone_record.UnreadableRecordError, ValueError) as error:
                log.error("zone record unreadable, taken for absent: zone=%s error=%s", name, error)
                continue
            if zone is not None:
                self.statuses[zone] = status
                self.losses[zone] = [TaskOutcomes.of(loss) for loss in record.losses]
                self._note_missed_outcomes(zone)
        self._publish()

    def _status_of(self, record: zone_record.ZoneRecord) -> ZoneStatus:
        """The stored status, on this process's clock. ValueError: the stored state is unknown."""
        state = self._state
        offset_s = state.clock() - state.wall()  # from the time of day to this clock
        loss = record.losses[-1] if record.losses else None
        return ZoneStatus(
            state=ZoneState(record.state),
            since=record.since + offset_s,
            suspected=0.0 if loss is None else loss.suspected + offset_s,
            lost=0.0 if loss is None else loss.lost + offset_s,
            flaps=record.flaps,
        )

    # -- states of zones -------------------------------------------------------------------------------

    def update(self, leader: LeadershipFacts, controllers: Mapping[str, str] = MappingProxyType({})) -> None:
        """Advance the state of each zone by what is seen of it now.

        `controllers`: for the log, by zone: in words, which controllers are in reach there.
        """
        state = self._state
        self._controllers = controllers
        if not state.policy.recovery or not state.leader or not state.complete:
            return
        now = state.clock()
        facts_by_zone = self._zone_facts(now)
        for zone in range(len(state.zones)):
            before = self.statuses.get(zone, ZoneStatus(since=now))
            unknown_reason = find_unknown_reason(leader, facts_by_zone, zone, self.times)
            after = advance(before, facts_by_zone.get(zone, NO_MACHINES), unknown_reason, now, self.times)
            self.statuses[zone] = after
            if after.state is not before.state:
                self._on_transition(zone, before, after)
            elif (
                after.state is not ZoneState.UP
                and after.unknown_reason
                and after.unknown_reason != before.unknown_reason
            ):
                log.info(
                    "zone state unknown: zone=%s kept_state=%s reason=%s",
                    state.zones[zone],
                    after.state,
                    after.unknown_reason,
                )
        self._note_cancelled()
        self._publish()

    def _zone_facts(self, now: float) -> dict[int, ZoneFacts]:
        """What is seen now of each zone that has machines."""
        silent_after_s = MISSED_HEARTBEATS * self.times.heartbeat_interval_s
        facts_by_zone: dict[int, ZoneFacts] = {}
        for machine in self._state.machines.values():
            # A new leader has had no heartbeat from machines of a zone that was lost before its term: it
            # knows them by the tasks that the task log has there.
            if machine.zone is None or not (machine.registered or machine.open):
                continue
            since = self.statuses[machine.zone].since if machine.zone in self.statuses else 0.0
            alive = now - machine.last_heartbeat_at <= silent_after_s
            answering = alive and machine.token_acknowledged and machine.last_answered_at >= since
            facts = facts_by_zone.get(machine.zone, NO_MACHINES)
            facts_by_zone[machine.zone] = ZoneFacts(
                facts.machines + 1, facts.alive + alive, facts.answering + answering
            )
        return facts_by_zone

    def _on_transition(self, zone: int, before: ZoneStatus, after: ZoneStatus) -> None:
        state = self._state
        name = state.zones[zone]
        wall = state.wall()
        losses = self.losses.setdefault(zone, [])
        if after.state is ZoneState.LOST:
            outcomes = TaskOutcomes(
                suspected=wall - (after.since - after.suspected), lost=wall, open=self._tasks_in(zone)
            )
            losses.append(outcomes)
            log.error("zone lost: zone=%s tasks=%d", name, len(outcomes.open))
        else:
            if before.state is ZoneState.LOST and losses:
                losses[-1].returned = wall
                self._forget_unused_images(zone)
            log.info(
                "zone state changed: zone=%s from=%s to=%s flaps=%d controllers=%s",
                name,
                before.state,
                after.state,
                after.flaps,
                self._controllers.get(name, "none"),
            )
        if after.state is ZoneState.RETURNING:
            self._heartbeats = {
                machine: heartbeats
                for machine, heartbeats in self._heartbeats.items()
                if state.zone_of(machine) != zone
            }
        self._unwritten.add(zone)
        self._written_at = 0.0  # written at once

    def _tasks_in(self, zone: int) -> set[TaskKey]:
        """The tasks with an open placement on a machine of the zone."""
        return {
            (placement.job.spec.id, placement.task)
            for machine in self._state.machines.values()
            if machine.zone == zone
            for placement in machine.open.values()
        }

    def _forget_unused_images(self, zone: int) -> None:
        """Machines that return may have lost their images, but for those of tasks that are still there."""
        state = self._state
        for machine in state.machines.values():
            if machine.zone != zone:
                continue
            used = {placement.job.image for placement in machine.open.values()}
            for image in [image for image in machine.images if image not in used]:
                del machine.images[image]
                state.capacity_index.dropped(machine, image)

    def _publish(self) -> None:
        """Hand the scheduling rounds what they go by."""
        state = self._state
        state.closed_zones = frozenset(zone for zone, status in self.statuses.items() if status.state.closed)
        state.returning_zones = frozenset(
            zone for zone, status in self.statuses.items() if status.state is ZoneState.RETURNING
        )
        state.verified_machines = self._verified_machines() if state.returning_zones else frozenset()

    def _verified_machines(self) -> frozenset[int]:
        """Machines of returning zones that have sent two heartbeats since: a single one may have been delayed
        by the cut, and its machine be gone."""
        verified = set()
        for index, machine in self._state.machines.items():
            if machine.zone not in self._state.returning_zones or not machine.registered:
                continue
            latest = (machine.epoch, machine.sequence)
            heartbeats = self._heartbeats.get(index, _HeartbeatCount())
            since = self.statuses[machine.zone].since
            if latest != heartbeats.last and machine.last_heartbeat_at >= since:
                heartbeats = _HeartbeatCount(heartbeats.received + 1, latest)
                self._heartbeats[index] = heartbeats
            if heartbeats.received >= HEARTBEATS_TO_VERIFY:
                verified.add(index)
        return frozenset(verified)

    # -- outcomes of tasks -----------------------------------------------------------------------------

    def on_task_done(self, placement: Placement) -> None:
        """See `LeaderListener`."""
        key = (placement.job.spec.id, placement.task)
        for zone, losses in self.losses.items():
            if any(outcomes.note_done(key) for outcomes in losses):
                self._unwritten.add(zone)

    def on_task_placed(self, placement: Placement) -> None:
        """See `LeaderListener`."""
        key = (placement.job.spec.id, placement.task)
        machine = self._state.machine_names[placement.machine]
        for zone, losses in self.losses.items():
            if any(outcomes.note_placed(key, machine) for outcomes in losses):
                self._unwritten.add(zone)

    def _note_missed_outcomes(self, zone: int) -> None:
        """Note outcomes between the last record of the leader before and the beginning of this term."""
        state = self._state
        for outcomes in self.losses[zone]:
            for key in list(outcomes.open):
                job_id, task = key
                job = state.jobs.get(job_id)
                if job is None or task in job.done:
                    outcomes.note_ended_unseen(key)
                elif task in job.open and state.zone_of(job.open[task].machine) not in (None, zone):
                    outcomes.note_placed(key, state.machine_names[job.open[task].machine])
                else:
                    continue
                self._unwritten.add(zone)

    def _note_cancelled(self) -> None:
        for zone, losses in self.losses.items():
            for outcomes in losses:
                for key in [key for key in outcomes.open if self._is_cancelled(key)]:
                    outcomes.note_cancelled(key)
                    self._unwritten.add(zone)

    def _is_cancelled(self, key: TaskKey) -> bool:
        """Whether the task is wanted no more and nothing of it is on a machine.

        A job that the state does not hold is over. Had it not been cancelled, the end of this task would have
        been noted.
        """
        job_id, task = key
        job = self._state.jobs.get(job_id)
        return job is None or (job.cancelled and task not in job.open)

    # -- records ---------------------------------------------------------------------------------------

    def puts(self) -> list[Put]:
        """The records to write now. The caller writes them under the leader's term."""
        state = self._state
        now = state.clock()
        if not self._unwritten or now - self._written_at < WRITE_PERIOD_S:
            return []
        self._written_at = now
        puts = [
            Put(zone_record.key(state.zones[zone]), self._encoded(zone)) for zone in sorted(self._unwritten)
        ]
        self._unwritten.clear()
        return puts

    def not_written(self, puts: list[Put]) -> None:
        """The write of these records failed, or its outcome is unknown: they are written again."""
        for put in puts:
            zone = self._state.zones.find(put.key[len(zone_record.key("")) :])
            if zone is not None:
                self._unwritten.add(zone)

    def _encoded(self, zone: int) -> object:
        """The stored form of a zone's record; losses beyond the bound are dropped."""
        state = self._state
        status = self.statuses[zone]
        losses = self.losses.setdefault(zone, [])
        del losses[: -zone_record.MAX_LOSSES]
        offset_s = state.wall() - state.clock()  # from this clock to the time of day
        record = zone_record.ZoneRecord(
            zone=state.zones[zone],
            state=status.state.value,
            since=status.since + offset_s,
            flaps=status.flaps,
            losses=[outcomes.record() for outcomes in losses],
        )
        return zone_record.encode(record, state.limits.value_bytes)
