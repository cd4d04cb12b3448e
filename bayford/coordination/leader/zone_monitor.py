"""The leader's watch over its zones: states, what is closed meanwhile, and the record of each loss.

The transitions are those of `recovery.zone_health`. Called under the lock of the leader's state.
"""

import logging
from collections.abc import Mapping
from types import MappingProxyType

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
    blindness,
)
from bayford.scheduling.model import Placement
from bayford.storage.key_value_store import Put

log = logging.getLogger("bayford.recovery")

MISSED_HEARTBEATS = 2.5  # a machine that missed so many reports is silent
HEARTBEATS_TO_VERIFY = 2  # a machine of a zone that returns gets work after so many reports
WRITE_PERIOD_S = 2.0  # how often what becomes of tasks is written, at the most


class ZoneMonitor(LeaderListener):
    """States of all zones, in this leader's term."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        facts, policy = state.settings.facts, state.policy
        self.times = HealthTimes(
            facts.workers.lease_s,
            facts.workers.heartbeat_interval_s,
            policy.recovery_least,
            settle_leases=policy.recovery_settle_leases,
            flap_memory_s=policy.recovery_flap_memory_s,
        )
        self._controllers: Mapping[str, str] = {}
        self._begin_term()
        state.events.subscribe(self)

    def _begin_term(self) -> None:
        self.statuses: dict[int, ZoneStatus] = {}
        self.losses: dict[int, list[TaskOutcomes]] = {}
        self._unwritten: set[int] = set()
        self._written_at = 0.0
        self._reports: dict[int, tuple[int, tuple[int, int]]] = {}  # by machine: how many, and the last one

    def on_leadership_acquired(self) -> None:
        """This controller has become leader: go on with what the leader before has written."""
        self._begin_term()
        state = self._state
        if not state.policy.recovery:
            return
        for name, value in state.zone_records.items():
            zone = state.zones.find(name)
            try:
                found = zone_record.decode(value)
                status = self._status_of(found)
            except (zone_record.UnreadableRecordError, ValueError) as bad:
                log.error("zone %s: %s; taken for absent", name, bad)
                continue
            if zone is not None:
                self.statuses[zone] = status
                self.losses[zone] = [TaskOutcomes.of(loss) for loss in found.losses]
                self._note_missed(zone)
        self._publish()

    def _status_of(self, found: zone_record.ZoneRecord) -> ZoneStatus:
        state = self._state
        offset = state.clock() - state.wall()  # from the time of day to this clock
        last = found.losses[-1] if found.losses else None
        return ZoneStatus(
            ZoneState(found.state),
            found.since + offset,
            0.0 if last is None else last.suspected + offset,
            0.0 if last is None else last.lost + offset,
            found.flaps,
        )

    # -- looking ---------------------------------------------------------------------------------------

    def update(self, leader: LeadershipFacts, controllers: Mapping[str, str] = MappingProxyType({})) -> None:
        """Take the zones' present state in. `controllers`: for the log, who of each zone is in reach."""
        state = self._state
        self._controllers = controllers
        if not state.policy.recovery or not state.leader or not state.complete:
            return
        now = state.clock()
        zones = self._facts(now)
        for zone in range(len(state.zones)):
            before = self.statuses.get(zone, ZoneStatus(since=now))
            unknown = blindness(leader, zones, zone, self.times)
            after = advance(before, zones.get(zone, ZoneFacts(0, 0, 0)), unknown, now, self.times)
            self.statuses[zone] = after
            if after.state is not before.state:
                self._changed(zone, before, after)
            elif after.state is not ZoneState.UP and after.unknown != before.unknown and after.unknown:
                log.info("zone %s stays %s: %s", state.zones[zone], after.state, after.unknown)
        self._note_cancelled()
        self._publish()

    def _facts(self, now: float) -> dict[int, ZoneFacts]:
        quiet_s = MISSED_HEARTBEATS * self.times.heartbeat_interval_s
        out: dict[int, ZoneFacts] = {}
        for machine in self._state.machines.values():
            # A new leader has not heard the machines of a zone that was lost before it began: it knows them
            # by the tasks that the task log has there.
            if machine.zone is None or not (machine.registered or machine.open):
                continue
            since = self.statuses[machine.zone].since if machine.zone in self.statuses else 0.0
            heard = now - machine.last_heartbeat_at <= quiet_s
            answering = heard and machine.token_acknowledged and machine.last_answered_at >= since
            old = out.get(machine.zone, ZoneFacts(0, 0, 0))
            out[machine.zone] = ZoneFacts(old.machines + 1, old.heard + heard, old.answering + answering)
        return out

    def _changed(self, zone: int, before: ZoneStatus, after: ZoneStatus) -> None:
        state = self._state
        name = state.zones[zone]
        wall = state.wall()
        losses = self.losses.setdefault(zone, [])
        if after.state is ZoneState.LOST:
            outcomes = TaskOutcomes(wall - (after.since - after.suspected), wall)
            outcomes.open = {
                (placement.job.spec.id, placement.task)
                for machine in state.machines.values()
                if machine.zone == zone
                for placement in machine.open.values()
            }
            losses.append(outcomes)
            log.error("zone %s is lost with %d tasks there", name, len(outcomes.open))
        else:
            if before.state is ZoneState.LOST and losses:
                losses[-1].returned = wall
                self._forget_images(zone)
            log.info(
                "zone %s: %s, then %s (%d flaps); %s",
                name,
                before.state,
                after.state,
                after.flaps,
                self._controllers.get(name, "no controller there"),
            )
        if after.state is ZoneState.RETURNING:
            self._reports = {m: seen for m, seen in self._reports.items() if state.zone_of(m) != zone}
        self._unwritten.add(zone)
        self._written_at = 0.0

    def _forget_images(self, zone: int) -> None:
        """What returns may be cold. Only the images of tasks that are there still are known."""
        state = self._state
        for machine in state.machines.values():
            if machine.zone != zone:
                continue
            used = {placement.job.image for placement in machine.open.values()}
            for image in [image for image in machine.images if image not in used]:
                del machine.images[image]
                state.capacity_index.dropped(machine, image)

    def _publish(self) -> None:
        """What the rounds go by."""
        state = self._state
        state.closed_zones = frozenset(z for z, s in self.statuses.items() if s.state.closed)
        state.returning_zones = frozenset(
            z for z, s in self.statuses.items() if s.state is ZoneState.RETURNING
        )
        state.verified_machines = self._verified() if state.returning_zones else frozenset()

    def _verified(self) -> frozenset[int]:
        """Machines of returning zones that have reported twice since: one heartbeat alone may have been held
        back by the cut, and its machine be gone."""
        out = set()
        for index, machine in self._state.machines.items():
            if machine.zone not in self._state.returning_zones or not machine.registered:
                continue
            order = (machine.epoch, machine.sequence)
            count, last = self._reports.get(index, (0, (-1, -1)))
            since = self.statuses[machine.zone].since
            if order != last and machine.last_heartbeat_at >= since:
                count += 1
                self._reports[index] = (count, order)
            if count >= HEARTBEATS_TO_VERIFY:
                out.add(index)
        return frozenset(out)

    # -- what becomes of tasks ---------------------------------------------------------------------------

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

    def _note_missed(self, zone: int) -> None:
        """What became of tasks between the last record of the leader before and the beginning of this one."""
        for outcomes in self.losses[zone]:
            for key in list(outcomes.open):
                job = self._state.jobs.get(key[0])
                if job is None or key[1] in job.done:
                    outcomes.note_over(key)
                elif key[1] in job.open and self._state.zone_of(job.open[key[1]].machine) not in (None, zone):
                    outcomes.note_placed(key, self._state.machine_names[job.open[key[1]].machine])
                else:
                    continue
                self._unwritten.add(zone)

    def _note_cancelled(self) -> None:
        for zone, losses in self.losses.items():
            for outcomes in losses:
                for key in [key for key in outcomes.open if self._is_cancelled(key)]:
                    outcomes.on_cancelled(key)
                    self._unwritten.add(zone)

    def _is_cancelled(self, key: TaskKey) -> bool:
        """Whether nobody wants the task any more and nothing of it is on a machine. A job that is not here
        is over, and had it not been cancelled, the end of this task would have been noted."""
        job = self._state.jobs.get(key[0])
        return job is None or (job.cancelled and key[1] not in job.open)

    # -- records ---------------------------------------------------------------------------------------

    def puts(self) -> list[Put]:
        """The records to write now."""
        state = self._state
        now = state.clock()
        if not self._unwritten or now - self._written_at < WRITE_PERIOD_S:
            return []
        self._written_at = now
        out = [
            Put(zone_record.key(state.zones[zone]), self._encoded(zone)) for zone in sorted(self._unwritten)
        ]
        self._unwritten.clear()
        return out

    def not_written(self, puts: list[Put]) -> None:
        """These were refused, or nobody knows: again."""
        for put in puts:
            zone = self._state.zones.find(put.key[len(zone_record.key("")) :])
            if zone is not None:
                self._unwritten.add(zone)

    def _encoded(self, zone: int) -> object:
        state = self._state
        status = self.statuses[zone]
        losses = self.losses.setdefault(zone, [])
        del losses[: -zone_record.MOST_LOSSES]
        offset = state.wall() - state.clock()
        found = zone_record.ZoneRecord(
            state.zones[zone],
            status.state.value,
            status.since + offset,
            status.flaps,
            [outcomes.record() for outcomes in losses],
        )
        return zone_record.encode(found, state.limits.value_bytes)
