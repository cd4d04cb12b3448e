"""Runs one controller on real sockets: clients of external services and peers, and its own HTTP servers."""

import logging
import random
import threading
import time

from bayford import __version__
from bayford.config import MachineLimits, Settings, split_address
from bayford.coordination.controller import Controller
from bayford.coordination.leader.scheduler import Scheduler
from bayford.protocol import mesh, workers
from bayford.protocol.cloud_api import CloudApi
from bayford.protocol.key_value_api import KeyValueApi
from bayford.scheduling.policy import Policy
from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_client import HttpClient
from bayford.transport.http_handlers import PeerHandler, UserHandler
from bayford.transport.http_server import HttpServer

log = logging.getLogger(__name__)

THREAD_STACK_BYTES = 256 * 1024
MAX_CONNECTIONS = 1800  # one thread each; the platform allows 2,000 threads per process
MIN_CONNECTIONS = 32
CONNECTIONS_PER_MB = 8  # of the machine's memory; the thread of a connection takes 0.03 MB
MAX_PEER_CONNECTIONS = 32
MAIN_THREAD_SLEEP_S = 3600.0

MAX_IDLE_CLOUD_CONNECTIONS = 3
PEER_CONNECT_TIMEOUT_S = 0.8
NOTICE_TIMEOUT_S = 1.0
COMMAND_CONNECT_TIMEOUT_S = 0.7
COMMAND_TIMEOUT_S = 1.5


class PeerClient:
    """Sends requests to one other controller."""

    def __init__(self, endpoint: str) -> None:
        """`endpoint`: the other controller's address on the mesh, HOST:PORT."""
        address = split_address(endpoint)
        # Notices use a separate connection so that they do not wait for a status request to finish.
        self._status_client = HttpClient(*address, max_idle=2, connect_timeout_s=PEER_CONNECT_TIMEOUT_S)
        self._notices_client = HttpClient(*address, max_idle=1, connect_timeout_s=PEER_CONNECT_TIMEOUT_S)

    def status(self, timeout_s: float) -> mesh.Status | None:
        """The controller's status; None if it did not respond with one."""
        try:
            status, body = self._status_client.call("GET", mesh.STATUS_PATH, None, timeout_s)
            return mesh.decode_status(body) if status == 200 else None
        except (UnavailableError, OutcomeUnknownError, ValueError):
            return None

    def notify_cancelled(self, cancelled: dict[str, float]) -> bool:
        """Send confirmed cancellations, job id -> wall-clock time. Returns whether no retry is needed."""
        body = mesh.encode_cancelled(cancelled)
        try:
            status, _ = self._notices_client.call("POST", mesh.CANCELLED_PATH, body, NOTICE_TIMEOUT_S)
        except (UnavailableError, OutcomeUnknownError):
            return False
        return status in (200, 404)  # 404: an older release, which does not serve the path


def send_command(address: str, body: bytes) -> bytes | None:
    """Send commands directly to the worker at `address`. Returns the heartbeat in its response, None without
    a response.

    The connection is closed afterwards. Commands go to any of hundreds of machines and seldom to the same one
    again soon, so that keeping connections open would need as many sockets as the workers' heartbeats do.
    """
    client = HttpClient(*split_address(address), max_idle=0, connect_timeout_s=COMMAND_CONNECT_TIMEOUT_S)
    try:
        status, response = client.call("POST", workers.COMMANDS_PATH, body, COMMAND_TIMEOUT_S)
    except (UnavailableError, OutcomeUnknownError):
        return None
    return response if status in (200, 409) else None


def max_connections(limits: MachineLimits) -> int:
    """The maximum number of connections to the server for users and workers.

    All workers and also users may connect to the same controller.
    """
    by_memory = int(limits.mem_mb * CONNECTIONS_PER_MB)
    return max(MIN_CONNECTIONS, min(limits.fd_limit * 3 // 4, by_memory, MAX_CONNECTIONS))


def make_controller(settings: Settings, policy: Policy, incarnation: str) -> Controller:
    """Create a controller with clients for the services and peers in its settings."""
    store = HttpClient(*split_address(settings.services.state))
    cloud = HttpClient(*split_address(settings.services.cloud), max_idle=MAX_IDLE_CLOUD_CONNECTIONS)
    peers = {peer.member: PeerClient(peer.endpoint) for peer in settings.peers}
    return Controller(
        settings,
        Scheduler(settings, policy, time.monotonic, time.time, random.Random(incarnation)),
        KeyValueApi(store.call),
        CloudApi(cloud.call),
        incarnation,
        {name: peer.status for name, peer in peers.items()},
        {name: peer.notify_cancelled for name, peer in peers.items()},
        send_command,
    )


def serve(settings: Settings, policy: Policy) -> None:
    """Run a controller until the process is killed. Raises `ListenError` if an address can't be bound."""
    threading.stack_size(THREAD_STACK_BYTES)
    incarnation = f"{random.SystemRandom().getrandbits(48):012x}"
    log.info("starting: member=%s version=%s incarnation=%s", settings.member, __version__, incarnation)
    controller = make_controller(settings, policy, incarnation)
    front_server = HttpServer(
        *split_address(settings.front_address),
        UserHandler(controller, ConcurrencyLimit()).handle,
        max_connections(settings.facts.machine_limits),
        "front",
    )
    mesh_server = HttpServer(
        *split_address(settings.mesh_address), PeerHandler(controller).handle, MAX_PEER_CONNECTIONS, "mesh"
    )
    front_server.start()
    mesh_server.start()
    controller.start()
    while True:
        time.sleep(MAIN_THREAD_SLEEP_S)
