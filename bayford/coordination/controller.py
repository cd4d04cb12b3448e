"""One controller: the threads that carry out what the scheduler decides, and the answers to everybody."""

import logging
import queue
import threading
import time
from collections.abc import Callable

from bayford.admission.features import ADMISSION
from bayford.config import Settings
from bayford.coordination.api.admission_gate import AdmissionGate
from bayford.coordination.api.cancellation_notices import CancellationNotices, Notify
from bayford.coordination.api.job_requests import JobRequests
from bayford.coordination.api.responses import Reply
from bayford.coordination.leader.admission_control import (
    AdmissionControl,
    TaskLogFacts,
    decode_sample,
    encode_sample,
)
from bayford.coordination.leader.cloud_operations import CloudOperations
from bayford.coordination.leader.commit_batch import CommitBatch
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.scaling_actions import ScalingActions
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership import transfer
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import SERVED_S, Peers
from bayford.coordination.leadership.stall_detector import CHECK_PERIOD_S, StallDetector
from bayford.coordination.token_bucket import TokenBucket
from bayford.coordination.workers import relay as relaying
from bayford.protocol import jobs, mesh, workers
from bayford.protocol.cloud_api import Cloud, CloudBusyError
from bayford.recovery.zone_health import LeadershipFacts
from bayford.scheduling.model import JobSpec
from bayford.storage import load_summary, records
from bayford.storage.counting_store import CountingStore
from bayford.storage.key_value_store import (
    KeyValueStore,
    LeaseGoneError,
    OutcomeUnknownError,
    Put,
    Row,
    TooLargeError,
    UnavailableError,
)
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger("bayford.controller")

NOTICE_WAIT_S = 1.0
NOTICE_RETRY_S = 0.3
GATE_WAIT_S = 1.0
VERIFY_S = 2.0  # how old the leader lets its last read become, with nothing to start
RECOVERY_WAIT_S = 2.0
TASK_LOG_SHARE = 0.7  # of the changes a second
RELAY_SHARE = 0.5  # of the changes a second: what a relay may take of them,
RELAY_BURST = 0.9  # and at once, of those of one second
COMMANDERS = 3
STOP_QUEUE_SIZE = 16_384  # machines with tasks to stop; what is over goes out with the answers to heartbeats
ENDINGS = 3
LEADER_WATCH_S = 0.1  # the leader learns of new jobs and cancellations by it
WATCH_SHARE = 4.0  # in requests: all the watches together take a quarter of the limit at the most
COMMIT_GAP_S = 0.05  # between two transactions, that the next one carries more
SETTLED_S = 4.0  # after its start, or an attempt, before a controller takes over from an older release
ISOLATED_S = 4.0  # longer than a member's lease
STORE_CLIENTS = (
    "task_log",
    "membership",
    "users",
    "reads",
)  # who asks the state service; see `CountingStore`
ADMISSION_STEP_S = 0.5  # how often the leader looks whether a level is due
OFF_S = 3600.0  # the step of a part that is turned off
LOG_WAITING_S = 15.0  # how often the log says who waits and why
SUMMARY_GAP_S = 0.7  # between two values of a summary
SUMMARY_OLD_S = 180.0  # an older summary says nothing about the machines of now


class Controller(LeaderListener):
    """Wires store, cloud, watch cache, membership, relay and engine together."""

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        store: KeyValueStore,
        cloud: Cloud,
        incarnation: str,
        peers: dict[str, Callable[[float], mesh.Status | None]],
        notify: dict[str, Notify] | None = None,
        command: Callable[[str, bytes], bytes | None] = lambda address, body: None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        pause: Callable[[threading.Event, float], object] = threading.Event.wait,
        threaded: bool = True,
        release: int = mesh.RELEASE,
    ) -> None:
        """`peers` asks another controller for its status, `notify` tells it of cancellations. `pause` waits
        for an event; the tests pass one that moves their clock instead."""
        self._pause = pause
        self._command = command
        self._stop_queue: queue.Queue[int] = queue.Queue(STOP_QUEUE_SIZE)
        self.settings = settings
        self.scheduler = scheduler
        # Each part by itself, so that the log can tell whose requests the state service refuses.
        self._counting_stores = {component: CountingStore(store, component) for component in STORE_CLIENTS}
        self.store = self._counting_stores["task_log"]
        self.incarnation = incarnation
        self.clock = clock
        self.wall = wall
        self.name = settings.member
        self.limits = scheduler.limits
        self.watch_cache = WatchCache(
            self._counting_stores["reads"],
            self.limits.layout_bytes,
            self._on_rows,
            threaded,
            clock,
            self._on_read,
        )
        facts = settings.facts
        teams = [t.name for t in facts.teams]
        zones = {peer.member: peer.site for peer in settings.seeds} | {self.name: settings.site}
        self.release = release
        self.peers = Peers(self.name, peers, zones, release, clock)
        self.membership = Membership(
            self._counting_stores["membership"],
            self.watch_cache,
            self.name,
            incarnation,
            teams,
            clock,
            zones,
            limits=self.limits,
            older_peers=self.peers.older,
            feature_names=[ADMISSION] if scheduler.policy.admission else [],
        )
        self.relay = relaying.Relay(self.name, self.watch_cache, self.limits, clock, wall)
        self._task_log_rps = rate = self.limits.write_rps * TASK_LOG_SHARE
        # One change carries what has happened in a tenth of a second; the rest is left to the other
        # controllers' submissions, each a change of its own.
        self.writes = TokenBucket(rate, max(float(self.limits.txn_ops), rate), clock)
        # A relay of thousands of machines has more to pass on than the state service takes in a second.
        self._relayed: list[Put] = []
        self._relay_writes = TokenBucket(
            self.limits.write_rps * RELAY_SHARE, self.limits.write_rps * RELAY_BURST, clock
        )
        self._wake = threading.Event()
        self._commit = threading.Event()
        self._verify = threading.Event()
        self._verified = threading.Event()
        self._ready: dict[int, threading.Event] = {}
        self._gated: set[int] = (
            set()
        )  # machines whose heartbeats wait for a read before they get their starts
        self.notices = CancellationNotices(
            self.name, notify or {}, lambda: self.membership.record.leader, facts.workers.cancel_s, wall
        )
        self.cloud_operations = CloudOperations(
            cloud,
            scheduler,
            self,
            facts.cloud.rps,
            f"r-{self.name}-{incarnation}",
            clock,
            pause,
            self._wake.set,
        )
        self.admission_on = scheduler.policy.admission
        self._gate = self._make_gate() if self.admission_on else None
        self._admission = AdmissionControl(scheduler.policy, facts.teams, self.limits)
        self._users = JobRequests(
            self._counting_stores["users"],
            self.watch_cache,
            scheduler,
            self.limits,
            wall,
            self.notices.add,
            self._gate,
        )
        self._summary_keys = 0
        self._summary: list[Put] = []  # what is still to be written of the newest one
        self.stall_detector = StallDetector(clock)
        self._leadership_acquired = (
            threading.Event()
        )  # set, and replaced by another, whenever we have become leader
        self._started_at = clock()
        self._replaced_older_at = self._started_at
        self._transfer_tried_at = self._started_at
        self._listening = self._started_at  # since when workers' heartbeats have been taken without a break
        scheduler.connect(self.watch_cache, self)

    # -- hooks -----------------------------------------------------------------------------------------

    def on_commands_ready(self, machine: int) -> None:
        """See `LeaderListener`."""
        event = self._ready.get(machine)
        if event is not None:
            event.set()

    def on_machine_deleted(self, machine: int) -> None:
        """See `LeaderListener`."""
        self._ready.pop(machine, None)

    def on_job_accepted(self, spec: JobSpec) -> None:
        """See `LeaderListener`."""
        if self._gate is not None:
            self._admission.note_accepted(self._gate.flow(spec), self.clock())

    def _make_gate(self) -> AdmissionGate:
        named = [o.job_class for o in self.settings.facts.objectives if o.job_class is not None]
        classes = [*named, *self.scheduler.policy.extra_classes]
        return AdmissionGate(self.watch_cache, classes, self.limits.write_rps, self.clock)

    def on_stop_requested(self, machine: int) -> None:
        """See `LeaderListener`."""
        self.on_commands_ready(machine)
        try:
            self._stop_queue.put_nowait(machine)
        except queue.Full:
            pass  # the answer to the machine's next heartbeat carries it as well

    def _on_read(self) -> None:
        """A read was taken in: if it shows the leadership record that made us leader, it opens the gate of
        starts."""
        as_of, term = self.watch_cache.as_of, self.scheduler.term
        row = self.watch_cache.get(records.LEADERSHIP)
        if not self.scheduler.leader or row is None or row.version != term:
            return
        self.scheduler.verified(as_of, term)
        self._verified.set()
        gated, self._gated = self._gated, set()
        for index in gated:
            self.on_commands_ready(index)

    def _on_rows(self, rows: list[Row]) -> None:
        jobs_touched = False
        for row in rows:
            if row.key == records.LEADERSHIP:
                self.membership.on_leadership_record(row)
            elif row.key.startswith(records.JOBS):
                if self.scheduler.leader:
                    jobs_touched = True
                    self._tell_engine(row)
            elif row.key.startswith(records.RELAYS) and self.scheduler.leader:
                name, heartbeats = relaying.heartbeats_in(row, self.wall())
                if name != self.name:
                    for heartbeat in heartbeats:
                        self.scheduler.on_heartbeat(heartbeat, relay=name)
                    self._wake.set()
        if jobs_touched:
            self._wake.set()
            self._commit.set()

    def _tell_engine(self, row: Row) -> None:
        try:
            self.scheduler.reconcile_job(records.decode(row.value), row.version)
        except records.UnreadableError as bad:
            log.error("%s: %s", row.key, bad)

    # -- threads ---------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start all threads; they run until the process ends."""
        loops: list[tuple[str, Callable[[], float]]] = [
            ("stalls", self._stall_check_step),
            ("watch", self._watch_step),
            ("member", self._member_step),
            ("commit", self._commit_step),
            ("verify", self._verify_step),
            ("cancelled", self._cancelled_step),
            ("round", self._round_step),
            ("fleet", self._scaling_step),
            ("list", self.cloud_operations.list_step),
            ("launch", self.cloud_operations.launch_step),
            ("delete", self.cloud_operations.delete_step),
            ("catalog", self.cloud_operations.catalog_step),
            ("peers", self._peer_step),
            ("summary", self.summary_step),
            ("admission", self._admission_step),
            ("waiting", self._log_waiting_step),
            *((f"command{n}", self._command_step) for n in range(COMMANDERS)),
        ]
        for name, step in loops:
            threading.Thread(target=self._loop, args=(name, step), name=name, daemon=True).start()
        # All controllers read; together they must stay well below the state service's limit.
        gap = max(0.02, 1.8 * self.settings.facts.nodes / self.limits.rps)
        threading.Thread(
            target=self.watch_cache.serve_refreshes, args=(gap,), name="fresh", daemon=True
        ).start()

    def _loop(self, name: str, step: Callable[[], float]) -> None:
        while True:
            try:
                pause = step()
            except (UnavailableError, OutcomeUnknownError, LeaseGoneError, CloudBusyError) as bad:
                log.debug("%s: %s", name, bad)
                pause = 0.3
            except Exception:
                # A thread that died would leave a controller that looks alive and does nothing.
                log.exception("%s: unexpected", name)
                pause = 1.0
            if pause > 0:
                time.sleep(pause)

    def _stall_check_step(self) -> float:
        self.stall_detector.resumed_at()
        return CHECK_PERIOD_S

    def is_verified_leader(self) -> bool:
        """Whether we may act as the leader on the view we have.

        It must have been verified not too long ago, and since this process last stood still: a controller
        that goes on after a minute finds all its machines silent for a minute, and it is another's to say
        what that means. It once deleted the whole fleet.
        """
        verified = self.scheduler.verified_at
        return (
            self.scheduler.leader
            and not self.membership.superseded
            and verified >= self.stall_detector.resumed_at()
            and self.clock() - verified <= self.scheduler.staleness_limit()
        )

    def _await_verified_leadership(self) -> bool:
        """The same, awaiting the verification that a standstill calls for, which takes a moment."""
        until = self.clock() + GATE_WAIT_S
        while not self.is_verified_leader():
            late = self.clock() - self.scheduler.verified_at
            if late > self.scheduler.staleness_limit() or self.membership.superseded or self.clock() >= until:
                return False
            # One event for all: after a standstill the whole fleet's heartbeats wait here at once.
            self._verified.clear()
            self._verify.set()
            self._pause(self._verified, 0.3)
        return True

    def _watch_step(self) -> float:
        self.watch_cache.pull(8.0)
        # Every change of the store ends every controller's watch, and a new one is a request under the limit
        # that all share: unbounded, ten commits a second would be most of what it allows. Whoever needs to
        # know more exactly reads.
        if self.scheduler.leader:
            return LEADER_WATCH_S
        return max(0.05, WATCH_SHARE * self.settings.facts.nodes / self.limits.rps)

    def _member_step(self) -> float:
        self.membership.step()
        self._fail_over_from_older_release()
        self._follow_leadership_record(recover=True)
        self._transfer_leadership()
        self._record_layout()
        self._publish()
        return 0.15

    def _fail_over_from_older_release(self) -> None:
        """In an upgrade, take over from an older leader before it is killed: no lease has to run out for it,
        and no second failover is needed. Only where nothing else is amiss: everybody in reach, the state
        service too."""
        now = self.clock()
        if (
            now - self._started_at >= SETTLED_S
            and now - self._replaced_older_at >= SETTLED_S
            and self._served()
            and not self.peers.unreachable & set(self.membership.live_members())
            and self.membership.should_replace_older_leader()
        ):
            self._replaced_older_at = now
            log.info("taking over from %s, which runs an older release", self.membership.record.leader)
            self.watch_cache.pull(0.0)
            self.membership.acquire_leadership(self.name)

    def _transfer_leadership(self) -> None:
        """Give leadership to a controller that hears the workers, if this one hears hardly any.

        An ordinary change of the leadership record: whoever reads it later than others, or answers with the
        old token, is treated like any deposed leader. Not before a leader has been in charge for a lease, in
        which the workers that could not reach the leader before it have found their way.
        """
        now = self.clock()
        facts = self.settings.facts.workers
        if (
            not self.scheduler.leader
            or now - self.scheduler.leader_since < facts.lease_s
            or now - self._transfer_tried_at < transfer.RETRY_S
            or not self.is_verified_leader()
        ):
            return
        contact = self.scheduler.worker_contact(now - transfer.contact_window(facts.heartbeat_interval_s))
        candidates = set(self.membership.live_members()) - self.peers.older() - {self.name}
        successor = transfer.successor(contact, candidates)
        if successor is None:
            return
        self._transfer_tried_at = now
        log.info(
            "handing over to %s: it hears %d machines, this controller %d",
            successor,
            contact.relayed[successor],
            contact.direct,
        )
        self.membership.acquire_leadership(successor)
        self._follow_leadership_record()

    def _record_layout(self) -> None:
        """Write down, once and for all, what the task log is laid out for: settings with the limits to come
        must not change how it is read."""
        term = self.scheduler.term
        if self.scheduler.leader and self.watch_cache.get(records.LAYOUT) is None:
            value = {"value_bytes": self.limits.layout_bytes}
            put = Put(records.LAYOUT, value)
            outcome = self.store.compare_and_swap({records.LEADERSHIP: term, records.LAYOUT: 0}, [put])
            if outcome.applied:
                self.watch_cache.apply([Row(records.LAYOUT, value, outcome.revision)])

    def _follow_leadership_record(self, recover: bool = False) -> None:
        """Make the scheduler follow the leadership record. Only the member thread adopts: two adoptions at a
        time could put records read before the first one's placements in place of what it has decided
        since."""
        view = self.membership.record
        leads = view.names_process(self.name, self.incarnation) and not self.membership.superseded
        if self.scheduler.leader and not (leads and self.scheduler.term == view.version):
            self.scheduler.step_down()
        if recover and leads and not self.scheduler.leader:
            # Every write that an older map allowed is in the watch cache after this: the leadership record's
            # own write came later than all of them, and none can come after it.
            self.watch_cache.pull(0.0)
            if self.membership.record.version != view.version:
                return
            late = load_summary.newest(
                self.watch_cache.rows_below(records.SUMMARIES), self.wall() - SUMMARY_OLD_S
            )
            as_of = self.watch_cache.as_of
            read_at = self.watch_cache.revision
            attempt = self.watch_cache.with_task_log(lambda task_log: task_log.next_attempt)
            moves = {
                row.key[len(records.MIGRATION_COUNTS) :]: row.value
                for row in self.watch_cache.rows_below(records.MIGRATION_COUNTS)
            }
            zones = {
                row.key[len(records.ZONES) :]: row.value for row in self.watch_cache.rows_below(records.ZONES)
            }
            self.scheduler.recover(
                RecoveredState(
                    jobs=self.watch_cache.open_jobs(),
                    next_attempt=attempt,
                    term=view.version,
                    fencing_token=view.fencing_token,
                    as_of=as_of,
                    summarized_images=late,
                    migration_counts=moves,
                    zone_records=zones,
                )
            )
            acquired, self._leadership_acquired = self._leadership_acquired, threading.Event()
            acquired.set()
            # Rows that came in while the records were being read were told to no leader: look again. What
            # the scheduler knows already is no news to it.
            for row in self.watch_cache.jobs_since(read_at):
                self._tell_engine(row)
            for row in self.watch_cache.rows_below(records.RELAYS):
                self._on_rows([row])
            self._wake.set()

    def _publish(self) -> None:
        """Pass relayed heartbeats on, as much as this controller's share of the changes allows by now."""
        if not self._relayed:
            self._relayed = self.relay.publish()
        try:
            while self._relayed and self._relay_writes.available() >= 1.0:
                count = min(len(self._relayed), self.limits.txn_ops, int(self._relay_writes.available()))
                some, self._relayed = self._relayed[:count], self._relayed[count:]
                self._relay_writes.take(count)
                self._put_all(some)
        except (UnavailableError, OutcomeUnknownError):
            self._relayed = []
            self.relay.not_published()
            raise

    def _put_all(self, puts: list[Put], step: int = 1000) -> None:
        """Writes that need not be one: what is refused for its size must not keep the rest from being
        written."""
        step = min(step, self.limits.txn_ops)
        for at in range(0, len(puts), step):
            some = puts[at : at + step]
            try:
                self.store.compare_and_swap({}, some)
            except TooLargeError as bad:
                if len(some) > 1:
                    self._put_all(some, len(some) // 2)
                else:
                    log.error("%s is not written: %s", some[0].key, bad)

    def _commit_step(self) -> float:
        """Group commit: what is dirty goes out, the most urgent first, within the rate of writes."""
        self._commit.wait(0.25)
        self._commit.clear()
        return self.commit_once() if self.scheduler.leader else 0.0

    def commit_once(self) -> float:
        """One transaction, if anything is dirty."""
        ops = self.limits.txn_ops
        # A row, and a record of each job that is complete: these must not wait for a burst to be saved up.
        wanted = min(ops, 1 + min(ENDINGS, self.scheduler.pending_completion_count()))
        if self.scheduler.has_pending_writes() and self.writes.available() < wanted:
            self._commit.set()
            return self.writes.wait_s(wanted)
        batch = self.scheduler.take_batch(min(ops, int(self.writes.available())))
        if batch is None:
            return 0.0
        self.writes.take(len(batch.puts))
        self._write(batch)
        if self.scheduler.has_pending_writes():
            self._commit.set()
        return max(COMMIT_GAP_S, self.writes.wait_s(1.0))

    def _write(self, batch: CommitBatch) -> None:
        try:
            outcome = self.store.compare_and_swap(batch.conditions, batch.puts)
        except TooLargeError:
            # The same once more would be refused once more, and nothing would ever be written again.
            self.scheduler.not_committed(batch)
            self.limits.too_large(len(batch.puts), max(records.size(p.value) for p in batch.puts))
            return
        except UnavailableError as bad:
            self.scheduler.not_committed(batch)
            self.writes.drain()
            log.debug("commit refused: %s", bad)
            return
        except Exception as bad:
            self.scheduler.not_committed(batch)
            log.info("commit without an answer: %r", bad)
            return
        if not outcome.applied:
            self.scheduler.not_committed(batch)
            self.watch_cache.pull(0.0)
            if records.LEADERSHIP in outcome.failed:
                log.info("deposed: the map has changed")
                self._follow_leadership_record()
            for key in outcome.failed:
                row = self.watch_cache.get(key)
                if row is not None and key.startswith(records.JOBS):
                    self._tell_engine(row)  # also if it is no news to the watch cache
            return
        # Our own rows first: a query answered from here must not lag behind what we act upon.
        self.watch_cache.apply([Row(p.key, p.value, outcome.revision) for p in batch.puts], tell=False)
        self.scheduler.committed(batch)
        if batch.placements:
            self._verify.set()  # the starts of these are about to be asked for

    def _verify_step(self) -> float:
        self._verify.wait(0.25)
        self.verify_once()
        return 0.0

    def verify_once(self) -> None:
        """A read, if starts wait for one or the last is getting old: the gate of starts, and the proof that
        we are still leader.

        A read, not a comparison of the leadership record: that would pass while cancellations which other
        controllers have confirmed are not known here, and their tasks would be started, or kept alive.
        """
        if not self.scheduler.leader:
            self._verify.clear()
            return
        # Noted before the read, or this verification would not count after it.
        resumed = self.stall_detector.resumed_at()
        verified = self.scheduler.verified_at
        often = min(VERIFY_S, 0.25 * self.scheduler.staleness_limit())
        if not self._verify.is_set() and self.clock() - verified < often and verified >= resumed:
            return
        self._verify.clear()
        self.watch_cache.refresh(GATE_WAIT_S)
        self._follow_leadership_record()

    def _round_step(self) -> float:
        if self._wake.wait(0.5):
            self._wake.clear()
        if self.scheduler.leader:
            self.scheduler.round()
            if self.scheduler.has_pending_writes():
                self._commit.set()
        return 0.08

    def scaling_once(self) -> ScalingActions:
        """What to launch and to delete now; nothing while we can't be sure to be the leader.

        While we are not, heartbeats are turned away, so that nobody's silence means anything: it counts from
        when we listen again. Else the end of a long outage would be the end of the fleet.
        """
        if not self.is_verified_leader():
            self._listening = self.clock()
            return self.scheduler.overdue_step() if self.no_competing_leader() else ScalingActions()
        return self.scheduler.scaling_step(max(self._listening, self.stall_detector.resumed_at()))

    def no_competing_leader(self) -> bool:
        """Whether, while our view is too old to act upon, no other controller can be known to have a better
        one: the state service is out for all whom we reach, and nobody has seen a higher token.

        What a cancelled task may not outlive does not wait for the service to come back. To delete a machine
        breaks no rule whoever does it, and may cost the work of another leader at the worst.
        """
        return (
            self.scheduler.leader
            and self.membership.record.version == self.scheduler.term
            and not self.membership.superseded
            and not self.isolated()
            and not self._served()
            and not self.peers.served()
        )

    def monitor_zones(self) -> None:
        """Look after the zones and write what has become of them."""
        now = self.clock()
        facts = LeadershipFacts(
            self.is_verified_leader(),
            self._served(),
            now - max(self._listening, self.stall_detector.resumed_at()),
        )
        puts = self.scheduler.monitor_zones(facts, self.peers.reach_by_zone())
        if not puts:
            return
        try:
            self.writes.take(len(puts))
            if not self.store.compare_and_swap({records.LEADERSHIP: self.scheduler.term}, puts).applied:
                self.scheduler.zones_not_written(puts)
        except (UnavailableError, OutcomeUnknownError):
            self.scheduler.zones_not_written(puts)
            raise

    def _scaling_step(self) -> float:
        if self.scheduler.leader:
            self.cloud_operations.carry_out(self.scaling_once())
        # Last: what it can't write in an outage must not keep overdue machines from being deleted.
        if self.scheduler.leader and self.scheduler.policy.recovery:
            self.monitor_zones()
        return 0.5

    def _admission_step(self) -> float:
        if not self.admission_on:
            return OFF_S
        self.admission_once()
        return ADMISSION_STEP_S

    def admission_once(self) -> None:
        """As the leader, publish the next admission level if the load asks for one."""
        if self._gate is None or not self.scheduler.leader or not self.is_verified_leader():
            return
        now = self.clock()
        self._admission.note_submitted(self.name, self._gate.submitted(), now)
        term, view = self.scheduler.term, self._gate.view()
        counts = self._counting_stores["task_log"].counts()
        task_log = TaskLogFacts(
            counts.refused, self.scheduler.pending_completion_count() / self._task_log_rps
        )
        self.writes.rate = self._admission.task_log_rps(view) or self._task_log_rps
        put = self._admission.step(term, view, self.scheduler.workload_facts, task_log, now, self.wall())
        if put is None:
            return
        self.writes.take(1)
        try:
            # Under our term, and over the very level that it follows: late copies of either fail.
            outcome = self.store.compare_and_swap({records.LEADERSHIP: term, put.key: view.version}, [put])
        except (UnavailableError, OutcomeUnknownError):
            self._admission.not_written()
            raise
        if outcome.applied:
            self.watch_cache.apply([Row(put.key, put.value, outcome.revision)])

    def _command_step(self) -> float:
        """Tell a machine directly to stop tasks that urgent work waits for."""
        index = self._stop_queue.get()
        view = self.membership.record
        # Where we may not be leader any more the token is another's, and nothing is ours to stop: but what is
        # cancelled, and that on any view.
        ours = view.version == self.scheduler.term and self.is_verified_leader()
        found = self.scheduler.stop_commands_for(index, cancelled_alone=not ours)
        if found is None:
            return 0.0
        address, epoch, stop_commands = found
        body = self._command(address, workers.encode_stop_commands(view.fencing_token, epoch, stop_commands))
        if body is not None:
            # Its heartbeat as of now. It settles no answer of ours that is still on its way, so `after`,
            # which closes unstarted placements, is not claimed.
            self.scheduler.on_heartbeat(workers.parse_heartbeat(body), asked=True)
            self._wake.set()
        return 0.0

    def summary_step(self) -> float:
        """Write the next value of the summary; not conditional on the leadership record, since it decides
        nothing.

        One value at a time, and one that is refused is not written again: all of them at once, tried again
        and again on credit, once took the whole rate of writes and no placement was committed for a minute.
        """
        if not self._summary:
            picture = self.scheduler.summary()
            if picture and self.is_verified_leader():
                most = self.limits.value_bytes
                self._summary = load_summary.encode(self.name, self.wall(), picture, most, self._summary_keys)
                self._summary_keys = sum(put.value is not None for put in self._summary)
        if self._summary:
            put = self._summary.pop(0)
            self.writes.take(1)
            self._put_all([put])
            if self._summary:
                return SUMMARY_GAP_S
        return max(1.0, self.scheduler.policy.summary_every_s)

    def _log_waiting_step(self) -> float:
        for line in self.scheduler.waiting():
            log.info("%s", line)
        for store in self._counting_stores.values():
            counts = store.counts()
            log.info(
                "state service, %s: %d requests, %d changes, %d refused, %d conflicts so far",
                store.component,
                counts.requests,
                counts.changes,
                counts.refused,
                counts.conflicts,
            )
        if self._gate is not None and self._gate.refused():
            log.info("admission: %d submissions refused here so far", self._gate.refused())
        return LOG_WAITING_S

    def _peer_step(self) -> float:
        """Ask the others over the mesh: is the leader in reach, is a higher token about."""
        for status in self.peers.ask_all():
            self.membership.observe_token(status.fencing_token)
            if status.submitted is not None:
                self._admission.note_submitted(status.member, decode_sample(status.submitted), self.clock())
        if self.membership.superseded:
            self.watch_cache.pull(0.0)
            self._follow_leadership_record()
        return 1.0

    def _cancelled_step(self) -> float:
        self.notices.wait(NOTICE_WAIT_S)
        return 0.0 if self.notices.send() else NOTICE_RETRY_S

    def on_cancellations(self, cancelled: dict[str, float]) -> None:
        """Another controller has confirmed these cancellations."""
        self.relay.on_cancelled(cancelled)
        self.scheduler.on_cancelled(cancelled)
        self._wake.set()

    def status(self) -> mesh.Status:
        """What peers are told."""
        view = self.membership.record
        submitted = None if self._gate is None else encode_sample(self._gate.submitted())
        return mesh.Status(
            self.name, view.fencing_token, view.leader, self._served(), self.release, submitted
        )

    def _served(self) -> bool:
        """Whether the state service has done what this node asked, lately."""
        return self.clock() - self.membership.last_renewed_at < SERVED_S

    def isolated(self) -> bool:
        """Whether this node alone must be cut off: neither the state service, which in an outage at least
        refuses, nor any other controller has said a word for longer than our lease."""
        now = self.clock()
        return (
            bool(self.peers.asks)
            and now - max(self.membership.last_reply_at, self.peers.heard_at, self._started_at) > ISOLATED_S
        )

    # -- workers ---------------------------------------------------------------------------------------

    def heartbeat(self, heartbeat: workers.Heartbeat, after: float, hold: bool = True) -> Reply:
        """Answer a worker's heartbeat; `hold`: it may be kept for a moment, awaiting work to answer it
        with."""
        arrival = self.clock()
        if self.isolated():
            # It still hears us, but we can neither read nor write, and another has taken over or is about
            # to: let it find that one while its lease lasts.
            return Reply(503, jobs.error("cut off from the state service and the other controllers"))
        if heartbeat.fencing_token > self.membership.record.fencing_token:
            # Somebody commands with a higher token: not a word to workers before we have read its map.
            self.membership.observe_token(heartbeat.fencing_token)
            self.watch_cache.refresh(0.5)
            if heartbeat.fencing_token > self.membership.record.fencing_token:
                return Reply(503, jobs.error("behind the map"))
        view = self.membership.record
        if self.membership.is_leader():
            return self._answer_as_leader(heartbeat, arrival, after, hold)
        if not view.leader or not self.membership.is_live(view.leader, view.incarnation):
            return Reply(503, jobs.error("no owner yet"))
        if self.relay.stale(heartbeat):
            return Reply(421, workers.redirect(view.leader))
        unreachable = view.leader in self.peers.unreachable
        # The first heartbeat of all has tick 1 or so; a later one with our token comes from the leader.
        left = heartbeat.fencing_token == view.fencing_token and heartbeat.sequence > 2
        if not self.relay.should_answer(heartbeat.machine, unreachable, left):
            return Reply(421, workers.redirect(view.leader))
        if not self._served():
            # We could neither pass its heartbeat on nor know its orders, and the leader would take it for
            # silent: another in reach can do both.
            able = [name for name in self.peers.served() if name != view.leader]
            if able:
                return Reply(421, workers.redirect(able[0]))
        return self._answer_as_relay(heartbeat)

    def _answer_as_leader(
        self, heartbeat: workers.Heartbeat, arrival: float, after: float, hold: bool
    ) -> Reply:
        scheduler = self.scheduler
        view = self.membership.record
        acquired = self._leadership_acquired
        if not scheduler.complete or scheduler.term != view.version:
            self._pause(acquired, RECOVERY_WAIT_S)
        if not scheduler.complete or scheduler.term != view.version:
            return Reply(503, jobs.error("reading the records"))
        if not self._await_verified_leadership():
            return Reply(503, jobs.error("not sure to be the owner still"))
        index = scheduler.on_heartbeat(heartbeat, after)
        if index is None:
            return Reply(200, workers.encode_response(view.fencing_token, []))
        event = self._ready[index] = threading.Event()
        self._wake.set()
        if scheduler.has_pending_writes():
            self._commit.set()
        hold_s = scheduler.hold_s(index) if hold else 0.0
        while True:
            event.clear()
            commands, gated = scheduler.commands_for(index, arrival)
            waited = self.clock() - arrival
            if commands and not gated:
                break
            if gated:
                if waited >= GATE_WAIT_S + hold_s:
                    break
                self._gated.add(index)
                self._verify.set()
                self._pause(event, 0.3)
            elif waited < hold_s:
                self._pause(event, hold_s - waited)
            else:
                break
        if (
            self.membership.record.version != view.version
            or scheduler.term != view.version
            or not self.is_verified_leader()
        ):
            return Reply(503, jobs.error("no longer the owner"))
        scheduler.on_answered(index, heartbeat, commands)
        return Reply(200, workers.encode_response(view.fencing_token, commands))

    def _answer_as_relay(self, heartbeat: workers.Heartbeat) -> Reply:
        self.relay.note(heartbeat)
        if not self.watch_cache.refresh(1.5):
            # The state service is out or refuses us. The token we know may be old, but then the worker
            # has seen a higher one and drops this. Without a fresh view nothing starts; what is cancelled is
            # so on any view, and stops.
            view = self.membership.record
            if self.clock() - self.watch_cache.as_of > self.scheduler.staleness_limit():
                return Reply(503, jobs.error("no view of the state"))
            return Reply(
                200, workers.encode_response(view.fencing_token, self.relay.stop_commands(heartbeat))
            )
        view = self.membership.record
        return Reply(200, workers.encode_response(view.fencing_token, self.relay.commands(heartbeat)))

    # -- users -----------------------------------------------------------------------------------------

    def healthy(self) -> bool:
        """Whether this node can take requests.

        In an outage of the state service all nodes stay up: users are told to come back, and none has to
        be found healthy again afterwards. A node that alone is cut off from it sends users elsewhere.
        """
        if self.watch_cache.revision < 0 or self.isolated():
            return False
        return self._served() or not self.peers.served()

    def submit(self, body: bytes) -> Reply:
        """Accept a job."""
        return self._users.submit(body)

    def query(self, job_id: str) -> Reply:
        """A job's state."""
        return self._users.query(job_id)

    def cancel(self, job_id: str) -> Reply:
        """Cancel a job."""
        return self._users.cancel(job_id)
