"""Tracks the state of each zone for the leader, closes zones that are not up, and records each loss.

The state transitions are defined in `recovery.zone_health`. The lock of the leader's state must be held for
all calls.
"""

import logging
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bayford.clock import NEVER
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
from bayford.scheduling.model import Machine, Placement
from bayford.storage.key_value_store import Put

log = logging.getLogger(__name__)

MISSED_HEARTBEATS = 2.5  # heartbeat intervals without a heartbeat after which a machine is silent
HEARTBEATS_TO_VERIFY = 2  # heartbeats from a machine of a returning zone before it gets work
WRITE_PERIOD_S = 2.0  # minimum time between two writes of task outcomes

NO_MACHINES = ZoneFacts(machines=0, alive=0, answering=0)


class _HeartbeatCount(NamedTuple):
    """Heartbeats of one machine since its zone became returning."""

    received: int = 0
    last: tuple[int, int] = (-1, -1)  # the machine's epoch and its sequence number in that epoch


class ZoneMonitor(LeaderListener):
    """States of all zones during this leader's term.

    Zones are identified by their index in `LeaderState.zones`.
    """

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
        self._start_term()
        state.events.subscribe(self)

    def _start_term(self) -> None:
        self.statuses: dict[int, ZoneStatus] = {}
        self.losses: dict[int, list[TaskOutcomes]] = {}  # by zone, newest last
        self._unwritten: set[int] = set()  # zones whose records have changed since the last write
        self._last_write_at = 0.0
        self._reported_unknown: dict[int, str] = {}  # by zone: the reason that was last logged
        self._heartbeat_counts: dict[int, _HeartbeatCount] = {}  # by machine

    def on_leadership_acquired(self) -> None:
        """Restores the states and losses from the records that the previous leader stored."""
        self._start_term()
        state = self._state
        if not state.policy.recovery:
            return
        for name, value in state.zone_records.items():
            zone = state.zones.find(name)
            try:
                record = zone_record.decode(value)
                status = self._decode_status(record)
            except (zone_record.UnreadableRecordError, ValueError) as error:
                log.error("zone record unreadable, treated as absent: zone=%s error=%s", name, error)
                continue
            if record.since > state.wall():
                # The clock of the last leader was ahead, or somebody wrote the record.
                log.error("zone record from the future, its times count as now: zone=%s", name)
            if zone is not None:
                self.statuses[zone] = status
                self.losses[zone] = [TaskOutcomes.from_stored(loss) for loss in record.losses]
                self._record_missed_outcomes(zone)
        self._update_scheduling_state()

    def _decode_status(self, record: zone_record.ZoneRecord) -> ZoneStatus:
        """Returns the stored status with times converted to this process's clock, none of them in the future.
        A lost zone without machines returns some time after `since`.

        Raises ValueError if the stored state is unknown.
        """
        state = self._state
        now = state.clock()
        offset_s = now - state.wall()  # converts times of day to times of this clock
        zone_state = ZoneState(record.state)
        since = min(now, record.since + offset_s)
        # Only losses store the time of suspicion. A suspect zone has not been lost since, and a zone with a
        # record but without losses has been suspect at some time.
        if zone_state is ZoneState.SUSPECT or not record.losses:
            suspected = since
        else:
            suspected = min(now, record.losses[-1].suspected + offset_s)
        lost = record.losses[-1].lost + offset_s if record.losses else NEVER
        return ZoneStatus(zone_state, since, suspected, lost, record.flaps)

    # -- states of zones -------------------------------------------------------------------------------

    def update(self, leader: LeadershipFacts, controllers: Mapping[str, str] = MappingProxyType({})) -> None:
        """Advances the state of each zone according to the present state of its machines.

        `controllers`: for the log, by zone name: text that states how many controllers of the zone are
        reachable.
        """
        state = self._state
        self._controllers = controllers
        if not state.policy.recovery or not state.leader or not state.complete:
            return
        now = state.clock()
        facts_by_zone = self._count_machines(now)
        for zone in range(len(state.zones)):
            before = self.statuses.get(zone, ZoneStatus(since=now))
            facts = facts_by_zone.get(zone, NO_MACHINES)
            unknown_reason = find_unknown_reason(leader, facts_by_zone, zone, self.times)
            after = advance(before, facts, unknown_reason, now, self.times)
            self.statuses[zone] = after
            if after.state is not before.state:
                self._on_transition(zone, before, after)
            else:
                self._log_unknown(zone, after, facts, now)
        self._record_cancelled()
        self._update_scheduling_state()

    def _log_unknown(self, zone: int, status: ZoneStatus, facts: ZoneFacts, now: float) -> None:
        """Logs when a zone that may be lost can't be judged, with each reason once, and when it can again.

        Of a zone that is up this is logged after a lease: each leader begins without any heartbeats.
        """
        reported = self._reported_unknown.get(zone, "")
        unknown_s = now - status.unknown_since
        if not status.unknown_reason:
            if self._reported_unknown.pop(zone, None):
                log.info("zone state known again: zone=%s state=%s", self._state.zones[zone], status.state)
            return
        is_up = status.state is ZoneState.UP
        if status.unknown_reason == reported or (
            is_up and (unknown_s < self.times.lease_s or not self.times.is_silent(facts))
        ):
            return
        self._reported_unknown[zone] = status.unknown_reason
        log.info(
            "zone state unknown: zone=%s kept_state=%s machines=%d alive=%d unknown_for_s=%.0f reason=%s",
            self._state.zones[zone],
            status.state,
            facts.machines,
            facts.alive,
            unknown_s,
            status.unknown_reason,
        )

    def _count_machines(self, now: float) -> dict[int, ZoneFacts]:
        """Returns the present machine counts of each zone that has machines."""
        facts_by_zone: dict[int, ZoneFacts] = {}
        for machine in self._state.machines.values():
            # A new leader has received no heartbeat from machines of a zone that fell silent before its term.
            # They count if the task log has open tasks on them or the cloud's list shows them as running.
            is_known_to_run = machine.registered or machine.open or machine.listed_running
            if machine.zone is None or not is_known_to_run:
                continue
            since = self.statuses[machine.zone].since if machine.zone in self.statuses else 0.0
            # Until the first heartbeat, `last_heartbeat_at` is when this leader learned of the machine.
            alive = machine.registered and now - machine.last_heartbeat_at <= self._silent_after_s(machine)
            answering = alive and machine.token_acknowledged and machine.last_answered_at >= since
            facts = facts_by_zone.get(machine.zone, NO_MACHINES)
            facts_by_zone[machine.zone] = ZoneFacts(
                facts.machines + 1, facts.alive + alive, facts.answering + answering
            )
        return facts_by_zone

    def _silent_after_s(self, machine: Machine) -> float:
        """Returns the seconds without a heartbeat after which the machine is silent.

        A relay passes heartbeats on together, at the latest within a lease, so that all machines that it
        answers would seem to fall silent at once.
        """
        if machine.relay:
            return self.times.lease_s
        return MISSED_HEARTBEATS * self.times.heartbeat_interval_s

    def _on_transition(self, zone: int, before: ZoneStatus, after: ZoneStatus) -> None:
        state = self._state
        name = state.zones[zone]
        wall = state.wall()
        losses = self.losses.setdefault(zone, [])
        if after.state is ZoneState.LOST:
            outcomes = TaskOutcomes(
                suspected=wall - (after.since - after.suspected),
                lost=wall,
                next_attempt=state.next_attempt,
                open=self._find_open_tasks(zone),
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
            self._heartbeat_counts = {
                machine: heartbeats
                for machine, heartbeats in self._heartbeat_counts.items()
                if state.zone_of(machine) != zone
            }
        self._unwritten.add(zone)
        self._last_write_at = 0.0  # the next `take_due_records` writes at once

    def _find_open_tasks(self, zone: int) -> set[TaskKey]:
        """Returns the tasks with an open placement on a machine of the zone."""
        return {
            (placement.job.spec.id, placement.task)
            for machine in self._state.machines.values()
            if machine.zone == zone
            for placement in machine.open.values()
        }

    def _forget_unused_images(self, zone: int) -> None:
        """Removes the images of the zone's machines from the state, except images of open placements.

        The machines may have lost the other images during the outage.
        """
        state = self._state
        for machine in state.machines.values():
            if machine.zone != zone:
                continue
            used = {placement.job.image for placement in machine.open.values()}
            for image in [image for image in machine.images if image not in used]:
                del machine.images[image]
                state.capacity_index.remove_image(machine, image)

    def _update_scheduling_state(self) -> None:
        """Stores in the state the zones and machines that the scheduling rounds depend on."""
        state = self._state
        state.closed_zones = frozenset(
            zone for zone, status in self.statuses.items() if status.state.is_closed
        )
        state.returning_zones = frozenset(
            zone for zone, status in self.statuses.items() if status.state is ZoneState.RETURNING
        )
        state.verified_machines = self._find_verified_machines() if state.returning_zones else frozenset()

    def _find_verified_machines(self) -> frozenset[int]:
        """Returns the machines of returning zones that sent two heartbeats since the zone's last transition.

        A single heartbeat may have been delayed by the network partition, and its machine may not exist now.
        """
        verified = set()
        for index, machine in self._state.machines.items():
            if machine.zone not in self._state.returning_zones or not machine.registered:
                continue
            latest = machine.last_order
            heartbeats = self._heartbeat_counts.get(index, _HeartbeatCount())
            since = self.statuses[machine.zone].since
            if latest != heartbeats.last and machine.last_heartbeat_at >= since:
                heartbeats = _HeartbeatCount(heartbeats.received + 1, latest)
                self._heartbeat_counts[index] = heartbeats
            if heartbeats.received >= HEARTBEATS_TO_VERIFY:
                verified.add(index)
        return frozenset(verified)

    # -- outcomes of tasks -----------------------------------------------------------------------------

    def on_task_done(self, placement: Placement) -> None:
        """See `LeaderListener`."""
        key = (placement.job.spec.id, placement.task)
        for zone, losses in self.losses.items():
            if any(outcomes.record_finished(key) for outcomes in losses):
                self._unwritten.add(zone)

    def on_task_placed(self, placement: Placement) -> None:
        """See `LeaderListener`."""
        key = (placement.job.spec.id, placement.task)
        machine = self._state.machine_names[placement.machine]
        for zone, losses in self.losses.items():
            if any(outcomes.record_rerun(key, machine) for outcomes in losses):
                self._unwritten.add(zone)

    def _record_missed_outcomes(self, zone: int) -> None:
        """Records outcomes that occurred between the previous leader's last write and this term's start."""
        state = self._state
        for outcomes in self.losses[zone]:
            for key in list(outcomes.open):
                job_id, task = key
                job = state.jobs.get(job_id)
                if job is None or task in job.done:
                    outcomes.record_ended_unseen(key)
                elif task in job.open and self._is_rerun(job.open[task], outcomes, zone):
                    outcomes.record_rerun(key, state.machine_names[job.open[task].machine])
                else:
                    continue
                self._unwritten.add(zone)

    def _is_rerun(self, placement: Placement, outcomes: TaskOutcomes, zone: int) -> bool:
        """Returns whether an open placement was made after the loss.

        It may be in the same zone, and a machine that has sent this leader no heartbeat has no known zone.
        """
        if 0 < outcomes.next_attempt <= placement.attempt:
            return True
        return self._state.zone_of(placement.machine) not in (None, zone)

    def _record_cancelled(self) -> None:
        for zone, losses in self.losses.items():
            for outcomes in losses:
                for key in [key for key in outcomes.open if self._is_cancelled(key)]:
                    outcomes.record_cancelled(key)
                    self._unwritten.add(zone)

    def _is_cancelled(self, key: TaskKey) -> bool:
        """Returns whether the task was cancelled and has no open placement.

        A job that is missing from the state has ended. If it had not been cancelled, the end of this task
        would have been recorded.
        """
        job_id, task = key
        job = self._state.jobs.get(job_id)
        return job is None or (job.cancelled and task not in job.open)

    # -- records ---------------------------------------------------------------------------------------

    def take_due_records(self) -> list[Put]:
        """Returns the records to write now. The caller writes them on condition of the leader's term."""
        state = self._state
        now = state.clock()
        if not self._unwritten or now - self._last_write_at < WRITE_PERIOD_S:
            return []
        self._last_write_at = now
        puts = [
            Put(zone_record.key(state.zones[zone]), self._encode_record(zone))
            for zone in sorted(self._unwritten)
        ]
        self._unwritten.clear()
        return puts

    def mark_unwritten(self, puts: list[Put]) -> None:
        """Marks these records to be written again, after a write that failed or whose outcome is unknown."""
        for put in puts:
            zone = self._state.zones.find(put.key[len(zone_record.key("")) :])
            if zone is not None:
                self._unwritten.add(zone)

    def _encode_record(self, zone: int) -> object:
        """Returns the stored form of a zone's record; drops the oldest losses beyond `MAX_LOSSES`."""
        state = self._state
        status = self.statuses[zone]
        losses = self.losses.setdefault(zone, [])
        del losses[: -zone_record.MAX_LOSSES]
        offset_s = state.wall() - state.clock()  # converts times of this clock to times of day
        record = zone_record.ZoneRecord(
            zone=state.zones[zone],
            state=status.state.value,
            since=status.since + offset_s,
            flaps=status.flaps,
            losses=[outcomes.to_stored() for outcomes in losses],
        )
        return zone_record.encode(record, state.limits.value_bytes)
