"""One controller: the threads that carry out what the engine decides, and the answers to everybody."""

import logging
import queue
import threading
import time
from collections.abc import Callable

from bayford.admission.features import ADMISSION
from bayford.config import Settings
from bayford.coordination.api.admission_gate import AdmissionGate
from bayford.coordination.api.cancellation_notices import CancellationNotices, Notify
from bayford.coordination.api.job_requests import UserRequests
from bayford.coordination.api.responses import Reply
from bayford.coordination.leader.admission_control import AdmissionControl, LedgerFacts, sample_of, told_of
from bayford.coordination.leader.autoscaler import FleetStep
from bayford.coordination.leader.cloud_operations import CloudCalls
from bayford.coordination.leader.commit_batch import Batch
from bayford.coordination.leader.scheduler import Engine
from bayford.coordination.leadership import transfer
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import SERVED_S, Peers
from bayford.coordination.leadership.stall_detector import CHECK_PERIOD_S, StallDetector
from bayford.coordination.token_bucket import Budget
from bayford.coordination.workers import relay as relaying
from bayford.protocol import jobs, mesh, workers
from bayford.protocol.cloud_api import Cloud, CloudBusyError
from bayford.recovery.zone_health import OwnerFacts
from bayford.scheduling.model import JobSpec
from bayford.storage import load_summary, records
from bayford.storage.counting_store import CountedStore
from bayford.storage.key_value_store import (
    LeaseGoneError,
    OutcomeUnknownError,
    Put,
    Row,
    Store,
    TooLargeError,
    UnavailableError,
)
from bayford.storage.watch_cache import Mirror

log = logging.getLogger("bayford.controller")

NOTICE_WAIT_S = 1.0
NOTICE_RETRY_S = 0.3
GATE_WAIT_S = 1.0
VERIFY_S = 2.0  # how old the owner lets its last read become, with nothing to start
ADOPT_WAIT_S = 2.0
LEDGER_SHARE = 0.7  # of the changes a second
RELAY_SHARE = 0.5  # of the changes a second: what a relay may take of them,
RELAY_BURST = 0.9  # and at once, of those of one second
COMMANDERS = 3
HALT_QUEUE = 16_384  # machines with tasks to stop; what is over goes out with the answers to reports
ENDINGS = 3
OWNER_WATCH_S = 0.1  # the owner learns of new jobs and cancellations by it
WATCH_SHARE = 4.0  # in requests: all the watches together take a quarter of the limit at the most
COMMIT_GAP_S = 0.05  # between two transactions, that the next one carries more
SETTLED_S = 4.0  # after its start, or an attempt, before a controller takes over from an older release
ISOLATED_S = 4.0  # longer than a member's lease
STORE_PARTS = ("ledger", "membership", "users", "reads")  # who asks the state service; see `CountedStore`
ADMISSION_STEP_S = 0.5  # how often the owner looks whether a level is due
OFF_S = 3600.0  # the step of a part that is turned off
LOG_WAITING_S = 15.0  # how often the log says who waits and why
SUMMARY_GAP_S = 0.7  # between two values of a summary
SUMMARY_OLD_S = 180.0  # an older summary says nothing about the machines of now


class Controller:
    """Wires store, cloud, mirror, membership, relay and engine together."""

    def __init__(
        self,
        settings: Settings,
        engine: Engine,
        store: Store,
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
        self._halts: queue.Queue[int] = queue.Queue(HALT_QUEUE)
        self.settings = settings
        self.engine = engine
        # Each part by itself, so that the log can tell whose requests the state service refuses.
        self._counted_stores = {part: CountedStore(store, part) for part in STORE_PARTS}
        self.store = self._counted_stores["ledger"]
        self.incarnation = incarnation
        self.clock = clock
        self.wall = wall
        self.name = settings.member
        self.limits = engine.limits
        self.mirror = Mirror(
            self._counted_stores["reads"], self.limits.layout_bytes, self._on_rows, threaded, clock,
            self._on_read,
        )  # fmt: skip
        facts = settings.facts
        teams = [t.name for t in facts.teams]
        zones = {peer.member: peer.site for peer in settings.seeds} | {self.name: settings.site}
        self.release = release
        self.peers = Peers(self.name, peers, zones, release, clock)
        self.membership = Membership(
            self._counted_stores["membership"], self.mirror, self.name, incarnation, teams, clock, zones,
            limits=self.limits, older_peers=self.peers.older,
            feature_names=[ADMISSION] if engine.policy.admission else [],
        )  # fmt: skip
        self.relay = relaying.Relay(self.name, self.mirror, self.limits, clock, wall)
        self._ledger_rps = rate = self.limits.write_rps * LEDGER_SHARE
        # One change carries what has happened in a tenth of a second; the rest is left to the other
        # controllers' submissions, each a change of its own.
        self.writes = Budget(rate, max(float(self.limits.txn_ops), rate), clock)
        # A relay of thousands of machines has more to pass on than the state service takes in a second.
        self._relayed: list[Put] = []
        self._relay_writes = Budget(
            self.limits.write_rps * RELAY_SHARE, self.limits.write_rps * RELAY_BURST, clock
        )  # fmt: skip
        self._kick = threading.Event()
        self._commit = threading.Event()
        self._verify = threading.Event()
        self._verified = threading.Event()
        self._ready: dict[int, threading.Event] = {}
        self._gated: set[int] = set()  # machines whose reports wait for a read before they get their starts
        self.notices = CancellationNotices(
            self.name, notify or {}, lambda: self.membership.view.owner, facts.workers.cancel_s, wall
        )  # fmt: skip
        self.cloud_calls = CloudCalls(
            cloud, engine, self, facts.cloud.rps, f"r-{self.name}-{incarnation}", clock, pause, self._kick.set
        )  # fmt: skip
        self.admission_on = engine.policy.admission
        self._gate = self._make_gate() if self.admission_on else None
        self._admission = AdmissionControl(engine.policy, facts.teams, self.limits)
        self._users = UserRequests(
            self._counted_stores["users"], self.mirror, engine, self.limits, wall, self.notices.add,
            self._gate,
        )  # fmt: skip
        self._summary_keys = 0
        self._summary: list[Put] = []  # what is still to be written of the newest one
        self.stalls = StallDetector(clock)
        self._adopted = threading.Event()  # set, and replaced by another, whenever we have become owner
        self._born = clock()
        self._succeeded = self._born
        self._handover_tried = self._born
        self._listening = self._born  # since when workers' reports have been taken without a break
        engine.connect(
            self.mirror.with_ledger, self._on_ready, self._on_halt, self._on_gone, self._on_accepted
        )  # fmt: skip

    # -- hooks -----------------------------------------------------------------------------------------

    def _on_ready(self, machine: int) -> None:
        event = self._ready.get(machine)
        if event is not None:
            event.set()

    def _on_gone(self, machine: int) -> None:
        self._ready.pop(machine, None)

    def _on_accepted(self, spec: JobSpec) -> None:
        if self._gate is not None:
            self._admission.note_accepted(self._gate.flow(spec), self.clock())

    def _make_gate(self) -> AdmissionGate:
        named = [o.job_class for o in self.settings.facts.objectives if o.job_class is not None]
        classes = [*named, *self.engine.policy.extra_classes]
        return AdmissionGate(self.mirror, classes, self.limits.write_rps, self.clock)

    def _on_halt(self, machine: int) -> None:
        self._on_ready(machine)
        try:
            self._halts.put_nowait(machine)
        except queue.Full:
            pass  # the answer to the machine's next report carries it as well

    def _on_read(self) -> None:
        """A read was taken in: if it shows the map that made us owner, it opens the gate of starts."""
        as_of, term = self.mirror.as_of, self.engine.term
        row = self.mirror.get(records.MAP)
        if not self.engine.owner or row is None or row.stamp != term:
            return
        self.engine.verified(as_of, term)
        self._verified.set()
        gated, self._gated = self._gated, set()
        for index in gated:
            self._on_ready(index)

    def _on_rows(self, rows: list[Row]) -> None:
        jobs_touched = False
        for row in rows:
            if row.key == records.MAP:
                self.membership.on_map(row)
            elif row.key.startswith(records.JOBS):
                if self.engine.owner:
                    jobs_touched = True
                    self._tell_engine(row)
            elif row.key.startswith(records.RELAYS) and self.engine.owner:
                name, reports = relaying.reports_in(row, self.wall())
                if name != self.name:
                    for report in reports:
                        self.engine.on_report(report, relay=name)
                    self._kick.set()
        if jobs_touched:
            self._kick.set()
            self._commit.set()

    def _tell_engine(self, row: Row) -> None:
        try:
            self.engine.on_row(records.decode(row.value), row.stamp)
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
            ("fleet", self._fleet_step),
            ("list", self.cloud_calls.list_step),
            ("rent", self.cloud_calls.rent_step),
            ("delete", self.cloud_calls.delete_step),
            ("catalog", self.cloud_calls.catalog_step),
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
        threading.Thread(target=self.mirror.serve, args=(gap,), name="fresh", daemon=True).start()

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
        self.stalls.resumed_at()
        return CHECK_PERIOD_S

    def sure_owner(self) -> bool:
        """Whether we may act as the owner on the view we have.

        It must have been verified not too long ago, and since this process last stood still: a controller
        that goes on after a minute finds all its machines silent for a minute, and it is another's to say
        what that means. It once deleted the whole fleet.
        """
        verified = self.engine.verified_at
        return (
            self.engine.owner
            and not self.membership.behind
            and verified >= self.stalls.resumed_at()
            and self.clock() - verified <= self.engine.staleness_limit()
        )

    def _await_sure_owner(self) -> bool:
        """The same, awaiting the verification that a standstill calls for, which takes a moment."""
        until = self.clock() + GATE_WAIT_S
        while not self.sure_owner():
            late = self.clock() - self.engine.verified_at
            if late > self.engine.staleness_limit() or self.membership.behind or self.clock() >= until:
                return False
            # One event for all: after a standstill the whole fleet's reports wait here at once.
            self._verified.clear()
            self._verify.set()
            self._pause(self._verified, 0.3)
        return True

    def _watch_step(self) -> float:
        self.mirror.pull(8.0)
        # Every change of the store ends every controller's watch, and a new one is a request under the limit
        # that all share: unbounded, ten commits a second would be most of what it allows. Whoever needs to
        # know more exactly reads.
        if self.engine.owner:
            return OWNER_WATCH_S
        return max(0.05, WATCH_SHARE * self.settings.facts.nodes / self.limits.rps)

    def _member_step(self) -> float:
        self.membership.step()
        self._take_over_from_older_release()
        self._follow_map(adopt=True)
        self._hand_over()
        self._record_layout()
        self._publish()
        return 0.15

    def _take_over_from_older_release(self) -> None:
        """In an upgrade, take over from an older owner before it is killed: no lease has to run out for it,
        and no second takeover is needed. Only where nothing else is amiss: everybody in reach, the state
        service too."""
        now = self.clock()
        if (
            now - self._born >= SETTLED_S
            and now - self._succeeded >= SETTLED_S
            and self._served()
            and not self.peers.unreachable & set(self.membership.live())
            and self.membership.should_succeed_older()
        ):
            self._succeeded = now
            log.info("taking over from %s, which runs an older release", self.membership.view.owner)
            self.mirror.pull(0.0)
            self.membership.claim(self.name)

    def _hand_over(self) -> None:
        """Give ownership to a controller that hears the workers, if this one hears hardly any.

        An ordinary change of the map: whoever reads it later than others, or answers with the old token, is
        treated like any deposed owner. Not before an owner has been in charge for a lease, in which the
        workers that could not reach the owner before it have found their way.
        """
        now = self.clock()
        facts = self.settings.facts.workers
        if (
            not self.engine.owner
            or now - self.engine.owner_since < facts.lease_s
            or now - self._handover_tried < transfer.RETRY_S
            or not self.sure_owner()
        ):
            return
        contact = self.engine.worker_contact(now - transfer.contact_window(facts.report_s))
        candidates = set(self.membership.live()) - self.peers.older() - {self.name}
        successor = transfer.successor(contact, candidates)
        if successor is None:
            return
        self._handover_tried = now
        log.info(
            "handing over to %s: it hears %d machines, this controller %d",
            successor, contact.relayed[successor], contact.direct,
        )  # fmt: skip
        self.membership.claim(successor)
        self._follow_map()

    def _record_layout(self) -> None:
        """Write down, once and for all, what the ledger is laid out for: settings with the limits to come
        must not change how it is read."""
        term = self.engine.term
        if self.engine.owner and self.mirror.get(records.LAYOUT) is None:
            value = {"value_bytes": self.limits.layout_bytes}
            put = Put(records.LAYOUT, value)
            outcome = self.store.commit({records.MAP: term, records.LAYOUT: 0}, [put])
            if outcome.applied:
                self.mirror.apply([Row(records.LAYOUT, value, outcome.revision)])

    def _follow_map(self, adopt: bool = False) -> None:
        """Make the engine follow the map. Only the member thread adopts: two adoptions at a time could put
        records read before the first one's placements in place of what it has decided since."""
        view = self.membership.view
        mine = view.mine(self.name, self.incarnation) and not self.membership.behind
        if self.engine.owner and not (mine and self.engine.term == view.stamp):
            self.engine.depose()
        if adopt and mine and not self.engine.owner:
            # Every write that an older map allowed is in the mirror after this: the map's own write came
            # later than all of them, and none can come after it.
            self.mirror.pull(0.0)
            if self.membership.view.stamp != view.stamp:
                return
            late = load_summary.newest(self.mirror.below(records.SUMMARIES), self.wall() - SUMMARY_OLD_S)
            as_of = self.mirror.as_of
            read_at = self.mirror.revision
            attempt = self.mirror.with_ledger(lambda ledger: ledger.next_attempt)
            moves = {row.key[len(records.MOVES) :]: row.value for row in self.mirror.below(records.MOVES)}
            zones = {row.key[len(records.ZONES) :]: row.value for row in self.mirror.below(records.ZONES)}
            self.engine.adopt(
                self.mirror.open_jobs(), attempt, late, view.stamp, view.token, as_of, moves, zones
            )  # fmt: skip
            adopted, self._adopted = self._adopted, threading.Event()
            adopted.set()
            # Rows that came in while the records were being read were told to no owner: look again. What
            # the engine knows already is no news to it.
            for row in self.mirror.jobs_since(read_at):
                self._tell_engine(row)
            for row in self.mirror.below(records.RELAYS):
                self._on_rows([row])
            self._kick.set()

    def _publish(self) -> None:
        """Pass relayed reports on, as much as this controller's share of the changes allows by now."""
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
                self.store.commit({}, some)
            except TooLargeError as bad:
                if len(some) > 1:
                    self._put_all(some, len(some) // 2)
                else:
                    log.error("%s is not written: %s", some[0].key, bad)

    def _commit_step(self) -> float:
        """Group commit: what is dirty goes out, the most urgent first, within the rate of writes."""
        self._commit.wait(0.25)
        self._commit.clear()
        return self.commit_once() if self.engine.owner else 0.0

    def commit_once(self) -> float:
        """One transaction, if anything is dirty."""
        ops = self.limits.txn_ops
        # A row, and a record of each job that is complete: these must not wait for a burst to be saved up.
        wanted = min(ops, 1 + min(ENDINGS, self.engine.endings()))
        if self.engine.has_news() and self.writes.available() < wanted:
            self._commit.set()
            return self.writes.wait_s(wanted)
        batch = self.engine.take_batch(min(ops, int(self.writes.available())))
        if batch is None:
            return 0.0
        self.writes.take(len(batch.puts))
        self._write(batch)
        if self.engine.has_news():
            self._commit.set()
        return max(COMMIT_GAP_S, self.writes.wait_s(1.0))

    def _write(self, batch: Batch) -> None:
        try:
            outcome = self.store.commit(batch.conditions, batch.puts)
        except TooLargeError:
            # The same once more would be refused once more, and nothing would ever be written again.
            self.engine.not_committed(batch)
            self.limits.too_large(len(batch.puts), max(records.size(p.value) for p in batch.puts))
            return
        except UnavailableError as bad:
            self.engine.not_committed(batch)
            self.writes.drain()
            log.debug("commit refused: %s", bad)
            return
        except Exception as bad:
            self.engine.not_committed(batch)
            log.info("commit without an answer: %r", bad)
            return
        if not outcome.applied:
            self.engine.not_committed(batch)
            self.mirror.pull(0.0)
            if records.MAP in outcome.failed:
                log.info("deposed: the map has changed")
                self._follow_map()
            for key in outcome.failed:
                row = self.mirror.get(key)
                if row is not None and key.startswith(records.JOBS):
                    self._tell_engine(row)  # also if it is no news to the mirror
            return
        # Our own rows first: a query answered from here must not lag behind what we act upon.
        self.mirror.apply([Row(p.key, p.value, outcome.revision) for p in batch.puts], tell=False)
        self.engine.committed(batch)
        if batch.placements:
            self._verify.set()  # the starts of these are about to be asked for

    def _verify_step(self) -> float:
        self._verify.wait(0.25)
        self.verify_once()
        return 0.0

    def verify_once(self) -> None:
        """A read, if starts wait for one or the last is getting old: the gate of starts, and the proof that
        we are still owner.

        A read, not a comparison of the map: that would pass while cancellations which other controllers
        have confirmed are not known here, and their tasks would be started, or kept alive.
        """
        if not self.engine.owner:
            self._verify.clear()
            return
        # Noted before the read, or this verification would not count after it.
        resumed = self.stalls.resumed_at()
        verified = self.engine.verified_at
        often = min(VERIFY_S, 0.25 * self.engine.staleness_limit())
        if not self._verify.is_set() and self.clock() - verified < often and verified >= resumed:
            return
        self._verify.clear()
        self.mirror.fresh(GATE_WAIT_S)
        self._follow_map()

    def _round_step(self) -> float:
        if self._kick.wait(0.5):
            self._kick.clear()
        if self.engine.owner:
            self.engine.round()
            if self.engine.has_news():
                self._commit.set()
        return 0.08

    def fleet_once(self) -> FleetStep:
        """What to rent and to delete now; nothing while we can't be sure to be the owner.

        While we are not, reports are turned away, so that nobody's silence means anything: it counts from
        when we listen again. Else the end of a long outage would be the end of the fleet.
        """
        if not self.sure_owner():
            self._listening = self.clock()
            return self.engine.overdue_step() if self.unrivalled() else FleetStep()
        return self.engine.fleet_step(max(self._listening, self.stalls.resumed_at()))

    def unrivalled(self) -> bool:
        """Whether, while our view is too old to act upon, no other controller can be known to have a better
        one: the state service is out for all whom we reach, and nobody has seen a higher token.

        What a cancelled task may not outlive does not wait for the service to come back. To delete a machine
        breaks no rule whoever does it, and may cost the work of another owner at the worst.
        """
        return (
            self.engine.owner
            and self.membership.view.stamp == self.engine.term
            and not self.membership.behind
            and not self.isolated()
            and not self._served()
            and not self.peers.served()
        )

    def watch_zones(self) -> None:
        """Look after the zones and write what has become of them."""
        now = self.clock()
        facts = OwnerFacts(
            self.sure_owner(), self._served(), now - max(self._listening, self.stalls.resumed_at())
        )
        puts = self.engine.watch_zones(facts, self.peers.reach_by_zone())
        if not puts:
            return
        try:
            self.writes.take(len(puts))
            if not self.store.commit({records.MAP: self.engine.term}, puts).applied:
                self.engine.zones_not_written(puts)
        except (UnavailableError, OutcomeUnknownError):
            self.engine.zones_not_written(puts)
            raise

    def _fleet_step(self) -> float:
        if self.engine.owner:
            self.cloud_calls.carry_out(self.fleet_once())
        # Last: what it can't write in an outage must not keep overdue machines from being deleted.
        if self.engine.owner and self.engine.policy.recovery:
            self.watch_zones()
        return 0.5

    def _admission_step(self) -> float:
        if not self.admission_on:
            return OFF_S
        self.admission_once()
        return ADMISSION_STEP_S

    def admission_once(self) -> None:
        """As the owner, publish the next admission level if the load asks for one."""
        if self._gate is None or not self.engine.owner or not self.sure_owner():
            return
        now = self.clock()
        self._admission.note_submitted(self.name, self._gate.submitted(), now)
        term, view = self.engine.term, self._gate.view()
        counts = self._counted_stores["ledger"].counts()
        ledger = LedgerFacts(counts.refused, self.engine.endings() / self._ledger_rps)
        self.writes.rate = self._admission.ledger_rps(view) or self._ledger_rps
        put = self._admission.step(
            term, view, self.engine.work_facts, ledger, now, self.wall()
        )  # fmt: skip
        if put is None:
            return
        self.writes.take(1)
        try:
            # Under our term, and over the very level that it follows: late copies of either fail.
            outcome = self.store.commit({records.MAP: term, put.key: view.stamp}, [put])
        except (UnavailableError, OutcomeUnknownError):
            self._admission.not_written()
            raise
        if outcome.applied:
            self.mirror.apply([Row(put.key, put.value, outcome.revision)])

    def _command_step(self) -> float:
        """Tell a machine directly to stop tasks that urgent work waits for."""
        index = self._halts.get()
        view = self.membership.view
        # Where we may not be owner any more the token is another's, and nothing is ours to stop: but what is
        # cancelled, and that on any view.
        ours = view.stamp == self.engine.term and self.sure_owner()
        found = self.engine.halts_for(index, cancelled_alone=not ours)
        if found is None:
            return 0.0
        address, session, halts = found
        body = self._command(address, workers.commands(view.token, session, halts))
        if body is not None:
            # Its report as of now. It settles no answer of ours that is still on its way, so `after`,
            # which closes unstarted placements, is not claimed.
            self.engine.on_report(workers.parse_report(body), asked=True)
            self._kick.set()
        return 0.0

    def summary_step(self) -> float:
        """Write the next value of the summary; not conditional on the map, since it decides nothing.

        One value at a time, and one that is refused is not written again: all of them at once, tried again
        and again on credit, once took the whole rate of writes and no placement was committed for a minute.
        """
        if not self._summary:
            picture = self.engine.summary()
            if picture and self.sure_owner():
                most = self.limits.value_bytes
                self._summary = load_summary.encode(self.name, self.wall(), picture, most, self._summary_keys)
                self._summary_keys = sum(put.value is not None for put in self._summary)
        if self._summary:
            put = self._summary.pop(0)
            self.writes.take(1)
            self._put_all([put])
            if self._summary:
                return SUMMARY_GAP_S
        return max(1.0, self.engine.policy.summary_every_s)

    def _log_waiting_step(self) -> float:
        for line in self.engine.waiting():
            log.info("%s", line)
        for store in self._counted_stores.values():
            counts = store.counts()
            log.info(
                "state service, %s: %d requests, %d changes, %d refused, %d conflicts so far",
                store.part, counts.requests, counts.changes, counts.refused, counts.conflicts,
            )  # fmt: skip
        if self._gate is not None and self._gate.refused():
            log.info("admission: %d submissions refused here so far", self._gate.refused())
        return LOG_WAITING_S

    def _peer_step(self) -> float:
        """Ask the others over the mesh: is the owner in reach, is a higher token about."""
        for status in self.peers.ask_all():
            self.membership.heard(status.token)
            if status.submitted is not None:
                self._admission.note_submitted(status.member, sample_of(status.submitted), self.clock())
        if self.membership.behind:
            self.mirror.pull(0.0)
            self._follow_map()
        return 1.0

    def _cancelled_step(self) -> float:
        self.notices.wait(NOTICE_WAIT_S)
        return 0.0 if self.notices.send() else NOTICE_RETRY_S

    def hear_cancelled(self, cancelled: dict[str, float]) -> None:
        """Another controller has confirmed these cancellations."""
        self.relay.note_cancelled(cancelled)
        self.engine.note_cancelled(cancelled)
        self._kick.set()

    def status(self) -> mesh.Status:
        """What peers are told."""
        view = self.membership.view
        submitted = None if self._gate is None else told_of(self._gate.submitted())
        return mesh.Status(self.name, view.token, view.owner, self._served(), self.release, submitted)

    def _served(self) -> bool:
        """Whether the state service has done what this node asked, lately."""
        return self.clock() - self.membership.renewed < SERVED_S

    def isolated(self) -> bool:
        """Whether this node alone must be cut off: neither the state service, which in an outage at least
        refuses, nor any other controller has said a word for longer than our lease."""
        now = self.clock()
        return (
            bool(self.peers.asks)
            and now - max(self.membership.answered, self.peers.heard_at, self._born) > ISOLATED_S
        )

    # -- workers ---------------------------------------------------------------------------------------

    def report(self, report: workers.Report, after: float, hold: bool = True) -> Reply:
        """Answer a worker's report; `hold`: it may be kept for a moment, awaiting work to answer it with."""
        arrival = self.clock()
        if self.isolated():
            # It still hears us, but we can neither read nor write, and another has taken over or is about
            # to: let it find that one while its lease lasts.
            return Reply(503, jobs.error("cut off from the state service and the other controllers"))
        if report.token > self.membership.view.token:
            # Somebody commands with a higher token: not a word to workers before we have read its map.
            self.membership.heard(report.token)
            self.mirror.fresh(0.5)
            if report.token > self.membership.view.token:
                return Reply(503, jobs.error("behind the map"))
        view = self.membership.view
        if self.membership.is_mine():
            return self._report_owned(report, arrival, after, hold)
        if not view.owner or not self.membership.is_live(view.owner, view.incarnation):
            return Reply(503, jobs.error("no owner yet"))
        if self.relay.stale(report):
            return Reply(421, workers.redirect(view.owner))
        unreachable = view.owner in self.peers.unreachable
        # The first report of all has tick 1 or so; a later one with our token comes from the owner.
        left = report.token == view.token and report.tick > 2
        if not self.relay.should_answer(report.machine, unreachable, left):
            return Reply(421, workers.redirect(view.owner))
        if not self._served():
            # We could neither pass its report on nor know its orders, and the owner would take it for
            # silent: another in reach can do both.
            able = [name for name in self.peers.served() if name != view.owner]
            if able:
                return Reply(421, workers.redirect(able[0]))
        return self._report_relayed(report)

    def _report_owned(self, report: workers.Report, arrival: float, after: float, hold: bool) -> Reply:
        engine = self.engine
        view = self.membership.view
        adopted = self._adopted
        if not engine.complete or engine.term != view.stamp:
            self._pause(adopted, ADOPT_WAIT_S)
        if not engine.complete or engine.term != view.stamp:
            return Reply(503, jobs.error("reading the records"))
        if not self._await_sure_owner():
            return Reply(503, jobs.error("not sure to be the owner still"))
        index = engine.on_report(report, after)
        if index is None:
            return Reply(200, workers.answer(view.token, []))
        event = self._ready[index] = threading.Event()
        self._kick.set()
        if engine.has_news():
            self._commit.set()
        hold_s = engine.hold_s(index) if hold else 0.0
        while True:
            event.clear()
            orders, gated = engine.orders_for(index, arrival)
            waited = self.clock() - arrival
            if orders and not gated:
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
        if self.membership.view.stamp != view.stamp or engine.term != view.stamp or not self.sure_owner():
            return Reply(503, jobs.error("no longer the owner"))
        engine.answered(index, report, orders)
        return Reply(200, workers.answer(view.token, orders))

    def _report_relayed(self, report: workers.Report) -> Reply:
        self.relay.note(report)
        if not self.mirror.fresh(1.5):
            # The state service is out or refuses us. The token we know may be old, but then the worker
            # has seen a higher one and drops this. Without a fresh view nothing starts; what is cancelled is
            # so on any view, and stops.
            view = self.membership.view
            if self.clock() - self.mirror.as_of > self.engine.staleness_limit():
                return Reply(503, jobs.error("no view of the state"))
            return Reply(200, workers.answer(view.token, self.relay.halts(report)))
        view = self.membership.view
        return Reply(200, workers.answer(view.token, self.relay.orders(report)))

    # -- users -----------------------------------------------------------------------------------------

    def healthy(self) -> bool:
        """Whether this node can take requests.

        In an outage of the state service all nodes stay up: users are told to come back, and none has to
        be found healthy again afterwards. A node that alone is cut off from it sends users elsewhere.
        """
        if self.mirror.revision < 0 or self.isolated():
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
