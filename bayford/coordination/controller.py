"""One controller: constructs its components, starts their threads, and serves users, workers and peers.

Components are grouped by package: `leadership` (lease, leadership record, verification), `leader` (state and
decisions of the leader, its writes and cloud requests), `workers` (heartbeats) and `api` (jobs of users). All
read one `WatchCache` and write to one key-value store through connections that count requests.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from bayford.admission.features import ADMISSION
from bayford.config import Settings
from bayford.coordination.api.cancellation_notices import CancellationNotices, Notify
from bayford.coordination.api.job_requests import JobRequests
from bayford.coordination.api.responses import Reply
from bayford.coordination.leader.cloud_operations import CloudOperations
from bayford.coordination.leader.commit_loop import CommitLoop
from bayford.coordination.leader.round_loop import RoundLoop
from bayford.coordination.leader.scaling_loop import ScalingLoop
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leader.summary_writer import SummaryWriter
from bayford.coordination.leadership.connectivity import Connectivity
from bayford.coordination.leadership.manager import LeadershipManager
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peer_poller import PeerPoller
from bayford.coordination.leadership.peers import Peers, PollStatus
from bayford.coordination.leadership.stall_detector import StallDetector
from bayford.coordination.leadership.verification import LeadershipVerifier, Pause
from bayford.coordination.loops import Step, start_loop
from bayford.coordination.row_dispatcher import RowDispatcher
from bayford.coordination.signals import Signals
from bayford.coordination.status_log import StatusLog
from bayford.coordination.workers.heartbeat_service import HeartbeatService
from bayford.coordination.workers.relay import Relay
from bayford.coordination.workers.relay_publisher import RelayPublisher
from bayford.coordination.workers.stop_commands import SENDER_THREADS, SendCommand, StopCommands
from bayford.protocol import mesh, workers
from bayford.protocol.cloud_api import Cloud
from bayford.storage.counting_store import CountingStore
from bayford.storage.key_value_store import KeyValueStore, Row
from bayford.storage.watch_cache import WatchCache

if TYPE_CHECKING:
    from bayford.coordination.leader.admission_publisher import AdmissionPublisher

WATCH_S = 8.0  # how long one watch of the store waits for a change
# Delay between two watches of the leader; short, because the watches deliver new jobs and cancellations.
LEADER_WATCH_GAP_S = 0.1
MIN_WATCH_GAP_S = 0.05
# The delay between two watches of a follower is this factor times the number of controllers, divided by the
# request limit per second: the watches of all controllers then take at most a quarter of the limit.
WATCH_GAP_FACTOR = 4.0
MIN_READ_GAP_S = 0.02
# The same calculation for reads: those of all controllers take at most a little over half of the limit.
READ_GAP_FACTOR = 1.8


def _send_nothing(_address: str, _body: bytes) -> bytes | None:
    """The default `SendCommand`: does not reach any worker."""
    return None


class Controller:
    """Connects store, cloud, watch cache, leadership, scheduler and the services for users and workers."""

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        store: KeyValueStore,
        cloud: Cloud,
        incarnation: str,
        peers: dict[str, PollStatus],
        notify: dict[str, Notify] | None = None,
        command: SendCommand = _send_nothing,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        pause: Pause = threading.Event.wait,
        threaded: bool = True,
        release: int = mesh.RELEASE,
    ) -> None:
        """`incarnation`: identifier of this process, never used before. `peers`, `notify`: the functions that
        poll each other controller and report cancellations to it. `pause`: waits for an event; tests advance
        their clock instead. Unless `threaded`, no thread reads: each caller of `WatchCache.refresh` does."""
        self.settings = settings
        self.name = settings.member
        self.incarnation = incarnation
        self.release = release
        self.scheduler = scheduler
        self.limits = scheduler.limits
        self._clock = clock
        self._wall = wall
        self._pause = pause
        self.signals = Signals()
        self.stall_detector = StallDetector(clock)
        self._make_store_components(store, threaded)
        self._make_membership_components(peers)
        self._make_leadership_components()
        self._make_worker_components(command)
        self._make_leader_writers()
        self._make_scaling_components(cloud)
        self.admission = self._make_admission() if scheduler.policy.admission else None
        self._make_user_components(notify or {})
        listeners = (self.heartbeats, self.stop_commands, self.admission)
        scheduler.connect(self.watch_cache, *filter(None, listeners))

    # -- components ------------------------------------------------------------------------------------

    def _make_store_components(self, store: KeyValueStore, threaded: bool) -> None:
        # One connection per component, so that the log shows whose requests the service refuses.
        self._task_log_store = CountingStore(store, "task_log")
        self._membership_store = CountingStore(store, "membership")
        self._users_store = CountingStore(store, "users")
        self._reads_store = CountingStore(store, "reads")
        self.watch_cache = WatchCache(
            self._reads_store,
            self.limits.layout_bytes,
            self._on_rows,
            threaded,
            self._clock,
            self._on_read,
        )

    def _make_membership_components(self, peers: dict[str, PollStatus]) -> None:
        settings, clock = self.settings, self._clock
        zones = {peer.member: peer.zone for peer in settings.peers} | {self.name: settings.zone}
        self.peers = Peers(self.name, peers, zones, self.release, clock)
        self.membership = Membership(
            self._membership_store,
            self.watch_cache,
            self.name,
            self.incarnation,
            [team.name for team in settings.facts.teams],
            clock,
            zones,
            limits=self.limits,
            older_peers=self.peers.peers_of_older_release,
            feature_names=[ADMISSION] if self.scheduler.policy.admission else [],
        )
        self.connectivity = Connectivity(self.membership, self.peers, clock)
        self.dispatcher = RowDispatcher(self.name, self.membership, self.scheduler, self.signals, self._wall)

    def _make_leadership_components(self) -> None:
        clock = self._clock
        self.verifier = LeadershipVerifier(
            scheduler=self.scheduler,
            membership=self.membership,
            connectivity=self.connectivity,
            peers=self.peers,
            watch_cache=self.watch_cache,
            stall_detector=self.stall_detector,
            signals=self.signals,
            clock=clock,
            pause=self._pause,
        )
        self.leadership = LeadershipManager(
            settings=self.settings,
            scheduler=self.scheduler,
            membership=self.membership,
            peers=self.peers,
            connectivity=self.connectivity,
            verifier=self.verifier,
            stall_detector=self.stall_detector,
            dispatcher=self.dispatcher,
            store=self._task_log_store,
            watch_cache=self.watch_cache,
            signals=self.signals,
            clock=clock,
            wall=self._wall,
        )
        self.peer_poller = PeerPoller(
            self.peers, self.membership, self.watch_cache, self.leadership.follow_record, self._on_peer_status
        )

    def _make_worker_components(self, command: SendCommand) -> None:
        self.relay = Relay(self.name, self.watch_cache, self.limits, self._clock, self._wall)
        self.relay_publisher = RelayPublisher(self.relay, self._task_log_store, self.limits, self._clock)
        self.heartbeats = HeartbeatService(
            scheduler=self.scheduler,
            leadership=self.leadership,
            membership=self.membership,
            verifier=self.verifier,
            connectivity=self.connectivity,
            peers=self.peers,
            relay=self.relay,
            watch_cache=self.watch_cache,
            signals=self.signals,
            clock=self._clock,
            pause=self._pause,
        )
        self.stop_commands = StopCommands(
            self.scheduler, self.membership, self.verifier.is_verified_leader, command, self.signals
        )

    def _make_leader_writers(self) -> None:
        self.commit_loop = CommitLoop(
            self.scheduler,
            self._task_log_store,
            self.watch_cache,
            self.limits,
            self.dispatcher,
            self.leadership.follow_record,
            self.signals,
            self._clock,
        )
        self._round_loop = RoundLoop(self.scheduler, self.signals)
        self.summary_writer = SummaryWriter(
            self.name,
            self.scheduler,
            self.verifier.is_verified_leader,
            self._task_log_store,
            self.limits,
            self.commit_loop.writes,
            self._wall,
        )

    def _make_scaling_components(self, cloud: Cloud) -> None:
        self.cloud_operations = CloudOperations(
            cloud,
            self.scheduler,
            self.verifier,
            self.settings.facts.cloud.rps,
            f"r-{self.name}-{self.incarnation}",
            self._clock,
            self._pause,
            self.signals.round.set,
        )
        self.scaling_loop = ScalingLoop(
            scheduler=self.scheduler,
            cloud_operations=self.cloud_operations,
            verifier=self.verifier,
            connectivity=self.connectivity,
            peers=self.peers,
            stall_detector=self.stall_detector,
            store=self._task_log_store,
            writes=self.commit_loop.writes,
            clock=self._clock,
        )

    def _make_admission(self) -> AdmissionPublisher:
        # Imported here so that a controller without admission control does not load it and its libraries.
        from bayford.coordination.leader.admission_publisher import AdmissionPublisher

        return AdmissionPublisher(
            settings=self.settings,
            scheduler=self.scheduler,
            is_verified_leader=self.verifier.is_verified_leader,
            commit_loop=self.commit_loop,
            store=self._task_log_store,
            watch_cache=self.watch_cache,
            clock=self._clock,
            wall=self._wall,
        )

    def _make_user_components(self, notify: dict[str, Notify]) -> None:
        cancel_s = self.settings.facts.workers.cancel_s
        self.notices = CancellationNotices(
            self.name, notify, lambda: self.membership.record.leader, cancel_s, self._wall
        )
        self._jobs = JobRequests(
            self._users_store,
            self.watch_cache,
            self.scheduler,
            self.limits,
            self._wall,
            self.notices.add,
            None if self.admission is None else self.admission.gate,
        )
        stores = (self._task_log_store, self._membership_store, self._users_store, self._reads_store)
        self._status_log = StatusLog(self.scheduler, stores, self._refused_submissions, self.relay)

    # -- callbacks between components ------------------------------------------------------------------

    def _on_rows(self, rows: list[Row]) -> None:
        self.dispatcher.on_rows(rows)

    def _on_read(self) -> None:
        if self.verifier.on_read():
            self.heartbeats.on_leadership_verified()

    def _on_peer_status(self, status: mesh.Status) -> None:
        if self.admission is not None:
            self.admission.on_peer_status(status)

    def _refused_submissions(self) -> int:
        return 0 if self.admission is None else self.admission.gate.refusal_count()

    # -- threads ---------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start all threads. They run until the process ends."""
        for name, step in self._loops():
            start_loop(name, step)
        # The reads of all controllers together must stay well below the state service's request limit.
        gap_s = max(MIN_READ_GAP_S, READ_GAP_FACTOR * self.settings.facts.nodes / self.limits.rps)
        reader = threading.Thread(
            target=self.watch_cache.serve_refreshes, args=(gap_s,), name="reads", daemon=True
        )
        reader.start()

    def _loops(self) -> Iterator[tuple[str, Step]]:
        yield "stalls", self.stall_detector.step
        yield "watch", self.watch_step
        yield "membership", self.membership_step
        yield "commit", self.commit_loop.step
        yield "verify", self.leadership.verify_step
        yield "cancellations", self.notices.step
        yield "round", self._round_loop.step
        yield "scaling", self.scaling_loop.step
        yield "list", self.cloud_operations.list_step
        yield "launch", self.cloud_operations.launch_step
        yield "delete", self.cloud_operations.delete_step
        yield "catalog", self.cloud_operations.catalog_step
        yield "peers", self.peer_poller.step
        yield "summary", self.summary_writer.step
        yield "status", self._status_log.step
        if self.admission is not None:
            yield "admission", self.admission.step
        for number in range(SENDER_THREADS):
            yield f"stop{number}", self.stop_commands.step

    def watch_step(self) -> float:
        """Watch the store once. Returns the delay until the next watch, in seconds.

        Every change ends the watches of all controllers, and each new watch is a request that counts against
        the limit they share: without a delay, ten commits a second would use most of it. Where newer data is
        needed, the store is read.
        """
        self.watch_cache.pull(WATCH_S)
        if self.scheduler.leader:
            return LEADER_WATCH_GAP_S
        return max(MIN_WATCH_GAP_S, WATCH_GAP_FACTOR * self.settings.facts.nodes / self.limits.rps)

    def membership_step(self) -> float:
        """Run a leadership step, then publish relayed heartbeats. Returns the seconds until the next step."""
        period_s = self.leadership.step()
        self.relay_publisher.publish()
        return period_s

    # -- peers -----------------------------------------------------------------------------------------

    def on_cancellations(self, cancelled: dict[str, float]) -> None:
        """Called when another controller has confirmed cancellations. `cancelled`: time of day by job."""
        self.relay.on_cancelled(cancelled)
        self.scheduler.on_cancelled(cancelled)
        self.signals.round.set()

    def status(self) -> mesh.Status:
        """Returns the status that other controllers poll."""
        record = self.membership.record
        submitted = None if self.admission is None else self.admission.submitted()
        return mesh.Status(
            self.name,
            record.fencing_token,
            record.leader,
            self.connectivity.is_store_reachable(),
            self.release,
            submitted,
        )

    # -- workers ---------------------------------------------------------------------------------------

    def heartbeat(self, heartbeat: workers.Heartbeat, sent_after: float, keep_alive: bool = True) -> Reply:
        """Answer a worker's heartbeat; see `HeartbeatService.answer`."""
        return self.heartbeats.answer(heartbeat, sent_after, keep_alive)

    # -- users -----------------------------------------------------------------------------------------

    @property
    def is_admission_enabled(self) -> bool:
        """Whether submissions are subject to admission control."""
        return self.admission is not None

    def is_healthy(self) -> bool:
        """Whether this controller can serve requests of users.

        In an outage of the state service all controllers stay healthy: users are asked to retry, and no
        controller has to pass a health check again afterwards. A controller that alone is cut off from the
        state service reports itself unhealthy, so that users go to other controllers.
        """
        if self.watch_cache.revision < 0 or self.connectivity.is_isolated():
            return False
        return self.connectivity.is_store_reachable() or not self.peers.served_peers()

    def submit(self, body: bytes) -> Reply:
        """Accept a job."""
        return self._jobs.submit(body)

    def query(self, job_id: str) -> Reply:
        """Returns the state of a job."""
        return self._jobs.query(job_id)

    def cancel(self, job_id: str) -> Reply:
        """Cancel a job."""
        return self._jobs.cancel(job_id)
